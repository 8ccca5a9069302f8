package jobs

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/job/access"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// resolvedCall is a caller's request with what the configuration in force says about it.
type resolvedCall struct {
	queue    *jobpb.Queue
	queueKey string
	id       string // of the job, empty if the call names the queue itself
	decision access.Decision
	digest   []byte // of the caller's API key, empty without one
	version  uint64 // of the configuration
}

// resolveCall resolves a request in a view of the state: it finds the queue and checks the caller's
// API key. It returns the response that refuses the request if the configuration has no queue for
// it or does not let the caller use it.
func resolveCall(st *state.Store, r *jobpb.Request) (call resolvedCall, refused *jobpb.Response) {
	conf := st.Configuration()
	if conf.Version == 0 {
		return call, noConfiguration()
	}
	call.version = conf.Version
	call.queue, call.id = queueOf(conf, r)
	if call.queue == nil {
		return call, &jobpb.Response{Outcome: jobpb.Response_NO_QUEUE, Reason: noQueue}
	}
	call.queueKey = state.QueueKey(call.queue.Host, call.queue.Prefix)
	call.digest = r.KeyDigest
	call.decision = access.Check(st, call.queue, r.KeyDigest)
	if !call.decision.Allowed() {
		return call, &jobpb.Response{Outcome: jobpb.Response_UNAUTHORIZED, Reason: unauthorized}
	}
	return call, nil
}

// unauthorized is the reason of a refusal for want of a valid key. It does not tell whether the
// key was ever valid.
const unauthorized = "the call has no API key of a tenant; send one as Authorization: Bearer KEY"

// seesJob reports whether a job is in the call's queue and the caller may see it.
func (c *resolvedCall) seesJob(j *jobpb.Job) bool {
	return j != nil && j.Queue == c.queueKey && access.SeesJob(c.decision, c.digest, j)
}

// versionAge holds when a process first had the newest configuration in force.
type versionAge struct {
	mu      sync.Mutex
	version uint64
	since   time.Duration
}

// note records that a version is in force. Versions only rise.
func (a *versionAge) note(version uint64, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version > a.version {
		a.version, a.since = version, now
	}
}

// age returns for how long the newest version is in force.
func (a *versionAge) age(now time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now - a.since
}

// refuse logs and counts a call that the configuration in force refuses, and returns the response.
// A process that no longer leads may have decided with an older configuration: it answers
// NOT_LEADER, so that the entry asks the next leader.
func (c *Control) refuse(r *jobpb.Request, call resolvedCall, refused *jobpb.Response) *jobpb.Response {
	if !c.Leads() {
		return &jobpb.Response{Outcome: jobpb.Response_NOT_LEADER}
	}
	if refused.Outcome == jobpb.Response_UNAUTHORIZED {
		c.metrics.callsUnauthorized.WithLabelValues(string(call.decision.Verdict)).Inc()
		c.logCall(c.log.Info(), call).Str("kind", r.Kind.String()).Msg("call refused: its API key is not that of a tenant")
	}
	return refused
}

// maxLoggedID is the most of a job's id, in bytes, that a log line on a call holds: the caller
// chooses it, and a valid one has 16.
const maxLoggedID = 64

// logCall begins a log line about a decision on a call: the version that it was decided with, for
// how long the newest one is in force, and what the check of the caller's API key found.
func (c *Control) logCall(event *zerolog.Event, call resolvedCall) *zerolog.Event {
	now := c.o.Clock.Now()
	c.configured.note(call.version, now)
	return event.Str("request", call.id[:min(len(call.id), maxLoggedID)]).Str("queue", call.queueKey).Str("key", string(call.decision.Verdict)).
		Str("tenant", call.decision.Tenant).Uint64("configuration", call.version).
		Dur("configuration_age", c.configured.age(now))
}
