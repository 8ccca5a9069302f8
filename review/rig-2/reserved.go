package main

import (
	"net/http"
	"time"
)

// reservedCase: an executor is lost for good just after it has begun a large task, which then
// fits on no other executor of the kind that it needs. Small jobs that need the same kind
// must go on where there is room for them.
func reservedCase(record string) {
	const (
		crashAfter = 300 * time.Millisecond // the start of the large task
		settle     = 12 * time.Second       // after the loss, before the small job is handed in
		idle       = 3 * time.Second
		watch      = 25 * time.Second
	)
	lasting, large := "", ""
	r := open(record, 3, 2, map[string]int{"p-one": 8}, func(task string) time.Duration {
		switch jobOf(task) {
		case lasting:
			return -1
		case large:
			return time.Minute
		}
		return 400 * time.Millisecond
	}, "b", "m-07", "m-08")
	r.configure(route("bookings", "p-one", ""), route("badges", "p-one", ""))
	lasting, _ = r.submit("badges", `{"count":1,"cpu":20000,"mem-mb":4000,"estimated-ms":700,"long-running":true,"requirements":"b"}`)
	r.eventually("the lasting task at work", 20*time.Second, func() bool { return len(r.runningOf(lasting)) == 1 })
	time.Sleep(2 * time.Second)
	large, _ = r.submit("bookings", `{"count":1,"cpu":50000,"mem-mb":4000,"estimated-ms":60000,"requirements":"b"}`)
	r.eventually("the large task at work", 20*time.Second, func() bool { return len(r.runningOf(large)) == 1 })
	if r.trouble {
		time.Sleep(crashAfter)
		worker := r.runsOf(large)[0].worker
		for _, m := range r.platform.machines {
			if m.id == worker {
				r.platform.lose(m)
			}
		}
	}
	time.Sleep(settle)
	small, accepted := r.submit("bookings", `{"count":1,"cpu":1000,"mem-mb":1000,"estimated-ms":400,"requirements":"b"}`)
	for time.Since(accepted) < watch {
		if len(r.runsOf(small)) > 0 {
			r.held("the small job began %v after it was accepted", time.Since(accepted).Round(time.Millisecond))
		}
		if time.Since(accepted) > idle+settle {
			r.request(http.MethodGet, "/bookings/"+small, "")
			r.broken("LOST: the small job %s has had nothing running for %v since it was accepted; the executor at %v that it may use has 20 of 64 cores in use, and the service 20 of 448",
				small, time.Since(accepted).Round(time.Millisecond), r.runningOf(lasting))
		}
		time.Sleep(50 * time.Millisecond)
	}
}
