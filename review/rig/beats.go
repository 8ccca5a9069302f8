package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Timings of a caller of the control plane.
const (
	heartbeatInterval = 1500 * time.Millisecond
	callTimeout       = time.Second            // without a response, after which the next node is called
	firstBackoff      = 250 * time.Millisecond // before the next node is called; it doubles
	redirects         = 2
	maxCalls          = 8 // of one order before its caller gives up
)

// controlCaller calls the control plane as the pages say: it picks a node from a list,
// follows two redirects, and moves on to the next node after a failure, with a backoff.
type controlCaller struct {
	rig    *rig
	name   string
	nodes  []string
	next   int
	direct string // heartbeat-address, until a call fails there
}

func (r *rig) newCaller(name string, first int) *controlCaller {
	c := &controlCaller{rig: r, name: name, next: first}
	for _, p := range r.controls {
		c.nodes = append(c.nodes, p.controlPlane())
	}
	return c
}

// call sends one order until it gets a clear response, at most maxCalls times.
func (c *controlCaller) call(method, path string, body []byte) (int, []byte, error) {
	backoff := firstBackoff
	for range maxCalls {
		node := c.direct
		if node == "" {
			node = c.nodes[c.next%len(c.nodes)]
		}
		status, answer, err := c.rig.send(method, "http://"+node+path, body, callTimeout, redirects)
		if err == nil && status < http.StatusInternalServerError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			if status != http.StatusOK || !strings.HasPrefix(path, "/executors/") || method == http.MethodDelete {
				c.rig.record.add("%s: %s %s at %s: status %d", c.name, method, path, node, status)
			}
			return status, answer, nil
		}
		c.rig.record.add("%s: %s %s at %s: status %d, error %v; the next node is called in %s", c.name, method, path, node, status, err, backoff)
		c.direct = ""
		c.next++
		time.Sleep(backoff)
		backoff *= 2
	}
	return 0, nil, errors.New("no clear response")
}

var errRedirect = errors.New("redirect")

// send sends one request and follows redirects. Connections go through the proxies of
// the control plane.
func (r *rig) send(method, url string, body []byte, timeout time.Duration, follow int) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		if p := r.proxies[address]; p != nil {
			address = p.address()
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	client := &http.Client{Transport: transport, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > follow {
			return errRedirect
		}
		return nil
	}}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// report is the body of a status report.
func (e *executor) report() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{"service": serviceName, "address": e.address, "zone": zoneName, "version": "v1", "slots": 8, "state": state,
		"cold-remaining-ms": 0, "capacity": map[string]any{"cpu": 64000, "mem-mb": 262144, "gpu": 0}, "labels": []string{"a", "r1-1"},
		"clock-ms": e.clock(), "sequence": e.sequence, "born": e.born})
	if err != nil {
		panic(err)
	}
	return data
}

// beat sends one status report and reports whether it was confirmed.
func (e *executor) beat(c *controlCaller) bool {
	status, answer, err := c.call(http.MethodPut, "/executors/"+e.id, e.report())
	if err != nil || status != http.StatusOK {
		e.rig.record.add("%s: status report not confirmed: status %d, error %v", e.id, status, err)
		return false
	}
	var body struct {
		Address string `json:"heartbeat-address"`
	}
	if json.Unmarshal(answer, &body) == nil && body.Address != "" {
		c.direct = body.Address
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beatAt = time.Now()
	return true
}

// beats sends status reports until the process ends or leaves.
func (e *executor) beats(c *controlCaller, stop <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	for {
		if e.hasEnded() {
			return
		}
		e.beat(c)
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// leave announces that the executor ends, and ends it once that is confirmed, or some
// seconds later.
func (e *executor) leave(c *controlCaller) {
	const endsAnyway = 4 * time.Second
	e.rig.record.add("%s sends DELETE /executors/%s", e.id, e.id)
	confirmed := make(chan string, 1)
	go func() {
		status, _, err := c.call(http.MethodDelete, "/executors/"+e.id, nil)
		confirmed <- fmt.Sprintf("its DELETE got status %d, error %v", status, err)
	}()
	select {
	case answer := <-confirmed:
		e.end(answer)
	case <-time.After(endsAnyway):
		e.end("its DELETE was not confirmed in time")
	}
}
