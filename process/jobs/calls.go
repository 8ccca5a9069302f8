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
	access   access.Decision
	digest   []byte // of the caller's API key, empty without one
	version  uint64 // of the configuration
}

// resolveCall resolves a request in a view of the state. It returns the response that refuses
// the request if the configuration has no queue for it or does not let the caller use it.
func resolveCall(st *state.Store, r *jobpb.Request) (call resolvedCall, refused *jobpb.Response) {
	conf := st.Configuration()
	if conf.Version == 0 {
		return call, noConfiguration()
	}
	call.version = conf.Version
	call.queue, call.id = resolve(conf, r)
	if call.queue == nil {
		return call, &jobpb.Response{Outcome: jobpb.Response_NO_QUEUE, Reason: noQueue}
	}
	call.queueKey = state.QueueKey(call.queue.Host, call.queue.Prefix)
	call.digest = r.KeyDigest
	call.access = access.Check(st, call.queue, r.KeyDigest)
	if !call.access.Allowed() {
		return call, &jobpb.Response{Outcome: jobpb.Response_UNAUTHORIZED, Reason: unauthorized}
	}
	return call, nil
}

// unauthorized is the reason of a refusal for want of a valid key. It does not tell whether the
// key was ever valid.
const unauthorized = "the call has no API key of a tenant; send one as Authorization: Bearer KEY"

// seesJob reports whether a job is in the call's queue and the caller may see it.
func (c *resolvedCall) seesJob(j *jobpb.Job) bool {
	return j != nil && j.Queue == c.queueKey && access.SeesJob(c.access, c.digest, j)
}

// versionAge tells how long ago a process first had a version of the configuration in force.
type versionAge struct {
	mu      sync.Mutex
	version uint64
	since   time.Duration
}

// of notes the version in force and returns how long ago it was first noted.
func (a *versionAge) of(version uint64, now time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.version != version {
		a.version, a.since = version, now
	}
	return now - a.since
}

// refuse logs and counts a call that the configuration in force refuses and returns the response.
// A process that no longer leads may have decided with an older configuration, so that it sends
// the call on to the leader.
func (c *Control) refuse(r *jobpb.Request, call resolvedCall, refused *jobpb.Response) *jobpb.Response {
	if !c.Leads() {
		return &jobpb.Response{Outcome: jobpb.Response_NOT_LEADER}
	}
	if refused.Outcome == jobpb.Response_UNAUTHORIZED {
		c.metrics.callsUnauthorized.WithLabelValues(string(call.access.Verdict)).Inc()
		c.logCall(c.log.Info(), call).Str("kind", r.Kind.String()).Msg("call refused: its API key is not that of a tenant")
	}
	return refused
}

// logCall begins a log line about a decision on a call: the version that it was decided with,
// and what the check of the caller's API key found.
func (c *Control) logCall(event *zerolog.Event, call resolvedCall) *zerolog.Event {
	return event.Str("request", call.id).Str("queue", call.queueKey).Str("key", string(call.access.Verdict)).
		Str("tenant", call.access.Tenant).Uint64("configuration", call.version).
		Dur("configuration_age", c.configured.of(call.version, c.o.Clock.Now()))
}
