package forward

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// ErrNotAllowed means that the lease check failed before the first byte was written.
var ErrNotAllowed = errors.New("forward: no valid lease for this backend server; choose another one")

var errEnded = errors.New("forward: the attempt has ended")

// attempt tracks whether any byte of one request was written.
type attempt struct {
	mu      sync.Mutex
	allowed func() bool
	begun   bool // a byte may have been written
	ended   bool // nothing more may be written
	refused bool
}

// begin is called immediately before every write.
func (a *attempt) begin() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.ended:
		return errEnded
	case a.begun:
		return nil
	case !a.allowed():
		a.refused = true
		return ErrNotAllowed
	}
	a.begun = true
	return nil
}

// undo is called when the first write failed before any byte was written.
func (a *attempt) undo() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begun = false
}

// end forbids further first writes and reports what happened.
func (a *attempt) end() (written, refused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	return a.begun, a.refused
}

// conn attributes the bytes written on a connection to the request it carries.
// It hides the ReadFrom method of net.TCPConn so that every byte passes Write.
type conn struct {
	net.Conn
	mu      sync.Mutex
	current *attempt
	wrote   bool // by the current attempt
}

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
		return 0, errEnded
	}
	if first {
		if err := a.begin(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		a.undo()
	}
	if n > 0 {
		c.mu.Lock()
		c.wrote = true
		c.mu.Unlock()
	}
	return n, err
}

func dialer(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}
