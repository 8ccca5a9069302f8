package wire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// Handler processes what peers send. Its methods are called concurrently.
type Handler interface {
	// HandleCall answers a call. ctx ends with the session or the server.
	HandleCall(ctx context.Context, peer string, req *wirepb.Request) *wirepb.Response
	// HandleRaft takes a consensus message; it must not block.
	HandleRaft(peer string, m *wirepb.RaftMessage)
}

// Server accepts sessions from the configured peers.
type Server struct {
	o        Options
	h        Handler
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	hellos   chan struct{}
	calls    sync.WaitGroup
	loops    sync.WaitGroup

	mu       sync.Mutex
	closing  bool
	conns    map[net.Conn]struct{} // all open connections
	sessions map[string][]*yamux.Session
}

// Listen starts a server.
func Listen(o Options, h Handler) (*Server, error) {
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		o: o, h: h, listener: l, ctx: ctx, cancel: cancel,
		hellos:   make(chan struct{}, maxPendingHellos),
		conns:    map[net.Conn]struct{}{},
		sessions: map[string][]*yamux.Session{},
	}
	s.loops.Add(1)
	go s.accept()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

func (s *Server) accept() {
	defer s.loops.Done()
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.o.Logger.Warn().Err(err).Msg("accept failed")
			time.Sleep(redialDelay)
			continue
		}
		if !s.track(conn) {
			_ = conn.Close()
			continue
		}
		go s.serveConn(conn)
	}
}

// track registers a connection, unless too many have sent no Hello yet or the
// server closes.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	select {
	case s.hellos <- struct{}{}:
	default:
		return false
	}
	s.conns[conn] = struct{}{}
	s.loops.Add(1)
	return true
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.loops.Done()
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	peer, err := s.greet(conn)
	<-s.hellos
	if err != nil {
		s.o.Logger.Warn().Err(err).Stringer("source", conn.RemoteAddr()).Msg("connection refused")
		return
	}
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		return
	}
	if !s.addSession(peer, session) {
		_ = session.Close()
		return
	}
	defer s.removeSession(peer, session)
	s.serveSession(peer, session)
}

func (s *Server) greet(conn net.Conn) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return "", err
	}
	h, err := s.o.receiveHello(conn)
	if err != nil {
		return "", err
	}
	if err := s.o.sendHello(conn); err != nil {
		return "", err
	}
	return h.Process, conn.SetDeadline(time.Time{})
}

// addSession bounds the sessions of a peer by closing its oldest one, which is
// left over from a connection that the peer has given up.
func (s *Server) addSession(peer string, session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	list := s.sessions[peer]
	if len(list) >= maxSessionsPerPeer {
		go func(old *yamux.Session) { _ = old.Close() }(list[0])
		list = list[1:]
	}
	s.sessions[peer] = append(list[:len(list):len(list)], session)
	return true
}

func (s *Server) removeSession(peer string, session *yamux.Session) {
	_ = session.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []*yamux.Session
	for _, other := range s.sessions[peer] {
		if other != session {
			kept = append(kept, other)
		}
	}
	s.sessions[peer] = kept
}

func (s *Server) serveSession(peer string, session *yamux.Session) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	// Raft and snapshot streams share the bound with calls.
	slots := make(chan struct{}, maxStreams+2)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = stream.Close()
			continue
		}
		s.loops.Add(1)
		go func() {
			defer s.loops.Done()
			defer func() { <-slots }()
			defer func() { _ = stream.Close() }()
			s.serveStream(ctx, peer, stream)
		}()
	}
}

func (s *Server) serveStream(ctx context.Context, peer string, stream *yamux.Stream) {
	if err := stream.SetReadDeadline(time.Now().Add(requestReadTimeout)); err != nil {
		return
	}
	r := bufio.NewReader(stream)
	kind, err := r.ReadByte()
	if err != nil {
		return
	}
	switch kind {
	case streamCall:
		s.serveCall(ctx, peer, stream, r)
	case streamRaft, streamSnapshot:
		if stream.SetReadDeadline(time.Time{}) == nil {
			s.serveRaft(peer, r)
		}
	}
}

func (s *Server) serveRaft(peer string, r *bufio.Reader) {
	for {
		m := &wirepb.RaftMessage{}
		if err := readMessage(r, MaxFrameBytes, m); err != nil {
			return
		}
		s.h.HandleRaft(peer, m)
	}
}

func (s *Server) serveCall(ctx context.Context, peer string, stream *yamux.Stream, r *bufio.Reader) {
	req := &wirepb.Request{}
	if err := readMessage(r, MaxFrameBytes, req); err != nil {
		s.o.Logger.Warn().Err(err).Str("peer", peer).Msg("request can't be read")
		return
	}
	var resp *wirepb.Response
	if s.beginCall() {
		defer s.calls.Done()
		callCtx, cancel := context.WithTimeout(ctx, callHandlingTimeout)
		resp = s.h.HandleCall(callCtx, peer, req)
		cancel()
	} else {
		resp = unavailable("the process is stopping")
	}
	data, err := frame(0, resp)
	if err != nil {
		s.o.Logger.Error().Err(err).Str("peer", peer).Msg("response can't be sent")
		return
	}
	if stream.SetWriteDeadline(time.Now().Add(responseWriteLimit)) != nil {
		return
	}
	if _, err := stream.Write(data); err != nil {
		return
	}
	awaitClose(stream, r)
}

// awaitClose waits until the caller has closed its side, which it does once it
// has read the response. A session that is closed earlier can lose a response
// that was written.
func awaitClose(stream *yamux.Stream, r *bufio.Reader) {
	if stream.Close() == nil && stream.SetReadDeadline(time.Now().Add(responseReadLimit)) == nil {
		_, _ = io.Copy(io.Discard, r)
	}
}

func unavailable(message string) *wirepb.Response {
	return &wirepb.Response{Error: &wirepb.Error{Kind: wirepb.Error_KIND_UNAVAILABLE, Message: message}}
}

func (s *Server) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.calls.Add(1)
	return true
}

// Shutdown stops accepting, waits for the calls in progress until ctx ends and
// closes all sessions. Calls that arrive meanwhile are answered as unavailable.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	_ = s.listener.Close()
	idle := make(chan struct{})
	go func() {
		s.calls.Wait()
		close(idle)
	}()
	var err error
	select {
	case <-idle:
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.closeSessions()
	return err
}

func (s *Server) closeSessions() {
	s.cancel()
	s.mu.Lock()
	var open []*yamux.Session
	for _, list := range s.sessions {
		open = append(open, list...)
	}
	var conns []net.Conn
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	s.mu.Unlock()
	for _, session := range open {
		_ = session.Close()
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// Close ends all sessions at once, without waiting for calls in progress, and
// returns when their goroutines have ended.
func (s *Server) Close() error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.Shutdown(ctx)
	s.loops.Wait()
	return nil
}
