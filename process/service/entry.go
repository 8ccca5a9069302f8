package service

import (
	"context"
	"encoding/json"
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

// RunEntry runs the entry daemon until ctx is done, then stops it gracefully.
func RunEntry(ctx context.Context, s *settings.Entry, env daemon.Environment) error {
	bootID := uuid.NewString()
	peers := make(map[string]string)
	var names []string
	for _, p := range s.Peers {
		peers[p.Name] = p.Address.String()
		names = append(names, p.Name)
	}
	pool := wire.NewPool(wire.Options{
		Cluster: s.Cluster, Process: s.Process, BootID: bootID,
		Peers: peers, LocalIP: s.Address.String(), Logger: env.Logger,
	})
	defer func() { _ = pool.Close() }()
	server, err := entry.New(entryOptions(s, env, bootID, entry.NewControlClient(pool, names)))
	if err != nil {
		return err
	}
	stop, err := listenEntry(s, env, server)
	if err != nil {
		return err
	}
	defer stop()
	return server.Run(ctx)
}

func entryOptions(s *settings.Entry, env daemon.Environment, bootID string, c entry.Control) entry.Options {
	return entry.Options{
		Name:                s.Process,
		BootID:              bootID,
		Address:             s.CallersListener.String(),
		Control:             c,
		KeyGroup:            keyGroup(s.LedgerGroups),
		LedgerGroups:        uint32(s.LedgerGroups),
		CheckKey:            checkKey,
		MaxQueuedPerCaller:  s.QueuePerCaller,
		MaxQueuedPerService: s.QueuePerService,
		ShortSlotsPercent:   s.ShortWorkPercent,
		DefaultDeadline:     s.DefaultDeadline,
		RetryPercent:        noneIfZero(s.RetryBudgetPercent),
		MaxBodyBytes:        int64(s.BodyBytes),
		MemoryBytes:         int64(s.MemoryBytes),
		MaxConnections:      s.Connections,
		AnswerTimeout:       s.AnswerTimeout,
		HealthGrace:         noneIfZero(s.HealthGrace),
		ShutdownTimeout:     s.Timeouts.Shutdown,
		Log:                 env.Logger,
	}
}

// noneIfZero replaces a setting of zero, which disables a feature, by -1. In
// entry.Options a negative value disables it, as zero selects the default.
func noneIfZero[T int | time.Duration](v T) T {
	if v == 0 {
		return -1
	}
	return v
}

// checkKey validates the idempotency key in a header, including its age, and
// returns its canonical text.
func checkKey(header string) (string, error) {
	k, err := key.Parse(header)
	if err != nil {
		return "", err
	}
	if err := k.CheckAge(time.Now().UnixMilli()); err != nil {
		return "", err
	}
	return k.String(), nil
}

// keyGroup returns a function that maps the text of a key to its ledger group, a
// number below groups. Text that is not a valid key maps to 0.
func keyGroup(groups int) func(text string) uint32 {
	return func(text string) uint32 {
		k, err := key.Parse(text)
		if err != nil {
			return 0
		}
		return uint32(k.Group(groups))
	}
}

// listenEntry starts the listeners for announcements and for monitoring. The
// returned function closes them.
func listenEntry(s *settings.Entry, env daemon.Environment, server *entry.Entry) (stop func(), err error) {
	handler, err := operator.NewAnnouncementHandler(server, env.Logger)
	if err != nil {
		return nil, err
	}
	registry := observe.NewRegistry()
	limits := newLimits(s.Limits, registry, env.Logger)
	announcements, err := operator.Listen(listenOptions(s.AnnouncementsListener, s.Timeouts, s.Limits, limits, env.Logger), handler)
	if err != nil {
		return nil, err
	}
	registry.MustRegister(entry.NewCollector(server))
	observer, err := observe.Listen(observe.Options{
		Address: s.ObserveListener,
		Metrics: observe.MetricsHandler(registry),
		Dump:    func(context.Context) ([]byte, error) { return json.Marshal(server.Dump()) },
		Health:  server.Health,
		Logger:  env.Logger,
		Limits:  limits, Connections: s.ListenerConnections,
	})
	if err != nil {
		closeServers(s.Timeouts, announcements)
		return nil, errors.WithMessage(err, "entry")
	}
	return func() { closeServers(s.Timeouts, announcements, observer) }, nil
}
