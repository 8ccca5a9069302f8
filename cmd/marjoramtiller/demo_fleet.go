package main

import (
	"context"
	"fmt"
	"net/netip"
	"sync"

	"github.com/pkg/errors"

	api "marjoramtiller.example/marjoramtiller/process/platform"
	"marjoramtiller.example/marjoramtiller/standin/backend"
	"marjoramtiller.example/marjoramtiller/standin/platform"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/sheet"
)

// Capacity of each backend server; both users have the same.
const (
	demoSlots       = 8
	demoConnections = 64
)

// demoWorkers returns one worker of the platform for each host of the sheet.
func demoWorkers(s *sheet.Sheet) []api.Worker {
	var out []api.Worker
	for _, h := range s.Hosts {
		out = append(out, api.Worker{
			Name: h.GetName(), Region: h.GetRegion(), Zone: h.GetZone(), Rack: h.GetRack(),
			Cores: h.GetCores(), MemoryGB: h.GetMemoryGb(), Accelerators: h.GetAccelerators(), Up: true,
		})
	}
	return out
}

// demoBackends runs one backend server on each host whose pool has a service and
// whose worker is up, as the agents of the platform would do.
type demoBackends struct {
	user       demoUser
	announceTo []netip.AddrPort
	platform   *platform.Platform
	mu         sync.Mutex
	running    map[string]*demoBackend // by host
	finished   []*backend.Server
	boots      int
	startErrs  []error
}

type demoBackend struct {
	service string
	bootID  string // of the worker
	server  *backend.Server
	cancel  context.CancelFunc
	done    chan error
}

func newDemoBackends(u demoUser, announce []netip.AddrPort, p *platform.Platform) *demoBackends {
	return &demoBackends{user: u, announceTo: announce, platform: p, running: make(map[string]*demoBackend)}
}

// reconcile starts and stops backend servers so that they match the configuration.
func (b *demoBackends) reconcile(ctx context.Context, s *fleetpb.Snapshot) {
	services := make(map[string]string)
	for _, p := range s.GetPools() {
		services[p.GetName()] = p.GetService()
	}
	workers, err := b.platform.Workers(ctx)
	if err != nil {
		return
	}
	up := make(map[string]string)
	for _, w := range workers {
		if w.Up {
			up[w.Name] = "boot-" + w.BootID
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range s.GetHosts() {
		r := b.running[h.GetName()]
		service := services[h.GetPool()]
		boot := up[h.GetName()]
		if r != nil && (boot != r.bootID || service != r.service) {
			b.stopBackend(h.GetName())
			r = nil
		}
		if r == nil && boot != "" && service != "" {
			b.startBackend(h.GetName(), service, boot)
		}
	}
}

func (b *demoBackends) startBackend(host, service, workerBoot string) {
	b.boots++
	s, err := backend.Start(backend.Options{
		Name: "server-" + host, Host: host, Service: service, Address: "127.0.0.1:0",
		Slots: demoSlots, Connections: demoConnections,
		BootID:      fmt.Sprintf("%s-%d", workerBoot, b.boots),
		AnnounceURL: fmt.Sprintf("http://%s/v1/announcements", b.announceTo[b.boots%len(b.announceTo)]),
		Seed:        b.user.seed<<32 | uint64(b.boots),
		Hold:        b.user.hold[service],
	})
	if err != nil {
		b.startErrs = append(b.startErrs, err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &demoBackend{service: service, bootID: workerBoot, server: s, cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- s.Run(ctx) }()
	b.running[host] = r
}

func (b *demoBackends) stopBackend(host string) {
	r := b.running[host]
	r.cancel()
	<-r.done
	b.finished = append(b.finished, r.server)
	delete(b.running, host)
}

func (b *demoBackends) stopAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for host := range b.running {
		b.stopBackend(host)
	}
}

func (b *demoBackends) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running)
}

// servers returns the running and the stopped servers.
func (b *demoBackends) servers() []*backend.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := append([]*backend.Server(nil), b.finished...)
	for _, r := range b.running {
		out = append(out, r.server)
	}
	return out
}

// runs returns the number of executions of each idempotency key on all servers.
func (b *demoBackends) runs() map[string]int {
	out := make(map[string]int)
	for _, s := range b.servers() {
		for key, n := range s.Runs() {
			out[key] += n
		}
	}
	return out
}

func (b *demoBackends) requestsOverSlots() int {
	n := 0
	for _, s := range b.servers() {
		n += s.Report().OverSlots
	}
	return n
}

// demoWatch polls the configuration, reconciles the backend servers with it and
// checks at each poll that every pool has its promised hosts.
type demoWatch struct {
	client   *client
	backends *demoBackends

	mu            sync.Mutex
	last          *fleetpb.Snapshot
	violated      map[string]bool
	reportedHosts int
}

func newDemoWatch(c *client, b *demoBackends) *demoWatch {
	return &demoWatch{client: c, backends: b, violated: make(map[string]bool)}
}

func (w *demoWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		s := &fleetpb.Snapshot{}
		if err := w.client.get(ctx, "/v1/configuration", s); err == nil {
			w.check(s)
			w.backends.reconcile(ctx, s)
			w.mu.Lock()
			w.last = s
			w.mu.Unlock()
		}
		pause(ctx, demoPoll)
	}
}

// check records every pool that has fewer active hosts than promised.
func (w *demoWatch) check(s *fleetpb.Snapshot) {
	active := make(map[string]uint32)
	for _, h := range s.GetHosts() {
		if h.GetState() == fleetpb.HostState_HOST_STATE_ACTIVE {
			active[h.GetPool()]++
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range s.GetPools() {
		if active[p.GetName()] < p.GetPromisedHosts() {
			w.violated[fmt.Sprintf("pool %s was below its promised %d hosts", p.GetName(), p.GetPromisedHosts())] = true
		}
	}
}

func (w *demoWatch) violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for v := range w.violated {
		out = append(out, v)
	}
	return out
}

// waitUntil polls the latest configuration until condition holds or ctx ends.
func (w *demoWatch) waitUntil(ctx context.Context, what string, condition func(s *fleetpb.Snapshot) bool) error {
	for ctx.Err() == nil {
		w.mu.Lock()
		s := w.last
		w.mu.Unlock()
		if s != nil && condition(s) {
			return nil
		}
		pause(ctx, demoPoll)
	}
	return errors.Errorf("the demo timed out while waiting for this: %s; hosts not active: %s", what, w.inactiveHosts())
}

// inactiveHosts lists the hosts that are not active, with their states.
func (w *demoWatch) inactiveHosts() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := ""
	for _, h := range w.last.GetHosts() {
		if h.GetState() != fleetpb.HostState_HOST_STATE_ACTIVE {
			text += fmt.Sprintf("%s %s (wave %q, to %q); ", h.GetName(), h.GetState(), h.GetWave(), h.GetMoveTo())
		}
	}
	return text
}

// poolsServe reports whether every active host of a serving pool has a
// registered backend server.
func (w *demoWatch) poolsServe(s *fleetpb.Snapshot) bool {
	services := make(map[string]string)
	for _, p := range s.GetPools() {
		services[p.GetName()] = p.GetService()
	}
	registered := make(map[string]bool)
	for _, b := range s.GetServers() {
		registered[b.GetHost()] = true
	}
	for _, h := range s.GetHosts() {
		if services[h.GetPool()] != "" && h.GetState() == fleetpb.HostState_HOST_STATE_ACTIVE && !registered[h.GetName()] {
			return false
		}
	}
	return len(s.GetHosts()) > 0
}

// printProgress prints the number of maintained hosts when it has changed.
func (w *demoWatch) printProgress(wave *fleetpb.Wave, printf func(format string, args ...any)) {
	done := len(wave.GetDoneHosts())
	if done != w.reportedHosts {
		w.reportedHosts = done
		printf("wave: %d of %d hosts maintained", done, len(wave.GetHosts()))
	}
}
