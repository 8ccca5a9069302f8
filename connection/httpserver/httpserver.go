// Package httpserver serves an HTTP interface of a process on a listener of its own.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/connection/inbound"
)

const maxHeaderBytes = 16 << 10 // of a request

// Options set the address, the limits and the logger of a Server. Limits may be nil.
type Options struct {
	Name         string // of the interface, in errors and log lines
	Setting      string // that holds the address, named by errors
	Address      netip.AddrPort
	ReadTimeout  time.Duration // for reading a request
	WriteTimeout time.Duration // from the end of the request's header to that of its response
	IdleTimeout  time.Duration // of a connection without requests
	Limits       *inbound.Limits
	Connections  int // largest number of open connections; 0 means that there is no limit
	Logger       zerolog.Logger
}

// Server is an HTTP server with one listener.
type Server struct {
	name     string
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// Listen starts a server that serves handler.
func Listen(o Options, handler http.Handler) (*Server, error) {
	if o.Limits == nil {
		o.Limits = inbound.New(inbound.Options{Logger: o.Logger})
	}
	listener, err := (&net.ListenConfig{Control: inbound.BufferSizes(inbound.MediumBuffers)}).Listen(context.Background(), "tcp", o.Address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s; correct %s in the settings or free the port", o.Name, o.Setting)
	}
	s := &Server{name: o.Name, listener: listener, done: make(chan struct{}), server: &http.Server{
		Handler: handler, ReadTimeout: o.ReadTimeout, WriteTimeout: o.WriteTimeout,
		IdleTimeout: o.IdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}}
	go func() {
		defer close(s.done)
		if err := o.Limits.Serve(s.server, listener, inbound.ServeOptions{Name: o.Name, MaxConnections: o.Connections}); !errors.Is(err, http.ErrServerClosed) {
			o.Logger.Error().Err(err).Str("listener", o.Name).Str("address", o.Address.String()).Msg("listener has failed; restart the process")
		}
	}()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close stops the listener and waits for requests in flight. If ctx is done
// first, it closes their connections.
func (s *Server) Close(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err != nil {
		_ = s.server.Close()
	}
	<-s.done
	return errors.Wrapf(err, "stop the listener for %s", s.name)
}
