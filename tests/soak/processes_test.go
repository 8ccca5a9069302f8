package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// firstPort is the first internal port. It is derived from the process ID, so that
// test processes that run concurrently rarely share ports.
var firstPort = 17000 + os.Getpid()%100*120

const (
	portControlPlane = 100
	portCallers      = 101
	portReadiness    = 102
)

type process struct {
	role, name, ip string
	restarts       sync.WaitGroup // restarts that are not finished

	mu      sync.Mutex // guards the fields below; held for a whole restart
	binary  string     // path of the program that it runs, or ran last
	command *exec.Cmd
	log     *os.File
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, firstPort+port) }

func ip(kind, number int) string { return fmt.Sprintf("127.77.%d.%d", kind, number+1) }

// addProcess starts a process, control processes first, and opens the relay in front of its
// interface.
func (s *soak) addProcess(number int) {
	p := &process{role: "control", name: fmt.Sprint("control-", number), ip: ip(1, number)}
	interfaceAddress := p.address(portControlPlane)
	if n := number - s.fleet.controls; n >= 0 {
		p.role, p.name, p.ip = "entry", fmt.Sprint("entry-", n), ip(2, n)
		interfaceAddress = p.address(portCallers)
	}
	log, err := os.Create(filepath.Join(s.dir, p.name+".log"))
	if err != nil {
		s.t.Fatal(err)
	}
	p.log = log
	s.processes = append(s.processes, p)
	s.interfaceRelays[p] = s.relay(interfaceAddress)
	p.mu.Lock()
	defer p.mu.Unlock()
	s.start(p, s.firstBinary(), true)
}

// settings returns the contents of the settings file of a process.
func (s *soak) settings(p *process, bootstrap bool) string {
	var seeds []string
	for i := range min(s.fleet.controls, 3) {
		seeds = append(seeds, strconv.Quote(fmt.Sprintf("%s:%d", ip(1, i), firstPort+portControlPlane)))
	}
	return fmt.Sprintf(`{"node-name":%q,"ip-address":%q,"zone":"z","listen-addresses":{"frontend":%q,"readiness":%q,"control-plane":%q},
		"internal-port-range":[%d,%d],"seed-nodes":[%s],"bootstrap":%t,"data-directory":%q,"heartbeat-interval-ms":%d,
		"limits":{"memory-mb":200},"bounds":{"grace-period-s":2,"max-hold-ms":%d,"status_s":120}%s}`,
		p.name, p.ip, p.address(portCallers), p.address(portReadiness), p.address(portControlPlane), firstPort, firstPort+9,
		strings.Join(seeds, ","), bootstrap, filepath.Join(s.dir, p.name), max(300, s.fleet.reportInterval.Milliseconds()), s.fleet.maxLease.Milliseconds(), s.machineService())
}

// machineService returns the settings of the machine service, if there is one.
func (s *soak) machineService() string {
	if s.machines == nil {
		return ""
	}
	return fmt.Sprintf(`,"cloud":{"address":%q,"duty-per-s":50,"rate-per-s":50}`, s.machines.Address)
}

// start starts a process. The caller holds its lock.
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
		s.t.Errorf("start %s: %v", p.name, err)
	}
}

// signal sends a signal to a process.
func (s *soak) signal(p *process, sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.command.Process.Signal(sig); err != nil {
		s.t.Logf("signal %s to %s: %v", sig, p.name, err)
	}
}

// restart sends a process a signal that terminates it, waits for its exit and, after a
// pause, starts it again with the current build.
func (s *soak) restart(p *process, sig syscall.Signal, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.command.Process.Signal(sig); err != nil {
		s.t.Logf("signal %s to %s: %v", sig, p.name, err)
	}
	_ = p.command.Wait() // the error is the exit status of the killed process
	time.Sleep(pause)
	s.start(p, s.binary, false)
}

// restartInBackground restarts a process without waiting for it.
func (s *soak) restartInBackground(p *process, sig syscall.Signal, pause time.Duration) {
	p.restarts.Go(func() { s.restart(p, sig, pause) })
}

// pause stops a process for a time. A restart meanwhile ends the pause.
func (s *soak) pause(p *process, duration time.Duration) {
	p.mu.Lock()
	paused := p.command.Process
	p.mu.Unlock()
	if err := paused.Signal(syscall.SIGSTOP); err != nil {
		s.t.Logf("pause of %s: %v", p.name, err)
	}
	time.AfterFunc(duration, func() { _ = paused.Signal(syscall.SIGCONT) })
}

// end kills a process.
func (p *process) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	_ = p.log.Close()
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
		s.restart(p, syscall.SIGTERM, 0)
		s.eventually("a job is accepted after "+p.name+" was replaced", func() bool { return s.submitJob(s.rng) })
	}
}
