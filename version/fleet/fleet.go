// Package fleet is the replicated state machine of the control group: pools,
// hosts, jobs, waves, teams, backend servers, tasks and monthly figures, with
// configuration versions and deltas.
//
// The package does no input or output and reads no clock. Each command carries
// the leader's wall clock, and the greatest value applied so far is the
// replicated time. Messages returned by read methods are shared with the state
// and must not be modified.
package fleet

import (
	"container/list"
	"fmt"
	"iter"
	"time"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

const (
	// AnswerRetention is how long the answer to a request id is kept, measured
	// in replicated time.
	AnswerRetention = 24 * time.Hour
	// MaxAnswers limits the number of stored answers. 51,000 configuration
	// changes a day with some steps each stay well below it.
	MaxAnswers = 1 << 20
	// DefaultMaxTombstones limits the number of stored tombstones. A copy older
	// than a dropped tombstone receives a full delta.
	DefaultMaxTombstones = 8192
	// FigureMonths is how many calendar months of figures are kept.
	FigureMonths = 26
)

// InvariantError reports a broken invariant. After one, the fleet refuses every
// command.
type InvariantError struct {
	Name   string
	Detail string
}

func (e *InvariantError) Error() string {
	return fmt.Sprintf("fleet invariant %s is broken: %s; stop this replica and keep its data folder", e.Name, e.Detail)
}

// Names of the invariants.
const (
	InvariantHostInOnePool     = "host-in-one-pool"
	InvariantEpochIncreases    = "host-epoch-grows"
	InvariantBudgetKept        = "availability-budget-kept"
	InvariantServerOfOwnPool   = "server-of-own-pool"
	InvariantLeavingIsFinal    = "leaving-not-undone"
	InvariantAttemptIncreases  = "task-attempt-grows"
	InvariantVersionIncreases  = "version-grows"
	InvariantTombstonesBounded = "tombstones-bounded"
)

// objectID identifies an object of any kind.
type objectID struct {
	kind fleetpb.Tombstone_Kind
	name string
}

// String returns the name used in faults, conflicts and origins.
func (id objectID) String() string { return kindNames[id.kind] + "/" + id.name }

var kindNames = map[fleetpb.Tombstone_Kind]string{
	fleetpb.Tombstone_KIND_POOL:   "pool",
	fleetpb.Tombstone_KIND_HOST:   "host",
	fleetpb.Tombstone_KIND_JOB:    "job",
	fleetpb.Tombstone_KIND_WAVE:   "wave",
	fleetpb.Tombstone_KIND_TEAM:   "team",
	fleetpb.Tombstone_KIND_SERVER: "server",
	fleetpb.Tombstone_KIND_TASK:   "task",
}

// Fleet is the state machine. It is not safe for concurrent use.
type Fleet struct {
	version uint64
	nowMs   int64

	pools   *table[*fleetpb.Pool]
	hosts   *table[*fleetpb.Host]
	jobs    *table[*fleetpb.Job]
	waves   *table[*fleetpb.Wave]
	teams   *table[*fleetpb.Team]
	servers *table[*fleetpb.BackendServer]
	tasks   *table[*fleetpb.Task]

	poolHosts   index // pool to its hosts
	homeHosts   index // home pool to its hosts
	moveTargets index // target pool of a move to the moving hosts
	waveHosts   index // wave to the hosts that are draining, released or out for it
	hostServers index // host to its backend servers
	hostTasks   index // host to its unfinished tasks
	jobTasks    index // job to its tasks
	poolJobs    index // pool to its jobs
	teamJobs    index // team to its jobs
	inactive    []string

	// recent holds a *change for each object and tombstone of the kinds that
	// deltas carry, the most recently modified last.
	recent            *list.List
	recentElements    map[objectID]*list.Element
	tombstones        *list.List // *change of each tombstone, oldest first
	tombstoneElements map[objectID]*list.Element
	maxTombstones     int
	tombstoneFloor    uint64 // greatest version of a dropped tombstone

	origins      map[string]*fleetpb.Origin
	answerByID   map[string]*fleetpb.Answered
	answersByAge *list.List // *fleetpb.Answered, oldest first
	figures      map[figureID]*fleetpb.MonthFigures

	brokenInvariant *InvariantError
}

// New returns an empty fleet at version 0.
func New() *Fleet {
	f := &Fleet{maxTombstones: DefaultMaxTombstones}
	f.reset()
	return f
}

func (f *Fleet) reset() {
	f.version = 0
	f.nowMs = 0
	f.pools = newTable[*fleetpb.Pool]()
	f.hosts = newTable[*fleetpb.Host]()
	f.jobs = newTable[*fleetpb.Job]()
	f.waves = newTable[*fleetpb.Wave]()
	f.teams = newTable[*fleetpb.Team]()
	f.servers = newTable[*fleetpb.BackendServer]()
	f.tasks = newTable[*fleetpb.Task]()
	f.poolHosts = make(index)
	f.homeHosts = make(index)
	f.moveTargets = make(index)
	f.waveHosts = make(index)
	f.hostServers = make(index)
	f.hostTasks = make(index)
	f.jobTasks = make(index)
	f.poolJobs = make(index)
	f.teamJobs = make(index)
	f.inactive = nil
	f.recent = list.New()
	f.recentElements = make(map[objectID]*list.Element)
	f.tombstones = list.New()
	f.tombstoneElements = make(map[objectID]*list.Element)
	f.tombstoneFloor = 0
	f.origins = make(map[string]*fleetpb.Origin)
	f.answerByID = make(map[string]*fleetpb.Answered)
	f.answersByAge = list.New()
	f.figures = make(map[figureID]*fleetpb.MonthFigures)
	f.brokenInvariant = nil
}

// Broken returns the *InvariantError that stopped the fleet, or nil.
func (f *Fleet) Broken() error {
	if f.brokenInvariant == nil {
		return nil
	}
	return f.brokenInvariant
}

// Version returns the configuration version.
func (f *Fleet) Version() uint64 { return f.version }

// NowUnixMs returns the replicated time.
func (f *Fleet) NowUnixMs() int64 { return f.nowMs }

// Pool returns a pool, or nil.
func (f *Fleet) Pool(name string) *fleetpb.Pool { return f.pools.byName[name] }

// Host returns a host, or nil.
func (f *Fleet) Host(name string) *fleetpb.Host { return f.hosts.byName[name] }

// Job returns a job, or nil.
func (f *Fleet) Job(name string) *fleetpb.Job { return f.jobs.byName[name] }

// Wave returns a wave, or nil.
func (f *Fleet) Wave(name string) *fleetpb.Wave { return f.waves.byName[name] }

// Team returns a team, or nil.
func (f *Fleet) Team(name string) *fleetpb.Team { return f.teams.byName[name] }

// Server returns a backend server, or nil.
func (f *Fleet) Server(name string) *fleetpb.BackendServer { return f.servers.byName[name] }

// Task returns a task, or nil.
func (f *Fleet) Task(name string) *fleetpb.Task { return f.tasks.byName[name] }

// Pools iterates all pools in name order.
func (f *Fleet) Pools() iter.Seq[*fleetpb.Pool] { return f.pools.all() }

// Hosts iterates all hosts in name order.
func (f *Fleet) Hosts() iter.Seq[*fleetpb.Host] { return f.hosts.all() }

// Jobs iterates all jobs in name order.
func (f *Fleet) Jobs() iter.Seq[*fleetpb.Job] { return f.jobs.all() }

// Waves iterates all waves in name order.
func (f *Fleet) Waves() iter.Seq[*fleetpb.Wave] { return f.waves.all() }

// Teams iterates all teams in name order.
func (f *Fleet) Teams() iter.Seq[*fleetpb.Team] { return f.teams.all() }

// Servers iterates all backend servers in name order.
func (f *Fleet) Servers() iter.Seq[*fleetpb.BackendServer] { return f.servers.all() }

// Tasks iterates all tasks in name order.
func (f *Fleet) Tasks() iter.Seq[*fleetpb.Task] { return f.tasks.all() }

// PoolHosts iterates the hosts of a pool in name order.
func (f *Fleet) PoolHosts(pool string) iter.Seq[*fleetpb.Host] {
	return objectsByName(f.hosts, f.poolHosts[pool])
}

// Inactive iterates the hosts that are not active, in name order. Its cost does
// not depend on the number of active hosts.
func (f *Fleet) Inactive() iter.Seq[*fleetpb.Host] { return objectsByName(f.hosts, f.inactive) }

// HostServers iterates the backend servers of a host in name order.
func (f *Fleet) HostServers(host string) iter.Seq[*fleetpb.BackendServer] {
	return objectsByName(f.servers, f.hostServers[host])
}

// UnfinishedTasks iterates the placed, running and checkpointing tasks of a
// host in name order.
func (f *Fleet) UnfinishedTasks(host string) iter.Seq[*fleetpb.Task] {
	return objectsByName(f.tasks, f.hostTasks[host])
}

// JobTasks iterates the tasks of a job in name order.
func (f *Fleet) JobTasks(job string) iter.Seq[*fleetpb.Task] {
	return objectsByName(f.tasks, f.jobTasks[job])
}

// Origin returns the actor and request of the last configuration change of an
// object, or nil. The object is named as in faults, for example "pool/booking".
func (f *Fleet) Origin(object string) *fleetpb.Origin { return f.origins[object] }

// objectsByName iterates the objects with the given names, which must exist.
func objectsByName[T object](t *table[T], names []string) iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, name := range names {
			if !yield(t.byName[name]) {
				return
			}
		}
	}
}

func (f *Fleet) failInvariant(name, detail string) {
	if f.brokenInvariant == nil {
		f.brokenInvariant = &InvariantError{Name: name, Detail: detail}
	}
}

func marshal(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Unreachable: marshalling fails only on invalid UTF-8, and every string
		// of a result comes from a decoded message or a constant.
		return nil
	}
	return data
}
