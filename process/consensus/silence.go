package consensus

import (
	"slices"
	"strings"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// Members that are gone for good are recognised by the time for which they have been silent.
// A group may change its leader more often than that time passes, so it must not start anew with
// each leader. Heartbeats therefore name the silent members, and a replica that becomes leader
// goes on from what the leaders before it have told.

// silences returns for how long members have been silent, for those that have been so for the
// minimum election timeout or longer. Only the leader knows any.
func (c *Core) silences() map[string]time.Duration {
	var silent map[string]time.Duration
	for name, p := range c.progress {
		d := c.now - p.lastHeard
		if d < c.cfg.ElectionTimeoutMin {
			continue
		}
		if silent == nil {
			silent = map[string]time.Duration{}
		}
		silent[name] = d
	}
	return silent
}

// silentMembers returns the silent members for a heartbeat, ordered by name.
func (c *Core) silentMembers() []*wirepb.MemberSilence {
	var list []*wirepb.MemberSilence
	for name, d := range c.silences() {
		list = append(list, &wirepb.MemberSilence{Name: name, Ms: uint64(d.Milliseconds())})
	}
	slices.SortFunc(list, func(a, b *wirepb.MemberSilence) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// recordLeader records at a follower that the leader has sent m, and what m tells of silent
// members. A time in lastHeard may lie before the start of this replica's clock.
func (c *Core) recordLeader(m *wirepb.RaftMessage) {
	if m.Type == wirepb.RaftMessage_TYPE_HEARTBEAT || c.lastHeard == nil {
		c.lastHeard = make(map[string]time.Duration, len(m.SilentMembers)+1)
		for _, s := range m.SilentMembers {
			silence := time.Duration(min(s.Ms, maxSilenceMs)) * time.Millisecond
			c.lastHeard[s.Name] = c.now - silence
		}
	}
	c.lastHeard[m.From] = c.now
}

// maxSilenceMs bounds the silences that are taken from messages.
const maxSilenceMs = uint64(365 * 24 * time.Hour / time.Millisecond)

// recordSilences keeps what this replica knows as leader for when it leads again.
func (c *Core) recordSilences() {
	c.lastHeard = map[string]time.Duration{}
	for name, d := range c.silences() {
		c.lastHeard[name] = c.now - d
	}
}

// heardBefore returns at an election when a member was last heard of. A member of which no
// leader told that it was silent counts as heard of now.
func (c *Core) heardBefore(name string) time.Duration {
	if at, told := c.lastHeard[name]; told {
		return at
	}
	return c.now
}
