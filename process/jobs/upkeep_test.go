package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/job/worker"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

// upkeepFixture is a leader's session with two workers that each run one task of a
// lasting step, of which one may be unavailable, and a wave over their two machines.
type upkeepFixture struct {
	store   *state.Store
	session *session
	driver  *upkeepDriver
	orders  chan string // machines for which an order was sent
}

func newUpkeepFixture(t *testing.T) *upkeepFixture {
	t.Helper()
	return newUpkeepFixtureWith(t, 1)
}

// newUpkeepFixtureWith returns a fixture whose workers run a number of tasks each.
func newUpkeepFixtureWith(t *testing.T, tasksPerWorker int) *upkeepFixture {
	t.Helper()
	step := &jobpb.Step{Count: uint32(2 * tasksPerWorker), Lasting: true, MaxUnavailable: 1}
	entries := []*jobpb.Entry{
		{Change: &jobpb.Entry_Configure{Configure: &jobpb.Configuration{Version: 1, Pools: []*jobpb.Pool{{Name: "pool"}, {Name: "off", Standby: true}}}}},
		{Change: &jobpb.Entry_Accept{Accept: &jobpb.Accept{Job: &jobpb.Job{Id: "job", Pool: "pool", Steps: []*jobpb.Step{step}}}}},
		{Change: &jobpb.Entry_Wave{Wave: &jobpb.Wave{Number: 1, Maximum: 2, DueMs: time.Now().Add(time.Hour).UnixMilli(),
			Machines: []*jobpb.WaveMachine{{Machine: "m-0"}, {Machine: "m-1"}}}}},
	}
	machines := &recordingMachines{orders: make(chan string, 8)}
	s := &session{sender: &recordingWorkers{}, c: &Control{o: ControlOptions{Clock: replica.BootClock(), Machines: machines}, metrics: newControlMetrics()},
		ctx: t.Context(), events: make(chan func(), 8), log: zerolog.Nop(), workers: map[string]*workerState{}, acks: map[string]*ackState{}, fences: continueFences(nil, 1)}
	for i, id := range []string{"w-0", "w-1"} {
		info := &jobpb.Worker{Id: id, Pool: "pool"}
		w := &workerState{info: info, acks: &ackState{Acknowledgements: worker.NewAcknowledgements(0)}, runs: runSet{}, track: worker.New(worker.LeaseTiming{}, 1, 0, 0, false), listedRuns: map[state.TaskKey]orders.Run{}}
		w.track.RunsListed = true
		w.setReported(s.now(), 0)
		s.workers[id] = w
		entries = append(entries, &jobpb.Entry{Change: &jobpb.Entry_Worker{Worker: info}})
		for k := range tasksPerWorker {
			ref := &jobpb.TaskRef{Job: "job", Index: uint32(2*k + i)}
			entries = append(entries, &jobpb.Entry{Change: &jobpb.Entry_Start{Start: &jobpb.Start{Task: ref, Run: 1, Worker: id}}})
			w.listedRuns[state.Key(ref)] = orders.Run{Task: ref, Run: 1, Percent: fullPercent}
		}
	}
	st := storeOf(t, entries...)
	s.c.store, s.c.group = st, fixedLog{}
	s.orderGate = newOrderGate(st, 0, 0, 0)
	s.moves = newMoveDriver(s)
	s.upkeep = newUpkeepDriver(s)
	s.upkeep.applyWhole(0, []Machine{{Name: "m-0", Pool: "pool", Up: true, WorkerID: "w-0"}, {Name: "m-1", Pool: "pool", Up: true, WorkerID: "w-1"}})
	return &upkeepFixture{store: st, session: s, driver: s.upkeep, orders: machines.orders}
}

// fixedLog is the log of a leader that commits nothing, so the state does not change.
type fixedLog struct{}

func (fixedLog) Propose(context.Context, []byte) ([]byte, error) {
	return nil, errors.New("nothing is committed")
}
func (fixedLog) View(fn func(replica.StateMachine)) { fn(nil) }
func (fixedLog) Status() replica.Status             { return replica.Status{LeaseValid: true} }
func (fixedLog) TransferLeader(context.Context, string) error {
	return errors.New("there is no other leader")
}

// recordingMachines confirms all orders and sends the names of the ordered machines
// to orders.
type recordingMachines struct{ orders chan string }

func (m *recordingMachines) List(context.Context) (MachineList, error) { return MachineList{}, nil }
func (m *recordingMachines) Move(_ context.Context, machine, _ string, _ Leadership) error {
	m.orders <- machine
	return nil
}
func (m *recordingMachines) Upkeep(_ context.Context, machine string, _ uint64, _ Leadership) error {
	m.orders <- machine
	return nil
}

// applyWhole applies a list of machines of which every entry was read.
func (u *upkeepDriver) applyWhole(requestedAt time.Duration, list []Machine) {
	u.applyList(requestedAt, MachineList{Machines: list})
}

// applyBatch calls the waiters of the batch as if all its changes were applied.
func (f *upkeepFixture) applyBatch() {
	waiters := f.session.waiters
	f.session.batch, f.session.waiters = nil, nil
	for _, then := range waiters {
		then(true, nil)
	}
}

// Guards against a run that is stopped, and starts that are sent in vain, because a worker
// whose end is listed counts as up until the next list: a message that it sent before its
// end arrived late and counts as sent after the list was requested.
func TestListedEndBeforeALateMessageCountsAsUnavailable(t *testing.T) {
	up := []Machine{{Name: "m-0", Pool: "pool", Up: true, WorkerID: "w-0"}, {Name: "m-1", Pool: "pool", Up: true, WorkerID: "w-1"}}
	for name, ended := range map[string]Machine{
		"machine not up":       {Name: "m-0", Pool: "pool", WorkerID: "w-0"},
		"machine not assigned": {Name: "m-0", Pool: "pool", Up: true},
		"another worker":       {Name: "m-0", Pool: "pool", Up: true, WorkerID: "w-new"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newUpkeepFixture(t)
			w, now := f.session.workers["w-0"], f.session.now()
			for _, other := range f.session.workers {
				other.track.RunsListed = true
				other.setReported(now, 0)
			}
			// All messages take 200 ms, so that the first one does not show that.
			w.track.SampleClock(now, 300)
			w.track.SampleClock(now+500*time.Millisecond, 800)
			requested := now + 450*time.Millisecond
			is.Equal(len(f.session.usable(now, f.store)), 2)

			f.driver.applyWhole(requested, []Machine{ended, up[1]})
			is.True(f.driver.blockingRun(f.store, "w-1") != nil)
			is.Equal(len(f.session.usable(now, f.store)), 1)
			is.Equal(w.listedAsEnded, false) // the message may be later: this frees no run

			// A list that does not tell of the machine settles nothing.
			f.driver.applyList(requested+time.Millisecond, MachineList{Machines: up[1:], Unreadable: 1})
			is.True(f.driver.blockingRun(f.store, "w-1") != nil)

			f.driver.applyWhole(requested+2*time.Millisecond, up)
			is.Equal(f.driver.blockingRun(f.store, "w-1"), nil)
			is.Equal(len(f.session.usable(now, f.store)), 2)
		})
	}
}

// Guards against a second upkeep that affects a lasting step while the first one is
// confirmed and has ended its worker, but no list of machines shows it yet.
func TestUnlistedUpkeepCountsAsUnavailable(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	is.Equal(f.driver.blockingRun(f.store, "w-1"), nil) // one task may be unavailable
	f.driver.machine("m-0").confirmedAt = time.Second
	is.True(f.driver.blockingRun(f.store, "w-1") != nil)
}

// Guards against the upkeep of a machine whose new worker has registered and runs
// tasks that must stay available, while the list still names its predecessor, which
// is gone, leaving or silent, or has missed its report. Also guards against an upkeep
// that waits forever.
func TestUpkeepWaitsWhileWorkloadUnknown(t *testing.T) {
	is := is.New(t)
	for name, change := range map[string]func(f *upkeepFixture){
		"gone":    func(f *upkeepFixture) { delete(f.session.workers, "w-0") },
		"leaving": func(f *upkeepFixture) { f.session.workers["w-0"].draining = true },
		"silent":  func(f *upkeepFixture) { f.session.workers["w-0"].silent = true },
		"left":    func(f *upkeepFixture) { f.session.workers["w-0"].leftAt = time.Second },
		"unheard": func(f *upkeepFixture) {
			f.session.workers["w-0"].track.LastContact = f.session.now() - f.session.c.o.Bounds.ReportInterval - 2*reportMargin
		},
	} {
		f := newUpkeepFixture(t)
		f.session.workers["w-0"].track.LastContact = f.session.now()
		wave := f.store.Waves()[1]
		wave.Machines = wave.Machines[:1]
		f.session.workers["w-new"] = &workerState{info: &jobpb.Worker{Id: "w-new", Pool: "pool"}, knownSince: 9 * time.Second}
		f.driver.listedAt = 9 * time.Second
		is.True(f.driver.workloadKnown(f.store, "m-0")) // the listed worker is in contact
		change(f)
		f.driver.processWave(10*time.Second, f.store, wave)
		if len(f.session.batch) != 0 {
			t.Errorf("upkeep was recorded although an unlisted worker may be on the machine; the listed worker is %s", name)
		}
		f.driver.listedAt = 9*time.Second + listLag // the list would name the new worker if it were on the machine
		f.driver.processWave(11*time.Second, f.store, wave)
		is.Equal(len(f.session.batch), 1)
	}
}

// Guards against an upkeep of a standby machine that waits for a worker there.
func TestUpkeepOnStandbyNeedsNoWorker(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	f.driver.listed["m-0"] = Machine{Name: "m-0", Pool: "off", Up: true}
	delete(f.driver.listed, "m-1")
	f.driver.processWave(time.Second, f.store, f.store.Waves()[1])
	is.Equal(len(f.session.batch), 2) // the order for m-0, and m-1 as begun, since it is no longer listed
}

// Guards against two simultaneous upkeeps that together make too many tasks of one
// step unavailable, and against more machines out than the wave allows.
func TestUpkeepsRespectStepAndWaveLimits(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	wave := f.store.Waves()[1]
	f.driver.processWave(time.Second, f.store, wave)
	is.Equal(len(f.session.batch), 1) // a second one would leave the step without an available task
	wave.Maximum = 0
	f = newUpkeepFixture(t)
	f.store.Waves()[1].Maximum = 0
	f.driver.processWave(time.Second, f.store, f.store.Waves()[1])
	is.Equal(len(f.session.batch), 0)
}

// Guards against an upkeep that is planned while all tasks are available and ordered
// once its log entry is committed, although another task's worker began to drain in
// the meantime.
func TestUpkeepRecheckedAfterCommit(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	wave := f.store.Waves()[1]
	f.driver.processWave(time.Second, f.store, wave)
	is.Equal(len(f.session.batch), 1)
	f.session.workers["w-0"].draining, f.session.workers["w-1"].draining = true, true
	f.applyBatch()
	is.True(!f.driver.machine("m-0").ordering && !f.driver.machine("m-1").ordering) // no order is in flight

	f = newUpkeepFixture(t)
	f.driver.processWave(time.Second, f.store, f.store.Waves()[1])
	f.applyBatch()
	is.Equal(<-f.orders, "m-0")
}

// Guards against a run that is stopped on a draining worker while the upkeep of the
// machine of another task of the step is pending: together they would make more tasks
// unavailable than the step allows.
func TestNoStopWhileUpkeepPending(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	f.session.c.group = expiredLeaseLog{} // a stop is recorded in w.runs but not sent
	w := f.session.workers["w-1"]
	w.draining = true
	stops := func() int {
		f.session.stopEnded(time.Second, f.store, w, f.store.Placements("w-1"))
		return len(w.runs)
	}
	f.driver.machine("m-0").ordering = true
	is.Equal(stops(), 0)
	f.driver.machine("m-0").ordering = false
	f.driver.unconfirmed = map[string]bool{"m-0": true}
	f.driver.machine("m-0").attemptedAt = f.session.now()
	is.Equal(stops(), 0)
	f.driver.unconfirmed = nil
	is.Equal(stops(), 1)
}

// expiredLeaseLog is the log of a leader whose lease has expired.
type expiredLeaseLog struct{ fixedLog }

func (expiredLeaseLog) Status() replica.Status { return replica.Status{} }

// Guards against an upkeep that counts a task on a draining worker as available,
// although its run may be stopped at any moment.
func TestTaskOnDrainingWorkerIsUnavailable(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	is.Equal(f.driver.blockingRun(f.store, "w-1"), nil)
	f.session.workers["w-0"].draining = true
	is.True(f.driver.blockingRun(f.store, "w-1") != nil)
}

// Guards against a run that is stopped to spread its step while another task of the
// step has just started on the same worker and is not available yet.
func TestNoSpreadWhileTaskStartsOnSameWorker(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	p := f.store.SortedPlacements("w-0")[0]
	starting := p.State.Tasks[1]
	starting.Worker = "w-0"
	w := f.session.workers["w-0"]
	is.Equal(f.driver.unavailableOnSameWorker(w, p), 1)
	is.True(f.session.hasHost(time.Second, f.store, p, "w-0"))
	f.driver.spreadRun(time.Second, f.store, p)
	is.Equal(len(w.runs), 0)
	w.listedRuns[state.TaskKey{Job: "job", Index: 1}] = orders.Run{Run: 1, Percent: fullPercent}
	is.Equal(f.driver.unavailableOnSameWorker(w, p), 0)
}

// Guards against a second run that is stopped to spread its step: the worker has fallen
// silent, so its list still shows the task whose run was stopped before.
func TestNoSpreadWhileAnotherRunOfTheWorkerStops(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	p := f.store.SortedPlacements("w-0")[0]
	p.State.Tasks[1].Worker = "w-0"
	stopped := state.TaskKey{Job: "job", Index: 1}
	w := f.session.workers["w-0"]
	w.listedRuns[stopped] = orders.Run{Run: 1, Percent: fullPercent}
	w.runs[stopped] = &runState{run: 1, stopSentAt: time.Second}
	is.True(f.session.hasHost(time.Second, f.store, p, "w-0"))
	f.driver.spreadRun(time.Second, f.store, p)
	is.Equal(len(w.runs), 1)
	other := *p
	other.Ref, other.Task = &jobpb.TaskRef{Job: "job", Index: 1}, p.State.Tasks[1]
	f.driver.spreadRun(2*time.Second, f.store, &other) // a stop without effect is sent again
	is.Equal(w.runs[stopped].stopSentAt, 2*time.Second)
	delete(w.runs, stopped)
	w.silent = true
	f.driver.spreadRun(time.Minute, f.store, p)
	is.Equal(len(w.runs), 0)
}

// Guards against a wave that misses its due time because steps wait for each other to be
// spread: each step's own limit of unavailable tasks is what bounds its stops.
func TestStepsAreSpreadIndependently(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixtureWith(t, 2)
	job := &jobpb.Job{Id: "other", Pool: "pool", Steps: []*jobpb.Step{{Count: 4, Lasting: true, MaxUnavailable: 1}}}
	entries := []*jobpb.Entry{{Change: &jobpb.Entry_Accept{Accept: &jobpb.Accept{Job: job}}}}
	for i := range uint32(4) {
		ref, id := &jobpb.TaskRef{Job: "other", Index: i}, []string{"w-0", "w-1"}[i%2]
		entries = append(entries, &jobpb.Entry{Change: &jobpb.Entry_Start{Start: &jobpb.Start{Task: ref, Run: 1, Worker: id}}})
		f.session.workers[id].listedRuns[state.Key(ref)] = orders.Run{Task: ref, Run: 1, Percent: fullPercent}
	}
	applyEntries(t, f.store, entries...)
	w := f.session.workers["w-0"]
	stopped := func(job string) (n int) {
		for key := range w.runs {
			if key.Job == job {
				n++
			}
		}
		return n
	}
	for _, p := range f.store.SortedPlacements("w-0") {
		f.driver.spreadRun(time.Second, f.store, p)
	}
	is.Equal(stopped("job"), 1)   // its other task waits for spreadInterval
	is.Equal(stopped("other"), 1) // not for the first step
}

// Guards against starts that are sent to a process which has ended with its upkeep, until
// the next list of machines shows its end.
func TestNoStartsOnAWorkerAfterItsUpkeep(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	is.True(!f.driver.cordoned("w-0"))
	f.driver.machine("m-0").confirmedAt = time.Second
	is.True(f.driver.cordoned("w-0"))
	f.driver.listedAt = 2 * time.Second
	is.True(!f.driver.cordoned("w-0"))
}

// Guards against a wave that is shown as completed although a machine of it has had no
// upkeep, because one list of machines did not name it.
func TestMachineMissingInOneListIsNotRemoved(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	whole := []Machine{{Name: "m-0", Pool: "pool", Up: true, WorkerID: "w-0"}, {Name: "m-1", Pool: "pool", Up: true, WorkerID: "w-1"}}
	f.driver.machine("m-1") // belongs to a wave
	now := f.session.now()
	for range absentLists {
		is.True(!f.driver.removedFromList(now, "m-1"))
		f.driver.applyWhole(now, whole[:1])
	}
	is.True(f.driver.removedFromList(now, "m-1"))
	f.driver.applyWhole(now, whole)
	is.True(!f.driver.removedFromList(now, "m-1"))
}

// Guards against two machines that wait for each other forever: each has an upkeep order
// without an answer and a task of the same lasting step.
func TestUnansweredUpkeepsDoNotBlockEachOther(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	now := f.session.now()
	f.driver.unconfirmed = map[string]bool{"m-0": true, "m-1": true}
	f.driver.machine("m-0").attemptedAt = now
	f.driver.machine("m-1").attemptedAt = now
	is.True(f.driver.blockingRun(f.store, "w-0") != nil)
	is.True(f.driver.blockingRun(f.store, "w-1") != nil)
	f.driver.machine("m-0").attemptedAt = now - lateUpkeepLimit
	is.Equal(f.driver.blockingRun(f.store, "w-1"), nil) // the order for m-0 is no longer carried out
	is.True(f.driver.blockingRun(f.store, "w-0") != nil)
}
