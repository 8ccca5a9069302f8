// Package entry implements the entry daemon. It accepts HTTP/1.1 requests from
// callers, queues them, records non-idempotent ones in the ledger and forwards
// each to a backend server, under leases from the control leader.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/connection/lease"
	"marjoramtiller.example/marjoramtiller/request/memory"
	"marjoramtiller.example/marjoramtiller/request/queue"
	"marjoramtiller.example/marjoramtiller/request/retry"
	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// Defaults of unset options.
const (
	defaultAnswerTimeout  = 10 * time.Minute
	defaultHealthGrace    = 3 * time.Second
	defaultMaxBodyBytes   = 1 << 20
	defaultMaxHeaderBytes = 32 << 10
	defaultFinishWait     = 2 * time.Second
	defaultRetryPercent   = 10
	defaultMaxConnections = 8192
	defaultMemoryBytes    = 256 << 20
	defaultCallerGrace    = 10 * time.Second
	defaultCallerRate     = 8 << 10
	defaultBeginWait      = 3 * time.Second
	readHeaderTimeout     = 10 * time.Second
	callerIdleTimeout     = 60 * time.Second
	// sweepInterval is the interval at which expired leases are detected.
	sweepInterval = 100 * time.Millisecond
)

// Options configure an Entry. Name, BootID, Control, KeyGroup and CheckKey are required.
type Options struct {
	Name     string // process name of this entry
	BootID   string // new at every process start
	Address  string // callers' listener, IP:port; unused if Listener is set
	Listener net.Listener
	Control  Control

	// KeyGroup returns the ledger group of a key.
	KeyGroup func(key string) uint32
	// LedgerGroups is the number of ledger groups; each receives a report of this boot.
	LedgerGroups uint32
	// CheckKey validates an Idempotency-Key header and returns the key in
	// normalized form. The text of its error is sent to the caller.
	CheckKey func(raw string) (key string, err error)

	MaxQueuedPerCaller  int
	MaxQueuedPerService int
	ShortSlotsPercent   int           // slots reserved for short work if the pool declares no share
	DefaultDeadline     time.Duration // used if neither the request nor the pool has one; 0: none
	RetryPercent        int           // retries as a percentage of requests; 0: 10, negative: none
	MaxBodyBytes        int64         // of a non-idempotent request, which is buffered in memory
	MaxHeaderBytes      int
	MaxConnections      int           // open connections of callers
	MemoryBytes         int64         // buffered for all callers together
	CallerGrace         time.Duration // how long a caller may block the entry, in addition to the time for its bytes at CallerRate
	CallerRate          int64         // bytes per second that a caller must sustain
	AnswerTimeout       time.Duration // bounds one attempt at a backend server
	BeginWait           time.Duration // bounds the wait for the result of a Begin command
	FinishWait          time.Duration // bounds how long a response waits for its ledger record
	HealthGrace         time.Duration // the health check fails this long before the listener closes
	// ShutdownTimeout bounds the wait for requests in flight; 0: no bound.
	ShutdownTimeout time.Duration

	Log zerolog.Logger
}

// Entry is the state of an entry daemon.
type Entry struct {
	options Options
	started time.Time
	metrics *entryMetrics
	attempt atomic.Uint64
	closing atomic.Bool // shutting down; the health check fails
	broken  atomic.Bool // an invariant was violated; no request is accepted

	background sync.WaitGroup  // ledger commands being sent until they are recorded
	keyChecks  chan struct{}   // semaphore of the checks in checkKeyRecord
	handling   sync.WaitGroup  // requests being handled
	abortCtx   context.Context // cancelled when the shutdown has completed or timed out
	abort      context.CancelFunc

	mu            sync.Mutex
	core          *queue.Core
	budget        retry.Budget
	memory        *memory.Pool // bytes
	openRequests  *memory.Pool // requests being handled, of MaxConnections
	cfg           *fleet.Copy
	configured    bool                     // a delta was applied
	pools         map[string]*fleetpb.Pool // by service
	leases        *lease.EntryLeases
	shares        map[string]share
	targets       map[string]*target
	waiters       map[queue.ID]*waiter
	inFlight      map[string]int  // by server
	inFlightHost  map[string]int  // by the server's host when the request started
	failedServers map[string]bool // servers that refused a connection since the last report
	liveNumber    uint64
	sync          syncState
	arrivalRates  map[string]*arrivalRate
	grant         uint64
	term          uint64
	leader        string
	dispatchTimer *time.Timer
}

// New validates the options and returns an entry that does not serve requests yet.
func New(o Options) (*Entry, error) {
	if o.Name == "" || o.BootID == "" {
		return nil, errors.New("entry: Name and BootID must be set; take the name from the settings")
	}
	if o.Control == nil || o.KeyGroup == nil || o.CheckKey == nil {
		return nil, errors.New("entry: Control, KeyGroup and CheckKey must be set")
	}
	setDefaults(&o)
	e := &Entry{
		options:       o,
		started:       time.Now(),
		core:          queue.New(),
		budget:        retry.NewBudget(o.RetryPercent),
		memory:        memory.New(o.MemoryBytes),
		openRequests:  memory.New(int64(o.MaxConnections)),
		cfg:           fleet.NewCopy(),
		pools:         make(map[string]*fleetpb.Pool),
		leases:        lease.NewEntryLeases(),
		shares:        make(map[string]share),
		targets:       make(map[string]*target),
		waiters:       make(map[queue.ID]*waiter),
		keyChecks:     make(chan struct{}, maxKeyChecks),
		inFlight:      make(map[string]int),
		inFlightHost:  make(map[string]int),
		failedServers: make(map[string]bool),
		arrivalRates:  make(map[string]*arrivalRate),
	}
	e.metrics = newMetrics()
	e.abortCtx, e.abort = context.WithCancel(context.Background())
	e.dispatchTimer = time.AfterFunc(time.Hour, e.onDispatchTimer)
	e.dispatchTimer.Stop()
	return e, nil
}

func setDefaults(o *Options) {
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.MaxHeaderBytes <= 0 {
		o.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = defaultMaxConnections
	}
	if o.MemoryBytes <= 0 {
		o.MemoryBytes = defaultMemoryBytes
	}
	if o.CallerGrace <= 0 {
		o.CallerGrace = defaultCallerGrace
	}
	if o.CallerRate <= 0 {
		o.CallerRate = defaultCallerRate
	}
	if o.AnswerTimeout <= 0 {
		o.AnswerTimeout = defaultAnswerTimeout
	}
	if o.BeginWait <= 0 {
		o.BeginWait = defaultBeginWait
	}
	if o.FinishWait <= 0 {
		o.FinishWait = defaultFinishWait
	}
	if o.RetryPercent == 0 {
		o.RetryPercent = defaultRetryPercent
	}
	if o.HealthGrace < 0 {
		o.HealthGrace = 0
	} else if o.HealthGrace == 0 {
		o.HealthGrace = defaultHealthGrace
	}
}

// now returns the time since the entry's start on the monotonic clock.
func (e *Entry) now() time.Duration { return time.Since(e.started) }

// Handler returns the callers' HTTP handler.
func (e *Entry) Handler() http.Handler { return http.HandlerFunc(e.serve) }

// Run serves requests until ctx ends and then shuts down gracefully: the health
// check fails first, then the listener closes, and requests in flight are
// finished and their records written.
func (e *Entry) Run(ctx context.Context) error {
	l := e.options.Listener
	if l == nil {
		var err error
		if l, err = (&net.ListenConfig{}).Listen(ctx, "tcp", e.options.Address); err != nil {
			return errors.Wrap(err, "entry: listen for callers; check the address in the settings")
		}
	}
	srv := &http.Server{
		Handler:           e.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    e.options.MaxHeaderBytes,
	}
	loops, stopLoops := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { e.syncLoop(loops) })
	running.Go(func() { e.sweepLoop(loops) })
	running.Go(func() { e.reportBoot(loops) })
	served := make(chan error, 1)
	go func() { served <- srv.Serve(limitConnections(l, e.options.MaxConnections)) }()
	e.options.Log.Info().Str("address", l.Addr().String()).Msg("serving callers")

	var err error
	select {
	case err = <-served:
		err = errors.Wrap(err, "entry: serve callers")
		e.closing.Store(true)
	case <-ctx.Done():
		e.closing.Store(true)
		err = e.shutdown(srv)
		<-served
	}
	e.abort()
	stopLoops()
	running.Wait()
	e.close()
	return err
}

// shutdown stops the server gracefully. The sync and sweep loops continue
// meanwhile, as requests in flight still need their leases.
func (e *Entry) shutdown(srv *http.Server) error {
	e.options.Log.Info().Msg("shutting down: the health check fails from now on")
	sleep(e.abortCtx, e.options.HealthGrace)
	ctx := context.Background()
	if e.options.ShutdownTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, e.options.ShutdownTimeout)
		defer cancel()
	}
	if err := srv.Shutdown(ctx); err != nil {
		_ = srv.Close()
		return errors.Wrap(err, "entry: requests in flight were interrupted; allow a longer shutdown")
	}
	done := make(chan struct{})
	go func() {
		e.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.New("entry: records were not written; their keys stay unknown until a later query")
	}
}

func (e *Entry) close() {
	e.handling.Wait()
	e.background.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatchTimer.Stop()
	for _, t := range e.targets {
		t.transport.CloseIdle()
	}
}

func (e *Entry) sweepLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		e.sweep()
	}
}

// sweep applies the expiry of leases. Without a valid configuration lease every
// queued request is rejected.
func (e *Entry) sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.refreshServers(now)
	if !e.mayServe(now) {
		e.rejectAll()
	}
	e.dispatch()
}

func (e *Entry) onDispatchTimer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatch()
}

// dispatch executes the decisions of the queue core and checks the invariants.
// The caller holds the mutex.
func (e *Entry) dispatch() {
	now := e.now()
	for !e.broken.Load() {
		a, ok := e.core.Next(now)
		if !ok {
			break
		}
		e.applyAction(a)
	}
	if err := e.core.Check(); err != nil {
		e.reportViolation("queue", err)
	}
	for _, p := range []*memory.Pool{e.memory, e.openRequests} {
		if err := p.Check(); err != nil {
			e.reportViolation("memory", err)
		}
	}
	if err := e.leases.Broken(); err != nil {
		e.reportViolation("lease", err)
	}
	if at, ok := e.core.NextTime(now); ok {
		e.dispatchTimer.Reset(max(at-now, time.Millisecond))
	}
}

// reportViolation counts and logs a violated invariant. The entry then accepts
// no more requests.
func (e *Entry) reportViolation(name string, err error) {
	e.metrics.countViolation(name)
	if e.broken.CompareAndSwap(false, true) {
		e.options.Log.Error().Err(err).Str("invariant", name).Msg("an invariant is violated and the entry accepts no more requests; restart this process and report the state dump")
	}
}

func (e *Entry) healthy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.closing.Load() && !e.broken.Load() && e.mayServe(e.now()) && e.hasFirstGrant()
}

// hasFirstGrant reports whether the entry has received its first slot grant, so
// that a restarted entry passes the health check only when it can serve
// callers. It returns true after the duration of a configuration lease in any
// case: a leader that waits for the slots of an earlier boot grants within that
// time. The caller holds the mutex.
func (e *Entry) hasFirstGrant() bool {
	if e.grant > 0 || e.now() > lease.ConfigLease {
		return true
	}
	for range e.cfg.Servers() {
		return false
	}
	return true
}
