package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// Times of the case.
const (
	ticketValidity = 60 * time.Second
	decisionTime   = 20 * time.Millisecond
	ticketTaskTime = 3 * time.Second
	ticketRuns     = time.Second            // before the executor crashes
	ticketDown     = 300 * time.Millisecond // of the executor that crashes
	finishTime     = 14 * time.Second       // finish_s of the bounds, from the end of the traffic
	lostAfter      = 3 * time.Second        // for which a job has nothing running
	ticketLimit    = 60 * time.Second
)

func init() { cases["ticket"] = playTicket }

// playTicket has the only executor on which a policy allows a step crash and start again
// under its id.
func playTicket(r *rig) error {
	r.allowed = "i-1"
	if err := r.openService(2); err != nil {
		return err
	}
	old := r.executors[0]
	for _, e := range r.executors {
		e.duration = func(string) time.Duration { return ticketTaskTime }
	}
	const id = "00000000000000a1"
	const tasks = 4
	if err := r.submit(id, step{Count: tasks, CPU: 3500, MemMB: 10000, EstimatedMs: ticketTaskTime.Milliseconds()}); err != nil {
		return err
	}
	trafficEnd := time.Now()
	if err := eventually("all tasks have started", startLimit, func() bool { return r.record.starts() >= tasks }); err != nil {
		return err
	}
	time.Sleep(ticketRuns)
	if r.trouble {
		close(old.stopBeats)
		<-old.beatsDone
		old.end("it has crashed")
		time.Sleep(ticketDown)
		e, err := r.openExecutor(old.id, old.machine, old.address)
		if err != nil {
			return err
		}
		e.duration = old.duration
		if err := e.startBeats(0); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(trafficEnd.Add(finishTime)))
	r.checkLost(id)
	return r.waitCompleted(id, ticketLimit)
}

// checkLost checks the rule LOST for a job after the end of the traffic: whether it has
// nothing running for lostAfter. All executors are free then.
func (r *rig) checkLost(id string) {
	status, answer, err := r.clientCall(0, http.MethodGet, id, nil)
	r.record.add("client: GET %s%s: status %d %s, error %v", queuePrefix, id, status, answer, err)
	if strings.Contains(answer, `"completed"`) {
		return
	}
	for end := time.Now().Add(lostAfter); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, e := range r.executors {
			if e.runs() > 0 {
				return
			}
		}
	}
	r.broken = append(r.broken, fmt.Sprintf("LOST: job %s has had nothing running for %s, %s after the end of the traffic, and all executors are free", id, lostAfter, finishTime))
}

func (e *executor) runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// openAdvisor starts the service that allows steps only on some executors: on the one that
// the case names.
func (r *rig) openAdvisor() error {
	listener, err := net.Listen("tcp", net.JoinHostPort(r.ip(platformHost, 1), "0"))
	if err != nil {
		return err
	}
	r.advisor = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", func(w http.ResponseWriter, req *http.Request) {
		var body struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(decisionTime)
		rows := [][]string{}
		for _, name := range body.Workers {
			if name == r.allowed {
				rows = append(rows, []string{name, r.issueTicket(body.Step, name)})
			}
		}
		r.record.add("advisor: step %s, workers %v, allowed %v", body.Step, body.Workers, rows)
		_ = json.NewEncoder(w).Encode(map[string]any{"allowed": rows})
	})
	go func() { _ = http.Serve(listener, mux) }()
	return nil
}

// issueTicket returns a ticket for a step on the present life of an executor.
func (r *rig) issueTicket(step, name string) string {
	r.ticketMu.Lock()
	defer r.ticketMu.Unlock()
	for i := len(r.executors) - 1; i >= 0; i-- {
		if e := r.executors[i]; e.id == name && !e.hasEnded() {
			ticket := fmt.Sprintf("%s-%s-%d-%d", step, name, e.born, len(r.tickets))
			r.tickets[ticket] = time.Now().Add(ticketValidity)
			return ticket
		}
	}
	return ""
}

// ticketValid reports whether a ticket is for this life of the executor and the step of a
// task, and has not expired.
func (e *executor) ticketValid(task, ticket string) bool {
	e.rig.ticketMu.Lock()
	defer e.rig.ticketMu.Unlock()
	step := task[:strings.LastIndexByte(task, '.')]
	return strings.HasPrefix(ticket, fmt.Sprintf("%s-%s-%d-", step, e.id, e.born)) && time.Now().Before(e.rig.tickets[ticket])
}
