package jobs

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/connection/inbound"
	"marjoramtiller.example/marjoramtiller/connection/wire"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/job/dispatch"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/job/worker"
	"marjoramtiller.example/marjoramtiller/process/members"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

// Group is the name of the consensus group that holds the jobs.
const Group = "jobs"

// ControlOptions are the parameters of a control process.
type ControlOptions struct {
	Name          string   // of the replica, see members.Identify
	InitialVoters []string // empty for a replica that joins
	Seeds         []string // internal addresses of control processes
	Dir           string
	DiskBytes     int64  // size of the disk that holds Dir, 0 if unknown
	Listen        string // internal address
	IP            string
	BootID        string
	Cluster       string
	Seed          uint64
	Bounds        Bounds
	Workers       orders.Workers
	Machines      Machines // nil without a machine service
	Advisor       Advisor  // nil without an advisor
	Clock         replica.Clock
	Internal      InternalLimits
	Logger        zerolog.Logger
	// DecodeConfiguration reads a configuration document. If it is set, a leader reads the stored
	// one again that an earlier build has read.
	DecodeConfiguration func(document []byte) (*jobpb.Configuration, error)
}

// InternalLimits are the limits of the internal address, see wire.Options. The zero value
// sets none.
type InternalLimits struct {
	Calls, Messages *inbound.Limits
	Sessions        int
}

// Bounds are the limits and lease times that the platform sets.
type Bounds struct {
	Lease          worker.LeaseTiming
	ReportInterval time.Duration
	JobRetention   time.Duration // how long an ended job stays in the state
	OrderGap       time.Duration // between a leader's last order for a machine and its successor's first
	// RelayWorkers is the number of workers from which orders go through the other control
	// processes. A leader with fewer sends them itself: a relay can fail as well.
	RelayWorkers int
	// OrdersPerSecond limits the orders to the machine service; 0 means no limit.
	OrdersPerSecond float64
}

// moveShare is the share of OrdersPerSecond that moves may use; the rest is
// reserved for upkeeps and repeated orders.
const moveShare = 0.7

// orders returns how many moves may be ordered per interval, at least one.
func (b Bounds) orders(interval time.Duration) int {
	if b.OrdersPerSecond <= 0 {
		return math.MaxInt
	}
	return max(1, int(moveShare*b.OrdersPerSecond*interval.Seconds()))
}

// replicatedLog is the part of a replica that a session uses.
type replicatedLog interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	View(fn func(replica.StateMachine))
	Status() replica.Status
	TransferLeader(ctx context.Context, to string) error
}

// Control is a control process: it holds a replica of the job state and, while it
// leads, sends all orders.
type Control struct {
	o       ControlOptions
	log     zerolog.Logger
	store   *state.Store
	replica *replica.Replica
	group   replicatedLog // the replica, for sessions
	pool    *wire.Pool
	server  *wire.Server
	relay   *orderRelay
	reports *reportCollector
	metrics *controlMetrics
	// configured is the age of the configuration in force at this process.
	configured versionAge
	ctx        context.Context
	cancel     context.CancelFunc
	loops      sync.WaitGroup

	// numbers and usedFences outlive a session: a term may have several sessions.
	numbers    dispatch.Numbers
	usedFences *fenceRecord // of the last session, nil before the first

	mu      sync.Mutex
	session *session // nil unless this process leads
	joining map[string]time.Duration
}

// Timings of the control process.
const (
	roleInterval     = 20 * time.Millisecond  // between checks of the replica's role
	barrierTimeout   = 2 * time.Second        // for the first read of a term
	joinInterval     = 300 * time.Millisecond // between requests to join
	joinRequestTTL   = 2 * time.Second        // after which a request to join that is not repeated expires
	memberInterval   = 200 * time.Millisecond // between checks of the membership
	memberTimeout    = 2 * time.Second        // for one change of the membership
	callTimeout      = time.Second            // of a call between processes whose caller sets no deadline
	snapshotEntries  = 4096
	transferTimeout  = 1500 * time.Millisecond
	maxCallsPerEntry = 200
)

// OpenControl starts a control process.
func OpenControl(o ControlOptions) (*Control, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Control{o: o, log: o.Logger, store: state.New(), ctx: ctx, cancel: cancel,
		joining: map[string]time.Duration{}, metrics: newControlMetrics()}
	net := wire.Options{Cluster: o.Cluster, Process: o.Name, BootID: o.BootID, Listen: o.Listen, LocalIP: o.IP,
		Resolve: members.Address, Matches: members.Matches, MaxCallsPerPeer: maxCallsPerEntry, Logger: o.Logger,
		MaxSessions: o.Internal.Sessions, CallLimits: o.Internal.Calls, MessageLimits: o.Internal.Messages}
	c.pool = wire.NewPool(net)
	r, err := replica.Open(replica.Options{
		ID: o.Name, Group: Group, Voters: o.InitialVoters, Dir: o.Dir, StateMachine: c.store,
		Transport: transport{c.pool}, Clock: o.Clock, Logger: o.Logger, Seed: o.Seed, SnapshotEntries: snapshotEntries,
		DiskBytes: o.DiskBytes,
	})
	if err != nil {
		cancel()
		_ = c.pool.Close()
		return nil, err
	}
	c.replica, c.group = r, r
	c.relay = newOrderRelay(ctx, o.BootID, o.Workers, c.pool.SendRelay, func() uint64 { return r.Status().Term }, o.Clock, o.Logger)
	c.reports = newReportCollector()
	c.server, err = wire.Listen(net, c)
	if err != nil {
		cancel()
		_ = r.Close()
		_ = c.pool.Close()
		return nil, err
	}
	c.start(c.watchRole)
	c.start(c.join)
	c.start(c.maintainMembership)
	c.start(c.forwardContacts)
	return c, nil
}

func (c *Control) start(fn func()) {
	c.loops.Add(1)
	go func() {
		defer c.loops.Done()
		fn()
	}()
}

type transport struct{ pool *wire.Pool }

// Send implements replica.Transport.
func (t transport) Send(to string, m *wirepb.RaftMessage) { t.pool.SendRaft(to, m) }

// Done returns a channel that is closed when the replica has stopped by itself.
func (c *Control) Done() <-chan struct{} { return c.replica.Done() }

// Close transfers leadership to another replica, if it can, and stops the process.
func (c *Control) Close(ctx context.Context) error {
	handover, cancel := context.WithTimeout(ctx, transferTimeout)
	if err := c.replica.TransferLeader(handover, ""); err != nil {
		c.log.Warn().Err(err).Msg("leadership was not transferred before shutdown")
	}
	cancel()
	c.cancel()
	_ = c.server.Shutdown(ctx)
	c.loops.Wait()
	err := c.replica.Close()
	_ = c.server.Close()
	_ = c.pool.Close()
	return err
}

// Leads reports whether this process leads under a valid lease, so that no other
// process can lead now.
func (c *Control) Leads() bool { return c.group.Status().LeaseValid }

// LeaderHost returns the IP address of the leader's machine, empty if no leader is
// known.
func (c *Control) LeaderHost() string { return members.Host(c.replica.Status().Leader) }

// viewStore calls fn with the applied state; no entry is applied meanwhile.
func (c *Control) viewStore(fn func(st *state.Store)) {
	c.group.View(func(replica.StateMachine) { fn(c.store) })
}

// otherVoters returns the names of the other voters, which may serve as relays.
func (c *Control) otherVoters() []string {
	var names []string
	for _, name := range c.group.Status().Voters {
		if name != c.o.Name {
			names = append(names, name)
		}
	}
	return names
}

// HandleRelay implements wire.RelayHandler.
func (c *Control) HandleRelay(peer string, m *jobpb.RelayMessage) {
	if m.Number > 0 {
		c.relay.handle(peer, m)
		return
	}
	s := c.currentSession()
	if s == nil || m.Term != s.term {
		return // contacts of an earlier term may have waited; they are told to a new leader again
	}
	s.relays.handle(peer, m)
	if len(m.Contacts) > 0 {
		s.post(func() { s.recordContacts(m.Contacts) })
	}
}

// HandleRaft implements wire.Handler.
func (c *Control) HandleRaft(_ string, m *wirepb.RaftMessage) { c.replica.Deliver(m) }

// HandleCall implements wire.Handler.
func (c *Control) HandleCall(ctx context.Context, peer string, req *wirepb.Request) *wirepb.Response {
	r := req.GetJob()
	if r == nil {
		return &wirepb.Response{Error: &wirepb.Error{Kind: wirepb.Error_KIND_INVALID, Message: "this process handles job requests only"}}
	}
	return &wirepb.Response{Body: &wirepb.Response_Job{Job: c.handle(ctx, peer, r)}}
}

func (c *Control) handle(ctx context.Context, peer string, r *jobpb.Request) *jobpb.Response {
	status := c.group.Status()
	switch r.Kind {
	case jobpb.Request_MEMBERS:
		return &jobpb.Response{Members: append(status.Voters, status.Learners...), Leader: status.Leader}
	case jobpb.Request_DUMP:
		return c.dump()
	case jobpb.Request_JOIN:
		return c.handleJoin(status, r.Member)
	}
	s, err := c.leaderSession()
	if err != nil {
		leader := status.Leader
		if leader == c.o.Name {
			leader = ""
		}
		return &jobpb.Response{Outcome: jobpb.Response_NOT_LEADER, Leader: leader, Reason: err.Error()}
	}
	switch r.Kind {
	case jobpb.Request_SUBMIT:
		return s.submit(ctx, r)
	case jobpb.Request_STATE:
		return c.jobState(r)
	case jobpb.Request_CANCEL:
		return s.cancelJob(ctx, r)
	case jobpb.Request_REPORT:
		return s.handleForwardedReport(ctx, r.Report)
	}
	return &jobpb.Response{Outcome: jobpb.Response_INVALID, Reason: "unknown kind of request from " + peer}
}
