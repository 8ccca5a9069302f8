package wire

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"marjoramtiller.example/marjoramtiller/connection/inbound"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

const testTimeout = 20 * time.Second

type testHandler struct {
	block chan struct{} // if set, calls wait until it is closed
	began chan struct{} // receives a value at the begin of a call
	raft  chan *wirepb.RaftMessage
}

func (h *testHandler) HandleCall(ctx context.Context, peer string, req *wirepb.Request) *wirepb.Response {
	if h.block != nil {
		h.began <- struct{}{}
		select {
		case <-h.block:
		case <-ctx.Done():
		}
	}
	return &wirepb.Response{Body: &wirepb.Response_Dump{Dump: &wirepb.DumpResponse{Json: []byte(peer)}}}
}

func (h *testHandler) HandleRaft(_ string, m *wirepb.RaftMessage) {
	select {
	case h.raft <- m:
	default:
	}
}

func testOptions(process string, peers map[string]string) Options {
	return Options{Cluster: "test", Process: process, BootID: "boot-" + process, Listen: "127.0.0.1:0", Peers: peers}
}

// start runs a server "s" that accepts the peer "c", and returns it and a pool of "c".
func start(t *testing.T, h Handler) (*Server, *Pool) {
	t.Helper()
	s, err := Listen(testOptions("s", map[string]string{"c": "127.0.0.1:1"}), h)
	if err != nil {
		t.Fatal(err)
	}
	p := NewPool(testOptions("c", map[string]string{"s": s.Addr().String()}))
	t.Cleanup(func() {
		_ = p.Close()
		_ = s.Close()
	})
	return s, p
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func dumpRequest() *wirepb.Request {
	return &wirepb.Request{Body: &wirepb.Request_Dump{Dump: &wirepb.DumpRequest{}}}
}

// Guards against a response that is returned to another call, and against
// consensus messages that are lost, reordered or truncated on a working connection.
func TestCallsAndRaftMessages(t *testing.T) {
	is := is.New(t)
	h := &testHandler{raft: make(chan *wirepb.RaftMessage, 100)}
	_, p := start(t, h)
	ctx := testContext(t)
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			resp, err := p.Call(ctx, "s", dumpRequest())
			if err != nil || string(resp.GetDump().GetJson()) != "c" {
				t.Errorf("call: %v %v", resp, err)
			}
		})
	}
	wg.Wait()
	is.Equal(p.BootID("s"), "boot-s")
	for i := range uint64(50) {
		p.SendRaft("s", &wirepb.RaftMessage{Group: "g", Index: i + 1})
	}
	for i := range uint64(50) {
		is.Equal((<-h.raft).Index, i+1)
	}
	for i := range uint64(4) {
		chunk := &wirepb.SnapshotChunk{Offset: i, Data: make([]byte, 3<<20)}
		p.SendRaft("s", &wirepb.RaftMessage{Type: wirepb.RaftMessage_TYPE_SNAPSHOT_CHUNK, Chunk: chunk})
		got := (<-h.raft).Chunk
		is.Equal(got.Offset, i)
		is.Equal(len(got.Data), 3<<20)
	}
}

// Guards against accepting a process that is not configured, belongs to another
// cluster or connects from another address.
func TestOnlyConfiguredPeersAreAccepted(t *testing.T) {
	h := &testHandler{}
	cases := map[string]struct {
		allowed map[string]string
		change  func(o *Options)
	}{
		"unknown name":   {map[string]string{"other": "127.0.0.1:1"}, func(*Options) {}},
		"other address":  {map[string]string{"c": "127.0.0.9:1"}, func(*Options) {}},
		"other cluster":  {map[string]string{"c": "127.0.0.1:1"}, func(o *Options) { o.Cluster = "else" }},
		"server renamed": {map[string]string{"c": "127.0.0.1:1"}, func(o *Options) { o.Peers = map[string]string{"x": o.Peers["s"]} }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := Listen(testOptions("s", tc.allowed), h)
			is.NoErr(err)
			defer func() { _ = s.Close() }()
			o := testOptions("c", map[string]string{"s": s.Addr().String()})
			tc.change(&o)
			p := NewPool(o)
			defer func() { _ = p.Close() }()
			for peer := range o.Peers {
				_, err = p.Call(testContext(t), peer, dumpRequest())
			}
			var notSent *NotSentError
			is.True(errors.As(err, &notSent))
		})
	}
}

// Guards against a call with unknown outcome that is reported as safe to retry,
// and against a call that was not sent but is reported as of unknown outcome.
func TestFailedCallsTellWhetherTheyWereSent(t *testing.T) {
	is := is.New(t)
	h := &testHandler{block: make(chan struct{}), began: make(chan struct{}, 1)}
	s, p := start(t, h)
	var notSent *NotSentError
	var unknown *OutcomeUnknownError
	tooLarge := &wirepb.Request{Body: &wirepb.Request_Announce{Announce: &wirepb.AnnounceRequest{}}}
	tooLarge.ProtoReflect().SetUnknown(append([]byte{0xfa, 0x7f, 0x80, 0x80, 0x80, 0x02}, make([]byte, 4<<20)...))
	_, err := p.Call(testContext(t), "s", tooLarge)
	is.True(errors.As(err, &notSent))

	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		<-h.began
		cancel()
	}()
	_, err = p.Call(ctx, "s", dumpRequest())
	is.True(errors.As(err, &unknown))
	is.True(errors.Is(err, context.Canceled))

	go func() {
		<-h.began
		_ = s.Close()
	}()
	_, err = p.Call(testContext(t), "s", dumpRequest())
	is.True(errors.As(err, &unknown))
	_, err = p.Call(testContext(t), "s", dumpRequest())
	is.True(errors.As(err, &notSent))
}

// Guards against a Shutdown that interrupts a call in progress.
func TestShutdownWaitsForCalls(t *testing.T) {
	is := is.New(t)
	h := &testHandler{block: make(chan struct{}), began: make(chan struct{}, 1)}
	s, p := start(t, h)
	result := make(chan error, 1)
	go func() {
		_, err := p.Call(testContext(t), "s", dumpRequest())
		result <- err
	}()
	<-h.began
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(testContext(t)) }()
	close(h.block)
	is.NoErr(<-result)
	is.NoErr(<-stopped)
}

// relay forwards connections until silent is closed. Then it drops all data but
// keeps the connections open, as a network partition does.
type relay struct {
	listener net.Listener
	silent   chan struct{}
}

func startRelay(t *testing.T, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{l, make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			incoming, err := l.Accept()
			if err != nil {
				return
			}
			outgoing, err := net.Dial("tcp", target)
			if err != nil {
				_ = incoming.Close()
				return
			}
			go r.copy(incoming, outgoing)
			go r.copy(outgoing, incoming)
		}
	}()
	return r
}

func (r *relay) copy(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 1<<16)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-r.silent:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// waitHandler handles each call until its context ends, and sends the context's
// error to ended.
type waitHandler struct {
	testHandler
	ended chan error
}

func (h *waitHandler) HandleCall(ctx context.Context, _ string, _ *wirepb.Request) *wirepb.Response {
	h.began <- struct{}{}
	<-ctx.Done()
	h.ended <- ctx.Err()
	return unavailable("the caller is gone")
}

// Guards against a server that continues a call whose caller no longer waits,
// because the caller cancelled the call or its deadline has passed.
func TestCallEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	h := &waitHandler{testHandler: testHandler{began: make(chan struct{}, 1)}, ended: make(chan error, 1)}
	s, p := start(t, h)
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		<-h.began
		cancel()
	}()
	_, err := p.Call(ctx, "s", dumpRequest())
	var unknown *OutcomeUnknownError
	is.True(errors.As(err, &unknown))
	is.Equal(<-h.ended, context.Canceled)

	req := dumpRequest()
	req.DeadlineMs = 10 // the caller keeps the stream open, so only the deadline can end the call
	_, err = p.Call(context.Background(), "s", req)
	is.NoErr(err)
	is.Equal(<-h.ended, context.DeadlineExceeded)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.True(len(s.callsInProgress) <= 1) // the response was read, but the server may still count the call
}

// Guards against calls of one peer that exhaust the process, and against a
// rejection of a call without the error KIND_UNAVAILABLE, which states that nothing
// was done.
func TestCallsOfAPeerAreBounded(t *testing.T) {
	is := is.New(t)
	h := &testHandler{block: make(chan struct{}), began: make(chan struct{}, 2)}
	o := testOptions("s", map[string]string{"c": "127.0.0.1:1", "other": "127.0.0.1:1"})
	o.MaxCallsPerPeer = 2
	s, err := Listen(o, h)
	is.NoErr(err)
	defer func() { _ = s.Close() }()
	peers := map[string]string{"s": s.Addr().String()}
	p, other := NewPool(testOptions("c", peers)), NewPool(testOptions("other", peers))
	defer func() { _, _ = p.Close(), other.Close() }()
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { _, _ = p.Call(testContext(t), "s", dumpRequest()) })
		<-h.began
	}
	large := &wirepb.Request{Body: &wirepb.Request_Sync{Sync: &wirepb.SyncRequest{Entry: strings.Repeat("x", 2<<20)}}}
	for _, req := range []*wirepb.Request{dumpRequest(), large} {
		resp, err := p.Call(testContext(t), "s", req)
		is.NoErr(err)
		is.Equal(resp.GetError().GetKind(), wirepb.Error_KIND_UNAVAILABLE)
	}
	wg.Go(func() { _, _ = other.Call(testContext(t), "s", dumpRequest()) })
	<-h.began // calls of another peer are still handled
	close(h.block)
	wg.Wait()
	for { // the server may still count calls whose responses were read
		resp, err := p.Call(testContext(t), "s", dumpRequest())
		is.NoErr(err)
		if resp.GetError() == nil {
			break
		}
		is.Equal(resp.GetError().GetKind(), wirepb.Error_KIND_UNAVAILABLE)
	}
}

// Guards against a call that hangs while the network drops all packets silently.
// The deadline of the call is much later than the keepalive timeout, so only the
// keepalive can end the call in time.
func TestSilentPartitionEndsTheSession(t *testing.T) {
	is := is.New(t)
	h := &testHandler{block: make(chan struct{}), began: make(chan struct{}, 1)}
	s, _ := start(t, h)
	r := startRelay(t, s.Addr().String())
	p := NewPool(testOptions("c", map[string]string{"s": r.listener.Addr().String()}))
	defer func() { _ = p.Close() }()
	go func() {
		<-h.began
		close(r.silent)
	}()
	ctx := testContext(t)
	_, err := p.Call(ctx, "s", dumpRequest())
	var unknown *OutcomeUnknownError
	is.True(errors.As(err, &unknown))
	is.NoErr(ctx.Err()) // the keepalive ended the call, not its deadline
}

// Guards against a queue that grows without bound, or that drops new messages and
// keeps old ones.
func TestRaftQueueDropsOldest(t *testing.T) {
	is := is.New(t)
	queue := newSendQueue(streamRaft, raftQueueBytes, raftWriteTimeout)
	for i := range uint64(queueMessages + 10) {
		queue.push(&wirepb.RaftMessage{Index: i})
	}
	got := queue.takeAll()
	is.Equal(len(got), queueMessages)
	is.Equal(got[0].(*wirepb.RaftMessage).Index, uint64(10))
	is.Equal(queue.dropped, uint64(10))
	for range 20 {
		queue.push(&wirepb.RaftMessage{Entries: []*wirepb.RaftEntry{{Data: make([]byte, 3<<20)}}})
	}
	is.True(queue.bytes <= raftQueueBytes)
}

// Guards against a frame length that makes the receiver allocate memory without
// bound, and against an invalid stream that closes the whole session.
func TestOversizeFrameEndsTheStream(t *testing.T) {
	is := is.New(t)
	_, p := start(t, &testHandler{})
	ctx := testContext(t)
	remote, err := p.peer("s")
	is.NoErr(err)
	session, err := p.session(ctx, remote)
	is.NoErr(err)
	for _, kind := range []byte{streamCall, streamRaft, 'x'} {
		stream, err := session.OpenStream()
		is.NoErr(err)
		_, err = stream.Write(binary.AppendUvarint([]byte{kind}, MaxFrameBytes+1))
		is.NoErr(err)
		_, err = stream.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
	}
	_, err = p.Call(ctx, "s", dumpRequest())
	is.NoErr(err)
	is.Equal(remote.openSession(), session)
	_, err = encodeFrame(0, &wirepb.RaftMessage{Group: string(make([]byte, MaxFrameBytes+1))})
	is.True(err != nil) // a message above the limit isn't sent either
}

// Guards against goroutines and connections that remain after Close, also those
// of a connection on which no Hello was sent.
func TestCloseLeavesNothingBehind(t *testing.T) {
	is := is.New(t)
	ignore := goleak.IgnoreCurrent()
	h := &testHandler{raft: make(chan *wirepb.RaftMessage, 1)}
	s, err := Listen(testOptions("s", map[string]string{"c": "127.0.0.1:1"}), h)
	is.NoErr(err)
	p := NewPool(testOptions("c", map[string]string{"s": s.Addr().String()}))
	_, err = p.Call(testContext(t), "s", dumpRequest())
	is.NoErr(err)
	p.SendRaft("s", &wirepb.RaftMessage{Group: "g"})
	<-h.raft
	withoutHello, err := net.Dial("tcp", s.Addr().String())
	is.NoErr(err)
	is.NoErr(p.Close())
	is.NoErr(s.Close())
	is.NoErr(withoutHello.Close())
	_, err = p.Call(testContext(t), "s", dumpRequest())
	var notSent *NotSentError
	is.True(errors.As(err, &notSent))
	goleak.VerifyNone(t, ignore)
}

// Guards against input that makes readMessage panic or accept a message above the
// limit, and against a message read from empty input.
func FuzzReadMessage(f *testing.F) {
	data, err := encodeFrame(0, &wirepb.RaftMessage{Group: "g", Entries: []*wirepb.RaftEntry{{Index: 1, Data: []byte("x")}}})
	if err != nil {
		f.Fatal(err)
	}
	randomtest.Add(f, data)
	randomtest.Add(f, binary.AppendUvarint(nil, 1<<40))
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1 << 10
		m := &wirepb.RaftMessage{}
		if readMessage(bufio.NewReader(bytes.NewReader(data)), limit, m) == nil && len(data) == 0 {
			t.Fatal("a message was read from empty input")
		}
		_ = readMessage(bufio.NewReader(bytes.NewReader(data)), limit, &wirepb.Request{})
	})
}

// Guards against calls that take more memory than there is, and against one without room that
// is carried out or that its caller does not know to be refused.
func TestCallWithoutMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	limits := inbound.New(inbound.Options{BudgetBytes: 4 << 20})
	options := testOptions("s", map[string]string{"c": "127.0.0.1:1"})
	options.CallLimits = limits
	handler := &testHandler{block: make(chan struct{}), began: make(chan struct{}, 2)}
	s, err := Listen(options, handler)
	is.NoErr(err)
	p := NewPool(testOptions("c", map[string]string{"s": s.Addr().String()}))
	t.Cleanup(func() {
		_ = p.Close()
		_ = s.Close()
	})
	large := &wirepb.Request{Body: &wirepb.Request_Job{Job: &jobpb.Request{Path: strings.Repeat("x", 1<<20)}}}
	answered := make(chan error, 1)
	go func() {
		resp, err := p.Call(testContext(t), "s", large)
		if err == nil && resp.Error != nil {
			err = errors.New(resp.Error.Message)
		}
		answered <- err
	}()
	<-handler.began
	resp, err := p.Call(testContext(t), "s", large)
	is.NoErr(err)
	is.Equal(resp.Error.GetKind(), wirepb.Error_KIND_UNAVAILABLE)
	is.Equal(len(handler.began), 0) // the second call was not handled
	close(handler.block)
	is.NoErr(<-answered)
}

// Guards against sessions under invented names that use up the descriptors of a process, and
// against a crowd of silent connections that keeps peers out.
func TestCrowdOfSessionsGivesWay(t *testing.T) {
	is := is.New(t)
	options := testOptions("s", nil)
	options.Resolve = func(string) (string, bool) { return "127.0.0.1:1", true }
	options.MaxSessions = 3
	s, err := Listen(options, &testHandler{})
	is.NoErr(err)
	t.Cleanup(func() { _ = s.Close() })
	for range 2 * maxPendingHellos {
		silent, err := net.Dial("tcp", s.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = silent.Close() })
	}
	for i := range 10 {
		p := NewPool(testOptions(fmt.Sprintf("c%d", i), map[string]string{"s": s.Addr().String()}))
		t.Cleanup(func() { _ = p.Close() })
		_, err := p.Call(testContext(t), "s", dumpRequest())
		is.NoErr(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	is.True(len(s.allSessions.open) <= 3)
	is.True(len(s.pendingHellos.open) <= maxPendingHellos)
}
