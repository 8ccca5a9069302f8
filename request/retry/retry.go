// Package retry decides which failed requests may be sent again, and limits
// retries to a share of the requests with a token bucket. It does not read a
// clock: times are durations since the start of the driver.
package retry

import "time"

const (
	// tokensPerRetry is 100 so that each request adds as many tokens as the budget's
	// percentage.
	tokensPerRetry = 100
	// maxTokens limits a burst after a long time without failures to 20 retries.
	maxTokens = 20 * tokensPerRetry
	// idleReset is the time without requests after which the tokens of earlier
	// requests are discarded.
	idleReset = 10 * time.Second
	// MaxAttempts is the maximum number of attempts for one request, including the
	// first.
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

// RecordRequest records the arrival of a request, which adds tokens.
func (b *Budget) RecordRequest(now time.Duration) {
	b.expire(now)
	b.last = now
	b.tokens = min(b.tokens+b.percent, maxTokens)
}

// Take reports whether the budget allows one retry, and if so removes its tokens.
func (b *Budget) Take(now time.Duration) bool {
	b.expire(now)
	if b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}

// expire discards the tokens if there was no request within idleReset.
func (b *Budget) expire(now time.Duration) {
	if now-b.last > idleReset {
		b.tokens = 0
	}
}

// Failure describes an attempt without a complete response.
type Failure struct {
	Idempotent     bool // the method is idempotent by RFC 9110 section 9.2.2
	Written        bool // at least one byte reached the connection to the backend server
	AnswerStarted  bool // response headers were received
	BodyConsumed   bool // the request body was streamed and can't be sent again
	Attempts       int  // attempts so far, including this one
	DeadlinePassed bool
}

// Decision states whether a failed request may be sent again.
type Decision int

const (
	// GiveUp means that the failure is returned to the caller.
	GiveUp Decision = iota
	// RetryUnconditionally means that nothing was sent, so the request may be sent to
	// any server without taking tokens from the budget.
	RetryUnconditionally
	// RetryWithinBudget means that the request may be sent again if the budget allows
	// it.
	RetryWithinBudget
)

// Decide returns whether a failed request may be sent again. A non-idempotent
// request that may have run is never sent again.
func Decide(f Failure) Decision {
	if f.AnswerStarted || f.BodyConsumed || f.DeadlinePassed || f.Attempts >= MaxAttempts {
		return GiveUp
	}
	if !f.Written {
		return RetryUnconditionally
	}
	if f.Idempotent {
		return RetryWithinBudget
	}
	return GiveUp
}
