// Package observe provides loggers that write JSON lines, and the HTTP server for
// metrics, the health check and the state dump.
package observe

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/connection/httpserver"
	"marjoramtiller.example/marjoramtiller/connection/inbound"
)

// Limits of the HTTP server.
const (
	readTimeout  = 5 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = 60 * time.Second
)

// Build describes the running binary.
type Build struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Modified bool   `json:"modified"` // built with uncommitted changes
	Go       string `json:"go"`
}

// ReadBuild returns the build information that the go command embedded in the
// binary.
func ReadBuild() Build {
	b := Build{Version: "unknown", Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version = info.Main.Version
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}

// NewLogger returns a logger that writes JSON lines with a timestamp and the
// names of the program, cluster and process.
func NewLogger(w io.Writer, level, program, cluster, process string) (zerolog.Logger, error) {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Wrapf(err, "log level %q; use debug, info, warn or error", level)
	}
	return zerolog.New(w).Level(minLevel).With().Timestamp().
		Str("program", program).Str("cluster", cluster).Str("process", process).Logger(), nil
}

// Options configure the server. Metrics, Dump, Health, API and Limits may be nil.
type Options struct {
	Address netip.AddrPort
	Logger  zerolog.Logger
	Metrics http.Handler                              // for example MetricsHandler
	Dump    func(ctx context.Context) ([]byte, error) // the process's state as JSON
	Health  func() error                              // nil while the process can serve
	API     http.Handler                              // serves the paths under /v1/

	Limits      *inbound.Limits // of what clients send
	Connections int             // largest number of open connections; 0 means that there is no limit
}

// Handler returns the handler of all paths that Listen serves.
func Handler(o Options) http.Handler {
	mux := http.NewServeMux()
	if o.Metrics != nil {
		mux.Handle("GET /metrics", o.Metrics)
	}
	mux.HandleFunc("GET /dump", o.serveDump)
	mux.HandleFunc("GET /healthz", o.serveHealth)
	if o.API != nil {
		mux.Handle("/v1/", o.API)
	}
	return mux
}

func (o Options) serveDump(w http.ResponseWriter, r *http.Request) {
	if o.Dump == nil {
		http.Error(w, "this process has no state dump", http.StatusNotFound)
		return
	}
	data, err := inbound.BuildAnswer(w, r, func() ([]byte, error) { return o.Dump(r.Context()) })
	if err != nil {
		http.Error(w, "the state cannot be dumped now, retry: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func (o Options) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if o.Health != nil {
		if err := o.Health(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	fmt.Fprintln(w, "ok")
}

// Listen starts a server on o.Address. It serves /metrics, /dump, /healthz and the API under
// /v1/.
func Listen(o Options) (*httpserver.Server, error) {
	return httpserver.Listen(httpserver.Options{
		Name: "metrics", Setting: "[listeners] observe", Address: o.Address,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, Logger: o.Logger,
		Limits: o.Limits, Connections: o.Connections,
	}, Handler(o))
}
