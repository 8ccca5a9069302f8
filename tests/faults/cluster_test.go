package faults

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	api "marjoramtiller.example/marjoramtiller/process/platform"
	"marjoramtiller.example/marjoramtiller/standin/platform"
	"marjoramtiller.example/marjoramtiller/standin/relay"
)

const (
	controlCount = 3
	entryCount   = 6
	ledgerGroups = 2
)

// daemon is a control or entry process with the addresses that it listens on.
type daemon struct {
	*process
	peers, operators, observe, callers, announcements string
	data                                              string
	controlRelays                                     map[string]*relay.Relay // relays to the control processes, by process name
}

// cluster runs 3 control and 6 entry processes. Each process reaches each control
// process through a separate relay, so that a test can block one pair alone.
type cluster struct {
	t              *testing.T
	folder         string
	voters         []string // voters at the first start
	controls       []*daemon
	replaced       []*daemon // initial voters that were replaced; the settings still name them
	entries        []*daemon
	platform       *platform.Platform
	platformServer *httptest.Server
	operatorClient *http.Client // short time limit: a frozen process does not answer
	callerClient   *http.Client
	lastRequestID  int // number in the latest request ID
}

// newCluster starts the processes, applies the configuration of the fleet and
// waits until it is in force.
func newCluster(t *testing.T, f fleetSpec) *cluster {
	t.Helper()
	started := time.Now()
	c := &cluster{t: t, folder: t.TempDir(), operatorClient: newClient(3 * time.Second), callerClient: newClient(waitLimit)}
	c.platform = platform.New(platform.Options{Seed: 1, Now: func() time.Duration { return time.Since(started) }, BootTime: time.Second}, f.workers())
	c.platformServer = httptest.NewServer(c.platform.Handler())
	t.Cleanup(c.platformServer.Close)
	for i := range controlCount {
		c.voters = append(c.voters, fmt.Sprintf("control-%d", i+1))
		c.controls = append(c.controls, c.newControl(c.voters[i]))
	}
	for i := range entryCount {
		c.entries = append(c.entries, c.newEntry(fmt.Sprintf("entry-%d", i+1)))
	}
	for _, d := range c.daemons() {
		c.writeSettings(d)
		d.start()
	}
	c.mustConfigure(f.changes()...)
	c.waitInForce()
	return c
}

// newClient returns a client without idle connections, so that the transport never
// retries a request by itself.
func newClient(limit time.Duration) *http.Client {
	return &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
}

func (c *cluster) newControl(name string) *daemon {
	d := c.newDaemon(name, "marjoramtiller-control")
	d.peers, d.operators = freeAddress(c.t), freeAddress(c.t)
	d.data = filepath.Join(c.folder, name)
	if err := os.Mkdir(d.data, 0o700); err != nil {
		c.t.Fatal(err)
	}
	return d
}

func (c *cluster) newEntry(name string) *daemon {
	d := c.newDaemon(name, "marjoramtiller-entry")
	d.peers, d.callers, d.announcements = freeAddress(c.t), freeAddress(c.t), freeAddress(c.t)
	return d
}

func (c *cluster) newDaemon(name, program string) *daemon {
	done := make(chan struct{})
	close(done)
	p := &process{t: c.t, name: name, program: program, done: done,
		settings: filepath.Join(c.folder, name+".ini"), log: filepath.Join(c.folder, name+".log")}
	c.t.Cleanup(p.cleanup)
	return &daemon{process: p, observe: freeAddress(c.t), controlRelays: make(map[string]*relay.Relay)}
}

func (c *cluster) daemons() []*daemon {
	return append(append([]*daemon(nil), c.controls...), c.entries...)
}

// writeSettings writes the settings file of a daemon. The peer addresses in it are
// those of relays, one for each pair of processes.
func (c *cluster) writeSettings(d *daemon) {
	var b strings.Builder
	fmt.Fprintf(&b, "[cluster]\nname = faults\n[process]\nname = %s\nzone = z1\naddress = 127.0.0.1\n", d.name)
	fmt.Fprintf(&b, "[listeners]\npeers = %s\nobserve = %s\n", d.peers, d.observe)
	if d.operators != "" {
		fmt.Fprintf(&b, "operators = %s\n", d.operators)
	} else {
		fmt.Fprintf(&b, "callers = %s\nannouncements = %s\n", d.callers, d.announcements)
	}
	b.WriteString("[peers]\n")
	for _, to := range append(slices.Clone(c.controls), c.replaced...) {
		if to.name == d.name {
			continue
		}
		if d.controlRelays[to.name] == nil {
			d.controlRelays[to.name] = newRelay(c.t, to.peers)
		}
		fmt.Fprintf(&b, "%s = %s\n", to.name, d.controlRelays[to.name].Address())
	}
	if d.operators != "" {
		b.WriteString("[entries]\n")
		for _, e := range c.entries {
			fmt.Fprintf(&b, "%s = %s\n", e.name, e.peers)
		}
	}
	fmt.Fprintf(&b, "[control]\nledger_groups = %d\n", ledgerGroups)
	if d.operators != "" {
		fmt.Fprintf(&b, "voters = %s\ndata_folder = %s\nplatform_url = %s\n", strings.Join(c.voters, " "), d.data, c.platformServer.URL)
	}
	if err := os.WriteFile(d.settings, []byte(b.String()), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// isolate blocks, or unblocks, both directions of all relays from a daemon to
// control processes and, for a control process, of all relays to it.
func (c *cluster) isolate(d *daemon, blocked bool) {
	for _, r := range d.controlRelays {
		r.SetBlocked(blocked, blocked)
	}
	for _, other := range c.daemons() {
		if r := other.controlRelays[d.name]; r != nil {
			r.SetBlocked(blocked, blocked)
		}
	}
}

// reply is an HTTP response of the operators' interface. The status is 0 if none
// was received; the body then is the error.
type reply struct {
	status int
	body   string
}

func (c *cluster) call(d *daemon, method, path string, body any) reply {
	raw, _ := json.Marshal(body)
	req, err := http.NewRequest(method, "http://"+d.operators+path, bytes.NewReader(raw))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.operatorClient.Do(req)
	if err != nil {
		return reply{body: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{body: err.Error()}
	}
	return reply{resp.StatusCode, string(text)}
}

// callUntilDefinite sends a request to the control processes in turn until one
// returns a definite response, which is neither "nothing was done" nor "outcome unknown".
func (c *cluster) callUntilDefinite(method, path string, body any) reply {
	c.t.Helper()
	var last reply
	for limit := time.Now().Add(waitLimit); time.Now().Before(limit); {
		for _, d := range c.controls {
			last = c.call(d, method, path, body)
			if last.status != 0 && last.status < 500 {
				return last
			}
		}
		time.Sleep(pollInterval)
	}
	c.t.Fatalf("no definite response to %s %s within %v; last response: %d %s", method, path, waitLimit, last.status, last.body)
	return last
}

// configurationRequest returns a body of POST /v1/configuration.
func configurationRequest(id, operator string, base uint64, changes ...any) map[string]any {
	return map[string]any{"request_id": id, "operator": operator, "base_version": base, "changes": changes}
}

func (c *cluster) nextRequestID() string {
	c.lastRequestID++
	return fmt.Sprintf("request-%d", c.lastRequestID)
}

func (c *cluster) mustConfigure(changes ...any) {
	c.t.Helper()
	r := c.callUntilDefinite("POST", "/v1/configuration", configurationRequest(c.nextRequestID(), "planner", c.view().Version, changes...))
	if r.status != http.StatusOK {
		c.t.Fatalf("configuration change was not accepted: %d %s", r.status, r.body)
	}
}

// view is the part of GET /v1/configuration that the tests read.
type view struct {
	Version uint64 `json:"version,string"`
	Hosts   []hostView
	Pools   []struct {
		Name          string
		PromisedHosts uint32 `json:"promised_hosts"`
	}
	Waves []struct {
		Name  string
		State string
	}
	Servers []struct{ Name string }
}

type hostView struct {
	Name, Pool, Rack, State, Wave string
	MoveTo                        string `json:"move_to"`
	Epoch                         uint64 `json:"epoch,string"`
}

// view reads the configuration through the leader.
func (c *cluster) view() view {
	c.t.Helper()
	r := c.callUntilDefinite("GET", "/v1/configuration", nil)
	var v view
	if err := json.Unmarshal([]byte(r.body), &v); err != nil {
		c.t.Fatalf("decode the configuration: %v in %d %s", err, r.status, r.body)
	}
	return v
}

func (v view) host(name string) hostView {
	for _, h := range v.Hosts {
		if h.Name == name {
			return h
		}
	}
	return hostView{}
}

// waitInForce waits until the accepted version is in force everywhere.
func (c *cluster) waitInForce() {
	c.t.Helper()
	eventually(c.t, "the accepted version is in force", func() bool {
		var v struct {
			Accepted uint64 `json:"accepted"`
			InForce  uint64 `json:"in_force"`
		}
		r := c.callUntilDefinite("GET", "/v1/configuration/in-force", nil)
		return json.Unmarshal([]byte(r.body), &v) == nil && v.Accepted == v.InForce
	})
}

// newRelay opens a relay between two processes that is closed when the test ends. It
// listens and dials on the address at which the processes expect each other.
func newRelay(t *testing.T, target string) *relay.Relay {
	t.Helper()
	return openRelay(t, "127.0.0.1", target)
}

// serverRelayIP is the loopback address of all relays to servers of this test process: no
// other process listens there, so a port that a closed relay has freed refuses connections.
var serverRelayIP = fmt.Sprintf("127.78.%d.%d", os.Getpid()/250%250, 1+os.Getpid()%250)

// newServerRelay opens a relay to a server that is closed when the test ends.
func newServerRelay(t *testing.T, target string) *relay.Relay {
	t.Helper()
	return openRelay(t, serverRelayIP, target)
}

func openRelay(t *testing.T, ip, target string) *relay.Relay {
	t.Helper()
	r, err := relay.OpenAt(ip, target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// ledgerGroupNames returns the names of the ledger groups.
func ledgerGroupNames() []string {
	var names []string
	for n := range ledgerGroups {
		names = append(names, fmt.Sprintf("ledger-%d", n))
	}
	return names
}

// leader waits until a group has a leader and returns the leader's process.
func (c *cluster) leader(group string) *daemon {
	c.t.Helper()
	var found *daemon
	eventually(c.t, group+" has a leader", func() bool {
		for _, d := range c.controls {
			var dump struct {
				Groups []struct{ Group, Leader string }
			}
			r := c.call(d, "GET", "/v1/dump", nil)
			if json.Unmarshal([]byte(r.body), &dump) != nil {
				continue
			}
			for _, g := range dump.Groups {
				if g.Group == group && g.Leader == d.name {
					found = d
					return true
				}
			}
		}
		return false
	})
	return found
}

// hostSpec, poolSpec and fleetSpec describe pools and their hosts. A pool serves
// the service of the same name; the pool "spare" has no service.
type hostSpec struct{ name, pool, rack string }

type poolSpec struct {
	promised    int
	surviveRack bool
}

type fleetSpec struct {
	pools map[string]poolSpec
	hosts []hostSpec
}

// smallFleet has two pools with two hosts each and one spare host.
func smallFleet() fleetSpec {
	return fleetSpec{
		pools: map[string]poolSpec{"ledger": {promised: 1}, "accrual": {promised: 1}, "spare": {}},
		hosts: []hostSpec{{"l1", "ledger", "r1"}, {"l2", "ledger", "r2"}, {"a1", "accrual", "r1"}, {"a2", "accrual", "r2"}, {"s1", "spare", "r3"}},
	}
}

func (f fleetSpec) changes() []any {
	var out []any
	for name, p := range f.pools {
		pool := map[string]any{"name": name, "promised_hosts": p.promised, "survive_rack": p.surviveRack}
		if name == "spare" {
			pool["spare"] = true
		} else {
			pool["service"] = name
		}
		out = append(out, map[string]any{"pool": pool})
	}
	for _, h := range f.hosts {
		out = append(out, map[string]any{"host": map[string]any{"name": h.name, "pool": h.pool, "rack": h.rack, "zone": "z1", "cores": 64, "memory_gb": 256}})
	}
	return out
}

func (f fleetSpec) workers() []api.Worker {
	var out []api.Worker
	for _, h := range f.hosts {
		out = append(out, api.Worker{Name: h.name, Zone: "z1", Rack: h.rack, Cores: 64, MemoryGB: 256, Up: true})
	}
	return out
}
