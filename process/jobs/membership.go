package jobs

import (
	"context"
	"slices"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/process/members"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

// join requests membership in the group while this replica is not part of it, that
// is, while it has no contact with a leader. A founder with an empty disk does
// not join: it forms the group together with the other founders.
func (c *Control) join() {
	ticks, stop := c.o.Clock.Ticks(joinInterval)
	defer stop()
	next := 0
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticks:
		}
		s := c.replica.Status()
		if s.Leader != "" || len(c.o.Seeds) == 0 || s.Fresh && len(c.o.InitialVoters) > 0 {
			continue
		}
		c.requestJoin(s, next)
		next++
	}
}

// requestJoin sends a join request to one process that may be in the group: a known
// voter or a seed. Successive attempts go through all of them in turn. If the process
// names a leader, the request is sent there too.
func (c *Control) requestJoin(status replica.Status, attempt int) {
	var targets []string
	for _, name := range status.Voters {
		if name != c.o.Name {
			targets = append(targets, name)
		}
	}
	for _, seed := range c.o.Seeds {
		if seed != c.o.Listen {
			targets = append(targets, members.Name(seed, members.AnyIdentity))
		}
	}
	if len(targets) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	req := &jobpb.Request{Kind: jobpb.Request_JOIN, Member: c.o.Name}
	resp, err := callJobs(ctx, c.pool, targets[attempt%len(targets)], req)
	if err != nil {
		c.log.Debug().Err(err).Msg("request to join failed")
		return
	}
	if resp.Outcome == jobpb.Response_NOT_LEADER && resp.Leader != "" && resp.Leader != c.o.Name {
		if _, err := callJobs(ctx, c.pool, resp.Leader, req); err != nil {
			c.log.Debug().Err(err).Str("leader", resp.Leader).Msg("request to join failed")
		}
	}
}

// maintainMembership adds, promotes and removes replicas while this process leads.
func (c *Control) maintainMembership() {
	ticks, stop := c.o.Clock.Ticks(memberInterval)
	defer stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticks:
		}
		s := c.replica.Status()
		if !s.LeaseValid || s.PendingChange {
			continue
		}
		change, needed := members.NextChange(members.GroupState{Self: c.o.Name, Voters: s.Voters, Learners: s.Learners,
			CaughtUp: caughtUpLearners(s), SinceLastAck: s.SinceLastAck, Silence: s.Silence, Joining: c.joinCandidates(s)})
		if !needed {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, memberTimeout)
		err := c.replica.ChangeVoter(ctx, change)
		cancel()
		c.log.Info().Err(err).Str("member", change.Name).Int("change", int(change.Kind)).Int("voters", len(s.Voters)).Int("learners", len(s.Learners)).
			Dur("since_ack", s.SinceLastAck[change.Name]).Dur("silence", s.Silence[change.Name]).Msg("membership change")
	}
}

// caughtUpLearners returns the learners that have all committed entries.
func caughtUpLearners(s replica.Status) []string {
	behind := func(name string) bool { return s.Match[name] < s.Commit }
	return slices.DeleteFunc(slices.Clone(s.Learners), behind)
}

// joinCandidates returns the replicas that have requested to join recently and are
// not members.
func (c *Control) joinCandidates(s replica.Status) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range append(s.Voters, s.Learners...) {
		delete(c.joining, name)
	}
	var list []string
	for name, at := range c.joining {
		if c.o.Clock.Now()-at > joinRequestTTL {
			delete(c.joining, name)
			continue
		}
		list = append(list, name)
	}
	return list
}

func (c *Control) handleJoin(status replica.Status, name string) *jobpb.Response {
	if _, known := members.Address(name); !known {
		return &jobpb.Response{Outcome: jobpb.Response_INVALID, Reason: "the name of the joining replica contains no address; send it as ADDRESS~IDENTITY"}
	}
	if !status.LeaseValid {
		return &jobpb.Response{Outcome: jobpb.Response_NOT_LEADER, Leader: status.Leader}
	}
	c.mu.Lock()
	c.joining[name] = c.o.Clock.Now()
	c.mu.Unlock()
	return &jobpb.Response{}
}
