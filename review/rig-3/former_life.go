package main

import (
	"fmt"
	"time"
)

// formerLife plays the crash of an executor that is back under its id some seconds later, and
// a job that is handed in right after the crash. Rule TWICE.
func formerLife(w *world) (verdict, error) {
	const (
		work      = 12 * time.Second
		down      = 4500 * time.Millisecond
		executors = 8 // of which one crashes: a share of 0.125
	)
	w.fronts = true
	if err := w.bringUp(executors, func(string) time.Duration { return work }); err != nil {
		return verdict{}, err
	}
	// A job of one task makes its executor the fullest one, which gets the next task.
	first := prefix + newID()
	if err := w.submit(first, `{"spec":"x","steps":[{"count":1,"cpu":8000,"mem-mb":1024,"estimated-ms":12000}]}`); err != nil {
		return verdict{}, err
	}
	var host *worker
	if !waitFor(5*time.Second, func() bool {
		for _, x := range w.workers {
			if len(x.running()) == 1 {
				host = x
			}
		}
		return host != nil
	}) {
		return verdict{}, fmt.Errorf("the first task did not begin")
	}
	time.Sleep(2 * time.Second)
	// The crash comes right after a list of machines was read, so that the next one, 0.9 s later,
	// is the first to show it.
	before := w.machines.reads()
	if !waitFor(5*time.Second, func() bool { return w.machines.reads() > before }) {
		return verdict{}, fmt.Errorf("the list of machines was not read")
	}
	if w.trouble {
		w.crash(host)
	}
	second := newID()
	if err := w.submit(prefix+second, `{"spec":"x","steps":[{"count":2,"cpu":8000,"mem-mb":1024,"estimated-ms":12000}]}`); err != nil {
		return verdict{}, err
	}
	time.Sleep(down)
	if w.trouble {
		if err := host.begin(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(10 * time.Second)
	return w.judgeTwice(), nil
}

// crash ends an executor's process with its runs. Its machine is down until it is back.
func (w *world) crash(x *worker) {
	x.mu.Lock()
	e := x.lives[len(x.lives)-1]
	x.down = true
	x.mu.Unlock()
	x.front.setTarget("")
	e.Close()
	w.machines.set(x.machine, x.pool, "down", "", x.labels)
	w.note("executor %s on %s has crashed with its runs", x.id, x.machine)
}
