package queue

import (
	"container/heap"
	"container/list"
)

// Heaps of which an item is a member at the same time. A constant is the index
// of the item's position in item.heapIndex.
const (
	callerHeap  = iota // callerQueue.heap
	serviceHeap        // service.deadlines
	laneHeap           // lane.byDeadline
	heapCount
)

// itemHeap orders items by deadline, then by arrival.
type itemHeap struct {
	items []*item
	kind  int // index into item.heapIndex: callerHeap, serviceHeap or laneHeap
}

func (h *itemHeap) Len() int { return len(h.items) }
func (h *itemHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.id < b.id
}
func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex[h.kind] = i
	h.items[j].heapIndex[h.kind] = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.heapIndex[h.kind] = len(h.items)
	h.items = append(h.items, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	n := len(h.items) - 1
	it := h.items[n]
	h.items[n] = nil
	h.items = h.items[:n]
	it.heapIndex[h.kind] = -1
	return it
}

func (h *itemHeap) head() *item {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (h *itemHeap) add(it *item) { heap.Push(h, it) }

func (h *itemHeap) remove(it *item) {
	if i := it.heapIndex[h.kind]; i >= 0 {
		heap.Remove(h, i)
	}
}

// callerQueue holds one caller's items of one lane, earliest deadline first.
type callerQueue struct {
	caller string
	heap   itemHeap
	elem   *list.Element // its element of lane.ring
}

// lane holds the queued items of one kind, by caller. Callers are served round
// robin.
type lane struct {
	callers      map[string]*callerQueue
	ring         *list.List // of *callerQueue; the front is served next
	byDeadline   itemHeap   // all items by deadline
	count        int
	totalSeconds float64 // sum of secondsInLane of all items
}

func newLane() *lane {
	l := &lane{callers: make(map[string]*callerQueue), ring: list.New()}
	l.byDeadline.kind = laneHeap
	return l
}

func (l *lane) add(it *item) {
	q := l.callers[it.caller]
	if q == nil {
		q = &callerQueue{caller: it.caller}
		q.elem = l.ring.PushBack(q)
		l.callers[it.caller] = q
	}
	q.heap.add(it)
	l.byDeadline.add(it)
	it.lane = l
	it.queue = q
	l.count++
	it.secondsInLane = it.svc.expectedSeconds(it)
	l.totalSeconds += it.secondsInLane
}

func (l *lane) remove(it *item) {
	q := it.queue
	q.heap.remove(it)
	l.byDeadline.remove(it)
	it.lane = nil
	it.queue = nil
	l.count--
	l.totalSeconds -= it.secondsInLane
	if l.count == 0 {
		l.totalSeconds = 0 // discards the accumulated rounding error
	}
	if q.heap.Len() == 0 {
		l.ring.Remove(q.elem)
		delete(l.callers, q.caller)
	}
}

// head returns the item to start next: the one with the earliest deadline of the
// caller at the front of the ring.
func (l *lane) head() *item {
	e := l.ring.Front()
	if e == nil {
		return nil
	}
	return e.Value.(*callerQueue).heap.head()
}

// rotate moves the caller of an item that has just started to the back of the
// ring.
func (l *lane) rotate(it *item) {
	if q := l.callers[it.caller]; q != nil {
		l.ring.MoveToBack(q.elem)
	}
}
