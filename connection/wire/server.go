package wire

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/inbound"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// Handler handles the calls and consensus messages of peers. Its methods are called concurrently.
type Handler interface {
	// HandleCall returns the response to a call. ctx is cancelled when the session
	// or the server is closed, at the deadline of the call, or when the caller
	// closes the stream.
	HandleCall(ctx context.Context, peer string, req *wirepb.Request) *wirepb.Response
	// HandleRaft handles a consensus message. It must not block.
	HandleRaft(peer string, m *wirepb.RaftMessage)
}

// RelayHandler is implemented by a Handler that also handles the messages between the
// leader of jobs and its relays.
type RelayHandler interface {
	// HandleRelay handles one message. It must not block.
	HandleRelay(peer string, m *jobpb.RelayMessage)
}

// Server accepts sessions from the configured peers.
type Server struct {
	options    Options
	handler    Handler
	listener   net.Listener
	ctx        context.Context
	cancel     context.CancelFunc
	calls      sync.WaitGroup
	goroutines sync.WaitGroup

	mu              sync.Mutex
	closing         bool
	conns           map[net.Conn]struct{} // all open connections
	pendingHellos   *sources[net.Conn]
	allSessions     *sources[*muxSession]
	sessions        map[string][]*muxSession
	callsInProgress map[string]int // number of calls in progress, by peer
}

// Listen starts a server on the address options.Listen.
func Listen(options Options, handler Handler) (*Server, error) {
	if options.MaxCallsPerPeer == 0 {
		options.MaxCallsPerPeer = maxCallsPerPeer
	}
	if options.MaxSessions == 0 {
		options.MaxSessions = defaultMaxSessions
	}
	if options.CallLimits == nil {
		options.CallLimits = inbound.New(inbound.Options{Logger: options.Logger})
	}
	if options.MessageLimits == nil {
		options.MessageLimits = inbound.New(inbound.Options{Logger: options.Logger})
	}
	l, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		options: options, handler: handler, listener: l, ctx: ctx, cancel: cancel,
		pendingHellos:   newSources[net.Conn](maxPendingHellos),
		allSessions:     newSources[*muxSession](options.MaxSessions),
		conns:           map[net.Conn]struct{}{},
		sessions:        map[string][]*muxSession{},
		callsInProgress: map[string]int{},
	}
	s.goroutines.Add(1)
	go s.accept()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

func (s *Server) accept() {
	defer s.goroutines.Done()
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.options.Logger.Warn().Err(err).Msg("accepting a connection failed; trying again after a delay")
			time.Sleep(redialDelay)
			continue
		}
		if !s.trackConn(conn) {
			_ = conn.Close()
			continue
		}
		go s.serveConn(conn)
	}
}

// trackConn registers a connection and reports whether it may be served. If too many
// connections have not sent a Hello yet, it closes one of them.
func (s *Server) trackConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	if victim, evicted := s.pendingHellos.add(conn, sourceOf(conn)); evicted {
		_ = victim.Close()
	}
	s.conns[conn] = struct{}{}
	s.goroutines.Add(1)
	return true
}

// sourceOf returns the IP address of a connection's peer.
func sourceOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.goroutines.Done()
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	peer, err := s.exchangeHello(conn)
	s.mu.Lock()
	s.pendingHellos.remove(conn)
	s.mu.Unlock()
	if err != nil {
		s.options.Logger.Warn().Err(err).Stringer("source", conn.RemoteAddr()).Msg("connection refused")
		return
	}
	session, err := newMuxSession(conn, startServer)
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

// exchangeHello receives the peer's Hello, sends one and returns the peer's name.
func (s *Server) exchangeHello(conn net.Conn) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return "", err
	}
	hello, err := s.options.receiveHello(conn)
	if err != nil {
		return "", err
	}
	if err := s.options.sendHello(conn); err != nil {
		return "", err
	}
	return hello.Process, conn.SetDeadline(time.Time{})
}

// addSession registers a session and reports whether the server is still open. If
// the peer has too many sessions, it closes the oldest one, which remains from a
// connection that the peer no longer uses. If there are too many of all peers, it closes
// one of the address that has most.
func (s *Server) addSession(peer string, session *muxSession) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	list := s.sessions[peer]
	if len(list) >= maxSessionsPerPeer {
		go func(old *muxSession) { _ = old.Close() }(list[0])
		list = list[1:]
	}
	s.sessions[peer] = append(list[:len(list):len(list)], session)
	if victim, evicted := s.allSessions.add(session, sourceOf(session.conn)); evicted {
		go func() { _ = victim.Close() }()
	}
	return true
}

func (s *Server) removeSession(peer string, session *muxSession) {
	_ = session.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allSessions.remove(session)
	var kept []*muxSession
	for _, other := range s.sessions[peer] {
		if other != session {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(s.sessions, peer) // a peer has a new name after each start
		return
	}
	s.sessions[peer] = kept
}

func (s *Server) serveSession(peer string, session *muxSession) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	// The streams for consensus messages, for snapshots and for relays count towards the
	// same limit as the calls.
	slots := make(chan struct{}, maxStreams+3)
	oneWay := newOneWayStreams()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		// A stream that the server has closed holds what the peer still sends on it, up to
		// its window, until the peer closes it as well.
		if session.NumStreams() > 2*maxStreams {
			_ = session.Close()
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = stream.Close()
			continue
		}
		s.goroutines.Add(1)
		go func() {
			defer s.goroutines.Done()
			defer func() { <-slots }()
			defer func() { _ = stream.Close() }()
			s.serveStream(ctx, peer, stream, oneWay)
		}()
	}
}

// oneWayStreams limit the streams of a session that carry one-way messages, by kind.
type oneWayStreams map[byte]chan struct{}

func newOneWayStreams() oneWayStreams {
	return oneWayStreams{
		streamRaft: make(chan struct{}, maxStreamsPerKind), streamSnapshot: make(chan struct{}, maxStreamsPerKind),
		streamRelay: make(chan struct{}, maxStreamsPerKind),
	}
}

// begin reports whether a stream of a kind may be served, until the returned function is
// called.
func (o oneWayStreams) begin(kind byte) (end func(), ok bool) {
	select {
	case o[kind] <- struct{}{}:
		return func() { <-o[kind] }, true
	default:
		return nil, false
	}
}

func (s *Server) serveStream(ctx context.Context, peer string, stream *muxStream, oneWay oneWayStreams) {
	if err := stream.SetReadDeadline(time.Now().Add(requestReadTimeout)); err != nil {
		return
	}
	reader := bufio.NewReader(stream)
	kind, err := reader.ReadByte()
	if err != nil {
		return
	}
	if kind == streamCall {
		s.serveCall(ctx, peer, stream, reader)
		return
	}
	end, ok := oneWay.begin(kind)
	if !ok {
		return
	}
	defer end()
	if stream.SetReadDeadline(time.Time{}) != nil {
		return
	}
	switch kind {
	case streamRaft, streamSnapshot:
		s.serveRaft(peer, stream, reader)
	case streamRelay:
		if handler, ok := s.handler.(RelayHandler); ok {
			s.serveRelay(handler, peer, stream, reader)
		}
	}
}

func (s *Server) serveRelay(handler RelayHandler, peer string, stream *muxStream, reader *bufio.Reader) {
	for {
		m := &jobpb.RelayMessage{}
		release, err := readLimited(s.options.MessageLimits, stream, reader, m)
		if err != nil {
			return
		}
		handler.HandleRelay(peer, m)
		release()
	}
}

func (s *Server) serveRaft(peer string, stream *muxStream, reader *bufio.Reader) {
	for {
		raftMessage := &wirepb.RaftMessage{}
		release, err := readLimited(s.options.MessageLimits, stream, reader, raftMessage)
		if err != nil {
			return
		}
		s.handler.HandleRaft(peer, raftMessage)
		release()
	}
}

// Shutdown stops accepting, waits for the calls in progress until ctx ends and
// closes all sessions. Calls that arrive in the meantime get the error
// KIND_UNAVAILABLE.
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
	var open []*muxSession
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

// Close closes all sessions without waiting for calls in progress, and returns
// when the goroutines of the server have ended.
func (s *Server) Close() error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.Shutdown(ctx)
	s.goroutines.Wait()
	return nil
}
