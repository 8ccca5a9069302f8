// Package faults proves the guarantees of docs/design.md, section 3, with the
// daemons as separate processes that are killed, frozen, cut off and restarted.
package faults

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"marjoramtiller.example/marjoramtiller/standin/address"
)

// waitLimit bounds every wait for an event; no test asserts on speed.
const waitLimit = time.Minute

const pollInterval = 20 * time.Millisecond

// eventually waits for a condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(waitLimit); time.Now().Before(limit); {
		if ok() {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("did not happen within %v: %s", waitLimit, what)
}

// binaries builds the daemons once. They are built without the race detector
// also when the test has it.
var binaries = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "marjoramtiller-faults-")
	if err != nil {
		return "", err
	}
	build := exec.Command("go", "build", "-o", folder, "../../cmd/marjoramtiller-control", "../../cmd/marjoramtiller-entry")
	if output, err := build.CombinedOutput(); err != nil {
		return folder, fmt.Errorf("%w: %s", err, output)
	}
	return folder, nil
})

var verbose = flag.Bool("faults.logs", false, "keep the daemons' logs of tests that pass")

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if folder, _ := binaries(); folder != "" {
		_ = os.RemoveAll(folder)
	}
	os.Exit(code)
}

// process is one daemon.
type process struct {
	t        *testing.T
	name     string
	program  string
	settings string // file
	log      string // file, appended to by every start

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) start() {
	p.t.Helper()
	folder, err := binaries()
	if err != nil {
		p.t.Fatal(err)
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(folder, p.program), "-settings", p.settings)
	cmd.Stderr = log
	// The kernel ends the daemon if this test binary is ended by its time limit.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnLastingThread(cmd); err != nil {
		p.t.Fatal(err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
}

// starts are carried out by one thread that lasts as long as the test binary:
// the kernel sends Pdeathsig when the thread that started a process ends.
var starts = sync.OnceValue(func() chan func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

func startOnLastingThread(cmd *exec.Cmd) error {
	result := make(chan error, 1)
	starts() <- func() { result <- cmd.Start() }
	return <-result
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) wake()   { p.signal(syscall.SIGCONT) }

// stop stops gracefully and returns the exit code.
func (p *process) stop() int {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(waitLimit):
		p.t.Errorf("%s did not stop within %v of SIGTERM", p.name, waitLimit)
		p.kill()
	}
	return p.cmd.ProcessState.ExitCode()
}

// cleanup ends the process by its id and shows the end of its log after a failure.
func (p *process) cleanup() {
	p.mu.Lock()
	select {
	case <-p.done:
		p.t.Logf("%s had ended: %v", p.name, p.cmd.ProcessState)
	default:
	}
	p.mu.Unlock()
	p.kill()
	if !p.t.Failed() && !*verbose {
		return
	}
	data, _ := os.ReadFile(p.log)
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	p.t.Logf("%s:\n%s", p.name, strings.Join(lines[max(0, len(lines)-15):], "\n"))
}

func freeAddress(t *testing.T) string {
	t.Helper()
	found, err := address.Reserve(1)
	if err != nil {
		t.Fatal(err)
	}
	return found[0].String()
}
