package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// pendingCase: one executor is cut off just before jobs are handed in. A count of pending jobs
// must not leave out those of which no task has begun.
func pendingCase(record string) {
	const (
		jobs    = 6
		cutTime = 5500 * time.Millisecond
		waiting = 5 * time.Second // visible_ms + 2 s
		step    = `{"count":1,"cpu":500,"mem-mb":500,"estimated-ms":400}`
	)
	r := open(record, 3, 2, map[string]int{"p-one": 6}, func(string) time.Duration { return 400 * time.Millisecond })
	r.configure(route("bookings", "p-one", ""))
	// The first job's starts leave open connections to the executor, so that the later ones
	// need no new ones.
	first, _ := r.submit("bookings", `{"count":12,"cpu":500,"mem-mb":500,"estimated-ms":400}`)
	r.eventually("the first job is done", 20*time.Second, func() bool {
		code, answer := r.call(http.MethodGet, r.entries[0].address(portFrontend), clientHost, "/bookings/"+first, "", 3*time.Second)
		return code == 200 && answer == `{"state":"completed"}`
	})
	time.Sleep(2 * time.Second)
	worker := r.runsOf(first)[0].worker
	if r.trouble {
		r.cut(worker, cutTime)
	}
	began := time.Now()
	accepted := map[string]time.Time{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for range jobs {
		clients.Go(func() {
			id, at := r.submit("bookings", step)
			mu.Lock()
			defer mu.Unlock()
			accepted[id] = at
		})
	}
	clients.Wait()
	for time.Since(began) < 2*waiting {
		time.Sleep(100 * time.Millisecond)
		for _, entry := range r.entries {
			asked := time.Now()
			code, answer := r.call(http.MethodGet, entry.address(portFrontend), clientHost, "/bookings/", "", 3*time.Second)
			var a struct {
				Pending *int `json:"pending"`
			}
			if code != http.StatusOK || json.Unmarshal([]byte(answer), &a) != nil || a.Pending == nil {
				continue
			}
			overdue := 0
			for id, at := range accepted {
				if asked.Sub(at) > waiting && len(r.runsOf(id)) == 0 {
					overdue++
				}
			}
			if overdue > 0 {
				r.note("client: GET /bookings/ at %s: %d %s; accepted over %v before and not begun: %d", entry.name, code, answer, waiting, overdue)
			}
			if 2**a.Pending < overdue {
				for id := range accepted {
					r.request(http.MethodGet, "/bookings/"+id, "")
				}
				r.broken("MIXED: %s gives %d jobs as pending, while %d that were accepted over %v before have not begun", entry.name, *a.Pending, overdue, waiting)
			}
		}
	}
	begun := 0
	for id := range accepted {
		if len(r.runsOf(id)) > 0 {
			begun++
		}
	}
	r.held("no count of pending jobs left out half of those that had waited for %v; %d of %d jobs have begun", waiting, begun, jobs)
}

// cut cuts an executor off for a time. Its runs go on.
func (r *rig) cut(worker string, duration time.Duration) {
	for _, e := range r.executors {
		if e.id != worker {
			continue
		}
		e.proxy.setBlocked(true)
		r.note("executor %s, 1 of %d, is cut off for %v", worker, len(r.executors), duration)
		time.AfterFunc(duration, func() {
			e.proxy.setBlocked(false)
			r.note("executor %s is connected again", worker)
		})
	}
}
