// Package executor is a stand-in for the users' workers and their machine
// service, for tests: it speaks their published protocol over HTTP on loopback
// and records what it was told.
package executor

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Fault is what happens to one order.
type Fault int

// Faults of an order.
const (
	None       Fault = iota
	LoseAnswer       // carried out, and the connection ends without an answer
	LoseOrder        // not carried out, and the connection ends without an answer
	Late             // no answer; carried out after Executor.Delay
)

// Executor is one process of a worker.
type Executor struct {
	ID, Address string
	BornMs      int64
	Delay       time.Duration
	// Duration is how long a task runs; a negative one means that it lasts.
	Duration func(task string) time.Duration
	// Percent is what a task's row says of its progress; nil means 100.
	Percent func(task string) int
	// Fault decides what happens to an order; nil means None.
	Fault func(path, task string) Fault

	server  *http.Server
	mu      sync.Mutex
	started time.Time
	fence   uint64
	ends    uint64
	runs    map[string]*run
	ended   []end
	highest map[string]uint32
	starts  []Start
	past    []Interval
	down    bool
}

// Interval is a run that has ended here.
type Interval struct {
	Task     string
	Run      uint32
	From, To time.Time
	How      string
	// Noted is when the end was taken note of, zero if it was not.
	Noted time.Time
}

// Start is a start that was carried out.
type Start struct {
	Task string
	Run  uint32
	Spec string
	At   time.Time
}

type run struct {
	number     uint32
	begun      time.Time
	deadlineMs int64
}

type end struct {
	number uint64
	task   string
	run    uint32
	how    string
}

// Open starts an executor on a loopback address.
func Open(id string) (*Executor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Executor{ID: id, Address: l.Addr().String(), BornMs: time.Now().UnixMilli(), started: time.Now(),
		runs: map[string]*run{}, highest: map[string]uint32{}, Delay: 2 * time.Second,
		Duration: func(string) time.Duration { return 20 * time.Millisecond }}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.order(e.start))
	mux.HandleFunc("POST /run-stop", e.order(e.stop))
	mux.HandleFunc("POST /pace", e.order(e.pace))
	mux.HandleFunc("POST /hold", e.hold)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// Close ends the process: all its runs end with it.
func (e *Executor) Close() { _ = e.server.Close() }

// SetDown makes the process deaf: it answers nothing and goes on running.
func (e *Executor) SetDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
}

// Starts returns the starts that were carried out.
func (e *Executor) Starts() []Start {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return append([]Start(nil), e.starts...)
}

// Running returns the tasks at work.
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

func (e *Executor) clockMs() int64 { return time.Since(e.started).Milliseconds() + 1 }

// advance ends the runs whose time or lease is over. Called with mu held.
func (e *Executor) advance() {
	for task, r := range e.runs {
		d := e.Duration(task)
		switch {
		case e.clockMs() > r.deadlineMs:
			e.finish(task, "lapsed")
		case d >= 0 && time.Since(r.begun) >= d:
			e.finish(task, "done")
		}
	}
}

func (e *Executor) finish(task, how string) {
	e.ends++
	r := e.runs[task]
	e.ended = append(e.ended, end{number: e.ends, task: task, run: r.number, how: how})
	to := time.Now()
	if d := e.Duration(task); how == "done" {
		to = r.begun.Add(d)
	}
	if lapse := e.started.Add(time.Duration(r.deadlineMs) * time.Millisecond); how == "lapsed" {
		to = lapse
	}
	e.past = append(e.past, Interval{Task: task, Run: r.number, From: r.begun, To: to, How: how})
	delete(e.runs, task)
}

// Past returns the runs that have ended here; those that go on end now.
func (e *Executor) Past() []Interval {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	list := append([]Interval(nil), e.past...)
	for task, r := range e.runs {
		list = append(list, Interval{Task: task, Run: r.number, From: r.begun, To: time.Now(), How: "running"})
	}
	return list
}

// order decodes an order, applies its fault and the fence, and answers.
func (e *Executor) order(do func(b orderBody) (reason string)) http.HandlerFunc {
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
		if fault == LoseOrder || e.isDown() {
			panic(http.ErrAbortHandler)
		}
		if fault == Late {
			time.AfterFunc(e.Delay, func() { e.carryOut(b, do) })
			panic(http.ErrAbortHandler)
		}
		reason := e.carryOut(b, do)
		if fault == LoseAnswer {
			panic(http.ErrAbortHandler)
		}
		answer := map[string]any{"clock-ms": e.clockMs()}
		if reason != "" {
			answer["reason"] = reason
			w.WriteHeader(http.StatusConflict)
		}
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (e *Executor) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

func (e *Executor) carryOut(b orderBody, do func(b orderBody) string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if b.Fence < e.fence {
		return "fence"
	}
	e.fence = b.Fence
	return do(b)
}

func (e *Executor) extend(deadlineMs int64) {
	for _, r := range e.runs {
		r.deadlineMs = max(r.deadlineMs, deadlineMs)
	}
}

func (e *Executor) start(b orderBody) string {
	if r := e.runs[b.Task]; r != nil && r.number == b.Run {
		return ""
	}
	e.extend(b.DeadlineMs)
	if b.Run <= e.highest[b.Task] {
		return "old"
	}
	if b.DeadlineMs <= e.clockMs() {
		return "late"
	}
	e.highest[b.Task] = b.Run
	e.runs[b.Task] = &run{number: b.Run, begun: time.Now(), deadlineMs: b.DeadlineMs}
	e.starts = append(e.starts, Start{Task: b.Task, Run: b.Run, Spec: b.Spec, At: time.Now()})
	return ""
}

func (e *Executor) stop(b orderBody) string {
	e.highest[b.Task] = max(e.highest[b.Task], b.Run)
	if r := e.runs[b.Task]; r != nil && r.number <= b.Run {
		e.finish(b.Task, "stopped")
	}
	return ""
}

func (e *Executor) pace(orderBody) string { return "" }

// holdPoll is how often a waiting hold looks for an end.
const holdPoll = 5 * time.Millisecond

func (e *Executor) hold(w http.ResponseWriter, r *http.Request) {
	var b orderBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.isDown() {
		panic(http.ErrAbortHandler)
	}
	reason := e.carryOut(b, func(b orderBody) string {
		e.extend(b.DeadlineMs)
		kept := e.ended[:0]
		for _, x := range e.ended {
			if x.number > b.LastSeen {
				kept = append(kept, x)
			} else {
				e.past[x.number-1].Noted = time.Now()
			}
		}
		e.ended = kept
		return ""
	})
	if reason != "" {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(map[string]any{"clock-ms": e.clockMs(), "reason": reason})
		return
	}
	for until := time.Now().Add(time.Duration(b.WaitMs) * time.Millisecond); time.Now().Before(until) && !e.hasEnds(); {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(holdPoll):
		}
	}
	if e.isDown() {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(e.list())
}

func (e *Executor) hasEnds() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return len(e.ended) > 0
}

const fullPercent = 100

func (e *Executor) list() map[string]any {
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
	for _, x := range e.ended {
		finished = append(finished, []any{x.number, x.task, x.run, x.how, ""})
	}
	return map[string]any{"clock-ms": e.clockMs(), "born": e.BornMs, "running": running, "finished": finished}
}
