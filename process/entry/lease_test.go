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
