package untrusted

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// client sends each request on a connection of its own, as a newcomer does.
var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

const (
	callersHost   = "a.example"
	configuration = `{"version":1,"routes":[{"name":"r","host":"a.example","path-prefix":"/q/","timeout-ms":3000,"target-latency-ms":600,
	"service":"pool","max-attempts":3,"stretch-factor":1.6}],"services":[{"name":"pool"}],"limits":{}}`
	smallJob      = `{"spec":"x","steps":[{"count":1,"cpu":1,"estimated-ms":150}]}`
	smallQueueJob = `{"spec":"x","steps":[{"count":1,"cpu_millis":"1","estimated_ms":"150"}]}`
	reportFormat  = `{"service":"pool","address":"127.0.0.1:9","zone":"z","state":"ready","capacity":{"cpu":1000,"mem-mb":1000},
	"labels":[],"clock-ms":1,"born":1,"sequence":%d}`
)

// number makes the names of jobs and the sequences of reports differ.
var number atomic.Uint64

// succeeds reports whether a request is answered with 200.
func (s *system) succeeds(method, address, path, body string) bool {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return false
	}
	req.Host = callersHost
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err == nil && resp.StatusCode == http.StatusOK
}

func newJobID() string { return fmt.Sprintf("%016x", number.Add(1)) }

// The ordinary requests, by the address that they are sent to.

func submit(s *system) bool {
	return s.succeeds(http.MethodPost, s.entry.address(portCallers), "/q/"+newJobID(), smallJob)
}

func submitToQueue(s *system) bool {
	return s.succeeds(http.MethodPut, s.entry.address(portMetrics), "/v1/queues/r/jobs/"+newJobID(), smallQueueJob)
}

func checkReadiness(s *system) bool {
	return s.succeeds(http.MethodGet, s.entry.address(portReadiness), "/", "")
}

func readEntryMetrics(s *system) bool {
	return s.succeeds(http.MethodGet, s.entry.address(portMetrics), "/metrics", "")
}

func readControlMetrics(s *system) bool {
	return s.succeeds(http.MethodGet, s.control.address(portMetrics), "/metrics", "")
}

func configure(s *system) bool {
	return s.succeeds(http.MethodPut, s.control.address(portControlPlane), "/configuration", configuration)
}

func readConfiguration(s *system) bool {
	return s.succeeds(http.MethodGet, s.control.address(portControlPlane), "/configuration", "")
}

func report(s *system) bool {
	return s.succeeds(http.MethodPut, s.control.address(portControlPlane), "/executors/i-1", fmt.Sprintf(reportFormat, number.Add(1)))
}
