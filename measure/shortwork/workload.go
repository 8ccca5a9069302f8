// Package shortwork simulates one entry's queue in virtual time under the two
// users' workloads, and measures how long short work waits with and without long
// work. The figures are the same on every run and machine.
package shortwork

import (
	"container/heap"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marjoramtiller.example/marjoramtiller/request/queue"
)

// The simulation covers one entry's share of a pool of backend servers. A server
// does no work: each request occupies a slot for a randomly drawn run time.
// Utilization is relative to Servers, Slots and Duration.
const (
	Servers           = 8
	Slots             = 8 // per server
	Duration          = 130 * time.Second
	burstDuration     = 5 * time.Second // each service has its burst in turn
	burstFactor       = 5.0
	quietFactor       = 0.05
	stragglerShare    = 0.005
	stragglerFactor   = 50
	longThreshold     = 500 * time.Millisecond
	shortSlotsPercent = 50
	never             = time.Duration(1<<63 - 1)
)

// ServiceLoad describes the requests of one service of a workload.
type ServiceLoad struct {
	name          string
	mean          time.Duration // run time, exponentially distributed
	load          float64       // mean share of all slots
	deadline      time.Duration // from arrival
	long          bool
	deferrable    bool
	steady        bool          // requests arrive at the mean rate, without bursts
	fixedDeadline time.Duration // absolute deadline of deferrable work, used instead of deadline; 0: none
}

// Savings and Events are the workloads of the two users. In a burst each service
// demands 5 times its mean load. For a short service this is 1.2 times a quarter
// of the slots, where the quarter represents the service's own pool. For a long
// service it is more than all slots.
var (
	Savings = []ServiceLoad{
		{name: "accrual", mean: 20 * time.Millisecond, load: 0.06, deadline: 2 * time.Second},
		{name: "ledger", mean: 50 * time.Millisecond, load: 0.06, deadline: 10 * time.Second},
		{name: "correction", mean: 50 * time.Millisecond, load: 0.06, deadline: 10 * time.Second},
		{name: "statement", mean: 2 * time.Second, load: 0.3, deadline: 60 * time.Second, long: true, deferrable: true},
	}
	Events = []ServiceLoad{
		{name: "booking", mean: 40 * time.Millisecond, load: 0.06, deadline: 2 * time.Second},
		{name: "inquiry", mean: 15 * time.Millisecond, load: 0.06, deadline: 2 * time.Second},
		{name: "badge", mean: 1500 * time.Millisecond, load: 0.25, long: true, deferrable: true, fixedDeadline: 150 * time.Second},
		{name: "waitlist", mean: 3 * time.Second, load: 0.22, long: true, deferrable: true, fixedDeadline: 150 * time.Second},
	}
)

// Scaled returns the workload with the load of its short services multiplied by
// factor.
func Scaled(workload []ServiceLoad, factor float64) []ServiceLoad {
	out := append([]ServiceLoad(nil), workload...)
	for i := range out {
		if !out[i].long {
			out[i].load *= factor
		}
	}
	return out
}

// Steady returns the scaled workload with short requests arriving at a constant
// mean rate, so that bursts of long work coincide with a full load of short work.
func Steady(workload []ServiceLoad, factor float64) []ServiceLoad {
	out := Scaled(workload, factor)
	for i := range out {
		out[i].steady = !out[i].long
	}
	return out
}

// Job is one request of a workload.
type Job struct {
	service  int
	arrival  time.Duration
	run      time.Duration
	deadline time.Duration
	id       queue.ID
	server   int // server or queue of a baseline; the entry in SimulateEntries
}

// Arrivals returns the requests of a workload in order of arrival. Each service
// has its own random source, so that the short load is the same with and without
// long work.
func Arrivals(workload []ServiceLoad, withLong bool, seed uint64) []*Job {
	var jobs []*Job
	cycle := burstDuration * time.Duration(len(workload)+1) // no service has a burst in the additional part, which is the spare pool's turn
	for k, service := range workload {
		if service.long && !withLong {
			continue
		}
		r := rand.New(rand.NewPCG(seed, uint64(k)))
		perSecond := service.load * Servers * Slots / service.mean.Seconds()
		for now := time.Duration(0); now < Duration; {
			rate := perSecond * quietFactor
			if int(now%cycle/burstDuration) == k {
				rate = perSecond * burstFactor
			}
			if service.steady {
				rate = perSecond
			}
			now += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			run := time.Duration(r.ExpFloat64() * float64(service.mean))
			if r.Float64() < stragglerShare {
				run *= stragglerFactor
			}
			j := &Job{service: k, arrival: now, run: run, deadline: now + service.deadline}
			if service.fixedDeadline > 0 {
				j.deadline = service.fixedDeadline
			}
			jobs = append(jobs, j)
		}
	}
	sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].arrival < jobs[b].arrival })
	return jobs
}

// Policy decides when and on which slots jobs start.
type Policy interface {
	// submit returns false if the job is rejected.
	submit(now time.Duration, j *Job) bool
	// next returns a job that starts now, or one whose deadline has expired.
	next(now time.Duration) (j *Job, expired, ok bool)
	done(now time.Duration, j *Job)
	// nextWake returns the time at which next has to be called if no event comes
	// before, or false if there is no such time.
	nextWake(now time.Duration) (time.Duration, bool)
}

// Figures are the results of one simulation. The counts are numbers of requests;
// Busy is the total time that slots were occupied.
type Figures struct {
	shortWaits       *hdrhistogram.Histogram // waits in microseconds
	Arrived          int
	Rejected         int
	ShortArrived     int
	ShortRejected    int
	Busy             time.Duration
	Deferrable       int
	DeferrableInTime int // deferrable requests that finished by their deadline
}

// ShortWaitPercentile returns a percentile (0 to 100) of the wait of short work in
// milliseconds.
func (f *Figures) ShortWaitPercentile(q float64) float64 {
	return float64(f.shortWaits.ValueAtQuantile(q)) / 1000
}

type completionHeap []*completion
type completion struct {
	at       time.Duration
	sequence int
	job      *Job
}

func (h completionHeap) Len() int { return len(h) }
func (h completionHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].sequence < h[b].sequence
}
func (h completionHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *completionHeap) Push(x any)   { *h = append(*h, x.(*completion)) }
func (h *completionHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// Simulate runs the jobs under a policy until all have finished, expired or been
// rejected.
func Simulate(workload []ServiceLoad, jobs []*Job, p Policy) *Figures {
	f := &Figures{shortWaits: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
	var ends completionHeap
	started, next := 0, 0
	reject := func(j *Job) {
		f.Rejected++
		if !workload[j.service].long {
			f.ShortRejected++
		}
	}
	for {
		now, nextEvent := never, 0
		if next < len(jobs) {
			now, nextEvent = jobs[next].arrival, 1
		}
		if len(ends) > 0 && ends[0].at <= now {
			now, nextEvent = ends[0].at, 2
		}
		if nextEvent == 0 {
			if at, ok := p.nextWake(now); !ok || at == never {
				return f
			}
		}
		switch nextEvent {
		case 1:
			j := jobs[next]
			next++
			f.Arrived++
			if workload[j.service].deferrable {
				f.Deferrable++
			}
			if !workload[j.service].long {
				f.ShortArrived++
			}
			if !p.submit(now, j) {
				reject(j)
			}
		case 2:
			e := heap.Pop(&ends).(*completion)
			p.done(now, e.job)
			if workload[e.job.service].deferrable && now <= e.job.deadline {
				f.DeferrableInTime++
			}
		}
		// A policy has to be called at its wake time only if no event comes before,
		// because each event calls next anyway.
		for {
			j, expired, ok := p.next(now)
			if !ok {
				break
			}
			if expired {
				reject(j)
				continue
			}
			if !workload[j.service].long {
				_ = f.shortWaits.RecordValue((now - j.arrival).Microseconds())
			}
			f.Busy += j.run
			started++
			heap.Push(&ends, &completion{at: now + j.run, sequence: started, job: j})
		}
	}
}

// corePolicy is the Policy that runs the core of package queue.
type corePolicy struct {
	workload []ServiceLoad
	core     *queue.Core
	jobs     map[queue.ID]*Job
}

// NewCore returns the policy of package queue, with all services in one pool.
func NewCore(workload []ServiceLoad) Policy {
	p := &corePolicy{workload: workload, core: queue.New(), jobs: make(map[queue.ID]*Job)}
	p.core.SetService("pool", queue.ServiceConfig{ShortSlotsPercent: shortSlotsPercent, LongThreshold: longThreshold, MaxPerCaller: 4096, MaxQueued: 16384})
	for k := range Servers {
		p.core.SetServer(strconv.Itoa(k), "pool", Slots)
	}
	return p
}

func (p *corePolicy) submit(now time.Duration, j *Job) bool {
	service := p.workload[j.service]
	id, rej := p.core.Submit(now, queue.Request{Service: "pool", Caller: service.name, Route: service.name, Deadline: j.deadline, Deferrable: service.deferrable})
	if rej != nil {
		return false
	}
	j.id = id
	p.jobs[id] = j
	return true
}

func (p *corePolicy) next(now time.Duration) (*Job, bool, bool) {
	a, ok := p.core.Next(now)
	if !ok {
		return nil, false, false
	}
	j := p.jobs[a.ID]
	delete(p.jobs, a.ID)
	return j, a.Kind == queue.Expire, true
}

func (p *corePolicy) done(now time.Duration, j *Job)                   { p.core.Done(now, j.id, true) }
func (p *corePolicy) nextWake(now time.Duration) (time.Duration, bool) { return p.core.NextTime(now) }

// queuePolicy is a baseline of first-come, first-served queues, each with its own
// slots.
type queuePolicy struct {
	waiting      [][]*Job
	free         []int
	choose       func(q *queuePolicy, j *Job) int
	currentQueue int
}

const baselineMaxQueued = 16384 // the same bound as MaxQueued of the core

func (q *queuePolicy) submit(_ time.Duration, j *Job) bool {
	k := q.choose(q, j)
	if len(q.waiting[k]) >= baselineMaxQueued {
		return false
	}
	j.server = k
	q.waiting[k] = append(q.waiting[k], j)
	return true
}

func (q *queuePolicy) next(now time.Duration) (*Job, bool, bool) {
	for range q.waiting {
		k := q.currentQueue % len(q.waiting)
		if len(q.waiting[k]) > 0 && q.free[k] > 0 {
			j := q.waiting[k][0]
			q.waiting[k] = q.waiting[k][1:]
			if j.deadline <= now {
				return j, true, true
			}
			q.free[k]--
			return j, false, true
		}
		q.currentQueue++
	}
	return nil, false, false
}

func (q *queuePolicy) done(_ time.Duration, j *Job)                 { q.free[j.server]++ }
func (q *queuePolicy) nextWake(time.Duration) (time.Duration, bool) { return 0, false }
func newQueuePolicy(n, slots int, choose func(*queuePolicy, *Job) int) *queuePolicy {
	q := &queuePolicy{waiting: make([][]*Job, n), free: make([]int, n), choose: choose}
	for k := range q.free {
		q.free[k] = slots
	}
	return q
}

// NewFIFO returns a policy with one first-come, first-served queue for all slots.
func NewFIFO([]ServiceLoad) Policy {
	return newQueuePolicy(1, Servers*Slots, func(*queuePolicy, *Job) int { return 0 })
}

// NewRandom returns a policy that sends each request to a random server.
func NewRandom([]ServiceLoad) Policy {
	r := rand.New(rand.NewPCG(7, 7))
	return newQueuePolicy(Servers, Slots, func(*queuePolicy, *Job) int { return r.IntN(Servers) })
}

// NewLeastLoaded returns a policy that sends each request to the server with the
// fewest queued requests and used slots.
func NewLeastLoaded([]ServiceLoad) Policy {
	return newQueuePolicy(Servers, Slots, func(q *queuePolicy, _ *Job) int {
		best := 0
		for k := range q.free {
			if len(q.waiting[k])-q.free[k] < len(q.waiting[best])-q.free[best] {
				best = k
			}
		}
		return best
	})
}

// NewPartition returns a policy that divides the slots evenly among the services.
func NewPartition(workload []ServiceLoad) Policy {
	return newQueuePolicy(len(workload), Servers*Slots/len(workload), func(_ *queuePolicy, j *Job) int { return j.service })
}
