package jobs

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

// simMaxBehind is the longest time for which a follower applies no entry, because its disk
// is slow or it has just started.
const simMaxBehind = 6 * time.Second

// simFollower is a control process that follows the leader. It confirms reports without a
// change, and tells the leader of them.
type simFollower struct {
	sim     *sim
	control *Control

	mu          sync.Mutex
	store       *state.Store
	applied     int // entries of the log
	behindUntil time.Time
}

func (s *sim) newFollower() *simFollower {
	f := &simFollower{sim: s, store: storeOf(s.t, simConfiguration())}
	f.control = &Control{o: ControlOptions{Name: "follower", Clock: simClock{s.began}, Bounds: Bounds{ReportInterval: simReportInterval}},
		store: f.store, reports: newReportCollector(), group: f}
	return f
}

// apply applies an entry of the log. Called with storeMu held.
func (s *sim) apply(entry []byte) []byte {
	s.entries = append(s.entries, entry)
	return s.store.Apply(0, entry)
}

// run applies the entries of the log and tells the leader of reports, as
// Control.forwardContacts does.
func (f *simFollower) run() {
	s, toldTerm := f.sim, uint64(0)
	for time.Since(s.began) < simFaultPhase+simRecoveryPhase {
		time.Sleep(contactInterval)
		f.applyEntries()
		status := f.Status()
		if status.Leader == "" {
			continue
		}
		contacts := f.control.reports.take(f.control.o.Clock.Now(), reportTimeout(f.control.o.Bounds), status.Term != toldTerm)
		toldTerm = status.Term
		s.mu.Lock()
		c := s.control
		s.mu.Unlock()
		if len(contacts) > 0 {
			c.HandleRelay("follower", &jobpb.RelayMessage{Term: status.Term, Contacts: contacts})
		}
	}
}

func (f *simFollower) applyEntries() {
	f.sim.storeMu.Lock()
	entries := f.sim.entries
	f.sim.storeMu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().Before(f.behindUntil) {
		return
	}
	for _, entry := range entries[f.applied:] {
		f.store.Apply(0, entry)
	}
	f.applied = len(entries)
}

// fallBehind lets the follower apply no entry for a while.
func (f *simFollower) fallBehind(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behindUntil = time.Now().Add(f.sim.drawDuration(0, simMaxBehind, "behind", n))
}

// serves reports whether a worker reports to the follower first.
func (f *simFollower) serves(worker string) bool {
	return rand.New(rand.NewPCG(f.sim.seed, xxhash.Sum64String(worker))).IntN(2) == 0
}

// confirm confirms a report without a change.
func (f *simFollower) confirm(ctx context.Context, r Report) bool {
	if _, same := f.control.reportsNoChange(r); !same {
		return false
	}
	return f.control.reportToLeader(ctx, r) == nil
}

// Status implements replicatedLog.
func (f *simFollower) Status() (status replica.Status) {
	status.Term = f.sim.term.Load()
	if !f.sim.leaderless.Load() {
		status.Leader = "leader"
	}
	return status
}

// View implements replicatedLog.
func (f *simFollower) View(fn func(replica.StateMachine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn(nil)
}

// Propose implements replicatedLog.
func (f *simFollower) Propose(context.Context, []byte) ([]byte, error) {
	return nil, &replica.NotProposedError{Err: errors.New("this process follows")}
}

// TransferLeader implements replicatedLog.
func (f *simFollower) TransferLeader(context.Context, string) error { return nil }
