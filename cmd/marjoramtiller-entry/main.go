// Command marjoramtiller-entry is the entry daemon: it accepts callers'
// requests and forwards them to backend servers.
package main

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/connection/wire"
	"marjoramtiller.example/marjoramtiller/process/daemon"
	"marjoramtiller.example/marjoramtiller/process/entry"
	"marjoramtiller.example/marjoramtiller/process/observe"
	"marjoramtiller.example/marjoramtiller/process/operator"
	"marjoramtiller.example/marjoramtiller/process/settings"
	"marjoramtiller.example/marjoramtiller/request/key"
)

func main() {
	os.Exit(daemon.Entry(run).Main(os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, s *settings.Entry, e daemon.Environment) error {
	boot := uuid.NewString()
	pool := wire.NewPool(wire.Options{
		Cluster: s.Cluster, Process: s.Process, BootID: boot,
		Peers: settings.PeerTable(s.Peers, s.Process), LocalIP: s.Address.String(), Logger: e.Logger,
	})
	defer func() { _ = pool.Close() }()
	service, err := entry.New(options(s, e, boot, entry.NewControl(pool, peerNames(s))))
	if err != nil {
		return err
	}
	e.Registry.MustRegister(entry.NewCollector(service))
	stop, err := listen(s, e, service)
	if err != nil {
		return err
	}
	err = service.Run(ctx)
	stop()
	return err
}

func peerNames(s *settings.Entry) []string {
	var names []string
	for _, p := range s.Peers {
		names = append(names, p.Name)
	}
	return slices.DeleteFunc(names, func(name string) bool { return name == s.Process })
}

func options(s *settings.Entry, e daemon.Environment, boot string, c entry.Control) entry.Options {
	groups := uint32(s.LedgerGroups)
	return entry.Options{
		Name: s.Process, BootID: boot, Address: s.CallersListener.String(), Control: c,
		LedgerGroups:        groups,
		KeyGroup:            func(k string) uint32 { return keyGroup(k, groups) },
		CheckKey:            checkKey,
		MaxQueuedPerCaller:  s.QueuePerCaller,
		MaxQueuedPerService: s.QueuePerService,
		ShutdownTimeout:     s.Timeouts.Shutdown,
		Log:                 e.Logger,
	}
}

// checkKey returns the normal form of an Idempotency-Key within its age window.
func checkKey(raw string) (string, error) {
	k, err := key.Parse(raw)
	if err != nil {
		return "", err
	}
	if err := k.CheckAge(time.Now().UnixMilli()); err != nil {
		return "", err
	}
	return k.String(), nil
}

// keyGroup returns the ledger group of a key in its normal form.
func keyGroup(normal string, groups uint32) uint32 {
	k, err := key.Parse(normal)
	if err != nil {
		return 0
	}
	return uint32(k.Group(int(groups)))
}

// listen opens the announcement and the metrics listener. The function that it
// returns closes both.
func listen(s *settings.Entry, e daemon.Environment, service *entry.Entry) (func(), error) {
	handler, err := operator.NewAnnouncements(service, e.Logger)
	if err != nil {
		return nil, err
	}
	announcements, err := operator.Listen(operator.ListenOptions{
		Address: s.AnnouncementsListener, RequestTimeout: s.Timeouts.Request,
		IdleTimeout: s.Timeouts.Idle, Logger: e.Logger,
	}, handler)
	if err != nil {
		return nil, errors.WithMessage(err, "announcements")
	}
	metrics, err := observe.Listen(observe.Options{
		Address: s.ObserveListener, Logger: e.Logger,
		Metrics: observe.MetricsHandler(e.Registry),
		Dump:    func(context.Context) ([]byte, error) { return json.Marshal(service.Dump()) },
	})
	if err != nil {
		daemon.CloseAll(e.Logger, s.Timeouts.Request, announcements)
		return nil, err
	}
	return func() { daemon.CloseAll(e.Logger, s.Timeouts.Request, announcements, metrics) }, nil
}
