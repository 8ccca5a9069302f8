package entry

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
	l := newLeases()
	l.synced(time.Second, 12*time.Second)
	is.True(l.configValid(13*time.Second - 1))
	is.True(!l.configValid(13 * time.Second))
	l.listed("b", time.Second, time.Minute)
	is.True(!l.serverValid("b", 5*time.Second)) // no longer than 4 s
}

// Guards against a server that has refused or left and is used again because
// of a sync sent before, or of an answer to an earlier request.
func TestEndedServerStaysEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLeases()
		l.listed("b", 0, serverLease)
		ended := time.Duration(rapid.IntRange(0, 1000).Draw(t, "ended"))
		l.end("b", ended)
		sent := time.Duration(rapid.IntRange(0, int(ended)).Draw(t, "sent"))
		l.listed("b", sent, serverLease)
		l.answered("b", ended+1)
		if l.serverValid("b", ended+2) {
			t.Fatalf("ended at %d, valid after a sync sent at %d", ended, sent)
		}
		l.listed("b", ended+1, serverLease)
		if !l.serverValid("b", ended+2) {
			t.Fatal("a later sync does not restore the lease")
		}
	})
}

// Guards against a renewal of the whole list that gives another lease than the
// renewal of each listed server by itself.
func TestRenewalOfTheListEqualsThatOfEachServer(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		list, each := newLeases(), newLeases()
		now, lastSent := time.Duration(0), time.Duration(-1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
			// An entry sends its syncs one after the other.
			sent := max(lastSent+1, now-time.Duration(rapid.IntRange(0, 1000).Draw(t, "delay"))*time.Millisecond)
			lastSent = sent
			name := rapid.SampledFrom(names).Draw(t, "server")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				lease := time.Duration(rapid.IntRange(1, 6000).Draw(t, "lease")) * time.Millisecond
				list.renewed(sent)
				for other := range each.servers {
					each.listed(other, sent, serverLease)
				}
				list.listed(name, sent, lease)
				each.listed(name, sent, lease)
			case 1:
				list.renewed(sent)
				for other := range each.servers {
					each.listed(other, sent, serverLease)
				}
			case 2:
				list.end(name, now)
				each.end(name, now)
			case 3:
				list.answered(name, now)
				each.answered(name, now)
			case 4:
				list.gone(name)
				each.gone(name)
			}
			for _, n := range names {
				if list.serverValid(n, now) != each.serverValid(n, now) {
					t.Fatalf("server %s at %v: valid is %v for the list and %v by itself", n, now, list.serverValid(n, now), each.serverValid(n, now))
				}
			}
		}
	})
}
