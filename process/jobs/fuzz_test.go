package jobs

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

// Guards against a caller's request that ends the process, that no control process can
// decode, or whose job is out of the limits or sets what only the system sets.
func FuzzJobRequest(f *testing.F) {
	randomtest.Fuzz(f, func(t *testing.T, data []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil || r.URL.Path == "" {
			return // the server refuses it
		}
		w := httptest.NewRecorder()
		CallersHandler(forwarderFunc(func(ctx context.Context, r *jobpb.Request) *jobpb.Response {
			if _, err := proto.Marshal(r); err != nil {
				t.Errorf("the request can't be sent: %v", err)
			}
			if deadline, limited := ctx.Deadline(); !limited || ctx.Err() != nil || time.Until(deadline) > maxCallerTimeoutMs*time.Millisecond {
				t.Errorf("the request is forwarded with the deadline %v (%v)", deadline, ctx.Err())
			}
			if j := r.Job; j != nil && (CheckJob(j) != nil || j.Id != "" || j.Queue != "" || j.Pool != "" || j.State != 0 || j.Occurrences != nil || j.MaxAttempts != 0) {
				t.Errorf("a job is forwarded with %v", j)
			}
			return &jobpb.Response{}
		})).ServeHTTP(w, r)
		if w.Code == http.StatusInternalServerError {
			t.Errorf("internal error: %s", w.Body)
		}
	}, []byte("PUT "+jobPath+" HTTP/1.1\r\nHost: c\r\nContent-Length: 150\r\n\r\n"+`{"spec":"s","steps":[{"count":2,"cpu_millis":500},{"count":1,"after":[0],"estimated_ms":"900"}],"repetitions":3,"first_due_ms":"1000","interval_ms":"5"}`),
		[]byte("PUT "+jobPath+" HTTP/1.1\r\nHost: c\r\nContent-Length: 85\r\n\r\n"+`{"state":"COMPLETED","occurrences":[{"number":1}],"id":"x","steps":[{"count":1}]}     `),
		[]byte("GET "+jobPath+" HTTP/1.1\r\nHost: c\r\nRequest-Deadline-Ms: 9223372036854775807\r\n\r\n"),
		[]byte("DELETE /v1/queues/ledger/jobs/%ff HTTP/1.1\r\nHost: c\r\n\r\n"), []byte("GET /v1/queues/%ff HTTP/1.1\r\nHost: c\r\n\r\n"))
}

// Guards against a stored configuration whose document ends the process that reads it, or
// is read back as another than was stored.
func FuzzDocument(f *testing.F) {
	packed, err := compressDocument(configurationWithRoutes(20_000))
	if err != nil {
		f.Fatal(err)
	}
	small := append([]byte{}, packed.DocumentGzip[:100]...)
	randomtest.Fuzz(f, func(t *testing.T, data []byte) {
		if document, err := documentOf(&jobpb.Configuration{DocumentGzip: data}); err == nil && len(document) > maxDocumentBytes {
			t.Fatalf("the document has %d bytes", len(document))
		}
		stored, err := compressDocument(&jobpb.Configuration{Version: 1, Document: data})
		if err != nil {
			t.Fatal(err)
		}
		if document, err := documentOf(stored); err != nil || !bytes.Equal(document, data) {
			t.Fatalf("the document is read back with %d bytes, not %d (%v)", len(document), len(data), err)
		}
	}, []byte(`{"version":1}`), small, nil)
}

// Guards against a submission of another process that ends the leader's process because it
// has no job, or whose job reaches the log although an entry of an older build did not
// check it.
func TestForwardedJobIsCheckedByTheLeader(t *testing.T) {
	is := is.New(t)
	s := newUpkeepFixture(t).session
	configuration := &jobpb.Configuration{Version: 1 << 20, Queues: []*jobpb.Queue{{Name: "ledger", Host: "h", Prefix: "/p", Pool: "pool"}}}
	command, err := proto.Marshal(&jobpb.Command{Entries: []*jobpb.Entry{{Change: &jobpb.Entry_Configure{Configure: configuration}}}})
	is.NoErr(err)
	s.c.store.Apply(0, command)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, job := range []*jobpb.Job{nil, {}, {Steps: []*jobpb.Step{{Count: 1, CpuMillis: 1 << 63}}}} {
		resp := s.submit(ctx, &jobpb.Request{Queue: "ledger", Id: "0123456789abcdef", Job: job})
		is.Equal(resp.Outcome, jobpb.Response_INVALID)
	}
}
