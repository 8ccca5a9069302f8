// Package wire transports messages between the processes of the system, as
// length-delimited protobuf messages in yamux sessions over TCP.
//
// A session begins with a Hello in each direction. Each stream begins with one
// byte for its kind: a call (one Request, one Response), consensus messages, chunks of
// consensus snapshots, or messages between the leader of jobs and its relays. Streams of
// the last three kinds carry many messages and can last as long as the session.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/inbound"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// Protocol is the version of the protocol. Both sides of a session must have the
// same version.
const Protocol = 1

const (
	// MaxFrameBytes is the maximum size of a message.
	MaxFrameBytes = 4 << 20

	maxHelloBytes        = 4 << 10
	maxStreams           = 200 // per session; must be below yamux's accept backlog of 256
	maxSessionsPerPeer   = 4
	maxCallsPerPeer      = 128 // in progress, in all sessions of the peer
	maxPendingHellos     = 32
	defaultMaxSessions   = 1024
	maxStreamsPerKind    = 4        // of one session, for each kind of one-way messages
	smallFrameBytes      = 16 << 10 // a larger frame is read within the limits of memory
	decodedFrameFactor   = 3        // memory of a decoded message for each byte of its frame
	queueMessages        = 4096     // one-way messages that wait for one peer
	raftQueueBytes       = 32 << 20
	chunkQueueBytes      = 8 << 20
	relayQueueBytes      = 8 << 20
	helloTimeout         = time.Second
	dialTimeout          = time.Second
	redialDelay          = 200 * time.Millisecond
	raftWriteTimeout     = 2 * time.Second
	chunkWriteTimeout    = 10 * time.Second
	relayWriteTimeout    = time.Second
	requestReadTimeout   = 10 * time.Second
	responseWriteTimeout = 10 * time.Second
	responseReadTimeout  = 2 * time.Second
	keepAliveInterval    = 700 * time.Millisecond
	keepAliveTimeout     = time.Second
	streamCloseTimeout   = 10 * time.Second
	callHandlingTimeout  = 30 * time.Second
)

// First byte of a stream, by the kind of the stream.
const (
	streamCall     = 'C'
	streamRaft     = 'R'
	streamSnapshot = 'S'
	streamRelay    = 'O'
)

// Options are the parameters of a Server or a Pool.
type Options struct {
	Cluster string
	Process string // this process's name
	BootID  string // differs for every start of the process
	// Listen is the address to listen on. Only a Server uses it.
	Listen string
	// Peers are the addresses (IP and port) of the processes that may connect or
	// be called, by name. The IP is also the only source address accepted.
	Peers map[string]string
	// Resolve returns the address of a process that is not in Peers, for groups
	// whose members change. It may be nil.
	Resolve func(process string) (address string, known bool)
	// Matches reports whether the process that responded is the one that was
	// called, although their names differ. If it is nil, the names must be equal.
	Matches func(called, responded string) bool
	// LocalIP is the source address of dialled connections. If it is empty, the
	// operating system chooses one.
	LocalIP string
	// MaxCallsPerPeer is the maximum number of calls of one peer in progress; 0
	// means 128. Further calls get the error KIND_UNAVAILABLE. Only a Server uses
	// it.
	MaxCallsPerPeer int
	// MaxSessions is the maximum number of sessions that peers have opened; 0 means 1024.
	// Above it the oldest session of the address that has most is closed. Only a Server
	// uses it.
	MaxSessions int
	// CallLimits bound the memory for the requests of calls, MessageLimits that for one-way
	// messages, so that a crowd of calls does not delay consensus. Nil means that there is no
	// limit. Only a Server uses them.
	CallLimits, MessageLimits *inbound.Limits
	Logger                    zerolog.Logger
}

// NotSentError reports a call that failed before any byte of it was written.
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
// in part. The peer may have processed it.
type OutcomeUnknownError struct {
	Peer string
	Err  error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of the call to %q is unknown: %v; retry it with the same request id", e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// PeerError reports a peer that is rejected because it does not match this
// process's settings.
type PeerError struct{ Detail string }

// Error implements error.
func (e *PeerError) Error() string {
	return fmt.Sprintf("peer refused: %s; correct the table of peers in the settings", e.Detail)
}

// yamuxConfig returns a configuration that closes a session in under two seconds
// after a network partition that drops packets silently. A ping is sent every
// keepAliveInterval and must be acknowledged within keepAliveTimeout.
func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = true
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = keepAliveTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	return c
}

// encodeFrame encodes a message with its length in front. If kind is not 0, it is
// the first byte, which begins a stream.
func encodeFrame(kind byte, m proto.Message) ([]byte, error) {
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

// readLimited reads a message within limits. The memory is held until release.
func readLimited(limits *inbound.Limits, stream *muxStream, r *bufio.Reader, m proto.Message) (release func(), err error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return func() {}, err
	}
	if size > MaxFrameBytes {
		return func() {}, errFrameTooLarge
	}
	data, release, err := readFrame(limits, stream, r, int64(size))
	if err == nil {
		err = proto.Unmarshal(data, m)
	}
	if err != nil {
		release()
		return func() {}, err
	}
	return release, nil
}

func readFrame(limits *inbound.Limits, stream *muxStream, r *bufio.Reader, size int64) (data []byte, release func(), err error) {
	if size <= smallFrameBytes {
		data = make([]byte, size)
		_, err = io.ReadFull(r, data)
		return data, func() {}, err
	}
	data, release, err = limits.ReadFrame(r, size, decodedFrameFactor, stream.endReads)
	var refused *inbound.FrameRefusedError
	if errors.As(err, &refused) {
		_, discardErr := io.CopyN(io.Discard, r, size-refused.ReadBytes)
		err = errors.Join(err, discardErr)
	}
	return data, release, err
}

var errFrameTooLarge = errors.New("message exceeds the limit of MaxFrameBytes")

// unbufferedReader reads a Hello from a connection without consuming the bytes
// after it.
type unbufferedReader struct{ net.Conn }

// ReadByte implements io.ByteReader.
func (r unbufferedReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Conn, b[:])
	return b[0], err
}

// address returns the address of a process and whether the process is known.
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
	data, err := encodeFrame(0, o.hello())
	if err != nil {
		return err
	}
	_, err = conn.Write(data)
	return err
}

// receiveHello reads the peer's Hello and checks its content and the source address
// of the connection.
func (o *Options) receiveHello(conn net.Conn) (*wirepb.Hello, error) {
	received := &wirepb.Hello{}
	opts := protodelim.UnmarshalOptions{MaxSize: maxHelloBytes}
	if err := opts.UnmarshalFrom(unbufferedReader{conn}, received); err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}
	if received.Cluster != o.Cluster || received.Protocol != Protocol {
		return nil, &PeerError{Detail: fmt.Sprintf("%q belongs to cluster %q and uses protocol %d", received.Process, received.Cluster, received.Protocol)}
	}
	address, ok := o.address(received.Process)
	if !ok {
		return nil, &PeerError{Detail: fmt.Sprintf("process %q is not in the table", received.Process)}
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, &PeerError{Detail: err.Error()}
	}
	source, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil || !net.ParseIP(source).Equal(net.ParseIP(host)) {
		return nil, &PeerError{Detail: fmt.Sprintf("process %q connects from %s, not %s", received.Process, source, host)}
	}
	return received, nil
}
