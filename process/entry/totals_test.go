package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/request/queue"
)

// lastDemand returns what the last sync reported about the service.
func (f *fixture) lastDemand() *wirepb.ServiceDemand {
	f.control.mu.Lock()
	defer f.control.mu.Unlock()
	if n := len(f.control.requests); n > 0 && len(f.control.requests[n-1].GetDemand()) > 0 {
		return f.control.requests[n-1].GetDemand()[0]
	}
	return &wirepb.ServiceDemand{}
}

// Guards against a month's figures that miss requests: totals that are not
// reported, that count an outcome wrongly, or that a lost report resets.
func TestTotalsAreReported(t *testing.T) {
	is := is.New(t)
	f := start(t, nil)
	f.control.add("b1", server(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cut" {
			panic(http.ErrAbortHandler)
		}
	}))
	f.serving(4)
	is.Equal(f.send("GET", "/s/ledger/x", "", "").status, 200)
	is.Equal(f.send("POST", "/s/ledger/x", "", "").status, 400)
	f.control.set(func() { f.control.cut = true })
	is.Equal(f.send("GET", "/s/ledger/x", "", "").status, 200)
	f.until("a report is lost", func() bool { return f.entry.Counters().SyncFailures > 0 })
	f.control.set(func() { f.control.cut = false })
	is.Equal(f.send("POST", "/s/ledger/cut", "key-1", "").status, 502)
	f.until("all requests are reported", func() bool {
		d := f.lastDemand()
		return d.GetRequests() == 4 && d.GetRefused() == 1 && d.GetUnknown() == 1 && d.GetRetried() == 0
	})
}

// Guards against a 99th percentile that includes waits older than a minute or
// waits of long work, or that misses the largest hundredth.
func TestShortWaitOfTheLastMinute(t *testing.T) {
	is := is.New(t)
	m := newMetrics()
	at := func(now time.Duration) uint32 {
		d := &wirepb.ServiceDemand{Service: "s"}
		m.fill(d, now)
		return d.GetShortWaitP99Ms()
	}
	m.observeWait("s", 0, queue.Action{Class: queue.Long, Waited: time.Hour})
	is.Equal(at(0), uint32(0))
	for k := range 100 {
		waited := 10 * time.Millisecond
		if k >= 97 {
			waited = 100 * time.Millisecond
		}
		m.observeWait("s", 5*time.Second, queue.Action{Class: queue.Short, Waited: waited})
	}
	is.Equal(at(59*time.Second), uint32(100))
	m.observeWait("s", 61*time.Second, queue.Action{Class: queue.Short, Waited: 20 * time.Millisecond})
	is.Equal(at(61*time.Second), uint32(20))
	is.Equal(at(200*time.Second), uint32(0))
}
