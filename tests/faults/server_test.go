package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"marjoramtiller.example/marjoramtiller/standin/backend"
	"marjoramtiller.example/marjoramtiller/standin/relay"
)

// holdPoint is a point in the processing of a request at which the backend server
// can hold it.
type holdPoint int

const (
	noHoldPoint       holdPoint = iota
	beforeRequestBody           // the request's head is received
	beforeAnswerHead            // the request has run; no part of the response is written
	inAnswerBody                // half of the response body is written
)

var holdPoints = []holdPoint{beforeRequestBody, beforeAnswerHead, inAnswerBody}

// server is a backend server that counts the starts of every request by its
// X-Request header and can hold a request at a point of its processing. Entries
// reach it through a relay.
type server struct {
	c          *cluster
	name       string
	host       string
	httpServer *httptest.Server
	relay      *relay.Relay
	bootID     string

	mu                  sync.Mutex
	service             string
	runs                map[string]int
	lastRequest         time.Time // start of the last request
	holds               map[string]*hold
	leaving             bool
	drained             bool
	announcementsPaused bool // sends no announcements
}

// hold blocks one request at a point until release is closed.
type hold struct {
	at      holdPoint
	release chan struct{}
}

func newServer(c *cluster, host, service string) *server {
	s := &server{c: c, name: "server-" + host, host: host, service: service, bootID: uuid.NewString(),
		runs: make(map[string]int), holds: make(map[string]*hold)}
	s.httpServer = httptest.NewServer(s)
	s.relay = newServerRelay(c.t, s.httpServer.Listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	var announcing sync.WaitGroup
	announcing.Go(func() { s.announce(ctx) })
	c.t.Cleanup(func() {
		cancel()
		announcing.Wait()
		s.releaseAll()
		s.relay.Close()
		s.httpServer.CloseClientConnections()
		s.httpServer.Close()
	})
	return s
}

// announce sends announcements to all entries in turn, as if through a load balancer.
func (s *server) announce(ctx context.Context) {
	announcer := newClient(time.Second)
	for i := 0; ctx.Err() == nil; i++ {
		s.mu.Lock()
		a := backend.Announcement{Name: s.name, Host: s.host, Service: s.service, Address: s.relay.Address(),
			Slots: 36, Connections: 64, BootID: s.bootID, Leaving: s.leaving}
		paused := s.announcementsPaused
		s.mu.Unlock()
		var answer backend.AnnouncementAnswer
		if !paused {
			raw, _ := json.Marshal(a)
			entry := s.c.entries[i%len(s.c.entries)]
			resp, err := announcer.Post("http://"+entry.announcements+"/v1/announcements", "application/json", bytes.NewReader(raw))
			if err == nil {
				_ = json.NewDecoder(resp.Body).Decode(&answer)
				_ = resp.Body.Close()
			}
		}
		s.mu.Lock()
		s.drained = s.drained || s.leaving && answer.Drained
		s.mu.Unlock()
		pause := time.Second
		if !answer.Accepted {
			pause = 100 * time.Millisecond // another entry may be reachable
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// ServeHTTP runs a request and responds with its ID and body.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request")
	s.mu.Lock()
	s.runs[id]++
	s.lastRequest = time.Now()
	h := s.holds[id]
	leaving := s.leaving
	s.mu.Unlock()
	wait := func(p holdPoint) {
		if h != nil && h.at == p {
			<-h.release
		}
	}
	wait(beforeRequestBody)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	body = append([]byte(id), body...) // no response is empty, so that each can be truncated
	if ms, err := strconv.Atoi(r.Header.Get("X-Hold-Ms")); err == nil {
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
	wait(beforeAnswerHead)
	if leaving {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("X-Request", id)
	w.Header().Set("X-Server", s.name)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body[:len(body)/2])
	if (h != nil && h.at == inAnswerBody) || r.Header.Get("X-Cut") != "" {
		_ = http.NewResponseController(w).Flush()
	}
	wait(inAnswerBody)
	if r.Header.Get("X-Cut") != "" {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body[len(body)/2:])
}

// hold makes the request with this ID block at a point when it is received.
func (s *server) hold(id string, at holdPoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds[id] = &hold{at: at, release: make(chan struct{})}
}

func (s *server) releaseOne(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.holds[id]; h != nil {
		close(h.release)
		delete(s.holds, id)
	}
}

func (s *server) releaseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, h := range s.holds {
		close(h.release)
		delete(s.holds, id)
	}
}

func (s *server) announceLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *server) lastStart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRequest
}

// servers are the backend servers of a service.
type servers []*server

func newServers(c *cluster, service string, hosts ...string) servers {
	var out servers
	for _, h := range hosts {
		out = append(out, newServer(c, h, service))
	}
	return out
}

// runs returns how often the request ran, summed over all servers.
func (list servers) runs(id string) int {
	n := 0
	for _, s := range list {
		s.mu.Lock()
		n += s.runs[id]
		s.mu.Unlock()
	}
	return n
}

func (list servers) hold(id string, at holdPoint) {
	for _, s := range list {
		s.hold(id, at)
	}
}

func (list servers) release() {
	for _, s := range list {
		s.releaseAll()
	}
}

// waitServing waits until the ledger groups have leaders and every entry returns
// responses of the service. Waiting for the service alone is not enough: the groups
// elect their leaders one by one, and the service can be reachable before the ledger
// accepts its first key.
func (list servers) waitServing(c *cluster) {
	c.t.Helper()
	for _, group := range ledgerGroupNames() {
		c.leader(group)
	}
	for _, e := range c.entries {
		eventually(c.t, e.name+" serves", func() bool {
			return c.send(e, get(list[0].service)).outcome == answered
		})
	}
}

// request is a caller's request. Its ID is sent in the X-Request header.
type request struct {
	method, service, id, body string
	key                       string
	header                    map[string]string
}

func get(service string) request {
	return request{method: http.MethodGet, service: service, id: uuid.NewString()}
}

func post(service string) request {
	id := uuid.Must(uuid.NewV7()).String()
	return request{method: http.MethodPost, service: service, id: id, key: id, body: strings.Repeat("posting "+id+" ", 20)}
}

// Outcomes of requests: those of problem documents, and those that classify adds.
const (
	answered   = "answered"
	incomplete = "broken"  // no complete response was received
	mismatched = "foreign" // the response belongs to another request
	notRun     = "not-run"
	unknown    = "outcome-unknown"
	running    = "running"
)

type answer struct {
	status                  int
	outcome, detail, remedy string
}

// send sends a request to an entry and classifies the response.
func (c *cluster) send(e *daemon, r request) answer {
	return c.sendContext(context.Background(), e, r)
}

func (c *cluster) sendContext(ctx context.Context, e *daemon, r request) answer {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+e.callers+"/s/"+r.service+"/work", strings.NewReader(r.body))
	if err != nil {
		return answer{outcome: incomplete, detail: err.Error()}
	}
	req.Header.Set("X-Request", r.id)
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := c.callerClient.Do(req)
	if err != nil {
		return answer{outcome: incomplete, detail: err.Error()}
	}
	return classify(resp, r)
}

func classify(resp *http.Response, r request) answer {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{status: resp.StatusCode, outcome: incomplete, detail: err.Error()}
	}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		var p struct{ Outcome, Detail, Remedy string }
		if err := json.Unmarshal(body, &p); err != nil {
			return answer{status: resp.StatusCode, outcome: incomplete, detail: err.Error()}
		}
		return answer{resp.StatusCode, p.Outcome, p.Detail, p.Remedy}
	}
	if resp.Header.Get("X-Request") != r.id || string(body) != r.id+r.body {
		return answer{status: resp.StatusCode, outcome: mismatched, detail: resp.Header.Get("X-Request") + ": " + string(body[:min(len(body), 200)])}
	}
	return answer{status: resp.StatusCode, outcome: answered}
}

// outcomeOf queries the outcome of a key: "finished", or the outcome of a problem document.
func (c *cluster) outcomeOf(e *daemon, key string) string {
	resp, err := c.callerClient.Get("http://" + e.callers + "/outcomes/" + key)
	if err != nil {
		return incomplete
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct{ Outcome string }
	if json.NewDecoder(resp.Body).Decode(&out) != nil {
		return incomplete
	}
	return out.Outcome
}

// inParallel calls fn concurrently for every daemon and waits for all calls.
func inParallel(list []*daemon, fn func(d *daemon)) {
	var all sync.WaitGroup
	for _, d := range list {
		all.Go(func() { fn(d) })
	}
	all.Wait()
}

// check fails the test if the response to a request contradicts its recorded runs:
// a key ran more than once, a request ran and was reported as not run, a response
// belongs to another request, or a request was answered without a run.
func check(t *testing.T, list servers, r request, a answer) {
	t.Helper()
	runs := list.runs(r.id)
	switch {
	case r.key != "" && runs > 1:
		t.Errorf("request %s ran %d times", r.id, runs)
	case a.outcome == notRun && runs > 0:
		t.Errorf("request %s was rejected as not run (%s) although it ran", r.id, a.detail)
	case a.outcome == mismatched:
		t.Errorf("request %s got the response to another request: %s", r.id, a.detail)
	case a.outcome == answered && runs == 0:
		t.Errorf("request %s was answered although it did not run", r.id)
	}
}
