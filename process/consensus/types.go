// Package consensus is the replication core of one consensus group: elections
// with pre-vote and check-quorum, log replication, read index, snapshots,
// learners, voter changes and leadership transfer. It follows Ongaro's
// dissertation "Consensus: Bridging Theory and Practice" (2014).
//
// The core is a pure state machine. It has no clock, goroutine, randomness or
// I/O: the caller passes the monotonic time since its start and carries out
// each Ready. A Core is not safe for concurrent use.
package consensus

import (
	"fmt"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// Role is the role of a replica in its current term.
type Role int

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config holds the parameters of a Core. Zero durations and limits take their
// defaults.
type Config struct {
	ID    string
	Group string
	// Incarnation identifies the replica's data folder. It is generated when the
	// folder is created and stored in it. 0 disables the incarnation check for
	// this replica.
	Incarnation uint64
	// Voters is the group's initial set of voters. It is empty for a replica
	// that joins an existing group as a learner. The voters of a stored snapshot
	// take precedence.
	Voters             []string
	HeartbeatInterval  time.Duration
	ElectionTimeoutMin time.Duration
	ElectionTimeoutMax time.Duration
	// LeaseDuration is the length of the leader lease, below ElectionTimeoutMin
	// to allow for clocks that run at different rates.
	LeaseDuration      time.Duration
	MaxAppendBytes     int
	MaxAppendsInFlight int
	// MaxUncommittedBytes limits the leader's uncommitted entries. Above it,
	// Propose returns a BusyError.
	MaxUncommittedBytes int
	// Rand returns a number in [0, n).
	Rand func(n int64) int64
}

const (
	defaultHeartbeat           = 150 * time.Millisecond
	defaultElectionTimeoutMin  = time.Second
	defaultMaxAppendBytes      = 1 << 20
	defaultMaxAppendsInFlight  = 32
	defaultMaxUncommittedBytes = 64 << 20
)

func (c *Config) setDefaults() error {
	if c.ID == "" || c.Rand == nil {
		return fmt.Errorf("consensus: Config needs ID and Rand")
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = defaultHeartbeat
	}
	if c.ElectionTimeoutMin == 0 {
		c.ElectionTimeoutMin = defaultElectionTimeoutMin
	}
	if c.ElectionTimeoutMax == 0 {
		c.ElectionTimeoutMax = 2 * c.ElectionTimeoutMin
	}
	if c.LeaseDuration == 0 {
		c.LeaseDuration = c.ElectionTimeoutMin * 3 / 4
	}
	if c.MaxAppendBytes == 0 {
		c.MaxAppendBytes = defaultMaxAppendBytes
	}
	if c.MaxAppendsInFlight == 0 {
		c.MaxAppendsInFlight = defaultMaxAppendsInFlight
	}
	if c.MaxUncommittedBytes == 0 {
		c.MaxUncommittedBytes = defaultMaxUncommittedBytes
	}
	if c.LeaseDuration >= c.ElectionTimeoutMin || c.HeartbeatInterval >= c.ElectionTimeoutMin || c.ElectionTimeoutMin >= c.ElectionTimeoutMax {
		return fmt.Errorf("consensus: need lease and heartbeat < ElectionTimeoutMin < ElectionTimeoutMax")
	}
	return nil
}

// Initial is the durable state that a replica starts from.
type Initial struct {
	// HardState is nil when the disk is empty.
	HardState *wirepb.RaftHardState
	// Snapshot is the metadata of the latest snapshot, nil when there is none.
	Snapshot *wirepb.RaftSnapshot
	// Entries is the log, contiguous, starting at or before Snapshot.Index+1.
	Entries []*wirepb.RaftEntry
}

// Ready is the work that the caller must carry out, in this order: send
// Messages; store Snapshot, then append Entries (which replace any stored entry
// with the same or a higher index) and HardState; sync; send AfterSync; apply
// Snapshot and Committed; call Advance.
type Ready struct {
	Messages  []*wirepb.RaftMessage
	Snapshot  *wirepb.RaftSnapshot
	Entries   []*wirepb.RaftEntry
	HardState *wirepb.RaftHardState
	// AfterSync holds the messages that may be sent only after the sync: votes,
	// acknowledgements, and requests of a term that is not stored yet.
	AfterSync []*wirepb.RaftMessage
	Committed []*wirepb.RaftEntry
	Reads     []ReadState
}

// MustSync reports whether there is state to be synced.
func (r *Ready) MustSync() bool {
	return r.Snapshot != nil || len(r.Entries) > 0 || r.HardState != nil
}

// Empty reports whether the caller has nothing to carry out.
func (r *Ready) Empty() bool {
	return !r.MustSync() && len(r.Messages)+len(r.AfterSync)+len(r.Committed)+len(r.Reads) == 0
}

// ReadState is the result of a ReadIndex call: the read is linearizable once the
// entry at Index is applied. Failed means that the replica lost leadership
// before a quorum confirmed it.
type ReadState struct {
	ID     uint64
	Index  uint64
	Failed bool
}

// ChangeKind is the kind of a VoterChange.
type ChangeKind int

// The kinds of VoterChange.
const (
	AddLearner ChangeKind = iota + 1
	Promote               // a learner becomes a voter
	Remove                // a voter or learner is removed
)

// VoterChange adds, promotes or removes one replica.
type VoterChange struct {
	Kind ChangeKind
	Name string
}

// Status is a view of the core's state.
type Status struct {
	ID, Leader        string
	Role              Role
	Term              uint64
	Commit, LastIndex uint64
	FirstIndex        uint64
	Voters, Learners  []string
	LeaseUntil        time.Duration // leader only
	Match             map[string]uint64
	SinceLastAck      map[string]time.Duration // since a replica's last acknowledgement in this term, or the election; leader only
	// Silence is the time since any leader had an acknowledgement of a replica, for those
	// for which it is the minimum election timeout or longer; leader only.
	Silence                map[string]time.Duration
	TransferTo             string
	Fresh                  bool // the disk was empty and the group has not elected its first leader yet
	PendingChange, Removed bool
}

// InvariantError reports a broken invariant. The core stops: it produces no more
// work, and later calls return this error.
type InvariantError struct {
	Name   string
	Detail string
}

// Error implements error.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("consensus: invariant %s is broken: %s; stop this replica, keep its data folder for analysis and replace it by a learner with a new replica name", e.Name, e.Detail)
}

// Names of the invariants.
const (
	InvariantSingleLeader   = "single-leader-per-term"
	InvariantLogMatching    = "log-matching"
	InvariantCommitMonotone = "commit-never-decreases"
	InvariantAckedKept      = "acknowledged-entry-kept"
	InvariantTermMonotone   = "term-never-decreases"
)

// Invariants lists the names of all asserted invariants.
var Invariants = []string{InvariantSingleLeader, InvariantLogMatching, InvariantCommitMonotone, InvariantAckedKept, InvariantTermMonotone}

// EmptyDiskError reports that a voter of an established group started without
// its data folder. The voter may have voted or acknowledged entries before, and
// the record of that is lost.
type EmptyDiskError struct{ ID string }

// Error implements error.
func (e *EmptyDiskError) Error() string {
	return fmt.Sprintf("consensus: voter %q has lost its data folder, or its name was used by another replica before; start it as a learner with a new replica name, promote the learner and remove voter %q", e.ID, e.ID)
}

// NotLeaderError reports that the replica is not the leader and that the call had
// no effect. Leader is empty when no leader is known.
type NotLeaderError struct{ Leader string }

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader, and no leader is known; retry after an election"
	}
	return fmt.Sprintf("not the leader; send the request to %q", e.Leader)
}

// BusyError reports that a proposal, read, voter change or leadership transfer
// can't be accepted at present. The call had no effect and may be retried.
type BusyError struct{ Reason string }

// Error implements error.
func (e *BusyError) Error() string { return "refused for now: " + e.Reason + "; retry" }

// NotCaughtUpError reports that a learner can't be promoted: its log ends before
// the commit index, or its last acknowledgement is older than the minimum
// election timeout.
type NotCaughtUpError struct {
	Name          string
	Match, Commit uint64
}

// Error implements error.
func (e *NotCaughtUpError) Error() string {
	return fmt.Sprintf("learner %q is not caught up or does not respond: it has acknowledged entries up to index %d, and the commit index is %d; retry once it is caught up", e.Name, e.Match, e.Commit)
}

// InvalidChangeError reports a voter change that can't be carried out.
type InvalidChangeError struct{ Reason string }

// Error implements error.
func (e *InvalidChangeError) Error() string { return "invalid voter change: " + e.Reason }
