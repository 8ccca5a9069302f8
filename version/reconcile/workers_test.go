package reconcile

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/plan"
)

func applyCommand(t *testing.T, f *fleet.Fleet, c *fleetpb.Command) {
	t.Helper()
	c.Actor = "test"
	raw, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	r := new(fleetpb.Result)
	if err := proto.Unmarshal(f.Apply(0, raw), r); err != nil || r.GetKind() != fleetpb.Result_KIND_APPLIED {
		t.Fatal(r, err)
	}
}

// Guards against jobs placed on a worker that went down, or on a host that failed,
// because the scheduler's hosts were not loaded again.
func TestSchedulerHostsFollowFleetAndReports(t *testing.T) {
	is := is.New(t)
	const hosts = 4
	f := fleet.New()
	configure := &fleetpb.Configure{Changes: []*fleetpb.Change{{Object: &fleetpb.Change_Pool{Pool: &fleetpb.Pool{Name: "p", Service: "s"}}}}}
	for i := range hosts {
		h := &fleetpb.Host{Name: fmt.Sprintf("h%d", i), Pool: "p", HomePool: "p", Rack: "r", Zone: "z", Cores: 8, MemoryGb: 8}
		configure.Changes = append(configure.Changes, &fleetpb.Change{Object: &fleetpb.Change_Host{Host: h}})
	}
	applyCommand(t, f, &fleetpb.Command{RequestId: "1", Body: &fleetpb.Command_Configure{Configure: configure}})
	j := NewJobs(plan.DefaultJobSettings())
	report := func(down string) {
		up := make(map[string]bool)
		for i := range hosts {
			name := fmt.Sprintf("h%d", i)
			up[name] = name != down
		}
		j.ObserveWorkers(up, time.Second)
	}
	up := func() int {
		n := 0
		j.Decide(f, 0)
		for _, w := range j.hosts {
			if w.Up {
				n++
			}
		}
		return n
	}
	is.Equal(up(), 0) // no report yet
	report("")
	is.Equal(up(), hosts)
	report("h2")
	is.Equal(up(), hosts-1)
	report("")
	is.Equal(up(), hosts)
	applyCommand(t, f, &fleetpb.Command{Body: &fleetpb.Command_HostStep{HostStep: &fleetpb.HostStep{
		Host: "h1", Kind: fleetpb.HostStep_KIND_FAIL, ExpectedState: fleetpb.HostState_HOST_STATE_ACTIVE, ExpectedEpoch: 1,
	}}})
	is.Equal(up(), hosts-1)
}
