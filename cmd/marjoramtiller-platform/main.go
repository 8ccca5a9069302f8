// Command marjoramtiller-platform runs the job processes on the users' platform:
// "entry" serves callers, "control" holds the state and sends the orders.
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

	"marjoramtiller.example/marjoramtiller/platform"
	"marjoramtiller.example/marjoramtiller/process/observe"
)

const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2 // arguments or settings are at fault

	logQueue         = 4096 // lines that wait for standard output; more are dropped and counted
	memoryShare      = 0.8  // of the process's memory that the heap may use
	headerTimeout    = 3 * time.Second
	idleTimeout      = 60 * time.Second
	maxHeaderBytes   = 16 << 10
	balancerNotice   = 2500 * time.Millisecond // in which the balancer sees that an entry is not ready
	closeReserve     = time.Second             // of the grace period, for the last requests
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
	log, err := observe.NewLogger(out, "info", "marjoramtiller-platform", cluster, s.Process)
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
	boot := uuid.NewString()
	registry := observe.NewRegistry()
	registry.MustRegister(dropped)
	log.Info().Str("role", role).Str("zone", s.Zone).Str("boot", boot).Bool("bootstrap", s.Bootstrap).Strs("seeds", s.SeedsInternal).Msg("started")
	if role == "entry" {
		err = serveEntry(s, boot, log, registry, signals)
	} else {
		err = serveControl(s, boot, log, registry, signals)
	}
	if err != nil {
		log.Error().Err(err).Msg("stopped with an error")
		return exitFailed
	}
	log.Info().Msg("stopped")
	return exitOK
}

// logReloads records the signal: what may change while a process runs comes with
// the configuration, and everything in the settings holds for a process's life.
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

// listen opens a listener whose connections fail when their peer is silent.
func listen(address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{Control: platform.LimitSilence}).Listen(context.Background(), "tcp", address)
	return l, errors.Wrapf(err, "listen on %s", address)
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func openObserver(s *platform.Settings, log zerolog.Logger, registry *prometheus.Registry, api http.Handler, dump func(context.Context) ([]byte, error)) *observe.Server {
	address, err := netip.ParseAddrPort(s.Metrics)
	if err != nil {
		log.Warn().Err(err).Msg("no metrics: the address cannot be read")
		return nil
	}
	server, err := observe.Listen(observe.Options{Address: address, Logger: log, Metrics: observe.MetricsHandler(registry), API: api, Dump: dump})
	if err != nil {
		log.Warn().Err(err).Msg("no metrics: the address cannot be used")
		return nil
	}
	return server
}
