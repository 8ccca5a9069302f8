package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/connection/lease"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/replica"
	"marjoramtiller.example/marjoramtiller/request/ledgerpb"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// offsetClock is a clock that a test advances through its offset.
type offsetClock struct {
	replica.Clock
	offset time.Duration
}

func (c *offsetClock) Now() time.Duration { return c.Clock.Now() + c.offset }

// single returns the only voter of a cluster with one registered backend server of 8
// slots. The loops of the server do not run.
func single(t *testing.T) (*Server, *offsetClock) {
	t.Helper()
	c := newCluster(t, "a")
	c.voters, c.entries = []string{"a"}, []string{"e", "f"}
	s := c.open("a", 1)
	t.Cleanup(s.Close)
	clock := &offsetClock{Clock: s.clock}
	s.clock = clock
	changes := []*fleetpb.Change{
		{Object: &fleetpb.Change_Pool{Pool: &fleetpb.Pool{Name: "p", Service: "p"}}},
		{Object: &fleetpb.Change_Host{Host: &fleetpb.Host{Name: "h", HomePool: "p"}}},
	}
	c.eventually("configure", func(ctx context.Context) error {
		_, err := s.proposeFleet(ctx, &fleetpb.Command{RequestId: "r", Actor: "o", Body: &fleetpb.Command_Configure{Configure: &fleetpb.Configure{Changes: changes}}})
		return err
	})
	c.eventually("lead the ledger groups", func(ctx context.Context) error {
		for _, group := range s.ledgers {
			if err := group.ReadBarrier(ctx); err != nil {
				return err
			}
		}
		return nil
	})
	server := &fleetpb.BackendServer{Name: "s", Host: "h", Service: "p", Address: "127.0.0.1:1", Slots: 8, Connections: 64, BootId: "1"}
	_, err := s.proposeFleet(t.Context(), &fleetpb.Command{Body: &fleetpb.Command_Register{Register: &fleetpb.Register{Server: server}}})
	if err != nil {
		t.Fatal(err)
	}
	return s, clock
}

// Guards against four faults: an entry misses a change because a response was lost; two
// entries hold the same slots; slots that an earlier leader granted are never released;
// requests of a lost entry count as running for ever.
func TestSyncAndLeases(t *testing.T) {
	is := is.New(t)
	s, clock := single(t)
	term, err := s.leaderTerm(t.Context())
	is.NoErr(err)
	s.refreshServers(term)
	req := &wirepb.SyncRequest{Entry: "e", BootId: "1", Demand: []*wirepb.ServiceDemand{{Service: "p", Queued: 50}}}
	first, err := s.sync(t.Context(), "e", req)
	is.NoErr(err)
	is.True(first.LiveFull && first.Delta.Full)
	is.Equal(len(first.Live), 1)
	is.Equal(len(first.Shares), 0) // an earlier leader may have granted all of them

	clock.offset += lease.ConfigLease + time.Second
	is.NoErr(term.lease.Heartbeat("s", "1", s.clock.Now()))
	_, err = s.sync(t.Context(), "e", req)
	is.NoErr(err)
	s.expireEntries(t.Context(), term)
	granted, err := s.sync(t.Context(), "e", req)
	is.NoErr(err)
	is.Equal(len(granted.Shares), 1)
	is.Equal(granted.Shares[0].Slots, uint32(8))

	// The response is lost: the same report receives it again, and the next report
	// receives only the changes since.
	again, err := s.sync(t.Context(), "e", req)
	is.NoErr(err)
	is.True(again.LiveFull && again.Delta.Full && len(again.Shares) == 1)
	req.AckedVersion, req.AckedLive, req.AckedGrant = again.Version, again.LiveNumber, again.Grant
	req.Servers = []*wirepb.ServerUse{{Server: "s", SlotsHeld: 8}}
	none, err := s.sync(t.Context(), "e", req)
	is.NoErr(err)
	is.Equal(len(none.Live)+len(none.Gone)+len(none.Shares)+len(none.Delta.Hosts), 0)
	other, err := s.sync(t.Context(), "f", &wirepb.SyncRequest{Entry: "f", BootId: "1", Demand: req.Demand})
	is.NoErr(err)
	is.Equal(len(other.Shares), 0) // e has not released any
	_, err = s.sync(t.Context(), "f", req)
	is.True(err != nil) // the report names another entry than the sender

	key := uuid.Must(uuid.NewV7()).String()
	begin := func(entry string) ledgerpb.Result_Kind {
		r, err := proposeLedger(t.Context(), s.ledgers[0], &ledgerpb.Command{Body: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{Key: key, Entry: entry, BootId: "1", Attempt: 1}}})
		is.NoErr(err)
		return r.Kind
	}
	is.Equal(begin("e"), ledgerpb.Result_KIND_GO_AHEAD)
	clock.offset += lease.ConfigLease / 2
	_, err = s.sync(t.Context(), "f", &wirepb.SyncRequest{Entry: "f", BootId: "1", Demand: req.Demand, AckedGrant: other.Grant})
	is.NoErr(err)
	clock.offset += lease.ConfigLease/2 + time.Second // e's lease has expired, f's has not
	s.expireEntries(t.Context(), term)
	is.Equal(begin("f"), ledgerpb.Result_KIND_UNKNOWN)
	other, err = s.sync(t.Context(), "f", &wirepb.SyncRequest{Entry: "f", BootId: "1", Demand: req.Demand})
	is.NoErr(err)
	is.Equal(len(other.Shares), 1)
}

// Guards against a leader that renews an entry's lease although it has lost the
// leadership or the quorum during the sync.
func TestDeposedLeaderRenewsNoLease(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	for i, name := range []string{"a", "b", "c"} {
		c.start(name, uint64(i+1))
	}
	var leader *Server
	var oldTerm *term
	findLeader := func(ctx context.Context) (err error) {
		err = errors.New("no process runs")
		for _, s := range c.servers {
			if oldTerm, err = s.leaderTerm(ctx); err == nil {
				leader = s
				return nil
			}
		}
		return err
	}
	leaseEnd := func() time.Duration {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		for _, x := range oldTerm.lease.Sessions() {
			if x.ID.BootID == "1" {
				return x.LeaseEnd
			}
		}
		return 0
	}
	// syncDuring runs disrupt while a sync waits for updates. It returns whether the sync
	// was still waiting when disrupt returned, and the error of the sync.
	syncDuring := func(disrupt func()) (waited bool, err error) {
		c.eventually("find the leader", findLeader)
		req := &wirepb.SyncRequest{Entry: "e", BootId: "1"}
		response, err := leader.sync(t.Context(), "e", req)
		is.NoErr(err)
		req.AckedVersion, req.AckedLive, req.AckedGrant, req.WaitMs = response.Version, response.LiveNumber, response.Grant, 500
		done := make(chan error, 1)
		go func() {
			_, err := leader.sync(context.Background(), "e", req)
			done <- err
		}()
		disrupt()
		waited = len(done) == 0
		err = <-done
		before := leaseEnd()
		_, laterErr := leader.sync(t.Context(), "e", req)
		is.True(laterErr != nil)
		is.Equal(leaseEnd(), before)
		return waited, err
	}
	for range 20 {
		waited, err := syncDuring(func() { is.NoErr(leader.fleet.TransferLeader(t.Context(), "")) })
		if waited {
			is.True(err != nil) // the response came from a process that no longer leads
			break
		}
	}
	_, _ = syncDuring(func() {
		for name, s := range c.servers {
			if s != leader {
				_ = c.kill(name)
			}
		}
	})
}
