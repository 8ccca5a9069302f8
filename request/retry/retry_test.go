package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against retries that multiply load during an outage, and against a
// configured share that has no effect.
func TestBudgetAllowsItsShare(t *testing.T) {
	is := is.New(t)
	for percent, want := range map[int]int{0: 0, 10: 100, 25: 250} {
		b := NewBudget(percent)
		retries := 0
		for i := range 1000 {
			now := time.Duration(i) * time.Millisecond
			b.Request(now)
			if b.Take(now) {
				retries++
			}
		}
		is.Equal(retries, want)
	}
}

// Guards against credit of earlier traffic that allows a burst of retries later.
func TestBudgetExpires(t *testing.T) {
	is := is.New(t)
	b := NewBudget(10)
	for range 1000 {
		b.Request(0)
	}
	is.True(!b.Take(11 * time.Second))
}

// Guards against a second run of a non-idempotent request.
func TestNonIdempotentWrittenIsNeverRetried(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Failure{
			Written:        true,
			AnswerStarted:  rapid.Bool().Draw(t, "answer"),
			BodyConsumed:   rapid.Bool().Draw(t, "body"),
			DeadlinePassed: rapid.Bool().Draw(t, "deadline"),
			Attempts:       rapid.IntRange(1, 5).Draw(t, "attempts"),
		}
		if v := Decide(f); v != GiveUp {
			t.Fatalf("%+v: verdict %d", f, v)
		}
	})
}

// Guards against a request that is never given up, and against a failed dial
// that needlessly reaches the caller.
func TestDecide(t *testing.T) {
	is := is.New(t)
	is.Equal(Decide(Failure{Attempts: 1}), Again)
	is.Equal(Decide(Failure{Attempts: 1, Idempotent: true, Written: true}), AgainInBudget)
	is.Equal(Decide(Failure{Attempts: MaxAttempts}), GiveUp)
	is.Equal(Decide(Failure{Attempts: 1, Idempotent: true, Written: true, AnswerStarted: true}), GiveUp)
}
