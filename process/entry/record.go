package entry

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/request/forward"
	"marjoramtiller.example/marjoramtiller/request/ledgerpb"
	"marjoramtiller.example/marjoramtiller/request/outcome"
)

const (
	// maxRecordedBody is the largest response body that a record stores.
	maxRecordedBody = 16 << 10
	recordRetry     = 200 * time.Millisecond
	runningRetry    = time.Second
)

var errNotWaiting = errors.New("a slot was granted to a request that is not waiting, or at a server without a target")

// record identifies one Begin command of this entry in the ledger.
type record struct {
	key         string
	fingerprint []byte
	service     string
	attempt     uint64
}

func (e *Entry) callLedger(ctx context.Context, key string, c *ledgerpb.Command) (*ledgerpb.Result, error) {
	resp, err := e.options.Control.Ledger(ctx, &wirepb.LedgerRequest{Group: e.options.KeyGroup(key), Command: c})
	if err != nil {
		return nil, err
	}
	if resp.GetResult() == nil {
		return nil, errors.New("entry: the response of the ledger has no result")
	}
	return resp.GetResult(), nil
}

func (e *Entry) beginCommand(r *record) *ledgerpb.Command {
	return &ledgerpb.Command{Body: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{
		Key: r.key, Fingerprint: r.fingerprint, Service: r.service,
		Entry: e.options.Name, BootId: e.options.BootID, Attempt: r.attempt,
	}}}
}

// beginRecord requests permission to run from the ledger. If the result is
// lost, the same attempt is sent again in the background and aborted, as
// nothing was written to a backend server.
func (e *Entry) beginRecord(ctx context.Context, r *record) (*ledgerpb.Result, *outcome.Error) {
	ctx, cancel := context.WithTimeout(ctx, e.options.BeginWait)
	defer cancel()
	res, err := e.callLedger(ctx, r.key, e.beginCommand(r))
	if err == nil {
		return res, nil
	}
	e.metrics.ledgerFailures.Add(1)
	e.abortRecord(r, true)
	return nil, outcome.New(outcome.CauseUnavailable, "the ledger cannot be reached").WithRetryAfter(unavailableRetry)
}

// abortRecord aborts a Begin for which nothing was written to a backend server.
// If beginUncertain is set, it first sends the Begin again to get its result,
// and aborts only if this attempt may run.
func (e *Entry) abortRecord(r *record, beginUncertain bool) {
	e.background.Go(func() {
		e.metrics.pendingRecords.Add(1)
		defer e.metrics.pendingRecords.Add(-1)
		if beginUncertain {
			res := e.sendUntilRecorded(r.key, e.beginCommand(r))
			if res.GetKind() != ledgerpb.Result_KIND_GO_AHEAD {
				return
			}
		}
		e.sendUntilRecorded(r.key, &ledgerpb.Command{Body: &ledgerpb.Command_Abort{Abort: &ledgerpb.Abort{
			Key: r.key, Entry: e.options.Name, BootId: e.options.BootID, Attempt: r.attempt,
		}}})
	})
}

// finishRecord records a response and returns when it is recorded. If that
// takes longer than FinishWait, it returns while the record is still being
// written: the request has run, and a withheld response would be lost to the
// caller if this process exited. Until the record is written, a key that is
// sent again gets "running" or "unknown" and never runs a second time.
func (e *Entry) finishRecord(r *record, answer *ledgerpb.Answer, unknown bool) {
	if unknown {
		e.metrics.countUnknown(r.service)
	}
	done := make(chan struct{})
	e.background.Go(func() {
		defer close(done)
		e.metrics.pendingRecords.Add(1)
		defer e.metrics.pendingRecords.Add(-1)
		e.sendUntilRecorded(r.key, &ledgerpb.Command{Body: &ledgerpb.Command_Finish{Finish: &ledgerpb.Finish{
			Key: r.key, Entry: e.options.Name, BootId: e.options.BootID, Attempt: r.attempt, Answer: answer, Unknown: unknown,
		}}})
	})
	t := time.NewTimer(e.options.FinishWait)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
		e.metrics.answeredUnrecorded.Add(1)
		e.options.Log.Warn().Str("key", r.key).Msg("the response is sent before its ledger record is written: the ledger did not respond in time")
	}
}

// sendUntilRecorded sends a command until the ledger returns a result, or until
// abortCtx ends. In the latter case it returns nil.
func (e *Entry) sendUntilRecorded(key string, c *ledgerpb.Command) *ledgerpb.Result {
	for {
		res, err := e.callLedger(e.abortCtx, key, c)
		if err == nil {
			return res
		}
		e.metrics.ledgerFailures.Add(1)
		sleep(e.abortCtx, recordRetry)
		if e.abortCtx.Err() != nil {
			return nil
		}
	}
}

// reportBoot reports this boot to every ledger group, which marks the running
// records of earlier boots of this entry as unknown.
func (e *Entry) reportBoot(ctx context.Context) {
	for g := range e.options.LedgerGroups {
		req := &wirepb.LedgerRequest{Group: g, Command: &ledgerpb.Command{Body: &ledgerpb.Command_EntryBoot{
			EntryBoot: &ledgerpb.EntryBoot{Entry: e.options.Name, BootId: e.options.BootID},
		}}}
		for ctx.Err() == nil {
			_, err := e.options.Control.Ledger(ctx, req)
			if err == nil {
				break
			}
			e.metrics.ledgerFailures.Add(1)
			sleep(ctx, recordRetry)
		}
	}
}

// outcomeOf converts a ledger result other than GO_AHEAD and FINISHED to an
// outcome.
func outcomeOf(res *ledgerpb.Result) *outcome.Error {
	detail := res.GetMessage()
	switch res.GetKind() {
	case ledgerpb.Result_KIND_RUNNING:
		return outcome.New(outcome.CauseKeyRunning, detail).WithRetryAfter(runningRetry)
	case ledgerpb.Result_KIND_UNKNOWN:
		return outcome.New(outcome.CauseKeyUnknown, detail)
	case ledgerpb.Result_KIND_EXPIRED:
		return outcome.New(outcome.CauseKeyExpired, detail)
	case ledgerpb.Result_KIND_MISMATCH:
		return outcome.New(outcome.CauseKeyReused, detail)
	case ledgerpb.Result_KIND_INVALID:
		return outcome.New(outcome.CauseInvalidKey, detail)
	case ledgerpb.Result_KIND_NO_RECORD, ledgerpb.Result_KIND_ABORTED:
		return outcome.New(outcome.CauseNoRecord, detail)
	}
	return outcome.New(outcome.CauseUnavailable, "the ledger accepts no new record now: "+detail).WithRetryAfter(unavailableRetry)
}

// newAnswer returns the record of a response. body is nil if it is too large to
// be recorded.
func newAnswer(resp *forward.Response, body []byte, omitted bool) *ledgerpb.Answer {
	a := &ledgerpb.Answer{Status: uint32(resp.Status), Body: body, BodyOmitted: omitted}
	names := make([]string, 0, len(resp.Header))
	for name := range resp.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, v := range resp.Header[name] {
			a.Headers = append(a.Headers, &ledgerpb.Header{Name: name, Value: v})
		}
	}
	return a
}
