package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/connection/inbound"
	"marjoramtiller.example/marjoramtiller/platform"
	"marjoramtiller.example/marjoramtiller/process/jobs"
	"marjoramtiller.example/marjoramtiller/process/members"
)

func serveEntry(s *platform.Settings, bootID string, log zerolog.Logger, registry *prometheus.Registry, limits *inbound.Limits, signals <-chan os.Signal) error {
	entry := jobs.OpenEntry(jobs.EntryOptions{Name: members.Name(net.JoinHostPort(s.IP, "0"), bootID), Seeds: s.SeedsInternal,
		IP: s.IP, BootID: bootID, Cluster: cluster, Logger: log})
	defer func() { _ = entry.Close() }()
	registry.MustRegister(entry.Collectors()...)
	observer := openObserver(s, log, registry, limits, jobs.CallersHandler(entry), nil)
	if observer != nil {
		defer func() { _ = observer.Close(context.Background()) }()
	}
	handler := &platform.Entry{Forwarder: entry}
	callers, err := listen(s.Callers, inbound.SmallBuffers)
	if err != nil {
		return err
	}
	readiness, err := listen(s.Readiness, inbound.SmallBuffers)
	if err != nil {
		return err
	}
	server := newServer(handler)
	ready := newServer(http.HandlerFunc(handler.ServeReadiness))
	failed := make(chan error, 2)
	go func() { failed <- limits.Serve(server, callers, serveOptions("callers", s.ConnectionLimits().Callers)) }()
	go func() {
		failed <- limits.Serve(ready, readiness, serveOptions("readiness", s.ConnectionLimits().Readiness))
	}()
	select {
	case err := <-failed:
		return err
	case sig := <-signals:
		log.Info().Stringer("signal", sig).Msg("graceful stop started")
	}
	handler.BeginShutdown()
	grace := max(s.GracePeriod, defaultGraceTime)
	select {
	case <-time.After(min(balancerNotice, grace/2)):
	case <-signals:
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace-min(balancerNotice, grace/2)-closeReserve/2)
	defer cancel()
	err = server.Shutdown(ctx)
	_ = ready.Close()
	return err
}
