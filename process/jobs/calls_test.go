package jobs

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/access"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// newKeyedControl returns a leader with the queue "ledger" and the tenants t1 and t2, whose keys
// are k1 and k2.
func newKeyedControl(t *testing.T) *Control {
	t.Helper()
	s := newUpkeepFixture(t).session
	s.c.store = storeOf(t, &jobpb.Entry{Change: &jobpb.Entry_Configure{Configure: &jobpb.Configuration{Version: 2, Authenticates: true,
		Pools: []*jobpb.Pool{{Name: "pool"}}, Queues: []*jobpb.Queue{{Name: "ledger", Host: "h", Prefix: "/q/", Pool: "pool"}},
		Tenants: []*jobpb.Tenant{{Name: "t1", KeyDigests: [][]byte{access.Digest("k1")}}, {Name: "t2", KeyDigests: [][]byte{access.Digest("k2")}}}}}})
	s.c.session = s
	return s.c
}

// Guards against a process that no longer leads and refuses a call by an older configuration,
// in which the caller's key or queue is not there yet.
func TestFormerLeaderRefusesNoCalls(t *testing.T) {
	is := is.New(t)
	c := newKeyedControl(t)
	c.group = expiredLeaseLog{}
	for _, r := range []*jobpb.Request{
		{Kind: jobpb.Request_SUBMIT, Queue: "ledger", Id: "0123456789abcdef", Job: &jobpb.Job{}, KeyDigest: access.Digest("k9")},
		{Kind: jobpb.Request_CANCEL, Queue: "ledger", Id: "0123456789abcdef", KeyDigest: access.Digest("k9")},
		{Kind: jobpb.Request_SUBMIT, Queue: "other", Id: "0123456789abcdef", Job: &jobpb.Job{}, KeyDigest: access.Digest("k1")},
		{Kind: jobpb.Request_CANCEL, Queue: "other", Id: "0123456789abcdef", KeyDigest: access.Digest("k1")},
	} {
		decide := c.session.submit
		if r.Kind == jobpb.Request_CANCEL {
			decide = c.session.cancelJob
		}
		is.Equal(decide(t.Context(), r).Outcome, jobpb.Response_NOT_LEADER)
	}
}

// Guards against 401, which promises that nothing runs, after an attempt that may have been
// stored under a configuration in which the key was valid.
func TestRefusalDoesNotCoverAnAttemptWithoutOutcome(t *testing.T) {
	is := is.New(t)
	is.True(deniesEarlierAttempt(jobpb.Request_SUBMIT, jobpb.Response_UNAUTHORIZED))
	is.True(deniesEarlierAttempt(jobpb.Request_SUBMIT, jobpb.Response_NO_QUEUE))
	is.True(deniesEarlierAttempt(jobpb.Request_CANCEL, jobpb.Response_UNAUTHORIZED))
	is.True(!deniesEarlierAttempt(jobpb.Request_STATE, jobpb.Response_UNAUTHORIZED))
	is.True(!deniesEarlierAttempt(jobpb.Request_SUBMIT, jobpb.Response_OK))
}

// Guards against a key that the product's own interface for callers ignores.
func TestCallersInterfacePassesTheKeyOn(t *testing.T) {
	is := is.New(t)
	var got *jobpb.Request
	p := forwarderFunc(func(_ context.Context, r *jobpb.Request) *jobpb.Response { got = r; return &jobpb.Response{} })
	for _, method := range []string{http.MethodPut, http.MethodGet, http.MethodDelete} {
		r := httptest.NewRequest(method, jobPath, strings.NewReader(`{"steps":[{"count":1}]}`))
		r.Header.Set("Authorization", "Bearer k1")
		w := httptest.NewRecorder()
		CallersHandler(p).ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusOK)
		is.Equal(got.KeyDigest, access.Digest("k1"))
	}
}
