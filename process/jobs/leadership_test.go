package jobs

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/job/dispatch"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/process/consensus"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

// noTransport loses all messages.
type noTransport struct{}

func (noTransport) Send(string, *wirepb.RaftMessage) {}

// newSoleControl returns a control process that is the only voter and leads. Its loops do
// not run.
func newSoleControl(t *testing.T) *Control {
	t.Helper()
	c := &Control{o: ControlOptions{Name: "c-1", Clock: replica.SystemClock(), Workers: &recordingWorkers{}}, log: zerolog.Nop(),
		store: state.New(), numbers: dispatch.Numbers{}, reports: newReportCollector(), metrics: newControlMetrics()}
	var err error
	c.replica, err = replica.Open(replica.Options{ID: "c-1", Group: Group, Voters: []string{"c-1"}, Dir: filepath.Join(t.TempDir(), "c-1"),
		StateMachine: c.store, Transport: noTransport{}, Clock: c.o.Clock, Seed: 1, Tick: 5 * time.Millisecond, HeartbeatInterval: 15 * time.Millisecond,
		ElectionTimeoutMin: 100 * time.Millisecond, ElectionTimeoutMax: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	c.group = c.replica
	c.ctx, c.cancel = context.WithCancel(t.Context())
	t.Cleanup(func() {
		c.cancel()
		c.loops.Wait()
		_ = c.replica.Close()
	})
	eventually(t, "the only voter leads", func() bool { return c.replica.Status().Role == consensus.Leader })
	return c
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 30 s: %s", what)
		}
	}
}

// Guards against a session that goes on after the end of its term, after a commit with an
// unknown outcome or when the process no longer leads.
func TestWhatEndsASession(t *testing.T) {
	for name, cause := range map[string]struct {
		termAgo uint64 // how many terms before that of the replica the session began
		failed  bool
		stopped bool // the replica stops
		next    bool // another session begins
	}{
		"a later term is led":   {termAgo: 1, next: true},
		"an unknown outcome":    {failed: true, next: true},
		"leadership was lost":   {stopped: true},
		"the process is closed": {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newSoleControl(t)
			term := c.replica.Status().Term
			earlier := newSession(c, term-cause.termAgo, nil)
			earlier.relays = newRelayedSender(earlier.term, &c.numbers, c.o.Workers, c.pool.SendRelay, func() []string { return nil }, earlier.leads, c.o.Clock, c.log)
			c.session = earlier
			c.start(earlier.run)
			if cause.stopped {
				is.NoErr(c.replica.Close())
			}
			earlier.broken.Store(cause.failed)
			c.start(c.watchRole)
			if name == "the process is closed" {
				c.cancel()
			}
			eventually(t, "the session ends", func() bool { return c.currentSession() != earlier })
			is.True(earlier.ctx.Err() != nil)
			if cause.next {
				eventually(t, "another session begins", func() bool { return c.currentSession() != nil })
				is.Equal(c.currentSession().term, term)
			}
		})
	}
}

// Guards against a session that begins while changes of the term's last session may still be
// applied: it would decide without them.
func TestNextSessionOfATermWaitsForProposals(t *testing.T) {
	is := is.New(t)
	c := newSoleControl(t)
	term := c.replica.Status().Term
	c.usedFences = continueFences(nil, term)
	c.group = fixedLog{} // commits nothing
	c.beginSession(term)
	is.True(c.currentSession() == nil)
	c.group = c.replica
	c.beginSession(term)
	is.True(c.currentSession() != nil)
	is.Equal(c.currentSession().fences.session, uint64(2))
}
