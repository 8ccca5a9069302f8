// Package retry decides which failed requests may be sent again and bounds
// the share of retries with a token bucket. It keeps no clock: times are
// durations since the driver's start.
package retry

import "time"

const (
	// tokensPerRetry makes the tokens of one request equal to the budget's percentage.
	tokensPerRetry = 100
	// maxTokens bounds a burst of retries after a long time without failures.
	maxTokens = 20 * tokensPerRetry
	// idleReset discards credit earned by traffic that has ended.
	idleReset = 10 * time.Second
	// MaxAttempts bounds the attempts for one request, the first included.
	MaxAttempts = 3
)

// Budget is a token bucket filled by requests and emptied by retries. It is
// not safe for concurrent use. The zero value allows no retries.
type Budget struct {
	percent int
	tokens  int
	last    time.Duration
}

// NewBudget returns a budget for retries as a percentage of requests.
func NewBudget(percent int) Budget { return Budget{percent: max(0, percent)} }

// Request records the arrival of a request.
func (b *Budget) Request(now time.Duration) {
	b.expire(now)
	b.last = now
	b.tokens = min(b.tokens+b.percent, maxTokens)
}

// Take reports whether the budget allows one retry, and if so charges it.
func (b *Budget) Take(now time.Duration) bool {
	b.expire(now)
	if b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}

func (b *Budget) expire(now time.Duration) {
	if now-b.last > idleReset {
		b.tokens = 0
	}
}

// Failure describes an attempt that brought no answer.
type Failure struct {
	Idempotent     bool // by method, RFC 9110 section 9.2.2
	Written        bool // at least one byte reached the connection to the backend server
	AnswerStarted  bool // response headers were received
	BodyConsumed   bool // the request body streamed and cannot be sent again
	Attempts       int  // attempts so far, this one included
	DeadlinePassed bool
}

// Verdict is the decision about a failed attempt.
type Verdict int

const (
	// GiveUp means that the failure goes to the caller.
	GiveUp Verdict = iota
	// Again means that nothing was sent, so that another server may be chosen freely.
	Again
	// AgainInBudget means that the request may be sent again if the budget allows.
	AgainInBudget
)

// Decide returns what may follow a failure. A non-idempotent request that may
// have run is never sent again.
func Decide(f Failure) Verdict {
	if f.AnswerStarted || f.BodyConsumed || f.DeadlinePassed || f.Attempts >= MaxAttempts {
		return GiveUp
	}
	if !f.Written {
		return Again
	}
	if f.Idempotent {
		return AgainInBudget
	}
	return GiveUp
}
