package main

import (
	"errors"
	"syscall"
	"time"
)

// Times of the case.
const (
	rebornTaskTime = 3 * time.Second
	downTime       = 300 * time.Millisecond // of the executor that crashes
	freezeTime     = 4 * time.Second        // of the control machine
	rebornLimit    = 30 * time.Second
	rebornSettled  = time.Second
)

func init() { cases["reborn"] = playReborn }

// playReborn has an idle executor crash and start again under its id while a control
// machine is frozen. The executor calls that machine first with its new life's first
// status report, and the next one a second later. A job comes in between.
func playReborn(r *rig) error {
	if err := r.openService(2); err != nil {
		return err
	}
	old := r.executors[0]
	leader := r.leader()
	if leader == nil {
		return errors.New("no leader was found")
	}
	follower := (leader.number + 1) % controlCount
	close(old.stopBeats)
	<-old.beatsDone
	if !old.beat(old.caller) {
		return errors.New("the status report before the crash was not confirmed")
	}
	if r.trouble {
		if err := r.freeze(r.controls[follower], freezeTime); err != nil {
			return err
		}
		old.end("it has crashed")
		time.Sleep(downTime)
		e, err := r.openExecutor(old.id, old.machine, old.address)
		if err != nil {
			return err
		}
		e.caller, e.stopBeats, e.beatsDone = r.newCaller(e.id, follower), make(chan struct{}), make(chan struct{})
		go e.beats(e.caller, e.stopBeats, e.beatsDone)
	}
	for _, e := range r.executors {
		e.duration = func(string) time.Duration { return rebornTaskTime }
	}
	const id = "00000000000000b1"
	if err := r.submit(id, step{Count: 4, CPU: 3500, MemMB: 10000, EstimatedMs: rebornTaskTime.Milliseconds()}); err != nil {
		return err
	}
	if err := r.waitCompleted(id, rebornLimit); err != nil {
		return err
	}
	time.Sleep(rebornSettled)
	return nil
}

// freeze stops a process and continues it after a time.
func (r *rig) freeze(p *process, d time.Duration) error {
	r.record.add("%s is frozen for %s", p.name(), d)
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.AfterFunc(d, func() {
		r.record.add("%s wakes, error %v", p.name(), p.signal(syscall.SIGCONT))
	})
	return nil
}
