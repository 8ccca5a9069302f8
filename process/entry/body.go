package entry

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"strconv"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/connection/inbound"
	"marjoramtiller.example/marjoramtiller/request/outcome"
)

const (
	// resendLimit is the largest body of an idempotent request that is buffered
	// in memory. Such a body is read before a slot is acquired, and the request
	// can be sent again. Of a larger body this many bytes are read before a
	// slot is acquired, and the rest is streamed.
	resendLimit = 64 << 10
	// maxReadAhead is the most of a response that is read before the caller has
	// received it.
	maxReadAhead = 256 << 10
)

// reserveMemory reports whether the service may hold n more bytes, and if so
// counts them for the request until releaseMemory or releaseLimits.
func (e *Entry) reserveMemory(c *callerRequest, n int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.memory.Reserve(c.service, n) {
		return false
	}
	c.heldBytes += n
	return true
}

// releaseLimits releases what a request holds of its service's memory and open
// requests.
func (e *Entry) releaseLimits(c *callerRequest) {
	e.releaseMemory(c, c.heldBytes)
	if c.countedOpen {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.openRequests.Release(c.service, 1)
	}
}

func (e *Entry) releaseMemory(c *callerRequest, n int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.Release(c.service, n)
	c.heldBytes -= n
}

// readBody reads up to limit bytes of the body into memory. complete reports
// whether that is the whole body.
func (e *Entry) readBody(r *http.Request, c *callerRequest, limit int64) (complete bool, oerr *outcome.Error) {
	if r.ContentLength == 0 {
		return true, nil
	}
	// One byte more than the limit shows whether the body ends at the limit.
	want := limit + 1
	if r.ContentLength > 0 {
		want = min(want, r.ContentLength)
	}
	if !e.reserveMemory(c, want) {
		return false, outcome.New(outcome.CauseUnavailable, "the entry's memory limit for requests of the service is reached").WithRetryAfter(unavailableRetry)
	}
	b, err := readAtMost(r.Body, want)
	if err != nil {
		return false, bodyError(err)
	}
	c.body = b
	e.releaseMemory(c, max(0, want-int64(cap(b))))
	return int64(len(b)) <= limit, nil
}

// readAtMost reads up to n bytes. The buffer is not allocated for n bytes in
// advance: it grows with the bytes received, to at most about twice as many.
func readAtMost(r io.Reader, n int64) ([]byte, error) {
	var buf bytes.Buffer
	if _, err := io.Copy(&buf, io.LimitReader(r, n)); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func bodyError(err error) *outcome.Error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errSlowBody
	} else {
		err = errors.New("the request body could not be read")
	}
	return outcome.New(outcome.CauseInvalidRequest, err.Error())
}

func (e *Entry) readIdempotent(r *http.Request, c *callerRequest) *outcome.Error {
	complete, oerr := e.readBody(r, c, resendLimit)
	if oerr != nil || complete {
		return oerr
	}
	if b, ok := r.Body.(*inbound.Body); ok {
		b.UseStricter(slotHolderFactor) // the rest of the body is read while a slot is held
	}
	c.stream = &countingReader{reader: io.MultiReader(bytes.NewReader(c.body), r.Body)}
	c.body = nil
	return nil
}

// readNonIdempotent checks the key and reads the whole body into memory, as the
// fingerprint covers the body and is needed before the request may run.
func (e *Entry) readNonIdempotent(r *http.Request, c *callerRequest) *outcome.Error {
	raw := r.Header.Values(keyHeader)
	if len(raw) != 1 {
		return outcome.New(outcome.CauseInvalidKey, "send exactly one "+keyHeader+" header")
	}
	key, err := e.options.CheckKey(raw[0])
	if err != nil {
		return outcome.New(outcome.CauseInvalidKey, err.Error())
	}
	tooLarge := outcome.New(outcome.CauseBodyTooLarge, "the limit is "+strconv.FormatInt(e.options.MaxBodyBytes, 10)+" bytes")
	if r.ContentLength > e.options.MaxBodyBytes {
		return tooLarge
	}
	complete, oerr := e.readBody(r, c, e.options.MaxBodyBytes)
	if oerr != nil {
		return oerr
	}
	if !complete {
		return tooLarge
	}
	c.record = &record{
		key:         key,
		fingerprint: fingerprint(c.service, r.Method, c.path+"?"+c.query, c.body),
		service:     c.service,
		attempt:     e.attempt.Add(1),
	}
	return nil
}

// reserveReadAhead reserves memory for the part of a response that is read
// before the caller has received it, and returns its size. Without free memory
// it returns 0: the response is then read only as fast as the caller receives
// it.
func (e *Entry) reserveReadAhead(c *callerRequest, length int64) int {
	n := int64(maxReadAhead)
	if length >= 0 {
		n = min(n, length)
	}
	if !e.reserveMemory(c, n) {
		return 0
	}
	return int(n)
}
