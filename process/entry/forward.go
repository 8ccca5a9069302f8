package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"marjoramtiller.example/marjoramtiller/request/forward"
	"marjoramtiller.example/marjoramtiller/request/ledgerpb"
	"marjoramtiller.example/marjoramtiller/request/outcome"
	"marjoramtiller.example/marjoramtiller/request/retry"
)

// forwardRequest acquires a slot for a request, begins its record, sends it to
// a backend server and passes the response on, with retries. It returns nil if
// the caller has received a response.
func (e *Entry) forwardRequest(w *callerWriter, r *http.Request, c *callerRequest) *outcome.Error {
	ctx := r.Context()
	e.mu.Lock()
	e.budget.RecordRequest(c.arrived)
	e.mu.Unlock()
	s, oerr := e.acquire(ctx, c.queued)
	if oerr != nil {
		return oerr
	}
	if c.record != nil {
		// A non-idempotent request that may run is completed even if the caller
		// disconnects, so that its outcome is recorded.
		ctx = e.abortCtx
		if replay, oerr := e.beginOrReplay(ctx, w, c); replay || oerr != nil {
			e.release(s, false)
			return oerr
		}
	}
	for {
		c.attempts++
		sent := e.now()
		resp, failure := e.send(ctx, r, c, s)
		if failure == nil {
			e.noteResponse(s, sent, resp)
			return e.writeResponse(w, c, s, resp)
		}
		c.mayHaveRun = c.mayHaveRun || failure.Written
		e.noteFailure(s, failure)
		if !e.mayRetry(c, failure) {
			e.release(s, failure.Kind == forward.TimedOut)
			return e.failRequest(c, failure)
		}
		e.metrics.countRetry(c.service)
		if s, oerr = e.requeue(ctx, s); oerr != nil {
			if c.record != nil {
				e.abortRecord(c.record, false)
			}
			return retryWithoutSlot(c, failure, oerr)
		}
	}
}

// retryWithoutSlot returns the outcome of a request that got no slot for
// another attempt. If an earlier attempt was written, the request may have run.
func retryWithoutSlot(c *callerRequest, failure *forward.Failure, oerr *outcome.Error) *outcome.Error {
	if !c.mayHaveRun {
		return oerr
	}
	return outcome.New(outcome.CauseServerFailed, failure.Err.Error()).WithRetryAfter(oerr.RetryAfter)
}

// beginOrReplay requests permission to run from the ledger. It returns true if
// the caller has received the recorded response of an earlier run.
func (e *Entry) beginOrReplay(ctx context.Context, w http.ResponseWriter, c *callerRequest) (bool, *outcome.Error) {
	res, oerr := e.beginRecord(ctx, c.record)
	if oerr != nil {
		return false, oerr
	}
	switch res.GetKind() {
	case ledgerpb.Result_KIND_GO_AHEAD:
		c.begun = true
		return false, nil
	case ledgerpb.Result_KIND_FINISHED:
		if res.GetAnswer().GetBodyOmitted() {
			detail := "its status was " + strconv.Itoa(int(res.GetAnswer().GetStatus()))
			return false, outcome.New(outcome.CauseAnswerOmitted, detail)
		}
		writeRecorded(w, res.GetAnswer())
		return true, nil
	}
	return false, outcomeOf(res)
}

func writeRecorded(w http.ResponseWriter, a *ledgerpb.Answer) {
	h := w.Header()
	for _, f := range a.GetHeaders() {
		h.Add(f.GetName(), f.GetValue())
	}
	if a.GetStatus() != http.StatusNoContent && a.GetStatus() != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.GetBody())))
	}
	w.WriteHeader(int(a.GetStatus()))
	_, _ = w.Write(a.GetBody())
}

func (e *Entry) send(ctx context.Context, r *http.Request, c *callerRequest, s slot) (*forward.Response, *forward.Failure) {
	body, length := c.bodyReader()
	if c.stream != nil {
		length = r.ContentLength
	}
	return s.target.transport.Do(ctx, forward.Request{
		Method:        r.Method,
		Path:          c.path,
		RawQuery:      c.query,
		Host:          r.Host,
		Header:        r.Header,
		Body:          body,
		ContentLength: length,
		Timeout:       e.timeout(c),
		Allowed:       func() bool { return e.mayWrite(s.server, s.target) },
	})
}

// timeout returns the time limit of an attempt. The limit of an idempotent
// request includes its deadline. That of a non-idempotent one does not:
// interrupting it would make its outcome unknown.
func (e *Entry) timeout(c *callerRequest) time.Duration {
	t := e.options.AnswerTimeout
	if c.idempotent && c.deadline > 0 {
		t = min(t, c.deadline-e.now())
	}
	return max(t, time.Millisecond)
}

// noteFailure makes the queue prefer other servers to one that failed, and
// revokes the lease of one that refused a connection.
func (e *Entry) noteFailure(s slot, failure *forward.Failure) {
	if failure.Kind == forward.CallerGone || failure.Kind == forward.BodyFailed || failure.Kind == forward.NotAllowed {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.core.MarkFailed(now, s.server)
	if failure.Kind == forward.DialFailed {
		e.leases.Revoke(s.server, now)
		e.failedServers[s.server] = true
		e.refreshServers(now)
	}
}

func (e *Entry) mayRetry(c *callerRequest, failure *forward.Failure) bool {
	if failure.Kind == forward.CallerGone || failure.Kind == forward.BodyFailed {
		return false
	}
	now := e.now()
	verdict := retry.Decide(retry.Failure{
		Idempotent:     c.idempotent,
		Written:        failure.Written,
		BodyConsumed:   c.stream != nil && c.stream.count.Load() > 0,
		Attempts:       c.attempts,
		DeadlinePassed: c.deadline > 0 && now >= c.deadline,
	})
	if verdict == retry.RetryWithinBudget {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.budget.Take(now)
	}
	return verdict == retry.RetryUnconditionally
}

// failRequest returns the outcome of a request that got no response, and aborts or
// finishes its record.
func (e *Entry) failRequest(c *callerRequest, failure *forward.Failure) *outcome.Error {
	if !c.mayHaveRun {
		if c.record != nil {
			e.abortRecord(c.record, false)
		}
		return outcome.New(outcome.CauseUnavailable, "no backend server could be reached").WithRetryAfter(unavailableRetry)
	}
	if c.record != nil {
		e.finishRecord(c.record, nil, true)
	}
	if failure.Kind == forward.TimedOut {
		return outcome.New(outcome.CauseServerTimeout, failure.Err.Error())
	}
	return outcome.New(outcome.CauseServerFailed, failure.Err.Error())
}

// writeResponse passes a response on to the caller. If the response proves
// incomplete after its headers were sent, the caller's connection is aborted.
func (e *Entry) writeResponse(w *callerWriter, c *callerRequest, s slot, resp *forward.Response) *outcome.Error {
	if c.record != nil {
		return e.recordAndWrite(w, c, s, resp)
	}
	e.relay(w, c, s, resp, nil)
	return nil
}

// relay passes a response on to the caller. The slot is released as soon as the
// backend server's response has been read to its end, even if the caller
// receives it slowly. While the slot is held, the caller has less time.
func (e *Entry) relay(w *callerWriter, c *callerRequest, s slot, resp *forward.Response, prefix []byte) {
	w.setProgress(e.newProgress().Stricter(slotHolderFactor))
	err := resp.Relay(w, prefix, e.reserveReadAhead(c, resp.ContentLength), func(err error) {
		w.setProgress(e.newProgress())
		e.release(s, err == nil)
	})
	if err != nil {
		e.abortResponse(c)
	}
}

// noteResponse renews the lease of a server that responded to a request sent at
// sent, or revokes it if the response says that the server is leaving.
func (e *Entry) noteResponse(s slot, sent time.Duration, resp *forward.Response) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.leases.ApplyResponse(s.server, sent, now, resp.Leaving)
	if resp.Leaving {
		e.refreshServers(now)
	}
}

// recordAndWrite records the response before it is sent to the caller. If more
// than maxRecordedBody bytes of the body arrive, only status and headers are
// recorded, and the response is streamed from there.
func (e *Entry) recordAndWrite(w *callerWriter, c *callerRequest, s slot, resp *forward.Response) *outcome.Error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRecordedBody+1))
	if err != nil || (resp.ContentLength >= 0 && resp.ContentLength <= maxRecordedBody && int64(len(body)) != resp.ContentLength) {
		_ = resp.Body.Close()
		e.release(s, false)
		e.finishRecord(c.record, nil, true)
		if err == nil {
			err = errBodyTruncated
		}
		return outcome.New(outcome.CauseServerFailed, err.Error())
	}
	if len(body) > maxRecordedBody {
		e.finishRecord(c.record, newAnswer(resp, nil, true), false)
		e.relay(w, c, s, resp, body)
		return nil
	}
	_ = resp.Body.Close()
	e.release(s, true)
	a := newAnswer(resp, body, false)
	e.finishRecord(c.record, a, false)
	writeRecorded(w, a)
	return nil
}

func (e *Entry) abortResponse(c *callerRequest) {
	e.metrics.abortedAnswers.Add(1)
	e.metrics.countRequest(c.service, labelAborted)
	panic(http.ErrAbortHandler)
}
