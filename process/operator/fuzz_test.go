package operator

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

// fuzzRequests feeds mutations of HTTP requests to a handler.
func fuzzRequests(f *testing.F, handler http.Handler, check func(t *testing.T, w *httptest.ResponseRecorder), seeds ...[]byte) {
	f.Helper()
	randomtest.Fuzz(f, func(t *testing.T, data []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil || r.URL.Path == "" {
			return // the server refuses it
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code == http.StatusInternalServerError {
			t.Fatalf("internal error: %s", w.Body)
		}
		check(t, w)
	}, seeds...)
}

func post(path, body string) []byte {
	var buffer bytes.Buffer
	r := httptest.NewRequest(http.MethodPost, path, bytes.NewReader([]byte(body)))
	_ = r.Write(&buffer)
	return buffer.Bytes()
}

// Guards against a request of an operator that ends the process or that passes on a command
// which the log can't hold, and against a refused one that passes on anything.
func FuzzOperatorRequest(f *testing.F) {
	control := newAppliedControl()
	handler, err := NewOperatorHandler(Options{Control: control, Logger: zerolog.Nop(), Timeout: time.Minute, Now: func() time.Time { return time.UnixMilli(77) }})
	if err != nil {
		f.Fatal(err)
	}
	fuzzRequests(f, handler, func(t *testing.T, w *httptest.ResponseRecorder) {
		defer func() { *control = *newAppliedControl() }()
		passedOn := len(control.commands) + len(control.waves) + len(control.changes)
		if passedOn > 0 && w.Code != http.StatusOK {
			t.Fatalf("answered %d, but %d changes were passed on", w.Code, passedOn)
		}
		for _, c := range control.commands {
			if _, err := proto.Marshal(c); err != nil {
				t.Fatalf("the command can't be stored: %v", err)
			}
		}
		for _, change := range control.waves {
			if !utf8.ValidString(change.Wave) || !utf8.ValidString(change.Reason) {
				t.Fatalf("the change of a wave can't be stored: %q", change)
			}
		}
	}, post("/v1/configuration", changeBody), post("/v1/waves/w/pause", `{"request_id":"r-1","operator":"op","reason":"x"}`),
		post("/v1/waves/%ff/resume", `{"request_id":"r-1","operator":"op"}`), post("/v1/hosts/h/move", `{"request_id":"r-1","operator":"op","to_pool":"p","expected_epoch":4}`),
		post("/v1/hosts/%ff/move", `{"request_id":"r-1","operator":"op","to_pool":"p","expected_epoch":4}`), post("/v1/voters", `{"operator":"op","change":"promote","id":"a"}`),
		[]byte("GET /v1/report?month=2026-11 HTTP/1.1\r\nHost: c\r\nAccept: text/csv\r\n\r\n"))
}

// recordingAnnouncer keeps the announcements that it receives.
type recordingAnnouncer struct{ requests []*wirepb.AnnounceRequest }

func (a *recordingAnnouncer) Announce(_ context.Context, r *wirepb.AnnounceRequest) (*wirepb.AnnounceResponse, error) {
	a.requests = append(a.requests, r)
	return &wirepb.AnnounceResponse{Accepted: true}, nil
}

// Guards against an announcement that ends the process, or that passes on a backend server
// beyond the limits of the interface.
func FuzzAnnouncement(f *testing.F) {
	announcer := &recordingAnnouncer{}
	handler, err := NewAnnouncementHandler(announcer, zerolog.Nop())
	if err != nil {
		f.Fatal(err)
	}
	const body = `{"name":"b","host":"h","service":"s","address":"10.0.0.1:80","slots":4,"connections":8,"boot_id":"x","leaving":false}`
	fuzzRequests(f, handler, func(t *testing.T, w *httptest.ResponseRecorder) {
		defer func() { announcer.requests = nil }()
		if len(announcer.requests) > 0 && w.Code != http.StatusOK {
			t.Fatalf("answered %d, but passed on", w.Code)
		}
		for _, r := range announcer.requests {
			s := r.Server
			if _, err := proto.Marshal(r); err != nil || s.Name == "" || s.Host == "" || s.Service == "" || s.BootId == "" || s.Slots == 0 || s.Slots > MaxSlots ||
				s.Connections == 0 || s.Connections > MaxConnections {
				t.Fatalf("%v was passed on (%v)", r, err)
			}
		}
	}, post("/v1/announcements", body), post("/v1/announcements", `{"name":"b","host":"h","service":"s","address":"[fe80::1%eth0]:80","slots":4,"connections":8,"boot_id":"x"}`))
}
