// Command rig-2 plays the cases of the second review that are scripts: it starts the
// project's own programs as separate processes on loopback addresses, beside stand-ins for
// clients, executors, the operator and the platform, and checks one rule.
//
// usage: rig-2 -record FILE CASE
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld, exitBroken, exitCannotRun = 0, 1, 2

	portInternal, portInternalLast = 0, 9
	portControl, portFrontend      = 20, 21
	portReadiness                  = 22
	portSpan                       = 23

	program     = "target/marjoramtiller-platform"
	runDeadline = 115 * time.Second
)

// process is one process of the system.
type process struct {
	rig       *rig
	role      string
	name, ip  string
	basePort  int
	bootstrap bool
	command   *exec.Cmd
	log       *os.File
	exited    chan struct{}
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, p.basePort+port) }

// rig is a small deployment with its stand-ins.
type rig struct {
	dir       string
	began     time.Time
	trouble   bool
	record    *os.File
	recordMu  sync.Mutex
	platform  *platform
	advisor   string
	controls  []*process
	entries   []*process
	basePort  int
	durations func(task string) time.Duration

	mu        sync.Mutex
	executors []*executor
	gangs     map[string]bool // ids of jobs with one gang
	runs      []*run
	version   int
}

func (r *rig) duration(task string) time.Duration { return r.durations(task) }

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// finish ends all processes and exits.
func (r *rig) finish(code int) {
	for _, p := range slices.Concat(r.controls, r.entries) {
		p.kill()
	}
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs in", r.dir)
	}
	os.Exit(code)
}

func (r *rig) cannotRun(format string, args ...any) {
	fmt.Printf("cannot run: "+format+"\n", args...)
	r.note("cannot run: "+format, args...)
	r.finish(exitCannotRun)
}

func (r *rig) broken(format string, args ...any) {
	fmt.Printf("rule broken: "+format+"\n", args...)
	r.note("RULE BROKEN: "+format, args...)
	r.finish(exitBroken)
}

func (r *rig) held(format string, args ...any) {
	fmt.Printf("rule held: "+format+"\n", args...)
	r.note("rule held: "+format, args...)
	r.finish(exitHeld)
}

// freeBase returns the first of portSpan ports that are free on the addresses.
func freeBase(ips []string) int {
	for range 200 {
		base := 21000 + rand.IntN(1000)*portSpan
		if base+portSpan > 60000 || !allFree(ips, base) {
			continue
		}
		return base
	}
	return 0
}

func allFree(ips []string, base int) bool {
	for _, ip := range ips {
		for port := base; port < base+portSpan; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// open starts a deployment of control processes, entries and executors in pools.
// The machines that are named last have another kind than the others.
func open(recordPath string, controls, entries int, pools map[string]int, durations func(string) time.Duration, kind ...string) *rig {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(exitCannotRun)
	}
	r := &rig{began: time.Now(), record: record, trouble: os.Getenv("TROUBLE") != "0", durations: durations, gangs: map[string]bool{}}
	if r.dir, err = os.MkdirTemp("", "rig-2-"); err != nil {
		r.cannotRun("%v", err)
	}
	time.AfterFunc(runDeadline, func() { r.cannotRun("not finished after %v", runDeadline) })
	r.note("trouble: %v", r.trouble)
	r.platform = r.newPlatform(pools)
	for _, m := range r.platform.machines {
		if len(kind) > 0 && slices.Contains(kind[1:], m.name) {
			m.kind = kind[0]
		}
	}
	r.openAdvisor()
	second := rand.IntN(200) + 20 // byte of the processes' addresses
	var ips []string
	add := func(list *[]*process, role string, kind, n int) {
		ip := fmt.Sprintf("127.%d.%d.%d", second, kind, n+1)
		ips = append(ips, ip)
		*list = append(*list, &process{rig: r, role: role, name: fmt.Sprintf("%s-%d", role, n+1), ip: ip, bootstrap: true})
	}
	for n := range controls {
		add(&r.controls, "control", 1, n)
	}
	for n := range entries {
		add(&r.entries, "entry", 2, n)
	}
	if r.basePort = freeBase(ips); r.basePort == 0 {
		r.cannotRun("no free ports")
	}
	for _, p := range slices.Concat(r.controls, r.entries) {
		p.basePort = r.basePort
		p.start()
	}
	for _, m := range r.platform.machines {
		r.platform.bringUp(m)
	}
	return r
}

func (p *process) settings() string {
	seeds := []string{}
	for _, c := range p.rig.controls[:min(3, len(p.rig.controls))] {
		seeds = append(seeds, c.address(portControl))
	}
	class, serves := "core", "control_plane"
	listen := map[string]string{"control-plane": p.address(portControl), "readiness": p.address(portReadiness)}
	if p.role == "entry" {
		class, serves = "frontend", "frontend"
		listen = map[string]string{"frontend": p.address(portFrontend), "readiness": p.address(portReadiness)}
	}
	s := map[string]any{
		"node-name": p.name, "role": p.role, "machine-class": class, "serves": []string{serves}, "ip-address": p.ip, "zone": "z-1", "region": "g-1",
		"zones": map[string]string{"z-1": "g-1"}, "listen-addresses": listen, "internal-port-range": []int{p.basePort + portInternal, p.basePort + portInternalLast},
		"seed-nodes": seeds, "bootstrap": p.bootstrap, "counts-toward-tolerance": p.role == "control",
		"limits":         map[string]any{"cpu-share": 0.56, "cpu-cores": 1, "memory-mb": 280, "max-file-descriptors": 4096, "link-bandwidth-mbps": 200.0, "disk-mb": 128},
		"data-directory": filepath.Join(p.rig.dir, p.name), "discovery": "registration", "entry": "virtual_ip", "heartbeat-interval-ms": reportInterval.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seed-lag-s": 3, "reuse-after-s": 2, "contact-timeout-ms": 3000, "ack-timeout-ms": 4000, "catch-up-s": 4, "drain-timeout-ms": 2000,
			"grace-period-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-extension-ms": 5000, "recovery-s": 12,
			"max-hold-ms": maxHold.Milliseconds(), "stop-timeout-ms": 400, "gang-timeout-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
			"finish_s": 14, "status_s": 120, "remote-factor": 3, "checkpoint-interval-s": 1, "restore-ms": 100, "notice-ms": 4500, "migration-s": 1.5,
			"maintenance-s": 2, "fencing-enforced": false, "lease-duration-ms": 3000, "thaw-slack-ms": 300, "pacing-ms": 100, "impact-ms": 4000},
		"config_mode": "highest", "commands": "push", "advisor": p.rig.advisor,
		"cloud": map[string]any{"address": p.rig.platform.address, "rate-per-s": 64.0, "duties": []string{}, "duty-per-s": 64.0},
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		p.rig.cannotRun("%v", err)
	}
	return string(data)
}

func (p *process) start() {
	path := filepath.Join(p.rig.dir, p.name+".json")
	if err := os.WriteFile(path, []byte(p.settings()), 0o600); err != nil {
		p.rig.cannotRun("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(p.rig.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.rig.cannotRun("%v", err)
	}
	p.command = exec.Command(program, p.role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MARJORAMTILLER_NODE_FILE=" + path}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		p.rig.cannotRun("start %s: %v", p.name, err)
	}
	exited := make(chan struct{})
	p.log, p.exited, p.bootstrap = log, exited, false
	command := p.command
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	p.rig.note("%s starts (%s)", p.name, p.ip)
}

func (p *process) kill() {
	if p.command == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Kill()
	<-p.exited
}

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 20 * time.Second},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

// call sends one request and follows redirects twice. The code is 0 if no answer came.
func (r *rig) call(method, address, host, path, body string, timeout time.Duration) (code int, answer string) {
	url := "http://" + address + path
	for range 3 {
		req, err := http.NewRequest(method, url, strings.NewReader(body))
		if err != nil {
			return 0, err.Error()
		}
		if host != "" {
			req.Host = host
		}
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
		client := *httpClient
		client.Timeout = timeout
		resp, err := client.Do(req)
		if err != nil {
			return 0, err.Error()
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return 0, err.Error()
		}
		if resp.StatusCode != http.StatusTemporaryRedirect {
			return resp.StatusCode, string(data)
		}
		url = resp.Header.Get("Location")
	}
	return 0, "too many redirects"
}

// operate sends an operator's order to one control process after the other until it is
// confirmed.
func (r *rig) operate(method, path, body string, patience time.Duration) {
	until := time.Now().Add(patience)
	for n := 0; time.Now().Before(until); n++ {
		c := r.controls[n%len(r.controls)]
		code, answer := r.call(method, c.address(portControl), "", path, body, time.Second)
		if code == http.StatusOK {
			r.note("operator: %s %s confirmed by %s", method, path, c.name)
			return
		}
		if code/100 == 4 && code != 408 && code != 429 {
			r.cannotRun("%s %s: %d %s", method, path, code, answer)
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.cannotRun("%s %s was not confirmed", method, path)
}

const clientHost = "jobs.example"

// route returns a route of the configuration, whose prefix is /NAME/.
func route(name, service string, more string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"path-prefix":"/%s/","kind":"non_idempotent","timeout-ms":3000,"target-latency-ms":600,"priority":0,"service":%q,"max-attempts":3,"stretch-factor":1.6%s}`,
		name, clientHost, name, service, more)
}

// configure sends a configuration with the routes.
func (r *rig) configure(routes ...string) {
	r.version += 3
	var services []string
	pools := map[string]bool{}
	for _, m := range r.platform.machines {
		if !pools[m.pool] {
			pools[m.pool] = true
			services = append(services, fmt.Sprintf(`{"name":%q,"health-path":"/health","max-connections":64,"protocol":"h1","tls":false,"admission-check":false,"standby":false}`, m.pool))
		}
	}
	body := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`,
		r.version, strings.Join(routes, ","), strings.Join(services, ","))
	r.operate(http.MethodPut, "/configuration", body, 20*time.Second)
}

// request sends a client's request to the entries in turn until one gives a final answer.
func (r *rig) request(method, path, body string) (code int, answer string) {
	for n := range 5 {
		e := r.entries[n%len(r.entries)]
		code, answer = r.call(method, e.address(portFrontend), clientHost, path, body, 3*time.Second)
		r.note("client: %s %s at %s: %d %s", method, path, e.name, code, strings.TrimSpace(answer))
		if code == 200 || code == 410 || code == 404 || code == 400 {
			return code, answer
		}
		time.Sleep(300 * time.Millisecond)
	}
	return code, answer
}

// gangBroken returns when another member of a run's gang ended other than done, the zero time
// if none did.
func (r *rig) gangBroken(x *run) (at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	job := jobOf(x.task)
	if !r.gangs[job] {
		return at
	}
	for _, other := range r.runs {
		if other != x && jobOf(other.task) == job && other.number == x.number && other.how != "" && other.how != "done" && (at.IsZero() || other.to.Before(at)) {
			at = other.to
		}
	}
	return at
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in and returns its id.
func (r *rig) submit(queue, steps string) (id string, accepted time.Time) {
	id = newID()
	code, answer := r.request(http.MethodPost, "/"+queue+"/"+id, fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, "spec of "+id, steps))
	if code != http.StatusOK {
		r.cannotRun("job %s was not accepted: %d %s", id, code, answer)
	}
	return id, time.Now()
}

// eventually waits until a condition holds.
func (r *rig) eventually(what string, patience time.Duration, condition func() bool) {
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	r.cannotRun("%s: not within %v", what, patience)
}

// runsOf returns copies of the runs of a job.
func (r *rig) runsOf(job string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []run
	for _, x := range r.runs {
		if jobOf(x.task) == job {
			list = append(list, *x)
		}
	}
	return list
}

// runningOf returns the executors on which tasks of a job are at work, by task.
func (r *rig) runningOf(job string) map[string]string {
	at := map[string]string{}
	for _, x := range r.runsOf(job) {
		if x.how == "" {
			at[x.task] = x.worker
		}
	}
	return at
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// cases are the reviews' scripts by name.
var cases = map[string]func(record string){
	"wave":     waveCase,
	"pending":  pendingCase,
	"gang":     gangCase,
	"reserved": reservedCase,
	"late":     lateCase,
	"one":      oneCase,
	"advisor":  advisorCase,
	"silent":   silentCase,
}

func main() {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Println("usage: rig-2 -record FILE CASE; cases:", sortedKeys(cases))
		os.Exit(exitCannotRun)
	}
	play(*record)
}
