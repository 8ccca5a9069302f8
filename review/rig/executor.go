package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Limits of an executor, as the pages and the site's bounds have them.
const (
	maxHold      = 10 * time.Second
	stopTime     = 150 * time.Millisecond // that a stop takes; stop-timeout-ms is 400
	endsPerList  = 500
	maxWait      = 2 * time.Second
	executorTick = 2 * time.Millisecond
)

// executor is a stand-in for one life of an executor. All fields below mu are guarded
// by it.
type executor struct {
	rig     *rig
	id      string
	address string
	machine string
	born    int64
	opened  time.Time
	server  *http.Server
	// duration is how long a task works.
	duration func(task string) time.Duration
	// caller sends the status reports, until stopBeats is closed.
	caller    *controlCaller
	stopBeats chan struct{}
	beatsDone chan struct{}

	mu       sync.Mutex
	draining bool
	beatAt   time.Time // when the last status report was confirmed
	ended    bool      // the process has ended
	sequence int64
	fence    uint64
	deadline int64 // of the lease of all that runs, on the executor's clock
	running  map[runKey]*taskRun
	highest  map[string]uint32 // by task: the highest run that was stopped or has ended
	ends     []*taskRun
	endCount uint64
	seen     uint64
}

// runKey identifies a run.
type runKey struct {
	task   string
	number uint32
}

func (t *taskRun) key() runKey { return runKey{t.task, t.number} }

// openExecutor starts a life of an executor that listens on an address; an empty one
// selects a free port.
func (r *rig) openExecutor(id, machine, address string) (*executor, error) {
	if address == "" {
		address = net.JoinHostPort(r.ip(executorHost, len(r.executors)), "0")
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &executor{rig: r, id: id, address: listener.Addr().String(), machine: machine, born: time.Now().UnixMilli(), opened: time.Now(),
		running: map[runKey]*taskRun{}, highest: map[string]uint32{},
		duration: func(string) time.Duration { return time.Second }}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.serveStart)
	mux.HandleFunc("POST /run-stop", e.serveStop)
	mux.HandleFunc("POST /hold", e.serveHold)
	mux.HandleFunc("POST /pace", func(w http.ResponseWriter, _ *http.Request) { e.answer(w, http.StatusOK, "") })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = e.server.Serve(listener) }()
	go e.watch()
	r.machines.set(machine, id)
	r.executors = append(r.executors, e)
	r.record.add("%s is up at %s, born %d", id, e.address, e.born)
	return e, nil
}

// end ends the process. Everything that runs on it terminates.
func (e *executor) end(why string) {
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		return
	}
	e.ended = true
	for _, t := range e.running {
		e.rig.record.ended(t, "lost with the executor")
	}
	e.running = map[runKey]*taskRun{}
	e.mu.Unlock()
	_ = e.server.Close()
	e.rig.record.add("%s has ended: %s", e.id, why)
}

func (e *executor) hasEnded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

func (e *executor) clock() int64 { return time.Since(e.opened).Milliseconds() + 1 }

// watch ends the runs whose work is done, and all of them when the lease runs out.
func (e *executor) watch() {
	for range time.Tick(executorTick) {
		e.mu.Lock()
		if e.ended {
			e.mu.Unlock()
			return
		}
		lapsed := len(e.running) > 0 && e.clock() > e.deadline
		if lapsed {
			e.rig.record.lapsed(e)
		}
		for _, t := range e.sorted() {
			switch {
			case lapsed:
				e.finish(t, "lapsed")
			case time.Since(t.from) >= e.duration(t.task):
				e.finish(t, "done")
			}
		}
		e.mu.Unlock()
	}
}

func (e *executor) sorted() []*taskRun {
	list := make([]*taskRun, 0, len(e.running))
	for _, t := range e.running {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].task < list[j].task || list[i].task == list[j].task && list[i].number < list[j].number
	})
	return list
}

// finish lists the end of a run. Called with mu held.
func (e *executor) finish(t *taskRun, how string) {
	if e.running[t.key()] != t {
		return
	}
	delete(e.running, t.key())
	e.endCount++
	t.end = e.endCount
	e.ends = append(e.ends, t)
	e.highest[t.task] = max(e.highest[t.task], t.number)
	e.rig.record.ended(t, how)
}

type order struct {
	Task       string `json:"task"`
	Run        uint32 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline-ms"`
	Fence      uint64 `json:"fencing-token"`
	LastSeen   uint64 `json:"last-seen"`
	WaitMs     int64  `json:"wait-ms"`
	Ticket     string `json:"ticket"`
}

// readOrder decodes an order and checks the intended boot.
func (e *executor) readOrder(w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if intended := r.Header.Get("X-Expected-Instance"); intended != "" && intended != e.id {
		e.answer(w, http.StatusMisdirectedRequest, "")
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		e.answer(w, http.StatusBadRequest, "")
		return o, false
	}
	return o, true
}

func (e *executor) answer(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock-ms": e.clock(), "born": e.born}
	if reason != "" {
		body["reason"] = reason
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *executor) answerReason(w http.ResponseWriter, reason string) {
	if reason != "" {
		e.answer(w, http.StatusConflict, reason)
		return
	}
	e.answer(w, http.StatusOK, "")
}

// takeFence reports whether an order's fencing token is not below the highest seen, and
// keeps it. Called with mu held.
func (e *executor) takeFence(o order) bool {
	if o.Fence < e.fence {
		return false
	}
	e.fence = o.Fence
	return true
}

// takeDeadline extends the lease. Called with mu held.
func (e *executor) takeDeadline(deadlineMs int64) {
	e.deadline = max(e.deadline, min(deadlineMs, e.clock()+maxHold.Milliseconds()))
}

func (e *executor) serveStart(w http.ResponseWriter, r *http.Request) {
	o, ok := e.readOrder(w, r)
	if !ok {
		return
	}
	reason := e.start(o)
	if reason != "" {
		e.rig.record.add("%s refuses to start %s run %d: %s", e.id, o.Task, o.Run, reason)
	}
	e.answerReason(w, reason)
}

func (e *executor) start(o order) (reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.ended:
		return "ended"
	case !e.takeFence(o):
		return "fence"
	case e.running[runKey{o.Task, o.Run}] != nil:
		return ""
	case o.Run <= e.highest[o.Task]:
		e.takeDeadline(o.DeadlineMs)
		return "old"
	case o.DeadlineMs <= e.clock():
		return "late"
	case e.rig.allowed != "" && !e.ticketValid(o.Task, o.Ticket):
		return "ticket"
	}
	e.takeDeadline(o.DeadlineMs)
	t := &taskRun{executor: e, task: o.Task, number: o.Run, from: time.Now()}
	e.running[t.key()] = t
	e.rig.record.started(t)
	return ""
}

func (e *executor) serveStop(w http.ResponseWriter, r *http.Request) {
	o, ok := e.readOrder(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.takeFence(o) {
		e.answer(w, http.StatusConflict, "fence")
		return
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if t := e.running[runKey{o.Task, o.Run}]; t != nil {
		e.rig.record.add("%s is told to stop %s run %d", e.id, o.Task, o.Run)
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if !e.ended {
				e.finish(t, "stopped")
			}
		})
	}
	e.answer(w, http.StatusOK, "")
}

func (e *executor) serveHold(w http.ResponseWriter, r *http.Request) {
	o, ok := e.readOrder(w, r)
	if !ok {
		return
	}
	if !e.takeHold(o) {
		e.answer(w, http.StatusConflict, "fence")
		return
	}
	until := time.Now().Add(min(time.Duration(o.WaitMs)*time.Millisecond, maxWait))
	for time.Now().Before(until) && !e.hasEnds() {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(executorTick):
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.list())
}

func (e *executor) takeHold(o order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.takeFence(o) {
		return false
	}
	e.takeDeadline(o.DeadlineMs)
	e.seen = max(e.seen, o.LastSeen)
	kept := e.ends[:0]
	for _, t := range e.ends {
		if t.end > e.seen {
			kept = append(kept, t)
			continue
		}
		e.rig.record.noted(t)
	}
	e.ends = kept
	return true
}

func (e *executor) hasEnds() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.ends) > 0
}

// list returns the answer to a hold: what runs, and the ends that are not taken note of,
// at most endsPerList of them.
func (e *executor) list() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, t := range e.sorted() {
		running = append(running, []any{t.task, t.number, "", 100, 0})
	}
	for _, t := range e.ends[:min(len(e.ends), endsPerList)] {
		finished = append(finished, []any{t.end, t.task, t.number, t.how, ""})
	}
	if len(e.ends) > endsPerList {
		e.rig.record.add("%s lists %d of %d ends, and %d runs at work", e.id, len(finished), len(e.ends), len(running))
	}
	return map[string]any{"clock-ms": e.clock(), "born": e.born, "running": running, "finished": finished}
}

// index returns the last part of a task's name.
func index(task string) string { return task[strings.LastIndexByte(task, '.')+1:] }
