package plan

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

type workerState struct {
	Worker
	pool         *jobPool
	used         Resources // charges of placed tasks
	reserved     Resources // for urgent tasks that wait for a preemption on this worker
	preemptible  Resources // charges of normal tasks that may still be preempted
	tasks        []*taskState
	waiting      []*taskState // urgent tasks, in the order of their reservation
	bucket       int
	bucketIndex  int // index in its bucket; -1: in none
	health       workerHealth
	inQuarantine bool
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
	name           string
	job            *jobState
	phase          taskPhase
	phaseSince     time.Duration // when the phase began
	started        time.Duration
	attempt        uint64
	worker         *workerState
	reservedOn     *workerState // while waiting
	charge         Resources    // to the worker and the team
	avoidWorker    string       // worker on which the last attempt failed
	cancelled      bool
	countedSuccess bool
	losses         int // with its worker, in a row
}

func (t *taskState) preempting() bool {
	return t.phase == phaseCheckpointing || t.phase == phaseThrottling || t.phase == phaseStopping
}

type jobState struct {
	Job
	team                *teamState
	pending             []*taskState
	tasks               []*taskState
	usage               jobUsage
	reason              string // why it can never run
	successes           [2]jobSuccess
	consecutiveFailures int           // on any worker
	retryAt             time.Duration // no task starts earlier
	beingCancelled      bool
}

type teamState struct {
	Team
	declared bool
	used     Resources
}

// coreClasses is the number of classes by which workers with the same number of free
// accelerators are divided by their free processors, in powers of two from one core.
const coreClasses = 8

// maxAccelerators is the greatest number of free accelerators with its own buckets;
// workers with more share its buckets.
const maxAccelerators = 64

// jobPool holds the workers of one pool in buckets by their free resources, so that a
// best fit is found without a scan of the pool.
type jobPool struct {
	name          string
	workers       []*workerState // by name
	buckets       [][]*workerState
	occupied      []int       // workers in the buckets of each accelerator count
	jobs          []*jobState // with pending tasks, in order of submission
	preemptCursor int         // index of the worker at which the next search for a preemption starts
	dirty         bool
	cancels       cancelQueue
	capacity      Resources // greatest of any worker in each dimension
	capacityStale bool      // capacity must be computed again
	suspects      map[*workerState]bool
	quarantined   []*workerState // oldest quarantine first
	recheck       bool           // jobs' reasons must be computed again
	teamOffset    int            // index of the team that the last pass began with
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

// addToBucket puts a worker into the bucket of its free resources. A worker that is down,
// quarantined or overcommitted is in no bucket.
func (p *jobPool) addToBucket(w *workerState) {
	p.removeFromBucket(w)
	free := w.free()
	if !w.Up || w.inQuarantine || free.MilliCores < 0 || free.MemoryMB < 0 || free.Accelerators < 0 {
		return
	}
	accelerators := int(min(free.Accelerators, maxAccelerators))
	w.bucket = accelerators*coreClasses + coreClass(free.MilliCores)
	w.bucketIndex = len(p.buckets[w.bucket])
	p.buckets[w.bucket] = append(p.buckets[w.bucket], w)
	p.occupied[accelerators]++
}

func (p *jobPool) removeFromBucket(w *workerState) {
	if w.bucketIndex < 0 {
		return
	}
	b := p.buckets[w.bucket]
	last := b[len(b)-1]
	b[w.bucketIndex] = last
	last.bucketIndex = w.bucketIndex
	p.buckets[w.bucket] = b[:len(b)-1]
	p.occupied[w.bucket/coreClasses]--
	w.bucketIndex = -1
}

// bestFit returns the worker with the fewest free accelerators, then the lowest class of
// free processors, that fits need.
func (p *jobPool) bestFit(need Resources, avoid string) *workerState {
	var avoided *workerState
	for a := int(min(need.Accelerators, maxAccelerators)); a <= maxAccelerators; a++ {
		if p.occupied[a] == 0 {
			continue
		}
		for c := coreClass(need.MilliCores); c < coreClasses; c++ {
			for _, w := range p.buckets[a*coreClasses+c] {
				if !need.fitsIn(w.free()) {
					continue
				}
				if w.Name != avoid {
					return w
				}
				avoided = w
			}
		}
	}
	// A worker on which the task failed is chosen only if it is the only worker of the pool.
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
	p.quarantined = slices.DeleteFunc(p.quarantined, func(o *workerState) bool { return o == w })
}

func compareWorkerName(w *workerState, name string) int { return cmp.Compare(w.Name, name) }
