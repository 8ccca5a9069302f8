package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func client(t *testing.T, o Options, h http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	o.BaseURL = server.URL
	c, err := NewClient(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func kind(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// Guards against an answer of unbounded size that takes the daemon's memory.
func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	c := client(t, Options{MaxAnswerBytes: 100}, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "[]"+strings.Repeat(" ", 100)) // valid when cut off
	})
	_, err := c.Workers(context.Background())
	is.Equal(kind(err), Malformed)
}

// Guards against a platform that accepts a call and never answers, which must not hold
// up the control loop, and must not be reported as a rejection.
func TestCallsTimeOut(t *testing.T) {
	is := is.New(t)
	done := make(chan struct{})
	c := client(t, Options{CallTimeout: 20 * time.Millisecond}, func(http.ResponseWriter, *http.Request) { <-done })
	err := c.Reboot(context.Background(), "w", "t")
	close(done)
	is.Equal(kind(err), Unreachable)
}

// Guards against error answers whose meaning is lost: whether a repeat may help.
func TestErrorAnswersAreClassified(t *testing.T) {
	is := is.New(t)
	for status, want := range map[int]Kind{404: NotFound, 409: Rejected, 400: Rejected, 500: Unreachable, 503: Unreachable} {
		c := client(t, Options{}, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "why", status) })
		err := c.Stop(context.Background(), "j/0", "t")
		is.Equal(kind(err), want)
		is.True(strings.Contains(err.Error(), "why"))
	}
	c := client(t, Options{}, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "<html>") })
	_, err := c.Tasks(context.Background())
	is.Equal(kind(err), Malformed)
	_, err = NewClient(Options{BaseURL: "platform:8070"})
	is.True(err != nil)
	is.Equal(kind(c.Stop(context.Background(), strings.Repeat("x", maxRequestBytes), "t")), Rejected)
}
