package queue

import (
	"container/heap"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The benchmarks run in virtual time: one entry's share of a pool of backend
// servers, each of which only holds a slot for a drawn time.
const (
	simServers      = 8
	simSlots        = 8 // per server
	simDuration     = 130 * time.Second
	simBurst        = 5 * time.Second // of each service in turn
	burstFactor     = 5.0
	quietFactor     = 0.05
	stragglerShare  = 0.005
	stragglerFactor = 50
	simThreshold    = 500 * time.Millisecond
	keptPercent     = 50
)

// kindOfWork is one service of a workload.
type kindOfWork struct {
	name       string
	mean       time.Duration // run time, exponentially distributed
	load       float64       // mean share of all slots
	deadline   time.Duration // from arrival
	long       bool
	deferrable bool
	steady     bool          // arrives at its mean rate, without bursts
	doors      time.Duration // absolute deadline of deferrable work; 0: none
}

// savings and events are the workloads of the two users. In a burst a short
// service demands 5 times its mean, 1.2 times a quarter of the slots, which
// stands for its pool; a long one demands more than all slots.
var (
	savings = []kindOfWork{
		{name: "accrual", mean: 20 * time.Millisecond, load: 0.06, deadline: 2 * time.Second},
		{name: "ledger", mean: 50 * time.Millisecond, load: 0.06, deadline: 10 * time.Second},
		{name: "correction", mean: 50 * time.Millisecond, load: 0.06, deadline: 10 * time.Second},
		{name: "statement", mean: 2 * time.Second, load: 0.3, deadline: 60 * time.Second, long: true, deferrable: true},
	}
	events = []kindOfWork{
		{name: "booking", mean: 40 * time.Millisecond, load: 0.06, deadline: 2 * time.Second},
		{name: "inquiry", mean: 15 * time.Millisecond, load: 0.06, deadline: 2 * time.Second},
		{name: "badge", mean: 1500 * time.Millisecond, load: 0.25, long: true, deferrable: true, doors: 150 * time.Second},
		{name: "waitlist", mean: 3 * time.Second, load: 0.22, long: true, deferrable: true, doors: 150 * time.Second},
	}
)

// scaled returns a workload with the load of its short services multiplied.
func scaled(w []kindOfWork, factor float64) []kindOfWork {
	out := append([]kindOfWork(nil), w...)
	for i := range out {
		if !out[i].long {
			out[i].load *= factor
		}
	}
	return out
}

// steady returns a workload whose short services arrive at a constant rate, so
// that bursts of long work meet a full load of short work.
func steady(w []kindOfWork, factor float64) []kindOfWork {
	out := scaled(w, factor)
	for i := range out {
		out[i].steady = !out[i].long
	}
	return out
}

type job struct {
	kind     int
	arrive   time.Duration
	run      time.Duration
	deadline time.Duration
	id       ID
	server   int
}

// arrivalsOf draws each service's arrivals from its own source, so that the
// short load is the same with and without long work.
func arrivalsOf(w []kindOfWork, withLong bool, seed uint64) []*job {
	var jobs []*job
	cycle := simBurst * time.Duration(len(w)+1) // the spare pool's turn is quiet
	for k, kind := range w {
		if kind.long && !withLong {
			continue
		}
		r := rand.New(rand.NewPCG(seed, uint64(k)))
		perSecond := kind.load * simServers * simSlots / kind.mean.Seconds()
		for now := time.Duration(0); now < simDuration; {
			rate := perSecond * quietFactor
			if int(now%cycle/simBurst) == k {
				rate = perSecond * burstFactor
			}
			if kind.steady {
				rate = perSecond
			}
			now += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			run := time.Duration(r.ExpFloat64() * float64(kind.mean))
			if r.Float64() < stragglerShare {
				run *= stragglerFactor
			}
			j := &job{kind: k, arrive: now, run: run, deadline: now + kind.deadline}
			if kind.doors > 0 {
				j.deadline = kind.doors
			}
			jobs = append(jobs, j)
		}
	}
	sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].arrive < jobs[b].arrive })
	return jobs
}

// policy decides when and where jobs start.
type policy interface {
	arrive(now time.Duration, j *job) bool // false: rejected
	next(now time.Duration) (j *job, expired, ok bool)
	done(now time.Duration, j *job)
	wake(now time.Duration) (time.Duration, bool)
}

type figures struct {
	short          *hdrhistogram.Histogram // waits in microseconds
	arrived        int
	rejected       int
	shortArrived   int
	shortRejected  int
	busy           time.Duration
	deferrable     int
	deferrableTime int // finished before the deadline
}

func (f *figures) p(q float64) float64 { return float64(f.short.ValueAtQuantile(q)) / 1000 }

type endHeap []*ending
type ending struct {
	at time.Duration
	n  int
	j  *job
}

func (h endHeap) Len() int { return len(h) }
func (h endHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].n < h[b].n
}
func (h endHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *endHeap) Push(x any)   { *h = append(*h, x.(*ending)) }
func (h *endHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simulate runs a workload to its end.
func simulate(w []kindOfWork, jobs []*job, p policy) *figures {
	f := &figures{short: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
	var ends endHeap
	started, next := 0, 0
	reject := func(j *job) {
		f.rejected++
		if !w[j.kind].long {
			f.shortRejected++
		}
	}
	for {
		now, what := noDeadline, 0
		if next < len(jobs) {
			now, what = jobs[next].arrive, 1
		}
		if len(ends) > 0 && ends[0].at <= now {
			now, what = ends[0].at, 2
		}
		if what == 0 {
			if at, ok := p.wake(now); !ok || at == noDeadline {
				return f
			}
		}
		switch what {
		case 1:
			j := jobs[next]
			next++
			f.arrived++
			if w[j.kind].deferrable {
				f.deferrable++
			}
			if !w[j.kind].long {
				f.shortArrived++
			}
			if !p.arrive(now, j) {
				reject(j)
			}
		case 2:
			e := heap.Pop(&ends).(*ending)
			p.done(now, e.j)
			if w[e.j.kind].deferrable && now <= e.j.deadline {
				f.deferrableTime++
			}
		}
		// The core asks to be called at its wake times; they matter only when
		// nothing else happens before, as every event calls it anyway.
		for {
			j, expired, ok := p.next(now)
			if !ok {
				break
			}
			if expired {
				reject(j)
				continue
			}
			if !w[j.kind].long {
				_ = f.short.RecordValue((now - j.arrive).Microseconds())
			}
			f.busy += j.run
			started++
			heap.Push(&ends, &ending{at: now + j.run, n: started, j: j})
		}
	}
}

// corePolicy is the policy of this package.
type corePolicy struct {
	w    []kindOfWork
	c    *Core
	jobs map[ID]*job
}

func newCorePolicy(w []kindOfWork) policy {
	p := &corePolicy{w: w, c: New(), jobs: make(map[ID]*job)}
	p.c.SetService("pool", ServiceConfig{ShortSlotsPercent: keptPercent, LongThreshold: simThreshold, MaxPerCaller: 4096, MaxQueued: 16384})
	for k := range simServers {
		p.c.SetServer(strconv.Itoa(k), "pool", simSlots)
	}
	return p
}

func (p *corePolicy) arrive(now time.Duration, j *job) bool {
	kind := p.w[j.kind]
	id, rej := p.c.Submit(now, Request{Service: "pool", Caller: kind.name, Route: kind.name, Deadline: j.deadline, Deferrable: kind.deferrable})
	if rej != nil {
		return false
	}
	j.id = id
	p.jobs[id] = j
	return true
}

func (p *corePolicy) next(now time.Duration) (*job, bool, bool) {
	a, ok := p.c.Next(now)
	if !ok {
		return nil, false, false
	}
	j := p.jobs[a.ID]
	delete(p.jobs, a.ID)
	return j, a.Kind == Expire, true
}

func (p *corePolicy) done(now time.Duration, j *job)               { p.c.Done(now, j.id, true) }
func (p *corePolicy) wake(now time.Duration) (time.Duration, bool) { return p.c.Wake(now) }

// queues is a baseline of first-come queues, each with its own slots.
type queues struct {
	waiting [][]*job
	free    []int
	pick    func(q *queues, j *job) int
	turn    int
}

const baselineQueued = 16384 // all baselines and the core bound their queues alike

func (q *queues) arrive(_ time.Duration, j *job) bool {
	k := q.pick(q, j)
	if len(q.waiting[k]) >= baselineQueued {
		return false
	}
	j.server = k
	q.waiting[k] = append(q.waiting[k], j)
	return true
}

func (q *queues) next(now time.Duration) (*job, bool, bool) {
	for range q.waiting {
		k := q.turn % len(q.waiting)
		if len(q.waiting[k]) > 0 && q.free[k] > 0 {
			j := q.waiting[k][0]
			q.waiting[k] = q.waiting[k][1:]
			if j.deadline <= now {
				return j, true, true
			}
			q.free[k]--
			return j, false, true
		}
		q.turn++
	}
	return nil, false, false
}

func (q *queues) done(_ time.Duration, j *job)             { q.free[j.server]++ }
func (q *queues) wake(time.Duration) (time.Duration, bool) { return 0, false }
func newQueues(n, slots int, pick func(*queues, *job) int) *queues {
	q := &queues{waiting: make([][]*job, n), free: make([]int, n), pick: pick}
	for k := range q.free {
		q.free[k] = slots
	}
	return q
}

func newFIFO([]kindOfWork) policy {
	return newQueues(1, simServers*simSlots, func(*queues, *job) int { return 0 })
}

func newRandom([]kindOfWork) policy {
	r := rand.New(rand.NewPCG(7, 7))
	return newQueues(simServers, simSlots, func(*queues, *job) int { return r.IntN(simServers) })
}

func newLeastLoaded([]kindOfWork) policy {
	return newQueues(simServers, simSlots, func(q *queues, _ *job) int {
		best := 0
		for k := range q.free {
			if len(q.waiting[k])-q.free[k] < len(q.waiting[best])-q.free[best] {
				best = k
			}
		}
		return best
	})
}

func newPartition(w []kindOfWork) policy {
	return newQueues(len(w), simServers*simSlots/len(w), func(_ *queues, j *job) int { return j.kind })
}
