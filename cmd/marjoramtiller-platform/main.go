// Command marjoramtiller-platform runs the job processes on the users' platform:
// "entry" serves callers, "control" replicates the state and sends orders to the workers.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"marjoramtiller.example/marjoramtiller/connection/httpserver"
	"marjoramtiller.example/marjoramtiller/connection/inbound"
	"marjoramtiller.example/marjoramtiller/platform"
	"marjoramtiller.example/marjoramtiller/process/observe"
)

const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2 // invalid arguments or settings

	logQueue         = 4096 // log lines queued for standard output; further lines are dropped and counted
	memoryShare      = 0.7  // share of the process's memory that is the soft limit of the Go runtime
	headerTimeout    = 3 * time.Second
	idleTimeout      = 60 * time.Second
	writeTimeout     = 10 * time.Second // for each 64 KiB of an answer
	maxHeaderBytes   = 16 << 10
	balancerNotice   = 2500 * time.Millisecond // time for the load balancer to notice that an entry is no longer ready
	closeReserve     = time.Second             // part of the grace period that is kept for the last requests
	cluster          = "platform"
	gcPercent        = 100
	defaultGraceTime = 5 * time.Second
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := flag.NewFlagSet("marjoramtiller-platform", flag.ContinueOnError)
	check := flags.Bool("check", false, "check the settings and exit")
	flags.Usage = func() {
		fmt.Fprintln(flags.Output(), "usage: marjoramtiller-platform [-check] entry|control")
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		return exitSettings
	}
	role := flags.Arg(0)
	if flags.NArg() != 1 || role != "entry" && role != "control" {
		flags.Usage()
		return exitSettings
	}
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		fmt.Println("settings are valid")
		return exitOK
	}
	return serve(role, s)
}

func serve(role string, s *platform.Settings) int {
	dropped := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "marjoramtiller_log_lines_dropped_total", Help: "Log lines that found the queue to standard output full."})
	out := diode.NewWriter(os.Stdout, logQueue, 0, func(missed int) { dropped.Add(float64(missed)) })
	defer func() { _ = out.Close() }()
	log, err := observe.NewLogger(out, "info", "marjoramtiller-platform", cluster, s.ProcessName)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	}
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go logReloads(reloads, log)
	bootID := uuid.NewString()
	registry := observe.NewRegistry()
	registry.MustRegister(dropped)
	log.Info().Str("role", role).Str("zone", s.Zone).Str("boot", bootID).Bool("bootstrap", s.Bootstrap).Strs("seeds", s.SeedsInternal).Msg("started")
	limits := s.NewLimits(log)
	registry.MustRegister(limits.Collectors()...)
	if role == "entry" {
		err = serveEntry(s, bootID, log, registry, limits, signals)
	} else {
		err = serveControl(s, bootID, log, registry, limits, signals)
	}
	if err != nil {
		log.Error().Err(err).Msg("stopped with an error")
		return exitFailed
	}
	log.Info().Msg("stopped")
	return exitOK
}

// logReloads checks the settings on each SIGHUP and logs the result, but applies
// nothing: everything that may change while a process runs is in the configuration,
// and the settings are fixed from start to exit.
func logReloads(reloads <-chan os.Signal, log zerolog.Logger) {
	for range reloads {
		s, err := platform.LoadSettings()
		if err != nil {
			log.Error().Err(err).Msg("settings have changed and are invalid: the ones of the start stay in force")
			continue
		}
		log.Info().Strs("seeds", s.SeedsInternal).Msg("settings have changed: they take effect at the next start")
	}
}

// listen opens a listener whose connections fail when the peer no longer acknowledges
// data, and whose buffers are limited.
func listen(address string, bufferBytes int) (net.Listener, error) {
	setBuffers := inbound.BufferSizes(bufferBytes)
	setOptions := func(network, address string, conn syscall.RawConn) error {
		if err := setBuffers(network, address, conn); err != nil {
			return err
		}
		return platform.SetTCPUserTimeout(network, address, conn)
	}
	listener, err := (&net.ListenConfig{Control: setOptions}).Listen(context.Background(), "tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func serveOptions(name string, connections int) inbound.ServeOptions {
	return inbound.ServeOptions{Name: name, MaxConnections: connections, WriteTimeout: writeTimeout}
}

func openObserver(s *platform.Settings, log zerolog.Logger, registry *prometheus.Registry, limits *inbound.Limits, api http.Handler, dump func(context.Context) ([]byte, error)) *httpserver.Server {
	address, err := netip.ParseAddrPort(s.Metrics)
	if err != nil {
		log.Warn().Err(err).Msg("metrics listener not started: its address is invalid; check ip-address in the settings")
		return nil
	}
	server, err := observe.Listen(observe.Options{Address: address, Logger: log, Metrics: observe.MetricsHandler(registry), API: api, Dump: dump,
		Limits: limits, Connections: s.ConnectionLimits().Metrics})
	if err != nil {
		log.Warn().Err(err).Msg("metrics listener not started: cannot listen on its address")
		return nil
	}
	return server
}
