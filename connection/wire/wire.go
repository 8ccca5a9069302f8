// Package wire carries the messages between the system's processes: yamux
// sessions over TCP with length-delimited protobuf messages.
//
// A session begins with a Hello in each direction. Each stream begins with one
// byte that names its kind: a call (one Request, one Response), consensus
// messages or chunks of consensus snapshots (many, for as long as the session
// lasts).
package wire

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// Protocol is the version of the protocol; both sides of a session must agree.
const Protocol = 1

const (
	// MaxFrameBytes bounds each message.
	MaxFrameBytes = 4 << 20

	maxHelloBytes       = 4 << 10
	maxStreams          = 200 // of one session; below yamux's accept backlog of 256
	maxSessionsPerPeer  = 4
	maxCallsPerPeer     = 128 // in progress, over all sessions
	maxPendingHellos    = 32
	raftQueueMessages   = 4096
	raftQueueBytes      = 32 << 20
	chunkQueueBytes     = 8 << 20
	helloTimeout        = time.Second
	dialTimeout         = time.Second
	redialDelay         = 200 * time.Millisecond
	raftWriteTimeout    = 2 * time.Second
	chunkWriteTimeout   = 10 * time.Second
	requestReadTimeout  = 10 * time.Second
	responseWriteLimit  = 10 * time.Second
	responseReadLimit   = 2 * time.Second
	keepAliveInterval   = 700 * time.Millisecond
	keepAliveTimeout    = time.Second
	streamCloseTimeout  = 10 * time.Second
	callHandlingTimeout = 30 * time.Second
)

const (
	streamCall     = 'C'
	streamRaft     = 'R'
	streamSnapshot = 'S'
)

// Options are the parameters of a Server or a Pool.
type Options struct {
	Cluster string
	Process string // this process's name
	BootID  string // new at every start of the process
	// Listen is the address to listen on. Server only.
	Listen string
	// Peers are the addresses (IP and port) of the processes that may connect or
	// be called, by name. The IP is also the only source address accepted.
	Peers map[string]string
	// Resolve returns the address of a process that Peers lacks, for groups whose
	// members change. It is used if Peers has no such name, and may be nil.
	Resolve func(process string) (address string, known bool)
	// Matches reports whether the process that answers is the one that was
	// called. The names must be equal if it is nil.
	Matches func(called, answers string) bool
	// LocalIP is the source address of dialled connections, the system's choice
	// if empty.
	LocalIP string
	// MaxCallsPerPeer bounds the calls of one peer that are in progress, 128 if
	// 0. Calls beyond it are answered as unavailable. Server only.
	MaxCallsPerPeer int
	Logger          zerolog.Logger
}

// NotSentError reports a call that failed before anything of it was written.
type NotSentError struct {
	Peer string
	Err  error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("call to %q was not sent: %v; it is safe to retry", e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// OutcomeUnknownError reports a call that failed after it was written, at least
// in part. The peer may have acted on it.
type OutcomeUnknownError struct {
	Peer string
	Err  error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of the call to %q is unknown: %v; ask again with the same request id", e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// PeerError reports a peer that the configured table does not allow.
type PeerError struct{ Detail string }

// Error implements error.
func (e *PeerError) Error() string {
	return fmt.Sprintf("peer refused: %s; correct the table of peers in the settings", e.Detail)
}

// yamuxConfig makes a silent partition end the session in under two seconds: a
// ping is sent every keepAliveInterval and waits at most keepAliveTimeout.
func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = true
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = keepAliveTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	return c
}

func frame(kind byte, m proto.Message) ([]byte, error) {
	size := proto.Size(m)
	if size > MaxFrameBytes {
		return nil, fmt.Errorf("message of %d bytes exceeds %d", size, MaxFrameBytes)
	}
	w := &sliceWriter{}
	if kind != 0 {
		w.data = append(w.data, kind)
	}
	if _, err := protodelim.MarshalTo(w, m); err != nil {
		return nil, err
	}
	return w.data, nil
}

type sliceWriter struct{ data []byte }

func (w *sliceWriter) Write(p []byte) (int, error) {
	w.data = append(w.data, p...)
	return len(p), nil
}

func readMessage(r *bufio.Reader, limit int64, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(r, m)
}

// byteReader reads a Hello from a connection without buffering what follows it.
type byteReader struct{ net.Conn }

// ReadByte implements io.ByteReader.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Conn, b[:])
	return b[0], err
}

func (o *Options) address(process string) (string, bool) {
	if address, known := o.Peers[process]; known || o.Resolve == nil {
		return address, known
	}
	return o.Resolve(process)
}

func (o *Options) hello() *wirepb.Hello {
	return &wirepb.Hello{Cluster: o.Cluster, Process: o.Process, BootId: o.BootID, Protocol: Protocol}
}

func (o *Options) sendHello(conn net.Conn) error {
	data, err := frame(0, o.hello())
	if err != nil {
		return err
	}
	_, err = conn.Write(data)
	return err
}

// receiveHello reads the peer's Hello and checks it and the address that it
// comes from.
func (o *Options) receiveHello(conn net.Conn) (*wirepb.Hello, error) {
	h := &wirepb.Hello{}
	opts := protodelim.UnmarshalOptions{MaxSize: maxHelloBytes}
	if err := opts.UnmarshalFrom(byteReader{conn}, h); err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}
	if h.Cluster != o.Cluster || h.Protocol != Protocol {
		return nil, &PeerError{Detail: fmt.Sprintf("%q is of cluster %q, protocol %d", h.Process, h.Cluster, h.Protocol)}
	}
	address, ok := o.address(h.Process)
	if !ok {
		return nil, &PeerError{Detail: fmt.Sprintf("process %q is not in the table", h.Process)}
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, &PeerError{Detail: err.Error()}
	}
	source, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil || !net.ParseIP(source).Equal(net.ParseIP(host)) {
		return nil, &PeerError{Detail: fmt.Sprintf("process %q connects from %s, not %s", h.Process, source, host)}
	}
	return h, nil
}
