// Package executor is a stand-in for the users' workers and their machine
// service, for tests. It implements their published protocol over HTTP on loopback
// addresses and records the orders that it carried out.
package executor

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Fault is a fault that is injected into one order.
type Fault int

// Faults of an order.
const (
	None       Fault = iota
	LoseAnswer       // carried out; the connection is closed without a response
	LoseOrder        // not carried out; the connection is closed without a response
	Late             // the connection is closed without a response; carried out after Executor.Delay
)

// Executor is one incarnation of a worker's process.
type Executor struct {
	ID, Address string
	StartedMs   int64
	Delay       time.Duration
	// StopDelay is how long a run goes on after it was told to stop.
	StopDelay time.Duration
	// MaxLease is the longest lease that the process accepts; a longer one is shortened.
	MaxLease time.Duration
	// Duration is how long a task runs; a negative value means that
	// it runs until it is stopped or its lease expires.
	Duration func(task string) time.Duration
	// Percent returns the progress reported for a running task; nil means 100.
	Percent func(task string) int
	// Fault chooses the fault of an order; nil means None.
	Fault func(path, task string) Fault
	// LateBy chooses the delay of a late order; nil means Delay.
	LateBy func() time.Duration

	server             *http.Server
	mu                 sync.Mutex
	openedAt           time.Time
	fence              uint64
	leaseMs            int64 // time on the process's clock until which its runs may go on
	endCount           uint64
	runs               map[string]*run
	unacknowledgedEnds []end
	highestRuns        map[string]uint32
	starts             []Start
	history            []Interval
	listed             func()
	unresponsive       bool
	closed             bool
}

// Interval is the time during which a run was executed here.
type Interval struct {
	Task     string
	Run      uint32
	From, To time.Time
	How      string
	// AcknowledgedAt is when a hold acknowledged the end; zero if none did.
	AcknowledgedAt time.Time
	// LeaseLapsed reports that the process's lease expired after the end and before its
	// acknowledgement. The sender may then have taken the run for lost.
	LeaseLapsed bool
}

// Start is a start order that was carried out.
type Start struct {
	Task string
	Run  uint32
	Spec string
	At   time.Time
}

type run struct {
	number    uint32
	startedAt time.Time
	stopsAt   time.Time // zero unless it was told to stop
}

type end struct {
	number uint64
	task   string
	run    uint32
	how    string
}

// Open starts an executor that listens on a loopback address.
func Open(id string) (*Executor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Executor{ID: id, Address: l.Addr().String(), StartedMs: time.Now().UnixMilli(), openedAt: time.Now(),
		runs: map[string]*run{}, highestRuns: map[string]uint32{}, Delay: 2 * time.Second, MaxLease: 10 * time.Second,
		Duration: func(string) time.Duration { return 20 * time.Millisecond }}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.orderHandler(e.start))
	mux.HandleFunc("POST /run-stop", e.orderHandler(e.stop))
	mux.HandleFunc("POST /pace", e.orderHandler(e.pace))
	mux.HandleFunc("POST /hold", e.serveHold)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// Close simulates the end of the process and of all its runs: the server stops, and late
// orders have no effect.
func (e *Executor) Close() {
	_ = e.server.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	for task := range e.runs {
		e.finish(task, "crashed", time.Now())
	}
	e.closed = true
}

// SetUnresponsive sets whether the process leaves all requests without a response. Its runs
// continue.
func (e *Executor) SetUnresponsive(unresponsive bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unresponsive = unresponsive
}

// SetListed sets a function that is called after each answer that lists ends; nil means none.
func (e *Executor) SetListed(listed func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listed = listed
}

// Starts returns the start orders that were carried out.
func (e *Executor) Starts() []Start {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return append([]Start(nil), e.starts...)
}

// Running returns the tasks that are running.
func (e *Executor) Running() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	var tasks []string
	for task := range e.runs {
		tasks = append(tasks, task)
	}
	return tasks
}

type orderBody struct {
	Task       string `json:"task"`
	Run        uint32 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline-ms"`
	Fence      uint64 `json:"fencing-token"`
	LastSeen   uint64 `json:"last-seen"`
	WaitMs     int64  `json:"wait-ms"`
}

// ClockMs returns the time on the process's clock, in milliseconds since shortly before its
// start.
func (e *Executor) ClockMs() int64 { return time.Since(e.openedAt).Milliseconds() + 1 }

// advance ends the runs that have completed, were stopped or whose lease has expired. The
// caller holds mu.
func (e *Executor) advance() {
	now := time.Now()
	lapsesAt := e.openedAt.Add(time.Duration(e.leaseMs) * time.Millisecond)
	for task, r := range e.runs {
		at, how := lapsesAt, "lapsed"
		if !r.stopsAt.IsZero() && r.stopsAt.Before(at) {
			at, how = r.stopsAt, "stopped"
		}
		if d := e.Duration(task); d >= 0 && r.startedAt.Add(d).Before(at) {
			at, how = r.startedAt.Add(d), "done"
		}
		if !at.After(now) {
			e.finish(task, how, at)
		}
	}
}

// finish records the end of a run. The caller holds mu.
func (e *Executor) finish(task, how string, at time.Time) {
	e.endCount++
	r := e.runs[task]
	e.unacknowledgedEnds = append(e.unacknowledgedEnds, end{number: e.endCount, task: task, run: r.number, how: how})
	e.history = append(e.history, Interval{Task: task, Run: r.number, From: r.startedAt, To: at, How: how})
	delete(e.runs, task)
}

// RunHistory returns the runs that have ended here, and the running ones with the current
// time as their end.
func (e *Executor) RunHistory() []Interval {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	list := append([]Interval(nil), e.history...)
	for task, r := range e.runs {
		list = append(list, Interval{Task: task, Run: r.number, From: r.startedAt, To: time.Now(), How: "running"})
	}
	return list
}

// orderHandler returns a handler that decodes an order, injects its fault, checks the
// fence, carries the order out and writes the response.
func (e *Executor) orderHandler(do func(b orderBody) (reason string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var b orderBody
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != e.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		fault := None
		if e.Fault != nil {
			fault = e.Fault(r.URL.Path, b.Task)
		}
		if fault == LoseOrder || e.isUnresponsive() {
			panic(http.ErrAbortHandler)
		}
		if fault == Late {
			time.AfterFunc(e.delay(), func() { e.apply(b, do) })
			panic(http.ErrAbortHandler)
		}
		reason := e.apply(b, do)
		if fault == LoseAnswer {
			panic(http.ErrAbortHandler)
		}
		answer := map[string]any{"clock-ms": e.ClockMs()}
		if reason != "" {
			answer["reason"] = reason
			w.WriteHeader(http.StatusConflict)
		}
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (e *Executor) delay() time.Duration {
	if e.LateBy == nil {
		return e.Delay
	}
	return e.LateBy()
}

func (e *Executor) isUnresponsive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unresponsive
}

func (e *Executor) apply(b orderBody, do func(b orderBody) string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if e.closed {
		return "late"
	}
	if b.Fence < e.fence {
		return "fence"
	}
	e.fence = b.Fence
	e.markLapsedEnds()
	return do(b)
}

// extendLease extends the lease of all runs, by MaxLease at most. A deadline that was meant
// for an earlier process is on the clock of that one, which may be far ahead. The caller
// holds mu and has called advance.
func (e *Executor) extendLease(deadlineMs int64) {
	e.leaseMs = max(e.leaseMs, min(deadlineMs, e.ClockMs()+e.MaxLease.Milliseconds()))
}

// markLapsedEnds marks the ends that were not acknowledged before the lease expired. The
// caller holds mu.
func (e *Executor) markLapsedEnds() {
	if e.ClockMs() <= e.leaseMs {
		return
	}
	for _, x := range e.unacknowledgedEnds {
		e.history[x.number-1].LeaseLapsed = true
	}
}

func (e *Executor) start(b orderBody) string {
	if r := e.runs[b.Task]; r != nil && r.number == b.Run {
		return ""
	}
	e.extendLease(b.DeadlineMs)
	if b.Run <= e.highestRuns[b.Task] {
		return "old"
	}
	if b.DeadlineMs <= e.ClockMs() {
		return "late"
	}
	e.highestRuns[b.Task] = b.Run
	if earlier := e.runs[b.Task]; earlier != nil {
		// It was told to stop and runs on meanwhile; only its end is listed.
		e.finish(b.Task, "stopped", earlier.stopsAt)
	}
	e.runs[b.Task] = &run{number: b.Run, startedAt: time.Now()}
	e.starts = append(e.starts, Start{Task: b.Task, Run: b.Run, Spec: b.Spec, At: time.Now()})
	return ""
}

func (e *Executor) stop(b orderBody) string {
	e.highestRuns[b.Task] = max(e.highestRuns[b.Task], b.Run)
	if r := e.runs[b.Task]; r != nil && r.number <= b.Run && r.stopsAt.IsZero() {
		r.stopsAt = time.Now().Add(e.StopDelay)
	}
	e.advance()
	return ""
}

func (e *Executor) pace(orderBody) string { return "" }

// holdPollInterval is how often a waiting hold checks for an ended run.
const holdPollInterval = 5 * time.Millisecond

func (e *Executor) serveHold(w http.ResponseWriter, r *http.Request) {
	var b orderBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fault := None
	if e.Fault != nil {
		fault = e.Fault(r.URL.Path, "")
	}
	if fault == LoseOrder || e.isUnresponsive() {
		panic(http.ErrAbortHandler)
	}
	if fault == Late {
		time.AfterFunc(e.delay(), func() { e.apply(b, e.hold) })
		panic(http.ErrAbortHandler)
	}
	reason := e.apply(b, e.hold)
	if fault == LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	if reason != "" {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(map[string]any{"clock-ms": e.ClockMs(), "reason": reason})
		return
	}
	for until := time.Now().Add(time.Duration(b.WaitMs) * time.Millisecond); time.Now().Before(until) && !e.hasUnacknowledgedEnds(); {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(holdPollInterval):
		}
	}
	if e.isUnresponsive() {
		panic(http.ErrAbortHandler)
	}
	list := e.runList()
	_ = json.NewEncoder(w).Encode(list)
	e.mu.Lock()
	listed := e.listed
	e.mu.Unlock()
	if ends, _ := list["finished"].([][]any); len(ends) > 0 && listed != nil {
		_ = http.NewResponseController(w).Flush()
		listed()
	}
}

// hold extends the lease and removes the ends that are acknowledged. The caller holds mu.
func (e *Executor) hold(b orderBody) string {
	e.extendLease(b.DeadlineMs)
	kept := e.unacknowledgedEnds[:0]
	for _, x := range e.unacknowledgedEnds {
		if x.number > b.LastSeen {
			kept = append(kept, x)
		} else {
			e.history[x.number-1].AcknowledgedAt = time.Now()
		}
	}
	e.unacknowledgedEnds = kept
	return ""
}

func (e *Executor) hasUnacknowledgedEnds() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return len(e.unacknowledgedEnds) > 0
}

const (
	fullPercent = 100
	endsPerList = 500 // the others are listed once these are acknowledged
)

func (e *Executor) runList() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	running, finished := [][]any{}, [][]any{}
	for task, r := range e.runs {
		percent := fullPercent
		if e.Percent != nil {
			percent = e.Percent(task)
		}
		running = append(running, []any{task, r.number, "", percent, 0})
	}
	for _, x := range e.unacknowledgedEnds[:min(len(e.unacknowledgedEnds), endsPerList)] {
		finished = append(finished, []any{x.number, x.task, x.run, x.how, ""})
	}
	return map[string]any{"clock-ms": e.ClockMs(), "born": e.StartedMs, "running": running, "finished": finished}
}
