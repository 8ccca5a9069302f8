package entry

import (
	"context"
	"net/http"
	"time"

	"marjoramtiller.example/marjoramtiller/request/ledgerpb"
	"marjoramtiller.example/marjoramtiller/request/outcome"
)

const (
	// keyCheckTimeout bounds the check of a rejected request's key.
	keyCheckTimeout = time.Second
	// maxKeyChecks bounds the concurrent checks, so that a burst of rejections
	// does not cause a burst of ledger calls.
	maxKeyChecks = 64
)

// checkKeyRecord returns the outcome of a request that this entry rejected. The
// rejection alone does not show that the request did not run: the caller may
// have sent it before with the same key, through this entry or another one. The
// outcome stays "not run" only if the ledger has no record of the key, or if
// this submission had begun the record and aborted it.
func (e *Entry) checkKeyRecord(r *http.Request, c *callerRequest, rejected *outcome.Error) *outcome.Error {
	if rejected.Kind != outcome.NotRun || outcome.Idempotent(r.Method) || (c != nil && c.begun) {
		return rejected
	}
	key, err := e.options.CheckKey(r.Header.Get(keyHeader))
	if err != nil || rejected.Cause == outcome.CauseKeyReused {
		return rejected // this request cannot have run under this key
	}
	select {
	case e.keyChecks <- struct{}{}:
		defer func() { <-e.keyChecks }()
	default:
		return keyUnchecked(rejected)
	}
	ctx, cancel := context.WithTimeout(r.Context(), keyCheckTimeout)
	defer cancel()
	res, err := e.callLedger(ctx, key, &ledgerpb.Command{Body: &ledgerpb.Command_Query{Query: &ledgerpb.Query{Key: key}}})
	if err != nil {
		return keyUnchecked(rejected)
	}
	switch res.GetKind() {
	case ledgerpb.Result_KIND_NO_RECORD, ledgerpb.Result_KIND_ABORTED:
		return rejected
	case ledgerpb.Result_KIND_FINISHED:
		return outcome.New(outcome.CauseKeyFinished, rejected.Detail).WithRetryAfter(retryAfter(rejected))
	}
	return outcomeOf(res)
}

func keyUnchecked(rejected *outcome.Error) *outcome.Error {
	return outcome.New(outcome.CauseKeyUnchecked, rejected.Detail).WithRetryAfter(retryAfter(rejected))
}

func retryAfter(o *outcome.Error) time.Duration { return max(o.RetryAfter, unavailableRetry) }
