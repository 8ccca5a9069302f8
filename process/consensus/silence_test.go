package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// Guards against a group whose leaders change so often that no leader is silent to one of them
// long enough to be removed: the time for which members have been silent outlives the leader.
func TestSilenceOutlivesTheLeader(t *testing.T) {
	is := is.New(t)
	in := foundedAtTerm(1)
	in.Entries = []*wirepb.RaftEntry{{Term: 1, Index: 1}}
	c := newTestCore(t, in, "a", "b", "c", "d", "e")
	step := func(at time.Duration, m *wirepb.RaftMessage) {
		t.Helper()
		is.NoErr(c.Step(at, m))
		processReady(c)
	}
	heartbeat := messageFromB(wirepb.RaftMessage_TYPE_HEARTBEAT, 1)
	heartbeat.SilentMembers = []*wirepb.MemberSilence{{Name: "c", Ms: 9000}, {Name: "unknown", Ms: 1 << 63}}
	step(time.Second, heartbeat)
	is.NoErr(c.Tick(4 * time.Second))
	processReady(c)
	for _, kind := range []wirepb.RaftMessage_Type{wirepb.RaftMessage_TYPE_PRE_VOTE_RESPONSE, wirepb.RaftMessage_TYPE_VOTE_RESPONSE} {
		for _, from := range []string{"d", "e"} {
			step(4*time.Second, &wirepb.RaftMessage{Group: "g", From: from, To: "a", Type: kind, Term: 2})
		}
	}
	s := c.Status()
	is.Equal(s.Role, Leader)
	is.Equal(s.SinceLastAck["c"], time.Duration(0)) // this leader has not waited for it yet
	is.Equal(s.Silence, map[string]time.Duration{"b": 3 * time.Second, "c": 12 * time.Second})

	ack := func(from string) {
		t.Helper()
		step(4500*time.Millisecond, &wirepb.RaftMessage{Group: "g", From: from, To: "a", Type: wirepb.RaftMessage_TYPE_HEARTBEAT_RESPONSE, Term: 2})
	}
	ack("c")
	ack("d")
	ack("e")
	is.NoErr(c.Tick(4800 * time.Millisecond))
	sent := ofType(processReady(c), wirepb.RaftMessage_TYPE_HEARTBEAT)
	is.True(len(sent) > 0)
	is.Equal(len(sent[0].SilentMembers), 1) // c is back
	is.Equal(sent[0].SilentMembers[0].Name, "b")
	is.Equal(sent[0].SilentMembers[0].Ms, uint64(3800))

	// A leader that steps down and leads again goes on, too.
	step(5*time.Second, &wirepb.RaftMessage{Group: "g", From: "d", To: "a", Type: wirepb.RaftMessage_TYPE_APPEND, Term: 3})
	is.Equal(c.lastHeard["b"], time.Second)
}
