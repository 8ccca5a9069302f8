package jobs

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/access"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

// overtakenLog is a log in which another change is applied before the one that is proposed.
type overtakenLog struct {
	fixedLog
	store *state.Store
	first func()
}

func (l overtakenLog) Propose(_ context.Context, data []byte) ([]byte, error) {
	l.first()
	return l.store.Apply(2, data), nil
}

func (l overtakenLog) View(fn func(replica.StateMachine)) { fn(l.store) }

// Guards against a caller that cancels the job of another tenant: one that is stored, or one that
// is stored between the check of the cancellation and its change.
func TestCancellationDoesNotEndTheJobOfAnotherTenant(t *testing.T) {
	const id = "0123456789abcdef"
	accept := &jobpb.Entry{Change: &jobpb.Entry_Accept{Accept: &jobpb.Accept{Job: &jobpb.Job{Id: id, Queue: state.QueueKey("h", "/q/"), Pool: "pool",
		Steps: []*jobpb.Step{{Count: 1}}, Tenant: "t2", KeyDigest: access.Digest("k2")}}}}
	for _, meanwhile := range []bool{false, true} {
		t.Run(fmt.Sprintf("meanwhile=%t", meanwhile), func(t *testing.T) {
			is := is.New(t)
			c := newKeyedControl(t)
			log := overtakenLog{store: c.store, first: func() {}}
			if meanwhile {
				log.first = func() { applyEntries(t, c.store, accept) }
			} else {
				applyEntries(t, c.store, accept)
			}
			c.group = log
			resp := cancelWhileCommitting(t, c.session, &jobpb.Request{Kind: jobpb.Request_CANCEL, Queue: "ledger", Id: id, KeyDigest: access.Digest("k1")})
			is.Equal(resp.Outcome, jobpb.Response_NO_JOB)
			is.Equal(c.store.Job(id).State, jobpb.Job_QUEUED) // the job of the other tenant goes on
		})
	}
}

// cancelWhileCommitting cancels a job, and does the work of the session's goroutine until the
// cancellation is answered.
func cancelWhileCommitting(t *testing.T, s *session, r *jobpb.Request) *jobpb.Response {
	t.Helper()
	answered := make(chan *jobpb.Response, 1)
	go func() { answered <- s.cancelJob(t.Context(), r) }()
	for {
		select {
		case event := <-s.events:
			event()
			if !s.inFlight {
				s.commit()
			}
		case resp := <-answered:
			return resp
		}
	}
}
