package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// openService sends the configuration, starts executors and waits until all are known and
// the entries are ready.
func (r *rig) openService(count int) error {
	if err := r.configure(); err != nil {
		return err
	}
	var callers sync.WaitGroup
	failed := make(chan error, count)
	for number := range count {
		e, err := r.openExecutor(fmt.Sprintf("i-%d", number+1), fmt.Sprintf("m-%d", number+1), "")
		if err != nil {
			return err
		}
		callers.Go(func() {
			if err := e.startBeats(number); err != nil {
				failed <- err
			}
		})
	}
	callers.Wait()
	select {
	case err := <-failed:
		return err
	default:
	}
	return r.ready()
}

// startBeats registers an executor and has it report from then on.
func (e *executor) startBeats(first int) error {
	e.caller, e.stopBeats, e.beatsDone = e.rig.newCaller(e.id, first), make(chan struct{}), make(chan struct{})
	if !e.beat(e.caller) {
		return errors.New(e.id + " could not register")
	}
	go func() {
		select {
		case <-e.stopBeats:
			close(e.beatsDone)
		case <-time.After(heartbeatInterval):
			e.beats(e.caller, e.stopBeats, e.beatsDone)
		}
	}()
	return nil
}
