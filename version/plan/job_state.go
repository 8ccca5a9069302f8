package plan

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

type workerState struct {
	Worker
	pool      *jobPool
	used      Resources // charges of placed tasks
	reserved  Resources // for urgent tasks that wait for a preemption here
	yielding  Resources // charges of normal tasks that may still be preempted
	tasks     []*taskState
	waiting   []*taskState // urgent tasks, in the order of their reservation
	bucket    int
	at        int // index in its bucket; -1: in none
	health    workerHealth
	suspended bool // in quarantine
}

func (w *workerState) free() Resources { return w.Capacity.minus(w.used).minus(w.reserved) }

type taskPhase int

const (
	phasePending taskPhase = iota
	phaseWaiting           // reserved on a worker whose normal work is being preempted
	phaseRunning
	phaseCheckpointing
	phaseThrottling
	phaseStopping
)

type taskState struct {
	name      string
	job       *jobState
	phase     taskPhase
	since     time.Duration // of the phase
	started   time.Duration
	attempt   uint64
	worker    *workerState
	reserved  *workerState // while waiting
	charge    Resources    // counted on the worker and the team
	avoid     string       // worker on which the last attempt failed
	cancelled bool
	healthy   bool
}

func (t *taskState) preempting() bool {
	return t.phase == phaseCheckpointing || t.phase == phaseThrottling || t.phase == phaseStopping
}

type jobState struct {
	Job
	team    *teamState
	pending []*taskState
	tasks   []*taskState
	usage   jobUsage
	reason  string // why it can never run
	success [2]jobSuccess
	failed  int           // failures in a row, on any worker
	retryAt time.Duration // no start before
	gone    bool
}

type teamState struct {
	Team
	known bool
	used  Resources
}

// coreClasses is the number of classes of free processors within an accelerator
// count, by powers of two from one core.
const coreClasses = 8

// maxAccelerators is the greatest number of free accelerators with its own buckets.
const maxAccelerators = 64

// jobPool holds the workers of one pool in buckets by what they have free, so that
// a best fit is found without a scan of the pool.
type jobPool struct {
	name     string
	workers  []*workerState // by name
	buckets  [][]*workerState
	occupied []int       // workers in the buckets of each accelerator count
	jobs     []*jobState // with pending tasks, in order of submission
	cursor   int         // where the next search for a preemption starts
	dirty    bool
	cancels  cancelQueue
	capacity Resources // greatest of any worker in each dimension
	stale    bool      // capacity must be computed again
	suspects map[*workerState]bool
	held     []*workerState // in quarantine, oldest first
	recheck  bool           // jobs' reasons must be computed again
	turn     int            // team turn of the last pass
}

func newJobPool(name string) *jobPool {
	return &jobPool{
		name:     name,
		buckets:  make([][]*workerState, (maxAccelerators+1)*coreClasses),
		occupied: make([]int, maxAccelerators+1),
		suspects: map[*workerState]bool{},
	}
}

func coreClass(milliCores int64) int {
	if milliCores < 1000 {
		return 0
	}
	return min(coreClasses-1, bits.Len64(uint64(milliCores/1000)))
}

// index files a worker by what it has free; a worker without room is in no bucket.
func (p *jobPool) index(w *workerState) {
	p.unindex(w)
	free := w.free()
	if !w.Up || w.suspended || free.MilliCores < 0 || free.MemoryMB < 0 || free.Accelerators < 0 {
		return
	}
	accelerators := int(min(free.Accelerators, maxAccelerators))
	w.bucket = accelerators*coreClasses + coreClass(free.MilliCores)
	w.at = len(p.buckets[w.bucket])
	p.buckets[w.bucket] = append(p.buckets[w.bucket], w)
	p.occupied[accelerators]++
}

func (p *jobPool) unindex(w *workerState) {
	if w.at < 0 {
		return
	}
	b := p.buckets[w.bucket]
	last := b[len(b)-1]
	b[w.at] = last
	last.at = w.at
	p.buckets[w.bucket] = b[:len(b)-1]
	p.occupied[w.bucket/coreClasses]--
	w.at = -1
}

// find returns the worker with the fewest free accelerators, then processors, that takes need.
func (p *jobPool) find(need Resources, avoid string) *workerState {
	var avoided *workerState
	for a := int(min(need.Accelerators, maxAccelerators)); a <= maxAccelerators; a++ {
		if p.occupied[a] == 0 {
			continue
		}
		for c := coreClass(need.MilliCores); c < coreClasses; c++ {
			for _, w := range p.buckets[a*coreClasses+c] {
				if !need.fits(w.free()) {
					continue
				}
				if w.Name != avoid {
					return w
				}
				avoided = w
			}
		}
	}
	// A worker that failed the task is better than none only when it is the pool's sole worker.
	if len(p.workers) == 1 {
		return avoided
	}
	return nil
}

func (p *jobPool) insert(w *workerState) {
	at, _ := slices.BinarySearchFunc(p.workers, w.Name, compareWorkerName)
	p.workers = slices.Insert(p.workers, at, w)
}

func (p *jobPool) remove(w *workerState) {
	if at, ok := slices.BinarySearchFunc(p.workers, w.Name, compareWorkerName); ok {
		p.workers = slices.Delete(p.workers, at, at+1)
	}
	delete(p.suspects, w)
	p.held = slices.DeleteFunc(p.held, func(o *workerState) bool { return o == w })
}

func compareWorkerName(w *workerState, name string) int { return cmp.Compare(w.Name, name) }
