package jobs

import (
	"context"

	"marjoramtiller.example/marjoramtiller/process/consensus"
)

// watchRole starts a session when this process becomes leader, and ends it when
// the term ends or the session has failed.
func (c *Control) watchRole() {
	ticks, stop := c.o.Clock.Ticks(roleInterval)
	defer stop()
	for {
		select {
		case <-c.ctx.Done():
			c.endSession()
			return
		case <-ticks:
		}
		s := c.replica.Status()
		current := c.currentSession()
		if current != nil && (s.Role != consensus.Leader || s.Term != current.term || current.failed()) {
			c.endSession()
			current = nil
		}
		if s.Role == consensus.Leader && current == nil {
			c.beginSession(s.Term)
		}
	}
}

// beginSession starts a session once the applied state holds every change that was ever
// confirmed. Without that it is tried again at the next check of the role.
func (c *Control) beginSession(term uint64) {
	ctx, cancel := context.WithTimeout(c.ctx, barrierTimeout)
	defer cancel()
	if err := c.replica.ReadBarrier(ctx); err != nil {
		c.log.Debug().Err(err).Uint64("term", term).Msg("session not started: the read barrier of the new term failed")
		return
	}
	if c.usedFences != nil && c.usedFences.term == term {
		if err := c.settleProposals(ctx); err != nil {
			c.log.Warn().Err(err).Uint64("term", term).Msg("session not started: changes of the term's last session may still be applied")
			return
		}
	}
	if err := c.rereadConfiguration(ctx); err != nil {
		c.log.Warn().Err(err).Uint64("term", term).Msg("session not started: the configuration that an earlier build has read could not be replaced")
		return
	}
	s := newSession(c, term, c.usedFences)
	s.useRelays(newRelayedSender(term, &c.numbers, c.o.Workers, c.pool.SendRelay, c.otherVoters, s.leads, c.o.Clock, s.log))
	c.mu.Lock()
	c.session = s
	c.mu.Unlock()
	c.start(s.run)
	c.start(func() { s.relays.run(s.ctx) })
	// Reports that this process confirmed while another one led.
	contacts := c.reports.take(c.o.Clock.Now(), reportTimeout(c.o.Bounds), true)
	s.post(func() { s.recordContacts(contacts) })
	c.log.Info().Uint64("term", term).Msg("leading: orders begin")
}

// endSession ends the session, if there is one, and keeps what the next one must know of
// its orders. A session is cancelled before it stops being the current one: whoever sees
// that there is none can rely on it that the last one begins no more orders.
func (c *Control) endSession() {
	c.mu.Lock()
	s := c.session
	if s != nil {
		s.cancel()
	}
	c.session = nil
	c.mu.Unlock()
	if s == nil {
		return
	}
	s.end()
	c.usedFences = s.endFences()
	c.log.Info().Uint64("term", s.term).Msg("no longer leading: orders end")
}

func (c *Control) currentSession() *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session
}

// leaderSession returns the session, or an error unless this process leads under a
// valid lease.
func (c *Control) leaderSession() (*session, error) {
	s := c.currentSession()
	if s == nil || !s.leads() {
		return nil, &UnavailableError{Reason: "this process does not lead"}
	}
	return s, nil
}
