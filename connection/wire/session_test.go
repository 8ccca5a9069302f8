package wire

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// blockingConn is a connection whose Close waits until release is closed.
type blockingConn struct {
	net.Conn
	closing, release chan struct{}
}

func (c *blockingConn) Close() error {
	close(c.closing)
	<-c.release
	return c.Conn.Close()
}

// Guards against streams that poll without a pause while their session closes: a leader
// that was suspended for seconds then closes all sessions at once, and its processor did
// nothing else for minutes.
func TestReadsEndWhenTheSessionCloses(t *testing.T) {
	is := is.New(t)
	local, remote := net.Pipe()
	conn := &blockingConn{Conn: local, closing: make(chan struct{}), release: make(chan struct{})}
	session, err := newMuxSession(conn, startClient)
	is.NoErr(err)
	peer, err := newMuxSession(remote, startServer)
	is.NoErr(err)
	accepted := make(chan struct{})
	go func() {
		_, _ = peer.AcceptStream()
		close(accepted)
	}()
	stream, err := session.OpenStream()
	is.NoErr(err)
	<-accepted
	ended := make(chan struct{})
	go func() {
		_, _ = stream.Read(make([]byte, 1))
		close(ended)
	}()
	closed := make(chan struct{})
	go func() {
		_ = session.Close()
		close(closed)
	}()
	<-conn.closing
	<-ended // while the connection is being closed
	is.True(stream.SetReadDeadline(expired) != nil)
	close(conn.release)
	_ = peer.Close()
	<-closed
}
