package inbound

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	minBuffer = 4 << 10
	// RetryAfter is the time after which a request that was refused for lack of room may be
	// sent again.
	RetryAfter = time.Second
)

// BodyLimits bound a body.
type BodyLimits struct {
	MaxBytes int64
	// DecodedFactor is the memory of the decoded form for each byte of the body. It is
	// reserved before ReadBody returns.
	DecodedFactor int64
}

// reason is the reason of a refusal, in metrics.
type reason string

const (
	refusedLarge   reason = "large"
	refusedFull    reason = "full"
	refusedCutOff  reason = "cut_off"
	refusedSlow    reason = "slow"
	refusedInvalid reason = "unreadable"
)

var refusals = map[reason]RefusedError{
	refusedLarge:   {http.StatusRequestEntityTooLarge, "the body is larger than allowed; send a smaller one"},
	refusedFull:    {http.StatusServiceUnavailable, "the process has no memory left for the request, which was not carried out; retry shortly"},
	refusedCutOff:  {http.StatusServiceUnavailable, "the body made no progress while others needed its memory; it was not carried out; retry shortly"},
	refusedSlow:    {http.StatusBadRequest, "the request body was received too slowly"},
	refusedInvalid: {http.StatusBadRequest, "the request body could not be read"},
}

// refuse counts a refusal and returns it. It sets the header of the answer that the caller
// then writes, and stops reading the body.
func (q *request) refuse(w http.ResponseWriter, why reason) error {
	refused := refusals[why]
	w.Header().Set("Connection", "close")
	if refused.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(RetryAfter.Seconds())))
	}
	if q.body != nil {
		q.body.abandon()
		q.conn.linger()
	}
	q.reservation.release()
	q.limits.metrics.refused(why)
	return &refused
}

// ReadBody returns the body of a request. It reserves memory as the bytes arrive, if the
// request comes through Limits.Handler. On an error the caller answers with its
// StatusOf; the header of the answer is set already.
func ReadBody(w http.ResponseWriter, r *http.Request, limits BodyLimits) ([]byte, error) {
	q := requestOf(r)
	if q == nil {
		q = unlimited.newRequest()
		defer q.reservation.release()
	}
	if r.ContentLength > limits.MaxBytes {
		return nil, q.refuse(w, refusedLarge)
	}
	announced := max(0, r.ContentLength)
	if !q.reservation.hasRoom(announced*(1+limits.DecodedFactor), roomWait) {
		return nil, q.refuse(w, refusedFull)
	}
	data, why := q.read(r.Body, announced, limits.MaxBytes)
	if why == "" && !q.reservation.grow(int64(len(data))*limits.DecodedFactor, roomWait) {
		why = refusedFull
	}
	if why != "" {
		return nil, q.refuse(w, why)
	}
	return data, nil
}

// unlimited is used for requests that don't come through Limits.Handler.
var unlimited = New(Options{})

func (l *Limits) newRequest() *request {
	return &request{limits: l, reservation: reservation{memory: l.memory}}
}

// read reads a body of up to maxBytes into a buffer that grows with the bytes received.
func (q *request) read(body io.Reader, announced, maxBytes int64) ([]byte, reason) {
	// One byte more than the body shows that it has ended.
	bound := maxBytes + 1
	if announced > 0 {
		bound = announced + 1
	}
	if q.body != nil {
		q.reservation.receive(time.Now(), q.body.cutOff)
		defer q.reservation.complete()
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			size := min(max(minBuffer, 2*int64(cap(data))), bound)
			if !q.reservation.grow(size-int64(cap(data)), roomWait) {
				return nil, q.reasonOf(nil)
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		q.reservation.receivedBytes(int64(n), time.Now())
		switch {
		case int64(len(data)) > maxBytes:
			return nil, refusedLarge
		case err == io.EOF:
			return data, ""
		case err != nil:
			return nil, q.reasonOf(err)
		}
	}
}

// reasonOf returns why a body could not be read; err is nil if there was no room for it.
func (q *request) reasonOf(err error) reason {
	switch {
	case q.body != nil && q.body.wasCutOff():
		return refusedCutOff
	case err == nil:
		return refusedFull
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusedSlow
	default:
		return refusedInvalid
	}
}
