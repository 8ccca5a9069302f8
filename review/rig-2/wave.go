package main

import (
	"fmt"
	"net/http"
	"time"
)

// Times of the rule LOST for tasks that last.
const (
	lostAfterEnd = 6 * time.Second // from the end of a task's last run
	lostIdle     = 3 * time.Second // without a run
	calmBefore   = 4 * time.Second
	waveTime     = 26 * time.Second
	finishTime   = 14 * time.Second // finish_s, after the wave's duration
	smallAfter   = 10 * time.Second // after the wave, a small job is handed in
)

// waveCase: a wave over the two machines of a small pool, one at a time, while each of them
// runs more tasks of a lasting step than may be away at once. No task may stay without a run.
func waveCase(record string) {
	const tasks = 8
	batch := ""
	r := open(record, 3, 2, map[string]int{"p-one": 2, "p-two": 2}, func(task string) time.Duration {
		if jobOf(task) == batch {
			return 6 * time.Second
		}
		return -1
	})
	r.configure(route("lasting", "p-one", ""), route("batch", "p-one", ""), route("other", "p-two", ""))
	// The other pool's machines are in use as well, so that none of them can be lent.
	other, _ := r.submit("other", `{"count":2,"cpu":4000,"mem-mb":4000,"estimated-ms":700,"long-running":true,"anti-affinity":1}`)
	r.eventually("the other pool's tasks at work", 20*time.Second, func() bool { return len(r.runningOf(other)) == 2 })
	// A batch task leaves room for some of the lasting tasks on the first executor only.
	batch = newID()
	if code, _ := r.request(http.MethodPost, "/batch/"+batch, `{"spec":"batch","steps":[{"count":1,"cpu":55000,"mem-mb":4000,"estimated-ms":6000}]}`); code != http.StatusOK {
		r.cannotRun("the batch job was not accepted")
	}
	r.eventually("the batch task at work", 20*time.Second, func() bool { return len(r.runningOf(batch)) == 1 })
	id, _ := r.submit("lasting", fmt.Sprintf(`{"count":%d,"cpu":2000,"mem-mb":4000,"estimated-ms":700,"long-running":true,"max-unavailable":1}`, tasks))
	r.eventually("all tasks of the lasting job at work", 20*time.Second, func() bool { return len(r.runningOf(id)) == tasks })
	r.eventually("the end of the batch task", 20*time.Second, func() bool { return len(r.runningOf(batch)) == 0 })
	time.Sleep(calmBefore)
	r.note("tasks at work before the wave: %v", r.runningOf(id))
	if r.trouble {
		r.operate(http.MethodPost, "/wave-start", fmt.Sprintf(`{"wave":1,"machines":["m-01","m-02"],"duration-s":%v,"maximum":1}`, waveTime.Seconds()), 10*time.Second)
	}
	began := time.Now()
	time.Sleep(smallAfter)
	small, _ := r.submit("batch", `{"count":1,"cpu":1000,"mem-mb":1000,"estimated-ms":6000}`)
	time.Sleep(time.Until(began.Add(waveTime + finishTime)))
	r.note("tasks at work at the end: %v; runs of the small job: %d", r.runningOf(id), len(r.runsOf(small)))
	r.request(http.MethodGet, "/lasting/"+id, "")
	r.request(http.MethodGet, "/batch/"+small, "")
	r.checkLasting(id, tasks, small)
	r.held("each of the %d lasting tasks is at work", tasks)
}

// checkLasting checks that no lasting task has been without a run for too long while there is
// room for it.
func (r *rig) checkLasting(id string, tasks int, small string) {
	last := map[string]time.Time{}
	running := r.runningOf(id)
	for _, x := range r.runsOf(id) {
		if x.how != "" && x.to.After(last[x.task]) {
			last[x.task] = x.to
		}
	}
	for i := range tasks {
		task := fmt.Sprintf("%s.0.0.%d", id, i)
		if running[task] != "" || time.Since(last[task]) < lostAfterEnd+lostIdle {
			continue
		}
		// The pool's executors run at most tasks x 2 of 64 cores each, so there is room for
		// the task many times over, and far less than half of the capacity is in use.
		r.platform.mu.Lock()
		var up []string
		for _, m := range r.platform.machines {
			if m.pool == "p-one" && m.state == "up" {
				up = append(up, m.id)
			}
		}
		orders := len(r.platform.orders)
		r.platform.mu.Unlock()
		if len(up) < 2 {
			continue
		}
		code, answer := r.call(http.MethodGet, r.controls[0].address(portControl), "", "/wave-get/1", "", time.Second)
		r.note("wave-get/1: %d %s", code, answer)
		r.broken("LOST: task %s has had no run for %v, although the executors %v of its service are up with at most %d of %d cores in use; %d calls to the platform so far; runs of the small job: %d",
			task, time.Since(last[task]).Round(time.Millisecond), up, len(running)*2, len(up)*executorCPU/1000, orders, len(r.runsOf(small)))
	}
}
