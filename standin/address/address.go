// Package address finds free loopback addresses for clusters that run in one
// machine, in tests and in the demo.
package address

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ports are taken from below the range that Linux gives to outgoing connections.
// A port in that range can be taken between the search and its use, also by a
// dial to that very port, which then connects to itself.
const (
	firstPort = 10000
	portCount = 20000
	// portsOfProcess is the distance between the first ports of two processes,
	// so that test packages can run side by side.
	portsOfProcess = 128
)

var next atomic.Uint32

// Loopback is the address that all of them have.
var Loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// Reserve returns n addresses whose ports are free and that no other call in
// this process has returned.
func Reserve(n int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for range portCount {
		if len(out) == n {
			return out, nil
		}
		offset := (uint32(os.Getpid())*portsOfProcess + next.Add(1)) % portCount
		address := netip.AddrPortFrom(Loopback, uint16(firstPort+offset))
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		_ = l.Close()
		out = append(out, address)
	}
	return nil, errors.New("too few free ports on the loopback address; end other programs that listen there")
}
