package forward

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// ErrNotAllowed means that the lease check failed before the first byte was written.
var ErrNotAllowed = errors.New("forward: no valid lease for this backend server; choose another one")

var errAttemptEnded = errors.New("forward: the attempt has ended")

// attempt records whether any byte of one request was written to a connection.
type attempt struct {
	mu      sync.Mutex
	allowed func() bool
	begun   bool // the first write was allowed; a byte may have been written
	ended   bool // nothing more may be written
	refused bool // the lease check failed
}

// begin is called immediately before each write of a connection that has not yet
// written a byte of the attempt. It checks the lease unless the attempt has
// already begun, and returns an error if the write must not happen.
func (a *attempt) begin() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.ended:
		return errAttemptEnded
	case a.begun:
		return nil
	case !a.allowed():
		a.refused = true
		return ErrNotAllowed
	}
	a.begun = true
	return nil
}

// undoBegin is called when the first write failed before any byte was written.
func (a *attempt) undoBegin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begun = false
}

// end makes later calls of begin fail. It reports whether a byte may have been
// written and whether the lease check failed.
func (a *attempt) end() (written, refused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	return a.begun, a.refused
}

// conn attributes the bytes written on a connection to the request it carries.
// It hides the ReadFrom method of net.TCPConn so that every byte goes through Write.
type conn struct {
	net.Conn
	mu      sync.Mutex
	current *attempt
	wrote   bool // the current attempt has written a byte
}

// assign sets the attempt that the following writes belong to.
func (c *conn) assign(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = a
	c.wrote = false
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	a, first := c.current, !c.wrote
	c.mu.Unlock()
	if a == nil {
		return 0, errAttemptEnded
	}
	if first {
		if err := a.begin(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		a.undoBegin()
	}
	if n > 0 {
		c.mu.Lock()
		c.wrote = true
		c.mu.Unlock()
	}
	return n, err
}

// dialFunc returns a DialContext function whose connections are of type conn.
func dialFunc(netDialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := netDialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}
