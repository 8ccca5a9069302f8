package main

import (
	"net/http"
	"time"
)

// silentCase: an executor is cut off for a second while a job is to start on it. When it is
// reachable again and reports itself as ready, it must get work.
func silentCase(record string) {
	const (
		cutTime  = time.Second
		jobAfter = 200 * time.Millisecond // the begin of the cut
		watch    = 20 * time.Second       // after the cut; more than finish_s
		// minReports is the least number of confirmed reports within watch.
		minReports = 10
	)
	r := open(record, 3, 2, map[string]int{"p-one": 8}, func(string) time.Duration { return 400 * time.Millisecond }, "b", "m-08")
	r.configure(route("bookings", "p-one", ""))
	time.Sleep(5 * time.Second)
	var cut *executor
	for _, e := range r.executors {
		if e.machine.kind == "b" {
			cut = e
		}
	}
	if r.trouble {
		cut.proxy.setRefused(true)
		r.note("executor %s, 1 of 8, is cut off for %v (connections are reset)", cut.id, cutTime)
		time.AfterFunc(cutTime, func() {
			cut.proxy.setRefused(false)
			r.note("executor %s is connected again; %d reports of it were confirmed", cut.id, cut.confirmedReports())
		})
	}
	began := time.Now()
	before := cut.confirmedReports()
	time.Sleep(jobAfter)
	job, accepted := r.submit("bookings", `{"count":1,"cpu":1000,"mem-mb":1000,"estimated-ms":400,"requirements":"b"}`)
	for time.Since(began) < cutTime+watch {
		time.Sleep(50 * time.Millisecond)
		if len(r.runsOf(job)) > 0 {
			r.held("the job began %v after it was accepted", time.Since(accepted).Round(time.Millisecond))
		}
	}
	r.request(http.MethodGet, "/bookings/"+job, "")
	reports := cut.confirmedReports() - before
	if reports < minReports {
		r.cannotRun("only %d reports of the executor were confirmed", reports)
	}
	r.broken("LOST: job %s has had nothing running for %v since it was accepted; the executor %s that it needs has been connected for %v, is idle, and %d reports of it were confirmed",
		job, time.Since(accepted).Round(time.Millisecond), cut.id, watch, reports)
}

// confirmedReports returns how many status reports of the executor were confirmed.
func (e *executor) confirmedReports() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirmed
}
