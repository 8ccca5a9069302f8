package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// The advisor of case 14: a call about the 8 executors takes half a second, and a ticket is
// valid for five times that.
const (
	decisionMs  = 180
	perWorkerMs = 40
	validityMs  = 2500
	mostWaiting = 32
)

// advisor is a stand-in for the service that allows steps to run. It handles one call of each
// calling machine at a time, in turn, and allows all executors.
type advisor struct {
	w       *world
	address string
	server  *http.Server

	mu      sync.Mutex
	turns   map[string]chan struct{} // by calling machine, filled while a call is handled
	waiting int
	calls   int
}

func openAdvisor(w *world) (*advisor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &advisor{w: w, address: l.Addr().String(), turns: map[string]chan struct{}{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.serve)
	a.server = &http.Server{Handler: mux}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

// begin takes a call of a machine in, and returns the queue of that machine; nil if too many
// calls wait.
func (a *advisor) begin(caller string) chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting >= mostWaiting {
		return nil
	}
	if a.turns[caller] == nil {
		a.turns[caller] = make(chan struct{}, 1)
	}
	a.waiting++
	a.calls++
	return a.turns[caller]
}

// count returns the number of calls so far.
func (a *advisor) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

func (a *advisor) serve(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	caller, _, _ := net.SplitHostPort(r.RemoteAddr)
	came := time.Now()
	turn := a.begin(caller)
	if turn == nil {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	turn <- struct{}{} // waiting senders of a channel are served in their order
	time.Sleep(time.Duration(decisionMs+perWorkerMs*len(b.Workers)) * time.Millisecond)
	<-turn
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	rows := [][]string{}
	for _, id := range b.Workers {
		rows = append(rows, []string{id, "t-" + b.Step + "-" + id})
	}
	a.w.note("advisor: %s on %d executors: answered after %.2f s", b.Step, len(b.Workers), time.Since(came).Seconds())
	_ = json.NewEncoder(w).Encode(map[string]any{"allowed": rows})
}
