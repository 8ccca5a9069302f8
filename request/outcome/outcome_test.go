package outcome

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a problem document that lacks a member, and against a Retry-After
// that is rounded down to a time at which the service is still unavailable.
func TestWriteSendsAllMembers(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	New(CauseQueueFull, "caller a has 8 requests queued").WithRetryAfter(1500 * time.Millisecond).Write(w)
	is.Equal(w.Code, 429)
	is.Equal(w.Header().Get("Content-Type"), "application/problem+json")
	is.Equal(w.Header().Get("Retry-After"), "2")
	var doc map[string]any
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &doc))
	for _, member := range []string{"type", "title", "status", "detail", "outcome", "remedy"} {
		_, ok := doc[member]
		is.True(ok) // member is present
	}
	is.Equal(doc["outcome"], "not-run")
}

// Guards against an outcome with an HTTP status that is reserved for another kind of
// outcome. A caller might then resend a request that has run.
func TestStatusesAgreeWithKinds(t *testing.T) {
	allowed := map[Kind][]int{
		NotRun:  {400, 401, 404, 413, 422, 429, 503},
		Unknown: {502, 504, 409},
		Running: {409},
		Expired: {410},
	}
	for cause, d := range definitions {
		found := false
		for _, s := range allowed[d.kind] {
			found = found || s == d.status
		}
		if !found || d.title == "" || d.remedy == "" {
			t.Errorf("%s: kind %s, status %d, title %q, remedy %q", cause, d.kind, d.status, d.title, d.remedy)
		}
	}
}
