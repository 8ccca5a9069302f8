package entry

import (
	"context"
	"net/http"
	"time"

	"marjoramtiller.example/marjoramtiller/request/ledgerpb"
	"marjoramtiller.example/marjoramtiller/request/outcome"
)

const (
	// checkWait bounds the check of a rejected request's key.
	checkWait = time.Second
	// maxChecks bounds the concurrent checks, so that a burst of rejections does
	// not become a burst of ledger calls.
	maxChecks = 64
)

// checkEarlier returns the outcome of a request that was rejected here. A
// rejection alone does not say that the request did not run: the caller may have
// sent it before with the same key, through this entry or another one. It stays
// "not run" only if the ledger has no record of the key, or if this sending
// itself held the record and was withdrawn.
func (e *Entry) checkEarlier(r *http.Request, c *call, rejected *outcome.Error) *outcome.Error {
	if rejected.Kind != outcome.NotRun || outcome.Idempotent(r.Method) || (c != nil && c.begun) {
		return rejected
	}
	key, err := e.o.CheckKey(r.Header.Get(keyHeader))
	if err != nil || rejected.Cause == outcome.CauseKeyReused {
		return rejected // no request with this key can have run as this one
	}
	select {
	case e.checks <- struct{}{}:
		defer func() { <-e.checks }()
	default:
		return unchecked(rejected)
	}
	ctx, cancel := context.WithTimeout(r.Context(), checkWait)
	defer cancel()
	res, err := e.ledger(ctx, key, &ledgerpb.Command{Body: &ledgerpb.Command_Query{Query: &ledgerpb.Query{Key: key}}})
	if err != nil {
		return unchecked(rejected)
	}
	switch res.GetKind() {
	case ledgerpb.Result_KIND_NO_RECORD, ledgerpb.Result_KIND_ABORTED:
		return rejected
	case ledgerpb.Result_KIND_FINISHED:
		return outcome.New(outcome.CauseKeyFinished, rejected.Detail).After(retryAfter(rejected))
	}
	return explain(res)
}

func unchecked(rejected *outcome.Error) *outcome.Error {
	return outcome.New(outcome.CauseKeyUnchecked, rejected.Detail).After(retryAfter(rejected))
}

func retryAfter(o *outcome.Error) time.Duration { return max(o.RetryAfter, unavailableRetry) }
