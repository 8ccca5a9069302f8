package wire

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// expired is a deadline in the past.
var expired = time.Unix(1, 0)

// muxSession is a yamux session whose streams stop reading when it closes.
//
// A read of a yamux stream polls without a pause from the moment at which the session
// begins to close until its connection is closed. With one processor it keeps the
// goroutines from running that closing has to wait for.
type muxSession struct {
	*yamux.Session
	conn *sessionConn
}

// sessionConn is the connection of a session. Closing it ends the reads of all streams.
type sessionConn struct {
	net.Conn

	mu      sync.Mutex
	closing bool
	streams map[*muxStream]struct{} // open streams
}

// muxStream is a stream of a muxSession.
type muxStream struct {
	*yamux.Stream
	conn *sessionConn
}

// newMuxSession starts a session on a connection with yamux.Client or yamux.Server.
func newMuxSession(conn net.Conn, start func(net.Conn) (*yamux.Session, error)) (*muxSession, error) {
	c := &sessionConn{Conn: conn, streams: map[*muxStream]struct{}{}}
	session, err := start(c)
	if err != nil {
		return nil, err
	}
	return &muxSession{Session: session, conn: c}, nil
}

func startClient(conn net.Conn) (*yamux.Session, error) {
	return yamux.Client(conn, yamuxConfig())
}

func startServer(conn net.Conn) (*yamux.Session, error) {
	return yamux.Server(conn, yamuxConfig())
}

// OpenStream opens a stream.
func (s *muxSession) OpenStream() (*muxStream, error) { return s.track(s.Session.OpenStream()) }

// AcceptStream waits for a stream that the peer opens.
func (s *muxSession) AcceptStream() (*muxStream, error) { return s.track(s.Session.AcceptStream()) }

func (s *muxSession) track(opened *yamux.Stream, err error) (*muxStream, error) {
	if err != nil {
		return nil, err
	}
	stream := &muxStream{Stream: opened, conn: s.conn}
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.conn.streams[stream] = struct{}{}
	if s.conn.closing {
		stream.endReads()
	}
	return stream, nil
}

// Close implements net.Conn.
func (c *sessionConn) Close() error {
	c.mu.Lock()
	c.closing = true
	for stream := range c.streams {
		stream.endReads()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

func (s *muxStream) endReads() {
	_ = s.Stream.SetReadDeadline(expired) // always nil; the stream's owner closes it
}

// Close closes the stream.
func (s *muxStream) Close() error {
	s.conn.mu.Lock()
	delete(s.conn.streams, s)
	s.conn.mu.Unlock()
	return s.Stream.Close()
}

// closeWrite ends the sending of data. Data of the peer can still be read.
func (s *muxStream) closeWrite() error { return s.Stream.Close() }

// SetReadDeadline sets the deadline of reads, unless the session is closing.
func (s *muxStream) SetReadDeadline(deadline time.Time) error {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	if s.conn.closing {
		return yamux.ErrSessionShutdown
	}
	return s.Stream.SetReadDeadline(deadline)
}
