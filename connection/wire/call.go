package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"time"

	"github.com/hashicorp/yamux"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// refusal is why a call was not begun; nothing was done.
type refusal string

const (
	refusedStopping refusal = "the process is stopping"
	refusedBusy     refusal = "too many calls of this peer are in progress; retry later"
)

// serveCall answers one call. The call counts before its request is read, so that
// a peer's requests in memory are bounded as well.
func (s *Server) serveCall(ctx context.Context, peer string, stream *yamux.Stream, r *bufio.Reader) {
	refused := s.beginCall(peer)
	if refused != "" {
		// The caller writes all of its request before it reads the answer.
		if discardMessage(r) == nil && s.respond(peer, stream, unavailable(string(refused))) {
			awaitClose(stream, r)
		}
		return
	}
	defer s.calls.Done()
	if s.answerCall(ctx, peer, stream, r) {
		awaitClose(stream, r)
	}
}

// answerCall reads, handles and answers a call that has begun, and reports
// whether its response was written. The call counts for its peer until then.
func (s *Server) answerCall(ctx context.Context, peer string, stream *yamux.Stream, r *bufio.Reader) bool {
	defer s.freePeer(peer)
	req := &wirepb.Request{}
	if err := readMessage(r, MaxFrameBytes, req); err != nil {
		s.o.Logger.Warn().Err(err).Str("peer", peer).Msg("request can't be read")
		return false
	}
	return s.respond(peer, stream, s.handle(ctx, peer, stream, r, req))
}

// handle runs the call for as long as its caller waits: until its deadline and
// while it keeps the stream open.
func (s *Server) handle(ctx context.Context, peer string, stream *yamux.Stream, r *bufio.Reader, req *wirepb.Request) *wirepb.Response {
	limit := callHandlingTimeout
	if req.DeadlineMs > 0 {
		limit = min(limit, time.Duration(req.DeadlineMs)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if stream.SetReadDeadline(time.Time{}) != nil {
		return unavailable("the caller has closed the stream")
	}
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_, _ = r.ReadByte() // nothing follows a request but the stream's end
		cancel()
	}()
	resp := s.h.HandleCall(ctx, peer, req)
	_ = stream.SetReadDeadline(time.Unix(1, 0))
	<-watched
	return resp
}

// respond reports whether the response was written.
func (s *Server) respond(peer string, stream *yamux.Stream, resp *wirepb.Response) bool {
	data, err := frame(0, resp)
	if err != nil {
		s.o.Logger.Error().Err(err).Str("peer", peer).Msg("response can't be sent")
		return false
	}
	if stream.SetWriteDeadline(time.Now().Add(responseWriteLimit)) != nil {
		return false
	}
	_, err = stream.Write(data)
	return err == nil
}

// awaitClose waits until the caller has closed its side, which it does once it
// has read the response. A session that is closed earlier can lose a response
// that was written.
func awaitClose(stream *yamux.Stream, r *bufio.Reader) {
	if stream.Close() == nil && stream.SetReadDeadline(time.Now().Add(responseReadLimit)) == nil {
		_, _ = io.Copy(io.Discard, r)
	}
}

// discardMessage reads a message without keeping it.
func discardMessage(r *bufio.Reader) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > MaxFrameBytes {
		return errors.New("message exceeds the bound of a frame")
	}
	_, err = io.CopyN(io.Discard, r, int64(size))
	return err
}

func unavailable(message string) *wirepb.Response {
	return &wirepb.Response{Error: &wirepb.Error{Kind: wirepb.Error_KIND_UNAVAILABLE, Message: message}}
}

// beginCall counts a call, for its peer and for a graceful stop, or returns why it
// is refused.
func (s *Server) beginCall(peer string) refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return refusedStopping
	}
	if s.busy[peer] >= s.o.MaxCallsPerPeer {
		return refusedBusy
	}
	s.busy[peer]++
	s.calls.Add(1)
	return ""
}

func (s *Server) freePeer(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[peer]--; s.busy[peer] == 0 {
		delete(s.busy, peer)
	}
}
