package fleet

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/standin/randomtest"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// Guards against an entry of the log that makes a replica panic or breaks an invariant, and
// against two replicas that differ after it because one was restored from a snapshot.
func FuzzApply(f *testing.F) {
	configure := func(base uint64, changes ...*fleetpb.Change) *fleetpb.Command {
		return &fleetpb.Command{RequestId: "id", Actor: "a", Body: &fleetpb.Command_Configure{Configure: &fleetpb.Configure{BaseVersion: base, Changes: changes}}}
	}
	setUp := configure(0, pool(&fleetpb.Pool{Name: "p", Service: "s", PromisedHosts: 1, MaxOut: 1}), host("h0", "p", "r0", "z0"), host("h1", "p", "r1", "z1"),
		host("h2", "p", "r2", "z2"), job(&fleetpb.Job{Name: "j", Pool: "p"}), wave("w", "h0", "h1"))
	setUp.RequestId = "setup"
	setUp.NowUnixMs = startMs
	result := &fleetpb.Result{}
	if err := proto.Unmarshal(New().Apply(0, marshal(setUp)), result); err != nil || result.Kind != fleetpb.Result_KIND_APPLIED {
		f.Fatalf("the configuration that commands are applied to is refused: %v (%v)", result, err)
	}
	var seeds [][]byte
	for _, c := range []*fleetpb.Command{
		configure(1, deleteHost("h2"), pool(&fleetpb.Pool{Name: "q", Service: "t"})), configure(1, deletePool("p")), configure(1, &fleetpb.Change{}), configure(0),
		{Body: &fleetpb.Command_HostStep{HostStep: &fleetpb.HostStep{Host: "h0", Kind: fleetpb.HostStep_KIND_DRAIN, ExpectedState: fleetpb.HostState_HOST_STATE_ACTIVE, Wave: "w"}}},
		{Body: &fleetpb.Command_WaveStep{WaveStep: &fleetpb.WaveStep{Wave: "w", State: fleetpb.WaveState_WAVE_STATE_RUNNING}}},
		{Body: &fleetpb.Command_Register{Register: &fleetpb.Register{Server: server("b", "h0", "s", "boot")}}},
		{Body: &fleetpb.Command_Unregister{Unregister: &fleetpb.Unregister{Server: "b", Remove: true}}},
		{Body: &fleetpb.Command_TaskSteps{TaskSteps: &fleetpb.TaskSteps{Tasks: []*fleetpb.Task{{Name: "j/0", Job: "j", Host: "h1", State: fleetpb.TaskState(1), Attempt: 1}}}}},
		{Body: &fleetpb.Command_Register{}}, {Body: &fleetpb.Command_Register{Register: &fleetpb.Register{}}}, {Body: &fleetpb.Command_HostStep{}}, {Body: &fleetpb.Command_WaveStep{}},
		{Body: &fleetpb.Command_TaskSteps{TaskSteps: &fleetpb.TaskSteps{Tasks: []*fleetpb.Task{{}}}}}, {Body: &fleetpb.Command_Unregister{}}, {},
	} {
		c.NowUnixMs = startMs
		seeds = append(seeds, marshal(c))
	}
	randomtest.Fuzz(f, func(t *testing.T, data []byte) {
		first, second := New(), New()
		for _, command := range [][]byte{marshal(setUp), data, seeds[4], data} {
			before, _ := first.Snapshot()
			a, b := first.Apply(0, command), second.Apply(0, command)
			if !bytes.Equal(a, b) || a == nil {
				t.Fatalf("two replicas have the results %q and %q", a, b)
			}
			if first.brokenInvariant != nil {
				t.Fatal(first.brokenInvariant)
			}
			snapshot, err := first.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if proto.Unmarshal(command, &fleetpb.Command{}) != nil && !bytes.Equal(before, snapshot) {
				t.Fatal("a command that can't be decoded changes the state")
			}
			second = New()
			if err := second.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
			if again, _ := second.Snapshot(); !bytes.Equal(snapshot, again) {
				t.Fatal("the snapshot of a restored replica differs")
			}
		}
	}, seeds...)
}
