package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/consensus"
	"marjoramtiller.example/marjoramtiller/process/storage"
)

// Replica is one member of a consensus group. Its methods may be called
// concurrently.
type Replica struct {
	o     Options
	log   zerolog.Logger
	core  *consensus.Core
	store *storage.Store
	count counters

	proposals chan *proposal
	messages  chan *wirepb.RaftMessage
	tasks     chan func()
	stop      chan struct{}
	stopOnce  sync.Once
	done      chan struct{}

	// Owned by the replica's goroutine.
	waiting  map[uint64]*proposal // by index
	reads    map[uint64]*barrier
	released []*barrier // wait for their index to be applied
	readID   uint64
	stalled  *consensus.Ready // not stored because the disk is full
	retryNow bool             // a tick has passed since the last attempt to store
	snapshot *wirepb.RaftSnapshot
	saving   bool          // a snapshot is being encoded and stored
	saveNext time.Duration // no snapshot is begun before
	saved    chan savedSnapshot
	outgoing map[string]*transfer // snapshots that are being sent, by receiver
	incoming *assembly            // the snapshot that is being received
	wasRole  consensus.Role

	smMu    sync.Mutex // serialises View with Apply
	applied uint64

	mu     sync.Mutex
	status Status
}

type proposal struct {
	command     []byte
	change      *VoterChange
	index, term uint64
	result      chan outcome // buffered
}

type outcome struct {
	result []byte
	err    error
}

type barrier struct {
	index uint64
	done  chan error // buffered
}

// Open starts a replica from its folder.
func Open(o Options) (*Replica, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	store, state, err := storage.Open(storage.Options{FS: o.FS, Dir: o.Dir})
	if err != nil {
		return nil, err
	}
	r := &Replica{
		o: o, store: store,
		log:       o.Logger.With().Str("group", o.Group).Str("replica", o.ID).Logger(),
		proposals: make(chan *proposal, queueLength),
		messages:  make(chan *wirepb.RaftMessage, queueLength),
		tasks:     make(chan func()),
		saved:     make(chan savedSnapshot, 1),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		waiting:   map[uint64]*proposal{},
		reads:     map[uint64]*barrier{},
		outgoing:  map[string]*transfer{},
	}
	if err := r.start(state); err != nil {
		_ = store.Close()
		return nil, err
	}
	go r.run()
	return r, nil
}

func (r *Replica) start(state *storage.State) error {
	if state.TruncatedBytes > 0 {
		r.log.Warn().Int64("bytes", state.TruncatedBytes).Msg("removed the torn tail of the log")
	}
	if err := r.recordFounders(state); err != nil {
		return err
	}
	if s := state.Snapshot; s.Index > 0 {
		if err := r.o.StateMachine.Restore(s.Data); err != nil {
			return fmt.Errorf("replica: restore snapshot %d: %w", s.Index, err)
		}
		r.applied = s.Index
		r.snapshot = s
	}
	rng := rand.New(rand.NewPCG(r.o.Seed, r.o.Seed))
	core, err := consensus.New(consensus.Config{
		ID: r.o.ID, Group: r.o.Group,
		HeartbeatInterval:  r.o.HeartbeatInterval,
		ElectionTimeoutMin: r.o.ElectionTimeoutMin,
		ElectionTimeoutMax: r.o.ElectionTimeoutMax,
		Rand:               rng.Int64N,
	}, r.o.Clock.Now(), consensus.Initial{HardState: state.HardState, Snapshot: state.Snapshot, Entries: state.Entries})
	if err != nil {
		return err
	}
	r.core = core
	r.publish()
	return nil
}

// recordFounders stores the founding voters as a snapshot at index 0, so that
// settings that change later do not change the membership that the log starts
// from.
func (r *Replica) recordFounders(state *storage.State) error {
	if state.Snapshot != nil {
		return nil
	}
	founding := &wirepb.RaftSnapshot{Voters: &wirepb.RaftVoters{Voters: r.o.Voters}}
	state.Snapshot = founding
	return r.store.SaveSnapshot(founding)
}

// Propose replicates a command and returns the state machine's result. The
// errors NotLeaderError, NotProposedError, StoppedError, consensus.BusyError,
// storage.DiskFullError and storage.TooLargeError mean that the command is never
// applied; OutcomeUnknownError that it may be.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) == 0 {
		return nil, errors.New("replica: a command can't be empty")
	}
	if len(command) > storage.MaxEntryBytes {
		return nil, &storage.TooLargeError{Size: len(command), Limit: storage.MaxEntryBytes}
	}
	return r.submit(ctx, &proposal{command: command, result: make(chan outcome, 1)})
}

func (r *Replica) submit(ctx context.Context, p *proposal) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotProposedError{Err: err}
	}
	select {
	case <-r.done:
		return nil, &StoppedError{Err: r.fatalError()}
	default:
	}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, &NotProposedError{Err: ctx.Err()}
	case <-r.done:
		return nil, &StoppedError{Err: r.fatalError()}
	}
	select {
	case out := <-p.result:
		return out.result, out.err
	case <-ctx.Done():
		return nil, &OutcomeUnknownError{Err: ctx.Err()}
	case <-r.done:
	}
	select {
	case out := <-p.result:
		return out.result, out.err
	default:
		return nil, &OutcomeUnknownError{Err: &StoppedError{Err: r.fatalError()}}
	}
}

// ReadBarrier returns once this replica's state machine reflects every command
// that was acknowledged anywhere before the call. It needs the leader.
// It waits, until ctx ends, for a new leader's first committed entry.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	for {
		err := r.readOnce(ctx)
		var busy *consensus.BusyError
		if !errors.As(err, &busy) || !r.pause(ctx) {
			return err
		}
	}
}

func (r *Replica) readOnce(ctx context.Context) error {
	b := &barrier{done: make(chan error, 1)}
	var err error
	if doErr := r.do(ctx, func() { err = r.startRead(b) }); doErr != nil {
		return doErr
	}
	if err != nil {
		return err
	}
	select {
	case err := <-b.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return &StoppedError{Err: r.fatalError()}
	}
}

func (r *Replica) startRead(b *barrier) error {
	if r.stalled != nil {
		return &consensus.BusyError{Reason: "the disk is full"}
	}
	r.readID++
	if err := r.core.ReadIndex(r.readID); err != nil {
		return err
	}
	r.reads[r.readID] = b
	return nil
}

// View calls fn with the state machine while nothing is applied.
func (r *Replica) View(fn func(sm StateMachine)) {
	r.smMu.Lock()
	defer r.smMu.Unlock()
	fn(r.o.StateMachine)
}

// Deliver passes a message of another replica. It never blocks; a message that
// finds the queue full is dropped and sent again by its sender.
func (r *Replica) Deliver(m *wirepb.RaftMessage) {
	select {
	case r.messages <- m:
	case <-r.done:
	default:
		r.count.dropped.Add(1)
	}
}

// Status returns the latest state.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.status
	broken := s.BrokenInvariant
	s.Counters = r.count.read()
	s.BrokenInvariant = broken
	s.LeaseValid = s.Role == consensus.Leader && s.Err == nil && r.o.Clock.Now() < s.LeaseUntil
	return s
}

// ChangeVoter changes the membership and returns once the change is committed.
// It waits, until ctx ends, for an earlier change to commit and for a learner to
// catch up.
func (r *Replica) ChangeVoter(ctx context.Context, c VoterChange) error {
	for {
		_, err := r.submit(ctx, &proposal{change: &c, result: make(chan outcome, 1)})
		var busy *consensus.BusyError
		var behind *consensus.NotCaughtUpError
		if !errors.As(err, &busy) && !errors.As(err, &behind) {
			return err
		}
		if !r.pause(ctx) {
			return err
		}
	}
}

// pause waits for a tick and reports whether ctx still runs.
func (r *Replica) pause(ctx context.Context) bool {
	ticks, stop := r.o.Clock.Ticks(r.o.Tick)
	defer stop()
	select {
	case <-ticks:
		return true
	case <-ctx.Done():
	case <-r.done:
	}
	return false
}

// TransferLeader hands leadership to another voter and returns once this replica
// no longer leads. An empty name selects the voter with the longest log.
func (r *Replica) TransferLeader(ctx context.Context, to string) error {
	for {
		var err error
		var leads bool
		task := func() {
			s := r.core.Status()
			leads = s.Role == consensus.Leader
			if leads && s.TransferTo == "" {
				err = r.core.TransferLeader(successor(s, to))
			}
		}
		if doErr := r.do(ctx, task); doErr != nil {
			return doErr
		}
		if err != nil || !leads {
			return err
		}
		if !r.pause(ctx) {
			return ctx.Err()
		}
	}
}

func successor(s consensus.Status, to string) string {
	if to != "" {
		return to
	}
	for _, name := range s.Voters {
		if name != s.ID && (to == "" || s.Match[name] > s.Match[to]) {
			to = name
		}
	}
	return to
}

// Close stops the replica. Proposals that are not finished return
// OutcomeUnknownError. For a graceful stop call TransferLeader first.
func (r *Replica) Close() error {
	r.stopOnce.Do(func() { close(r.stop) })
	<-r.done
	return r.fatalError()
}

// Done is closed when the replica has stopped.
func (r *Replica) Done() <-chan struct{} { return r.done }

func (r *Replica) fatalError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status.Err
}

func (r *Replica) publish() {
	s := r.core.Status()
	if s.Role != r.wasRole {
		r.log.Info().Stringer("role", s.Role).Uint64("term", s.Term).Msg("role changed")
		r.wasRole = s.Role
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = Status{Status: s, Applied: r.applied, DiskFull: r.stalled != nil, Err: r.status.Err}
	r.status.BrokenInvariant = r.core.BrokenInvariant()
}

func (r *Replica) now() time.Duration { return r.o.Clock.Now() }
