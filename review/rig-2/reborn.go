package main

import (
	"fmt"
	"net/http"
	"time"
)

// rebornCase: an executor crashes and starts again under its id, and a start that its earlier
// life left unanswered is carried out late. No task may have two runs at the same time.
func rebornCase(record string) {
	const (
		late        = 5500 * time.Millisecond // of the start
		crashAfter  = 300 * time.Millisecond  // the start was sent
		down        = 4500 * time.Millisecond
		firstReport = time.Second // after the start of the new life
		watch       = 15 * time.Second
	)
	r := open(record, 3, 2, map[string]int{"p-one": 8}, func(string) time.Duration { return 12 * time.Second })
	r.configure(route("bookings", "p-one", ""))
	time.Sleep(4 * time.Second)
	m := r.platform.machines[0]
	old := m.executor
	if r.trouble {
		old.mu.Lock()
		old.late = late
		old.mu.Unlock()
	}
	id := newID()
	if code, _ := r.request(http.MethodPost, "/bookings/"+id, `{"spec":"booking","steps":[{"count":1,"cpu":1000,"mem-mb":1000,"estimated-ms":12000}]}`); code != http.StatusOK {
		r.cannotRun("the job was not accepted")
	}
	began := time.Now()
	if r.trouble {
		time.AfterFunc(crashAfter, func() {
			r.platform.mu.Lock()
			m.state, m.id, m.executor = "down", "", nil
			r.platform.mu.Unlock()
			old.crash()
		})
		time.AfterFunc(crashAfter+down, func() {
			e := r.startExecutor(old.id, m, old.proxy, firstReport)
			old.proxy.setRefused(false)
			r.platform.mu.Lock()
			m.state, m.id, m.executor = "up", e.id, e
			r.platform.mu.Unlock()
		})
	}
	for time.Since(began) < watch {
		time.Sleep(10 * time.Millisecond)
		running := 0
		at := ""
		for _, x := range r.runsOf(id) {
			if x.how == "" {
				running++
				at += fmt.Sprintf(" run %d at %s since %.3f s;", x.number, x.worker, x.from.Sub(r.began).Seconds())
			}
		}
		if running > 1 {
			time.Sleep(2 * time.Second)
			for _, x := range r.runsOf(id) {
				r.note("run %d at %s: from %.3f to %.3f s: %s", x.number, x.worker, x.from.Sub(r.began).Seconds(), x.to.Sub(r.began).Seconds(), x.how)
			}
			r.broken("TWICE: two runs of the one task of job %s at the same time:%s", id, at)
		}
	}
	r.held("no two runs at the same time; %d runs", len(r.runsOf(id)))
}

// crash ends the executor's process; its address refuses connections until the next life.
func (e *executor) crash() {
	e.proxy.setRefused(true)
	e.mu.Lock()
	e.advance()
	for task := range e.running {
		e.finish(task, "crashed", time.Now())
	}
	e.closed = true
	e.mu.Unlock()
	_ = e.server.Close()
	e.rig.note("executor %s crashes", e.id)
}
