package jobs

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/request/outcome"
)

// forwarderFunc is a fake control leader.
type forwarderFunc func(ctx context.Context, r *jobpb.Request) *jobpb.Response

func (f forwarderFunc) Forward(ctx context.Context, r *jobpb.Request) *jobpb.Response {
	return f(ctx, r)
}

func serveRequest(p Forwarder, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	CallersHandler(p).ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

const jobPath = "/v1/queues/ledger/jobs/0123456789abcdef"

// Guards against a caller that sets fields reserved for the system, and against a job
// that is forwarded with another queue or id.
func TestSubmissionIsForwarded(t *testing.T) {
	is := is.New(t)
	var got *jobpb.Request
	p := forwarderFunc(func(_ context.Context, r *jobpb.Request) *jobpb.Response { got = r; return &jobpb.Response{} })
	w := serveRequest(p, http.MethodPut, jobPath, `{"spec":"s","pool":"other","state":"COMPLETED","steps":[{"count":2,"cpu_millis":500},{"count":1,"after":[0]}]}`)
	is.Equal(w.Code, http.StatusOK)
	is.Equal(w.Body.String(), `{"queue":"ledger","id":"0123456789abcdef"}`)
	is.Equal(got.Queue, "ledger")
	is.Equal(got.Id, "0123456789abcdef")
	is.Equal(got.Job.Pool, "")
	is.Equal(got.Job.State, jobpb.Job_QUEUED)
	is.Equal(got.Job.Steps[0].CpuMillis, uint64(500))
	is.Equal(got.Job.Steps[1].After, []uint32{0})
}

// Guards against an invalid job that reaches the leader, and an error response that
// does not report that nothing has run.
func TestInvalidJobsAreNotForwarded(t *testing.T) {
	is := is.New(t)
	p := forwarderFunc(func(context.Context, *jobpb.Request) *jobpb.Response {
		t.Error("an invalid job was forwarded")
		return &jobpb.Response{}
	})
	for _, body := range []string{``, `{`, `[]`, `{"steps":[]}`, `{"steps":[{"count":0}]}`, `{"steps":[null]}`, `{"steps":[{"count":1,"after":[0]}]}`,
		`{"steps":[{"count":"many"}]}`, `{"unknown":1,"steps":[{"count":1}]}`, `{"spec":"` + strings.Repeat("x", maxSpecBytes+1) + `","steps":[{"count":1}]}`,
		`{"steps":[{"count":1,"cpu_millis":"18446744073709551615"}]}`, `{"steps":[{"count":1,"memory_mb":"9223372036854775808"}]}`, `{"steps":[{"count":1,"gpus":"1099511627777"}]}`,
		`{"steps":[{"count":1,"estimated_ms":"18446744073709551615"}]}`, `{"steps":[{"count":1,"target_ms":"9223372036854775808"}]}`,
		`{"steps":[{"count":1}],"first_due_ms":"-1"}`, `{"steps":[{"count":1}],"repetitions":2,"interval_ms":"-1"}`,
		`{"steps":[{"count":1}],"repetitions":4294967295,"first_due_ms":"1796000000000","interval_ms":"9223372036854775"}`,
		strings.Repeat(" ", MaxJobBytes+1)} {
		w := serveRequest(p, http.MethodPut, jobPath, body)
		var problem outcome.Problem
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &problem))
		is.True(w.Code == http.StatusBadRequest || w.Code == http.StatusRequestEntityTooLarge)
		is.Equal(problem.Outcome, outcome.NotRun)
		is.True(problem.Remedy != "")
	}
}

// Guards against a job that is reported as not run although it may have been stored,
// and against outcomes that a caller can't distinguish.
func TestOutcomesOfJobs(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		outcome jobpb.Response_Outcome
		status  int
		kind    outcome.Kind
		retry   bool
	}{
		{jobpb.Response_NO_QUEUE, http.StatusNotFound, outcome.NotRun, false},
		{jobpb.Response_NO_JOB, http.StatusNotFound, outcome.NotRun, false},
		{jobpb.Response_INVALID, http.StatusBadRequest, outcome.NotRun, false},
		{jobpb.Response_NOT_READY, http.StatusServiceUnavailable, outcome.NotRun, true},
		{jobpb.Response_REFUSED, http.StatusServiceUnavailable, outcome.NotRun, true},
		{jobpb.Response_UNKNOWN, http.StatusGatewayTimeout, outcome.Unknown, true},
		{jobpb.Response_UNAUTHORIZED, http.StatusUnauthorized, outcome.NotRun, false},
	} {
		p := forwarderFunc(func(context.Context, *jobpb.Request) *jobpb.Response { return &jobpb.Response{Outcome: c.outcome} })
		w := serveRequest(p, http.MethodPut, jobPath, `{"steps":[{"count":1}]}`)
		var problem outcome.Problem
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &problem))
		is.Equal(w.Code, c.status)
		is.Equal(problem.Outcome, c.kind)
		is.Equal(w.Header().Get("Retry-After") != "", c.retry)
		is.Equal(w.Header().Get("WWW-Authenticate") != "", c.status == http.StatusUnauthorized)
	}
}

// Guards against a read that returns a wrong state, and a pending count that is
// returned as a job's answer.
func TestStatesOfJobs(t *testing.T) {
	is := is.New(t)
	p := forwarderFunc(func(_ context.Context, r *jobpb.Request) *jobpb.Response {
		if r.Id == "" {
			return &jobpb.Response{Counted: true, Pending: 3}
		}
		return &jobpb.Response{State: jobpb.Job_ACTIVE}
	})
	is.Equal(serveRequest(p, http.MethodGet, jobPath, "").Body.String(), `{"queue":"ledger","id":"0123456789abcdef","state":"active"}`)
	is.Equal(serveRequest(p, http.MethodGet, "/v1/queues/ledger", "").Body.String(), `{"queue":"ledger","pending":3}`)
	is.Equal(serveRequest(p, http.MethodDelete, jobPath, "").Body.String(), `{"queue":"ledger","id":"0123456789abcdef"}`)
	is.Equal(serveRequest(p, http.MethodPost, jobPath, "").Code, http.StatusMethodNotAllowed)
}

// Guards against a request that is forwarded without the caller's deadline, or that
// waits for longer than a minute.
func TestCallersDeadline(t *testing.T) {
	is := is.New(t)
	for header, want := range map[string]time.Duration{"": defaultCallerTimeout, "x": defaultCallerTimeout, "-5": defaultCallerTimeout,
		"250": 250 * time.Millisecond, "86400000": maxCallerTimeoutMs * time.Millisecond} {
		r := httptest.NewRequest(http.MethodGet, jobPath, nil)
		r.Header.Set(headerDeadline, header)
		is.Equal(requestTimeout(r), want)
	}
}

// Guards against a path that no message between the processes can hold: the entry would take
// each failed attempt for a leader that does not answer, until the caller's time has passed.
func TestNamesThatAreNotUTF8AreRefused(t *testing.T) {
	is := is.New(t)
	p := forwarderFunc(func(context.Context, *jobpb.Request) *jobpb.Response {
		t.Error("the request was forwarded")
		return &jobpb.Response{}
	})
	for _, path := range []string{"/v1/queues/%ff/jobs/0123456789abcdef", "/v1/queues/ledger/jobs/%ff", "/v1/queues/%ff"} {
		is.Equal(serveRequest(p, http.MethodGet, path, "").Code, http.StatusBadRequest)
	}
}

// Guards against limits of a job's numbers that refuse proper jobs.
func TestLargestNumbersOfJobAreAccepted(t *testing.T) {
	is := is.New(t)
	is.NoErr(CheckJob(&jobpb.Job{Steps: []*jobpb.Step{{Count: maxTasks, CpuMillis: maxTaskCapacity, MemoryMb: maxTaskCapacity, Gpus: maxTaskCapacity, EstimatedMs: maxTimeMs}}}))
	is.NoErr(CheckJob(&jobpb.Job{Steps: []*jobpb.Step{{Count: 1}}, Repetitions: 4294967295, FirstDueMs: 1_796_000_000_000, IntervalMs: 60_000}))
	is.NoErr(CheckJob(&jobpb.Job{Steps: []*jobpb.Step{{Count: 1}}, Repetitions: 1, FirstDueMs: maxTimeMs, IntervalMs: maxTimeMs}))
}
