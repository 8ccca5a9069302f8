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
	options Options
	log     zerolog.Logger
	core    *consensus.Core
	store   *storage.Store
	metrics counters

	proposals chan *proposal
	messages  chan *wirepb.RaftMessage
	tasks     chan func()
	stop      chan struct{}
	stopOnce  sync.Once
	done      chan struct{}

	// Owned by the replica's goroutine.
	pendingProposals map[uint64]*proposal    // by log index
	pendingReads     map[uint64]*pendingRead // by read ID, until a quorum has confirmed them
	confirmedReads   []*pendingRead          // waiting until their index is applied
	lastReadID       uint64
	stalledReady     *consensus.Ready     // could not be stored yet; nil otherwise
	stallError       error                // why stalledReady could not be stored
	retryStore       bool                 // a tick has passed since the last attempt to store stalledReady
	snapshot         *wirepb.RaftSnapshot // the latest stored snapshot
	savingSnapshot   bool                 // a snapshot is being encoded and stored
	budget           diskBudget
	queuedBytes      int64         // size of the proposals accepted since the log was last written
	appliedBytes     int64         // size of the entries applied since the last snapshot was begun or installed
	delayingAppends  bool          // the log is over its limit: entries wait until a snapshot is stored
	nextSnapshotAt   time.Duration // no snapshot is started before this time
	snapshotResults  chan snapshotResult
	outgoing         map[string]*transfer // snapshots being sent, by receiver
	incoming         *partialSnapshot     // the snapshot being received, nil if none
	lastRole         consensus.Role

	stateMachineMu sync.Mutex // serializes View with the replica's own use of the state machine
	applied        uint64

	mu     sync.Mutex // guards status
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

type pendingRead struct {
	index uint64
	done  chan error // buffered
}

// Open starts a replica from its folder.
func Open(o Options) (*Replica, error) {
	r, err := load(o)
	if err != nil {
		return nil, err
	}
	go r.run()
	return r, nil
}

// load returns a replica with the state of its folder, without a goroutine that runs it.
func load(o Options) (*Replica, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	store, state, err := storage.Open(storage.Options{FS: o.FS, Dir: o.Dir, SegmentBytes: o.segmentBytes})
	if err != nil {
		return nil, err
	}
	r := &Replica{
		options: o, store: store,
		log:              o.Logger.With().Str("group", o.Group).Str("replica", o.ID).Logger(),
		proposals:        make(chan *proposal, queueLength),
		messages:         make(chan *wirepb.RaftMessage, queueLength),
		tasks:            make(chan func()),
		snapshotResults:  make(chan snapshotResult, 1),
		stop:             make(chan struct{}),
		done:             make(chan struct{}),
		pendingProposals: map[uint64]*proposal{},
		pendingReads:     map[uint64]*pendingRead{},
		outgoing:         map[string]*transfer{},
		budget:           diskBudget{o.DiskBytes},
	}
	r.metrics.init(o.Group)
	if err := r.start(state); err != nil {
		_ = store.Close()
		return nil, err
	}
	return r, nil
}

func (r *Replica) start(state *storage.State) error {
	if state.TruncatedBytes > 0 {
		r.log.Warn().Int64("bytes", state.TruncatedBytes).Msg("truncated the log after its last complete record")
	}
	if err := r.storeFoundingVoters(state); err != nil {
		return err
	}
	if s := state.Snapshot; s.Index > 0 {
		if err := r.options.StateMachine.Restore(s.Data); err != nil {
			return fmt.Errorf("replica: restore the stored snapshot at index %d: %w", s.Index, err)
		}
		r.applied = s.Index
		r.snapshot = s
	}
	incarnation, err := r.store.Incarnation()
	if err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(r.options.Seed, r.options.Seed))
	core, err := consensus.New(consensus.Config{
		ID: r.options.ID, Group: r.options.Group, Incarnation: incarnation,
		HeartbeatInterval:   r.options.HeartbeatInterval,
		ElectionTimeoutMin:  r.options.ElectionTimeoutMin,
		ElectionTimeoutMax:  r.options.ElectionTimeoutMax,
		MaxUncommittedBytes: r.budget.maxUncommittedBytes(),
		Rand:                rng.Int64N,
	}, r.options.Clock.Now(), consensus.Initial{HardState: state.HardState, Snapshot: state.Snapshot, Entries: state.Entries})
	if err != nil {
		return err
	}
	r.core = core
	r.logOpened(state.HardState.GetVote())
	r.publishStatus()
	return nil
}

// logOpened logs what the replica has read from its folder, so that entries or a vote that
// it lost can be told from those it never had.
func (r *Replica) logOpened(vote string) {
	s := r.core.Status()
	r.log.Info().Uint64("first_index", s.FirstIndex).Uint64("last_index", s.LastIndex).Uint64("commit", s.Commit).
		Uint64("snapshot", r.snapshot.GetIndex()).Uint64("term", s.Term).Str("vote", vote).Int("voters", len(s.Voters)).Msg("log opened")
}

// storeFoundingVoters stores the founding voters as a snapshot at index 0 if the
// folder holds no snapshot. A later change of the settings then does not change the
// membership from which the log is replayed.
func (r *Replica) storeFoundingVoters(state *storage.State) error {
	if state.Snapshot != nil {
		return nil
	}
	founding := &wirepb.RaftSnapshot{Voters: &wirepb.RaftVoters{Voters: r.options.Voters}}
	state.Snapshot = founding
	return r.store.SaveSnapshot(founding)
}

// Propose replicates a command and returns the state machine's result. The
// errors NotLeaderError, NotProposedError, StoppedError, DiskBudgetError,
// consensus.BusyError, storage.DiskFullError, storage.DescriptorsError and
// storage.TooLargeError mean that the command is never applied; OutcomeUnknownError means
// that it may be applied. A caller that may propose large commands asks
// DiskUsage.CheckCommand first, so that these leave room for its other commands.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) == 0 {
		return nil, errors.New("replica: the command is empty")
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
// that any replica acknowledged before the call. It must be called on the leader.
// On a new leader it waits, until ctx ends, for the first entry committed in the
// leader's term.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	for {
		err := r.tryReadBarrier(ctx)
		var busy *consensus.BusyError
		if !errors.As(err, &busy) || !r.waitForTick(ctx) {
			return err
		}
	}
}

func (r *Replica) tryReadBarrier(ctx context.Context) error {
	read := &pendingRead{done: make(chan error, 1)}
	var err error
	if taskErr := r.runTask(ctx, func() { err = r.startRead(read) }); taskErr != nil {
		return taskErr
	}
	if err != nil {
		return err
	}
	select {
	case err := <-read.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return &StoppedError{Err: r.fatalError()}
	}
}

func (r *Replica) startRead(read *pendingRead) error {
	if r.stalledReady != nil {
		return &consensus.BusyError{Reason: "the log can't be written"}
	}
	r.lastReadID++
	if err := r.core.ReadIndex(r.lastReadID); err != nil {
		return err
	}
	r.pendingReads[r.lastReadID] = read
	return nil
}

// View calls fn with the state machine. No command is applied while fn runs.
func (r *Replica) View(fn func(sm StateMachine)) {
	r.stateMachineMu.Lock()
	defer r.stateMachineMu.Unlock()
	fn(r.options.StateMachine)
}

// Deliver queues a message received from another replica. It never blocks: if the
// queue is full, the message is dropped, and its sender sends it again.
func (r *Replica) Deliver(m *wirepb.RaftMessage) {
	select {
	case r.messages <- m:
	case <-r.done:
	default:
		r.metrics.dropped.Add(1)
	}
}

// Status returns the replica's latest published state.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.status
	broken := s.BrokenInvariant
	s.Counters = r.metrics.read()
	s.BrokenInvariant = broken
	s.LeaseValid = s.Role == consensus.Leader && s.Err == nil && r.options.Clock.Now() < s.LeaseUntil
	return s
}

// ChangeVoter changes the membership and returns once the change is committed.
// It waits, until ctx ends, for an earlier change to commit and for a learner that
// is to be promoted to catch up.
func (r *Replica) ChangeVoter(ctx context.Context, c VoterChange) error {
	for {
		_, err := r.submit(ctx, &proposal{change: &c, result: make(chan outcome, 1)})
		var busy *consensus.BusyError
		var behind *consensus.NotCaughtUpError
		if !errors.As(err, &busy) && !errors.As(err, &behind) {
			return err
		}
		if !r.waitForTick(ctx) {
			return err
		}
	}
}

// waitForTick waits for a tick. It returns false if ctx ends or the replica stops
// first.
func (r *Replica) waitForTick(ctx context.Context) bool {
	ticks, stop := r.options.Clock.Ticks(r.options.Tick)
	defer stop()
	select {
	case <-ticks:
		return true
	case <-ctx.Done():
	case <-r.done:
	}
	return false
}

// TransferLeader transfers leadership to another voter and returns once this
// replica is no longer the leader. If to is empty, the voter with the longest
// replicated log of those that are up is selected.
func (r *Replica) TransferLeader(ctx context.Context, to string) error {
	for {
		var err error
		var leads bool
		task := func() {
			s := r.core.Status()
			leads = s.Role == consensus.Leader
			if leads && s.TransferTo == "" {
				err = r.core.TransferLeader(transferTarget(s, to))
			}
		}
		if taskErr := r.runTask(ctx, task); taskErr != nil {
			return taskErr
		}
		if err != nil || !leads {
			return err
		}
		if !r.waitForTick(ctx) {
			return ctx.Err()
		}
	}
}

// recentAck is the age of a voter's last acknowledgement up to which it is taken for up.
// It is above the interval of heartbeats and below the least election timeout.
const recentAck = 400 * time.Millisecond

// transferTarget returns the named voter or, if to is empty, the one with the longest
// replicated log of those that are up. Only if none is, it returns one that is not.
func transferTarget(s consensus.Status, to string) string {
	if to != "" {
		return to
	}
	for _, name := range s.Voters {
		if name == s.ID {
			continue
		}
		up, best := s.SinceLastAck[name] < recentAck, s.SinceLastAck[to] < recentAck
		if to == "" || up && !best || up == best && s.Match[name] > s.Match[to] {
			to = name
		}
	}
	return to
}

// Close stops the replica. Unfinished proposals return OutcomeUnknownError. For a
// graceful stop, call TransferLeader first.
func (r *Replica) Close() error {
	r.stopOnce.Do(func() { close(r.stop) })
	<-r.done
	return r.fatalError()
}

// Done returns a channel that is closed when the replica has stopped.
func (r *Replica) Done() <-chan struct{} { return r.done }

func (r *Replica) fatalError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status.Err
}

func (r *Replica) publishStatus() {
	s := r.core.Status()
	if s.Role != r.lastRole {
		r.log.Info().Stringer("role", s.Role).Uint64("term", s.Term).Uint64("last_index", s.LastIndex).Uint64("commit", s.Commit).Msg("role changed")
		r.lastRole = s.Role
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = Status{Status: s, Applied: r.applied, DiskFull: r.stalledReady != nil, Disk: r.diskUsage(), Err: r.status.Err}
	r.status.BrokenInvariant = r.core.BrokenInvariant()
}

func (r *Replica) now() time.Duration { return r.options.Clock.Now() }
