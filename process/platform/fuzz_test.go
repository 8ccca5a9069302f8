package platform

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

// answering is a transport that answers every call with a fixed status and body.
type answering struct {
	status int
	body   []byte
}

func (a answering) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: a.status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(a.body))}, nil
}

// Guards against an answer of the platform that ends the process, that is larger than the
// limit, or whose failure has no kind, so that nobody knows whether the call took effect.
func FuzzAnswer(f *testing.F) {
	const limit = 4096
	randomtest.Fuzz(f, func(t *testing.T, data []byte) {
		if len(data) == 0 {
			return
		}
		status := 200 + 4*int(data[0])
		c := &Client{base: "http://p", http: &http.Client{Transport: answering{status, data[1:]}}, maxAnswer: limit}
		workers, workersErr := c.Workers(context.Background())
		_, tasksErr := c.Tasks(context.Background())
		for _, err := range []error{workersErr, tasksErr, c.Stop(context.Background(), "a", "t")} {
			var failure *Error
			if err != nil && !errors.As(err, &failure) || err == nil && status >= http.StatusBadRequest {
				t.Fatalf("status %d: %v", status, err)
			}
			if failure != nil && status >= http.StatusInternalServerError && failure.Kind != Unreachable {
				t.Fatalf("status %d counts as %v", status, failure.Kind)
			}
		}
		if workersErr == nil && len(data)-1 > limit {
			t.Fatalf("%d workers of an answer of %d bytes", len(workers), len(data)-1)
		}
	}, []byte("\x00"+`[{"name":"w","rack":"r","cores":4,"memory_gb":8,"up":true,"boot_id":"x"}]`), []byte("\x00"+`[{"name":"j/0","attempt":1,"state":"running","usage":{"milli_cores":-1}}]`),
		[]byte("\x33gone"), []byte("\x4cbusy"))
}
