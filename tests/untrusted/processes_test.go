// Package untrusted tests that clients which do not respect the limits end no process: not
// by its memory, and not by its descriptors.
//
// Each test starts processes whose settings name a small machine, and lets a small crowd of
// clients send to one of their addresses. It checks that the process lives, that its memory
// and its open descriptors stay within the settings, and that an ordinary request is
// answered while the crowd is still connected. It checks no times and no share of requests.
// The tests run one at a time, apart from other load.
package untrusted

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	waitLimit    = time.Minute // for an event; a test that reaches it has failed
	pollInterval = 20 * time.Millisecond
)

// The settings of the machines. A calm process takes far less.
const (
	entryMemoryMB   = 128
	controlMemoryMB = 200
	manyDescriptors = 1024 // more than a crowd of the tests of memory has
	fewDescriptors  = 300  // fewer than a crowd of the tests of descriptors has
)

const (
	portInternal     = 18100
	portControlPlane = 18101
	portCallers      = 18102
	portReadiness    = 18103
	portMetrics      = 9464 // is the same on all machines
)

// The addresses are derived from the process ID, so that test processes that run
// concurrently rarely share them.
var (
	controlIP = fmt.Sprintf("127.77.%d.1", 100+os.Getpid()%150)
	entryIP   = fmt.Sprintf("127.77.%d.2", 100+os.Getpid()%150)
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "untrusted")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "platform")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/marjoramtiller-platform").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v: %s\n", err, out)
		return 1
	}
	return m.Run()
}

// process is a process of the system and what was seen of it.
type process struct {
	role, ip    string
	memoryMB    int
	descriptors int

	command  *exec.Cmd
	log      *os.File
	ended    chan struct{} // closed when the process has ended
	mostOpen atomic.Int64  // most descriptors that were seen open
}

// system is one control process and one entry.
type system struct {
	t              *testing.T
	dir            string
	control, entry *process
}

// startSystem starts the processes, whose machines allow them a number of descriptors, and
// configures them.
func startSystem(t *testing.T, descriptors int) *system {
	t.Helper()
	s := &system{t: t, dir: t.TempDir()}
	s.control = &process{role: "control", ip: controlIP, memoryMB: controlMemoryMB, descriptors: descriptors}
	s.entry = &process{role: "entry", ip: entryIP, memoryMB: entryMemoryMB, descriptors: descriptors}
	s.start(s.control)
	s.start(s.entry)
	s.eventually("the configuration is confirmed", configure)
	s.eventually("a worker's report is confirmed", report)
	s.eventually("a job is accepted", submit)
	return s
}

func (s *system) settings(p *process) string {
	return fmt.Sprintf(`{"node-name":%q,"ip-address":%q,"zone":"z","listen-addresses":{"frontend":%q,"readiness":%q,"control-plane":%q},
		"internal-port-range":[%d,%d],"seed-nodes":["%s:%d"],"bootstrap":true,"data-directory":%q,"heartbeat-interval-ms":1000,
		"limits":{"memory-mb":%d,"max-file-descriptors":%d},"bounds":{"grace-period-s":2,"max-hold-ms":10000,"status_s":120}}`,
		p.role, p.ip, p.address(portCallers), p.address(portReadiness), p.address(portControlPlane), portInternal, portInternal,
		controlIP, portControlPlane, filepath.Join(s.dir, p.role), p.memoryMB, p.descriptors)
}

func (s *system) start(p *process) {
	is := is.New(s.t)
	path := filepath.Join(s.dir, p.role+".json")
	is.NoErr(os.WriteFile(path, []byte(s.settings(p)), 0o600))
	log, err := os.Create(filepath.Join(s.dir, p.role+".log"))
	is.NoErr(err)
	p.log, p.ended = log, make(chan struct{})
	p.command = exec.Command(binary, p.role)
	p.command.Env = []string{"MARJORAMTILLER_NODE_FILE=" + path}
	p.command.Stdout, p.command.Stderr = log, log
	is.NoErr(p.command.Start())
	var observers sync.WaitGroup
	observers.Go(func() {
		_ = p.command.Wait() // the error is the exit status, which isAlive covers
		close(p.ended)
	})
	observers.Go(p.watchDescriptors)
	s.t.Cleanup(func() {
		_ = p.command.Process.Kill()
		observers.Wait()
		_ = log.Close()
		if s.t.Failed() {
			s.t.Logf("end of the log of %s:\n%s", p.role, tail(log.Name()))
		}
	})
}

// tail returns the last lines of a file.
func tail(path string) string {
	const lines = 20
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	list := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(list[max(0, len(list)-lines):], "\n")
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

func (p *process) isAlive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// watchDescriptors records the most descriptors that are open until the process ends.
func (p *process) watchDescriptors() {
	for p.isAlive() {
		list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
		if err == nil {
			p.mostOpen.Store(max(p.mostOpen.Load(), int64(len(list))))
		}
		time.Sleep(pollInterval)
	}
}

// peakMemoryMB returns the largest resident set of the process so far, in MiB.
func (p *process) peakMemoryMB() (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	if !found {
		return 0, fmt.Errorf("%s has no resident set", p.role)
	}
	kib, err := strconv.Atoi(strings.Fields(rest)[0])
	return kib >> 10, err
}

// check asserts that a process lives and has stayed within its machine. The bound of the
// descriptors is the setting itself: at that number the machine refuses further ones,
// whatever they are for.
func (s *system) check(p *process) {
	s.t.Helper()
	if !p.isAlive() {
		s.t.Errorf("%s has ended: %v", p.role, p.command.ProcessState)
		return
	}
	peak, err := p.peakMemoryMB()
	if err != nil {
		s.t.Error(err)
	}
	open := int(p.mostOpen.Load())
	s.t.Logf("%s: peak resident set %d MiB of %d, most open descriptors %d of %d", p.role, peak, p.memoryMB, open, p.descriptors)
	if peak > p.memoryMB {
		s.t.Errorf("%s: peak resident set of %d MiB, its machine has %d", p.role, peak, p.memoryMB)
	}
	if open > p.descriptors {
		s.t.Errorf("%s: %d open descriptors, its machine allows %d", p.role, open, p.descriptors)
	}
}

// checkAll asserts that both processes live and have stayed within their machines.
func (s *system) checkAll() {
	s.t.Helper()
	s.check(s.control)
	s.check(s.entry)
}

// eventually repeats a request until it succeeds and fails the test after waitLimit.
func (s *system) eventually(what string, request func(s *system) bool) {
	s.t.Helper()
	for until := time.Now().Add(waitLimit); time.Now().Before(until); {
		if request(s) {
			return
		}
		time.Sleep(pollInterval)
	}
	s.t.Errorf("did not happen within %s: %s", waitLimit, what)
}
