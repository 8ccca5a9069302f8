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
)

const maxHeaderBytes = 16 << 10 // of a request

// Options set the address, the time limits and the logger of a Server.
type Options struct {
	Name         string // of the interface, in errors and log lines
	Setting      string // that holds the address, named by errors
	Address      netip.AddrPort
	ReadTimeout  time.Duration // for reading a request
	WriteTimeout time.Duration // from the end of the request's header to that of its response
	IdleTimeout  time.Duration // of a connection without requests
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
	listener, err := net.Listen("tcp", o.Address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s; correct %s in the settings or free the port", o.Name, o.Setting)
	}
	s := &Server{name: o.Name, listener: listener, done: make(chan struct{}), server: &http.Server{
		Handler: handler, ReadTimeout: o.ReadTimeout, WriteTimeout: o.WriteTimeout,
		IdleTimeout: o.IdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}}
	go func() {
		defer close(s.done)
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
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
