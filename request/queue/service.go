package queue

import (
	"math"
	"slices"
	"sort"
	"time"
)

// route is what is known about one method and path prefix of a service.
type route struct {
	class    Class
	longness float64 // moving share of work that exceeded the threshold
	seen     int
	runs     int
	seconds  float64 // moving average of run times
	// settled is the moving average of run times up to the threshold. From there
	// on the slot is counted as held by long work.
	settled float64
}

const (
	// maxRoutes bounds the routes learned per service; a path that carries an
	// identifier in its first two segments would otherwise grow the map for ever.
	maxRoutes = 1024
	// knownAfter observations a route's class is relied upon.
	knownAfter = 3
	// classWeight is the weight of a new observation of a route's class.
	classWeight = 0.2
	// runWeight is the least weight of a new run time in a moving average. Run
	// times vary much more than classes; with a greater weight the estimates of
	// the wait swing by a third, and requests are rejected that would start in time.
	runWeight = 0.02
	// A route is long from longFrom on and short again below shortBelow. The gap
	// keeps a route with a few stragglers from changing class back and forth.
	longFrom   = 0.5
	shortBelow = 0.1
	// peakHalfLife is long against the time between two bursts of a service.
	peakHalfLife = 60 * time.Second
	// peakMargin makes up for the decay between bursts.
	peakMargin = 1.1
	// paceMargin makes up for deferrable work that arrives later or runs longer.
	paceMargin = 3
	// Short work is quiet while its recent demand is below this share of its peak.
	// With more than a third, the variation of a steady load counts as quiet.
	quietShare = 0.2
	// recentHalfLife is short against the time between two bursts.
	recentHalfLife = 500 * time.Millisecond
	// quietKept is the part of the kept slots that stays free in quiet times, so
	// that single short requests do not wait for long work.
	quietKept = 16
	// leastLong: long work may always hold a quarter of its configured limit.
	leastLong = 4
	// maxMoves bounds the queued items that one call moves to another lane after
	// their route changed class, so that the cost of a call stays bounded.
	maxMoves = 16
)

func (r *route) known() bool { return r.seen >= knownAfter }

// lasting returns the class that work of the route is started in: short until
// the route is known.
func (r *route) lasting() Class {
	if r.known() {
		return r.class
	}
	return Short
}

// run returns the expected run time, 0 if the route is not known.
func (r *route) run() time.Duration {
	if !r.known() {
		return 0
	}
	return seconds(r.cost())
}

// cost is the time, in seconds, that work of the route is expected to hold a
// slot of its class. The estimates of waits take the slots that stragglers hold
// away, so the time of stragglers must not count here a second time.
func (r *route) cost() float64 {
	if r.class == Short {
		return r.settled
	}
	return r.seconds
}

func (r *route) observe(long bool) {
	value := 0.0
	if long {
		value = 1
	}
	if r.seen == 0 {
		r.longness = shortBelow
	}
	r.seen++
	r.longness += classWeight * (value - r.longness)
	if r.longness >= longFrom {
		r.class = Long
	}
	if r.longness < shortBelow {
		r.class = Short
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// overflowRoute collects the routes beyond maxRoutes.
const overflowRoute = "*"

func (s *service) routeOf(name string) *route {
	r := s.routes[name]
	if r != nil {
		return r
	}
	if len(s.routes) >= maxRoutes {
		name = overflowRoute
		if r = s.routes[name]; r != nil {
			return r
		}
	}
	r = &route{}
	s.routes[name] = r
	return r
}

// laneOf returns the lane an item belongs in. Unknown routes have a lane of
// their own: as they may not use the slots kept for short work, they would
// otherwise hold up known short work behind them.
func (s *service) laneOf(it *item) *lane {
	switch {
	case it.deferrable:
		return s.lanes[laneLate]
	case !it.route.known():
		return s.lanes[laneUnknown]
	case it.route.class == Long:
		return s.lanes[laneLong]
	}
	return s.lanes[laneShort]
}

func (s *service) enqueue(it *item) {
	it.state = queued
	s.laneOf(it).add(it)
	if it.deadline != noDeadline {
		s.deadlines.add(it)
	}
	s.callers[it.caller]++
	s.queued++
}

func (s *service) dequeue(it *item) {
	it.lane.remove(it)
	s.deadlines.remove(it)
	s.queued--
	s.callers[it.caller]--
	if s.callers[it.caller] == 0 {
		delete(s.callers, it.caller)
	}
}

// longLimit is the number of slots that long work may hold at once by
// configuration. With a single slot, long work may use it: otherwise it would
// never run.
func (s *service) longLimit() int {
	kept := (s.slots*s.cfg.ShortSlotsPercent + 99) / 100
	return max(1, s.slots-kept)
}

// usualLongLimit is the number of slots that long work which need not start
// now may hold: it leaves as many slots as short work has needed lately. A
// fixed share alone is too small when bursts of short work follow bursts of
// long work, because running long work cannot be stopped.
func (s *service) usualLongLimit(now time.Duration) int {
	limit := s.longLimit()
	needed := int(math.Ceil(s.peakAt(now) * peakMargin))
	return min(limit, max(s.slots-needed, (limit+3)/leastLong))
}

// pace is the number of slots that deferrable work needs from now on so that
// all of it ends before the earliest deadline.
func (s *service) pace(now time.Duration, phase int) int {
	it := s.lanes[laneLate].first.head()
	if phase != phaseLate || it == nil || it.deadline == noDeadline {
		return 0
	}
	left := max(it.deadline-now, time.Second)
	return int(math.Ceil(paceMargin * s.lanes[laneLate].seconds / left.Seconds()))
}

// peakAt is the greatest demand for slots by short work, halved every peakHalfLife.
func (s *service) peakAt(now time.Duration) float64 {
	return s.peak * math.Exp2(-float64(now-s.peakTime)/float64(peakHalfLife))
}

// quiet reports whether short work demands far less than at its peak, as between
// two bursts.
func (s *service) quiet(now time.Duration) bool {
	return s.recentAt(now) < quietShare*s.peakAt(now)
}

func (s *service) recentAt(now time.Duration) float64 {
	return s.recentPeak * math.Exp2(-float64(now-s.recentTime)/float64(recentHalfLife))
}

// quietLimit is the number of slots that deferrable work may hold in quiet
// times. What it leaves undone then comes due in the next burst of short work.
func (s *service) quietLimit() int {
	kept := s.slots - s.longLimit()
	return s.slots - max(1, kept/quietKept)
}

func (s *service) observeDemand(now time.Duration) {
	demand := float64(min(s.slots, s.running-s.long+s.lanes[laneShort].count))
	if demand >= s.recentAt(now) {
		s.recentPeak = demand
		s.recentTime = now
	}
	if demand >= s.peakAt(now) {
		s.peak = demand
		s.peakTime = now
	}
}

// mayStart keeps slots for short work. Work of an unknown route is not yet
// known to be short, so it does not use the slots kept for short work.
func (s *service) mayStart(now time.Duration, it *item, phase int) bool {
	if it.route.known() && it.route.class == Short {
		return true
	}
	limit := s.longLimit()
	if it.route.known() && phase != phaseDue {
		limit = max(s.usualLongLimit(now), min(limit, s.pace(now, phase)))
	}
	if it.route.known() && it.deferrable && s.quiet(now) {
		limit = max(limit, s.quietLimit())
	}
	return s.long+s.guessed < limit
}

// candidate returns the item that may start in a phase.
func (s *service) candidate(now time.Duration, phase int) *item {
	late := s.lanes[laneLate]
	switch phase {
	case phaseDue:
		it := late.first.head()
		if it == nil || it.deadline == noDeadline || now < s.latestStart(it) {
			return nil
		}
		return it
	case phaseShort:
		return s.settled(laneShort)
	case phaseUnknown:
		return s.settled(laneUnknown)
	case phaseLong:
		return s.settled(laneLong)
	}
	it := late.head()
	if it == nil || s.lanes[laneShort].count+s.lanes[laneUnknown].count > 0 {
		return nil
	}
	if s.lanes[laneLong].count > 0 && it.route.lasting() == Long {
		return nil
	}
	return it
}

// settled returns the head of a lane after moving items whose route has
// changed class to their new lane.
func (s *service) settled(k int) *item {
	l := s.lanes[k]
	for range maxMoves {
		it := l.head()
		if it == nil || s.laneOf(it) == l {
			return it
		}
		l.remove(it)
		it.class = it.route.lasting()
		s.laneOf(it).add(it)
	}
	s.unsettled = true
	return nil
}

// latestStart is when deferrable work must be preferred so that all of it
// starts before the earliest deadline: the time that the queued deferrable
// work takes on the slots it may use, and one run to wait for a slot.
func (s *service) latestStart(it *item) time.Duration {
	slots := s.slots
	if it.route.lasting() == Long || !it.route.known() {
		slots = s.longLimit()
	}
	need := s.lanes[laneLate].seconds/float64(max(1, slots)) + s.expected(it)
	return it.deadline - seconds(need)
}

func (s *service) expected(it *item) float64 {
	if it.route.known() {
		return it.route.cost()
	}
	return s.mean[it.route.lasting()]
}

// estimate is the expected wait of an item if it were queued now.
func (s *service) estimate(it *item) time.Duration {
	if s.slots == 0 {
		return time.Second
	}
	shortSlots := float64(max(1, s.slots-min(s.long, s.slots)))
	longSlots := float64(s.longLimit())
	short := s.ahead(s.lanes[laneShort], it) + s.ahead(s.lanes[laneUnknown], it)
	long := s.ahead(s.lanes[laneLong], it)
	forShort := short / shortSlots
	forLong := forShort + long/longSlots
	switch {
	case it.deferrable:
		late := s.ahead(s.lanes[laneLate], it) / longSlots
		return seconds(forLong + late)
	case it.class == Long:
		if s.long+s.guessed >= s.longLimit() {
			forLong += s.mean[Long] / longSlots
		}
		return seconds(forLong)
	}
	if s.running >= s.slots {
		forShort += s.mean[Short] / shortSlots
	}
	return seconds(forShort)
}

// ahead is the expected run time, in seconds, of the items that start before
// an item: as callers take turns, no more than its own caller's items times
// the callers that wait.
func (s *service) ahead(l *lane, it *item) float64 {
	if l.count == 0 {
		return 0
	}
	own := 0
	if q := l.callers[it.caller]; q != nil {
		own = q.heap.Len()
	}
	items := min(l.count, (own+1)*len(l.callers))
	return l.seconds * float64(items) / float64(l.count)
}

// ended is work of a long route that ended before the threshold.
type ended struct {
	route *route
	due   time.Duration // when it would have crossed the threshold
}

// postpone puts off the observation that work was short until it would have
// crossed the threshold. Of work that starts together, the short ends first:
// observed at once, a long route would be taken for short at each burst, until
// the rest crosses the threshold.
func (s *service) postpone(it *item) {
	e := ended{it.route, it.started + s.cfg.LongThreshold}
	at := sort.Search(len(s.ended), func(k int) bool { return s.ended[k].due > e.due })
	s.ended = slices.Insert(s.ended, at, e)
}

// observeEnded takes the postponed observations up to a time.
func (s *service) observeEnded(until time.Duration) {
	n := 0
	for n < len(s.ended) && s.ended[n].due <= until {
		s.ended[n].route.observe(false)
		n++
	}
	s.ended = slices.Delete(s.ended, 0, n)
}

// reclass counts running work that has crossed the threshold as long.
func (s *service) reclass(now time.Duration) {
	defer s.observeEnded(now)
	for e := s.recent.Front(); e != nil; e = s.recent.Front() {
		it := e.Value.(*item)
		if now-it.started < s.cfg.LongThreshold {
			return
		}
		s.observeEnded(it.started + s.cfg.LongThreshold)
		s.recent.Remove(e)
		it.runElem = nil
		it.crossed = true
		it.route.observe(true)
		if it.class == Short {
			it.class = Long
			s.long++
			it.server.long++
		}
		if it.guess {
			it.guess = false
			s.guessed--
		}
	}
}

func (s *service) learn(it *item, run time.Duration) {
	r := it.route
	switch {
	case it.crossed:
	case run < s.cfg.LongThreshold && r.known() && r.class == Long:
		s.postpone(it)
	default:
		r.observe(run >= s.cfg.LongThreshold)
	}
	r.runs++
	average(&r.seconds, run, r.runs)
	average(&r.settled, min(run, s.cfg.LongThreshold), r.runs)
	class := Short
	if run >= s.cfg.LongThreshold {
		class = Long
	}
	s.seen[class]++
	average(&s.mean[class], run, s.seen[class])
}

// average adds the n-th observation to a moving average.
func average(mean *float64, run time.Duration, n int) {
	*mean += max(1/float64(n), runWeight) * (run.Seconds() - *mean)
}

// acquire counts a request that starts.
func (it *item) acquire() {
	s := it.svc
	s.running++
	it.server.running++
	it.server.peak = max(it.server.peak, it.server.running)
	it.runElem = s.recent.PushBack(it)
	if it.class == Long {
		s.long++
		it.server.long++
	}
	if it.guess {
		s.guessed++
	}
}

// release counts a request that ends.
func (it *item) release() {
	s := it.svc
	s.running--
	it.server.running--
	if it.runElem != nil {
		s.recent.Remove(it.runElem)
		it.runElem = nil
	}
	if it.class == Long {
		s.long--
		it.server.long--
	}
	if it.guess {
		s.guessed--
	}
}
