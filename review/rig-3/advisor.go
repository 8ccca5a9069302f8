package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// The advisor of case 14: a call about the 8 executors takes 1.05 s, and a ticket is valid for a
// minute.
const (
	decisionMs  = 450
	perWorkerMs = 75
	validityMs  = 60_000
	mostWaiting = 32
)

// advisor is a stand-in for the service that allows steps to run. It handles one call of each
// calling machine at a time, in turn, and allows all executors. A call whose caller has gone
// before its turn is dropped.
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

// end records that a call no longer waits.
func (a *advisor) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
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
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &b)
	}
	if err != nil {
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
	gone := r.Context().Err() != nil
	if !gone {
		time.Sleep(time.Duration(decisionMs+perWorkerMs*len(b.Workers)) * time.Millisecond)
	}
	<-turn
	a.end()
	if gone {
		a.w.note("advisor: %s: its caller had gone after %.2f s", b.Step, time.Since(came).Seconds())
		return
	}
	rows := [][]string{}
	for _, id := range b.Workers {
		rows = append(rows, []string{id, "t-" + b.Step + "-" + id})
	}
	a.w.note("advisor: %s on %d executors: answered after %.2f s", b.Step, len(b.Workers), time.Since(came).Seconds())
	_ = json.NewEncoder(w).Encode(map[string]any{"allowed": rows})
}
