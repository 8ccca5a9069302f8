package forward

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// errCallerGone ends the reading of a body that nobody takes any more.
var errCallerGone = errors.New("forward: the caller does not take the rest of the answer")

// Relay writes the response to a caller as CopyTo does, but reads up to limit
// bytes ahead, so that a caller that reads slowly does not hold the backend
// server. ended is called once, when the body was read to its end or failed;
// the caller may then not have all of it yet.
func (r *Response) Relay(w http.ResponseWriter, prefix []byte, limit int, ended func(error)) error {
	switch {
	case limit < copyBytes && (r.ContentLength < 0 || r.ContentLength > int64(limit)):
		err := r.CopyTo(w, prefix)
		ended(err)
		return err
	case r.ContentLength >= 0 && r.ContentLength <= int64(limit):
		return r.relayWhole(w, prefix, ended)
	}
	s := newSpool(limit)
	done := make(chan struct{})
	go func() {
		defer close(done)
		err := s.fill(r.Body)
		if err == nil {
			err = r.checkLength(s.total + int64(len(prefix)))
		}
		_ = r.Body.Close()
		ended(err)
		s.end(err)
	}()
	err := r.drain(w, prefix, s)
	if err != nil {
		s.end(errCallerGone)
		_ = r.Body.Close()
	}
	<-done
	return err
}

// relayWhole reads a body of known length before the caller gets any of it.
func (r *Response) relayWhole(w http.ResponseWriter, prefix []byte, ended func(error)) error {
	rest, err := io.ReadAll(r.Body)
	if err == nil {
		err = r.checkLength(int64(len(prefix) + len(rest)))
	}
	_ = r.Body.Close()
	ended(err)
	if err != nil {
		return errors.Wrap(err, "read from the backend server")
	}
	r.head(w)
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

func (r *Response) drain(w http.ResponseWriter, prefix []byte, s *spool) error {
	r.head(w)
	if len(prefix) > 0 {
		if _, err := w.Write(prefix); err != nil {
			return errors.Wrap(err, "write to the caller")
		}
	}
	flush := http.NewResponseController(w)
	buf := make([]byte, copyBytes)
	for {
		n, err := s.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return errors.Wrap(werr, "write to the caller")
			}
			if r.ContentLength < 0 {
				_ = flush.Flush() // a streamed answer reaches the caller as it comes
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

func (r *Response) head(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	w.WriteHeader(r.Status)
}

// spool holds a bounded part of a body between its reader and its writer.
type spool struct {
	mu      sync.Mutex
	changed *sync.Cond
	data    []byte
	limit   int
	total   int64 // bytes put in
	ended   bool
	err     error
}

func newSpool(limit int) *spool {
	s := &spool{limit: limit}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// fill reads a body to its end. It returns nil at the end of the body.
func (s *spool) fill(body io.Reader) error {
	buf := make([]byte, copyBytes)
	for {
		n, err := body.Read(buf[:min(copyBytes, s.limit)])
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

// end marks the end of the body; nil is its regular end. The first call counts.
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

// Read implements io.Reader. It waits for data or the end of the body.
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
