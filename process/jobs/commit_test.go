package jobs

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/process/replica"
	"marjoramtiller.example/marjoramtiller/process/storage"
)

// proposalLog is a log that accepts every entry and keeps it.
type proposalLog struct {
	fixedLog
	entries chan []byte
}

func (l proposalLog) Propose(_ context.Context, data []byte) ([]byte, error) {
	if len(data) > storage.MaxEntryBytes {
		return nil, &storage.TooLargeError{Size: len(data), Limit: storage.MaxEntryBytes}
	}
	command := &jobpb.Command{}
	if err := proto.Unmarshal(data, command); err != nil {
		return nil, err
	}
	l.entries <- data
	return proto.Marshal(&jobpb.Result{Applied: make([]bool, len(command.Entries))})
}

var _ replicatedLog = proposalLog{}

// forgetJob is a change that the log can hold and whose effect does not matter.
func forgetJob(id string) *jobpb.Entry {
	return &jobpb.Entry{Change: &jobpb.Entry_Forget{Forget: id}}
}

// commitAll commits the batch of a session, and returns the changes that reached the log
// and the errors of those in results.
func commitAll(t *testing.T, s *session, results int, changes ...*jobpb.Entry) (logged []string, failed map[string]error) {
	t.Helper()
	log := proposalLog{entries: make(chan []byte, len(changes)+1)}
	s.c.group = log
	failed = map[string]error{}
	for _, change := range changes {
		s.add(change, func(_ bool, err error) {
			results--
			if err != nil {
				failed[change.GetForget()] = err
			}
		})
	}
	for deadline := time.Now().Add(time.Minute); results > 0 && time.Now().Before(deadline); {
		if !s.inFlight {
			s.commit()
		}
		if results > 0 {
			(<-s.events)()
		}
	}
	for len(log.entries) > 0 {
		command := &jobpb.Command{}
		if err := proto.Unmarshal(<-log.entries, command); err != nil {
			t.Fatal(err)
		}
		for _, e := range command.Entries {
			logged = append(logged, e.GetForget())
		}
	}
	return logged, failed
}

// Guards against one change that the log can't hold, because it can't be encoded or is too
// large, that fails the changes of others and ends the leader's session.
func TestUnstorableChangeFailsAlone(t *testing.T) {
	is := is.New(t)
	s := newUpkeepFixture(t).session
	unreadable, tooLarge := "\xff\xfe", strings.Repeat("x", storage.MaxEntryBytes+1)
	logged, failed := commitAll(t, s, 4, forgetJob("a"), forgetJob(unreadable), forgetJob(tooLarge), forgetJob("b"))
	is.True(!s.failed())
	is.Equal(logged, []string{"a", "b"})
	is.Equal(len(failed), 2)
	var unstorable *UnstorableError
	is.True(errors.As(failed[unreadable], &unstorable))
	is.True(neverApplied(failed[unreadable]))
	var large *storage.TooLargeError
	is.True(errors.As(failed[tooLarge], &large))
	is.True(strings.Contains(failed[tooLarge].Error(), "3145728")) // names the limit
}

// Guards against changes that fit into an entry of the log one by one but not together, and
// then end the leader's session.
func TestLargeBatchIsSplit(t *testing.T) {
	is := is.New(t)
	s := newUpkeepFixture(t).session
	var changes []*jobpb.Entry
	var want []string
	for _, letter := range []string{"a", "b", "c", "d"} {
		id := strings.Repeat(letter, storage.MaxEntryBytes/2)
		changes = append(changes, forgetJob(id))
		want = append(want, id)
	}
	logged, failed := commitAll(t, s, len(changes), changes...)
	is.True(!s.failed())
	is.Equal(len(failed), 0)
	is.Equal(logged, want)
	is.True(s.batchHoldsPlan())
	s.add(changes[0], nil)
	s.add(changes[1], nil)
	is.True(!s.batchHoldsPlan())
}

// Guards against a later session of one term that uses the fences of an earlier one again:
// its lists of runs would count as proof against late orders of the earlier session.
func TestSessionsOfATermShareNoFence(t *testing.T) {
	is := is.New(t)
	c := newUpkeepFixture(t).session.c
	c.ctx = t.Context()
	first := newSession(c, 3, nil)
	known := first.trackWorker(&jobpb.Worker{Id: "w"}, false)
	first.raiseFence(known)
	dropped := first.trackWorker(&jobpb.Worker{Id: "dropped"}, false)
	first.fences.use("dropped", dropped.track.Fence())
	delete(first.workers, "dropped")
	second := newSession(c, 3, first.endFences())
	for id, used := range map[string]uint64{"w": known.track.Fence(), "dropped": dropped.track.Fence()} {
		w := second.trackWorker(&jobpb.Worker{Id: id}, true)
		is.True(w.track.FirstFence() > used)
		is.Equal(w.track.Fence(), w.track.FirstFence())
	}
	is.Equal(second.fences.session, uint64(2))
	next := newSession(c, 4, second.endFences())
	is.Equal(len(next.fences.next), 0)
	is.True(next.trackWorker(&jobpb.Worker{Id: "w"}, true).track.Fence() > second.workers["w"].track.Fence())
}

// slowLog is a log whose proposals end some time after their context.
type slowLog struct {
	fixedLog
	ended chan struct{}
}

func (l slowLog) Propose(ctx context.Context, _ []byte) ([]byte, error) {
	<-ctx.Done()
	<-l.ended
	return nil, ctx.Err()
}

// Guards against a change of an earlier session of the term that reaches the log after the
// next session has begun, which decides without it.
func TestSessionEndsAfterItsProposals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newUpkeepFixture(t).session.c
		c.ctx = t.Context()
		log := slowLog{ended: make(chan struct{})}
		c.group = log
		s := newSession(c, 1, nil)
		close(s.done) // its goroutine
		s.add(forgetJob("a"), nil)
		s.commit()
		ended := false
		go func() {
			s.end()
			ended = true
		}()
		synctest.Wait()
		is.True(!ended)
		close(log.ended)
		synctest.Wait()
		is.True(ended)
		accepted := proposalLog{entries: make(chan []byte, 1)}
		c.group = accepted
		is.NoErr(c.settleProposals(t.Context()))
		is.Equal(len(accepted.entries), 1) // it follows all others in the log
	})
}

// unconfirmedLog is a log whose proposals have no known outcome.
type unconfirmedLog struct {
	fixedLog
	proposals *atomic.Int32
}

func (l unconfirmedLog) Propose(context.Context, []byte) ([]byte, error) {
	l.proposals.Add(1)
	return nil, &replica.OutcomeUnknownError{Err: context.DeadlineExceeded}
}

// Guards against a session that decides on after a commit without an outcome, until its
// process notices: the state that it reads may lack what is applied later, such as an upkeep
// of another machine of a wave.
func TestSessionDecidesNothingAfterAnUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newUpkeepFixture(t).session.c
		c.ctx = t.Context()
		log := unconfirmedLog{proposals: &atomic.Int32{}}
		c.group = log
		s := newSession(c, 1, nil)
		go s.run()
		defer s.end()
		later := 0
		s.post(func() {
			s.add(forgetJob("a"), func(bool, error) {
				s.post(func() { later++ })
				s.add(forgetJob("b"), nil)
			})
		})
		time.Sleep(time.Second)
		is.True(s.failed())
		is.Equal(log.proposals.Load(), int32(1))
		is.Equal(later, 0)
	})
}

// leasedLog is the log of a process that leads a term under a valid lease.
type leasedLog struct {
	fixedLog
	term uint64
}

func (l leasedLog) Status() replica.Status {
	status := l.fixedLog.Status()
	status.Term = l.term
	return status
}

// Guards against orders and answers of a session whose term has ended, under the lease of a
// later term that the same process leads: an order of the leader between them may be late,
// and a list under this session's fence does not settle it.
func TestSessionUsesNoLeaseOfAnotherTerm(t *testing.T) {
	for term, sent := range map[uint64]int{1: 1, 3: 0} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newUpkeepFixture(t).session.c
			c.ctx = t.Context()
			c.group = leasedLog{term: term}
			workers := &recordingWorkers{}
			c.o.Workers = workers
			s := newSession(c, 1, nil)
			c.session = s
			w := s.trackWorker(&jobpb.Worker{Id: "w"}, false)
			s.sendHold(s.now(), w, false)
			synctest.Wait()
			is.Equal(workers.holds, sent)
			_, err := c.leaderSession()
			is.Equal(err == nil, sent > 0)
		})
	}
}
