package entry

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
	"time"

	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

// Guards against a caller's request whose head ends the process, or gives it a deadline out
// of the limits, a path that is none, or a name of unlimited length in the queue.
func FuzzCallerHead(f *testing.F) {
	e := &Entry{}
	randomtest.Fuzz(f, func(t *testing.T, data []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return // the server refuses it
		}
		r.RemoteAddr = "10.0.0.1:1000"
		if _, path := e.serviceAndPath(r); path == "" || path[0] != '/' {
			t.Fatalf("the path is %q", path)
		}
		if id := callerID(r); len(id) > maxCallerBytes || id == "" {
			t.Fatalf("the caller is %q", id)
		}
		c := &callerRequest{arrived: time.Second}
		if problem := c.setDeadline(r.Header.Get(deadlineHeader), time.Minute); problem == nil && (c.deadline <= c.arrived || c.deadline > c.arrived+maxDeadline) {
			t.Fatalf("the deadline is %v", c.deadline)
		}
	}, []byte("GET /s/ledger/x HTTP/1.1\r\nHost: a.example:80\r\n"+deadlineHeader+": 2500\r\n"+callerHeader+": c-1\r\n\r\n"),
		[]byte("POST http://ledger.example/x%2fy?z HTTP/1.1\r\nHost: [::1]:80\r\n"+deadlineHeader+": 9223372036854775807\r\n\r\n"),
		[]byte("OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"))
}
