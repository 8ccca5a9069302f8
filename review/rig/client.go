package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// clientTimeout is the time limit of a client's request.
const clientTimeout = 3 * time.Second

// drainTimeout is how long an executor serves on after its draining was confirmed.
const drainTimeout = 2 * time.Second

// configure sends the configuration until it is acknowledged.
func (r *rig) configure() error {
	route := map[string]any{"name": "r-1", "host": queueHost, "path-prefix": queuePrefix, "kind": "non_idempotent", "timeout-ms": 3000,
		"target-latency-ms": 600, "priority": 0, "service": serviceName, "max-attempts": 3, "stretch-factor": 1.6}
	if r.allowed != "" {
		route["advisor"] = map[string]any{"decision-ms": decisionTime.Milliseconds(), "per-worker-ms": 1, "validity-ms": ticketValidity.Milliseconds()}
	}
	body, err := json.Marshal(map[string]any{"version": 1, "routes": []map[string]any{route},
		"services": []map[string]any{{"name": serviceName, "health-path": "/health", "max-connections": 64, "protocol": "h1", "tls": false,
			"admission-check": false, "standby": false}},
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
	if err != nil {
		return err
	}
	operator := r.newCaller("operator", 0)
	return eventually("the configuration is acknowledged", startLimit, func() bool {
		status, _, err := operator.call(http.MethodPut, "/configuration", body)
		return err == nil && status == http.StatusOK
	})
}

// ready waits until all entries say that they are ready.
func (r *rig) ready() error {
	for _, p := range r.entries {
		err := eventually(p.name()+" is ready", startLimit, func() bool {
			status, _, err := r.send(http.MethodGet, "http://"+p.listen(portReadiness)+"/readiness", nil, callTimeout, 0)
			return err == nil && status == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// step is a step of a job, with the fields that the cases use.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMB       int   `json:"mem-mb"`
	EstimatedMs int64 `json:"estimated-ms"`
	LongRunning bool  `json:"long-running,omitempty"`
	PerWorker   int   `json:"anti-affinity,omitempty"`
}

// clientCall sends a client's request to an entry.
func (r *rig) clientCall(entry int, method, id string, body []byte) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	p := r.entries[entry%len(r.entries)]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.listen(portEntry)+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(answer)), err
}

// submit hands a job in. The same request is sent again, at the next entry, as long as
// it gets no clear answer.
func (r *rig) submit(id string, steps ...step) error {
	body, err := json.Marshal(map[string]any{"spec": "spec of " + id, "steps": steps})
	if err != nil {
		return err
	}
	for attempt := range 5 {
		status, answer, err := r.clientCall(attempt, http.MethodPost, id, body)
		r.record.add("client: POST %s%s: status %d %s, error %v", queuePrefix, id, status, answer, err)
		if err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// waitCompleted asks for a job's state until it is completed.
func (r *rig) waitCompleted(id string, limit time.Duration) error {
	last := ""
	err := eventually("job "+id+" is completed", limit, func() bool {
		status, answer, err := r.clientCall(0, http.MethodGet, id, nil)
		if shown := fmt.Sprintf("status %d %s, error %v", status, answer, err); shown != last {
			last = shown
			r.record.add("client: GET %s%s: %s", queuePrefix, id, shown)
		}
		return status == http.StatusOK && strings.Contains(answer, `"completed"`)
	})
	if err != nil {
		return fmt.Errorf("%w; the last answer: %s", err, last)
	}
	return nil
}
