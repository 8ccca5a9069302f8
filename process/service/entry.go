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

// RunEntry runs the entry daemon until ctx is done and stops it gracefully.
func RunEntry(ctx context.Context, s *settings.Entry, e daemon.Environment) error {
	bootID := uuid.NewString()
	peers := make(map[string]string)
	var names []string
	for _, p := range s.Peers {
		peers[p.Name] = p.Address.String()
		names = append(names, p.Name)
	}
	pool := wire.NewPool(wire.Options{
		Cluster: s.Cluster, Process: s.Process, BootID: bootID,
		Peers: peers, LocalIP: s.Address.String(), Logger: e.Logger,
	})
	defer func() { _ = pool.Close() }()
	body, err := entry.New(entryOptions(s, e, bootID, entry.NewControl(pool, names)))
	if err != nil {
		return err
	}
	stop, err := listenEntry(s, e, body)
	if err != nil {
		return err
	}
	defer stop()
	return body.Run(ctx)
}

func entryOptions(s *settings.Entry, e daemon.Environment, bootID string, c entry.Control) entry.Options {
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
		RetryPercent:        orNone(s.RetryBudgetPercent),
		MaxBodyBytes:        int64(s.BodyBytes),
		MemoryBytes:         int64(s.MemoryBytes),
		MaxConnections:      s.Connections,
		AnswerTimeout:       s.AnswerTimeout,
		HealthGrace:         orNone(s.HealthGrace),
		ShutdownTimeout:     s.Timeouts.Shutdown,
		Log:                 e.Logger,
	}
}

// orNone maps a setting of zero to the negative value that an option takes for
// "none", as its zero value stands for the default.
func orNone[T int | time.Duration](v T) T {
	if v == 0 {
		return -1
	}
	return v
}

// checkKey checks a header and returns the key in its text form.
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

func keyGroup(groups int) func(text string) uint32 {
	return func(text string) uint32 {
		k, err := key.Parse(text)
		if err != nil {
			return 0
		}
		return uint32(k.Group(groups))
	}
}

func listenEntry(s *settings.Entry, e daemon.Environment, body *entry.Entry) (stop func(), err error) {
	handler, err := operator.NewAnnouncements(body, e.Logger)
	if err != nil {
		return nil, err
	}
	announcements, err := operator.Listen(listenOptions(s.AnnouncementsListener, s.Timeouts, e.Logger), handler)
	if err != nil {
		return nil, err
	}
	registry := observe.NewRegistry()
	registry.MustRegister(entry.NewCollector(body))
	observer, err := observe.Listen(observe.Options{
		Address: s.ObserveListener,
		Metrics: observe.MetricsHandler(registry),
		Dump:    func(context.Context) ([]byte, error) { return json.Marshal(body.Dump()) },
		Health:  body.Health,
		Logger:  e.Logger,
	})
	if err != nil {
		closeServers(s.Timeouts, announcements)
		return nil, errors.WithMessage(err, "entry")
	}
	return func() { closeServers(s.Timeouts, announcements, observer) }, nil
}
