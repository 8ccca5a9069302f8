package jobs

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/inbound"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/request/outcome"
)

// viewTimeout limits the wait for the session's goroutine.
const viewTimeout = 2 * time.Second

// QueueView is a queue as shown to operators.
type QueueView struct {
	Queue    string         `json:"queue"`
	Pool     string         `json:"pool"`
	Priority uint32         `json:"priority"`
	Pending  int            `json:"pending"` // accepted jobs of which no task has started
	Jobs     map[string]int `json:"jobs"`    // stored jobs by state
}

// RunView is a placed run, which may be running.
type RunView struct {
	Job        string `json:"job"`
	Queue      string `json:"queue"`
	Occurrence uint32 `json:"occurrence"`
	Step       uint32 `json:"step"`
	Task       uint32 `json:"task"`
	Run        uint32 `json:"run"`
	Worker     string `json:"worker"`
	Percent    int    `json:"percent"` // progress in the worker's last list, -1 if the run is not in it
}

// MachineView is a machine in the machine service's last list.
type MachineView struct {
	Machine  string  `json:"machine"`
	Pool     string  `json:"pool"`
	Up       bool    `json:"up"`
	Cores    float64 `json:"cores"`
	Worker   string  `json:"worker"`
	Runs     int     `json:"runs"`
	MovingTo string  `json:"moving_to,omitempty"`
	Cordoned bool    `json:"cordoned"` // its worker gets no new tasks
}

// WaveView is a wave's progress.
type WaveView struct {
	Wave      uint64   `json:"wave"`
	Maximum   uint32   `json:"maximum"` // most machines out at a time
	DueMs     int64    `json:"due_ms"`  // Unix time
	Machines  int      `json:"machines"`
	Begun     int      `json:"begun"`
	Ordered   []string `json:"ordered"` // ordered and not confirmed yet
	Waiting   []string `json:"waiting"`
	Completed bool     `json:"completed"`
}

// Views is the state that the leader shows to operators.
type Views struct {
	Leader        string        `json:"leader"`
	Term          uint64        `json:"term"`
	Configuration uint64        `json:"configuration"` // version in force
	ListAgeMs     int64         `json:"list_age_ms"`   // of the list of machines, -1 without one
	Queues        []QueueView   `json:"queues,omitempty"`
	Runs          []RunView     `json:"runs,omitempty"`
	Machines      []MachineView `json:"machines,omitempty"`
	Waves         []WaveView    `json:"waves,omitempty"`
}

// OperatorsHandler returns the operators' HTTP interface: GET /v1/queues, /v1/runs,
// /v1/machines and /v1/waves. Only the leader returns views; any other process
// returns status 503 with the leader's name.
func (c *Control) OperatorsHandler() http.Handler {
	mux := http.NewServeMux()
	for path, fill := range map[string]func(*session, *state.Store, *Views){
		"/v1/queues": (*session).viewQueues, "/v1/runs": (*session).viewRuns,
		"/v1/machines": (*session).viewMachines, "/v1/waves": (*session).viewWaves,
	} {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			data, err := inbound.BuildAnswer(w, r, func() ([]byte, error) {
				v, err := c.views(r.Context(), fill)
				if err != nil {
					return nil, err
				}
				return json.Marshal(v)
			})
			if inbound.IsRefused(err) {
				problemOfRefusal(err).Write(w)
				return
			}
			if err != nil {
				outcome.New(outcome.CauseUnavailable, err.Error()+"; the leader is "+c.replica.Status().Leader).WithRetryAfter(time.Second).Write(w)
				return
			}
			writeData(w, data)
		})
	}
	return mux
}

// views fills a view on the session's goroutine, which owns the state it reads.
func (c *Control) views(ctx context.Context, fill func(*session, *state.Store, *Views)) (*Views, error) {
	s, err := c.leaderSession()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	done := make(chan *Views, 1)
	s.post(func() {
		v := &Views{Leader: c.o.Name, Term: s.term, ListAgeMs: -1}
		if s.upkeep.listed != nil {
			v.ListAgeMs = (s.now() - s.upkeep.listedAt).Milliseconds()
		}
		s.view(func(st *state.Store) {
			v.Configuration = st.Configuration().Version
			fill(s, st, v)
		})
		done <- v
	})
	select {
	case v := <-done:
		return v, nil
	case <-s.done:
		return nil, &UnavailableError{Reason: "this process no longer leads"}
	case <-ctx.Done():
		return nil, &UnavailableError{Reason: "the leader is busy"}
	}
}

func (s *session) viewQueues(st *state.Store, v *Views) {
	jobsOf := map[string]map[string]int{}
	for _, j := range st.Jobs() {
		if jobsOf[j.Queue] == nil {
			jobsOf[j.Queue] = map[string]int{}
		}
		jobsOf[j.Queue][StateNames[state.ShownState(j)]]++
	}
	for _, q := range st.Configuration().Queues {
		key := state.QueueKey(q.Host, q.Prefix)
		v.Queues = append(v.Queues, QueueView{Queue: q.Name, Pool: q.Pool, Priority: q.Priority, Pending: st.Pending(key), Jobs: jobsOf[key]})
	}
	slices.SortFunc(v.Queues, func(a, b QueueView) int { return cmp.Compare(a.Queue, b.Queue) })
}

func (s *session) viewRuns(st *state.Store, v *Views) {
	names := map[string]string{}
	for _, q := range st.Configuration().Queues {
		names[state.QueueKey(q.Host, q.Prefix)] = q.Name
	}
	for _, id := range slices.Sorted(maps.Keys(st.Workers())) {
		for _, p := range st.SortedPlacements(id) {
			v.Runs = append(v.Runs, RunView{Job: p.Ref.Job, Queue: names[p.Job.Queue], Occurrence: p.Ref.Occurrence, Step: p.Ref.Step,
				Task: p.Ref.Index, Run: p.Task.Run, Worker: id, Percent: s.percentOf(id, p)})
		}
	}
}

// percentOf returns the progress of a run in its worker's last list, or -1 if the run
// is not in it.
func (s *session) percentOf(id string, p *state.Placement) int {
	w := s.workers[id]
	if w == nil {
		return -1
	}
	run, found := w.listedRuns[state.Key(p.Ref)]
	if !found || run.Run != p.Task.Run {
		return -1
	}
	return run.Percent
}

func (s *session) viewMachines(st *state.Store, v *Views) {
	for _, name := range slices.Sorted(maps.Keys(s.upkeep.listed)) {
		m := s.upkeep.listed[name]
		mv := MachineView{Machine: name, Pool: m.Pool, Up: m.Up, Cores: m.Cores, Worker: m.WorkerID,
			Runs: len(st.Placements(m.WorkerID)), Cordoned: s.upkeep.cordoned(m.WorkerID)}
		if moving := s.moves.moving[name]; moving != nil {
			mv.MovingTo = moving.to
		}
		v.Machines = append(v.Machines, mv)
	}
}

func (s *session) viewWaves(st *state.Store, v *Views) {
	for _, number := range slices.Sorted(maps.Keys(st.Waves())) {
		v.Waves = append(v.Waves, viewWave(st.Waves()[number]))
	}
}

func viewWave(w *jobpb.Wave) WaveView {
	wv := WaveView{Wave: w.Number, Maximum: w.Maximum, DueMs: w.DueMs, Machines: len(w.Machines), Completed: state.WaveCompleted(w)}
	for _, m := range w.Machines {
		switch {
		case m.Begun:
			wv.Begun++
		case m.Ordered:
			wv.Ordered = append(wv.Ordered, m.Machine)
		default:
			wv.Waiting = append(wv.Waiting, m.Machine)
		}
	}
	return wv
}
