package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a lease counted from the arrival of the answer: a slow
// answer would make the entry's copy outlive the leader's count.
func TestLeasesCountFromTheSending(t *testing.T) {
	is := is.New(t)
	s := NewServing()
	y := sync(second)
	y.Live = []LiveServer{{Name: "b", Lease: time.Minute}}
	is.True(s.Synced(y, 3*second))
	is.Equal(s.ServerLeft("b", 3*second), 2*second)
	is.Equal(s.MaySend("b", 5*second), ServerLeaseOver) // no longer than 4 s
	is.True(s.ConfigLeft(13*second-1) > 0)
	is.True(s.ConfigLeft(13*second) == 0)
}

// Guards against a server that has refused or left and is used again because
// of a sync sent before, or of an answer to an earlier request; and against one
// that stays unused although a later sync, full or not, has it still listed.
func TestEndedServerStaysEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		partial := Sync{Term: 1, ConfigLease: ConfigLease}
		s := NewServing()
		s.Synced(sync(0, "b"), 0)
		ended := time.Duration(rapid.IntRange(0, 1000).Draw(t, "ended"))
		s.Revoke("b", ended)
		early := partial
		early.SentAt = time.Duration(rapid.IntRange(0, int(ended)).Draw(t, "sent"))
		if rapid.Bool().Draw(t, "full") {
			early = sync(early.SentAt, "b")
		}
		s.Synced(early, ended)
		s.Answered("b", early.SentAt, ended+1, false)
		if d := s.MaySend("b", ended+2); d == Allowed {
			t.Fatalf("ended at %d, allowed after a sync sent at %d", ended, early.SentAt)
		}
		later := partial
		if rapid.Bool().Draw(t, "later full") {
			later = sync(0, "b")
		}
		later.SentAt = ended + 2
		s.Synced(later, ended+2)
		if d := s.MaySend("b", ended+2); d != Allowed {
			t.Fatalf("a later sync does not restore the lease: %v", d)
		}
		s.Revoke("b", ended+3)
		s.Synced(Sync{SentAt: ended + 4, Term: 1, ConfigLease: ConfigLease, Gone: []string{"b"}}, ended+4)
		s.Synced(Sync{SentAt: ended + 5, Term: 1, ConfigLease: ConfigLease}, ended+5)
		if d := s.MaySend("b", ended+5); d != ServerUnknown {
			t.Fatalf("a server that is gone is restored: %v", d)
		}
	})
}
