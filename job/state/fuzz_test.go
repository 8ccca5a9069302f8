package state

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

// maxFuzzTasks keeps an input from allocating the state of more tasks than a test can hold.
const maxFuzzTasks = 10_000

// fuzzSeeds returns commands that use every kind of change.
func fuzzSeeds(f *testing.F) [][]byte {
	lasting := &jobpb.Step{Count: 2, Lasting: true}
	var seeds [][]byte
	for _, entries := range [][]*jobpb.Entry{
		{register("w1", 1), accept("a", 2, &jobpb.Step{Count: 2, Gang: true}, &jobpb.Step{Count: 1, After: []uint32{0}}), start(ref("a", 0, 0), 1, "w1", 1),
			start(ref("a", 0, 1), 1, "w1", 1), end(ref("a", 0, 0), 1, "w1", jobpb.How_DONE)},
		{register("w1", 1), accept("a", 1, lasting), start(ref("a", 0, 1), 1, "w1", 1), cancel("a"), end(ref("a", 0, 1), 1, "w1", jobpb.How_STOPPED),
			{Change: &jobpb.Entry_Forget{Forget: "a"}}},
		{register("w1", 1), accept("a", 1, lasting), start(ref("a", 0, 1), 1, "w1", 1), crash(ref("a", 0, 1), 1, "w1", sole), start(ref("a", 0, 1), 2, "w1", 1),
			{Change: &jobpb.Entry_Survived{Survived: &jobpb.Survived{Task: ref("a", 0, 1), Run: 2, Worker: "w1"}}},
			{Change: &jobpb.Entry_Gone{Gone: &jobpb.WorkerGone{Id: "w1", BornMs: 1}}}},
		{{Change: &jobpb.Entry_Configure{Configure: &jobpb.Configuration{Version: 3, Queues: []*jobpb.Queue{{Name: "q"}}}}},
			{Change: &jobpb.Entry_Wave{Wave: &jobpb.Wave{Number: 1, Maximum: 1, Machines: []*jobpb.WaveMachine{{Machine: "m"}}}}},
			{Change: &jobpb.Entry_Upkeep{Upkeep: &jobpb.Upkeep{Wave: 1, Machine: "m", Begun: true}}},
			{Change: &jobpb.Entry_Move{Move: &jobpb.Move{Machine: "m", Pool: "p"}}}, {Change: &jobpb.Entry_Move{Move: &jobpb.Move{Machine: "m", Done: true}}}},
		// Messages without the fields that every leader sets.
		{{}, {Change: &jobpb.Entry_Accept{Accept: &jobpb.Accept{}}}, {Change: &jobpb.Entry_Cancel{Cancel: &jobpb.Cancel{}}}, {Change: &jobpb.Entry_Move{Move: &jobpb.Move{}}},
			{Change: &jobpb.Entry_Wave{Wave: &jobpb.Wave{}}}, {Change: &jobpb.Entry_Gone{Gone: &jobpb.WorkerGone{}}}},
		{accept("", 1, lasting), register("w1", 1), {Change: &jobpb.Entry_Start{Start: &jobpb.Start{Worker: "w1", BornMs: 1}}}},
		{accept("", 1, lasting), {Change: &jobpb.Entry_End{End: &jobpb.End{}}}},
		{{Change: &jobpb.Entry_Survived{Survived: &jobpb.Survived{}}}},
		// A job that is handed in with the state of tasks.
		{{Change: &jobpb.Entry_Accept{Accept: &jobpb.Accept{Job: &jobpb.Job{Id: "a", Queue: "q", State: jobpb.Job_COMPLETED, Steps: []*jobpb.Step{{Count: 1}},
			Occurrences: []*jobpb.Occurrence{{Steps: []*jobpb.StepState{{}, {Tasks: []*jobpb.Task{{Worker: "w1", BornMs: 1}}}}}}}}}},
			register("w1", 1), end(ref("a", 0, 0), 0, "w1", jobpb.How_DONE)},
	} {
		data, err := proto.Marshal(&jobpb.Command{Entries: entries})
		if err != nil {
			f.Fatal(err)
		}
		seeds = append(seeds, data)
	}
	return seeds
}

// tooManyTasks reports whether a command has more tasks than a test can hold.
func tooManyTasks(entries []*jobpb.Entry) bool {
	tasks := uint64(0)
	for _, e := range entries {
		for _, step := range e.GetAccept().GetJob().GetSteps() {
			tasks += uint64(step.GetCount())
		}
	}
	return tasks > maxFuzzTasks
}

func snapshotOf(t *testing.T, s *Store) []byte {
	t.Helper()
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against an entry of the log that makes a replica panic, after which every replica
// that reads it ends; against one whose changes have other results one by one than together,
// or after a restart from a snapshot; and against a refused change that changes the state.
func FuzzApply(f *testing.F) {
	randomtest.Fuzz(f, func(t *testing.T, data []byte) {
		command := &jobpb.Command{}
		if proto.Unmarshal(data, command) != nil {
			if s := New(); s.Apply(0, data) != nil || !bytes.Equal(snapshotOf(t, s), snapshotOf(t, New())) {
				t.Fatal("an entry that cannot be decoded has a result or an effect")
			}
			return
		}
		if tooManyTasks(command.Entries) {
			return
		}
		together, single, restored := New(), New(), New()
		result := &jobpb.Result{}
		if err := proto.Unmarshal(together.Apply(0, data), result); err != nil {
			t.Fatal(err)
		}
		for i, e := range command.Entries {
			before := snapshotOf(t, single)
			encoded, err := proto.Marshal(&jobpb.Command{Entries: []*jobpb.Entry{e}})
			if err != nil {
				t.Fatal(err)
			}
			for name, s := range map[string]*Store{"alone": single, "after a snapshot": restored} {
				one := &jobpb.Result{}
				if err := proto.Unmarshal(s.Apply(0, encoded), one); err != nil || one.Applied[0] != result.Applied[i] {
					t.Fatalf("change %d: applied is %v together and %v %s (%v)", i, result.Applied, one.Applied, name, err)
				}
			}
			after := snapshotOf(t, single)
			if !result.Applied[i] && !bytes.Equal(before, after) {
				t.Fatalf("change %d was refused and changes the state", i)
			}
			restored = New()
			if err := restored.Restore(after); err != nil {
				t.Fatalf("change %d: the snapshot after it cannot be restored: %v", i, err)
			}
		}
		if want := snapshotOf(t, together); !bytes.Equal(want, snapshotOf(t, single)) || !bytes.Equal(want, snapshotOf(t, restored)) {
			t.Fatal("the states differ")
		}
	}, fuzzSeeds(f)...)
}

// Guards against a snapshot of a peer that makes a replica panic, against one that is
// restored to a state whose own snapshot differs, and against a refused one that leaves
// another state than before.
func FuzzRestore(f *testing.F) {
	var seeds [][]byte
	for _, command := range fuzzSeeds(f)[:4] {
		s := New()
		s.Apply(0, command)
		data, err := s.Snapshot()
		if err != nil {
			f.Fatal(err)
		}
		seeds = append(seeds, data)
	}
	// The state of a job has more steps and occurrences than the job.
	odd := &jobpb.Snapshot{Jobs: []*jobpb.Job{{Id: "a", Steps: []*jobpb.Step{{Count: 1}}, Occurrences: []*jobpb.Occurrence{
		{Steps: []*jobpb.StepState{{}, {Tasks: []*jobpb.Task{{Worker: "w1"}}}}}}}}}
	data, err := proto.Marshal(odd)
	if err != nil {
		f.Fatal(err)
	}
	next := fuzzSeeds(f)[0]
	randomtest.Fuzz(f, func(t *testing.T, data []byte) {
		s := New()
		s.Apply(0, next)
		before := snapshotOf(t, s)
		if s.Restore(data) != nil {
			if !bytes.Equal(before, snapshotOf(t, s)) {
				t.Fatal("a refused snapshot changes the state")
			}
			return
		}
		other := New()
		if err := other.Restore(snapshotOf(t, s)); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(s.Apply(0, next), other.Apply(0, next)) || !bytes.Equal(snapshotOf(t, s), snapshotOf(t, other)) {
			t.Fatal("a replica that restores the snapshot of another continues differently")
		}
	}, append(seeds, data, nil)...)
}
