package state

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// Apply applies one command of the log and returns the encoded result, which states for
// each of its changes whether it was applied.
func (s *Store) Apply(_ uint64, command []byte) []byte {
	c := &jobpb.Command{}
	if err := proto.Unmarshal(command, c); err != nil {
		return nil
	}
	result := &jobpb.Result{Applied: make([]bool, len(c.Entries))}
	for i, e := range c.Entries {
		result.Applied[i] = s.apply(e)
	}
	data, err := proto.Marshal(result)
	if err != nil {
		return nil
	}
	return data
}

func (s *Store) apply(e *jobpb.Entry) bool {
	switch c := e.Change.(type) {
	case *jobpb.Entry_Accept:
		return s.accept(c.Accept.Job)
	case *jobpb.Entry_Cancel:
		return s.cancel(c.Cancel)
	case *jobpb.Entry_Start:
		return s.start(c.Start)
	case *jobpb.Entry_End:
		return s.end(c.End)
	case *jobpb.Entry_Configure:
		return s.configure(c.Configure)
	case *jobpb.Entry_Worker:
		return s.registerWorker(c.Worker)
	case *jobpb.Entry_Gone:
		return s.removeWorker(c.Gone)
	case *jobpb.Entry_Wave:
		return s.addWave(c.Wave)
	case *jobpb.Entry_Upkeep:
		return s.recordUpkeep(c.Upkeep)
	case *jobpb.Entry_Move:
		return s.recordMove(c.Move)
	case *jobpb.Entry_Survived:
		return s.recordSurvival(c.Survived)
	case *jobpb.Entry_Settled:
		return s.recordSettled(c.Settled)
	case *jobpb.Entry_Forget:
		return s.removeJob(c.Forget)
	}
	return false
}

func (s *Store) configure(c *jobpb.Configuration) bool {
	if c.Version < s.configuration.Version || c.Version == s.configuration.Version && !s.rereads(c) {
		return false
	}
	s.configuration = c
	s.tenants.configure(c.Tenants)
	return true
}

// rereads reports whether a configuration is the one in force as a newer build reads its
// document: an older build may have stored it without members that it did not know.
func (s *Store) rereads(c *jobpb.Configuration) bool {
	stored := s.configuration
	sameDocument := bytes.Equal(c.Document, stored.Document) && bytes.Equal(c.DocumentGzip, stored.DocumentGzip)
	return sameDocument && len(c.Document)+len(c.DocumentGzip) > 0 && c.Reading > stored.Reading
}

func (s *Store) accept(j *jobpb.Job) bool {
	// The state of a job's tasks comes from the changes after its acceptance only.
	if j == nil || s.jobs[j.Id] != nil || j.State != jobpb.Job_QUEUED || len(j.Occurrences) > 0 {
		return false
	}
	// The configuration may have lost the tenant since the job's submission was checked.
	if j.Tenant != "" && s.tenants.byName[j.Tenant] == nil {
		return false
	}
	s.jobs[j.Id] = j
	s.openJobs[j.Id] = j
	s.tenants.jobOpened(j)
	s.pending[j.Queue]++
	return true
}

func (s *Store) cancel(c *jobpb.Cancel) bool {
	j := s.jobs[c.Job]
	if j == nil || ended(j.State) {
		return false
	}
	s.setState(j, jobpb.Job_CANCELLED, c.AtMs)
	return true
}

func (s *Store) setState(j *jobpb.Job, to jobpb.Job_State, atMs int64) {
	if j.State == jobpb.Job_QUEUED {
		s.pending[j.Queue]--
		if s.pending[j.Queue] == 0 {
			delete(s.pending, j.Queue)
		}
	}
	j.State = to
	if ended(to) {
		s.forgetSuspects(j.Id)
		j.EndedMs = atMs
		j.Spec = ""
		s.closeIfIdle(j)
	}
}

// closeIfIdle removes an ended job from the open jobs if it has no runs.
func (s *Store) closeIfIdle(j *jobpb.Job) {
	for _, o := range j.Occurrences {
		for _, st := range o.Steps {
			for _, t := range st.Tasks {
				if t.Worker != "" {
					return
				}
			}
		}
	}
	j.Occurrences = nil
	if s.openJobs[j.Id] != nil {
		delete(s.openJobs, j.Id)
		s.tenants.jobClosed(j)
	}
}

func (s *Store) findPlacement(ref *jobpb.TaskRef) *Placement {
	j := s.jobs[ref.GetJob()]
	if ref == nil || j == nil {
		return nil
	}
	return placementIn(j, OccurrenceOf(j, ref.Occurrence), ref)
}

// placementIn returns a task of an occurrence of a job, nil if there is none.
func placementIn(j *jobpb.Job, o *jobpb.Occurrence, ref *jobpb.TaskRef) *Placement {
	if o == nil || int(ref.Step) >= min(len(j.Steps), len(o.Steps)) || int(ref.Index) >= len(o.Steps[ref.Step].Tasks) {
		return nil
	}
	st := o.Steps[ref.Step]
	return &Placement{Job: j, Ref: ref, Step: j.Steps[ref.Step], Task: st.Tasks[ref.Index], State: st}
}

func (s *Store) start(c *jobpb.Start) bool {
	j := s.jobs[c.Task.GetJob()]
	w := s.workers[c.Worker]
	if c.Task == nil || j == nil || ended(j.State) || w == nil || w.BornMs != c.BornMs {
		return false
	}
	o := OccurrenceOf(j, c.Task.Occurrence)
	begins := o == nil
	if begins {
		o = NewOccurrence(j, c.Task.Occurrence)
	}
	p := placementIn(j, o, c.Task)
	if p == nil || !Waiting(p.Task) || c.Run <= p.Task.Run || !s.hasCapacity(w, p.Step) {
		return false
	}
	if begins {
		j.Occurrences = append(j.Occurrences, o)
	}
	p.Task.Run, p.Task.Worker, p.Task.BornMs = c.Run, c.Worker, c.BornMs
	p.Task.StartedMs, p.Task.Survived = c.AtMs, false
	if p.State.Run < c.Run {
		p.State.Run = c.Run
	}
	s.addPlacement(p)
	return true
}

// hasCapacity reports whether a worker has free capacity for one more task of a step. A
// filling task needs no free CPU.
func (s *Store) hasCapacity(w *jobpb.Worker, step *jobpb.Step) bool {
	l := s.loads[w.Id]
	if l == nil {
		l = &Load{}
	}
	cpu := l.CPUMillis + int64(step.CpuMillis)
	return (step.Fill || cpu <= int64(w.CpuMillis)) && l.MemoryMB+int64(step.MemoryMb) <= int64(w.MemoryMb) &&
		l.GPUs+int64(step.Gpus) <= int64(w.Gpus)
}

func (s *Store) addPlacement(p *Placement) {
	m := s.placements[p.Task.Worker]
	if m == nil {
		m = map[TaskKey]*Placement{}
		s.placements[p.Task.Worker] = m
	}
	m[Key(p.Ref)] = p
	l := s.loads[p.Task.Worker]
	if l == nil {
		l = &Load{}
		s.loads[p.Task.Worker] = l
	}
	l.Add(Key(p.Ref).StepKey(), p.Step, 1)
}

func (s *Store) removePlacement(p *Placement) {
	m := s.placements[p.Task.Worker]
	delete(m, Key(p.Ref))
	s.loads[p.Task.Worker].Add(Key(p.Ref).StepKey(), p.Step, -1)
	if len(m) == 0 {
		delete(s.placements, p.Task.Worker)
		delete(s.loads, p.Task.Worker)
	}
	p.Task.Worker, p.Task.BornMs = "", 0
}

func (s *Store) end(c *jobpb.End) bool {
	p := s.findPlacement(c.Task)
	if p == nil || p.Task.Run != c.Run || p.Task.Worker != c.Worker || c.Worker == "" {
		return false
	}
	s.removePlacement(p)
	if provesBegun(c) {
		s.markBegun(p.Job)
	}
	if c.Sound {
		s.clearCrashes(p)
	}
	if c.How == jobpb.How_CRASHED {
		s.countCrash(p, c)
	}
	s.recordOutcome(p, c.How, c.Checkpoint, c.AtMs)
	return true
}

// provesBegun reports whether a worker has said that the run had begun. A run that was lost
// with its worker may never have been started there.
func provesBegun(c *jobpb.End) bool {
	switch c.How {
	case jobpb.How_LOST, jobpb.How_NEVER_STARTED:
		return false
	case jobpb.How_CRASHED:
		return c.Certain
	default:
		return true
	}
}

// markBegun records that a worker has begun a task of the job. Until then callers see the
// job as queued: a start in the log is an order, which may never arrive.
func (s *Store) markBegun(j *jobpb.Job) {
	if j.State == jobpb.Job_QUEUED {
		s.setState(j, jobpb.Job_ACTIVE, 0)
	}
}

// recordOutcome records how a run has ended. It updates the task, the occurrence and
// the job.
func (s *Store) recordOutcome(p *Placement, how jobpb.How, checkpoint string, atMs int64) {
	if checkpoint != "" {
		p.Task.Checkpoint = checkpoint
	}
	switch {
	case how == jobpb.How_DONE && !p.Step.Lasting:
		p.Task.Done = true
		s.clearCrashes(p)
		if p.Step.Gang {
			// The tasks of a gang end together, so the end of one is the end of all.
			for _, t := range p.State.Tasks {
				t.Done = true
			}
		}
		s.completeOccurrence(p, atMs)
	case how == jobpb.How_FAILED && !p.Step.Lasting:
		s.countFailure(p, atMs)
	}
	if ended(p.Job.State) {
		s.closeIfIdle(p.Job)
	}
}

// countFailure counts a failed run and fails the job once it has no attempts left. A
// gang has one count for all its tasks: a run of it has failed once, however many of its
// tasks have.
func (s *Store) countFailure(p *Placement, atMs int64) {
	p.Task.Failures++
	failures := p.Task.Failures
	if p.Step.Gang {
		if p.State.FailedRun < p.Task.Run {
			p.State.FailedRun = p.Task.Run
			p.State.Failures++
		}
		failures = p.State.Failures
	}
	if p.Job.MaxAttempts > 0 && failures >= p.Job.MaxAttempts && !ended(p.Job.State) {
		s.setState(p.Job, jobpb.Job_FAILED, atMs)
	}
}

// completeOccurrence marks an occurrence as done if all its steps are, and the job as
// completed if all its occurrences are.
func (s *Store) completeOccurrence(p *Placement, atMs int64) {
	j := p.Job
	if ended(j.State) {
		return
	}
	o := OccurrenceOf(j, p.Ref.Occurrence)
	for _, st := range o.Steps {
		if !StepDone(st) {
			return
		}
	}
	o.Done, o.DoneMs = true, atMs
	if len(j.Occurrences) < int(max(1, j.Repetitions)) {
		return
	}
	for _, other := range j.Occurrences {
		if !other.Done {
			return
		}
	}
	s.setState(j, jobpb.Job_COMPLETED, atMs)
}

func (s *Store) registerWorker(w *jobpb.Worker) bool {
	registered := s.workers[w.Id]
	if registered != nil && (registered.BornMs > w.BornMs || registered.BornMs == w.BornMs && w.Unreported && w.Sequence < registered.Sequence) {
		return false
	}
	if registered != nil && registered.BornMs < w.BornMs {
		// The leader registers a new process under the same id once none of the placed
		// tasks is at work there.
		s.loseRuns(w.Id, 0)
	}
	s.workers[w.Id] = w
	return true
}

func (s *Store) removeWorker(c *jobpb.WorkerGone) bool {
	registered := s.workers[c.Id]
	if registered == nil || registered.BornMs != c.BornMs {
		return false
	}
	s.loseRuns(c.Id, c.AtMs)
	delete(s.workers, c.Id)
	return true
}

// loseRuns ends all runs on a worker as lost, which does not count as a failed attempt.
func (s *Store) loseRuns(worker string, atMs int64) {
	for _, p := range s.SortedPlacements(worker) {
		s.removePlacement(p)
		s.recordOutcome(p, jobpb.How_LOST, "", atMs)
	}
}

func (s *Store) addWave(w *jobpb.Wave) bool {
	if s.waves[w.Number] != nil {
		return false
	}
	s.waves[w.Number] = w
	return true
}

// recordUpkeep records that the upkeep of a machine of a wave is ordered or has begun.
func (s *Store) recordUpkeep(u *jobpb.Upkeep) bool {
	w := s.waves[u.Wave]
	if w == nil {
		return false
	}
	for _, m := range w.Machines {
		if m.Machine == u.Machine && !m.Begun {
			m.Ordered = true
			m.Begun = u.Begun
			return true
		}
	}
	return false
}

func (s *Store) recordMove(m *jobpb.Move) bool {
	if m.Done {
		_, ordered := s.moves[m.Machine]
		delete(s.moves, m.Machine)
		return ordered
	}
	s.moves[m.Machine] = m
	return true
}

// removeJob removes an ended job that has no runs.
func (s *Store) removeJob(id string) bool {
	j := s.jobs[id]
	if j == nil || !ended(j.State) || s.openJobs[id] != nil {
		return false
	}
	delete(s.jobs, id)
	return true
}
