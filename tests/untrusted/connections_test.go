package untrusted

import (
	"net"
	"testing"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"

	"marjoramtiller.example/marjoramtiller/connection/wire"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// stalledConnections is above fewDescriptors.
const stalledConnections = 400

const halfHeader = "POST /q/0 HTTP/1.1\r\nHost: a.exa"

// testConnections opens connections that send nothing or half a header and stay open. Guards
// against a process that uses up its descriptors, so that it can open no file and accept no
// connection.
func testConnections(t *testing.T, address func(s *system) string, start string, ordinary func(s *system) bool) {
	t.Helper()
	s := startSystem(t, fewDescriptors)
	newCrowd(t).openAndStall(address(s), stalledConnections, []byte(start))
	s.settle()
	s.eventually("an ordinary request is answered", ordinary)
	s.checkAll()
}

func TestStalledConnectionsOfCallers(t *testing.T) {
	testConnections(t, func(s *system) string { return s.entry.address(portCallers) }, halfHeader, submit)
}

func TestStalledConnectionsOfReadiness(t *testing.T) {
	testConnections(t, func(s *system) string { return s.entry.address(portReadiness) }, halfHeader, checkReadiness)
}

func TestStalledConnectionsOfEntryMetrics(t *testing.T) {
	testConnections(t, func(s *system) string { return s.entry.address(portMetrics) }, halfHeader, readEntryMetrics)
}

func TestStalledConnectionsOfControlMetrics(t *testing.T) {
	testConnections(t, func(s *system) string { return s.control.address(portMetrics) }, halfHeader, readControlMetrics)
}

func TestStalledConnectionsOfControlPlane(t *testing.T) {
	testConnections(t, controlPlane, halfHeader, readConfiguration)
}

func controlPlane(s *system) string { return s.control.address(portControlPlane) }

func internal(s *system) string { return s.control.address(portInternal) }

func TestStalledConnectionsOfInternalAddress(t *testing.T) {
	testConnections(t, internal, "\x10", submit)
}

// largeHello is the start of a Hello that announces a frame of 4 GiB.
const largeHello = "\x80\x80\x80\x80\x10" + "\x0a\x08platform"

func TestStalledLargeHellos(t *testing.T) { testConnections(t, internal, largeHello, submit) }

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

// Guards against a process that uses up its descriptors for sessions, since a client may
// invent any number of names.
func TestManySessionsOfInternalAddress(t *testing.T) {
	s := startSystem(t, fewDescriptors)
	c := newCrowd(t)
	for range stalledConnections {
		conn := openSession(c, internal(s), newJobID())
		if conn == nil {
			continue
		}
		_, _ = conn.Read(make([]byte, 1)) // the Hello of the process, or the end of the connection
	}
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
