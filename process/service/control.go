package service

import (
	"context"
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/connection/inbound"
	"marjoramtiller.example/marjoramtiller/process/control"
	"marjoramtiller.example/marjoramtiller/process/daemon"
	"marjoramtiller.example/marjoramtiller/process/observe"
	"marjoramtiller.example/marjoramtiller/process/operator"
	"marjoramtiller.example/marjoramtiller/process/platform"
	"marjoramtiller.example/marjoramtiller/process/settings"
)

// returnDeadline is how long a host may be in maintenance before it counts as failed.
const returnDeadline = 30 * time.Minute

// RunControl runs the control daemon until ctx is done, then stops it gracefully.
func RunControl(ctx context.Context, s *settings.Control, env daemon.Environment) error {
	client, err := platform.NewClient(platform.Options{BaseURL: s.PlatformURL})
	if err != nil {
		return err
	}
	defer client.Close()
	registry := observe.NewRegistry()
	server, err := control.New(controlOptions(s, env.Logger, registry, client))
	if err != nil {
		return err
	}
	stop, err := listenControl(s, env.Logger, registry, server)
	if err != nil {
		server.Close()
		return err
	}
	defer stop()
	return server.Run(ctx)
}

func controlOptions(s *settings.Control, log zerolog.Logger, registry prometheus.Registerer, client platform.Platform) control.Options {
	peers := make(map[string]string)
	for _, list := range [][]settings.Peer{s.Peers, s.Entries} {
		for _, p := range list {
			if p.Name != s.Process {
				peers[p.Name] = p.Address.String()
			}
		}
	}
	var entries []string
	for _, p := range s.Entries {
		entries = append(entries, p.Name)
	}
	return control.Options{
		Cluster:         s.Cluster,
		Process:         s.Process,
		Zone:            s.Zone,
		PeersListen:     s.PeersListener.String(),
		LocalIP:         s.Address.String(),
		Peers:           peers,
		Voters:          s.Voters,
		Entries:         entries,
		DataFolder:      s.DataFolder,
		LedgerGroups:    s.LedgerGroups,
		SnapshotEntries: uint64(s.SnapshotEntries),
		DiskBytes:       int64(s.DiskMB) << 20,
		DrainDeadline:   s.DrainDeadline,
		ReturnDeadline:  returnDeadline,
		Platform:        client,
		Logger:          log,
		Registry:        registry,
		Seed:            processSeed(s.Process),
	}
}

// processSeed derives a random seed from the process name, so that processes draw
// different election timeouts.
func processSeed(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}

// listenControl starts the listeners for operators and for monitoring. The
// returned function closes them.
func listenControl(s *settings.Control, log zerolog.Logger, registry *prometheus.Registry, server *control.Server) (stop func(), err error) {
	handler, err := operator.NewOperatorHandler(operator.Options{
		Control: server.Operators(),
		Logger:  log,
		Titles:  s.Titles,
		Timeout: s.Timeouts.Request,
		Now:     time.Now,
	})
	if err != nil {
		return nil, err
	}
	limits := newLimits(s.Limits, registry, log)
	operators, err := operator.Listen(listenOptions(s.OperatorsListener, s.Timeouts, s.Limits, limits, log), handler)
	if err != nil {
		return nil, err
	}
	observer, err := observe.Listen(observe.Options{
		Address: s.ObserveListener,
		Metrics: observe.MetricsHandler(registry),
		Dump:    server.Dump,
		Health:  func() error { return nil },
		Logger:  log,
		Limits:  limits, Connections: s.ListenerConnections,
	})
	if err != nil {
		closeServers(s.Timeouts, operators)
		return nil, errors.WithMessage(err, "control")
	}
	return func() { closeServers(s.Timeouts, operators, observer) }, nil
}

func listenOptions(address netip.AddrPort, t settings.Timeouts, l settings.Limits, limits *inbound.Limits, log zerolog.Logger) operator.ListenOptions {
	return operator.ListenOptions{Address: address, RequestTimeout: t.Request, IdleTimeout: t.Idle,
		Limits: limits, Connections: l.ListenerConnections, Logger: log}
}

// newLimits returns the limits of a daemon's listeners for operators, announcements and
// monitoring, and registers their metrics.
func newLimits(l settings.Limits, registry *prometheus.Registry, log zerolog.Logger) *inbound.Limits {
	limits := inbound.New(inbound.Options{Name: "requests", BudgetBytes: int64(l.RequestMemoryBytes), Logger: log})
	registry.MustRegister(limits.Collectors()...)
	return limits
}

type closer interface {
	Close(ctx context.Context) error
}

// closeServers closes servers, for at most the request timeout in total.
func closeServers(t settings.Timeouts, servers ...closer) {
	ctx, cancel := context.WithTimeout(context.Background(), t.Request)
	defer cancel()
	for _, s := range servers {
		_ = s.Close(ctx)
	}
}
