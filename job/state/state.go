// Package state is the replicated state of jobs: the configuration of queues and
// pools, jobs with their tasks, the known workers, and waves. It is a pure state
// machine, driven by the log of the group "jobs".
//
// What a successor of the leader must know is here before the order that follows
// from it is sent: a task's start and its worker, an end before the worker may
// forget it, a cancellation before it is confirmed, an upkeep before it is ordered.
package state

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// Placement is a run that may be at work on a worker.
type Placement struct {
	Job   *jobpb.Job
	Ref   *jobpb.TaskRef
	Step  *jobpb.Step
	Task  *jobpb.Task
	State *jobpb.StepState
}

// Load is what the runs placed on a worker take.
type Load struct {
	CPUMillis, MemoryMB, GPUs int64
	Serving, Fill             int             // tasks with a latency target, and filling ones
	Steps                     map[StepKey]int // tasks of each step
}

// StepKey identifies one occurrence of a step.
type StepKey struct {
	Job              string
	Occurrence, Step uint32
}

// StepOf returns the key of a task's step.
func (k TaskKey) StepOf() StepKey {
	return StepKey{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step}
}

// Add adds n tasks of a step.
func (l *Load) Add(key StepKey, step *jobpb.Step, n int) {
	if step.Fill {
		l.Fill += n
	} else {
		l.CPUMillis += int64(n) * int64(step.CpuMillis)
	}
	if step.TargetMs > 0 {
		l.Serving += n
	}
	l.MemoryMB += int64(n) * int64(step.MemoryMb)
	l.GPUs += int64(n) * int64(step.Gpus)
	if l.Steps == nil {
		l.Steps = map[StepKey]int{}
	}
	l.Steps[key] += n
	if l.Steps[key] == 0 {
		delete(l.Steps, key)
	}
}

// Store is the state machine. It is not safe for concurrent use. What it hands
// out must not be modified.
type Store struct {
	configuration *jobpb.Configuration
	jobs          map[string]*jobpb.Job
	open          map[string]*jobpb.Job // jobs that have not ended, or have runs left
	workers       map[string]*jobpb.Worker
	waves         map[uint64]*jobpb.Wave
	moves         map[string]*jobpb.Move            // by machine, unfinished
	placed        map[string]map[TaskKey]*Placement // by worker id
	loads         map[string]*Load                  // by worker id
	pending       map[string]int                    // by queue: accepted jobs without a start
}

// TaskKey identifies a task.
type TaskKey struct {
	Job                     string
	Occurrence, Step, Index uint32
}

// Key returns the key of a task.
func Key(r *jobpb.TaskRef) TaskKey {
	return TaskKey{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index}
}

// New returns an empty state.
func New() *Store {
	return &Store{
		configuration: &jobpb.Configuration{},
		jobs:          map[string]*jobpb.Job{},
		open:          map[string]*jobpb.Job{},
		workers:       map[string]*jobpb.Worker{},
		waves:         map[uint64]*jobpb.Wave{},
		moves:         map[string]*jobpb.Move{},
		placed:        map[string]map[TaskKey]*Placement{},
		loads:         map[string]*Load{},
		pending:       map[string]int{},
	}
}

// Configuration returns the configuration in force; its version is 0 before the first one.
func (s *Store) Configuration() *jobpb.Configuration { return s.configuration }

// Job returns a job by its id, nil if there is none.
func (s *Store) Job(id string) *jobpb.Job { return s.jobs[id] }

// Open returns the jobs that have not ended or have runs left, by id.
func (s *Store) Open() map[string]*jobpb.Job { return s.open }

// Jobs returns all jobs that are remembered, by id.
func (s *Store) Jobs() map[string]*jobpb.Job { return s.jobs }

// Workers returns the known workers by id.
func (s *Store) Workers() map[string]*jobpb.Worker { return s.workers }

// Waves returns all waves by number.
func (s *Store) Waves() map[uint64]*jobpb.Wave { return s.waves }

// Moves returns the ordered moves that are not known to be finished, by machine.
func (s *Store) Moves() map[string]*jobpb.Move { return s.moves }

// Placed returns the runs that may be at work on a worker.
func (s *Store) Placed(worker string) map[TaskKey]*Placement { return s.placed[worker] }

// Load returns what the runs placed on a worker take, nil if there are none.
func (s *Store) Load(worker string) *Load { return s.loads[worker] }

// Pending returns the number of a queue's accepted jobs that have not begun.
func (s *Store) Pending(queue string) int { return s.pending[queue] }

// QueueKey identifies a queue across changes of its other properties.
func QueueKey(host, prefix string) string { return host + prefix }

// Apply carries out one command of the log.
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
		return s.upkeep(c.Upkeep)
	case *jobpb.Entry_Move:
		return s.move(c.Move)
	case *jobpb.Entry_Forget:
		return s.forget(c.Forget)
	}
	return false
}

func (s *Store) configure(c *jobpb.Configuration) bool {
	if c.Version <= s.configuration.Version {
		return false
	}
	s.configuration = c
	return true
}

func (s *Store) accept(j *jobpb.Job) bool {
	if s.jobs[j.Id] != nil {
		return false
	}
	s.jobs[j.Id] = j
	s.open[j.Id] = j
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

func ended(state jobpb.Job_State) bool {
	return state == jobpb.Job_COMPLETED || state == jobpb.Job_FAILED || state == jobpb.Job_CANCELLED
}

// Ended reports whether a job starts no more tasks.
func Ended(j *jobpb.Job) bool { return ended(j.State) }

func (s *Store) setState(j *jobpb.Job, to jobpb.Job_State, atMs int64) {
	if j.State == jobpb.Job_QUEUED {
		s.pending[j.Queue]--
		if s.pending[j.Queue] == 0 {
			delete(s.pending, j.Queue)
		}
	}
	j.State = to
	if ended(to) {
		j.EndedMs = atMs
		j.Spec = ""
		s.closeIfIdle(j)
	}
}

// closeIfIdle drops an ended job without runs from the open ones.
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
	delete(s.open, j.Id)
}

// OccurrenceOf returns the state of an occurrence, nil if none of its tasks has started.
func OccurrenceOf(j *jobpb.Job, number uint32) *jobpb.Occurrence {
	for _, o := range j.Occurrences {
		if o.Number == number {
			return o
		}
	}
	return nil
}

// NewOccurrence returns an occurrence of a job of which nothing has started.
func NewOccurrence(j *jobpb.Job, number uint32) *jobpb.Occurrence {
	o := &jobpb.Occurrence{Number: number, Steps: make([]*jobpb.StepState, len(j.Steps))}
	for i, step := range j.Steps {
		tasks := make([]*jobpb.Task, step.Count)
		backing := make([]jobpb.Task, step.Count)
		for k := range tasks {
			tasks[k] = &backing[k]
		}
		o.Steps[i] = &jobpb.StepState{Tasks: tasks}
	}
	return o
}

func (s *Store) find(ref *jobpb.TaskRef) *Placement {
	j := s.jobs[ref.Job]
	if j == nil || int(ref.Step) >= len(j.Steps) {
		return nil
	}
	o := OccurrenceOf(j, ref.Occurrence)
	if o == nil || o.Steps == nil || int(ref.Index) >= len(o.Steps[ref.Step].Tasks) {
		return nil
	}
	st := o.Steps[ref.Step]
	return &Placement{Job: j, Ref: ref, Step: j.Steps[ref.Step], Task: st.Tasks[ref.Index], State: st}
}

func (s *Store) start(c *jobpb.Start) bool {
	j := s.jobs[c.Task.Job]
	w := s.workers[c.Worker]
	if j == nil || ended(j.State) || w == nil || w.BornMs != c.BornMs {
		return false
	}
	if OccurrenceOf(j, c.Task.Occurrence) == nil {
		j.Occurrences = append(j.Occurrences, NewOccurrence(j, c.Task.Occurrence))
	}
	p := s.find(c.Task)
	if p == nil || p.Task.Done || p.Task.Worker != "" || c.Run <= p.Task.Run {
		return false
	}
	p.Task.Run, p.Task.Worker, p.Task.BornMs = c.Run, c.Worker, c.BornMs
	if p.State.Run < c.Run {
		p.State.Run = c.Run
	}
	if j.State == jobpb.Job_QUEUED {
		s.setState(j, jobpb.Job_ACTIVE, 0)
	}
	s.place(p)
	return true
}

func (s *Store) place(p *Placement) {
	m := s.placed[p.Task.Worker]
	if m == nil {
		m = map[TaskKey]*Placement{}
		s.placed[p.Task.Worker] = m
	}
	m[Key(p.Ref)] = p
	l := s.loads[p.Task.Worker]
	if l == nil {
		l = &Load{}
		s.loads[p.Task.Worker] = l
	}
	l.Add(Key(p.Ref).StepOf(), p.Step, 1)
}

func (s *Store) displace(p *Placement) {
	m := s.placed[p.Task.Worker]
	delete(m, Key(p.Ref))
	s.loads[p.Task.Worker].Add(Key(p.Ref).StepOf(), p.Step, -1)
	if len(m) == 0 {
		delete(s.placed, p.Task.Worker)
		delete(s.loads, p.Task.Worker)
	}
	p.Task.Worker, p.Task.BornMs = "", 0
}

func (s *Store) end(c *jobpb.End) bool {
	p := s.find(c.Task)
	if p == nil || p.Task.Run != c.Run || p.Task.Worker != c.Worker || c.Worker == "" {
		return false
	}
	s.displace(p)
	s.settle(p, c.How, c.Checkpoint, c.AtMs)
	return true
}

// settle records how a run has ended.
func (s *Store) settle(p *Placement, how jobpb.How, checkpoint string, atMs int64) {
	if checkpoint != "" {
		p.Task.Checkpoint = checkpoint
	}
	switch {
	case how == jobpb.How_DONE && !p.Step.Lasting:
		p.Task.Done = true
		if p.Step.Gang {
			// One end stands for all: the members of a gang end together.
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

func (s *Store) countFailure(p *Placement, atMs int64) {
	p.Task.Failures++
	failures := p.Task.Failures
	if p.Step.Gang {
		p.State.Failures++
		failures = p.State.Failures
	}
	if p.Job.MaxAttempts > 0 && failures >= p.Job.MaxAttempts && !ended(p.Job.State) {
		s.setState(p.Job, jobpb.Job_FAILED, atMs)
	}
}

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

// StepDone reports whether all tasks of a step have ended done.
func StepDone(st *jobpb.StepState) bool {
	for _, t := range st.Tasks {
		if !t.Done {
			return false
		}
	}
	return true
}

// Ready reports whether all steps before a step of an occurrence are done.
func Ready(o *jobpb.Occurrence, step *jobpb.Step) bool {
	for _, before := range step.After {
		if !StepDone(o.Steps[before]) {
			return false
		}
	}
	return true
}

func (s *Store) registerWorker(w *jobpb.Worker) bool {
	known := s.workers[w.Id]
	if known != nil && known.BornMs > w.BornMs {
		return false
	}
	if known != nil && known.BornMs < w.BornMs {
		// A new process with the old name runs nothing of before.
		s.endAllOn(w.Id, 0)
	}
	s.workers[w.Id] = w
	return true
}

func (s *Store) removeWorker(c *jobpb.WorkerGone) bool {
	known := s.workers[c.Id]
	if known == nil || known.BornMs != c.BornMs {
		return false
	}
	s.endAllOn(c.Id, c.AtMs)
	delete(s.workers, c.Id)
	return true
}

func (s *Store) endAllOn(worker string, atMs int64) {
	for _, p := range s.SortedPlacements(worker) {
		s.displace(p)
		s.settle(p, jobpb.How_LOST, "", atMs)
	}
}

// SortedPlacements returns the runs on a worker in a fixed order.
func (s *Store) SortedPlacements(worker string) []*Placement {
	list := make([]*Placement, 0, len(s.placed[worker]))
	for _, p := range s.placed[worker] {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *Placement) int {
		return cmp.Or(cmp.Compare(a.Ref.Job, b.Ref.Job), cmp.Compare(a.Ref.Occurrence, b.Ref.Occurrence),
			cmp.Compare(a.Ref.Step, b.Ref.Step), cmp.Compare(a.Ref.Index, b.Ref.Index))
	})
	return list
}

func (s *Store) addWave(w *jobpb.Wave) bool {
	if s.waves[w.Number] != nil {
		return false
	}
	s.waves[w.Number] = w
	return true
}

func (s *Store) upkeep(u *jobpb.Upkeep) bool {
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

// WaveCompleted reports whether every machine of a wave has begun its upkeep or is gone.
func WaveCompleted(w *jobpb.Wave) bool {
	for _, m := range w.Machines {
		if !m.Begun {
			return false
		}
	}
	return true
}

func (s *Store) move(m *jobpb.Move) bool {
	if m.Done {
		_, known := s.moves[m.Machine]
		delete(s.moves, m.Machine)
		return known
	}
	s.moves[m.Machine] = m
	return true
}

func (s *Store) forget(id string) bool {
	j := s.jobs[id]
	if j == nil || !ended(j.State) || s.open[id] != nil {
		return false
	}
	delete(s.jobs, id)
	return true
}
