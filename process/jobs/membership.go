package jobs

import (
	"context"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/process/members"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

// join asks the group to take this replica in, for as long as it is no member.
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
		if s.Leader != "" || len(c.o.Seeds) == 0 || s.Fresh && len(c.o.Founders) > 0 {
			continue
		}
		c.askToJoin(s, next)
		next++
	}
}

// askToJoin asks one process that may know the group: a member, or a seed.
func (c *Control) askToJoin(s replica.Status, turn int) {
	var known []string
	for _, name := range s.Voters {
		if name != c.o.Name {
			known = append(known, name)
		}
	}
	for _, seed := range c.o.Seeds {
		if seed != c.o.Listen {
			known = append(known, members.Name(seed, members.Any))
		}
	}
	if len(known) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	req := &jobpb.Request{Kind: jobpb.Request_JOIN, Member: c.o.Name}
	resp, err := callJobs(ctx, c.pool, known[turn%len(known)], req)
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

// keepMembers lets the leader take in, promote and drop replicas.
func (c *Control) keepMembers() {
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
		change, needed := members.Next(members.View{Self: c.o.Name, Voters: s.Voters, Learners: s.Learners,
			Silence: s.Silence, Joining: c.joiners(s)})
		if !needed {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, memberTimeout)
		err := c.replica.ChangeVoter(ctx, change)
		cancel()
		c.log.Info().Err(err).Str("member", change.Name).Int("change", int(change.Kind)).Msg("membership change")
	}
}

// joiners returns the replicas that have lately asked to join and are no members.
func (c *Control) joiners(s replica.Status) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range append(s.Voters, s.Learners...) {
		delete(c.joining, name)
	}
	var list []string
	for name, at := range c.joining {
		if c.o.Clock.Now()-at > joinForgotten {
			delete(c.joining, name)
			continue
		}
		list = append(list, name)
	}
	return list
}

func (c *Control) handleJoin(status replica.Status, name string) *jobpb.Response {
	if _, known := members.Address(name); !known {
		return &jobpb.Response{Outcome: jobpb.Response_INVALID, Reason: "a member's name holds its address"}
	}
	if !status.LeaseValid {
		return &jobpb.Response{Outcome: jobpb.Response_NOT_LEADER, Leader: status.Leader}
	}
	c.mu.Lock()
	c.joining[name] = c.o.Clock.Now()
	c.mu.Unlock()
	return &jobpb.Response{}
}
