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

// point is a point of a request's life at the backend server.
type point int

const (
	nowhere    point = iota
	beforeBody       // the head has arrived
	beforeHead       // the request has run, nothing of the answer is written
	inBody           // half of the answer is written
)

var points = []point{beforeBody, beforeHead, inBody}

// server is a backend server that records the start of every request by its
// X-Request header and can freeze a request at a point of its life. Entries
// reach it through a relay.
type server struct {
	c    *cluster
	name string
	host string
	web  *httptest.Server
	link *relay.Relay
	boot string

	mu      sync.Mutex
	service string
	runs    map[string]int
	last    time.Time // start of the last request
	holds   map[string]*hold
	leaving bool
	drained bool
	quiet   bool // announces nothing
}

// hold freezes one request until release is closed.
type hold struct {
	at      point
	release chan struct{}
}

func newServer(c *cluster, host, service string) *server {
	s := &server{c: c, name: "server-" + host, host: host, service: service, boot: uuid.NewString(),
		runs: make(map[string]int), holds: make(map[string]*hold)}
	s.web = httptest.NewServer(s)
	s.link = newRelay(c.t, s.web.Listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	var announcing sync.WaitGroup
	announcing.Go(func() { s.announce(ctx) })
	c.t.Cleanup(func() {
		cancel()
		announcing.Wait()
		s.releaseAll()
		s.link.Close()
		s.web.CloseClientConnections()
		s.web.Close()
	})
	return s
}

// announce announces to all entries in turn, as behind a balancer.
func (s *server) announce(ctx context.Context) {
	quick := client(time.Second)
	for i := 0; ctx.Err() == nil; i++ {
		s.mu.Lock()
		a := backend.Announcement{Name: s.name, Host: s.host, Service: s.service, Address: s.link.Address(),
			Slots: 36, Connections: 64, BootID: s.boot, Leaving: s.leaving}
		quiet := s.quiet
		s.mu.Unlock()
		var answer backend.AnnouncementAnswer
		if !quiet {
			raw, _ := json.Marshal(a)
			entry := s.c.entries[i%len(s.c.entries)]
			resp, err := quick.Post("http://"+entry.announcements+"/v1/announcements", "application/json", bytes.NewReader(raw))
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

// ServeHTTP runs a request and answers with its id, path and body.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request")
	s.mu.Lock()
	s.runs[id]++
	s.last = time.Now()
	h := s.holds[id]
	leaving := s.leaving
	s.mu.Unlock()
	wait := func(p point) {
		if h != nil && h.at == p {
			<-h.release
		}
	}
	wait(beforeBody)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	body = append([]byte(id), body...) // no answer is empty, so that each can be cut
	if ms, err := strconv.Atoi(r.Header.Get("X-Hold-Ms")); err == nil {
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
	wait(beforeHead)
	if leaving {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("X-Request", id)
	w.Header().Set("X-Server", s.name)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body[:len(body)/2])
	if (h != nil && h.at == inBody) || r.Header.Get("X-Cut") != "" {
		_ = http.NewResponseController(w).Flush()
	}
	wait(inBody)
	if r.Header.Get("X-Cut") != "" {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body[len(body)/2:])
}

// hold freezes the request with this id when it comes.
func (s *server) hold(id string, at point) {
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

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *server) lastStart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
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

// runs returns how often the request ran on all servers together.
func (list servers) runs(id string) int {
	n := 0
	for _, s := range list {
		s.mu.Lock()
		n += s.runs[id]
		s.mu.Unlock()
	}
	return n
}

func (list servers) hold(id string, at point) {
	for _, s := range list {
		s.hold(id, at)
	}
}

func (list servers) release() {
	for _, s := range list {
		s.releaseAll()
	}
}

// waitServing waits until the ledger groups have leaders and every entry has an
// answer from the service. The groups are elected one by one, so that the
// service can be reached before the ledger takes its first key.
func (list servers) waitServing(c *cluster) {
	c.t.Helper()
	for _, group := range groupNames() {
		c.leader(group)
	}
	for _, e := range c.entries {
		eventually(c.t, e.name+" serves", func() bool {
			return c.send(e, get(list[0].service)).outcome == answered
		})
	}
}

// request is one caller's request; its id is sent as X-Request.
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

// Outcomes beside those of problem documents.
const (
	answered = "answered"
	broken   = "broken"  // no whole answer arrived
	foreign  = "foreign" // the answer belongs to another request
	notRun   = "not-run"
	unknown  = "outcome-unknown"
	running  = "running"
)

type answer struct {
	status                  int
	outcome, detail, remedy string
}

// send sends a request to an entry and judges the answer.
func (c *cluster) send(e *daemon, r request) answer {
	return c.sendContext(context.Background(), e, r)
}

func (c *cluster) sendContext(ctx context.Context, e *daemon, r request) answer {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+e.callers+"/s/"+r.service+"/work", strings.NewReader(r.body))
	if err != nil {
		return answer{outcome: broken, detail: err.Error()}
	}
	req.Header.Set("X-Request", r.id)
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := c.caller.Do(req)
	if err != nil {
		return answer{outcome: broken, detail: err.Error()}
	}
	return judge(resp, r)
}

func judge(resp *http.Response, r request) answer {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{status: resp.StatusCode, outcome: broken, detail: err.Error()}
	}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		var p struct{ Outcome, Detail, Remedy string }
		if err := json.Unmarshal(body, &p); err != nil {
			return answer{status: resp.StatusCode, outcome: broken, detail: err.Error()}
		}
		return answer{resp.StatusCode, p.Outcome, p.Detail, p.Remedy}
	}
	if resp.Header.Get("X-Request") != r.id || string(body) != r.id+r.body {
		return answer{status: resp.StatusCode, outcome: foreign, detail: resp.Header.Get("X-Request") + ": " + string(body[:min(len(body), 200)])}
	}
	return answer{status: resp.StatusCode, outcome: answered}
}

// outcomeOf queries the outcome of a key: "finished", or a problem's outcome.
func (c *cluster) outcomeOf(e *daemon, key string) string {
	resp, err := c.caller.Get("http://" + e.callers + "/outcomes/" + key)
	if err != nil {
		return broken
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct{ Outcome string }
	if json.NewDecoder(resp.Body).Decode(&out) != nil {
		return broken
	}
	return out.Outcome
}

// inParallel calls fn for every daemon and waits.
func inParallel(list []*daemon, fn func(d *daemon)) {
	var all sync.WaitGroup
	for _, d := range list {
		all.Go(func() { fn(d) })
	}
	all.Wait()
}

// check fails the test where a rule on one request does not hold.
func check(t *testing.T, list servers, r request, a answer) {
	t.Helper()
	runs := list.runs(r.id)
	switch {
	case r.key != "" && runs > 1:
		t.Errorf("request %s ran %d times", r.id, runs)
	case a.outcome == notRun && runs > 0:
		t.Errorf("request %s was rejected as not run (%s) and ran", r.id, a.detail)
	case a.outcome == foreign:
		t.Errorf("request %s got another answer: %s", r.id, a.detail)
	case a.outcome == answered && runs == 0:
		t.Errorf("request %s was answered and did not run", r.id)
	}
}
