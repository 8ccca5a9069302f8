package main

import (
	"errors"
	"fmt"
	"strconv"
	"time"
)

// Load of the case: the small tasks of one job, which fill most of one executor and end
// within a second. Without trouble, each list names far fewer ends than it may hold.
const (
	endsTasks   = 1100
	endsCPU     = 55 // thousandths of a core, so that all tasks fit on one executor
	endsShort   = 600 * time.Millisecond
	endsLong    = 1300 * time.Millisecond
	endsLimit   = 40 * time.Second
	endsSettled = time.Second // after the last job is completed, for late starts
	// endsLaterJobs is the number of small jobs, one after the other, after the large one.
	endsLaterJobs = 3
)

func init() { cases["ends"] = playEnds }

// playEnds has an executor end more than 500 runs while no leader asks it for its list,
// because the leader is killed.
func playEnds(r *rig) error {
	if err := r.openService(2); err != nil {
		return err
	}
	for _, e := range r.executors {
		e.duration = func(task string) time.Duration {
			number, _ := strconv.Atoi(index(task))
			return endsShort + (endsLong-endsShort)*time.Duration(number)/endsTasks
		}
	}
	leader := r.leader()
	if leader == nil {
		return errors.New("no leader was found")
	}
	const id = "00000000000000e1"
	if err := r.submit(id, step{Count: endsTasks, CPU: endsCPU, MemMB: 64, EstimatedMs: 950}); err != nil {
		return err
	}
	if err := eventually("all tasks have started", endsLimit, func() bool { return r.record.starts() >= endsTasks }); err != nil {
		return err
	}
	if r.trouble {
		leader.killAndRestart()
	}
	if err := r.waitCompleted(id, endsLimit); err != nil {
		return err
	}
	// The day goes on: further jobs make the executors list their ends to the end.
	for number := range endsLaterJobs {
		later := fmt.Sprintf("00000000000000e%d", 2+number)
		if err := r.submit(later, step{Count: 1, CPU: endsCPU, MemMB: 64, EstimatedMs: 950}); err != nil {
			return err
		}
		if err := r.waitCompleted(later, endsLimit); err != nil {
			return err
		}
	}
	time.Sleep(endsSettled)
	return nil
}
