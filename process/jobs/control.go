package jobs

import (
	"context"
	"encoding/json"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/connection/wire"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/job/worker"
	"marjoramtiller.example/marjoramtiller/process/consensus"
	"marjoramtiller.example/marjoramtiller/process/members"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

// Group is the name of the consensus group that holds the jobs.
const Group = "jobs"

// ControlOptions are the parameters of a control process.
type ControlOptions struct {
	Name     string   // of the replica, see members.Identify
	Founders []string // empty for a replica that joins
	Seeds    []string // internal addresses of control processes
	Dir      string
	Listen   string // internal address
	IP       string
	BootID   string
	Cluster  string
	Seed     uint64
	Bounds   Bounds
	Workers  Workers
	Machines Machines // nil without a machine service
	Advisor  Advisor  // nil without an advisor
	Clock    replica.Clock
	Logger   zerolog.Logger
}

// Bounds are the limits that the platform states.
type Bounds struct {
	Lease          worker.Timing
	ReportInterval time.Duration
	StatusKept     time.Duration // how long an ended job is known
	HolderGap      time.Duration // between the last order of one leader for a machine and the first of the next
	Notice         time.Duration // a task counts as away for this long after it is back
	Upkeep         time.Duration
	Migration      time.Duration
	StopTime       time.Duration
	// OrdersPerSecond bounds the orders to the machine service, 0 without a bound.
	OrdersPerSecond float64
}

// moveShare is the share of the orders to the machine service that moves may
// take; the rest is for upkeeps and orders that are repeated.
const moveShare = 0.7

// orders returns how many moves may be ordered in an interval.
func (b Bounds) orders(interval time.Duration) int {
	if b.OrdersPerSecond <= 0 {
		return math.MaxInt
	}
	return max(1, int(moveShare*b.OrdersPerSecond*interval.Seconds()))
}

// Control is a control process: a replica of the jobs and, while it leads, the
// sender of all orders.
type Control struct {
	o       ControlOptions
	log     zerolog.Logger
	store   *state.Store
	replica *replica.Replica
	pool    *wire.Pool
	server  *wire.Server
	metrics *controlMetrics
	ctx     context.Context
	cancel  context.CancelFunc
	loops   sync.WaitGroup

	mu      sync.Mutex
	session *session // nil unless this process leads
	joining map[string]time.Duration
}

// Timings of the control process.
const (
	roleInterval     = 20 * time.Millisecond  // between looks at the replica's role
	barrierTimeout   = 2 * time.Second        // for the first read of a term
	joinInterval     = 300 * time.Millisecond // between requests to join
	joinForgotten    = 2 * time.Second        // after which a silent joiner is dropped
	memberInterval   = 200 * time.Millisecond // between looks at the membership
	memberTimeout    = 2 * time.Second        // for one change of the membership
	callTimeout      = time.Second            // of an internal call without a deadline
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
		Resolve: members.Address, Matches: members.Matches, MaxCallsPerPeer: maxCallsPerEntry, Logger: o.Logger}
	c.pool = wire.NewPool(net)
	r, err := replica.Open(replica.Options{
		ID: o.Name, Group: Group, Voters: o.Founders, Dir: o.Dir, StateMachine: c.store,
		Transport: transport{c.pool}, Clock: o.Clock, Logger: o.Logger, Seed: o.Seed, SnapshotEntries: snapshotEntries,
	})
	if err != nil {
		cancel()
		_ = c.pool.Close()
		return nil, err
	}
	c.replica = r
	c.server, err = wire.Listen(net, c)
	if err != nil {
		cancel()
		_ = r.Close()
		_ = c.pool.Close()
		return nil, err
	}
	c.start(c.watchRole)
	c.start(c.join)
	c.start(c.keepMembers)
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

// Done is closed when the replica has stopped by itself.
func (c *Control) Done() <-chan struct{} { return c.replica.Done() }

// Close hands leadership over and stops.
func (c *Control) Close(ctx context.Context) error {
	handover, cancel := context.WithTimeout(ctx, transferTimeout)
	if err := c.replica.TransferLeader(handover, ""); err != nil {
		c.log.Warn().Err(err).Msg("leadership was not handed over")
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

// Leads reports whether this process leads and no other process can lead now.
func (c *Control) Leads() bool { return c.replica.Status().LeaseValid }

// LeaderHost returns the IP of the leader's machine, empty if none is known.
func (c *Control) LeaderHost() string { return members.Host(c.replica.Status().Leader) }

// watchRole starts a session when this process becomes leader and ends it with
// its term.
func (c *Control) watchRole() {
	ticks, stop := c.o.Clock.Ticks(roleInterval)
	defer stop()
	for {
		select {
		case <-c.ctx.Done():
			c.endSession()
			return
		case <-ticks:
		}
		s := c.replica.Status()
		current := c.current()
		if current != nil && (s.Role != consensus.Leader || s.Term != current.term || current.failed()) {
			c.endSession()
			current = nil
		}
		if s.Role == consensus.Leader && current == nil {
			c.beginSession(s.Term)
		}
	}
}

func (c *Control) beginSession(term uint64) {
	ctx, cancel := context.WithTimeout(c.ctx, barrierTimeout)
	defer cancel()
	if err := c.replica.ReadBarrier(ctx); err != nil {
		c.log.Debug().Err(err).Uint64("term", term).Msg("no session yet: the state is not known to be complete")
		return
	}
	s := newSession(c, term)
	c.mu.Lock()
	c.session = s
	c.mu.Unlock()
	c.start(s.run)
	c.log.Info().Uint64("term", term).Msg("leading: orders begin")
}

func (c *Control) endSession() {
	c.mu.Lock()
	s := c.session
	c.session = nil
	c.mu.Unlock()
	if s == nil {
		return
	}
	s.cancel()
	<-s.done
	c.log.Info().Uint64("term", s.term).Msg("no longer leading: orders end")
}

func (c *Control) current() *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session
}

// leading returns the session if this process surely leads.
func (c *Control) leading() (*session, error) {
	s := c.current()
	if s == nil || !c.Leads() {
		return nil, &UnavailableError{Reason: "this process does not lead"}
	}
	return s, nil
}

// join asks the group to take this replica in, for as long as it is no member.
func (c *Control) join() {
	ticks, stop := c.o.Clock.Ticks(joinInterval)
	defer stop()
	next := 0
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticks:
		}
		s := c.replica.Status()
		if s.Leader != "" || len(c.o.Seeds) == 0 || s.Fresh && len(c.o.Founders) > 0 {
			continue
		}
		c.askToJoin(s, next)
		next++
	}
}

// askToJoin asks one process that may know the group: a member, or a seed.
func (c *Control) askToJoin(s replica.Status, turn int) {
	var known []string
	for _, name := range s.Voters {
		if name != c.o.Name {
			known = append(known, name)
		}
	}
	for _, seed := range c.o.Seeds {
		if seed != c.o.Listen {
			known = append(known, members.Name(seed, members.Any))
		}
	}
	if len(known) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	req := &jobpb.Request{Kind: jobpb.Request_JOIN, Member: c.o.Name}
	resp, err := callJobs(ctx, c.pool, known[turn%len(known)], req)
	if err != nil {
		c.log.Debug().Err(err).Msg("request to join failed")
		return
	}
	if resp.Outcome == jobpb.Response_NOT_LEADER && resp.Leader != "" && resp.Leader != c.o.Name {
		if _, err := callJobs(ctx, c.pool, resp.Leader, req); err != nil {
			c.log.Debug().Err(err).Str("leader", resp.Leader).Msg("request to join failed")
		}
	}
}

// keepMembers lets the leader take in, promote and drop replicas.
func (c *Control) keepMembers() {
	ticks, stop := c.o.Clock.Ticks(memberInterval)
	defer stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticks:
		}
		s := c.replica.Status()
		if !s.LeaseValid || s.PendingChange {
			continue
		}
		change, needed := members.Next(members.View{Self: c.o.Name, Voters: s.Voters, Learners: s.Learners,
			Silence: s.Silence, Joining: c.joiners(s)})
		if !needed {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, memberTimeout)
		err := c.replica.ChangeVoter(ctx, change)
		cancel()
		c.log.Info().Err(err).Str("member", change.Name).Int("change", int(change.Kind)).Msg("membership change")
	}
}

// joiners returns the replicas that have lately asked to join and are no members.
func (c *Control) joiners(s replica.Status) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range append(s.Voters, s.Learners...) {
		delete(c.joining, name)
	}
	var list []string
	for name, at := range c.joining {
		if c.o.Clock.Now()-at > joinForgotten {
			delete(c.joining, name)
			continue
		}
		list = append(list, name)
	}
	return list
}

// HandleRaft implements wire.Handler.
func (c *Control) HandleRaft(_ string, m *wirepb.RaftMessage) { c.replica.Deliver(m) }

// HandleCall implements wire.Handler.
func (c *Control) HandleCall(ctx context.Context, peer string, req *wirepb.Request) *wirepb.Response {
	r := req.GetJob()
	if r == nil {
		return &wirepb.Response{Error: &wirepb.Error{Kind: wirepb.Error_KIND_INVALID, Message: "this process serves jobs only"}}
	}
	return &wirepb.Response{Body: &wirepb.Response_Job{Job: c.handle(ctx, peer, r)}}
}

func (c *Control) handle(ctx context.Context, peer string, r *jobpb.Request) *jobpb.Response {
	status := c.replica.Status()
	switch r.Kind {
	case jobpb.Request_MEMBERS:
		return &jobpb.Response{Members: append(status.Voters, status.Learners...), Leader: status.Leader}
	case jobpb.Request_DUMP:
		return c.dump()
	case jobpb.Request_JOIN:
		return c.handleJoin(status, r.Member)
	}
	s, err := c.leading()
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
	}
	return &jobpb.Response{Outcome: jobpb.Response_INVALID, Reason: "unknown kind of request from " + peer}
}

func (c *Control) handleJoin(status replica.Status, name string) *jobpb.Response {
	if _, known := members.Address(name); !known {
		return &jobpb.Response{Outcome: jobpb.Response_INVALID, Reason: "a member's name holds its address"}
	}
	if !status.LeaseValid {
		return &jobpb.Response{Outcome: jobpb.Response_NOT_LEADER, Leader: status.Leader}
	}
	c.mu.Lock()
	c.joining[name] = c.o.Clock.Now()
	c.mu.Unlock()
	return &jobpb.Response{}
}

// findQueue returns the queue with the longest prefix of a path, and what follows it.
func findQueue(conf *jobpb.Configuration, host, path string) (*jobpb.Queue, string) {
	var best *jobpb.Queue
	for _, q := range conf.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// jobState answers from the applied state: the caller has checked that this
// process leads, so it reflects all that was ever confirmed.
func (c *Control) jobState(r *jobpb.Request) (resp *jobpb.Response) {
	c.replica.View(func(replica.StateMachine) {
		conf := c.store.Configuration()
		if conf.Version == 0 {
			resp = &jobpb.Response{Outcome: jobpb.Response_NOT_READY, Reason: "there is no configuration yet"}
			return
		}
		q, id := findQueue(conf, r.Host, r.Path)
		if q == nil {
			resp = &jobpb.Response{Outcome: jobpb.Response_NO_QUEUE}
			return
		}
		key := state.QueueKey(q.Host, q.Prefix)
		if id == "" {
			resp = &jobpb.Response{Pending: uint32(c.store.Pending(key)), Counted: true}
			return
		}
		j := c.store.Job(id)
		if j == nil || j.Queue != key {
			resp = &jobpb.Response{Outcome: jobpb.Response_NO_JOB}
			return
		}
		resp = &jobpb.Response{State: j.State}
	})
	// The lease may have ended while the state was read.
	if !c.Leads() {
		return &jobpb.Response{Outcome: jobpb.Response_NOT_LEADER}
	}
	return resp
}

// Configuration returns the newest configuration as it was sent.
func (c *Control) Configuration(ctx context.Context) (document []byte, version uint64, err error) {
	if _, err := c.leading(); err != nil {
		return nil, 0, err
	}
	if err := c.replica.ReadBarrier(ctx); err != nil {
		return nil, 0, &UnavailableError{Reason: err.Error()}
	}
	c.replica.View(func(replica.StateMachine) {
		document, version = c.store.Configuration().Document, c.store.Configuration().Version
	})
	if version == 0 {
		return nil, 0, &UnavailableError{Reason: "there is no configuration yet"}
	}
	return document, version, nil
}

// WaveCompleted reports whether a wave is known and completed.
func (c *Control) WaveCompleted(ctx context.Context, number uint64) (completed, known bool, err error) {
	if _, err := c.leading(); err != nil {
		return false, false, err
	}
	if err := c.replica.ReadBarrier(ctx); err != nil {
		return false, false, &UnavailableError{Reason: err.Error()}
	}
	c.replica.View(func(replica.StateMachine) {
		w := c.store.Waves()[number]
		known = w != nil
		completed = known && state.WaveCompleted(w)
	})
	return completed, known, nil
}

// Dump is the state of a control process as shown to operators.
type Dump struct {
	Name    string         `json:"name"`
	Leader  string         `json:"leader"`
	Term    uint64         `json:"term"`
	Applied uint64         `json:"applied"`
	Voters  []string       `json:"voters"`
	Version uint64         `json:"configuration_version"`
	Jobs    map[string]int `json:"jobs"`    // by state
	Pending map[string]int `json:"pending"` // by queue
	Runs    map[string]int `json:"runs"`    // by worker
	Waves   map[uint64]int `json:"waves"`   // machines that have not begun, by wave
}

// Dump returns the state of this process as JSON.
func (c *Control) Dump(context.Context) ([]byte, error) {
	s := c.replica.Status()
	d := Dump{Name: c.o.Name, Leader: s.Leader, Term: s.Term, Applied: s.Applied, Voters: s.Voters,
		Jobs: map[string]int{}, Pending: map[string]int{}, Runs: map[string]int{}, Waves: map[uint64]int{}}
	c.replica.View(func(replica.StateMachine) {
		d.Version = c.store.Configuration().Version
		for _, j := range c.store.Jobs() {
			d.Jobs[j.State.String()]++
			if j.State == jobpb.Job_QUEUED {
				d.Pending[j.Queue]++
			}
		}
		for id := range c.store.Workers() {
			d.Runs[id] = len(c.store.Placed(id))
		}
		for n, w := range c.store.Waves() {
			d.Waves[n] = 0
			for _, m := range w.Machines {
				if !m.Begun {
					d.Waves[n]++
				}
			}
		}
	})
	return json.Marshal(d)
}

func (c *Control) dump() *jobpb.Response {
	data, err := c.Dump(c.ctx)
	if err != nil {
		return &jobpb.Response{Outcome: jobpb.Response_NOT_READY, Reason: err.Error()}
	}
	return &jobpb.Response{Dump: data}
}
