package untrusted

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	sendLimit = 5 * time.Second // for all that a connection sends; the receiver may read no more
	holdTime  = time.Second     // between the parts of a load, and after it, for the process to read what was sent
	pieceSize = 16 << 10        // of a body that is sent piece by piece

	largeChunk = 64 << 10
	smallChunk = 4

	announcedFarOver = 1 << 30 // of a body that is far over the limit
)

// target is an interface that receives bodies.
type target struct {
	address  func(s *system) string
	request  string // method and path; %s is replaced with a new job's name
	ordinary func(s *system) bool
	legal    int // largest body that a client may send, in bytes
	limit    int // of the interface, in bytes
	// dense is the start, the repeated part and the end of a body that takes much more
	// memory when decoded.
	dense [3]string

	denseSize  int // of a whole body
	wholeCrowd int // connections that send whole bodies
	crowd      int // connections that send other bodies of legal size
	overCrowd  int // connections that send bodies over the limit
}

var (
	callers = target{
		address: func(s *system) string { return s.entry.address(portCallers) }, request: "POST /q/%s", ordinary: submit,
		legal: 262_144, limit: 1 << 20, dense: [3]string{`{"spec":"","steps":[{}`, `,{}`, `]}`}, denseSize: 262_144,
		wholeCrowd: 32, crowd: 600, overCrowd: 200,
	}
	queueCallers = target{
		address: func(s *system) string { return s.entry.address(portMetrics) }, request: "PUT /v1/queues/r/jobs/%s", ordinary: submitToQueue,
		legal: 262_144, limit: 1 << 20, dense: [3]string{`{"spec":"","steps":[{}`, `,{}`, `]}`}, denseSize: 262_144,
		wholeCrowd: 32, crowd: 600, overCrowd: 200,
	}
	configurations = target{
		address: controlPlane, request: "PUT /configuration", ordinary: readConfiguration,
		legal: 16 << 20, limit: 16 << 20, dense: [3]string{`{"version":2,"services":[],"routes":[{}`, `,{}`, `]}`}, denseSize: 1 << 20,
		wholeCrowd: 8, crowd: 20, overCrowd: 20,
	}
	reports = target{
		address: controlPlane, request: "PUT /executors/i-2", ordinary: report,
		legal: 4 << 20, limit: 4 << 20, dense: [3]string{`{"labels":[""`, `,""`, `]}`}, denseSize: 4 << 20,
		wholeCrowd: 32, crowd: 80, overCrowd: 80,
	}
	// stateRequests have no use for a body, but may bring one.
	stateRequests = target{
		address: callers.address, request: "GET /q/%s", ordinary: submit, legal: callers.legal, limit: callers.limit, crowd: callers.crowd,
	}
	waves = target{
		address: controlPlane, request: "POST /wave-start", ordinary: readConfiguration,
		legal: 16 << 20, limit: 16 << 20, dense: [3]string{`{"wave":1,"machines":[""`, `,""`, `]}`}, denseSize: 16 << 20,
		wholeCrowd: 8, crowd: 20,
	}
)

// load is what each connection of a crowd sends after its request's line. The bytes are
// shared by all connections.
type load struct {
	connections int
	framing     string // header field that tells the length of the body
	bytes       []byte
	piece       int // bytes of one write
	hold        int // number of bytes that all connections send before one of them goes on, 0 if they don't wait
}

// padding returns the start of a body: white space, which JSON allows.
func padding(size int) []byte { return bytes.Repeat([]byte(" "), size) }

// chunked returns the encoding of size bytes in chunks of a size, without the end of the body.
func chunked(size, chunk int) []byte {
	encoded := fmt.Sprintf("%x\r\n%s\r\n", chunk, padding(chunk))
	return []byte(strings.Repeat(encoded, size/chunk))
}

func contentLength(size int) string { return fmt.Sprintf("Content-Length: %d", size) }

const chunkedFraming = "Transfer-Encoding: chunked"

// wholeBodies are sent at once, to their end.
func wholeBodies(to target) load {
	start, part, end := to.dense[0], to.dense[1], to.dense[2]
	body := start + strings.Repeat(part, (to.denseSize-len(start)-len(end))/len(part)) + end
	return load{connections: to.wholeCrowd, framing: contentLength(len(body)), bytes: []byte(body), piece: len(body)}
}

// bodiesInPieces are sent piece by piece, to their end; no body ends before all have been
// sent but for their last byte.
func bodiesInPieces(to target) load {
	return load{connections: to.crowd, framing: contentLength(to.legal), bytes: padding(to.legal), piece: pieceSize, hold: to.legal - 1}
}

// stallingBodies stop just short of their end.
func stallingBodies(to target) load {
	return load{connections: to.crowd, framing: contentLength(to.legal), bytes: padding(to.legal - 1), piece: to.legal, hold: to.legal - 1}
}

// stallingChunks stop just short of the end of the last chunk.
func stallingChunks(to target, chunk int) load {
	encoded := chunked(to.legal, chunk)
	encoded = encoded[:len(encoded)-len("\r\n")-1]
	return load{connections: to.crowd, framing: chunkedFraming, bytes: encoded, piece: len(encoded), hold: len(encoded)}
}

func stallingLargeChunks(to target) load { return stallingChunks(to, largeChunk) }

func stallingSmallChunks(to target) load { return stallingChunks(to, smallChunk) }

// announcedOverLimit bodies say that they are far over the limit, and go over it.
func announcedOverLimit(to target) load {
	return load{connections: to.overCrowd, framing: contentLength(announcedFarOver), bytes: padding(2 * to.limit), piece: 2 * to.limit, hold: to.limit - 1}
}

// sentOverLimit bodies go over the limit without saying so.
func sentOverLimit(to target) load {
	below := len(chunked(to.limit-largeChunk, largeChunk))
	return load{connections: to.overCrowd, framing: chunkedFraming, bytes: chunked(2*to.limit, largeChunk), piece: below, hold: below}
}

// crowd holds connections that stay open until the test ends.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

func newCrowd(t *testing.T) *crowd {
	c := &crowd{}
	t.Cleanup(c.close)
	return c
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// dial opens a connection, or returns nil if it is refused.
func (c *crowd) dial(address string) net.Conn {
	conn, err := net.DialTimeout("tcp", address, sendLimit)
	if err != nil {
		return nil
	}
	_ = conn.SetDeadline(timeToSend())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	return conn
}

// send sends a load from as many connections at once and returns when all have sent it, or
// were refused, or the time is over.
func (c *crowd) send(address, request string, l load) {
	var holding, all sync.WaitGroup
	holding.Add(l.connections)
	for range l.connections {
		all.Go(func() {
			conn := c.dial(address)
			sent := conn != nil && writePieces(conn, []byte(header(request, l.framing)), pieceSize) && writePieces(conn, l.bytes[:l.hold], l.piece)
			holding.Done()
			if l.hold > 0 {
				holding.Wait()
				time.Sleep(holdTime)
			}
			if sent {
				writePieces(conn, l.bytes[l.hold:], l.piece)
			}
		})
	}
	all.Wait()
}

func header(request, framing string) string {
	if strings.Contains(request, "%s") {
		request = fmt.Sprintf(request, newJobID())
	}
	return request + " HTTP/1.1\r\nHost: " + callersHost + "\r\n" + framing + "\r\n\r\n"
}

// writePieces writes data piece by piece and reports whether the receiver took it.
func writePieces(conn net.Conn, data []byte, piece int) bool {
	for len(data) > 0 {
		n := min(piece, len(data))
		if _, err := conn.Write(data[:n]); err != nil {
			return false
		}
		data = data[n:]
	}
	return true
}

// openAndStall opens connections to each address that send nothing, and as many that send
// only a start, after which they stall.
func (c *crowd) openAndStall(addresses []string, connections int, start string) {
	var all sync.WaitGroup
	for _, address := range addresses {
		for i := range connections {
			all.Go(func() {
				conn := c.dial(address)
				if conn != nil && i%2 == 0 {
					writePieces(conn, []byte(start), len(start))
				}
			})
		}
	}
	all.Wait()
}

// settle gives the processes time to read what the crowd has sent.
func (s *system) settle() { time.Sleep(holdTime) }

// timeToSend returns the time until which a connection sends.
func timeToSend() time.Time { return time.Now().Add(sendLimit) }

// byteReader reads from a connection without consuming more than it is asked for.
type byteReader struct{ net.Conn }

// ReadByte implements io.ByteReader.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := r.Read(b[:])
	return b[0], err
}
