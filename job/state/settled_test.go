package state

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// Guards against a start that counts as settled because an earlier run of its task was, and
// against a worker without runs that counts as settled.
func TestStartsAreSettledByRun(t *testing.T) {
	is := is.New(t)
	s := New()
	ref := &jobpb.TaskRef{Job: "j"}
	apply := func(entries ...*jobpb.Entry) (applied bool) {
		for _, e := range entries {
			applied = s.apply(proto.Clone(e).(*jobpb.Entry))
		}
		return applied
	}
	settled := func(run uint32) *jobpb.Entry {
		return &jobpb.Entry{Change: &jobpb.Entry_Settled{Settled: &jobpb.Settled{Task: ref, Run: run}}}
	}
	start := func(run uint32) *jobpb.Entry {
		return &jobpb.Entry{Change: &jobpb.Entry_Start{Start: &jobpb.Start{Task: ref, Run: run, Worker: "w"}}}
	}
	apply(&jobpb.Entry{Change: &jobpb.Entry_Worker{Worker: &jobpb.Worker{Id: "w"}}},
		&jobpb.Entry{Change: &jobpb.Entry_Accept{Accept: &jobpb.Accept{Job: &jobpb.Job{Id: "j", Steps: []*jobpb.Step{{Count: 1}}}}}})
	is.True(!apply(settled(0))) // not placed
	is.True(!s.Settled("w"))
	is.True(apply(start(1)))
	is.True(!s.Settled("w"))
	is.True(apply(settled(1)))
	is.True(s.Settled("w"))
	data, err := s.Snapshot()
	is.NoErr(err)
	is.NoErr(s.Restore(data))
	is.True(s.Settled("w"))
	apply(&jobpb.Entry{Change: &jobpb.Entry_End{End: &jobpb.End{Task: ref, Run: 1, How: jobpb.How_STOPPED, Worker: "w"}}})
	is.True(!s.Settled("w"))
	is.True(apply(start(2)))
	is.True(!apply(settled(1))) // late
	is.True(!s.Settled("w"))
}
