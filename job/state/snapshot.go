package state

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// Snapshot returns the encoded state. The encoding is deterministic.
func (s *Store) Snapshot() ([]byte, error) {
	snap := &jobpb.Snapshot{Configuration: s.configuration}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		snap.Jobs = append(snap.Jobs, s.jobs[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		snap.Workers = append(snap.Workers, s.workers[id])
	}
	for _, n := range slices.Sorted(maps.Keys(s.waves)) {
		snap.Waves = append(snap.Waves, s.waves[n])
	}
	for _, m := range slices.Sorted(maps.Keys(s.moves)) {
		snap.Moves = append(snap.Moves, s.moves[m])
	}
	snap.FormerTenants = s.tenants.formerTenants()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snap)
	return data, errors.Wrap(err, "encode the snapshot of jobs")
}

// Restore replaces the state with that of a snapshot. After an error it is unchanged.
func (s *Store) Restore(data []byte) error {
	snap := &jobpb.Snapshot{}
	if err := proto.Unmarshal(data, snap); err != nil {
		return errors.Wrap(err, "cannot decode the snapshot of jobs; replace this replica by a learner with an empty data folder")
	}
	restored := New()
	for _, j := range snap.Jobs {
		if err := restored.restoreJob(j); err != nil {
			return err
		}
	}
	if snap.Configuration != nil {
		restored.configuration = snap.Configuration
	}
	restored.tenants.restore(restored.configuration.Tenants, snap.FormerTenants, restored.openJobs)
	for _, w := range snap.Workers {
		restored.workers[w.Id] = w
	}
	for _, w := range snap.Waves {
		restored.waves[w.Number] = w
	}
	for _, m := range snap.Moves {
		restored.moves[m.Machine] = m
	}
	*s = *restored
	return nil
}

func (s *Store) restoreJob(j *jobpb.Job) error {
	if s.jobs[j.Id] != nil {
		return errors.Errorf("the snapshot of jobs has two jobs %q; replace this replica by a learner with an empty data folder", j.Id)
	}
	s.jobs[j.Id] = j
	if !ended(j.State) {
		s.openJobs[j.Id] = j
	}
	if j.State == jobpb.Job_QUEUED {
		s.pending[j.Queue]++
	}
	for _, o := range j.Occurrences {
		if len(o.Steps) > len(j.Steps) {
			return errors.Errorf("the snapshot of jobs has the state of %d steps for job %q with %d; replace this replica by a learner with an empty data folder", len(o.Steps), j.Id, len(j.Steps))
		}
		for k, st := range o.Steps {
			for i, t := range st.Tasks {
				ref := &jobpb.TaskRef{Job: j.Id, Occurrence: o.Number, Step: uint32(k), Index: uint32(i)}
				s.restoreSuspect(j, Key(ref), t)
				if t.Worker == "" {
					continue
				}
				s.openJobs[j.Id] = j
				s.addPlacement(&Placement{Job: j, Ref: ref, Step: j.Steps[k], Task: t, State: st})
			}
		}
	}
	return nil
}
