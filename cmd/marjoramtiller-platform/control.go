package main

import (
	"context"
	"hash/fnv"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/connection/inbound"
	"marjoramtiller.example/marjoramtiller/platform"
	"marjoramtiller.example/marjoramtiller/process/jobs"
	"marjoramtiller.example/marjoramtiller/process/members"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

func serveControl(s *platform.Settings, bootID string, log zerolog.Logger, registry *prometheus.Registry, limits *inbound.Limits, signals <-chan os.Signal) error {
	name, initialVoters, err := members.LoadOrCreateIdentity(s.Dir, s.Internal, s.SeedsInternal, s.Bootstrap)
	if err != nil {
		return err
	}
	log.Info().Str("replica", name).Bool("founder", len(initialVoters) > 0).Msg("identified")
	client := platform.NewClient(s)
	options := jobs.ControlOptions{
		Name: name, InitialVoters: initialVoters, Seeds: s.SeedsInternal, Dir: filepath.Join(s.Dir, "jobs"), DiskBytes: s.DiskBytes, Listen: s.Internal, IP: s.IP,
		BootID: bootID, Cluster: cluster, Seed: electionSeed(bootID), Bounds: s.Bounds, Workers: client, Clock: replica.BootClock(), Logger: log,
		DecodeConfiguration: platform.DecodeConfiguration,
	}
	messages := s.NewMessageLimits(log)
	registry.MustRegister(messages.Collectors()...)
	options.Internal = jobs.InternalLimits{Calls: limits, Messages: messages, Sessions: s.ConnectionLimits().Internal}
	if s.MachineService != "" {
		options.Machines = client
	}
	if s.Advisor != "" {
		options.Advisor = client
	}
	control, err := jobs.OpenControl(options)
	if err != nil {
		return err
	}
	registry.MustRegister(control.Collectors()...)
	observer := openObserver(s, log, registry, limits, control.OperatorsHandler(), control.Dump)
	if observer != nil {
		defer func() { _ = observer.Close(context.Background()) }()
	}
	listener, err := listen(s.ControlPlane, inbound.MediumBuffers)
	if err != nil {
		return err
	}
	server := newServer((&platform.Control{Process: control, Address: s.ControlPlane, Log: log}).Handler())
	failed := make(chan error, 1)
	go func() {
		failed <- limits.Serve(server, listener, serveOptions("control-plane", s.ConnectionLimits().ControlPlane))
	}()
	select {
	case err = <-failed:
	case <-control.Done():
		err = errors.New("the replica stopped by itself")
	case sig := <-signals:
		log.Info().Stringer("signal", sig).Msg("graceful stop started")
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(s.GracePeriod, defaultGraceTime)-closeReserve)
	defer cancel()
	if closeErr := control.Close(ctx); closeErr != nil && err == nil {
		err = closeErr
	}
	_ = server.Close()
	return err
}

// electionSeed returns a seed for the randomized election timeout that differs
// between processes, so that their elections do not begin at the same time.
func electionSeed(bootID string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(bootID))
	return h.Sum64()
}
