package soak

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// injectFaults injects faults of processes and of connections until a time.
func (s *soak) injectFaults(until time.Time) {
	nextProcess, nextConnection := time.Now(), time.Now()
	nextGroup := time.Now().Add(s.randomTime(3000, 3000))
	nextWorker := time.Now()
	for time.Now().Before(until) {
		if time.Now().After(nextProcess) {
			s.disturbProcess()
			nextProcess = time.Now().Add(s.randomTime(300, 1500))
		}
		if time.Now().After(nextConnection) {
			s.disturbConnection()
			nextConnection = time.Now().Add(s.randomTime(100, 700))
		}
		if s.fleet.groupRestarts && time.Now().After(nextGroup) {
			s.restartControls()
			nextGroup = time.Now().Add(s.randomTime(3000, 3000))
		}
		if time.Now().After(nextWorker) {
			w, pause := s.workers[s.rng.IntN(len(s.workers))], s.randomTime(0, 1000)
			w.restarts.Go(func() { s.restartWorker(w, pause) })
			nextWorker = time.Now().Add(s.randomTime(0, 2*int(s.fleet.workerRestartInterval.Milliseconds())))
		}
		time.Sleep(pollInterval)
	}
}

// randomTime returns a time of at least least and less than least + spread milliseconds.
func (s *soak) randomTime(least, spread int) time.Duration {
	return time.Duration(least+s.rng.IntN(spread)) * time.Millisecond
}

// disturbConnection closes the connections to a worker or to the interface of a
// process, or for a while delays them or blocks one or both directions.
func (s *soak) disturbConnection() {
	w := s.workers[s.rng.IntN(len(s.workers))]
	r := w.relay
	if s.rng.IntN(2) == 0 {
		r = s.interfaceRelays[s.processes[s.rng.IntN(len(s.processes))]]
	}
	duration := s.randomTime(0, 3000)
	switch s.rng.IntN(3) {
	case 0:
		r.CloseConnections()
	case 1:
		r.SetDelay(s.randomTime(1, 400))
		time.AfterFunc(duration, func() { r.SetDelay(0) })
	case 2:
		direction := s.rng.IntN(3) // 0 blocks the forward direction, 1 the way back, 2 both
		r.SetBlocked(direction != 1, direction != 0)
		time.AfterFunc(duration, func() { r.SetBlocked(false, false) })
	}
}

// disturbProcess kills and restarts, stops and restarts, pauses or sends SIGHUP to one
// random process, in most cases a control process.
func (s *soak) disturbProcess() {
	p := s.processes[s.rng.IntN(len(s.processes))]
	switch s.rng.IntN(4) {
	case 0:
		s.restartInBackground(p, syscall.SIGKILL, 0)
	case 1:
		s.restartInBackground(p, syscall.SIGTERM, 0)
	case 2:
		s.pause(p, s.randomTime(0, 3000))
	case 3:
		s.signal(p, syscall.SIGHUP)
	}
}

// leader returns the control process that leads, nil if none answers that it does. Another
// one answers with a redirect or with an error.
func (s *soak) leader() *process {
	direct := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, p := range s.processes[:s.fleet.controls] {
		resp, err := direct.Get("http://" + p.address(portControlPlane) + "/configuration")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return p
		}
	}
	return nil
}

// stopLeaderBesidePauses stops the leader while some of the others are paused, so that the
// transfer of the leadership takes long or fails.
func (s *soak) stopLeaderBesidePauses() {
	leader := s.leader()
	if leader == nil {
		return
	}
	paused := 0
	for _, p := range s.processes[:s.fleet.controls] {
		if p != leader && paused < s.fleet.controls/2 && s.rng.IntN(2) == 0 {
			s.pause(p, s.randomTime(100, 2500))
			paused++
		}
	}
	s.restartInBackground(leader, syscall.SIGTERM, 0)
}

// restartControls restarts all control processes: killed at once, killed or stopped one
// shortly after the other; or it pauses most of them, or stops the leader.
func (s *soak) restartControls() {
	controls := s.processes[:s.fleet.controls]
	switch s.rng.IntN(4) {
	case 3:
		s.stopLeaderBesidePauses()
	case 0:
		for _, p := range controls {
			s.restartInBackground(p, syscall.SIGKILL, s.randomTime(0, 1000))
		}
	case 1:
		sig := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[s.rng.IntN(2)]
		gap := s.randomTime(100, 900)
		for i, p := range controls {
			p.restarts.Go(func() {
				time.Sleep(time.Duration(i) * gap)
				s.restart(p, sig, 0)
			})
		}
	case 2:
		for i, p := range controls {
			if i != s.rng.IntN(len(controls)) {
				s.pause(p, s.randomTime(1000, 5000))
			}
		}
	}
}

// reportOdd sends reports of other writers to all control processes. None of them may accept
// one, and they must not affect those of the workers.
func (s *soak) reportOdd(number int) {
	const format = `{"service":"pool","address":%q,"zone":"z","state":%q,"capacity":{"cpu":%s},"born":1,"sequence":1}`
	odd := []struct{ id, body string }{
		{"odd", fmt.Sprintf(format, "127.0.0.1:65536", "ready", "1")},
		{"odd", fmt.Sprintf(format, "127.0.0.1:9", "ready", "1e400")},
		{"odd", fmt.Sprintf(format, "127.0.0.1:9", "ready", strings.Repeat("[", 20_000))},
		{"odd", fmt.Sprintf(format, "127.0.0.1:9", "odd", "1")},
		{"odd", "\xff\xfe"},
	}
	reports := []struct{ id, body string }{{"%ff%fe", fmt.Sprintf(format, "127.0.0.1:9", "ready", "1")}, odd[number%len(odd)]}
	for _, p := range s.processes[:s.fleet.controls] {
		for _, report := range reports {
			code, _ := s.call(http.MethodPut, s.interfaceRelays[p].Address(), "", "/executors/"+report.id, report.body)
			if code >= 200 && code < 300 {
				s.t.Errorf("the report of another writer was accepted: %.100s", report.body)
			}
		}
	}
}
