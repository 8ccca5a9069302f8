package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/inbound"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// refusal is the reason why a call was rejected before its request was handled.
type refusal string

const (
	refusedStopping refusal = "the process is stopping"
	refusedBusy     refusal = "too many calls of this peer are in progress; retry later"
)

// serveCall serves one call. The call is counted before its request is read, so
// that the limit of calls also bounds the memory for the requests of a peer.
func (s *Server) serveCall(ctx context.Context, peer string, stream *muxStream, reader *bufio.Reader) {
	refused := s.beginCall(peer)
	if refused != "" {
		// The caller writes its whole request before it reads the response.
		if discardMessage(reader) == nil && s.respond(peer, stream, unavailable(string(refused))) {
			awaitClose(stream, reader)
		}
		return
	}
	defer s.calls.Done()
	if s.answerCall(ctx, peer, stream, reader) {
		awaitClose(stream, reader)
	}
}

// answerCall reads and handles a request and writes its response. It reports
// whether the response was written. Until then the call counts towards the limit
// of its peer.
func (s *Server) answerCall(ctx context.Context, peer string, stream *muxStream, reader *bufio.Reader) bool {
	defer s.endCall(peer)
	req := &wirepb.Request{}
	release, err := readLimited(s.options.CallLimits, stream, reader, req)
	defer release()
	var refused *inbound.FrameRefusedError
	if errors.As(err, &refused) {
		return s.respond(peer, stream, unavailable(refused.Error()))
	}
	if err != nil {
		s.options.Logger.Warn().Err(err).Str("peer", peer).Msg("call dropped: its request can't be read")
		return false
	}
	return s.respond(peer, stream, s.handle(ctx, peer, stream, reader, req))
}

// handle runs the handler of a call. It cancels the handler's context at the
// deadline of the call or when the caller closes the stream.
func (s *Server) handle(ctx context.Context, peer string, stream *muxStream, reader *bufio.Reader, req *wirepb.Request) *wirepb.Response {
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
		_, _ = reader.ReadByte() // the caller sends no data after a request, so this returns when the stream ends
		cancel()
	}()
	resp := s.handler.HandleCall(ctx, peer, req)
	_ = stream.SetReadDeadline(expired)
	<-watched
	return resp
}

// respond writes the response and reports whether this succeeded.
func (s *Server) respond(peer string, stream *muxStream, resp *wirepb.Response) bool {
	data, err := encodeFrame(0, resp)
	if err != nil {
		s.options.Logger.Error().Err(err).Str("peer", peer).Msg("call has no response: the response can't be encoded")
		return false
	}
	if stream.SetWriteDeadline(time.Now().Add(responseWriteTimeout)) != nil {
		return false
	}
	_, err = stream.Write(data)
	return err == nil
}

// awaitClose waits until the caller closes its side of the stream, which it does
// after it has read the response. If the session were closed earlier, a response
// that was written could be lost.
func awaitClose(stream *muxStream, reader *bufio.Reader) {
	if stream.closeWrite() == nil && stream.SetReadDeadline(time.Now().Add(responseReadTimeout)) == nil {
		_, _ = io.Copy(io.Discard, reader)
	}
}

// discardMessage reads a message and discards it.
func discardMessage(reader *bufio.Reader) error {
	size, err := binary.ReadUvarint(reader)
	if err != nil {
		return err
	}
	if size > MaxFrameBytes {
		return errFrameTooLarge
	}
	_, err = io.CopyN(io.Discard, reader, int64(size))
	return err
}

func unavailable(message string) *wirepb.Response {
	return &wirepb.Response{Error: &wirepb.Error{Kind: wirepb.Error_KIND_UNAVAILABLE, Message: message}}
}

// beginCall counts a call towards the limit of its peer and among the calls that
// Shutdown waits for. It returns the reason if the call is rejected.
func (s *Server) beginCall(peer string) refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return refusedStopping
	}
	if s.callsInProgress[peer] >= s.options.MaxCallsPerPeer {
		return refusedBusy
	}
	s.callsInProgress[peer]++
	s.calls.Add(1)
	return ""
}

// endCall removes a call from the count of its peer.
func (s *Server) endCall(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callsInProgress[peer]--; s.callsInProgress[peer] == 0 {
		delete(s.callsInProgress, peer)
	}
}
