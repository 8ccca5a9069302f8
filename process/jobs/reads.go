package jobs

import (
	"context"
	"encoding/json"
	"strings"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

const noQueue = "no queue of the configuration matches"

func noConfiguration() *jobpb.Response {
	return &jobpb.Response{Outcome: jobpb.Response_NOT_READY, Reason: "there is no configuration yet", RetryAfterMs: retryAfterMs}
}

// findQueue returns the queue whose prefix is the longest that a path starts with, and
// the rest of the path.
func findQueue(conf *jobpb.Configuration, host, path string) (*jobpb.Queue, string) {
	var best *jobpb.Queue
	for _, q := range conf.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// queueOf returns the queue that a request is for, nil if there is none, and the
// job's id.
func queueOf(conf *jobpb.Configuration, r *jobpb.Request) (*jobpb.Queue, string) {
	if r.Queue == "" {
		return findQueue(conf, r.Host, r.Path)
	}
	for _, q := range conf.Queues {
		if q.Name == r.Queue {
			return q, r.Id
		}
	}
	return nil, ""
}

// jobState answers from the applied state. The caller has checked that this process
// leads, so the state includes every change that was ever confirmed.
func (c *Control) jobState(r *jobpb.Request) (resp *jobpb.Response) {
	var call resolvedCall
	var refused *jobpb.Response
	c.replica.View(func(replica.StateMachine) {
		if call, refused = resolveCall(c.store, r); refused != nil {
			return
		}
		if call.id == "" {
			resp = &jobpb.Response{Pending: uint32(c.store.Pending(call.queueKey)), Counted: true}
			return
		}
		j := c.store.Job(call.id)
		if !call.seesJob(j) {
			resp = &jobpb.Response{Outcome: jobpb.Response_NO_JOB}
			return
		}
		resp = &jobpb.Response{State: state.ShownState(j)}
	})
	if refused != nil {
		return c.refuse(r, call, refused)
	}
	// The leader lease may have expired while the state was read.
	if !c.Leads() {
		return &jobpb.Response{Outcome: jobpb.Response_NOT_LEADER}
	}
	return resp
}

// Configuration returns the newest configuration document as it was received, and its
// version.
func (c *Control) Configuration(ctx context.Context) (document []byte, version uint64, err error) {
	if _, err := c.leaderSession(); err != nil {
		return nil, 0, err
	}
	if err := c.replica.ReadBarrier(ctx); err != nil {
		return nil, 0, &UnavailableError{Reason: err.Error()}
	}
	var stored *jobpb.Configuration
	c.replica.View(func(replica.StateMachine) { stored = c.store.Configuration() })
	if stored.Version == 0 {
		return nil, 0, &UnavailableError{Reason: "there is no configuration yet"}
	}
	document, err = documentOf(stored)
	return document, stored.Version, err
}

// WaveCompleted reports whether a wave is stored and whether it is completed.
func (c *Control) WaveCompleted(ctx context.Context, number uint64) (completed, known bool, err error) {
	if _, err := c.leaderSession(); err != nil {
		return false, false, err
	}
	if err := c.replica.ReadBarrier(ctx); err != nil {
		return false, false, &UnavailableError{Reason: err.Error()}
	}
	c.replica.View(func(replica.StateMachine) {
		w := c.store.Waves()[number]
		known = w != nil
		completed = known && state.WaveCompleted(w)
	})
	return completed, known, nil
}

// Dump is the state of a control process as shown to operators.
type Dump struct {
	Name    string         `json:"name"`
	Leader  string         `json:"leader"`
	Term    uint64         `json:"term"`
	Applied uint64         `json:"applied"`
	Voters  []string       `json:"voters"`
	Version uint64         `json:"configuration_version"`
	Jobs    map[string]int `json:"jobs"`    // by state
	Pending map[string]int `json:"pending"` // by queue
	Runs    map[string]int `json:"runs"`    // by worker
	Waves   map[uint64]int `json:"waves"`   // machines that have not begun, by wave
}

// Dump returns the state of this process as JSON.
func (c *Control) Dump(context.Context) ([]byte, error) {
	s := c.replica.Status()
	d := Dump{Name: c.o.Name, Leader: s.Leader, Term: s.Term, Applied: s.Applied, Voters: s.Voters,
		Jobs: map[string]int{}, Pending: map[string]int{}, Runs: map[string]int{}, Waves: map[uint64]int{}}
	c.replica.View(func(replica.StateMachine) {
		d.Version = c.store.Configuration().Version
		for _, j := range c.store.Jobs() {
			d.Jobs[state.ShownState(j).String()]++
			if j.State == jobpb.Job_QUEUED {
				d.Pending[j.Queue]++
			}
		}
		for id := range c.store.Workers() {
			d.Runs[id] = len(c.store.Placements(id))
		}
		for n, w := range c.store.Waves() {
			d.Waves[n] = 0
			for _, m := range w.Machines {
				if !m.Begun {
					d.Waves[n]++
				}
			}
		}
	})
	return json.Marshal(d)
}

func (c *Control) dump() *jobpb.Response {
	data, err := c.Dump(c.ctx)
	if err != nil {
		return &jobpb.Response{Outcome: jobpb.Response_NOT_READY, Reason: err.Error()}
	}
	return &jobpb.Response{Dump: data}
}
