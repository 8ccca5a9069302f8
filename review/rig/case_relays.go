package main

import (
	"fmt"
	"net/http"
	"time"
)

// Sizes and times of the case.
const (
	relaysExecutors = 150 // from 128 on the leader's orders go through the other control processes
	relaysTasks     = 130
	foreignWriters  = 3
	foreignTime     = 15 * time.Second // for which their status reports come
)

// foreignPath names an executor by bytes that can't be read: they are not valid UTF-8.
const foreignPath = "/executors/%ff%fe"

func init() { cases["relays"] = playRelays }

// playRelays has status reports of a few other writers come, as often as those of
// executors, while tasks that last run on a fleet of executors.
func playRelays(r *rig) error {
	if err := r.openService(relaysExecutors); err != nil {
		return err
	}
	for _, e := range r.executors {
		e.duration = func(string) time.Duration { return time.Hour }
	}
	const id = "00000000000000c1"
	if err := r.submit(id, step{Count: relaysTasks, CPU: 40000, MemMB: 10000, EstimatedMs: 900, LongRunning: true, PerWorker: 1}); err != nil {
		return err
	}
	if err := eventually("all tasks have started", startLimit, func() bool { return r.record.starts() >= relaysTasks }); err != nil {
		return err
	}
	time.Sleep(2 * heartbeatInterval)
	end := time.Now().Add(foreignTime)
	for number := range foreignWriters {
		if r.trouble {
			go r.writeForeign(number, end)
			time.Sleep(heartbeatInterval / foreignWriters)
		}
	}
	time.Sleep(time.Until(end))
	time.Sleep(2 * heartbeatInterval)
	return nil
}

// writeForeign sends status reports of another writer until a time: one each heartbeat
// interval, to the next node after a failure, with a backoff.
func (r *rig) writeForeign(number int, end time.Time) {
	path := fmt.Sprintf("%s%d", foreignPath, number)
	body := []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"state":"ready","sequence":1,"capacity":{"cpu":1000,"mem-mb":1000,"gpu":0}}`,
		serviceName, r.ip(platformHost, 9)+":9", zoneName))
	for time.Now().Before(end) {
		next := time.Now().Add(heartbeatInterval)
		backoff := firstBackoff
		for _, p := range r.controls {
			status, answer, err := r.send(http.MethodPut, "http://"+p.controlPlane()+path, body, callTimeout, redirects)
			r.record.add("another writer: PUT %s at %s: status %d %s, error %v", path, p.name(), status, answer, err)
			if err == nil && status < http.StatusInternalServerError {
				break
			}
			time.Sleep(backoff)
			backoff *= 2
		}
		time.Sleep(time.Until(next))
	}
}
