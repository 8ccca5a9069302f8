package jobs

import (
	"context"
	"fmt"
	"time"

	"marjoramtiller.example/marjoramtiller/job/worker"
)

// Behaviour of the simulated leaders.
const (
	simMaxRefusal   = 900 * time.Millisecond // a transfer of the leadership that fails is given up then
	simRefusalPause = 150 * time.Millisecond // the longest time between two transfers in a row
)

// refusalWindow is a time in which the log refuses entries, as while the leadership is
// being transferred. It may be interrupted for a moment.
type refusalWindow struct {
	from, until           time.Time
	pauseFrom, pauseUntil time.Time
}

func (w refusalWindow) active() bool {
	now := time.Now()
	paused := !now.Before(w.pauseFrom) && now.Before(w.pauseUntil)
	return !now.Before(w.from) && now.Before(w.until) && !paused
}

// refuseProposals makes the log refuse entries for a while, with a pause in between, so
// that several sessions end in quick succession.
func (s *sim) refuseProposals(n int) {
	now := time.Now()
	w := refusalWindow{from: now, until: now.Add(s.drawDuration(0, simMaxRefusal, "refusal", n))}
	w.pauseFrom = now.Add(s.drawDuration(0, simMaxRefusal, "pause", n))
	w.pauseUntil = w.pauseFrom.Add(s.drawDuration(0, simRefusalPause, "pause end", n))
	s.storeMu.Lock()
	s.refusals = w
	s.storeMu.Unlock()
}

// elect ends the leader's term and starts the next one, which another process leads or the
// same one again. Each undecided proposal of the old term is either committed or dropped
// first.
func (s *sim) elect() {
	s.leadership <- struct{}{}
	defer func() { <-s.leadership }()
	old := s.control
	if old != nil {
		s.storeMu.Lock()
		for i, p := range s.inFlight {
			if !p.decided {
				p.decided = true
				if s.draw(2, "undecided", i) == 0 {
					s.apply(p.data)
				}
			}
		}
		s.inFlight = nil
		s.refusals = refusalWindow{}
		s.term.Add(1)
		s.storeMu.Unlock()
		// The process notices the end of its term some time later.
		time.Sleep(s.drawDuration(0, 2*roleInterval, "end of term"))
		old.endSession()
		time.Sleep(s.drawDuration(50*time.Millisecond, time.Second, "leader not missed"))
		s.leaderless.Store(true)
		time.Sleep(s.drawDuration(50*time.Millisecond, time.Second, "election"))
	}
	c := old
	if old == nil || s.draw(3, "same leader") > 0 {
		if old != nil {
			old.cancel()
		}
		c = s.newControl()
	}
	c.group.(*simGroup).term.Store(s.term.Load())
	s.beginSession(c)
	s.mu.Lock()
	s.control = c
	s.mu.Unlock()
}

// newControl returns a control process that leads.
func (s *sim) newControl() *Control {
	ctx, cancel := context.WithCancel(context.Background())
	return &Control{group: &simGroup{s: s}, store: s.store, ctx: ctx, cancel: cancel, metrics: newControlMetrics(), log: s.logger(),
		o: ControlOptions{Name: fmt.Sprint("c-", s.term.Load()), Workers: s, Machines: s, Clock: simClock{s.began},
			Bounds: Bounds{Lease: worker.LeaseTiming{Lease: simLease, MaxLease: simMaxLease}, ReportInterval: simReportInterval,
				JobRetention: time.Hour, OrderGap: simLeaderGap}}}
}

// beginSession begins a session of a leader. Called with leadership held.
func (s *sim) beginSession(c *Control) {
	session := newSession(c, s.term.Load(), c.usedFences)
	var names []string
	for _, r := range s.relays {
		names = append(names, r.name)
	}
	session.useRelays(newRelayedSender(session.term, &c.numbers, s, s.sendToRelay, func() []string { return names }, session.leads, c.o.Clock, c.log))
	c.mu.Lock()
	c.session = session
	c.mu.Unlock()
	s.sessions++
	s.leaderless.Store(false)
	go session.relays.run(session.ctx)
	go session.run()
}

// watchSessions ends the sessions of the leader that have failed, and begins the next ones
// of the term, as Control.watchRole does.
func (s *sim) watchSessions() {
	for {
		time.Sleep(roleInterval)
		s.leadership <- struct{}{}
		over := time.Since(s.began) >= simFaultPhase+simRecoveryPhase
		if current := s.control.currentSession(); !over && (current == nil || current.failed()) {
			s.restartSession()
		}
		<-s.leadership
		if over {
			return
		}
	}
}

// restartSession ends the leader's session and begins another one in the same term, unless
// the log refuses its first entry. Called with leadership held.
func (s *sim) restartSession() {
	c := s.control
	c.endSession()
	ctx, cancel := context.WithTimeout(context.Background(), barrierTimeout)
	defer cancel()
	if err := c.settleProposals(ctx); err != nil {
		return // it is tried again
	}
	s.beginSession(c)
}
