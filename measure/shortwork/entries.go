package shortwork

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marjoramtiller.example/marjoramtiller/connection/slots"
	"marjoramtiller.example/marjoramtiller/request/queue"
)

// The simulation of several entries runs one queue core for each entry and one
// slot allocator in virtual time. Each service has a pool of its own. A burst
// exceeds the slots of the pool by a fifth, and by a half if the run time of
// stragglers is counted.
const (
	// Entries is the number of entries.
	Entries = 6
	// PoolServers is the number of backend servers of each service.
	PoolServers     = 10
	poolLoad        = 0.24
	networkDelay    = 1500 * time.Microsecond
	longPollTimeout = 500 * time.Millisecond
	reportPause     = 20 * time.Millisecond
	// EntriesDuration is the length of the period in which requests arrive.
	EntriesDuration = 60 * time.Second
)

// callerShares holds for each entry the share of a service's callers that connect
// to it.
var callerShares = [Entries]float64{0.35, 0.25, 0.15, 0.1, 0.1, 0.05}

// Sharing is a method of sharing slots among entries.
type Sharing struct {
	Name    string
	entries int
	// grants: the allocator grants the shares; otherwise they are fixed.
	grants bool
	// urgent: an entry whose queue grows sends a report immediately instead of
	// waiting for the response to its last report.
	urgent bool
	// leastLoaded: there is no queue in front of the servers; every request is
	// sent immediately to the least loaded server and waits there.
	leastLoaded bool
}

// event is an action at a virtual time. Events of the same time run in the order
// in which they were scheduled.
type event struct {
	at       time.Duration
	sequence int
	action   func(now time.Duration)
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].sequence < h[b].sequence
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simEntry is one entry with its queue core and its part of the sync protocol.
type simEntry struct {
	sim            *entrySim
	id             slots.EntryID
	core           *queue.Core
	jobs           map[queue.ID]*Job
	inFlight       map[string]uint32
	shares         map[string]uint32
	ackedGrant     uint64
	round          int // number of the latest report; responses to earlier reports are ignored
	reportedAt     time.Duration
	reportedDemand map[string]float64 // in the latest report
	polling        bool               // the leader has its report and has not responded yet
	timerAt        time.Duration
	timerSet       bool // a timer event is scheduled for timerAt
}

// entrySim is the simulation of several entries and the leader's slot allocator.
type entrySim struct {
	sharing   Sharing
	workload  []ServiceLoad
	events    eventHeap
	scheduled int // number of events scheduled so far
	allocator *slots.Allocator
	entries   []*simEntry
	figures   *Figures
	syncs     int // number of sync requests
}

func (s *entrySim) schedule(t time.Duration, action func(now time.Duration)) {
	s.scheduled++
	heap.Push(&s.events, event{t, s.scheduled, action})
}

func serverName(pool, k int) string { return fmt.Sprintf("%d-%02d", pool, k) }

// poolJobs scales the load of each service to its pool and distributes the
// requests over the entries. The server of a job is the index of its entry.
func poolJobs(workload []ServiceLoad, seed uint64) []*Job {
	scaled := append([]ServiceLoad(nil), workload...)
	for k := range scaled {
		scaled[k].load = poolLoad * PoolServers / Servers
		if scaled[k].fixedDeadline > 0 {
			scaled[k].fixedDeadline = EntriesDuration
		}
	}
	r := rand.New(rand.NewPCG(seed, 99))
	var out []*Job
	for _, j := range Arrivals(scaled, true, seed) {
		if j.arrival >= EntriesDuration {
			continue
		}
		x := r.Float64()
		for e, share := range callerShares {
			if x -= share; x < 0 || e == Entries-1 {
				j.server = (e + j.service) % Entries // the order of entries differs between services
				break
			}
		}
		out = append(out, j)
	}
	return out
}

func newEntrySim(workload []ServiceLoad, sharing Sharing) *entrySim {
	s := &entrySim{sharing: sharing, workload: workload, allocator: slots.New(1, nil), figures: &Figures{shortWaits: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}}
	for e := range sharing.entries {
		s.entries = append(s.entries, &simEntry{sim: s, id: slots.EntryID{Entry: fmt.Sprint(e), BootID: "1"}, core: queue.New(),
			jobs: make(map[queue.ID]*Job), inFlight: make(map[string]uint32), shares: make(map[string]uint32)})
	}
	for p, service := range workload {
		for _, e := range s.entries {
			e.core.SetService(service.name, queue.ServiceConfig{ShortSlotsPercent: 25, LongThreshold: longThreshold, MaxPerCaller: 65536, MaxQueued: 65536})
		}
		for k := range PoolServers {
			if sharing.grants {
				s.allocator.SetServer(slots.Server{Name: serverName(p, k), Service: service.name, Slots: Slots, Connections: 64})
				continue
			}
			for slot := range Slots {
				s.entries[(k*Slots+slot)%sharing.entries].shares[serverName(p, k)]++
			}
		}
	}
	for i, e := range s.entries {
		e.setServers()
		if sharing.grants {
			s.schedule(time.Duration(i)*17*time.Millisecond, e.report)
		}
	}
	return s
}

func (e *simEntry) setServers() {
	for p, service := range e.sim.workload {
		for k := range PoolServers {
			name := serverName(p, k)
			if n := e.shares[name]; n > 0 {
				e.core.SetServer(name, service.name, int(n))
			} else {
				e.core.RemoveServer(name)
			}
		}
	}
}

func (e *simEntry) demand() map[string]float64 {
	d := make(map[string]float64)
	for _, st := range e.core.Services() {
		d[st.Service] = float64(st.Queued + st.Running)
	}
	return d
}

// report sends a sync request with the entry's demand and slot uses to the leader.
func (e *simEntry) report(now time.Duration) {
	e.round++
	e.sim.syncs++
	e.reportedAt, e.reportedDemand = now, e.demand()
	r := slots.Report{ID: e.id, AckedGrant: e.ackedGrant, Demand: e.reportedDemand}
	for p := range e.sim.workload {
		for k := range PoolServers {
			name := serverName(p, k)
			if held, running := e.shares[name], e.inFlight[name]; held > 0 || running > 0 {
				r.Uses = append(r.Uses, slots.Use{Server: name, Held: max(held, running), InFlight: running})
			}
		}
	}
	round := e.round
	e.sim.schedule(now+networkDelay, func(now time.Duration) { e.sim.receiveReport(now, e, r, round) })
}

// receiveReport handles a report at the leader. The leader responds immediately if
// the entry has a new grant, otherwise after longPollTimeout or when a later report
// changes the grant. It also responds to waiting entries whose grants this report
// has changed.
func (s *entrySim) receiveReport(now time.Duration, e *simEntry, r slots.Report, round int) {
	s.allocator.Report(r)
	e.polling = true
	for _, id := range s.allocator.Rebalance() {
		for _, other := range s.entries {
			if other.id == id && other.polling && other != e {
				s.respond(now, other, other.round)
			}
		}
	}
	if number, _ := s.allocator.Grant(e.id); number != r.AckedGrant {
		s.respond(now, e, round)
		return
	}
	s.schedule(now+longPollTimeout, func(now time.Duration) {
		if e.polling && e.round == round {
			s.respond(now, e, round)
		}
	})
}

// respond sends the current grant of an entry as the response to a report. The
// entry sends its next report after reportPause.
func (s *entrySim) respond(now time.Duration, e *simEntry, round int) {
	e.polling = false
	number, shares := s.allocator.Grant(e.id)
	s.schedule(now+networkDelay, func(now time.Duration) {
		if e.round != round {
			return
		}
		clear(e.shares)
		for _, sh := range shares {
			e.shares[sh.Server] = sh.Slots
		}
		e.ackedGrant = number
		e.setServers()
		e.dispatch(now)
		s.schedule(now+reportPause, func(now time.Duration) {
			if e.round == round {
				e.report(now)
			}
		})
	})
}

// reportGrowth sends a report early if a queue has outgrown the demand in the
// latest report.
func (e *simEntry) reportGrowth(now time.Duration) {
	if !e.sim.sharing.urgent || e.reportedDemand == nil || now-e.reportedAt < reportPause {
		return
	}
	for _, service := range e.sim.workload {
		if e.core.DemandOutgrewReport(service.name, e.reportedDemand[service.name]) {
			e.report(now)
			return
		}
	}
}

// dispatch starts or rejects the jobs that the core returns, and schedules the
// core's next timer.
func (e *simEntry) dispatch(now time.Duration) {
	s := e.sim
	for {
		a, ok := e.core.Next(now)
		if !ok {
			break
		}
		j := e.jobs[a.ID]
		delete(e.jobs, a.ID)
		if a.Kind == queue.Expire {
			s.reject(j)
			continue
		}
		s.recordStart(now, j)
		e.inFlight[a.Server]++
		s.schedule(now+j.run, func(now time.Duration) {
			e.inFlight[a.Server]--
			e.core.Done(now, a.ID, true)
			s.recordFinish(now, j)
			e.dispatch(now)
		})
	}
	if at, ok := e.core.NextTime(now); ok && (!e.timerSet || at < e.timerAt) {
		e.timerAt, e.timerSet = max(at, now+time.Millisecond), true
		at := e.timerAt
		s.schedule(at, func(now time.Duration) {
			if e.timerSet && e.timerAt == at {
				e.timerSet = false
				e.dispatch(now)
			}
		})
	}
	e.reportGrowth(now)
}

func (s *entrySim) reject(j *Job) {
	s.figures.Rejected++
	if !s.workload[j.service].long {
		s.figures.ShortRejected++
	}
}

func (s *entrySim) recordStart(now time.Duration, j *Job) {
	if !s.workload[j.service].long {
		_ = s.figures.shortWaits.RecordValue((now - j.arrival).Microseconds())
	}
	s.figures.Busy += min(j.run, max(0, EntriesDuration-now))
}

func (s *entrySim) recordFinish(now time.Duration, j *Job) {
	if s.workload[j.service].deferrable && now <= j.deadline {
		s.figures.DeferrableInTime++
	}
}

func (s *entrySim) submit(now time.Duration, j *Job) {
	service := s.workload[j.service]
	s.figures.Arrived++
	if !service.long {
		s.figures.ShortArrived++
	}
	if service.deferrable {
		s.figures.Deferrable++
	}
	e := s.entries[j.server%len(s.entries)]
	id, rej := e.core.Submit(now, queue.Request{Service: service.name, Caller: service.name, Route: service.name, Deadline: j.deadline, Deferrable: service.deferrable})
	if rej != nil {
		s.reject(j)
		return
	}
	e.jobs[id] = j
	e.dispatch(now)
}

func (s *entrySim) run(jobs []*Job) *Figures {
	const settle = 2 * time.Second // time for the first grants before requests arrive
	for k := 0; k < len(jobs) || len(s.events) > 0; {
		if k < len(jobs) && (len(s.events) == 0 || jobs[k].arrival+settle <= s.events[0].at) {
			j := jobs[k]
			k++
			j.arrival, j.deadline = j.arrival+settle, j.deadline+settle
			s.submit(j.arrival, j)
			continue
		}
		ev := heap.Pop(&s.events).(event)
		if ev.at > EntriesDuration+settle+time.Minute {
			break
		}
		ev.action(ev.at)
	}
	return s.figures
}

// runLeastLoaded simulates sending every request immediately to the least loaded
// server of its pool.
func runLeastLoaded(workload []ServiceLoad, jobs []*Job) *Figures {
	s := newEntrySim(nil, Sharing{})
	s.workload = workload
	pools := make([]*queuePolicy, len(workload))
	for p := range pools {
		pools[p] = NewLeastLoaded(nil).(*queuePolicy)
		pools[p].waiting, pools[p].free = make([][]*Job, PoolServers), make([]int, PoolServers)
		for k := range PoolServers {
			pools[p].free[k] = Slots
		}
	}
	var dispatch func(now time.Duration, q *queuePolicy)
	dispatch = func(now time.Duration, q *queuePolicy) {
		for {
			j, expired, ok := q.next(now)
			if !ok {
				return
			}
			if expired {
				s.reject(j)
				continue
			}
			s.recordStart(now, j)
			s.schedule(now+j.run, func(now time.Duration) {
				q.done(now, j)
				s.recordFinish(now, j)
				dispatch(now, q)
			})
		}
	}
	for _, j := range jobs {
		s.schedule(j.arrival, func(now time.Duration) {
			s.figures.Arrived++
			if !workload[j.service].long {
				s.figures.ShortArrived++
			}
			if workload[j.service].deferrable {
				s.figures.Deferrable++
			}
			pools[j.service].submit(now, j)
			dispatch(now, pools[j.service])
		})
	}
	return s.run(nil)
}

// Sharings returns the methods of sharing slots that are compared.
func Sharings() []Sharing {
	return []Sharing{
		{Name: "one-queue", entries: 1},
		{Name: "fixed-partition", entries: Entries},
		{Name: "least-loaded", leastLoaded: true},
		{Name: "granted", entries: Entries, grants: true},
		{Name: "granted-urgent", entries: Entries, grants: true, urgent: true},
	}
}

// SimulateEntries runs a workload over several entries. It returns the figures
// and the number of sync requests.
func SimulateEntries(workload []ServiceLoad, sharing Sharing, seed uint64) (*Figures, int) {
	jobs := poolJobs(workload, seed)
	if sharing.leastLoaded {
		return runLeastLoaded(workload, jobs), 0
	}
	s := newEntrySim(workload, sharing)
	return s.run(jobs), s.syncs
}
