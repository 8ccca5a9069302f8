package replica

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/consensus"
	"marjoramtiller.example/marjoramtiller/process/storage"
)

// StateMachine is the replicated state of a group. Its methods are never called
// concurrently. Apply must be deterministic.
type StateMachine interface {
	Apply(index uint64, command []byte) (result []byte)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Viewer is a StateMachine that hands out a consistent view of its state
// quickly. encode gives the same bytes as Snapshot at the time of the call; it is
// called on another goroutine while commands are applied. The state of a
// StateMachine that is no Viewer is encoded while nothing is applied.
type Viewer interface {
	SnapshotView() (encode func() ([]byte, error), err error)
}

// Transport sends messages to other replicas. Send never blocks and may drop.
type Transport interface {
	Send(to string, m *wirepb.RaftMessage)
}

// Clock is a monotonic clock.
type Clock interface {
	// Now returns the time since a fixed moment.
	Now() time.Duration
	// Ticks returns a channel that receives about every d until stop is called.
	Ticks(d time.Duration) (c <-chan time.Time, stop func())
}

// SystemClock returns the process's monotonic clock.
func SystemClock() Clock { return systemClock{start: time.Now()} }

// BootClock returns a clock that also counts the time during which the machine
// is suspended, so that a lease does not outlive a suspension.
func BootClock() Clock { return bootClock{} }

type bootClock struct{}

func (bootClock) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("the system has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}

func (bootClock) Ticks(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

type systemClock struct{ start time.Time }

func (c systemClock) Now() time.Duration { return time.Since(c.start) }

func (c systemClock) Ticks(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// VoterChange is a change of the group's membership.
type VoterChange = consensus.VoterChange

// NotLeaderError reports that another replica must be asked. The command was
// not and will not be applied.
type NotLeaderError = consensus.NotLeaderError

// Options are the parameters of a Replica. ID, Group, Dir, StateMachine and
// Transport are required.
type Options struct {
	// ID is the replica's name. A replica whose folder was lost must get a new
	// one, be added as a learner and promoted.
	ID    string
	Group string
	// Voters are the founding voters of a new group, the same at each of them.
	// It is empty for a replica that joins an existing group, and without effect
	// once the folder holds state.
	Voters       []string
	Dir          string
	FS           storage.FS // the operating system's if nil
	StateMachine StateMachine
	Transport    Transport
	Clock        Clock // SystemClock if nil
	Logger       zerolog.Logger
	Seed         uint64 // of the election timeouts

	Tick               time.Duration // 50 ms if 0
	HeartbeatInterval  time.Duration // 150 ms if 0
	ElectionTimeoutMin time.Duration // 1 s if 0
	ElectionTimeoutMax time.Duration // 2 s if 0
	SnapshotEntries    uint64        // applied entries between snapshots, 512 if 0
	// SnapshotChunkBytes is the size of the parts in which a snapshot is sent,
	// 1 MiB if 0. It must stay below the transport's bound of a message.
	SnapshotChunkBytes int
	// MaxSnapshotBytes bounds a received snapshot, 1 GiB if 0.
	MaxSnapshotBytes uint64
	// OnFatal is called once, on another goroutine, when the replica stops on an
	// error such as a broken invariant or a failed sync.
	OnFatal func(error)
}

const (
	defaultTick            = 50 * time.Millisecond
	defaultSnapshotEntries = 512
	defaultChunkBytes      = 1 << 20
	defaultMaxSnapshot     = 1 << 30
	queueLength            = 4096 // proposals and messages that wait
	maxBatch               = 1024 // proposals and messages taken before a sync
)

func (o *Options) setDefaults() error {
	if o.ID == "" || o.Group == "" || o.Dir == "" || o.StateMachine == nil || o.Transport == nil {
		return fmt.Errorf("replica: Options need ID, Group, Dir, StateMachine and Transport")
	}
	if o.Clock == nil {
		o.Clock = SystemClock()
	}
	if o.Tick == 0 {
		o.Tick = defaultTick
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.SnapshotChunkBytes == 0 {
		o.SnapshotChunkBytes = defaultChunkBytes
	}
	if o.MaxSnapshotBytes == 0 {
		o.MaxSnapshotBytes = defaultMaxSnapshot
	}
	return nil
}

// OutcomeUnknownError reports that a command may or may not take effect.
type OutcomeUnknownError struct{ Err error }

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: %v; ask again with the same request id", e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// StoppedError reports that the replica is closed or has stopped on Err. The
// command was not and will not be applied.
type StoppedError struct{ Err error }

// Error implements error.
func (e *StoppedError) Error() string {
	if e.Err == nil {
		return "replica is closed; ask another replica"
	}
	return fmt.Sprintf("replica has stopped: %v", e.Err)
}

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Err }

// NotProposedError reports that the context ended before the command was
// proposed. The command was not and will not be applied.
type NotProposedError struct{ Err error }

// Error implements error.
func (e *NotProposedError) Error() string {
	return fmt.Sprintf("not proposed: %v; retry with a later deadline", e.Err)
}

// Unwrap returns the cause.
func (e *NotProposedError) Unwrap() error { return e.Err }

// Status is a view of a replica's state.
type Status struct {
	consensus.Status
	Counters
	Applied uint64
	// LeaseValid reports that this replica leads and that no other can have been
	// elected at the time of the call.
	LeaseValid bool
	DiskFull   bool
	// Err is the error that stopped the replica, nil while it runs.
	Err error
}

// do runs fn on the replica's goroutine.
func (r *Replica) do(ctx context.Context, fn func()) error {
	done := make(chan struct{})
	task := func() {
		fn()
		close(done)
	}
	select {
	case r.tasks <- task:
	case <-ctx.Done():
		return &NotProposedError{Err: ctx.Err()}
	case <-r.done:
		return &StoppedError{Err: r.fatalError()}
	}
	select {
	case <-done:
		return nil
	case <-r.done:
		return &StoppedError{Err: r.fatalError()}
	}
}
