// Package embedded runs all control and entry processes of a cluster inside
// one operating system process, on loopback addresses. The demo and the tests
// use it; a deployment runs the daemons on separate hosts.
package embedded

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/connection/loopback"
	"marjoramtiller.example/marjoramtiller/process/daemon"
	"marjoramtiller.example/marjoramtiller/process/service"
	"marjoramtiller.example/marjoramtiller/process/settings"
)

// Options are the parameters of a Cluster.
type Options struct {
	Name          string
	Zones         []string // availability zones, assigned round robin
	Controls      int
	Entries       int
	LedgerGroups  int
	DataFolder    string // each control process creates its own folder in it
	PlatformURL   string
	DrainDeadline time.Duration
	Titles        map[string]string // column titles of reports, by column name
	Logger        zerolog.Logger
}

// Cluster is a running cluster.
type Cluster struct {
	controls []*process[settings.Control]
	entries  []*process[settings.Entry]
}

// process runs a daemon's main function in a goroutine; it can be stopped and
// started again.
type process[S any] struct {
	settings *S
	run      func(ctx context.Context, s *S, e daemon.Environment) error
	log      zerolog.Logger

	mu     sync.Mutex
	cancel context.CancelFunc
	done   chan error
}

func (p *process[S]) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	p.cancel, p.done = cancel, done
	go func() {
		err := p.run(ctx, p.settings, daemon.Environment{Logger: p.log})
		if err != nil {
			p.log.Error().Err(err).Msg("stopped with an error")
		}
		done <- err
	}()
}

// stop shuts the process down gracefully and returns its error.
func (p *process[S]) stop() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel == nil {
		return nil
	}
	p.cancel()
	err := <-p.done
	p.cancel, p.done = nil, nil
	return err
}

// Number of listeners of each process; Start reserves one address for each.
const (
	controlListeners = 3
	entryListeners   = 4
)

// Start starts a cluster. It returns before a leader is elected.
func Start(o Options) (*Cluster, error) {
	ports, err := loopback.Reserve(o.Controls*controlListeners + o.Entries*entryListeners)
	if err != nil {
		return nil, err
	}
	c := &Cluster{}
	var controls, entries []settings.Peer
	var voters []string
	for i := range o.Controls {
		name := fmt.Sprintf("control-%d", i+1)
		controls = append(controls, settings.Peer{Name: name, Address: ports[i*controlListeners]})
		voters = append(voters, name)
	}
	entryPorts := ports[o.Controls*controlListeners:]
	for i := range o.Entries {
		entries = append(entries, settings.Peer{Name: fmt.Sprintf("entry-%d", i+1), Address: entryPorts[i*entryListeners]})
	}
	for i := range o.Controls {
		s := controlSettings(o, i, ports[i*controlListeners:])
		s.Peers, s.Entries, s.Voters = controls, entries, voters
		c.controls = append(c.controls, &process[settings.Control]{settings: s, run: service.RunControl, log: processLogger(o.Logger, s.Process)})
	}
	for i := range o.Entries {
		s := entrySettings(o, i, entryPorts[i*entryListeners:])
		s.Peers = controls
		c.entries = append(c.entries, &process[settings.Entry]{settings: s, run: service.RunEntry, log: processLogger(o.Logger, s.Process)})
	}
	for _, p := range c.controls {
		p.start()
	}
	for _, p := range c.entries {
		p.start()
	}
	return c, nil
}

func processLogger(log zerolog.Logger, process string) zerolog.Logger {
	return log.With().Str("process", process).Logger()
}

func timeouts() settings.Timeouts {
	return settings.Timeouts{Call: 2 * time.Second, Request: 10 * time.Second, Idle: time.Minute, Shutdown: 30 * time.Second}
}

func identity(o Options, name string, i int) settings.Identity {
	return settings.Identity{Cluster: o.Name, Process: name, Zone: o.Zones[i%len(o.Zones)], Address: loopback.Address}
}

func controlSettings(o Options, i int, ports []netip.AddrPort) *settings.Control {
	name := fmt.Sprintf("control-%d", i+1)
	return &settings.Control{
		Identity:          identity(o, name, i),
		PeersListener:     ports[0],
		OperatorsListener: ports[1],
		ObserveListener:   ports[2],
		DataFolder:        filepath.Join(o.DataFolder, name),
		LedgerGroups:      o.LedgerGroups,
		PlatformURL:       o.PlatformURL,
		DrainDeadline:     o.DrainDeadline,
		SnapshotEntries:   512,
		Timeouts:          timeouts(),
		Titles:            o.Titles,
	}
}

func entrySettings(o Options, i int, ports []netip.AddrPort) *settings.Entry {
	return &settings.Entry{
		Identity:              identity(o, fmt.Sprintf("entry-%d", i+1), i),
		PeersListener:         ports[0],
		CallersListener:       ports[1],
		AnnouncementsListener: ports[2],
		ObserveListener:       ports[3],
		LedgerGroups:          o.LedgerGroups,
		Timeouts:              timeouts(),
		QueuePerCaller:        256,
		QueuePerService:       4096,
		ShortWorkPercent:      25,
		RetryBudgetPercent:    10,
		DefaultDeadline:       10 * time.Second,
		AnswerTimeout:         10 * time.Minute,
		HealthGrace:           3 * time.Second,
		BodyBytes:             1 << 20,
		MemoryBytes:           64 << 20,
		Connections:           4096,
	}
}

// Operators returns the addresses of the control processes' listeners for operators.
func (c *Cluster) Operators() []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range c.controls {
		out = append(out, p.settings.OperatorsListener)
	}
	return out
}

// Callers returns the addresses of the entries' listeners for callers.
func (c *Cluster) Callers() []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range c.entries {
		out = append(out, p.settings.CallersListener)
	}
	return out
}

// Announcements returns the addresses of the entries' listeners to which backend
// servers announce themselves.
func (c *Cluster) Announcements() []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range c.entries {
		out = append(out, p.settings.AnnouncementsListener)
	}
	return out
}

// RestartControl stops a control process gracefully and starts it again with the
// same data folder.
func (c *Cluster) RestartControl(i int) error {
	err := c.controls[i].stop()
	c.controls[i].start()
	return err
}

// RestartEntry stops an entry process gracefully and starts it again.
func (c *Cluster) RestartEntry(i int) error {
	err := c.entries[i].stop()
	c.entries[i].start()
	return err
}

// Close stops all processes gracefully, the entries before the control processes,
// and returns the first error.
func (c *Cluster) Close() error {
	errs := make([]error, len(c.entries)+len(c.controls))
	var wg sync.WaitGroup
	for i, p := range c.entries {
		wg.Go(func() { errs[i] = p.stop() })
	}
	wg.Wait()
	for i, p := range c.controls {
		wg.Go(func() { errs[len(c.entries)+i] = p.stop() })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
