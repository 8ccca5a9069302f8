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

// laterClock is a clock that a test moves forward.
type laterClock struct {
	replica.Clock
	later time.Duration
}

func (c *laterClock) Now() time.Duration { return c.Clock.Now() + c.later }

// single is the only voter of a cluster, whose loops do not run, with a registered
// backend server of 8 slots.
func single(t *testing.T) (*Server, *laterClock) {
	t.Helper()
	c := newCluster(t, "a")
	c.voters, c.entries = []string{"a"}, []string{"e", "f"}
	s := c.open("a", 1)
	t.Cleanup(s.Close)
	clock := &laterClock{Clock: s.clock}
	s.clock = clock
	changes := []*fleetpb.Change{
		{Object: &fleetpb.Change_Pool{Pool: &fleetpb.Pool{Name: "p", Service: "p"}}},
		{Object: &fleetpb.Change_Host{Host: &fleetpb.Host{Name: "h", HomePool: "p"}}},
	}
	c.eventually("configure", func(ctx context.Context) error {
		_, err := s.proposeFleet(ctx, &fleetpb.Command{RequestId: "r", Actor: "o", Body: &fleetpb.Command_Configure{Configure: &fleetpb.Configure{Changes: changes}}})
		return err
	})
	server := &fleetpb.BackendServer{Name: "s", Host: "h", Service: "p", Address: "127.0.0.1:1", Slots: 8, Connections: 64, BootId: "1"}
	_, err := s.proposeFleet(t.Context(), &fleetpb.Command{Body: &fleetpb.Command_Register{Register: &fleetpb.Register{Server: server}}})
	if err != nil {
		t.Fatal(err)
	}
	return s, clock
}

// Guards against an entry that misses a change after a lost answer, slots that two
// entries hold at once or that stay with an earlier leader's holders, and requests
// of a lost entry that count as running for ever.
func TestSyncAndLeases(t *testing.T) {
	is := is.New(t)
	s, clock := single(t)
	term, err := s.leading(t.Context())
	is.NoErr(err)
	s.refreshServers(term)
	req := &wirepb.SyncRequest{Entry: "e", BootId: "1", Demand: []*wirepb.ServiceDemand{{Service: "p", Queued: 50}}}
	first, err := s.sync(t.Context(), "e", req)
	is.NoErr(err)
	is.True(first.LiveFull && first.Delta.Full)
	is.Equal(len(first.Live), 1)
	is.Equal(len(first.Shares), 0) // an earlier leader may have granted all of them

	clock.later += lease.ConfigLease + time.Second
	is.NoErr(term.lease.Heartbeat("s", "1", s.clock.Now()))
	_, err = s.sync(t.Context(), "e", req)
	is.NoErr(err)
	s.expireEntries(t.Context(), term)
	granted, err := s.sync(t.Context(), "e", req)
	is.NoErr(err)
	is.Equal(len(granted.Shares), 1)
	is.Equal(granted.Shares[0].Slots, uint32(8))

	// The answer is lost; the same report gets it again, and the next one only what is new.
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
	is.Equal(len(other.Shares), 0) // e has not given any back
	_, err = s.sync(t.Context(), "f", req)
	is.True(err != nil) // a report in another entry's name

	key := uuid.Must(uuid.NewV7()).String()
	begin := func(entry string) ledgerpb.Result_Kind {
		r, err := proposeLedger(t.Context(), s.ledgers[0], &ledgerpb.Command{Body: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{Key: key, Entry: entry, BootId: "1", Attempt: 1}}})
		is.NoErr(err)
		return r.Kind
	}
	is.Equal(begin("e"), ledgerpb.Result_KIND_GO_AHEAD)
	clock.later += lease.ConfigLease / 2
	_, err = s.sync(t.Context(), "f", &wirepb.SyncRequest{Entry: "f", BootId: "1", Demand: req.Demand, AckedGrant: other.Grant})
	is.NoErr(err)
	clock.later += lease.ConfigLease/2 + time.Second // e's lease is over, f's is not
	s.expireEntries(t.Context(), term)
	is.Equal(begin("f"), ledgerpb.Result_KIND_UNKNOWN)
	other, err = s.sync(t.Context(), "f", &wirepb.SyncRequest{Entry: "f", BootId: "1", Demand: req.Demand})
	is.NoErr(err)
	is.Equal(len(other.Shares), 1)
}

// Guards against a lease that a leader renews after it has lost the leadership or
// the quorum in the middle of a sync.
func TestOldLeaderRenewsNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	for i, name := range []string{"a", "b", "c"} {
		c.start(name, uint64(i+1))
	}
	var leader *Server
	var old *term
	lead := func(ctx context.Context) (err error) {
		err = errors.New("no process runs")
		for _, s := range c.servers {
			if old, err = s.leading(ctx); err == nil {
				leader = s
				return nil
			}
		}
		return err
	}
	end := func() time.Duration {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		for _, x := range old.lease.Sessions() {
			if x.ID.BootID == "1" {
				return x.LeaseEnd
			}
		}
		return 0
	}
	// syncs reports whether a sync that waited for news while cut ran was still
	// waiting when cut had ended, and its error.
	syncs := func(cut func()) (waited bool, err error) {
		c.eventually("lead", lead)
		req := &wirepb.SyncRequest{Entry: "e", BootId: "1"}
		answer, err := leader.sync(t.Context(), "e", req)
		is.NoErr(err)
		req.AckedVersion, req.AckedLive, req.AckedGrant, req.WaitMs = answer.Version, answer.LiveNumber, answer.Grant, 500
		done := make(chan error, 1)
		go func() {
			_, err := leader.sync(context.Background(), "e", req)
			done <- err
		}()
		cut()
		waited = len(done) == 0
		err = <-done
		before := end()
		_, after := leader.sync(t.Context(), "e", req)
		is.True(after != nil)
		is.Equal(end(), before)
		return waited, err
	}
	for range 20 {
		waited, err := syncs(func() { is.NoErr(leader.fleet.TransferLeader(t.Context(), "")) })
		if waited {
			is.True(err != nil) // answered by a leader that no longer leads
			break
		}
	}
	_, _ = syncs(func() {
		for name, s := range c.servers {
			if s != leader {
				_ = c.kill(name)
			}
		}
	})
}
