// Command marjoramtiller-control is the control daemon: it votes in the
// consensus groups and, as their leader, runs maintenance and placement.
package main

import (
	"context"
	"hash/fnv"
	"os"
	"time"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/process/control"
	"marjoramtiller.example/marjoramtiller/process/daemon"
	"marjoramtiller.example/marjoramtiller/process/observe"
	"marjoramtiller.example/marjoramtiller/process/operator"
	"marjoramtiller.example/marjoramtiller/process/platform"
	"marjoramtiller.example/marjoramtiller/process/settings"
)

func main() {
	os.Exit(daemon.Control(run).Main(os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, s *settings.Control, e daemon.Environment) error {
	client, err := platform.NewClient(platform.Options{BaseURL: s.PlatformURL, CallTimeout: s.Timeouts.Call})
	if err != nil {
		return err
	}
	server, err := control.New(options(s, e, client))
	if err != nil {
		return err
	}
	stop, err := listen(s, e, server)
	if err != nil {
		server.Close()
		return err
	}
	err = server.Run(ctx)
	stop()
	return err
}

func options(s *settings.Control, e daemon.Environment, p platform.Platform) control.Options {
	return control.Options{
		Cluster: s.Cluster, Process: s.Process, Zone: s.Zone,
		PeersListen: s.PeersListener.String(), LocalIP: s.Address.String(),
		Peers: settings.PeerTable(s.Peers, s.Process), Voters: s.Voters, Entries: s.Entries,
		DataFolder: s.DataFolder, LedgerGroups: s.LedgerGroups,
		SnapshotEntries: uint64(s.SnapshotEntries),
		DrainDeadline:   s.DrainDeadline, ReturnDeadline: s.ReturnDeadline,
		Platform: p, Weights: control.Weights(s.Weights),
		Logger: e.Logger, Registry: e.Registry, Seed: seed(s.Process),
	}
}

// seed differs between processes and starts, so that their election timeouts do.
func seed(process string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(process))
	return h.Sum64() ^ uint64(time.Now().UnixNano())
}

// listen opens the operators' and the metrics listener. The function that it
// returns closes both.
func listen(s *settings.Control, e daemon.Environment, server *control.Server) (func(), error) {
	handler, err := operator.NewOperators(operator.Options{
		Control: server.Operators(), Logger: e.Logger, Titles: s.Titles,
		Timeout: s.Timeouts.Request, Now: time.Now,
	})
	if err != nil {
		return nil, err
	}
	operators, err := operator.Listen(operator.ListenOptions{
		Address: s.OperatorsListener, RequestTimeout: s.Timeouts.Request,
		IdleTimeout: s.Timeouts.Idle, Logger: e.Logger,
	}, handler)
	if err != nil {
		return nil, errors.WithMessage(err, "operators")
	}
	metrics, err := observe.Listen(observe.Options{
		Address: s.ObserveListener, Logger: e.Logger,
		Metrics: observe.MetricsHandler(e.Registry), Dump: server.Dump,
	})
	if err != nil {
		daemon.CloseAll(e.Logger, s.Timeouts.Request, operators)
		return nil, err
	}
	return func() { daemon.CloseAll(e.Logger, s.Timeouts.Request, operators, metrics) }, nil
}
