package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/job/worker"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

// newReportFixture returns the session of a new leader; an earlier one has registered a
// worker from its ninth report.
func newReportFixture(t *testing.T) (*session, *workerState, *jobpb.Worker) {
	t.Helper()
	s := newUpkeepFixture(t).session
	s.c.o.Bounds.ReportInterval = time.Second
	info := &jobpb.Worker{Id: "w", Pool: "pool", BornMs: 1, CpuMillis: 4000, Sequence: 9}
	w := s.trackWorker(info, true)
	w.track.RunsListed = true
	return s, w, info
}

func (s *session) isUsable(id string) (usable bool) {
	s.view(func(st *state.Store) {
		for _, w := range s.usable(s.now(), st) {
			usable = usable || w.ID == id
		}
	})
	return usable
}

// Guards against a capacity that has shrunk and grows again for a new leader because of a
// report that was sent before and arrives late.
func TestDelayedReportIsIgnoredByANewLeader(t *testing.T) {
	is := is.New(t)
	s, _, _ := newReportFixture(t)
	larger := &jobpb.Worker{Id: "w", Pool: "pool", BornMs: 1, CpuMillis: 8000}
	s.report(Report{Worker: larger, Sequence: 8}, make(chan error, 1))
	is.Equal(len(s.batch), 0)
	s.report(Report{Worker: larger, Sequence: 10}, make(chan error, 1))
	is.Equal(len(s.batch), 1)
}

// Guards against tasks on a worker whose capacity is not known: the new leader has not
// heard of a report, the last one is too old, or the process has not reported at all.
func TestWorkerWithoutARecentReportGetsNoTasks(t *testing.T) {
	is := is.New(t)
	s, w, _ := newReportFixture(t)
	is.True(!s.isUsable("w"))
	s.recordContacts([]*jobpb.WorkerContact{{Id: "w", BornMs: 1, Sequence: 10, AgeMs: 1000}})
	is.True(s.isUsable("w"))
	w.reportedAt -= 2 * time.Second
	is.True(!s.isUsable("w"))
	s.registerNewProcess(w, &orders.RunList{StartedMs: 2})
	is.True(s.batch[len(s.batch)-1].GetWorker().Unreported)
}

// Guards against a new leader that waits for the next report of each worker although other
// processes have confirmed one just before, and against reports that are kept for ever.
func TestNewLeaderLearnsOfEarlierReports(t *testing.T) {
	is := is.New(t)
	c := newReportCollector()
	const maxAge = 3 * time.Second
	c.add(time.Second, &jobpb.WorkerContact{Id: "w", BornMs: 1, Sequence: 4})
	is.Equal(len(c.take(time.Second, maxAge, false)), 1)
	is.Equal(len(c.take(2*time.Second, maxAge, false)), 0)
	again := c.take(3*time.Second, maxAge, true)
	is.Equal(len(again), 1)
	is.Equal(again[0].AgeMs, int64(2000))
	is.Equal(len(c.take(5*time.Second, maxAge, true)), 0)
	is.Equal(len(c.contacts), 0)
}

// Guards against a report that a process whose state is behind, as after its restart, has
// confirmed as one without a change: it may have less capacity than the leader knows of.
func TestReportConfirmedAgainstAnOlderStateDoesNotCount(t *testing.T) {
	is := is.New(t)
	s, w, _ := newReportFixture(t)
	s.recordContacts([]*jobpb.WorkerContact{{Id: "w", BornMs: 1, Sequence: 12, ClockMs: 500, Registered: 7}})
	is.True(!s.isUsable("w"))
	is.Equal(w.sequence, uint64(9))
	is.True(w.track.LastContact > w.knownSince) // it is in contact
	s.recordContacts([]*jobpb.WorkerContact{{Id: "w", BornMs: 1, Sequence: 12, ClockMs: 500, Registered: 9}})
	is.True(s.isUsable("w"))

	c := &Control{o: s.c.o, group: followerLog{}, reports: newReportCollector(), store: s.c.store}
	known := c.store.Workers()["w-0"]
	known.Sequence = 5
	is.NoErr(c.reportToLeader(t.Context(), Report{Worker: proto.Clone(known).(*jobpb.Worker), Sequence: 6}))
	list := c.reports.take(c.o.Clock.Now(), time.Second, false)
	is.Equal(len(list), 1)
	is.Equal(list[0].Registered, uint64(5))
}

// followerLog is the log of a process that follows another one.
type followerLog struct{ fixedLog }

func (followerLog) Status() (s replica.Status) {
	s.Leader = "leader"
	return s
}

// Guards against a report that counts as recent although it has waited for seconds, at the
// process that confirmed it, until a leader was known: the worker may have shrunk since.
func TestReportThatWaitedForALeaderTellsItsAge(t *testing.T) {
	is := is.New(t)
	const maxAge = 3 * time.Second
	for _, newLeader := range []bool{true, false} {
		c := newReportCollector()
		c.add(time.Second, &jobpb.WorkerContact{Id: "w", BornMs: 1, Sequence: 4})
		list := c.take(3*time.Second, maxAge, newLeader)
		is.Equal(len(list), 1)
		is.Equal(list[0].AgeMs, int64(2000))
	}
}

// Guards against a report that was delayed for seconds and counts as recent: the worker
// had been dropped, so its number tells nothing, and its capacity may have shrunk since.
func TestDelayedReportOfADroppedWorkerIsNotRecent(t *testing.T) {
	is := is.New(t)
	s, w, info := newReportFixture(t)
	w.setReported(s.now(), 1000)
	w.info = info
	is.True(s.isUsable("w"))
	w.track.SampleClock(s.now(), 9000) // the worker's clock in its answer to a later order
	is.True(!s.isUsable("w"))
	s.report(Report{Worker: info, Sequence: 10, ClockMs: 9000}, make(chan error, 1))
	is.True(s.isUsable("w"))
}

// newLeavingFixture returns the session of a leader, one of its workers, which runs a task
// under a lease of 4 s, and the time at which the worker has announced its exit.
func newLeavingFixture(t *testing.T, draining bool) (*session, *workerState, time.Duration) {
	t.Helper()
	s := newUpkeepFixture(t).session
	s.c.session = s
	s.c.o.Bounds.ReportInterval = time.Second
	w := s.workers["w-0"]
	now := s.now()
	w.draining = draining
	w.track = worker.New(worker.LeaseTiming{Lease: 4 * time.Second, MaxLease: 10 * time.Second}, 1, 0, now, false)
	w.track.SampleClock(now, 1000)
	w.track.Grant(now)
	if err := s.c.Leave(t.Context(), "w-0"); err != nil {
		t.Fatal(err)
	}
	(<-s.events)()
	return s, w, now
}

// dropped reports whether the leader drops a worker, and so frees its runs, at a time.
func (s *session) dropped(w *workerState, now time.Duration) (dropped bool) {
	s.view(func(*state.Store) {
		dropped = s.dropIfEnded(now, w, s.c.store.Placements(w.info.Id))
	})
	return dropped
}

// Guards against tasks that run again although they are done: a leader that was suspended
// for longer than the leases drops workers whose answers it has not read yet.
func TestSuspendedLeaderAsksWorkersBeforeItDropsThem(t *testing.T) {
	is := is.New(t)
	s, w, now := newLeavingFixture(t, false)
	w.announcedExit, w.leftAt = false, 0
	s.suspension.observe(now)
	now += 6 * time.Second
	is.Equal(s.suspension.observe(now), 6*time.Second)
	is.True(!s.dropped(w, now)) // its leases have expired, but it was not asked since
	now += 3 * time.Second
	is.True(!s.dropped(w, now))
	is.True(s.dropped(w, now+1))
}

// Guards against a worker that has ended and is never dropped, because this process is
// suspended, or too busy for its rounds, again and again.
func TestRepeatedSuspensionsDelayADropOnce(t *testing.T) {
	is := is.New(t)
	s, w, now := newLeavingFixture(t, false)
	w.announcedExit, w.leftAt = false, 0
	s.suspension.observe(now)
	for range 2 {
		now += 2 * time.Second
		s.suspension.observe(now)
		is.True(!s.dropped(w, now))
	}
	now += 2 * time.Second
	s.suspension.observe(now)
	is.True(s.dropped(w, now))
}

// Guards against the tasks of a worker that start elsewhere because it has announced its
// exit: the confirmation may be lost, and it serves on for seconds.
func TestAnnouncedExitFreesNoRuns(t *testing.T) {
	is := is.New(t)
	s, w, now := newLeavingFixture(t, true)
	w.track.SampleClock(now+2*time.Second, 3000) // it still answers
	is.True(!s.dropped(w, now+2*time.Second))
	is.True(!s.dropped(w, now+4*time.Second))
	is.True(s.dropped(w, now+4200*time.Millisecond)) // no lease was granted since
}

// Guards against waiting for the leases of a worker that has exited as it announced, and
// against an end that refused connections prove: a fault of the network may refuse them.
func TestExitedWorkerIsDroppedOnceItsAddressIsReused(t *testing.T) {
	is := is.New(t)
	s, w, now := newLeavingFixture(t, true)
	refused := &orders.NotSentError{Err: errors.New("connection refused")}
	for range 9 {
		w.noteAddress(refused)
	}
	is.True(!s.dropped(w, now+time.Second))
	w.noteAddress(nil) // it answers
	w.noteAddress(refused)
	is.True(!s.dropped(w, now+time.Second))
	w.noteAddress(&orders.RefusedError{Reason: orders.RefusedOtherProcess})
	is.True(s.dropped(w, now+time.Second))
}

// Guards against runs that go on at a draining worker whose announced exit was not
// confirmed, and against stops at a worker that may not have sent the announcement.
func TestRunsOfALeavingWorkerAreStopped(t *testing.T) {
	for _, draining := range []bool{true, false} {
		is := is.New(t)
		s, w, now := newLeavingFixture(t, draining)
		s.view(func(st *state.Store) { s.stopEnded(now, st, w, st.Placements("w-0")) })
		is.Equal(len(w.runs) == 1, draining)
		s.sendHold(now+2*time.Second, w, true)
		is.True(w.track.LeasesExpireBy() < now+4200*time.Millisecond) // no lease is granted
	}
}

// Guards against a worker that is taken out of use by the late announcement of the process
// that had its id before.
func TestExitOfAnEarlierProcessIsWithdrawn(t *testing.T) {
	is := is.New(t)
	s, w, now := newLeavingFixture(t, false)
	report := func(clockMs int64) {
		info := proto.Clone(w.info).(*jobpb.Worker)
		s.report(Report{Worker: info, Sequence: w.sequence + 1, ClockMs: clockMs}, make(chan error, 1))
	}
	report(900) // sent before the announcement arrived
	is.True(w.announcedExit)
	w.leftAt = now - time.Second
	report(1000)
	is.True(!w.announcedExit)
	is.Equal(w.leftAt, time.Duration(0))
	w.announcedExit, w.leftAt = true, now-time.Second
	s.recordContacts([]*jobpb.WorkerContact{{Id: "w-0", Sequence: w.sequence + 1, ClockMs: 1000}}) // a report to another process
	is.True(!w.announcedExit)
	leaving, other, _ := newLeavingFixture(t, true)
	other.leftAt -= time.Second
	leaving.report(Report{Worker: proto.Clone(other.info).(*jobpb.Worker), Sequence: 7, ClockMs: 1000}, make(chan error, 1))
	is.True(other.announcedExit) // it was draining
}

// Guards against a process that never gets tasks: a late report of the process before it is
// registered in the same log entry, before it, after their worker was dropped.
func TestProcessRegisteredAfterALateReportIsTracked(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	s := f.session
	confirmed := make(chan error, 2)
	s.report(Report{Worker: &jobpb.Worker{Id: "w-new", Pool: "pool", BornMs: 1, Draining: true}, Sequence: 9, ClockMs: 900}, confirmed)
	s.report(Report{Worker: &jobpb.Worker{Id: "w-new", Pool: "pool", BornMs: 2}, Sequence: 1, ClockMs: 100}, confirmed)
	f.applyBatch()
	is.NoErr(<-confirmed)
	is.NoErr(<-confirmed)
	w := s.workers["w-new"]
	is.Equal(w.info.BornMs, int64(2))
	is.Equal(w.predecessor, nil)
	is.True(!w.draining)
	w.track.RunsListed = true
	is.True(s.isUsable("w-new"))
}
