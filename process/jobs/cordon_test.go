package jobs

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/schedule"
)

// playWave processes the fixture's wave until a time, and returns the workers that are
// cordoned then. Nothing that it sends has an effect.
func (f *upkeepFixture) playWave(from, to time.Duration) (cordoned []string) {
	for now := from; now <= to; now += upkeepInterval {
		f.driver.processWave(now, f.store, f.store.Waves()[1])
	}
	for id := range f.session.workers {
		if f.driver.cordoned(id) {
			cordoned = append(cordoned, id)
		}
	}
	return cordoned
}

// stopped returns how many runs of a worker were stopped.
func (f *upkeepFixture) stopped(worker string) (n int) {
	for _, r := range f.session.workers[worker].runs {
		if r.stopSentAt > 0 {
			n++
		}
	}
	return n
}

// Guards against a wave that cordons both workers of a pool and stops a lasting task of one
// of them, which then can start nowhere.
func TestWaveLeavesAHostForTheTasksItMoves(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixtureWith(t, 4)
	f.session.c.group = expiredLeaseLog{} // a stop is recorded in the worker's runs but not sent
	f.store.Waves()[1].Maximum = 1
	cordoned := f.playWave(time.Second, time.Second)
	is.Equal(len(cordoned), 1)
	is.Equal(f.stopped("w-0")+f.stopped("w-1"), 1)
	is.Equal(f.stopped(cordoned[0]), 1)
	is.Equal(f.playWave(time.Second, 3*time.Second), cordoned)
}

// Guards against a wave that stops a lasting task although the only other worker can't take
// it, and against a cordon that then keeps the tasks of the lost worker out.
func TestWaveStopsNoTaskWithoutAnotherHost(t *testing.T) {
	for name, lose := range map[string]func(f *upkeepFixture){
		"draining": func(f *upkeepFixture) { f.session.workers["w-1"].draining = true },
		"silent":   func(f *upkeepFixture) { f.session.workers["w-1"].silent = true },
		"gone":     func(f *upkeepFixture) { delete(f.session.workers, "w-1") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newUpkeepFixtureWith(t, 4)
			f.session.c.group = expiredLeaseLog{}
			f.store.Waves()[1].Machines = f.store.Waves()[1].Machines[:1]
			lose(f)
			cordoned := f.playWave(time.Second, time.Second+2*hostlessLimit)
			is.Equal(f.stopped("w-0"), 0)
			is.Equal(len(cordoned), 0)
		})
	}
}

// Guards against a cordon that stays while the upkeep can't be ordered: another machine of
// the wave does not come back from its own.
func TestCordonWithoutAnUpkeepIsLifted(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	wave := f.store.Waves()[1]
	wave.Maximum = 1
	wave.Machines[0].Begun = true
	f.driver.listed["m-0"] = Machine{Name: "m-0", Pool: "pool"}
	f.driver.listedAt = time.Hour
	is.Equal(f.playWave(time.Second, 2*time.Second), []string{"w-1"})
	is.Equal(f.playWave(2*time.Second, time.Second+cordonLimit+upkeepInterval), nil)
	is.Equal(f.playWave(cordonLimit+2*time.Second, time.Second+cordonLimit+cordonPause+2*upkeepInterval), []string{"w-1"})
}

// Guards against a recorded upkeep whose order waits for tasks that can start nowhere but on
// its own machine, which gets no tasks.
func TestRecordedUpkeepGivesWayToTasksWithoutAnotherHost(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixtureWith(t, 4)
	f.session.c.group = expiredLeaseLog{}
	f.session.c.o.Bounds.ReportInterval = time.Minute
	wave := f.store.Waves()[1]
	wave.Machines = wave.Machines[:1]
	wave.Machines[0].Ordered = true
	f.driver.unconfirmed = map[string]bool{"m-0": true}
	f.session.workers["w-1"].silent = true
	now := f.session.now()
	f.driver.machine("m-0").attemptedAt = now
	is.Equal(f.playWave(now, now+time.Second), []string{"w-0"}) // the earlier order may still be carried out
	f.driver.machine("m-0").attemptedAt = now - lateUpkeepLimit
	is.Equal(f.playWave(now, now), nil)
	f.session.workers["w-1"].silent = false
	is.Equal(f.playWave(now+time.Second, now+time.Second), []string{"w-0"})
}

// Guards against a lasting task that is stopped on a draining worker although no other worker
// can take it, so that it serves nobody until the worker leaves.
func TestDrainingWorkerKeepsTasksWithoutAnotherHost(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	f.session.c.group = expiredLeaseLog{}
	w := f.session.workers["w-1"]
	w.draining = true
	f.session.workers["w-0"].silent = true
	f.session.stopEnded(time.Second, f.store, w, f.store.Placements("w-1"))
	is.Equal(f.stopped("w-1"), 0)
	f.session.workers["w-0"].silent = false
	f.session.stopEnded(time.Second+usableInterval, f.store, w, f.store.Placements("w-1"))
	is.Equal(f.stopped("w-1"), 1)
}

// Guards against a slow run that is stopped although the only other worker may not run it.
func TestSlowRunStaysWithoutAnotherHost(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	w := f.session.workers["w-0"]
	p := f.store.SortedPlacements("w-0")[0]
	p.Step = &jobpb.Step{Count: 1, RequiredLabel: "b"}
	f.session.estimate = schedule.NewEstimates()
	is.True(!f.session.restartable(w, p)) // the other worker lacks the label
	f.session.workers["w-1"].info.Labels = []string{"b"}
	is.True(f.session.restartable(w, p))
	f.driver.machine("m-1").cordon.since = time.Second
	is.True(!f.session.restartable(w, p))
}

// TestWaveOverAWholePool guards against a wave over all machines of a small pool that never
// ends, or after which lasting tasks have no run: each machine runs more tasks of a step than
// may be away.
func TestWaveOverAWholePool(t *testing.T) {
	for _, seed := range simulationSeeds() {
		for _, withoutFaults := range []bool{true, false} {
			t.Run(fmt.Sprint(seed, withoutFaults), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					simulate(t, seed, simOptions{wholePool: true, withoutFaults: withoutFaults})
				})
			})
		}
	}
}
