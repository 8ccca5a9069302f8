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
// concurrently. Apply must be deterministic, because every replica applies the
// same commands and must reach the same state.
type StateMachine interface {
	Apply(index uint64, command []byte) (result []byte)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// SnapshotViewer is implemented by a StateMachine that can return a consistent view
// of its state quickly. The function encode returns the bytes that Snapshot would
// have returned at the time of the call to SnapshotView; it is called on another
// goroutine while commands are applied. For a StateMachine that does not implement
// SnapshotViewer, no command is applied while its state is encoded.
type SnapshotViewer interface {
	SnapshotView() (encode func() ([]byte, error), err error)
}

// Transport sends messages to other replicas. Send never blocks and may drop a
// message.
type Transport interface {
	Send(to string, m *wirepb.RaftMessage)
}

// Clock is a monotonic clock.
type Clock interface {
	// Now returns the time since a fixed moment.
	Now() time.Duration
	// Ticks returns a channel that receives a value about once per interval until
	// stop is called.
	Ticks(interval time.Duration) (c <-chan time.Time, stop func())
}

// SystemClock returns the process's monotonic clock.
func SystemClock() Clock { return systemClock{start: time.Now()} }

// BootClock returns a monotonic clock that also advances while the machine is
// suspended, so that a lease that ends during a suspension has expired on resume.
func BootClock() Clock { return bootClock{} }

type bootClock struct{}

func (bootClock) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("the system does not support CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}

func (bootClock) Ticks(interval time.Duration) (<-chan time.Time, func()) {
	ticker := time.NewTicker(interval)
	return ticker.C, ticker.Stop
}

type systemClock struct{ start time.Time }

func (c systemClock) Now() time.Duration { return time.Since(c.start) }

func (c systemClock) Ticks(interval time.Duration) (<-chan time.Time, func()) {
	ticker := time.NewTicker(interval)
	return ticker.C, ticker.Stop
}

// VoterChange is a change of the group's membership.
type VoterChange = consensus.VoterChange

// NotLeaderError reports that this replica is not the leader and that the request
// must be sent to the leader. The command was not and will not be applied.
type NotLeaderError = consensus.NotLeaderError

// Options are the parameters of a Replica. ID, Group, Dir, StateMachine and
// Transport are required.
type Options struct {
	// ID is the replica's name. A replica whose folder was lost must start under a
	// new name, be added as a learner and then be promoted.
	ID    string
	Group string
	// Voters are the founding voters of a new group; the list must be the same on
	// each of them. It is empty for a replica that joins an existing group, and is
	// ignored once the folder holds state.
	Voters       []string
	Dir          string
	FS           storage.FS // the operating system's if nil
	StateMachine StateMachine
	Transport    Transport
	Clock        Clock // SystemClock if nil
	Logger       zerolog.Logger
	Seed         uint64 // seeds the random election timeouts

	Tick               time.Duration // 50 ms if 0
	HeartbeatInterval  time.Duration // 150 ms if 0
	ElectionTimeoutMin time.Duration // 1 s if 0
	ElectionTimeoutMax time.Duration // 2 s if 0
	SnapshotEntries    uint64        // applied entries after which a snapshot is due, 512 if 0; see also DiskBytes
	// DiskBytes is the size of the disk, or of the part of it that this replica may use.
	// Snapshots are then also due by the size of the log, and commands that would leave no
	// space for the next snapshot are refused. 0 means that the size is not known.
	DiskBytes int64
	// SnapshotChunkBytes is the size of the chunks in which a snapshot is sent,
	// 1 MiB if 0. It must be below the transport's limit for a message.
	SnapshotChunkBytes int
	// MaxSnapshotBytes is the largest snapshot that the replica accepts from a
	// leader, 1 GiB if 0.
	MaxSnapshotBytes uint64
	// OnFatal is called once, on another goroutine, when the replica stops because
	// of an error such as a broken invariant or a failed sync.
	OnFatal func(error)

	segmentBytes int64 // size at which the store creates a new log segment; follows from DiskBytes if 0
}

const (
	defaultTick               = 50 * time.Millisecond
	defaultSnapshotEntries    = 512
	defaultSnapshotChunkBytes = 1 << 20
	defaultMaxSnapshotBytes   = 1 << 30
	queueLength               = 4096 // capacity of the queue of proposals and of the queue of messages
	maxBatch                  = 1024 // proposals and messages processed before a sync
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
	if o.DiskBytes < 0 {
		return fmt.Errorf("replica: Options.DiskBytes is %d; set it to the size of the disk, or to 0 if it is not known", o.DiskBytes)
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.SnapshotChunkBytes == 0 {
		o.SnapshotChunkBytes = defaultSnapshotChunkBytes
	}
	if o.MaxSnapshotBytes == 0 {
		o.MaxSnapshotBytes = defaultMaxSnapshotBytes
	}
	if o.segmentBytes == 0 {
		o.segmentBytes = diskBudget{o.DiskBytes}.segmentBytes(storage.DefaultSegmentBytes)
	}
	return nil
}

// OutcomeUnknownError reports that a command may or may not take effect.
type OutcomeUnknownError struct{ Err error }

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: %v; retry with the same request id", e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// StoppedError reports that the replica was closed (Err is nil) or has stopped
// because of Err. The command was not and will not be applied.
type StoppedError struct{ Err error }

// Error implements error.
func (e *StoppedError) Error() string {
	if e.Err == nil {
		return "replica is closed; send the request to another replica"
	}
	return fmt.Sprintf("replica has stopped on an error: %v", e.Err)
}

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Err }

// NotProposedError reports that the context ended before the command was
// proposed. The command was not and will not be applied.
type NotProposedError struct{ Err error }

// Error implements error.
func (e *NotProposedError) Error() string {
	return fmt.Sprintf("command not proposed: %v; retry with a later deadline", e.Err)
}

// Unwrap returns the cause.
func (e *NotProposedError) Unwrap() error { return e.Err }

// Status is a copy of a replica's state at one moment.
type Status struct {
	consensus.Status
	Counters
	Applied uint64
	// LeaseValid reports that this replica is the leader and that no other replica
	// can have been elected by the time of the call to Replica.Status.
	LeaseValid bool
	DiskFull   bool
	Disk       DiskUsage
	// Err is the error that stopped the replica, nil while it runs.
	Err error
}

// runTask runs fn on the replica's goroutine and waits until fn has returned.
func (r *Replica) runTask(ctx context.Context, fn func()) error {
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
