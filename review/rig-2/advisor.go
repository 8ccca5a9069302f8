package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// advised holds the machines whose executors an advisor allows; there is none if it is empty.
var advised []string

// openAdvisor starts the service that says which executors may run a step.
func (r *rig) openAdvisor() {
	if len(advised) == 0 {
		return
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannotRun("%v", err)
	}
	r.advisor = l.Addr().String()
	var turn sync.Mutex
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", func(w http.ResponseWriter, req *http.Request) {
		var b struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		_ = json.NewDecoder(req.Body).Decode(&b)
		turn.Lock()
		defer turn.Unlock()
		time.Sleep(50*time.Millisecond + time.Duration(len(b.Workers))*2*time.Millisecond)
		rows := [][]string{}
		r.mu.Lock()
		for _, e := range r.executors {
			for _, m := range advised {
				for _, id := range b.Workers {
					if e.id == id && e.machine.name == m {
						rows = append(rows, []string{id, "ticket-" + b.Step + "-" + id})
					}
				}
			}
		}
		r.mu.Unlock()
		r.note("advisor: %s %v -> %v", b.Step, b.Workers, rows)
		_ = json.NewEncoder(w).Encode(map[string]any{"allowed": rows})
	})
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Second}).Serve(l) }()
}

// advisorCase: an executor that the advisor allows crashes and starts again. The lasting task
// that ran there must go on within the times of the rule LOST.
func advisorCase(record string) {
	const (
		down  = 4500 * time.Millisecond
		watch = 40 * time.Second
	)
	advised = []string{"m-01", "m-02"}
	r := open(record, 3, 2, map[string]int{"p-one": 10}, func(string) time.Duration { return -1 })
	r.configure(route("filler", "p-one", ""), route("lasting", "p-one", `,"advisor":{"decision-ms":50,"per-worker-ms":2,"validity-ms":30000}`))
	filler, _ := r.submit("filler", `{"count":1,"cpu":60000,"mem-mb":4000,"estimated-ms":700,"long-running":true}`)
	r.eventually("the first executor in use", 20*time.Second, func() bool { return len(r.runningOf(filler)) == 1 })
	id, _ := r.submit("lasting", `{"count":1,"cpu":10000,"mem-mb":4000,"estimated-ms":700,"long-running":true}`)
	r.eventually("the lasting task at work", 20*time.Second, func() bool { return len(r.runningOf(id)) == 1 })
	time.Sleep(2 * time.Second)
	if !r.trouble {
		time.Sleep(watch)
		r.held("the lasting task has had %d run", len(r.runsOf(id)))
	}
	worker := r.runsOf(id)[0].worker
	for _, m := range r.platform.machines {
		if m.id == worker {
			r.platform.lose(m)
			time.AfterFunc(down, func() { r.platform.bringUp(m) })
		}
	}
	began := time.Now()
	for time.Since(began) < watch {
		time.Sleep(50 * time.Millisecond)
		if len(r.runsOf(id)) > 1 {
			r.held("the lasting task has run again after %v", time.Since(began).Round(time.Millisecond))
		}
		if time.Since(began) > down+calmBefore+lostIdle+time.Second {
			r.broken("LOST: the lasting task has had no run for %v; its machine has been back for %v with no task on it", time.Since(began).Round(time.Millisecond), (time.Since(began) - down).Round(time.Millisecond))
		}
	}
	r.held("the lasting task has run again")
}
