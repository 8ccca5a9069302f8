package entry

import (
	"context"
	"time"

	"marjoramtiller.example/marjoramtiller/request/outcome"
	"marjoramtiller.example/marjoramtiller/request/queue"
)

// waiter is a request that is waiting for a slot.
type waiter struct {
	service string
	granted chan slot           // buffered, 1
	refused chan *outcome.Error // buffered, 1
}

// slot is the permission to send one request to a backend server.
type slot struct {
	id      queue.ID
	service string
	server  string
	host    string
	target  *target
}

const unavailableRetry = 2 * time.Second

// acquire queues a request and waits for a slot. The slot must be passed to
// release, or to requeue for another attempt.
func (e *Entry) acquire(ctx context.Context, r queue.Request) (slot, *outcome.Error) {
	e.mu.Lock()
	now := e.now()
	if !e.mayServe(now) {
		e.mu.Unlock()
		return slot{}, outcome.New(outcome.CauseUnavailable, "this entry has no valid configuration lease").WithRetryAfter(unavailableRetry)
	}
	id, rej := e.core.Submit(now, r)
	if rej != nil {
		e.mu.Unlock()
		return slot{}, rejection(rej)
	}
	w := &waiter{service: r.Service, granted: make(chan slot, 1), refused: make(chan *outcome.Error, 1)}
	e.waiters[id] = w
	e.dispatch()
	e.syncEarly(now, r.Service)
	e.mu.Unlock()
	return e.awaitSlot(ctx, id, w)
}

func (e *Entry) awaitSlot(ctx context.Context, id queue.ID, w *waiter) (slot, *outcome.Error) {
	select {
	case s := <-w.granted:
		return s, nil
	case err := <-w.refused:
		return slot{}, err
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.core.Cancel(id) {
		delete(e.waiters, id)
		e.dispatch()
		return slot{}, outcome.New(outcome.CauseUnavailable, "the request was cancelled while it was queued")
	}
	select {
	case s := <-w.granted:
		e.endSlot(s, false)
	case <-w.refused:
	}
	return slot{}, outcome.New(outcome.CauseUnavailable, "the request was cancelled while it was queued")
}

// requeue releases a slot and queues its request again, for another server.
func (e *Entry) requeue(ctx context.Context, s slot) (slot, *outcome.Error) {
	e.mu.Lock()
	now := e.now()
	w := &waiter{service: s.service, granted: make(chan slot, 1), refused: make(chan *outcome.Error, 1)}
	if !e.core.Requeue(now, s.id) {
		e.mu.Unlock()
		return slot{}, outcome.New(outcome.CauseUnavailable, "the request could not be queued for another attempt").WithRetryAfter(unavailableRetry)
	}
	e.removeInFlight(s)
	e.waiters[s.id] = w
	e.refreshServers(now)
	e.dispatch()
	e.mu.Unlock()
	return e.awaitSlot(ctx, s.id, w)
}

// release frees a slot. learn is false if the run time says nothing about the
// request's route.
func (e *Entry) release(s slot, learn bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endSlot(s, learn)
}

func (e *Entry) endSlot(s slot, learn bool) {
	e.removeInFlight(s)
	e.core.Done(e.now(), s.id, learn)
	e.dispatch()
}

func (e *Entry) removeInFlight(s slot) {
	e.inFlight[s.server]--
	e.inFlightHost[s.host]--
	if e.inFlight[s.server] <= 0 {
		delete(e.inFlight, s.server)
	}
	if e.inFlightHost[s.host] <= 0 {
		delete(e.inFlightHost, s.host)
	}
}

// applyAction executes one decision of the queue core. The caller holds the
// mutex.
func (e *Entry) applyAction(a queue.Action) {
	w := e.waiters[a.ID]
	delete(e.waiters, a.ID)
	switch {
	case a.Kind == queue.Expire && w != nil:
		w.refused <- outcome.New(outcome.CauseDeadline, "the deadline passed while the request was queued").WithRetryAfter(a.RetryAfter)
	case a.Kind == queue.Start:
		s := slot{id: a.ID, server: a.Server, host: e.cfg.Server(a.Server).GetHost(), target: e.targets[a.Server]}
		e.inFlight[s.server]++
		e.inFlightHost[s.host]++
		if w != nil {
			s.service = w.service
			e.metrics.observeWait(w.service, e.now(), a)
		}
		if w == nil || s.target == nil {
			e.reportViolation("start", errNotWaiting)
			return
		}
		w.granted <- s
	}
}

// rejectAll rejects every queued request. The caller holds the mutex.
func (e *Entry) rejectAll() {
	for id, w := range e.waiters {
		if e.core.Cancel(id) {
			delete(e.waiters, id)
			w.refused <- outcome.New(outcome.CauseUnavailable, "the configuration lease of this entry has expired").WithRetryAfter(unavailableRetry)
		}
	}
}

func rejection(r *queue.Rejection) *outcome.Error {
	switch r.Reason {
	case queue.UnknownService:
		return outcome.New(outcome.CauseUnknownService, "the service is not configured")
	case queue.NoSlots:
		return outcome.New(outcome.CauseUnavailable, "no backend server of the service is available").WithRetryAfter(r.RetryAfter)
	case queue.CallerFull:
		return outcome.New(outcome.CauseQueueFull, "this caller's queue is full").WithRetryAfter(r.RetryAfter)
	case queue.ServiceFull:
		return outcome.New(outcome.CauseQueueFull, "the service's queue is full").WithRetryAfter(r.RetryAfter)
	}
	return outcome.New(outcome.CauseDeadline, "the request would wait longer than its deadline allows").WithRetryAfter(r.RetryAfter)
}
