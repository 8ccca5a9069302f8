package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	finish  = 14 * time.Second // finish_s
	nothing = 3 * time.Second  // for which a job may have nothing running
)

// reportOfAnotherWriter plays a writer that sends one status report under the id of an executor
// in use, with a service that no configuration names. Rule LOST.
func reportOfAnotherWriter(w *world) (verdict, error) {
	if err := w.bringUp(4, func(string) time.Duration { return 5 * time.Second }); err != nil {
		return verdict{}, err
	}
	path := prefix + newID()
	if err := w.submit(path, `{"spec":"x","steps":[{"count":2,"cpu":16000,"mem-mb":1024,"estimated-ms":5000},{"count":2,"cpu":16000,"mem-mb":1024,"estimated-ms":5000,"after":[0]}]}`); err != nil {
		return verdict{}, err
	}
	var host *worker
	if !waitFor(10*time.Second, func() bool {
		for _, x := range w.workers {
			if len(x.running()) == 2 {
				host = x
			}
		}
		return host != nil
	}) {
		return verdict{}, fmt.Errorf("the tasks did not begin on one executor")
	}
	time.Sleep(time.Second)
	if w.trouble {
		w.reportForeign(host)
	}
	trafficEnd := time.Now()
	completed := func() bool {
		code, body := w.ask(1, http.MethodGet, path, "")
		return code == http.StatusOK && strings.Contains(body, "completed")
	}
	idleSince, longest := time.Time{}, time.Duration(0)
	for time.Since(trafficEnd) < finish+30*time.Second {
		running := 0
		for _, x := range w.workers {
			running += len(x.running())
		}
		switch {
		case running > 0:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		default:
			longest = max(longest, time.Since(idleSince))
		}
		time.Sleep(50 * time.Millisecond)
		if time.Since(trafficEnd) > 10*time.Second && time.Since(trafficEnd)%time.Second < 60*time.Millisecond && completed() {
			break
		}
	}
	done := completed()
	w.history()
	if !done && longest > nothing && time.Since(trafficEnd) > finish {
		return verdict{true, fmt.Sprintf("LOST: %.0f s after the end of the traffic the accepted job is not completed and nothing of it has run for %.1f s, with 4 idle executors", time.Since(trafficEnd).Seconds(), longest.Seconds())}, nil
	}
	return verdict{false, fmt.Sprintf("the job is completed: %t; nothing of it ran for %.1f s at most", done, longest.Seconds())}, nil
}

// reportForeign sends one status report of another writer, under the id and with the address of
// an executor, with a service that no configuration names. The writer started just now.
func (w *world) reportForeign(x *worker) {
	born := time.Now().UnixMilli()
	body := fmt.Sprintf(`{"service":"host-agent","address":%q,"zone":"bayangol","version":"v1","slots":1,"state":"ready","cold-remaining-ms":0,"capacity":{"cpu":1000,"mem-mb":1024,"gpu":0},"labels":[],"clock-ms":1,"sequence":1,"born":%d}`,
		x.life().Address, born)
	code, answer := w.call(http.MethodPut, w.control(w.controls[0]), "", "/executors/"+x.id, body)
	w.note("another writer: PUT /executors/%s %s: %d %s", x.id, body, code, answer)
}
