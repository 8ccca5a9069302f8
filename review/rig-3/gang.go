package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const rackSize = 4

// gangInOneRack plays the loss of one of 12 executors for good, and after it a job with a gang
// whose tasks work best in one rack and run on an executor each. Rule LOST.
func gangInOneRack(w *world) (verdict, error) {
	const executors = 3 * rackSize
	if err := w.startAll(5, 2); err != nil {
		return verdict{}, err
	}
	if err := w.configure(pool); err != nil {
		return verdict{}, err
	}
	w.rackSize = rackSize
	if err := w.addWorkers(executors, func(string) time.Duration { return time.Second }); err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second)
	idle := executors
	if w.trouble {
		w.loseForGood(w.workers[1])
		idle--
	}
	time.Sleep(10 * time.Second) // longer than contact-timeout-ms and the leases
	path := prefix + newID()
	if err := w.submit(path, `{"spec":"x","steps":[{"count":4,"cpu":4000,"mem-mb":1024,"estimated-ms":1000,"gang":true,"rack-local":true,"anti-affinity":1}]}`); err != nil {
		return verdict{}, err
	}
	w.note("the traffic ends")
	began := time.Now()
	state := ""
	waitFor(3*finish, func() bool {
		time.Sleep(time.Second)
		code, body := w.ask(0, http.MethodGet, path, "")
		state = fmt.Sprint(code, " ", body)
		return strings.Contains(body, "completed")
	})
	starts := 0
	for _, list := range w.history() {
		starts += len(list)
	}
	if starts == 0 {
		return verdict{true, fmt.Sprintf("LOST: %.0f s after it was accepted no task of the gang has begun (%s), with %d idle executors, among them two whole racks", time.Since(began).Seconds(), state, idle)}, nil
	}
	return verdict{false, fmt.Sprintf("%d tasks of the gang began; its job: %s", starts, state)}, nil
}

// loseForGood ends an executor for good. Its machine is no longer listed as up.
func (w *world) loseForGood(x *worker) {
	x.mu.Lock()
	e := x.lives[len(x.lives)-1]
	x.down = true
	x.mu.Unlock()
	e.Close()
	w.machines.set(x.machine, x.pool, "down", "", x.labels)
	w.note("executor %s on %s, rack %s, is lost for good", x.id, x.machine, x.labels[1])
}
