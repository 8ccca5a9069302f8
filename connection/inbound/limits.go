// Package inbound keeps a process within its memory and its file descriptors whatever its
// peers send.
//
// Limits has one byte budget for the process. Its handler reserves from it the body of each
// request as it arrives, and the memory of the decoded form before decoding. A body that
// stalls is cut off. A request for which there is no room is refused before it is passed on,
// so that an answer of 503 or 413 means that nothing was carried out. Each listener bounds
// its open connections; at the limit the one that has gone longest without progress is
// closed in favour of a new one.
package inbound

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Time limits of a peer that sends a body.
const (
	bodyGrace = 3 * time.Second
	bodyRate  = 64 << 10 // bytes per second
)

// Limits of BuildAnswer.
const (
	maxBuilding = 2
	buildWait   = 2 * time.Second
)

// Options are the parameters of the limits of a process.
type Options struct {
	// BudgetBytes bounds what is held for requests; 0 means that there is no limit.
	BudgetBytes int64
	Name        string // of the budget, in metrics
	Logger      zerolog.Logger
}

// Limits are the limits of a process for what its peers send.
type Limits struct {
	memory   *memory
	metrics  *metrics
	building chan struct{} // one element for each answer that BuildAnswer makes
}

// New returns limits.
func New(o Options) *Limits {
	l := &Limits{memory: newMemory(o.BudgetBytes), building: make(chan struct{}, maxBuilding)}
	l.metrics = newMetrics(l.memory, o.Name, o.Logger)
	return l
}

// Collectors returns the metrics of the limits.
func (l *Limits) Collectors() []prometheus.Collector { return l.metrics.collectors() }

// request is the part of a request that the limits hold.
type request struct {
	limits      *Limits
	reservation reservation
	conn        *conn // nil if the listener is not one of Limits
	body        *Body
}

type requestKey struct{}

// Handler returns a handler that applies the limits to the requests of next. Next reads
// bodies with ReadBody.
func (l *Limits) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := l.newRequest()
		defer q.reservation.release()
		conn := connOf(r.Context())
		q.conn = conn
		conn.handle()
		defer conn.end()
		if hasBody(r) {
			q.body = limitBody(w, r, NewProgress(bodyGrace, bodyRate), conn.begin)
			defer q.body.stop()
		} else {
			conn.begin()
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestKey{}, q)))
	})
}

// ServeOptions are the limits of one listener.
type ServeOptions struct {
	Name           string        // of the listener, in metrics
	MaxConnections int           // 0 means that there is no limit
	WriteTimeout   time.Duration // for each 64 KiB that the peer receives; 0 leaves write deadlines to the server
}

// Serve serves requests of a listener like server.Serve, within the limits. The server's
// handler reads bodies with ReadBody.
func (l *Limits) Serve(server *http.Server, listener net.Listener, o ServeOptions) error {
	server.Handler = l.Handler(server.Handler)
	server.ConnContext = withConn
	return server.Serve(l.listen(listener, o))
}

// BuildAnswer returns the answer that build makes, and reserves memory for it until the
// handler returns. Few answers are made at the same time, since their sizes are not known
// before.
func BuildAnswer(w http.ResponseWriter, r *http.Request, build func() ([]byte, error)) ([]byte, error) {
	q := requestOf(r)
	if q == nil {
		return build()
	}
	ctx, cancel := context.WithTimeout(r.Context(), buildWait)
	defer cancel()
	select {
	case q.limits.building <- struct{}{}:
	case <-ctx.Done():
		return nil, q.refuse(w, refusedFull)
	}
	defer func() { <-q.limits.building }()
	data, err := build()
	if err != nil {
		return nil, err
	}
	if !q.reservation.grow(int64(len(data)), roomWait) {
		return nil, q.refuse(w, refusedFull)
	}
	return data, nil
}

func requestOf(r *http.Request) *request {
	q, _ := r.Context().Value(requestKey{}).(*request)
	return q
}

// RefusedError reports a request that was refused before it was carried out.
type RefusedError struct {
	Status int // of the answer
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Reason }

// StatusOf returns the status of the answer to a request for which ReadBody returned an
// error.
func StatusOf(err error) int {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Status
	}
	return http.StatusBadRequest
}

// IsRefused reports whether an error is a *RefusedError.
func IsRefused(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}
