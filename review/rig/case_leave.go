package main

import (
	"errors"
	"time"
)

// Load of the case: a few long tasks. The longest of the users' short jobs take 5.8 s.
const (
	leaveTasks    = 4
	leaveTaskTime = 5500 * time.Millisecond
	leaveLimit    = 40 * time.Second
	leaveSettled  = time.Second
	servesOn      = 200 * time.Millisecond // beyond drainTimeout
)

func init() { cases["leave"] = playLeave }

// playLeave has an executor leave while tasks run on it. The answer to its DELETE is lost,
// so that it serves on until a second DELETE is confirmed.
func playLeave(r *rig) error {
	if err := r.openService(2); err != nil {
		return err
	}
	for _, e := range r.executors {
		e.duration = func(string) time.Duration { return leaveTaskTime }
	}
	const id = "00000000000000e2"
	if err := r.submit(id, step{Count: leaveTasks, CPU: 3500, MemMB: 10000, EstimatedMs: leaveTaskTime.Milliseconds()}); err != nil {
		return err
	}
	if err := eventually("all tasks have started", leaveTaskTime, func() bool { return r.record.starts() >= leaveTasks }); err != nil {
		return err
	}
	e := r.record.runs[0].executor
	close(e.stopBeats)
	<-e.beatsDone
	e.drain()
	if !e.beat(e.caller) {
		return errors.New("the draining was not confirmed")
	}
	r.record.add("%s is draining, which is confirmed", e.id)
	time.Sleep(drainTimeout + servesOn)
	if r.trouble {
		leader := r.leader()
		if leader == nil {
			return errors.New("no leader was found")
		}
		r.proxies[leader.controlPlane()].loseAnswers("DELETE", 1)
	}
	e.leave(e.caller)
	r.machines.set(e.machine, "")
	if err := r.waitCompleted(id, leaveLimit); err != nil {
		return err
	}
	time.Sleep(leaveSettled)
	return nil
}

func (e *executor) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}
