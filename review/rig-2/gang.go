package main

import (
	"fmt"
	"time"
)

// gangCase: one executor of the pool fails all that it starts. A gang that has failed fewer
// times than its queue's max-attempts must not be shown as failed.
func gangCase(record string) {
	const (
		members     = 4
		maxAttempts = 3 // of the route
		greyTime    = 6500 * time.Millisecond
	)
	r := open(record, 3, 2, map[string]int{"p-one": 10}, func(string) time.Duration { return 500 * time.Millisecond })
	r.configure(route("bookings", "p-one", ""))
	first, _ := r.submit("bookings", `{"count":1,"cpu":500,"mem-mb":500,"estimated-ms":500}`)
	r.eventually("the first job is done", 20*time.Second, func() bool {
		runs := r.runsOf(first)
		return len(runs) == 1 && runs[0].how == "done"
	})
	time.Sleep(2 * time.Second)
	worker := r.runsOf(first)[0].worker
	if r.trouble {
		for _, e := range r.executors {
			if e.id == worker {
				e.setFailsAll(true)
				r.note("executor %s, 1 of 10, fails all that it starts for %v", worker, greyTime)
				time.AfterFunc(greyTime, func() { e.setFailsAll(false); r.note("executor %s is sound again", worker) })
			}
		}
	}
	id := newID()
	r.mu.Lock()
	r.gangs[id] = true
	r.mu.Unlock()
	body := fmt.Sprintf(`{"spec":"gang","steps":[{"count":%d,"cpu":1000,"mem-mb":1000,"estimated-ms":500,"gang":true}]}`, members)
	if code, _ := r.request("POST", "/bookings/"+id, body); code != 200 {
		r.cannotRun("the gang was not accepted")
	}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		code, answer := r.request("GET", "/bookings/"+id, "")
		if code == 200 && answer == `{"state":"completed"}` {
			r.held("the gang was done")
		}
		failed, byTask := map[uint32]bool{}, map[string]int{}
		for _, x := range r.runsOf(id) {
			if x.how == "failed" {
				failed[x.number] = true
				byTask[x.task]++
			}
		}
		if code == 200 && answer == `{"state":"failed"}` && len(failed) < maxAttempts {
			r.broken("LOST: the gang is shown as failed after %d failed runs of it (failed runs of each task: %v), although max-attempts is %d", len(failed), byTask, maxAttempts)
		}
	}
	r.held("the gang was not shown as failed too early")
}

func (e *executor) setFailsAll(fails bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failsAll = fails
}
