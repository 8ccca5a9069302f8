package main

import (
	"net/http"
	"sync"
	"time"
)

// lateCase: a task crashes each executor that starts it, some time after its start. It must
// not be started three times more after three executors have crashed under it.
func lateCase(record string) {
	const (
		crashAfter = 600 * time.Millisecond // the start of the task
		down       = 3 * time.Second
		allowed    = 3 // crashes
		limit      = 3 // starts after these
	)
	var mu sync.Mutex
	var r *rig
	deadly := ""
	crashes, startsAfter := 0, 0
	seen := map[*run]bool{}
	r = open(record, 3, 2, map[string]int{"p-one": 6}, func(string) time.Duration { return 2 * time.Second })
	r.configure(route("bookings", "p-one", ""))
	time.Sleep(3 * time.Second)
	deadly = newID()
	if !r.trouble {
		id, _ := r.submit("bookings", `{"count":1,"cpu":1000,"mem-mb":1000,"estimated-ms":2000}`)
		r.eventually("the task is done", 10*time.Second, func() bool { runs := r.runsOf(id); return len(runs) == 1 && runs[0].how == "done" })
		r.held("the task was done by its first run")
	}
	if code, _ := r.request(http.MethodPost, "/bookings/"+deadly, `{"spec":"deadly","steps":[{"count":1,"cpu":1000,"mem-mb":1000,"estimated-ms":2000}]}`); code != http.StatusOK {
		r.cannotRun("the job was not accepted")
	}
	for began := time.Now(); time.Since(began) < 80*time.Second; time.Sleep(10 * time.Millisecond) {
		r.mu.Lock()
		runs := append([]*run(nil), r.runs...)
		r.mu.Unlock()
		for _, x := range runs {
			if jobOf(x.task) != deadly || seen[x] {
				continue
			}
			seen[x] = true
			mu.Lock()
			if crashes >= allowed {
				startsAfter++
			}
			mu.Unlock()
			for _, m := range r.platform.machines {
				if m.id != x.worker {
					continue
				}
				time.AfterFunc(crashAfter, func() {
					r.platform.lose(m)
					mu.Lock()
					crashes++
					mu.Unlock()
					time.AfterFunc(down, func() { r.platform.bringUp(m) })
				})
			}
		}
		mu.Lock()
		c, s := crashes, startsAfter
		mu.Unlock()
		if s >= limit {
			r.request(http.MethodGet, "/bookings/"+deadly, "")
			r.broken("BUDGET: the task was started %d times more after %d executors had crashed under it; %d have by now", s, allowed, c)
		}
	}
	r.held("the task was started %d times after the third crash; %d executors have crashed", startsAfter, crashes)
}
