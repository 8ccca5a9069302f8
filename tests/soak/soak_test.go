// Package soak runs the control and entry processes of the platform on loopback and
// injects faults: signals to the processes, lost or late orders at the workers, and
// delayed, blocked or closed connections of callers, workers and reports in relays.
// It checks by the responses to callers and the run history of the workers that no
// accepted job is lost and no task runs twice.
package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/standin/executor"
	"marjoramtiller.example/marjoramtiller/standin/relay"
)

const (
	controls       = 3
	entries        = 2
	workers        = 6
	faultDuration  = 6 * time.Second // for which faults are injected per seed
	waitLimit      = 2 * time.Minute // for an event, most of them after the last fault
	reportInterval = 200 * time.Millisecond
	pollInterval   = 20 * time.Millisecond
)

// firstPort is the first internal port. It is derived from the process ID, so that
// test processes that run concurrently rarely share ports.
var firstPort = 17000 + os.Getpid()%100*120

var seeds = []uint64{1}

// soak is the run of one seed: the processes, the workers and the accepted jobs.
type soak struct {
	t               *testing.T
	rng             *rand.Rand
	dir             string
	binary          string
	processes       []*process
	executors       []*executor.Executor
	workerRelays    map[string]*relay.Relay   // in front of each worker, by worker ID
	interfaceRelays map[*process]*relay.Relay // in front of the callers' interface of an entry or the interface of a control process
	sequence        int
	mu              sync.Mutex // guards faultsEnabled
	faultsEnabled   bool
	accepted        []string
}

type process struct {
	role, name, ip string
	binary         string // path of the program that it runs, or ran last
	command        *exec.Cmd
	log            *os.File
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, firstPort+port) }

const (
	portControlPlane = 100
	portCallers      = 101
	portReadiness    = 102
)

func ip(kind, number int) string { return fmt.Sprintf("127.77.%d.%d", kind, number+1) }

// settings returns the contents of the settings file of a process.
func (s *soak) settings(p *process, bootstrap bool) string {
	var seeds []string
	for i := range controls {
		seeds = append(seeds, strconv.Quote(fmt.Sprintf("%s:%d", ip(1, i), firstPort+portControlPlane)))
	}
	return fmt.Sprintf(`{"node-name":%q,"ip-address":%q,"zone":"z","listen-addresses":{"frontend":%q,"readiness":%q,"control-plane":%q},
		"internal-port-range":[%d,%d],"seed-nodes":[%s],"bootstrap":%t,"data-directory":%q,"heartbeat-interval-ms":300,
		"limits":{"memory-mb":200},"bounds":{"grace-period-s":2,"max-hold-ms":3000,"status_s":120}}`,
		p.name, p.ip, p.address(portCallers), p.address(portReadiness), p.address(portControlPlane), firstPort, firstPort+9,
		strings.Join(seeds, ","), bootstrap, filepath.Join(s.dir, p.name))
}

func (s *soak) start(p *process, binary string, bootstrap bool) {
	path := filepath.Join(s.dir, p.name+".json")
	if err := os.WriteFile(path, []byte(s.settings(p, bootstrap)), 0o600); err != nil {
		s.t.Fatal(err)
	}
	p.binary = binary
	p.command = exec.Command(binary, p.role)
	p.command.Env = []string{"MARJORAMTILLER_NODE_FILE=" + path}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		s.t.Fatal(err)
	}
}

func (s *soak) signal(p *process, sig syscall.Signal) {
	if err := p.command.Process.Signal(sig); err != nil {
		s.t.Logf("signal %s to %s: %v", sig, p.name, err)
	}
}

// restart sends a process a signal that terminates it, waits for its exit and starts
// it again with the current build.
func (s *soak) restart(p *process, sig syscall.Signal) {
	s.signal(p, sig)
	_ = p.command.Wait() // the error is the exit status of the killed process
	s.start(p, s.binary, false)
}

// firstBinary returns the program that the processes run until their first restart: that
// of an older build, if MARJORAMTILLER_OLDER_BUILD names its folder.
func (s *soak) firstBinary() string {
	if folder := os.Getenv("MARJORAMTILLER_OLDER_BUILD"); folder != "" {
		return filepath.Join(folder, "marjoramtiller-platform")
	}
	return s.binary
}

// upgrade replaces the processes that still run an older build, one after the other. A job
// must be accepted after each replacement.
func (s *soak) upgrade() {
	for _, p := range s.processes {
		if p.binary == s.binary {
			continue
		}
		s.restart(p, syscall.SIGTERM)
		s.eventually("a job is accepted after "+p.name+" was replaced", s.submitJob)
	}
}

// submitJob submits a job and reports whether it was accepted.
func (s *soak) submitJob() bool {
	id := fmt.Sprintf("%016x", s.rng.Uint64())
	body := `{"spec":"x","steps":[{"count":3,"cpu":2000,"estimated-ms":150},{"count":2,"cpu":2000,"estimated-ms":150,"after":[0]}]}`
	code, _ := s.call(http.MethodPost, s.entry(), "a.example", "/q/"+id, body)
	if code == http.StatusOK {
		s.accepted = append(s.accepted, id)
	}
	return code == http.StatusOK
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, rng: rand.New(rand.NewPCG(seed, seed)), dir: t.TempDir(), faultsEnabled: true,
		workerRelays: map[string]*relay.Relay{}, interfaceRelays: map[*process]*relay.Relay{}}
	s.binary = filepath.Join(s.dir, "platform")
	if out, err := exec.Command("go", "build", "-o", s.binary, "../../cmd/marjoramtiller-platform").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for i := range controls + entries {
		p := &process{role: "control", name: fmt.Sprint("control-", i), ip: ip(1, i)}
		if i >= controls {
			p.role, p.name, p.ip = "entry", fmt.Sprint("entry-", i-controls), ip(2, i-controls)
		}
		log, err := os.Create(filepath.Join(s.dir, p.name+".log"))
		if err != nil {
			t.Fatal(err)
		}
		p.log = log
		s.processes = append(s.processes, p)
		interfaceAddress := p.address(portControlPlane)
		if p.role == "entry" {
			interfaceAddress = p.address(portCallers)
		}
		s.interfaceRelays[p] = s.relay(interfaceAddress)
		s.start(p, s.firstBinary(), true)
	}
	for i := range workers {
		e, err := executor.Open(fmt.Sprint("i-", i))
		if err != nil {
			t.Fatal(err)
		}
		e.Duration = func(string) time.Duration { return 150 * time.Millisecond }
		e.Delay = time.Second
		faults := rand.New(rand.NewPCG(seed, uint64(i)))
		e.Fault = func(string, string) executor.Fault {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.faultsEnabled || faults.Float64() > 0.1 {
				return executor.None
			}
			return []executor.Fault{executor.LoseAnswer, executor.LoseOrder, executor.Late}[faults.IntN(3)]
		}
		s.executors = append(s.executors, e)
		s.workerRelays[e.ID] = s.relay(e.Address)
	}
	t.Cleanup(s.close)
	return s
}

// relay opens a relay that is closed when the test ends.
func (s *soak) relay(target string) *relay.Relay {
	r, err := relay.Open(target)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(r.Close)
	return r
}

func (s *soak) close() {
	for _, p := range s.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
		_ = p.log.Close()
		if s.t.Failed() {
			data, err := os.ReadFile(p.log.Name())
			s.t.Logf("log of %s (%v):\n%s", p.name, err, data)
		}
	}
	for _, e := range s.executors {
		e.Close()
	}
}

var client = &http.Client{Timeout: time.Second}

func (s *soak) call(method, address, host, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return 0, ""
	}
	if host != "" {
		req.Host = host
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	buf := make([]byte, 1024)
	n, _ := resp.Body.Read(buf) // an empty body returns io.EOF, and the text then is empty
	return resp.StatusCode, string(buf[:n])
}

// reportAll periodically sends the reports of all workers, each time to the next
// control process, until done is closed.
func (s *soak) reportAll(done chan struct{}) {
	for {
		s.sequence++
		var calls sync.WaitGroup
		address := s.interfaceRelays[s.processes[s.sequence%controls]].Address()
		for _, e := range s.executors {
			calls.Go(func() { s.report(address, e) })
		}
		calls.Go(func() { s.reportOdd(address, s.sequence) })
		calls.Wait()
		select {
		case <-done:
			return
		case <-time.After(reportInterval):
		}
	}
}

func (s *soak) report(address string, e *executor.Executor) {
	body := fmt.Sprintf(`{"service":"pool","address":%q,"zone":"z","state":"ready","capacity":{"cpu":8000,"mem-mb":1000},
		"labels":["a","r-1"],"clock-ms":%d,"born":%d,"sequence":%d}`, s.workerRelays[e.ID].Address(), e.ClockMs(), e.StartedMs, s.sequence)
	s.call(http.MethodPut, address, "", "/executors/"+e.ID, body)
}

// reportOdd sends a report of another writer, which no control process may accept and which
// must not affect those of the workers.
func (s *soak) reportOdd(address string, number int) {
	const format = `{"service":"pool","address":%q,"zone":"z","state":%q,"capacity":{"cpu":%s},"born":1,"sequence":1}`
	odd := []struct{ id, body string }{
		{"%ff%fe", fmt.Sprintf(format, "127.0.0.1:9", "ready", "1")},
		{"odd", fmt.Sprintf(format, "127.0.0.1:65536", "ready", "1")},
		{"odd", fmt.Sprintf(format, "127.0.0.1:9", "ready", "1e400")},
		{"odd", fmt.Sprintf(format, "127.0.0.1:9", "ready", strings.Repeat("[", 20_000))},
		{"odd", fmt.Sprintf(format, "127.0.0.1:9", "odd", "1")},
		{"odd", "\xff\xfe"},
	}
	report := odd[number%len(odd)]
	if code, _ := s.call(http.MethodPut, address, "", "/executors/"+report.id, report.body); code >= 200 && code < 300 {
		s.t.Errorf("the report of another writer was accepted: %.100s", report.body)
	}
}

func (s *soak) entry() string {
	return s.interfaceRelays[s.processes[controls+s.rng.IntN(entries)]].Address()
}

const configuration = `{"version":1,"routes":[{"name":"r","host":"a.example","path-prefix":"/q/","timeout-ms":3000,"target-latency-ms":600,
	"service":"pool","max-attempts":3,"stretch-factor":1.6}],"services":[{"name":"pool"}]}`

// eventually polls a condition until it holds and fails the test after waitLimit.
func (s *soak) eventually(what string, ok func() bool) {
	s.t.Helper()
	for until := time.Now().Add(waitLimit); time.Now().Before(until); {
		if ok() {
			return
		}
		time.Sleep(pollInterval)
	}
	s.t.Fatalf("did not happen within %s: %s", waitLimit, what)
}

// disturbConnection closes the connections to a worker or to the interface of a
// process, or for a while delays them or blocks one or both directions.
func (s *soak) disturbConnection() {
	r := s.workerRelays[s.executors[s.rng.IntN(workers)].ID]
	if s.rng.IntN(2) == 0 {
		r = s.interfaceRelays[s.processes[s.rng.IntN(len(s.processes))]]
	}
	duration := time.Duration(s.rng.IntN(3000)) * time.Millisecond
	switch s.rng.IntN(3) {
	case 0:
		r.CloseConnections()
	case 1:
		r.SetDelay(time.Duration(1+s.rng.IntN(400)) * time.Millisecond)
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
		s.restart(p, syscall.SIGKILL)
	case 1:
		s.restart(p, syscall.SIGTERM)
	case 2:
		s.signal(p, syscall.SIGSTOP)
		paused := p.command.Process
		time.AfterFunc(time.Duration(s.rng.IntN(3000))*time.Millisecond, func() { _ = paused.Signal(syscall.SIGCONT) })
	case 3:
		s.signal(p, syscall.SIGHUP)
	}
}

func (s *soak) run() {
	s.eventually("the configuration is confirmed", func() bool {
		code, _ := s.call(http.MethodPut, s.processes[0].address(portControlPlane), "", "/configuration", configuration)
		return code == http.StatusOK
	})
	done := make(chan struct{})
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		s.reportAll(done)
	}()
	defer func() {
		close(done)
		<-reported
	}()
	nextFault, nextLink := time.Now(), time.Now()
	for until := time.Now().Add(faultDuration); time.Now().Before(until); {
		s.submitJob()
		if time.Now().After(nextFault) {
			s.disturbProcess()
			nextFault = time.Now().Add(time.Duration(300+s.rng.IntN(1500)) * time.Millisecond)
		}
		if time.Now().After(nextLink) {
			s.disturbConnection()
			nextLink = time.Now().Add(time.Duration(100+s.rng.IntN(700)) * time.Millisecond)
		}
	}
	s.upgrade()
	s.mu.Lock()
	s.faultsEnabled = false
	s.mu.Unlock()
	for _, id := range s.accepted {
		s.eventually("job "+id+" is completed", func() bool {
			_, body := s.call(http.MethodGet, s.entry(), "a.example", "/q/"+id, "")
			return strings.Contains(body, "completed")
		})
	}
}

// check asserts that the runs of a task did not overlap in time and that no run
// began after the end of an earlier one was acknowledged as done.
func (s *soak) check() {
	byTask := map[string][]executor.Interval{}
	for _, e := range s.executors {
		for _, interval := range e.RunHistory() {
			byTask[interval.Task] = append(byTask[interval.Task], interval)
		}
	}
	for task, list := range byTask {
		slices.SortFunc(list, func(a, b executor.Interval) int { return a.From.Compare(b.From) })
		for i, interval := range list[1:] {
			before := list[i]
			if interval.From.Before(before.To) {
				s.t.Errorf("task %s: run %d began %s before the end of run %d", task, interval.Run, before.To.Sub(interval.From), before.Run)
			}
			if before.How == "done" && !before.AcknowledgedAt.IsZero() {
				s.t.Errorf("task %s: run %d began after run %d was done", task, interval.Run, before.Run)
			}
		}
	}
}

// Guards against accepted jobs that are lost and tasks that run twice while control
// and entry processes are killed, restarted and paused, orders to workers are lost or
// late, and connections are delayed, closed or blocked in one or both directions.
// MARJORAMTILLER_SOAK_SEEDS=N runs N random seeds instead of the fixed one, and
// MARJORAMTILLER_OLDER_BUILD=FOLDER begins with the processes of an older build.
func TestSoak(t *testing.T) {
	run := seeds
	if n, err := strconv.Atoi(os.Getenv("MARJORAMTILLER_SOAK_SEEDS")); err == nil {
		run = nil
		for range n {
			run = append(run, rand.Uint64N(1<<32))
		}
	}
	for _, seed := range run {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			s := newSoak(t, seed)
			s.run()
			s.check()
			is.New(t).True(len(s.accepted) > 0)
			t.Logf("seed %d: %d jobs accepted", seed, len(s.accepted))
		})
	}
}
