// Package queue is the admission and dispatch core of one entry host. It holds
// bounded queues of requests per service and caller, learns which routes are
// long, reserves slots for short work and chooses backend servers. It has no
// clock, goroutine, randomness or I/O: the driver passes the time since its
// start to each call that depends on time. It is not safe for concurrent use.
//
// After any call that changes state the driver calls Next until it returns
// false, and again at the time that NextTime returns.
package queue

import (
	"container/list"
	"fmt"
	"time"
)

// ID identifies one submitted request.
type ID uint64

// Class is the run-time class of a request.
type Class int

// Classes of requests.
const (
	Short Class = iota
	Long
	classCount
)

// Lanes of a service. Each holds the queued requests of one kind.
const (
	laneShort   = iota
	laneUnknown // routes with too few observations to have a class
	laneLong
	laneDeferrable // deferrable requests of any class
	laneCount
)

// ServiceConfig holds the limits of one service.
type ServiceConfig struct {
	ShortSlotsPercent int           // share of the slots reserved for short work, 0-100
	LongThreshold     time.Duration // work that runs at least this long is long
	MaxPerCaller      int           // queued requests of one caller
	MaxQueued         int           // queued requests of all callers
	Deferrable        bool          // requests yield to other work and may wait until their deadline
}

// Request is submitted by the driver.
type Request struct {
	Service    string
	Caller     string
	Route      string        // method and first two path segments
	Deadline   time.Duration // since the start of the driver; 0: none
	Deferrable bool          // in addition to the service's setting
}

// Rejection is the reason why a request was not queued or left the queue.
type Rejection struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Reason is the cause of a rejection.
type Reason int

// Reasons of rejections.
const (
	UnknownService Reason = iota + 1
	NoSlots               // the entry has no slot of the service
	CallerFull
	ServiceFull
	DeadlineMissed // the deadline has passed, or the estimated end is after it
)

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	Start  ActionKind = iota + 1 // send the request to Server
	Expire                       // reject the request; its deadline passed while it was queued
)

// Action is what the driver must do next.
type Action struct {
	Kind       ActionKind
	ID         ID
	Server     string
	Waited     time.Duration
	Class      Class
	RetryAfter time.Duration
}

// state of a request.
type state int

const (
	queued state = iota
	running
)

type item struct {
	id            ID
	svc           *service
	caller        string
	route         *route
	deadline      time.Duration // noDeadline: none
	deferrable    bool
	enqueued      time.Duration
	state         state
	class         Class
	lane          *lane          // nil unless queued
	queue         *callerQueue   // its caller's queue in lane, nil unless queued
	avoid         string         // server of the attempt before a requeue
	secondsInLane float64        // expected run time when it was queued, part of lane.totalSeconds
	heapIndex     [heapCount]int // index in each heap, -1: absent
	// The fields below are used only while the item is running.
	server             *server
	started            time.Duration
	reachedThreshold   bool          // has run for LongThreshold and was observed as long
	unknownAtStart     bool          // its route was not known when it started; reset once it has run for LongThreshold
	belowThresholdElem *list.Element // its element of service.belowThreshold, nil once it has left the list
}

const noDeadline = time.Duration(1<<63 - 1)

type service struct {
	name    string
	cfg     ServiceConfig
	lanes   [laneCount]*lane
	callers map[string]int // queued items by caller
	// deadlines orders all queued items that have one.
	deadlines itemHeap
	routes    map[string]*route
	// belowThreshold holds the running items that have run for less than
	// LongThreshold, oldest first.
	belowThreshold *list.List
	// postponed holds the postponed observations, the one due first at the front.
	postponed      []postponedObservation
	running        int
	runningLong    int // running items of class Long
	runningUnknown int // running items with unknownAtStart set
	queued         int
	slots          int
	servers        []*server
	runsOfClass    [classCount]int     // run times in meanRunSeconds
	meanRunSeconds [classCount]float64 // moving average of run times; 0 before the first observation
	arrived        uint64
	// peakDemand is the greatest demand for slots by short work, observed at
	// peakDemandTime. It decays with a half-life of peakHalfLife.
	peakDemand     float64
	peakDemandTime time.Duration
	// recentDemand is the same with the much shorter half-life recentHalfLife.
	recentDemand     float64
	recentDemandTime time.Duration
	// movesPending is set when maxMoves was reached, so that items may remain in
	// the lane of their route's former class.
	movesPending bool
}

// Core is the queue core of one entry host.
type Core struct {
	services        map[string]*service
	orderedServices []*service // in order of configuration, for determinism
	servers         map[string]*server
	items           map[ID]*item
	nextID          ID
	startSequence   uint64
	firstService    int // index of the service that Next tries first
}

// New returns an empty core.
func New() *Core {
	return &Core{
		services: make(map[string]*service),
		servers:  make(map[string]*server),
		items:    make(map[ID]*item),
	}
}

// Defaults of unset limits.
const (
	defaultMaxPerCaller  = 64
	defaultMaxQueued     = 4096
	defaultLongThreshold = time.Second
)

// SetService adds a service or changes its limits. Work already queued stays.
func (c *Core) SetService(name string, cfg ServiceConfig) {
	if cfg.MaxPerCaller <= 0 {
		cfg.MaxPerCaller = defaultMaxPerCaller
	}
	if cfg.MaxQueued <= 0 {
		cfg.MaxQueued = defaultMaxQueued
	}
	if cfg.LongThreshold <= 0 {
		cfg.LongThreshold = defaultLongThreshold
	}
	cfg.ShortSlotsPercent = max(0, min(100, cfg.ShortSlotsPercent))
	if s := c.services[name]; s != nil {
		s.cfg = cfg
		return
	}
	s := &service{
		name:           name,
		cfg:            cfg,
		callers:        make(map[string]int),
		routes:         make(map[string]*route),
		belowThreshold: list.New(),
	}
	s.deadlines.kind = serviceHeap
	for k := range s.lanes {
		s.lanes[k] = newLane()
	}
	c.services[name] = s
	c.orderedServices = append(c.orderedServices, s)
}

// Submit queues a request. The driver then calls Next.
func (c *Core) Submit(now time.Duration, r Request) (ID, *Rejection) {
	s := c.services[r.Service]
	if s == nil {
		return 0, &Rejection{Reason: UnknownService}
	}
	s.arrived++
	it := &item{
		svc:        s,
		caller:     r.Caller,
		route:      s.routeOf(r.Route),
		deadline:   r.Deadline,
		deferrable: r.Deferrable || s.cfg.Deferrable,
		enqueued:   now,
		heapIndex:  [heapCount]int{-1, -1, -1},
	}
	if it.deadline <= 0 {
		it.deadline = noDeadline
	}
	it.class = it.route.startClass()
	if rej := c.admit(now, s, it); rej != nil {
		return 0, rej
	}
	c.nextID++
	it.id = c.nextID
	c.items[it.id] = it
	s.enqueue(it)
	s.observeDemand(now)
	return it.id, nil
}

func (c *Core) admit(now time.Duration, s *service, it *item) *Rejection {
	wait := s.estimateWait(it)
	switch {
	case s.slots == 0 && !it.deferrable:
		return &Rejection{Reason: NoSlots, RetryAfter: time.Second}
	case s.callers[it.caller] >= s.cfg.MaxPerCaller:
		return &Rejection{Reason: CallerFull, RetryAfter: atLeastASecond(wait)}
	case s.queued >= s.cfg.MaxQueued:
		return &Rejection{Reason: ServiceFull, RetryAfter: atLeastASecond(wait)}
	case it.deadline == noDeadline:
		return nil
	case it.deadline <= now:
		return &Rejection{Reason: DeadlineMissed, RetryAfter: atLeastASecond(wait)}
	}
	// A request that need not wait is admitted even if its expected end is after its deadline:
	// otherwise a route whose learned run time exceeds its deadline would never be observed again.
	total := wait + it.route.expectedRun()
	if wait > 0 && now+total > it.deadline {
		return &Rejection{Reason: DeadlineMissed, RetryAfter: atLeastASecond(now + total - it.deadline)}
	}
	return nil
}

func atLeastASecond(d time.Duration) time.Duration {
	return max(d, time.Second)
}

// Cancel withdraws a queued request. It returns false if the request is
// running or unknown; a running request ends with Done.
func (c *Core) Cancel(id ID) bool {
	it := c.items[id]
	if it == nil || it.state != queued {
		return false
	}
	it.svc.dequeue(it)
	delete(c.items, id)
	return true
}

// Requeue returns a started request to the queue after a failed attempt that
// wrote nothing to the server or that may be retried. The next attempt prefers
// other servers. The run time of the failed attempt is not learned.
func (c *Core) Requeue(now time.Duration, id ID) bool {
	it := c.items[id]
	if it == nil || it.state != running {
		return false
	}
	it.avoid = it.server.name
	it.release()
	c.removeIfIdle(it.server)
	it.server = nil
	it.reachedThreshold = false
	it.unknownAtStart = false
	it.state = queued
	it.class = it.route.startClass()
	it.enqueued = now
	it.svc.enqueue(it)
	return true
}

// Done ends a started request and learns its run time. learn is false for
// attempts whose run time does not reflect the route, such as a refused
// connection.
func (c *Core) Done(now time.Duration, id ID, learn bool) bool {
	it := c.items[id]
	if it == nil || it.state != running {
		return false
	}
	run := now - it.started
	it.release()
	c.removeIfIdle(it.server)
	if learn {
		it.svc.learn(it, run)
	}
	delete(c.items, id)
	return true
}

// Next returns the next action due at time now, or false if there is none.
func (c *Core) Next(now time.Duration) (Action, bool) {
	for _, s := range c.orderedServices {
		if a, ok := c.expire(now, s); ok {
			return a, true
		}
		s.reclassify(now)
		s.movesPending = false
	}
	for phase := range phaseCount {
		for k := range c.orderedServices {
			s := c.orderedServices[(c.firstService+k)%len(c.orderedServices)]
			if a, ok := c.start(now, s, phase); ok {
				c.firstService = (c.firstService + k + 1) % len(c.orderedServices)
				return a, true
			}
		}
	}
	return Action{}, false
}

func (c *Core) expire(now time.Duration, s *service) (Action, bool) {
	it := s.deadlines.head()
	if it == nil || it.deadline > now {
		return Action{}, false
	}
	s.dequeue(it)
	delete(c.items, it.id)
	retry := atLeastASecond(s.estimateWait(it))
	return Action{Kind: Expire, ID: it.id, Class: it.class, Waited: now - it.enqueued, RetryAfter: retry}, true
}

// Phases of the search for the next request, in order of precedence: deferrable
// work that must start now to meet its deadline comes first, deferrable work
// that can wait comes last.
const (
	phaseDue = iota
	phaseShort
	phaseUnknown
	phaseLong
	phaseDeferrable
	phaseCount
)

func (c *Core) start(now time.Duration, s *service, phase int) (Action, bool) {
	it := s.candidate(now, phase)
	if it == nil || !s.mayStart(now, it, phase) {
		return Action{}, false
	}
	class := it.route.startClass()
	srv := s.choose(now, class, it.avoid)
	if srv == nil {
		return Action{}, false
	}
	l := it.lane
	s.dequeue(it)
	l.rotate(it)
	it.state = running
	it.class = class
	it.started = now
	it.server = srv
	it.unknownAtStart = !it.route.known()
	c.startSequence++
	srv.lastStart = c.startSequence
	it.acquire()
	return Action{Kind: Start, ID: it.id, Server: srv.name, Waited: now - it.enqueued, Class: class}, true
}

// NextTime returns the time at which Next must be called again if no other call
// comes before. It is called after Next has returned false at time now.
func (c *Core) NextTime(now time.Duration) (time.Duration, bool) {
	next := noDeadline
	for _, s := range c.orderedServices {
		if it := s.deadlines.head(); it != nil {
			next = min(next, it.deadline)
		}
		if s.movesPending {
			return now, true
		}
		if it := s.lanes[laneDeferrable].byDeadline.head(); it != nil && it.deadline != noDeadline {
			// Work that is already due waits for a slot, and the end of running work
			// calls Next in any case, so no timer is needed.
			if at := s.latestStart(it); at > now {
				next = min(next, at)
			}
		}
		if e := s.belowThreshold.Front(); e != nil {
			next = min(next, e.Value.(*item).started+s.cfg.LongThreshold)
		}
	}
	return next, next != noDeadline
}

// Check returns an error that names the first invariant that does not hold.
func (c *Core) Check() error {
	for _, s := range c.orderedServices {
		ofCallers := 0
		for _, n := range s.callers {
			ofCallers += n
		}
		inLanes := 0
		for _, l := range s.lanes {
			inLanes += l.count
		}
		if ofCallers != s.queued || inLanes != s.queued {
			return fmt.Errorf("queue: service %s counts %d queued, callers hold %d, lanes hold %d", s.name, s.queued, ofCallers, inLanes)
		}
		if s.runningLong < 0 || s.runningUnknown < 0 || s.runningLong+s.runningUnknown > s.running {
			return fmt.Errorf("queue: service %s runs %d, of these %d long and %d of unknown routes", s.name, s.running, s.runningLong, s.runningUnknown)
		}
	}
	for _, srv := range c.servers {
		if srv.running < 0 || srv.long < 0 || srv.long > srv.running || srv.running > srv.maxSlots {
			return fmt.Errorf("queue: server %s runs %d of at most %d, %d long", srv.name, srv.running, srv.maxSlots, srv.long)
		}
	}
	return nil
}
