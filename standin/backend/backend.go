// Package backend is a small backend server for tests and the demo. It announces
// itself, holds a slot for a random time per request and counts the runs of each
// idempotency key. It can be set to delay or truncate responses, to hang, and to
// leave gracefully.
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
	// maxEcho limits the part of a request body that is sent back, in bytes.
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

// AnnouncementAnswer is the body of the response to an announcement.
type AnnouncementAnswer struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason"`
	RenewMs  uint32 `json:"renew_ms"`
	Drained  bool   `json:"drained"`
}

// Faults are the faults that the server injects, drawn for each request.
type Faults struct {
	CutProbability  float64       // the connection is closed after half of the response body
	LateProbability float64       // the response is delayed by Late
	Late            time.Duration // additional delay of a late response
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
	AnnounceURL string // empty: the server does not announce itself
	Seed        uint64
	// Hold draws the time for which a request holds its slot; nil: no delay.
	Hold   func(r *rand.Rand) time.Duration
	Faults Faults
}

// Server is a backend server.
type Server struct {
	options  Options
	listener net.Listener
	http     *http.Server
	client   *http.Client

	mu        sync.Mutex
	rng       *rand.Rand
	runs      map[string]int
	inFlight  int
	overSlots int // requests that arrived while all slots were held
	total     int
	leaving   bool
	drained   bool
	frozen    chan struct{} // closed by Thaw; nil: not frozen
	reason    string
}

// Start opens the listener. Run serves requests.
func Start(o Options) (*Server, error) {
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "backend: cannot listen; choose a free address")
	}
	s := &Server{
		options:  o,
		listener: l,
		client:   &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}},
		rng:      rand.New(rand.NewPCG(o.Seed, o.Seed)),
		runs:     make(map[string]int),
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves requests and announces the server until ctx ends. It then closes all
// connections immediately, as a crash would. Call Leave first for a graceful stop.
func (s *Server) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(s.listener) }()
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
	if s.options.AnnounceURL == "" {
		return
	}
	s.mu.Lock()
	leaving, frozen := s.leaving, s.frozen != nil
	s.mu.Unlock()
	if frozen {
		return
	}
	a := Announcement{Name: s.options.Name, Host: s.options.Host, Service: s.options.Service, Address: s.Address(),
		Slots: s.options.Slots, Connections: s.options.Connections, BootID: s.options.BootID, Leaving: leaving}
	answer, err := s.postAnnouncement(ctx, a)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.reason = err.Error()
		return
	}
	s.reason = answer.Reason
	s.drained = leaving && answer.Drained
}

func (s *Server) postAnnouncement(ctx context.Context, a Announcement) (*AnnouncementAnswer, error) {
	body, err := json.Marshal(a)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.options.AnnounceURL, bytes.NewReader(body))
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
		return nil, errors.Wrapf(err, "backend: cannot decode the response to an announcement, status %d", resp.StatusCode)
	}
	return answer, nil
}

// requestBehaviour is how the server handles one request.
type requestBehaviour struct {
	hold   time.Duration
	cutOff bool
}

func (s *Server) beginRequest(key string) (requestBehaviour, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.inFlight++
	if s.inFlight > s.options.Slots && s.options.Slots > 0 {
		s.overSlots++
	}
	if key != "" {
		s.runs[key]++
	}
	var behaviour requestBehaviour
	if s.options.Hold != nil {
		behaviour.hold = s.options.Hold(s.rng)
	}
	behaviour.cutOff = s.rng.Float64() < s.options.Faults.CutProbability
	if s.rng.Float64() < s.options.Faults.LateProbability {
		behaviour.hold += s.options.Faults.Late
	}
	return behaviour, s.frozen, s.leaving
}

// ServeHTTP handles one request and returns its body, its X-Request header and its path.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxEcho))
	if err != nil {
		return
	}
	behaviour, frozen, leaving := s.beginRequest(r.Header.Get("Idempotency-Key"))
	defer s.endRequest()
	if frozen != nil {
		<-frozen
	}
	time.Sleep(behaviour.hold)
	if leaving {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("X-Server", s.options.Name)
	w.Header().Set("X-Path", r.URL.Path)
	w.Header().Set("X-Request", r.Header.Get("X-Request"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if behaviour.cutOff && len(body) > 0 {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// Leave makes the server announce that it is leaving and close each connection
// after the current request.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Freeze makes new requests hang and suspends the announcements until Thaw.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen == nil {
		s.frozen = make(chan struct{})
	}
}

// Thaw ends the effect of Freeze; requests that hang continue.
func (s *Server) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
	}
}

// Report holds the counts of a server and the state of its announcements.
type Report struct {
	Total     int    // requests
	Busy      int    // requests in flight
	OverSlots int    // requests that arrived while all slots were held
	Drained   bool   // the response to an announcement with leaving set reported drained
	Reason    string // why the last announcement was refused or failed
}

// Report returns the counts so far.
func (s *Server) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Report{Total: s.total, Busy: s.inFlight, OverSlots: s.overSlots, Drained: s.drained, Reason: s.reason}
}

// Runs returns the number of runs by idempotency key.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}
