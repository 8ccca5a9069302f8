package untrusted

import (
	"net"
	"sync"
	"testing"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"

	"marjoramtiller.example/marjoramtiller/connection/wire"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

const (
	stalledConnections = 400 // to one address; above fewDescriptors
	sharedConnections  = 150 // to each of several addresses; below fewDescriptors, but not their sum
)

const (
	halfHeader   = "POST /q/0 HTTP/1.1\r\nHost: a.exa"
	wholeRequest = "GET /q/0 HTTP/1.1\r\nHost: a.example\r\n\r\n"
)

// address is an address of a system.
type address = func(s *system) string

func entryCallers(s *system) string   { return s.entry.address(portCallers) }
func readiness(s *system) string      { return s.entry.address(portReadiness) }
func entryMetrics(s *system) string   { return s.entry.address(portMetrics) }
func controlPlane(s *system) string   { return s.control.address(portControlPlane) }
func controlMetrics(s *system) string { return s.control.address(portMetrics) }
func internal(s *system) string       { return s.control.address(portInternal) }

// testConnections opens connections that send nothing, or only a start, and stay open. Guards
// against a process that uses up its descriptors, so that it can open no file and accept no
// connection.
func testConnections(t *testing.T, connections int, start string, ordinary func(s *system) bool, to ...address) {
	t.Helper()
	s := startSystem(t, fewDescriptors)
	var addresses []string
	for _, address := range to {
		addresses = append(addresses, address(s))
	}
	newCrowd(t).openAndStall(addresses, connections, start)
	s.settle()
	s.eventually("an ordinary request is answered", ordinary)
	s.checkAll()
}

func TestStalledConnectionsOfCallers(t *testing.T) {
	testConnections(t, stalledConnections, halfHeader, submit, entryCallers)
}

func TestStalledConnectionsOfReadiness(t *testing.T) {
	testConnections(t, stalledConnections, halfHeader, checkReadiness, readiness)
}

func TestStalledConnectionsOfEntryMetrics(t *testing.T) {
	testConnections(t, stalledConnections, halfHeader, readEntryMetrics, entryMetrics)
}

func TestStalledConnectionsOfAllEntryAddresses(t *testing.T) {
	testConnections(t, sharedConnections, halfHeader, submit, entryCallers, readiness, entryMetrics)
}

func TestStalledConnectionsOfControlPlane(t *testing.T) {
	testConnections(t, stalledConnections, halfHeader, readConfiguration, controlPlane)
}

func TestStalledConnectionsOfControlMetrics(t *testing.T) {
	testConnections(t, stalledConnections, halfHeader, readControlMetrics, controlMetrics)
}

func TestStalledConnectionsOfInternalAddress(t *testing.T) {
	testConnections(t, stalledConnections, "\x10", submit, internal)
}

func TestStalledConnectionsOfAllControlAddresses(t *testing.T) {
	testConnections(t, sharedConnections, halfHeader, readConfiguration, controlPlane, controlMetrics, internal)
}

// The connections are idle after a request that was answered.
func TestIdleConnectionsOfCallers(t *testing.T) {
	testConnections(t, stalledConnections, wholeRequest, submit, entryCallers)
}

func TestIdleConnectionsOfControlPlane(t *testing.T) {
	testConnections(t, stalledConnections, wholeRequest, readConfiguration, controlPlane)
}

// largeHello is the start of a Hello that announces a frame of 4 GiB.
const largeHello = "\x80\x80\x80\x80\x10" + "\x0a\x08platform"

func TestStalledLargeHellos(t *testing.T) {
	testConnections(t, stalledConnections, largeHello, submit, internal)
}

// cluster is the name of the platform's cluster, which is the same everywhere, so that each
// client may know it.
const cluster = "platform"

// openSession opens a session as a process of the cluster does, under a name of its own, and
// returns nil if the process refuses it.
func openSession(c *crowd, address, identity string) net.Conn {
	conn := c.dial(address)
	if conn == nil {
		return nil
	}
	hello := &wirepb.Hello{Cluster: cluster, Process: conn.LocalAddr().String() + "~" + identity, BootId: identity, Protocol: wire.Protocol}
	if _, err := protodelim.MarshalTo(conn, hello); err != nil {
		return nil
	}
	return conn
}

// sessionClients is the number of clients that open sessions at once, each one after the
// other. It is below the number of Hellos that a process waits for.
const sessionClients = 16

// openSessions opens sessions one after the other, until one is refused.
func openSessions(c *crowd, address string, number int) {
	for range number {
		conn := openSession(c, address, newJobID())
		if conn == nil {
			return
		}
		// The process answers with its own Hello, or closes the connection.
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			return
		}
	}
}

// Guards against a process that uses up its descriptors for sessions, since a client may
// invent any number of names.
func TestManySessionsOfInternalAddress(t *testing.T) {
	s := startSystem(t, fewDescriptors)
	c := newCrowd(t)
	var all sync.WaitGroup
	for range sessionClients {
		all.Go(func() { openSessions(c, internal(s), stalledConnections/sessionClients) })
	}
	all.Wait()
	s.settle()
	s.eventually("an ordinary request is answered", submit)
	s.checkAll()
}

// stalledCalls is the number of calls of one session that stall.
const stalledCalls = 100

// callStart is the start of a call whose request has the largest size: the kind of the
// stream and the length of the request, 4 MiB.
const callStart = "C" + "\x80\x80\x80\x02"

// Guards against a process that reserves memory for whatever one connection announces, and
// keeps all of it while the bodies stall.
func TestOneConnectionAnnouncesBodyAfterBody(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, manyDescriptors)
	c := newCrowd(t)
	conn := openSession(c, internal(s), newJobID())
	is.True(conn != nil)
	var hello wirepb.Hello
	is.NoErr(protodelim.UnmarshalFrom(byteReader{conn}, &hello))
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	session, err := yamux.Client(conn, config)
	is.NoErr(err)
	defer func() { _ = session.Close() }()
	body := padding(wire.MaxFrameBytes - 1)
	for range stalledCalls {
		stream, err := session.OpenStream()
		if err != nil {
			break // the process has closed the connection, as it may
		}
		_ = stream.SetDeadline(timeToSend())
		if _, err := stream.Write([]byte(callStart)); err != nil {
			break
		}
		if _, err := stream.Write(body); err != nil {
			break
		}
	}
	s.settle()
	s.eventually("an ordinary request is answered", submit)
	s.checkAll()
}
