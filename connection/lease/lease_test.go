package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const second = time.Second

func report(entry, boot string, acked uint64) Report {
	return Report{ID: SessionID{entry, boot}, AckedVersion: acked}
}

// Guards against a version called in force while an entry still acts on an
// older one.
func TestInForceNeedsEveryLiveEntry(t *testing.T) {
	is := is.New(t)
	l := NewLeader(0, nil, nil)
	a := SessionID{"a", "1"}
	b := SessionID{"b", "1"}
	is.True(l.Answered(a, 0) != nil) // it has not reported
	is.NoErr(l.Report(report("a", "1", 5), 0))
	is.NoErr(l.Answered(a, 0))
	is.NoErr(l.Report(report("b", "1", 3), second))
	is.NoErr(l.Answered(b, second))
	is.Equal(l.InForce(5, second), uint64(3))
	is.NoErr(l.Report(report("a", "1", 4), 2*second)) // overtaken by a later report
	is.NoErr(l.Report(report("b", "1", 5), 2*second))
	is.Equal(l.InForce(6, 2*second), uint64(5))
	is.NoErr(l.Report(report("a", "1", 9), 3*second))
	is.NoErr(l.Answered(a, 3*second))
	is.True(!l.Over(b, 13*second-1))
	is.Equal(l.InForce(9, 13*second-1), uint64(5))
	is.Equal(l.InForce(9, 13*second), uint64(9)) // the lease of b is over
	is.True(l.Over(b, 13*second))
	is.Equal(l.Expire(13 * second)[0].ID, b)
}

// Guards against a new leader that takes entries or servers for gone which an
// earlier leader gave a lease just before.
func TestNewLeaderGrantsFullLease(t *testing.T) {
	is := is.New(t)
	l := NewLeader(second, []string{"a", "b"}, []RegisteredServer{{"s", "1"}})
	is.Equal(l.InForce(7, second), uint64(0))
	is.Equal(l.Waiting(second), []string{"a", "b"})
	is.NoErr(l.Report(report("a", "1", 7), 2*second))
	is.Equal(l.Waiting(2*second), []string{"b"})
	is.Equal(l.InForce(7, 13*second-1), uint64(0))
	is.True(!l.Over(SessionID{"b", "9"}, 13*second-1))
	is.Equal(len(l.Expire(13*second)), 2) // a was never answered, b never reported
	is.Equal(l.InForce(7, 13*second), uint64(7))
	fresh := NewLeader(0, nil, []RegisteredServer{{"s", "1"}})
	is.Equal(fresh.ServerLeft("s", 4*second-1), time.Duration(1))
	is.Equal(fresh.ExpiredServers(4 * second)[0].Name, "s")
}

// Guards against forgetting a paused process when its host starts another.
func TestEarlierBootKeepsLease(t *testing.T) {
	is := is.New(t)
	l := NewLeader(0, nil, nil)
	is.NoErr(l.Report(report("a", "1", 2), 0))
	is.NoErr(l.Answered(SessionID{"a", "1"}, 0))
	is.NoErr(l.Report(report("a", "2", 5), second))
	is.NoErr(l.Answered(SessionID{"a", "2"}, second))
	is.Equal(l.InForce(5, 12*second-1), uint64(2))
	is.Equal(l.InForce(5, 12*second), uint64(5))
}

// Guards against a server that keeps a lease it does not renew.
func TestHeartbeat(t *testing.T) {
	is := is.New(t)
	l := NewLeader(0, nil, nil)
	is.NoErr(l.Heartbeat("s", "1", 0))
	is.NoErr(l.Heartbeat("s", "1", 3*second))
	is.Equal(l.ServerLeft("s", 5*second), 2*second)
	for name, left := range l.Live(6 * second) {
		is.Equal(name, "s")
		is.Equal(left, second)
	}
	is.Equal(l.ServerLeft("s", 7*second), time.Duration(0))
	l.RemoveServer("s")
	is.Equal(len(l.ExpiredServers(9*second)), 0)
}

// Guards against a clock that goes back and makes leases longer.
func TestTimeBackStops(t *testing.T) {
	is := is.New(t)
	l := NewLeader(second, nil, nil)
	is.True(l.Heartbeat("s", "1", 0) != nil)
	is.Equal(l.Broken().(*InvariantError).Name, InvariantTimeForward)
	s := NewServing()
	s.MaySend("s", second)
	is.Equal(s.MaySend("s", 0), Stopped)
}

func sync(sentAt time.Duration, live ...string) Sync {
	y := Sync{SentAt: sentAt, Term: 1, ConfigLease: ConfigLease, Full: true}
	for _, name := range live {
		y.Live = append(y.Live, LiveServer{Name: name, Lease: ServerLease})
	}
	return y
}

// Guards against work sent on either lease alone.
func TestBothLeasesNeeded(t *testing.T) {
	is := is.New(t)
	s := NewServing()
	is.Equal(s.MaySend("s", 0), ConfigLeaseOver)
	is.True(s.Synced(sync(0, "s"), second)) // counts from when it was sent
	is.Equal(s.MaySend("other", second), ServerUnknown)
	is.Equal(s.MaySend("s", 4*second-1), Allowed)
	is.Equal(s.MaySend("s", 4*second), ServerLeaseOver)
	for at := 4 * second; at < 12*second; at += second {
		s.Answered("s", at, at, false) // the server answers, the leader does not
	}
	is.Equal(s.MaySend("s", 12*second-1), Allowed)
	is.Equal(s.ConfigLeft(12*second-1), time.Duration(1))
	is.Equal(s.MaySend("s", 12*second), ConfigLeaseOver)
}

// Guards against work sent to a server that said it is leaving or refused a
// connection, on the word of an older sync or response.
func TestRevokedServerStaysRevoked(t *testing.T) {
	is := is.New(t)
	s := NewServing()
	s.Synced(sync(0, "s"), 0)
	s.Answered("s", 0, second, true)
	is.Equal(s.MaySend("s", second), ServerUnknown)
	s.Answered("s", 0, 2*second, false) // sent before it said so
	s.Synced(sync(second, "s"), 2*second)
	is.Equal(s.MaySend("s", 2*second), ServerUnknown)
	s.Synced(sync(2*second, "s"), 2*second)
	is.Equal(s.MaySend("s", 2*second), Allowed)
	s.Synced(Sync{SentAt: 3 * second, Term: 1, ConfigLease: ConfigLease, Gone: []string{"s"}}, 3*second)
	is.Equal(s.MaySend("s", 3*second), ServerUnknown)
}

// Guards against an answer of a deposed leader that takes effect late.
func TestOlderSyncIgnored(t *testing.T) {
	is := is.New(t)
	s := NewServing()
	newer := sync(second)
	newer.Term = 2
	is.True(s.Synced(newer, second))
	is.True(!s.Synced(sync(2*second, "s"), 2*second)) // an earlier term
	older := sync(0, "s")
	older.Term = 2
	is.True(!s.Synced(older, 2*second))
	is.Equal(s.MaySend("s", 2*second), ServerUnknown)
}

// Guards against a list of changes that ends the leases of unchanged servers.
func TestPartialSyncRenews(t *testing.T) {
	is := is.New(t)
	s := NewServing()
	s.Synced(sync(0, "s", "t"), 0)
	s.Synced(Sync{SentAt: 3 * second, Term: 1, ConfigLease: ConfigLease, Gone: []string{"t"}}, 3*second)
	is.Equal(s.MaySend("s", 7*second-1), Allowed)
	is.Equal(s.MaySend("t", 7*second-1), ServerUnknown)
	is.Equal(s.MaySend("s", 7*second), ServerLeaseOver)
}

// Guards against an entry whose lease outlives the leader's copy of it, with any
// delay or loss of requests and answers and a leader clock with another origin.
func TestEntryLeaseEndsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		origin := time.Duration(rapid.IntRange(0, 100).Draw(t, "origin")) * second
		l := NewLeader(origin, nil, nil)
		s := NewServing()
		id := SessionID{"a", "1"}
		now := time.Duration(0)
		pass := func() { now += time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond }
		for range 20 {
			pass()
			sent := now
			pass()
			if rapid.Bool().Draw(t, "requestLost") {
				continue
			}
			if l.Report(report("a", "1", 1), origin+now) != nil || l.Answered(id, origin+now) != nil {
				t.Fatal(l.Broken())
			}
			pass()
			if !rapid.Bool().Draw(t, "answerLost") {
				s.Synced(sync(sent, "s"), now)
			}
			pass()
			if s.ConfigLeft(now) > 0 && l.Over(id, origin+now) {
				t.Fatal("the leader took the entry's lease for over before the entry did")
			}
		}
		if l.Broken() != nil || s.Broken() != nil {
			t.Fatal(l.Broken(), s.Broken())
		}
	})
}
