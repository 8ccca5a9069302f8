// Package daemon contains the code that the main functions of the two daemons
// share: parsing of arguments and settings, set-up of the logger, and the
// graceful stop.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/process/observe"
	"marjoramtiller.example/marjoramtiller/process/settings"
)

// Exit codes of a daemon.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2 // the arguments or settings are invalid; a restart does not help
)

// Environment contains what Program.Run receives besides the settings.
type Environment struct {
	Logger zerolog.Logger
}

// Program describes one daemon. S is the type of its settings.
type Program[S any] struct {
	Name     string
	Parse    func(data []byte) (*S, error)
	Identity func(s *S) settings.Identity
	Shutdown func(s *S) time.Duration // upper bound of a graceful stop
	// Run serves until ctx is done, then stops gracefully and returns nil. It
	// returns an error if it could not start or had to stop early.
	Run func(ctx context.Context, s *S, env Environment) error
}

// Main runs the program with the given command-line arguments and returns the
// exit code. SIGTERM and SIGINT start the graceful stop; a second signal aborts
// it.
func (p Program[S]) Main(args []string, out, errOut io.Writer) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return p.run(args, out, errOut, signals)
}

func (p Program[S]) run(args []string, out, errOut io.Writer, signals <-chan os.Signal) int {
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	flags.SetOutput(errOut)
	path := flags.String("settings", "/etc/marjoramtiller/"+p.Name+".ini", "settings `file`")
	check := flags.Bool("check", false, "check the settings and exit")
	version := flags.Bool("version", false, "print the build information and exit")
	if err := flags.Parse(args); err != nil {
		return ExitSettings
	}
	if flags.NArg() > 0 {
		fmt.Fprintf(errOut, "unexpected argument %q; see %s -help\n", flags.Arg(0), p.Name)
		return ExitSettings
	}
	if *version {
		fmt.Fprintf(out, "%+v\n", observe.ReadBuild())
		return ExitOK
	}
	s, err := p.readSettings(*path)
	if err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", *path, err)
		return ExitSettings
	}
	if *check {
		fmt.Fprintln(out, "settings are valid")
		return ExitOK
	}
	return p.serve(s, errOut, signals)
}

func (p Program[S]) readSettings(path string) (*S, error) {
	data, err := settings.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return p.Parse(data)
}

func (p Program[S]) serve(s *S, errOut io.Writer, signals <-chan os.Signal) int {
	id := p.Identity(s)
	logger, err := observe.NewLogger(errOut, id.LogLevel, p.Name, id.Cluster, id.Process)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitSettings
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- p.Run(ctx, s, Environment{Logger: logger}) }()
	logger.Info().Str("zone", id.Zone).Interface("build", observe.ReadBuild()).Msg("started")

	select {
	case err := <-result:
		return logExit(logger, err)
	case sig := <-signals:
		logger.Info().Str("signal", sig.String()).Msg("graceful stop started")
	}
	cancel()
	limit := time.NewTimer(p.Shutdown(s))
	defer limit.Stop()
	select {
	case err := <-result:
		return logExit(logger, err)
	case sig := <-signals:
		logger.Error().Str("signal", sig.String()).Msg("graceful stop ended by a second signal")
	case <-limit.C:
		logger.Error().Msg("graceful stop took longer than [timeouts] shutdown; raise it if work was interrupted")
	}
	return ExitFailed
}

// logExit logs the end of the process and returns the exit code for err.
func logExit(logger zerolog.Logger, err error) int {
	if err != nil {
		logger.Error().Err(err).Msg("stopped with an error")
		return ExitFailed
	}
	logger.Info().Msg("stopped")
	return ExitOK
}

// Control returns the program of the daemon marjoramtiller-control.
func Control(run func(ctx context.Context, s *settings.Control, env Environment) error) Program[settings.Control] {
	return Program[settings.Control]{
		Name:     "marjoramtiller-control",
		Parse:    settings.ParseControl,
		Identity: func(s *settings.Control) settings.Identity { return s.Identity },
		Shutdown: func(s *settings.Control) time.Duration { return s.Timeouts.Shutdown },
		Run:      run,
	}
}

// Entry returns the program of the daemon marjoramtiller-entry.
func Entry(run func(ctx context.Context, s *settings.Entry, env Environment) error) Program[settings.Entry] {
	return Program[settings.Entry]{
		Name:     "marjoramtiller-entry",
		Parse:    settings.ParseEntry,
		Identity: func(s *settings.Entry) settings.Identity { return s.Identity },
		Shutdown: func(s *settings.Entry) time.Duration { return s.Timeouts.Shutdown },
		Run:      run,
	}
}
