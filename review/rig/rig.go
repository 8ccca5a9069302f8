package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Names and sizes of the small deployment that the cases use.
const (
	program      = "target/marjoramtiller-platform" // as deploy/system.toml builds and runs it
	controlCount = 3
	entryCount   = 2
	serviceName  = "svc-a"
	zoneName     = "zone-a"
	regionName   = "region-a"
	queueHost    = "queue.example"
	queuePrefix  = "/jobs/"

	restartDelay = time.Second // after which the platform starts a process again
	pollInterval = 20 * time.Millisecond
	startLimit   = 30 * time.Second
)

// Kinds of addresses: the third byte of a loopback address.
const (
	controlHost = iota + 1
	entryHost
	executorHost
	platformHost
)

// process is one of the project's processes.
type process struct {
	rig      *rig
	role, ip string
	number   int
	command  *exec.Cmd
}

// rig is one play of a case.
type rig struct {
	record    *record
	trouble   bool
	dir       string
	network   int // second byte of all loopback addresses
	port      int // first of the ports that all processes use
	controls  []*process
	entries   []*process
	executors []*executor
	machines  *machines
	proxies   map[string]*proxy // in front of the control plane, by real address
	broken    []string          // breaks of rules other than TWICE
	advisor   string            // address of the advisor
	allowed   string            // the executor on which it allows steps; empty if no queue has a policy
	ticketMu  sync.Mutex
	tickets   map[string]time.Time // when they expire
}

func openRig(record *record, trouble bool) (*rig, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &rig{record: record, trouble: trouble, dir: dir, proxies: map[string]*proxy{}, tickets: map[string]time.Time{}}
	if err := r.chooseAddresses(); err != nil {
		return nil, err
	}
	if r.machines, err = r.openMachines(); err != nil {
		return nil, err
	}
	if err := r.openAdvisor(); err != nil {
		return nil, err
	}
	return r, r.startProcesses()
}

// ip returns a loopback address of the rig.
func (r *rig) ip(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.network, kind, number+1)
}

// portCount is the number of ports from rig.port on that a process may use.
const portCount = 20

// chooseAddresses selects loopback addresses and ports that are free.
func (r *rig) chooseAddresses() error {
	for range 50 {
		r.network = 20 + rand.IntN(200)
		r.port = 20000 + rand.IntN(1000)*portCount
		if r.addressesFree() {
			return nil
		}
	}
	return errors.New("no free loopback addresses were found")
}

func (r *rig) addressesFree() bool {
	for kind, count := range map[int]int{controlHost: controlCount, entryHost: entryCount} {
		for number := range count {
			for offset := range portCount {
				l, err := net.Listen("tcp", net.JoinHostPort(r.ip(kind, number), strconv.Itoa(r.port+offset)))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

func (r *rig) startProcesses() error {
	for number := range controlCount {
		r.controls = append(r.controls, &process{rig: r, role: "control", ip: r.ip(controlHost, number), number: number})
	}
	for number := range entryCount {
		r.entries = append(r.entries, &process{rig: r, role: "entry", ip: r.ip(entryHost, number), number: number})
	}
	for _, p := range r.controls {
		proxy, err := r.openProxy(p.controlPlane())
		if err != nil {
			return err
		}
		r.proxies[p.controlPlane()] = proxy
	}
	for _, p := range append(append([]*process(nil), r.controls...), r.entries...) {
		if err := p.start(true); err != nil {
			return err
		}
	}
	return nil
}

// close ends everything that the rig has started, and removes its folder.
func (r *rig) close() {
	for _, p := range append(append([]*process(nil), r.controls...), r.entries...) {
		p.kill()
	}
	for _, e := range r.executors {
		e.end("the case is over")
	}
	_ = os.RemoveAll(r.dir)
}

func (p *process) name() string { return fmt.Sprintf("%s-%d", p.role, p.number+1) }

// Offsets of a process's ports from rig.port. The first ones are for its peers.
const (
	lastInternal    = 15
	portControl     = 16
	portEntry       = 17
	portReadiness   = 18
	maxFiles        = 4096
	memoryMB        = 280
	graceSeconds    = 6
	statusRetention = 120
)

func (p *process) listen(offset int) string {
	return net.JoinHostPort(p.ip, strconv.Itoa(p.rig.port+offset))
}

func (p *process) controlPlane() string { return p.listen(portControl) }

// settings returns the settings file, in the form and with the bounds of the pages.
func (p *process) settings(bootstrap bool) ([]byte, error) {
	r := p.rig
	var seeds []string
	for _, c := range r.controls {
		seeds = append(seeds, c.controlPlane())
	}
	listen := map[string]string{"frontend": p.listen(portEntry), "readiness": p.listen(portReadiness)}
	serves, class, dir := "frontend", "frontend", any(nil)
	if p.role == "control" {
		listen = map[string]string{"control-plane": p.controlPlane()}
		serves, class, dir = "control_plane", "core", filepath.Join(r.dir, p.name())
	}
	return json.Marshal(map[string]any{
		"node-name": p.name(), "role": p.role, "machine-class": class, "serves": []string{serves}, "ip-address": p.ip,
		"zone": zoneName, "region": regionName, "zones": map[string]string{zoneName: regionName}, "listen-addresses": listen,
		"internal-port-range": []int{r.port, r.port + lastInternal}, "seed-nodes": seeds, "bootstrap": bootstrap,
		"counts-toward-tolerance": p.role == "control",
		"limits":                  map[string]any{"cpu-share": 0.6, "cpu-cores": 1, "memory-mb": memoryMB, "max-file-descriptors": maxFiles, "link-bandwidth-mbps": 1000.0, "disk-mb": 128},
		"data-directory":          dir, "discovery": "registration", "entry": "virtual_ip", "heartbeat-interval-ms": heartbeatInterval.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seed-lag-s": 3, "reuse-after-s": 2, "contact-timeout-ms": 3000, "ack-timeout-ms": 4000, "catch-up-s": 4, "drain-timeout-ms": drainTimeout.Milliseconds(),
			"grace-period-s": graceSeconds, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-extension-ms": 5000, "recovery-s": 12,
			"max-hold-ms": maxHold.Milliseconds(), "stop-timeout-ms": 400, "gang-timeout-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
			"status_s": statusRetention, "remote-factor": 3.0, "checkpoint-interval-s": 1, "restore-ms": 100, "notice-ms": 4500, "migration-s": 1.5, "maintenance-s": 2,
			"fencing-enforced": false, "lease-duration-ms": 3000, "thaw-slack-ms": 300, "pacing-ms": 100, "impact-ms": 4000},
		"config_mode": "highest", "commands": "push", "advisor": r.advisor,
		"cloud": map[string]any{"address": r.machines.address, "rate-per-s": 64.0, "duties": []string{}, "duty-per-s": 64.0},
	})
}

// start starts the process with the command of the deploy file.
func (p *process) start(bootstrap bool) error {
	data, err := p.settings(bootstrap)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(p.rig.dir, p.name()), 0o700); err != nil {
		return err
	}
	file := filepath.Join(p.rig.dir, p.name()+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.rig.dir, p.name()+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(program, p.role)
	p.command.Env = []string{"MARJORAMTILLER_NODE_FILE=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.command.Stdout, p.command.Stderr = log, log
	return p.command.Start()
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	if p.command == nil || p.command.Process == nil || p.command.ProcessState != nil {
		return
	}
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

func (p *process) signal(s syscall.Signal) error { return p.command.Process.Signal(s) }

// killAndRestart kills a process; the platform starts it again after a short delay.
func (p *process) killAndRestart() {
	p.rig.record.add("%s is killed", p.name())
	p.kill()
	time.AfterFunc(restartDelay, func() {
		p.rig.record.add("%s is started again, error %v", p.name(), p.start(false))
	})
}

// leader returns the control process that leads, nil if none says so.
func (r *rig) leader() *process {
	for _, p := range r.controls {
		status, _, err := r.send(http.MethodGet, "http://"+p.controlPlane()+"/configuration", nil, callTimeout, 0)
		if err == nil && status == http.StatusOK {
			return p
		}
	}
	return nil
}

// eventually waits until ok returns true.
func eventually(what string, limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %s", what, limit)
}
