// Package backend is a small backend server for tests. It announces itself,
// holds a slot for a drawn time per request and counts the runs of each key.
// On request it answers late, cuts answers off, freezes, or leaves gracefully.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	announceInterval = time.Second
	announceTimeout  = time.Second
	// maxEcho bounds the part of a request body that is sent back.
	maxEcho = 1 << 20
)

// Announcement is the body of POST /v1/announcements.
type Announcement struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	BootID      string `json:"boot_id"`
	Leaving     bool   `json:"leaving"`
}

// AnnouncementAnswer is the answer to an announcement.
type AnnouncementAnswer struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason"`
	RenewMs  uint32 `json:"renew_ms"`
	Drained  bool   `json:"drained"`
}

// Faults are what the server does wrong, drawn per request.
type Faults struct {
	CutProbability  float64       // the answer is cut off half way
	LateProbability float64       // the answer comes Late later
	Late            time.Duration // added to the time of a late answer
}

// Options configure a Server.
type Options struct {
	Name        string
	Host        string
	Service     string
	Address     string // IP:port to listen on
	Slots       int
	Connections int
	BootID      string
	AnnounceURL string // without it the server does not announce itself
	Seed        uint64
	// Hold draws the time that a request holds its slot; nil: none.
	Hold   func(r *rand.Rand) time.Duration
	Faults Faults
}

// Server is a backend server.
type Server struct {
	o      Options
	l      net.Listener
	http   *http.Server
	client *http.Client

	mu      sync.Mutex
	random  *rand.Rand
	runs    map[string]int
	busy    int
	over    int // requests that came while all slots were held
	total   int
	leaving bool
	drained bool
	frozen  chan struct{} // closed when thawed; nil: not frozen
	reason  string
}

// Start listens and serves until Run's context ends.
func Start(o Options) (*Server, error) {
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "backend: listen; choose a free address")
	}
	s := &Server{
		o:      o,
		l:      l,
		client: &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}},
		random: rand.New(rand.NewPCG(o.Seed, o.Seed)),
		runs:   make(map[string]int),
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	return s, nil
}

// Address returns the address it listens on.
func (s *Server) Address() string { return s.l.Addr().String() }

// Run serves and announces until ctx ends; then it stops at once, as a crash
// would. Call Leave first for a graceful stop.
func (s *Server) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(s.l) }()
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		s.announce(ctx)
		select {
		case err := <-served:
			return errors.Wrap(err, "backend: serve")
		case <-ctx.Done():
			s.Thaw()
			_ = s.http.Close()
			<-served
			s.client.CloseIdleConnections()
			return nil
		case <-t.C:
		}
	}
}

func (s *Server) announce(ctx context.Context) {
	if s.o.AnnounceURL == "" {
		return
	}
	s.mu.Lock()
	leaving, frozen := s.leaving, s.frozen != nil
	s.mu.Unlock()
	if frozen {
		return
	}
	a := Announcement{Name: s.o.Name, Host: s.o.Host, Service: s.o.Service, Address: s.Address(),
		Slots: s.o.Slots, Connections: s.o.Connections, BootID: s.o.BootID, Leaving: leaving}
	answer, err := s.post(ctx, a)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.reason = err.Error()
		return
	}
	s.reason = answer.Reason
	s.drained = leaving && answer.Drained
}

func (s *Server) post(ctx context.Context, a Announcement) (*AnnouncementAnswer, error) {
	body, err := json.Marshal(a)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.o.AnnounceURL, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer := &AnnouncementAnswer{}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return nil, errors.Wrapf(err, "backend: announcement answered with status %d", resp.StatusCode)
	}
	return answer, nil
}

type draw struct {
	hold time.Duration
	cut  bool
}

func (s *Server) begin(key string) (draw, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.busy++
	if s.busy > s.o.Slots && s.o.Slots > 0 {
		s.over++
	}
	if key != "" {
		s.runs[key]++
	}
	var d draw
	if s.o.Hold != nil {
		d.hold = s.o.Hold(s.random)
	}
	d.cut = s.random.Float64() < s.o.Faults.CutProbability
	if s.random.Float64() < s.o.Faults.LateProbability {
		d.hold += s.o.Faults.Late
	}
	return d, s.frozen, s.leaving
}

// ServeHTTP runs one request and echoes its body, key and path.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxEcho))
	if err != nil {
		return
	}
	d, frozen, leaving := s.begin(r.Header.Get("Idempotency-Key"))
	defer s.end()
	if frozen != nil {
		<-frozen
	}
	time.Sleep(d.hold)
	if leaving {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("X-Server", s.o.Name)
	w.Header().Set("X-Path", r.URL.Path)
	w.Header().Set("X-Request", r.Header.Get("X-Request"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if d.cut && len(body) > 0 {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

// Leave makes the server announce that it is leaving and close every
// connection after its current request.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Freeze makes all later requests hang and announcements stop until Thaw.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen == nil {
		s.frozen = make(chan struct{})
	}
}

// Thaw ends Freeze.
func (s *Server) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
	}
}

// Report is what the server saw.
type Report struct {
	Total     int    // requests
	Busy      int    // requests now
	OverSlots int    // requests beyond the slots
	Drained   bool   // the answer to a leaving announcement said so
	Reason    string // of the last refused or failed announcement
}

// Report returns the counts so far.
func (s *Server) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Report{Total: s.total, Busy: s.busy, OverSlots: s.over, Drained: s.drained, Reason: s.reason}
}

// Runs returns how often each key ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}
