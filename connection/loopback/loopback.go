// Package loopback finds free loopback addresses for clusters that run on one
// machine, in tests and in the demo.
package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The ports are below the range that Linux uses for outgoing connections (ephemeral
// ports). A port in that range can be occupied between Reserve and its use, even by a
// dial to that same port, which then connects to itself.
const (
	firstPort = 10000
	portCount = 20000
	// portsPerProcess is the distance between the first ports of two processes,
	// so that test packages can run in parallel.
	portsPerProcess = 128
)

var nextOffset atomic.Uint32

// Address is the IP address of all addresses that Reserve returns.
var Address = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// Reserve returns n addresses whose ports are free. They differ from those of other
// calls in this process.
func Reserve(n int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for range portCount {
		if len(out) == n {
			return out, nil
		}
		offset := (uint32(os.Getpid())*portsPerProcess + nextOffset.Add(1)) % portCount
		address := netip.AddrPortFrom(Address, uint16(firstPort+offset))
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		_ = l.Close()
		out = append(out, address)
	}
	return nil, errors.New("not enough free ports on the loopback address; stop other programs that listen there")
}
