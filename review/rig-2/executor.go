package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Properties of the executors, from the pages' bounds.
const (
	maxHold         = 10 * time.Second
	stopTime        = 100 * time.Millisecond // below stop-timeout-ms
	startupTime     = 300 * time.Millisecond // until a lasting task reports 100 percent
	failTime        = 50 * time.Millisecond  // from the start of a run that fails to its end
	brokenDelay     = 5 * time.Millisecond   // until an executor learns that another member of a gang has ended
	holdPoll        = 5 * time.Millisecond
	endsPerList     = 500
	executorCPU     = 64000
	executorMemory  = 131072
	reportInterval  = 1500 * time.Millisecond
	confirmDeadline = time.Second // after which a report counts as unconfirmed
)

// run is a run of a task at an executor, as the executor saw it.
type run struct {
	task, spec, worker string
	checkpoint         string
	number             uint32
	fails              bool
	from, to           time.Time
	stopsAt            time.Time
	how                string // empty while it runs
	acknowledged       time.Time
}

type orderBody struct {
	Task       string `json:"task"`
	Run        uint32 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline-ms"`
	Fence      uint64 `json:"fencing-token"`
	LastSeen   uint64 `json:"last-seen"`
	WaitMs     int64  `json:"wait-ms"`
	Checkpoint string `json:"checkpoint"`
	Percent    *int   `json:"percent"`
}

type end struct {
	number uint64
	run    *run
}

// executor is one life of a machine that runs tasks by the published protocol.
type executor struct {
	rig     *rig
	id      string
	machine *machine
	address string // that it reports
	born    int64
	opened  time.Time
	server  *http.Server
	proxy   *proxy

	mu        sync.Mutex
	sequence  int
	confirmed int // reports that were confirmed
	draining  bool
	closed    bool
	fence     uint64
	leaseMs   int64
	ends      []end
	endCount  uint64
	running   map[string]*run
	highest   map[string]uint32
	failsAll  bool // all that it starts fails
}

// newExecutor starts an executor behind a proxy on loopback addresses.
func (r *rig) newExecutor(id string, m *machine) *executor {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannotRun("listen for an executor: %v", err)
	}
	e := &executor{rig: r, id: id, machine: m, opened: time.Now(), born: time.Now().UnixMilli(), running: map[string]*run{}, highest: map[string]uint32{}}
	e.proxy = newProxy(r, l.Addr().String())
	e.address = e.proxy.address()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.handler(e.start))
	mux.HandleFunc("POST /run-stop", e.handler(e.stop))
	mux.HandleFunc("POST /pace", e.handler(func(orderBody) string { return "" }))
	mux.HandleFunc("POST /hold", e.hold)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	go e.report()
	r.mu.Lock()
	r.executors = append(r.executors, e)
	r.mu.Unlock()
	r.note("executor %s starts on %s", id, m.name)
	return e
}

func (e *executor) clockMs() int64 { return time.Since(e.opened).Milliseconds() + 1 }

// end ends the executor with everything that it runs.
func (e *executor) end(why string) {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.advance()
	for task := range e.running {
		e.finish(task, why, time.Now())
	}
	e.closed = true
	e.mu.Unlock()
	e.proxy.close()
	_ = e.server.Close()
	e.rig.note("executor %s ends: %s", e.id, why)
}

func (e *executor) isClosed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed
}

// advance ends runs that have completed, were stopped or whose lease has expired. The caller
// holds mu.
func (e *executor) advance() {
	now := time.Now()
	lapses := e.opened.Add(time.Duration(e.leaseMs) * time.Millisecond)
	for task, r := range e.running {
		at, how := lapses, "lapsed"
		if !r.stopsAt.IsZero() && r.stopsAt.Before(at) {
			at, how = r.stopsAt, "stopped"
		}
		if d := e.rig.duration(task); d >= 0 && r.from.Add(d).Before(at) {
			at, how = r.from.Add(d), "done"
		}
		if r.fails && r.from.Add(failTime).Before(at) {
			at, how = r.from.Add(failTime), "failed"
		}
		if broken := e.rig.gangBroken(r); !broken.IsZero() && broken.Add(brokenDelay).Before(at) {
			at, how = broken.Add(brokenDelay), "broken"
		}
		if !at.After(now) {
			e.finish(task, how, at)
		}
	}
}

func (e *executor) finish(task, how string, at time.Time) {
	r := e.running[task]
	delete(e.running, task)
	e.endCount++
	e.rig.mu.Lock()
	r.to, r.how = at, how
	e.rig.mu.Unlock()
	e.ends = append(e.ends, end{e.endCount, r})
	e.rig.note("run %s %d at %s ends: %s", task, r.number, e.id, how)
}

func (e *executor) handler(do func(b orderBody) string) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		b, ok := e.decode(w, req)
		if !ok {
			return
		}
		reason := e.apply(b, do)
		answer := map[string]any{"clock-ms": e.clockMs()}
		if reason != "" {
			answer["reason"] = reason
			w.WriteHeader(http.StatusConflict)
		}
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// decode reads an order. It answers orders for another life.
func (e *executor) decode(w http.ResponseWriter, req *http.Request) (b orderBody, ok bool) {
	if err := json.NewDecoder(req.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return b, false
	}
	if expected := req.Header.Get("X-Expected-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return b, false
	}
	return b, true
}

func (e *executor) apply(b orderBody, do func(b orderBody) string) string {
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
	return do(b)
}

// extend extends the lease of all runs, up to max-hold-ms. The caller holds mu.
func (e *executor) extend(deadlineMs int64) {
	e.leaseMs = max(e.leaseMs, min(deadlineMs, e.clockMs()+maxHold.Milliseconds()))
}

func (e *executor) start(b orderBody) string {
	if r := e.running[b.Task]; r != nil && r.number == b.Run {
		return ""
	}
	if b.Run <= e.highest[b.Task] {
		e.extend(b.DeadlineMs)
		return "old"
	}
	if b.DeadlineMs <= e.clockMs() {
		return "late"
	}
	e.extend(b.DeadlineMs)
	e.highest[b.Task] = b.Run
	if earlier := e.running[b.Task]; earlier != nil {
		e.finish(b.Task, "stopped", time.Now())
	}
	r := &run{task: b.Task, spec: b.Spec, worker: e.id, number: b.Run, from: time.Now(), checkpoint: b.Checkpoint, fails: e.failsAll}
	e.running[b.Task] = r
	e.rig.mu.Lock()
	e.rig.runs = append(e.rig.runs, r)
	e.rig.mu.Unlock()
	e.rig.note("run %s %d at %s begins", b.Task, b.Run, e.id)
	return ""
}

func (e *executor) stop(b orderBody) string {
	e.highest[b.Task] = max(e.highest[b.Task], b.Run)
	if r := e.running[b.Task]; r != nil && r.number <= b.Run && r.stopsAt.IsZero() {
		r.stopsAt = time.Now().Add(stopTime)
		e.rig.note("run %s %d at %s is told to stop", b.Task, r.number, e.id)
	}
	return ""
}

func (e *executor) hold(w http.ResponseWriter, req *http.Request) {
	b, ok := e.decode(w, req)
	if !ok {
		return
	}
	reason := e.apply(b, func(b orderBody) string {
		if b.DeadlineMs > 0 {
			e.extend(b.DeadlineMs)
		}
		var kept []end
		for _, x := range e.ends {
			if x.number > b.LastSeen {
				kept = append(kept, x)
				continue
			}
			e.rig.mu.Lock()
			x.run.acknowledged = time.Now()
			e.rig.mu.Unlock()
		}
		e.ends = kept
		return ""
	})
	if reason != "" {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(map[string]any{"clock-ms": e.clockMs(), "reason": reason})
		return
	}
	for until := time.Now().Add(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond); time.Now().Before(until) && !e.hasEnds(); {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(holdPoll):
		}
	}
	_ = json.NewEncoder(w).Encode(e.list())
}

func (e *executor) hasEnds() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return len(e.ends) > 0
}

func (e *executor) list() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	running, finished := [][]any{}, [][]any{}
	for task, r := range e.running {
		percent := 100
		if e.rig.duration(task) < 0 && time.Since(r.from) < startupTime {
			percent = 50
		}
		running = append(running, []any{task, r.number, r.checkpoint, percent, 0})
	}
	for _, x := range e.ends[:min(len(e.ends), endsPerList)] {
		finished = append(finished, []any{x.number, x.run.task, x.run.number, x.run.how, ""})
	}
	return map[string]any{"clock-ms": e.clockMs(), "born": e.born, "running": running, "finished": finished}
}

// report sends the status reports, each to the address that the last answer named or, after a
// failure, to the next control process.
func (e *executor) report() {
	next, to := len(e.id), ""
	for !e.isClosed() {
		if e.reportOnce(&next, &to) {
			time.Sleep(reportInterval)
		} else {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (e *executor) reportOnce(next *int, to *string) (confirmed bool) {
	if e.proxy.blocked() {
		return false // a cut executor reaches nobody
	}
	e.mu.Lock()
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z-1","version":"v1","slots":8,"state":%q,"cold-remaining-ms":0,
		"capacity":{"cpu":%d,"mem-mb":%d,"gpu":0},"labels":[%q,%q],"clock-ms":%d,"born":%d,"sequence":%d}`, e.machine.pool, e.address, state,
		executorCPU, executorMemory, e.machine.kind, e.machine.rack, e.clockMs(), e.born, e.sequence)
	e.mu.Unlock()
	if *to == "" {
		*to = e.rig.controls[*next%len(e.rig.controls)].address(portControl)
		*next++
	}
	code, answer := e.rig.call(http.MethodPut, *to, "", "/executors/"+e.id, body, confirmDeadline)
	if code/100 != 2 {
		*to = ""
		return false
	}
	e.mu.Lock()
	e.confirmed++
	e.mu.Unlock()
	var a struct {
		Address string `json:"heartbeat-address"`
	}
	if json.Unmarshal([]byte(answer), &a) == nil && a.Address != "" {
		*to = a.Address
	}
	return true
}

// jobOf returns the id of the job that a task is of.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }
