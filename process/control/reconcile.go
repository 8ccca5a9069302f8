package control

import (
	"context"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/lease"
	"marjoramtiller.example/marjoramtiller/connection/slots"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/request/ledgerpb"
	"marjoramtiller.example/marjoramtiller/version/drainer"
	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// reconcileLoop runs every reconciler at each interval while this process leads. The
// reconcilers act on observed state only, so that a new leader continues where the
// previous one stopped. If a step is proposed twice, the fleet refuses the second one.
func (s *Server) reconcileLoop(ctx context.Context) {
	var sampled time.Duration
	s.whileLeading(ctx, reconcileInterval, func(t *term) {
		s.refreshServers(t)
		s.expireEntries(ctx, t)
		s.expireServers(ctx, t)
		s.reconcileHosts(ctx, t)
		s.reconcileWaves(ctx, t)
		s.reconcileHosts(ctx, t)
		s.reconcileJobs(ctx, t)
		if now := s.clock.Now(); now-sampled >= sampleInterval {
			s.sample(ctx, t, sampleInterval)
			sampled = now
		}
	})
}

// whileLeading calls round at each interval at which a quorum confirms that this
// process leads the fleet group, until ctx is done.
func (s *Server) whileLeading(ctx context.Context, interval time.Duration, round func(t *term)) {
	tick, stop := s.clock.Ticks(interval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
		}
		if !isLeader(s.fleet) {
			continue
		}
		if t, err := s.leaderTerm(ctx); err == nil {
			round(t)
		}
	}
}

// submit proposes a reconciler's command and reports whether it was applied. A failure
// is only logged, because the next round acts on the state observed then.
func (s *Server) submit(ctx context.Context, c *fleetpb.Command) bool {
	c.Actor = s.options.Process
	result, err := s.proposeFleet(ctx, c)
	if err != nil {
		s.log.Warn().Err(err).Msg("a command of a reconciler was not confirmed; the next round observes its effect")
		return false
	}
	if reason := refusalReason(result); reason != "" {
		s.log.Info().Str("reason", reason).Msg("the fleet refused a command of a reconciler that was based on outdated state; the next round decides again")
		return false
	}
	return true
}

// expireEntries ends the sessions whose lease has expired. Their slots become available
// to other entries. If no session of an entry is left, the outcome of the requests that
// it was running is unknown until the entry reports it.
func (s *Server) expireEntries(ctx context.Context, t *term) {
	s.mu.Lock()
	expired := t.lease.Expire(s.clock.Now())
	var lost []string
	for _, session := range expired {
		t.slots.RemoveEntry(slots.EntryID{Entry: session.ID.Entry, BootID: session.ID.BootID})
		delete(t.uses, session.ID)
		if !hasSession(t.lease.Sessions(), session.ID.Entry) {
			lost = append(lost, session.ID.Entry)
		}
	}
	ended := s.releaseInheritedShares(t)
	if len(expired) > 0 || ended {
		t.slots.Rebalance()
		s.notifySyncsLocked()
	}
	s.mu.Unlock()
	for _, entry := range lost {
		s.log.Warn().Str("entry", entry).Msg("the lease of an entry has expired")
		s.markRunningUnknown(ctx, entry)
	}
}

// releaseInheritedShares ends the wait for entries that may hold shares granted by an
// earlier leader, once every lease that it may have granted has expired. Reports of a
// restarted entry do not end the wait earlier, because they do not include the shares
// of its previous boot. It returns false if there was nothing to release.
func (s *Server) releaseInheritedShares(t *term) bool {
	if len(t.inheritedEntries) == 0 || s.clock.Now() < t.inheritedLeaseEnd {
		return false
	}
	for _, entry := range t.inheritedEntries {
		t.slots.RemoveEntry(slots.EntryID{Entry: entry})
	}
	t.inheritedEntries = nil
	return true
}

func hasSession(sessions []lease.Session, entry string) bool {
	for _, x := range sessions {
		if x.ID.Entry == entry {
			return true
		}
	}
	return false
}

// markRunningUnknown marks the outcome of a lost entry's running requests as unknown in
// every ledger group.
func (s *Server) markRunningUnknown(ctx context.Context, entry string) {
	for i := range s.ledgers {
		req := &wirepb.LedgerRequest{Group: uint32(i), Command: &ledgerpb.Command{
			Body: &ledgerpb.Command_EntryBoot{EntryBoot: &ledgerpb.EntryBoot{Entry: entry}},
		}}
		if err := s.callLedgerLeader(ctx, i, req); err != nil {
			s.log.Warn().Err(err).Str("entry", entry).Int("group", i).Msg("marking the requests of a lost entry as unknown failed; they count as running until the entry starts again")
		}
	}
}

func (s *Server) callLedgerLeader(ctx context.Context, group int, req *wirepb.LedgerRequest) error {
	leader := s.ledgers[group].Status().Leader
	if leader == s.options.Process {
		_, err := s.ledgerCall(ctx, req)
		return err
	}
	if leader == "" {
		return &UnavailableError{Group: LedgerGroup(group), Cause: "no leader is known"}
	}
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	resp, err := s.pool.Call(ctx, leader, &wirepb.Request{Body: &wirepb.Request_Ledger{Ledger: req}})
	return callError(LedgerGroup(group), resp, err)
}

// expireServers unregisters the backend servers whose lease has expired. They may
// register again.
func (s *Server) expireServers(ctx context.Context, t *term) {
	s.mu.Lock()
	expired := t.lease.ExpiredServers(s.clock.Now())
	s.mu.Unlock()
	s.forEachConcurrent(len(expired), func(i int) { // concurrently, since the loss of a zone expires hundreds of leases at once
		e := expired[i]
		ok := s.submit(ctx, &fleetpb.Command{Body: &fleetpb.Command_Unregister{
			Unregister: &fleetpb.Unregister{Server: e.Name, BootId: e.BootID, Remove: true},
		}})
		if ok {
			s.mu.Lock()
			t.lease.RemoveServer(e.Name)
			s.mu.Unlock()
		}
	})
}

// maxStepsInRound is the most consecutive steps of a host in one round. A host that
// drains without work in flight is released and assigned, or taken out, in the same round.
const maxStepsInRound = 3

// reconcileHosts proposes the next steps of every host that drains, moves or is in
// maintenance.
func (s *Server) reconcileHosts(ctx context.Context, t *term) {
	for range maxStepsInRound {
		if s.stepHosts(ctx, t) == 0 {
			return
		}
	}
}

// stepHosts proposes at most one step for each host and returns the number of steps.
func (s *Server) stepHosts(ctx context.Context, t *term) int {
	entries := s.drainEntries(t)
	var out drainer.Output
	s.viewFleet(func(f *fleet.Fleet) {
		out = drainer.Next(drainer.Input{
			Fleet:          f,
			Entries:        entries,
			WorkerUp:       func(host string) bool { return s.workerUp(t, f, host) },
			NowMs:          time.Now().UnixMilli(),
			DrainDeadline:  s.options.DrainDeadline,
			ReturnDeadline: s.options.ReturnDeadline,
		})
	})
	s.submitSteps(ctx, out.Steps)
	for _, w := range out.Waiting {
		if w.Overdue {
			s.log.Info().Str("host", w.Host).Str("reason", string(w.Reason)).Str("detail", w.Detail).Msg("the drain of a host has passed its deadline")
		}
	}
	s.mu.Lock()
	t.jobs.Evict(out.Tasks)
	s.mu.Unlock()
	return len(out.Steps)
}

// submitSteps proposes steps of different hosts concurrently, so that they share disk
// syncs of the log. The steps do not depend on each other.
func (s *Server) submitSteps(ctx context.Context, steps []*fleetpb.HostStep) {
	s.forEachConcurrent(len(steps), func(i int) {
		s.submit(ctx, &fleetpb.Command{Body: &fleetpb.Command_HostStep{HostStep: steps[i]}})
	})
}

func (s *Server) drainEntries(t *term) []drainer.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var out []drainer.Entry
	for _, x := range t.lease.Sessions() {
		out = append(out, drainer.Entry{
			Name:         x.ID.Entry,
			BootID:       x.ID.BootID,
			AckedVersion: x.AckedVersion,
			LeaseExpired: t.lease.LeaseExpired(x.ID, now),
			InFlight:     x.InFlight,
		})
	}
	return out
}
