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

// Intervals of the leader's loops and timeouts.
const (
	reconcileInterval = 500 * time.Millisecond
	platformInterval  = 2 * time.Second
	// maintenanceInterval is the shorter poll interval while a host is out, because
	// the delay adds to the duration of a wave once for each batch.
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
	// Voters are the initial voters of every group.
	Voters []string
	// Entries are the names of the entry processes.
	Entries         []string
	DataFolder      string
	LedgerGroups    int
	SnapshotEntries uint64
	// DiskBytes is the space that all groups may take in DataFolder, divided evenly among
	// them; 0 means no limit.
	DiskBytes     int64
	DrainDeadline time.Duration
	// ReturnDeadline is how long a host may be out before it is marked as failed.
	ReturnDeadline time.Duration
	// Platform is nil if no platform is configured. A host then returns from
	// maintenance when a backend server on it has registered again.
	Platform platform.Platform
	Logger   zerolog.Logger
	Registry prometheus.Registerer
	Seed     uint64
}

// Server is one control process.
type Server struct {
	options Options
	bootID  string
	log     zerolog.Logger
	clock   replica.Clock
	pool    *wire.Pool
	wire    *wire.Server

	fleet   *replica.Replica
	ledgers []*replica.Replica
	groups  map[string]*replica.Replica
	metrics *metrics

	version atomic.Uint64 // configuration version applied here
	fatal   chan error

	mu      sync.Mutex
	term    *term // in-memory state of the latest term that this process led; nil before the first
	changed chan struct{}
}

// fleetMachine is the fleet's state machine, which reports every applied version to
// onApply.
type fleetMachine struct {
	*fleet.Fleet
	onApply func(version uint64)
}

// Apply implements replica.StateMachine.
func (m *fleetMachine) Apply(index uint64, command []byte) []byte {
	result := m.Fleet.Apply(index, command)
	m.onApply(m.Version())
	return result
}

// Restore implements replica.StateMachine.
func (m *fleetMachine) Restore(snapshot []byte) error {
	err := m.Fleet.Restore(snapshot)
	m.onApply(m.Version())
	return err
}

// New opens the replicas and starts to listen for peers. The caller must call Run, or
// Close if it does not call Run.
func New(o Options) (*Server, error) {
	s := &Server{
		options: o,
		bootID:  uuid.NewString(),
		log:     o.Logger,
		clock:   replica.SystemClock(),
		groups:  make(map[string]*replica.Replica),
		fatal:   make(chan error, 1),
		changed: make(chan struct{}),
	}
	wireOptions := wire.Options{
		Cluster: o.Cluster, Process: o.Process, BootID: s.bootID,
		Listen: o.PeersListen, Peers: o.Peers, LocalIP: o.LocalIP, Logger: o.Logger,
	}
	s.pool = wire.NewPool(wireOptions)
	if err := s.openGroups(); err != nil {
		s.Close()
		return nil, err
	}
	s.metrics = newMetrics(s, o.Registry)
	listener, err := wire.Listen(wireOptions, s)
	if err != nil {
		s.Close()
		return nil, err
	}
	s.wire = listener
	return s, nil
}

func (s *Server) openGroups() error {
	machine := &fleetMachine{Fleet: fleet.New(), onApply: s.fleetApplied}
	r, err := s.openGroup(FleetGroup, machine)
	if err != nil {
		return err
	}
	s.fleet = r
	for i := range s.options.LedgerGroups {
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
		ID:              s.options.Process,
		Group:           name,
		Voters:          s.options.Voters,
		Dir:             filepath.Join(s.options.DataFolder, name),
		StateMachine:    machine,
		Transport:       raftTransport{s.pool},
		Clock:           s.clock,
		Logger:          s.log,
		Seed:            s.options.Seed,
		SnapshotEntries: s.options.SnapshotEntries,
		DiskBytes:       s.options.DiskBytes / int64(1+s.options.LedgerGroups),
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

// replicaFailed makes Run return the error. A replica with a faulty disk or an invalid
// state must not continue, and the other processes keep the quorum.
func (s *Server) replicaFailed(err error) {
	select {
	case s.fatal <- err:
	default:
	}
}

// Run serves until ctx is done or a replica fails, then transfers leadership and closes
// the server. It returns the error of the replica that failed, if any.
func (s *Server) Run(ctx context.Context) error {
	loops, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.reconcileLoop(loops) })
	if s.options.Platform != nil {
		wg.Go(func() { s.platformLoop(loops) })
	}
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-s.fatal:
		s.log.Error().Err(failure).Msg("a replica failed; this process stops")
	}
	cancel()
	wg.Wait()
	s.transferLeadership()
	s.Close()
	return failure
}

// transferLeadership transfers the leadership of every group that this process leads,
// so that a planned restart does not cost an election timeout.
func (s *Server) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, r := range s.groups {
		if !isLeader(r) {
			continue
		}
		wg.Go(func() {
			if err := r.TransferLeader(ctx, ""); err != nil {
				s.log.Warn().Err(err).Msg("the transfer of leadership failed; the other voters elect a leader after the election timeout")
			}
		})
	}
	wg.Wait()
}

// Close closes the sessions with peers and the replicas. It may be called more than once.
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
		return // a peer may send messages of its own replica only
	}
	if r := s.groups[m.GetGroup()]; r != nil {
		r.Deliver(m)
	}
}

// fleetApplied records the applied version. If it has changed, the waiting sync calls
// are notified.
func (s *Server) fleetApplied(version uint64) {
	if s.version.Swap(version) != version {
		s.notifySyncs()
	}
}

// notifySyncs makes every waiting sync call check again whether it has updates to send.
func (s *Server) notifySyncs() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifySyncsLocked()
}

func (s *Server) notifySyncsLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// viewFleet calls fn with the fleet. No command is applied until fn returns.
func (s *Server) viewFleet(fn func(f *fleet.Fleet)) {
	s.fleet.View(func(sm replica.StateMachine) {
		fn(sm.(*fleetMachine).Fleet)
	})
}
