package replica

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// slowMachine encodes its view only once release is closed.
type slowMachine struct {
	listMachine
	release <-chan struct{}
}

func (m *slowMachine) SnapshotView() (func() ([]byte, error), error) {
	data, err := m.Snapshot()
	return func() ([]byte, error) {
		<-m.release
		return data, err
	}, nil
}

// Guards against a large state whose encoding holds up proposals and heartbeats,
// and against a log that is removed before the snapshot is durable.
func TestSlowSnapshotDoesNotHoldUpTheLog(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.election = calmElection
	slow, release := context.WithCancel(context.Background())
	t.Cleanup(release)
	c.machine = func() StateMachine { return &slowMachine{release: slow.Done()} }
	for _, name := range []string{"a", "b", "c"} {
		c.open(name, []string{"a", "b", "c"})
	}
	l := c.leader()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for i := range 100 {
		_, err := l.Propose(ctx, []byte(fmt.Sprint(i)))
		is.NoErr(err) // the same leader all the time
	}
	is.Equal(l.Status().Snapshots, uint64(0))
	is.Equal(l.Status().FirstIndex, uint64(1))
	release()
	c.eventually("the snapshot is stored", func() bool { return l.Status().Snapshots > 0 })
	for name := range c.replicas {
		c.close(name)
	}
	c.machine = func() StateMachine { return &listMachine{} }
	is.True(c.open("a", nil).Status().Applied >= 20)
}
