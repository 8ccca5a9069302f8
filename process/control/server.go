package control

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/connection/wire"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/platform"
	"marjoramtiller.example/marjoramtiller/process/replica"
	"marjoramtiller.example/marjoramtiller/request/ledger"
	"marjoramtiller.example/marjoramtiller/version/fleet"
)

// FleetGroup is the name of the consensus group that replicates the fleet.
const FleetGroup = "control"

// LedgerGroup returns the name of the i-th ledger group.
func LedgerGroup(i int) string { return fmt.Sprintf("ledger-%d", i) }

// Intervals of the leader's loops.
const (
	reconcileInterval = 500 * time.Millisecond
	platformInterval  = 2 * time.Second
	// maintenanceInterval polls more often while a host is out, since every
	// wave's time contains the delay once for each batch.
	maintenanceInterval = 500 * time.Millisecond
	sampleInterval      = 10 * time.Second
	proposeTimeout      = 5 * time.Second
	barrierTimeout      = 2 * time.Second
	transferTimeout     = 3 * time.Second
)

// Options are the parameters of a Server. Cluster, Process, PeersListen, Peers,
// Voters, Entries, DataFolder and LedgerGroups are required.
type Options struct {
	Cluster string
	// Process is the name of this process and of its replicas.
	Process     string
	Zone        string
	PeersListen string // IP:port
	// LocalIP is the source address of connections to peers.
	LocalIP string
	// Peers are the addresses (IP:port) of all other processes by name.
	Peers map[string]string
	// Voters are the founding voters of every group.
	Voters []string
	// Entries are the names of the entry processes.
	Entries         []string
	DataFolder      string
	LedgerGroups    int
	SnapshotEntries uint64
	DrainDeadline   time.Duration
	// ReturnDeadline is how long a host may be out before it counts as failed.
	ReturnDeadline time.Duration
	// Platform is nil where the platform's interface is not used; hosts then
	// return from maintenance when their backend server announces itself again.
	Platform platform.Platform
	Logger   zerolog.Logger
	Registry prometheus.Registerer
	Seed     uint64
}

// Server is one control process.
type Server struct {
	o      Options
	bootID string
	log    zerolog.Logger
	clock  replica.Clock
	pool   *wire.Pool
	wire   *wire.Server

	fleet   *replica.Replica
	ledgers []*replica.Replica
	groups  map[string]*replica.Replica
	metrics *metrics

	version atomic.Uint64 // configuration version applied here
	fatal   chan error

	mu   sync.Mutex
	term *term // soft state while this process leads the fleet group, else nil
	news chan struct{}
}

// fleetMachine tells the server of every new configuration version.
type fleetMachine struct {
	*fleet.Fleet
	applied func(version uint64)
}

// Apply executes a command.
func (m *fleetMachine) Apply(index uint64, command []byte) []byte {
	result := m.Fleet.Apply(index, command)
	m.applied(m.Version())
	return result
}

// Restore replaces the state by a snapshot.
func (m *fleetMachine) Restore(snapshot []byte) error {
	err := m.Fleet.Restore(snapshot)
	m.applied(m.Version())
	return err
}

// New opens the replicas and starts to listen for peers. The caller must call
// Run, and Close if Run is not called.
func New(o Options) (*Server, error) {
	s := &Server{
		o:      o,
		bootID: uuid.NewString(),
		log:    o.Logger,
		clock:  replica.SystemClock(),
		groups: make(map[string]*replica.Replica),
		fatal:  make(chan error, 1),
		news:   make(chan struct{}),
	}
	wo := wire.Options{
		Cluster: o.Cluster, Process: o.Process, BootID: s.bootID,
		Listen: o.PeersListen, Peers: o.Peers, LocalIP: o.LocalIP, Logger: o.Logger,
	}
	s.pool = wire.NewPool(wo)
	if err := s.openGroups(); err != nil {
		s.Close()
		return nil, err
	}
	s.metrics = newMetrics(s, o.Registry)
	listener, err := wire.Listen(wo, s)
	if err != nil {
		s.Close()
		return nil, err
	}
	s.wire = listener
	return s, nil
}

func (s *Server) openGroups() error {
	machine := &fleetMachine{Fleet: fleet.New(), applied: s.fleetApplied}
	r, err := s.openGroup(FleetGroup, machine)
	if err != nil {
		return err
	}
	s.fleet = r
	for i := range s.o.LedgerGroups {
		r, err := s.openGroup(LedgerGroup(i), ledger.New(0))
		if err != nil {
			return err
		}
		s.ledgers = append(s.ledgers, r)
	}
	return nil
}

func (s *Server) openGroup(name string, machine replica.StateMachine) (*replica.Replica, error) {
	r, err := replica.Open(replica.Options{
		ID:              s.o.Process,
		Group:           name,
		Voters:          s.o.Voters,
		Dir:             filepath.Join(s.o.DataFolder, name),
		StateMachine:    machine,
		Transport:       raftTransport{s.pool},
		Clock:           s.clock,
		Logger:          s.log,
		Seed:            s.o.Seed,
		SnapshotEntries: s.o.SnapshotEntries,
		OnFatal:         s.replicaFailed,
	})
	if err != nil {
		return nil, errors.WithMessagef(err, "open group %s", name)
	}
	s.groups[name] = r
	return r, nil
}

// raftTransport sends consensus messages through the pool.
type raftTransport struct{ pool *wire.Pool }

// Send implements replica.Transport.
func (t raftTransport) Send(to string, m *wirepb.RaftMessage) { t.pool.SendRaft(to, m) }

// replicaFailed ends the process: a replica that can't trust its disk or its
// state must not act, and the others have the quorum.
func (s *Server) replicaFailed(err error) {
	select {
	case s.fatal <- err:
	default:
	}
}

// Run serves until ctx is done, then hands leadership over and closes. It
// returns the error that stopped a replica, if one did.
func (s *Server) Run(ctx context.Context) error {
	loops, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.reconcileLoop(loops) })
	if s.o.Platform != nil {
		wg.Go(func() { s.platformLoop(loops) })
	}
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-s.fatal:
		s.log.Error().Err(failure).Msg("a replica stopped; this process ends")
	}
	cancel()
	wg.Wait()
	s.handOver()
	s.Close()
	return failure
}

// handOver transfers the leadership of every group that this process leads, so
// that a planned restart costs no election timeout.
func (s *Server) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, r := range s.groups {
		if !leads(r) {
			continue
		}
		wg.Go(func() {
			if err := r.TransferLeader(ctx, ""); err != nil {
				s.log.Warn().Err(err).Msg("leadership was not transferred; the others elect after a timeout")
			}
		})
	}
	wg.Wait()
}

// Close ends sessions and replicas. It may be called more than once.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	if s.wire != nil {
		_ = s.wire.Shutdown(ctx)
	}
	for _, r := range s.groups {
		_ = r.Close()
	}
	_ = s.pool.Close()
}

// HandleRaft implements wire.Handler.
func (s *Server) HandleRaft(peer string, m *wirepb.RaftMessage) {
	if m.GetFrom() != peer {
		return // a peer speaks only for its own replica
	}
	if r := s.groups[m.GetGroup()]; r != nil {
		r.Deliver(m)
	}
}

// fleetApplied wakes the waiting sync calls when the version has changed.
func (s *Server) fleetApplied(version uint64) {
	if s.version.Swap(version) != version {
		s.wake()
	}
}

// wake ends the wait of every sync call, which then checks whether it has news.
func (s *Server) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeLocked()
}

func (s *Server) wakeLocked() {
	close(s.news)
	s.news = make(chan struct{})
}

// viewFleet calls fn with the fleet while nothing is applied.
func (s *Server) viewFleet(fn func(f *fleet.Fleet)) {
	s.fleet.View(func(sm replica.StateMachine) {
		fn(sm.(*fleetMachine).Fleet)
	})
}
