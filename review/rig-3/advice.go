package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// adviceForABurst plays a burst of jobs of a queue with an advisor. Rule LOST.
func adviceForABurst(w *world) (verdict, error) {
	const jobs = 8
	a, err := openAdvisor(w)
	if err != nil {
		return verdict{}, err
	}
	defer func() { _ = a.server.Close() }()
	w.advisor = a
	if err := w.bringUp(8, func(string) time.Duration { return time.Second }); err != nil {
		return verdict{}, err
	}
	var submits sync.WaitGroup
	var mu sync.Mutex
	paths, failed := []string{}, error(nil)
	for range jobs {
		path := prefix + newID()
		submits.Go(func() {
			err := w.submit(path, `{"spec":"x","steps":[{"count":2,"cpu":4000,"mem-mb":1024,"estimated-ms":1000}]}`)
			mu.Lock()
			defer mu.Unlock()
			paths, failed = append(paths, path), err
		})
		if !w.trouble {
			time.Sleep(1500 * time.Millisecond) // the same jobs, one after the other
		}
	}
	submits.Wait()
	if failed != nil {
		return verdict{}, failed
	}
	w.note("the traffic ends")
	open := func() (list []string) {
		for i, path := range paths {
			if code, body := w.ask(i, http.MethodGet, path, ""); code != http.StatusOK || !strings.Contains(body, "completed") {
				list = append(list, path)
			}
		}
		return list
	}
	time.Sleep(finish)
	before := open()
	time.Sleep(2 * finish)
	after := open()
	history := w.history()
	calls := a.count()
	w.note("advisor: %d calls", calls)
	never := 0
	for _, path := range after {
		if len(history[strings.TrimPrefix(path, prefix)+".0.0.0"]) == 0 {
			never++
		}
	}
	if never > 0 {
		return verdict{true, fmt.Sprintf("LOST: of %d accepted jobs %d had not run %.0f s after the end of the traffic, and %d of them not %.0f s after it, with 8 idle executors and %d calls to the advisor",
			jobs, len(before), finish.Seconds(), never, 3*finish.Seconds(), calls)}, nil
	}
	return verdict{false, fmt.Sprintf("all %d jobs ran; the advisor answered %d calls", jobs, calls)}, nil
}
