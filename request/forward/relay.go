package forward

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// errCallerGone stops the reading of a body that can't be written to the caller.
var errCallerGone = errors.New("forward: the response can't be written to the caller; the rest of its body is discarded")

// Relay writes the response to the caller as CopyTo does, but reads up to limit
// bytes ahead, so that a caller that reads slowly does not occupy the backend
// server. onBodyEnd is called once, when the body was read to its end or reading
// it failed. At that time the caller may not have received the whole body.
func (r *Response) Relay(w http.ResponseWriter, prefix []byte, limit int, onBodyEnd func(error)) error {
	switch {
	case limit < copyBufferBytes && (r.ContentLength < 0 || r.ContentLength > int64(limit)):
		err := r.CopyTo(w, prefix)
		onBodyEnd(err)
		return err
	case r.ContentLength >= 0 && r.ContentLength <= int64(limit):
		return r.relayWhole(w, prefix, onBodyEnd)
	}
	spooled := newSpool(limit)
	done := make(chan struct{})
	go func() {
		defer close(done)
		err := spooled.fill(r.Body)
		if err == nil {
			err = r.checkLength(spooled.total + int64(len(prefix)))
		}
		_ = r.Body.Close()
		onBodyEnd(err)
		spooled.end(err)
	}()
	err := r.copySpool(w, prefix, spooled)
	if err != nil {
		spooled.end(errCallerGone)
		_ = r.Body.Close()
	}
	<-done
	return err
}

// relayWhole reads the whole body, whose length is known, before it writes any
// of it to the caller.
func (r *Response) relayWhole(w http.ResponseWriter, prefix []byte, onBodyEnd func(error)) error {
	rest, err := io.ReadAll(r.Body)
	if err == nil {
		err = r.checkLength(int64(len(prefix) + len(rest)))
	}
	_ = r.Body.Close()
	onBodyEnd(err)
	if err != nil {
		return errors.Wrap(err, "read from the backend server")
	}
	r.writeHead(w)
	for _, part := range [][]byte{prefix, rest} {
		if len(part) == 0 {
			continue
		}
		if _, err := w.Write(part); err != nil {
			return errors.Wrap(err, "write to the caller")
		}
	}
	return nil
}

// copySpool writes the response to the caller with the body from the spool.
func (r *Response) copySpool(w http.ResponseWriter, prefix []byte, spooled *spool) error {
	r.writeHead(w)
	if len(prefix) > 0 {
		if _, err := w.Write(prefix); err != nil {
			return errors.Wrap(err, "write to the caller")
		}
	}
	flush := http.NewResponseController(w)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := spooled.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return errors.Wrap(werr, "write to the caller")
			}
			if r.ContentLength < 0 {
				_ = flush.Flush() // don't delay a streamed response
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read from the backend server")
		}
	}
}

func (r *Response) writeHead(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	w.WriteHeader(r.Status)
}

// spool is a bounded buffer between the goroutine that reads a body and the one
// that writes it to the caller.
type spool struct {
	mu      sync.Mutex
	changed *sync.Cond
	data    []byte
	limit   int
	total   int64 // bytes added so far
	ended   bool
	err     error
}

func newSpool(limit int) *spool {
	s := &spool{limit: limit}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// fill adds the data of a body until its end and then returns nil.
func (s *spool) fill(body io.Reader) error {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf[:min(copyBufferBytes, s.limit)])
		if n > 0 {
			if perr := s.put(buf[:n]); perr != nil {
				return perr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// put waits until p fits within the limit and adds it.
func (s *spool) put(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.ended && len(s.data)+len(p) > s.limit {
		s.changed.Wait()
	}
	if s.ended {
		return s.err
	}
	s.data = append(s.data, p...)
	s.total += int64(len(p))
	s.changed.Broadcast()
	return nil
}

// end marks the end of the body. err is nil if the body is complete. Only the
// first call has an effect.
func (s *spool) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	s.err = err
	s.changed.Broadcast()
}

// Read implements io.Reader. It blocks until there is data or the body ends.
func (s *spool) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.data) == 0 && !s.ended {
		s.changed.Wait()
	}
	n := copy(p, s.data)
	s.data = s.data[:copy(s.data, s.data[n:])]
	s.changed.Broadcast()
	switch {
	case n > 0 || len(p) == 0:
		return n, nil
	case s.err != nil:
		return 0, s.err
	}
	return 0, io.EOF
}
