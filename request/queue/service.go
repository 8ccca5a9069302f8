package queue

import (
	"math"
	"slices"
	"sort"
	"time"
)

// route holds the learned run times of one method and path prefix of a service.
type route struct {
	class             Class
	longShare         float64 // moving average of the share of work that ran for at least LongThreshold
	classObservations int     // observations in longShare
	runCount          int     // run times in meanSeconds and meanCappedSeconds
	meanSeconds       float64 // moving average of run times
	// meanCappedSeconds is the moving average of run times, each capped at
	// LongThreshold: beyond it the slot is counted as held by long work.
	meanCappedSeconds float64
}

const (
	// maxRoutes bounds the routes learned per service; a path that carries an
	// identifier in its first two segments would otherwise grow the map without bound.
	maxRoutes = 1024
	// minObservations is the least number of observations with which a route's
	// class is used.
	minObservations = 3
	// classWeight is the weight of a new observation of a route's class.
	classWeight = 0.2
	// minRunWeight is the least weight of a new run time in a moving average. Run
	// times vary much more than classes; with a greater weight the estimates of
	// the wait vary by a third, and requests that would start in time are rejected.
	minRunWeight = 0.02
	// A route becomes long when its longShare reaches becomesLongAt, and short again
	// when it falls below becomesShortBelow. The gap prevents a route with a few
	// stragglers from changing class back and forth.
	becomesLongAt     = 0.5
	becomesShortBelow = 0.1
	// peakHalfLife is the half-life of service.peakDemand. It is long compared with
	// the time between two bursts of a service.
	peakHalfLife = 60 * time.Second
	// peakMargin is the factor on the decayed peak demand that compensates for its
	// decay between bursts.
	peakMargin = 1.1
	// deadlineMargin is the factor on the slots that deferrable work needs to meet its
	// deadline. It compensates for deferrable work that arrives later or runs longer
	// than expected.
	deadlineMargin = 3
	// lowDemandShare is the share of the peak demand of short work below which its
	// recent demand counts as low. With more than a third, the variation of a steady
	// load would count as low demand.
	lowDemandShare = 0.2
	// recentHalfLife is the half-life of service.recentDemand. It is short compared
	// with the time between two bursts.
	recentHalfLife = 500 * time.Millisecond
	// lowDemandReserveDivisor sets the part of the reserved slots (1/16) that stays
	// free while the demand of short work is low, so that single short requests do
	// not wait for long work.
	lowDemandReserveDivisor = 16
	// minLongDivisor sets the part of its configured limit (1/4) that long work may
	// hold whatever the demand of short work.
	minLongDivisor = 4
	// maxMoves limits the queued items that one call moves to another lane after
	// their route changed class, so that the cost of a call stays bounded.
	maxMoves = 16
)

// known reports whether the route's class and run time are used.
func (r *route) known() bool { return r.classObservations >= minObservations }

// startClass returns the class that work of the route is started in: short until
// the route is known.
func (r *route) startClass() Class {
	if r.known() {
		return r.class
	}
	return Short
}

// expectedRun returns the expected run time, or 0 if the route is not known.
func (r *route) expectedRun() time.Duration {
	if !r.known() {
		return 0
	}
	return durationOf(r.slotSeconds())
}

// slotSeconds is the time that work of the route is expected to hold a slot of
// its class. Of a short route the time that stragglers run beyond LongThreshold is
// not included: the estimates of the wait already subtract the slots that
// stragglers hold, so it would count twice.
func (r *route) slotSeconds() float64 {
	if r.class == Short {
		return r.meanCappedSeconds
	}
	return r.meanSeconds
}

// observe records whether one run of the route was long and updates its class.
func (r *route) observe(long bool) {
	value := 0.0
	if long {
		value = 1
	}
	if r.classObservations == 0 {
		r.longShare = becomesShortBelow
	}
	r.classObservations++
	r.longShare += classWeight * (value - r.longShare)
	if r.longShare >= becomesLongAt {
		r.class = Long
	}
	if r.longShare < becomesShortBelow {
		r.class = Short
	}
}

func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// overflowRoute is the name under which all routes beyond maxRoutes are learned.
const overflowRoute = "*"

// routeOf returns the route of a name, and creates it if there is none yet.
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

// laneOf returns the lane an item belongs in. Requests of unknown routes have a
// lane of their own: they may not use the slots reserved for short work, so in the
// short lane they would block the known short work queued behind them.
func (s *service) laneOf(it *item) *lane {
	switch {
	case it.deferrable:
		return s.lanes[laneDeferrable]
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
// configuration. ShortSlotsPercent of the slots, rounded up, are reserved for short
// work. The limit is at least 1: with a single slot, long work would otherwise
// never run.
func (s *service) longLimit() int {
	reserved := (s.slots*s.cfg.ShortSlotsPercent + 99) / 100
	return max(1, s.slots-reserved)
}

// adaptiveLongLimit is the number of slots that long work which need not start now
// may hold. It leaves as many slots free as short work has recently needed, but is
// at least longLimit/minLongDivisor, rounded up. The fixed share of reserved slots
// alone is too small when bursts of short work follow bursts of long work, because
// running long work cannot be stopped.
func (s *service) adaptiveLongLimit(now time.Duration) int {
	limit := s.longLimit()
	needed := int(math.Ceil(s.decayedPeakDemand(now) * peakMargin))
	return min(limit, max(s.slots-needed, (limit+3)/minLongDivisor))
}

// slotsForDeadline is the number of slots that deferrable work needs from now on so
// that all of it ends before the earliest deadline. It is 0 in other phases than
// phaseDeferrable.
func (s *service) slotsForDeadline(now time.Duration, phase int) int {
	it := s.lanes[laneDeferrable].byDeadline.head()
	if phase != phaseDeferrable || it == nil || it.deadline == noDeadline {
		return 0
	}
	remaining := max(it.deadline-now, time.Second)
	return int(math.Ceil(deadlineMargin * s.lanes[laneDeferrable].totalSeconds / remaining.Seconds()))
}

// decayedPeakDemand returns peakDemand with its decay up to now.
func (s *service) decayedPeakDemand(now time.Duration) float64 {
	return s.peakDemand * math.Exp2(-float64(now-s.peakDemandTime)/float64(peakHalfLife))
}

// shortDemandIsLow reports whether short work needs far fewer slots than at its
// peak, as between two bursts.
func (s *service) shortDemandIsLow(now time.Duration) bool {
	return s.decayedRecentDemand(now) < lowDemandShare*s.decayedPeakDemand(now)
}

// decayedRecentDemand returns recentDemand with its decay up to now.
func (s *service) decayedRecentDemand(now time.Duration) float64 {
	return s.recentDemand * math.Exp2(-float64(now-s.recentDemandTime)/float64(recentHalfLife))
}

// lowDemandLimit is the number of slots that deferrable work may hold while the
// demand of short work is low. Deferrable work that is not done then becomes due in
// the next burst of short work.
func (s *service) lowDemandLimit() int {
	reserved := s.slots - s.longLimit()
	return s.slots - max(1, reserved/lowDemandReserveDivisor)
}

// observeDemand updates the peak and recent demand with the slots that short work
// needs now: those it holds and those its queued requests would use.
func (s *service) observeDemand(now time.Duration) {
	demand := float64(min(s.slots, s.running-s.runningLong+s.lanes[laneShort].count))
	if demand >= s.decayedRecentDemand(now) {
		s.recentDemand = demand
		s.recentDemandTime = now
	}
	if demand >= s.decayedPeakDemand(now) {
		s.peakDemand = demand
		s.peakDemandTime = now
	}
}

// mayStart reports whether an item may start without using slots that it must leave
// free for short work. Work of an unknown route may turn out to be long, so it
// leaves the reserved slots free as long work does. Deferrable work may use most of
// them while the demand of short work is low.
func (s *service) mayStart(now time.Duration, it *item, phase int) bool {
	if it.route.known() && it.route.class == Short {
		return true
	}
	limit := s.longLimit()
	if it.route.known() && phase != phaseDue {
		limit = max(s.adaptiveLongLimit(now), min(limit, s.slotsForDeadline(now, phase)))
	}
	if it.route.known() && it.deferrable && s.shortDemandIsLow(now) {
		limit = max(limit, s.lowDemandLimit())
	}
	return s.runningLong+s.runningUnknown < limit
}

// candidate returns the item that is next to start in a phase, or nil. Deferrable
// work that is not due is no candidate while other work that could take its slot
// is queued.
func (s *service) candidate(now time.Duration, phase int) *item {
	deferrable := s.lanes[laneDeferrable]
	switch phase {
	case phaseDue:
		it := deferrable.byDeadline.head()
		if it == nil || it.deadline == noDeadline || now < s.latestStart(it) {
			return nil
		}
		return it
	case phaseShort:
		return s.reclassifiedHead(laneShort)
	case phaseUnknown:
		return s.reclassifiedHead(laneUnknown)
	case phaseLong:
		return s.reclassifiedHead(laneLong)
	}
	it := deferrable.head()
	if it == nil || s.lanes[laneShort].count+s.lanes[laneUnknown].count > 0 {
		return nil
	}
	if s.lanes[laneLong].count > 0 && it.route.startClass() == Long {
		return nil
	}
	return it
}

// reclassifiedHead returns the head of a lane after moving items whose route has
// changed class to their new lane. After maxMoves moves it returns nil and sets
// movesPending, so that the driver calls Next again at once.
func (s *service) reclassifiedHead(k int) *item {
	l := s.lanes[k]
	for range maxMoves {
		it := l.head()
		if it == nil || s.laneOf(it) == l {
			return it
		}
		l.remove(it)
		it.class = it.route.startClass()
		s.laneOf(it).add(it)
	}
	s.movesPending = true
	return nil
}

// latestStart returns the time from which deferrable work must be preferred so that
// all of it starts before the earliest deadline, that of the item first. The time
// precedes the deadline by what the queued deferrable work takes on the slots it
// may use, and by one run for the wait for a free slot.
func (s *service) latestStart(first *item) time.Duration {
	slots := s.slots
	if first.route.startClass() == Long || !first.route.known() {
		slots = s.longLimit()
	}
	leadSeconds := s.lanes[laneDeferrable].totalSeconds/float64(max(1, slots)) + s.expectedSeconds(first)
	return first.deadline - durationOf(leadSeconds)
}

// expectedSeconds returns the expected run time of an item. If its route is not
// known, this is the mean run time of its class at the service.
func (s *service) expectedSeconds(it *item) float64 {
	if it.route.known() {
		return it.route.slotSeconds()
	}
	return s.meanRunSeconds[it.route.startClass()]
}

// estimateWait returns the expected wait of an item if it were queued now.
func (s *service) estimateWait(it *item) time.Duration {
	if s.slots == 0 {
		return time.Second
	}
	shortSlots := float64(max(1, s.slots-min(s.runningLong, s.slots)))
	longSlots := float64(s.longLimit())
	shortSeconds := s.secondsAhead(s.lanes[laneShort], it) + s.secondsAhead(s.lanes[laneUnknown], it)
	longSeconds := s.secondsAhead(s.lanes[laneLong], it)
	forShort := shortSeconds / shortSlots
	forLong := forShort + longSeconds/longSlots
	switch {
	case it.deferrable:
		forDeferrable := s.secondsAhead(s.lanes[laneDeferrable], it) / longSlots
		return durationOf(forLong + forDeferrable)
	case it.class == Long:
		if s.runningLong+s.runningUnknown >= s.longLimit() {
			forLong += s.meanRunSeconds[Long] / longSlots
		}
		return durationOf(forLong)
	}
	if s.running >= s.slots {
		forShort += s.meanRunSeconds[Short] / shortSlots
	}
	return durationOf(forShort)
}

// secondsAhead returns the expected run time of the queued items of a lane that
// start before an item. As callers are served round robin, their number is at most
// that of its own caller's items, itself included, times that of the callers with
// queued items.
func (s *service) secondsAhead(l *lane, it *item) float64 {
	if l.count == 0 {
		return 0
	}
	own := 0
	if q := l.callers[it.caller]; q != nil {
		own = q.heap.Len()
	}
	items := min(l.count, (own+1)*len(l.callers))
	return l.totalSeconds * float64(items) / float64(l.count)
}

// postponedObservation is a pending observation that work of a long route ended
// before LongThreshold.
type postponedObservation struct {
	route *route
	due   time.Duration // when the work would have reached LongThreshold
}

// postpone delays the observation that an item was short until the item would have
// reached LongThreshold. Of items that start together, the short ones end first: if
// they were observed at once, a long route would be classified as short at each
// burst until the other items reach the threshold.
func (s *service) postpone(it *item) {
	o := postponedObservation{it.route, it.started + s.cfg.LongThreshold}
	at := sort.Search(len(s.postponed), func(i int) bool { return s.postponed[i].due > o.due })
	s.postponed = slices.Insert(s.postponed, at, o)
}

// observePostponed records the postponed observations that are due by until.
func (s *service) observePostponed(until time.Duration) {
	n := 0
	for n < len(s.postponed) && s.postponed[n].due <= until {
		s.postponed[n].route.observe(false)
		n++
	}
	s.postponed = slices.Delete(s.postponed, 0, n)
}

// reclassify counts running work that has reached LongThreshold as long, and
// records the postponed observations that are due, in the order of their time.
func (s *service) reclassify(now time.Duration) {
	defer s.observePostponed(now)
	for e := s.belowThreshold.Front(); e != nil; e = s.belowThreshold.Front() {
		it := e.Value.(*item)
		if now-it.started < s.cfg.LongThreshold {
			return
		}
		s.observePostponed(it.started + s.cfg.LongThreshold)
		s.belowThreshold.Remove(e)
		it.belowThresholdElem = nil
		it.reachedThreshold = true
		it.route.observe(true)
		if it.class == Short {
			it.class = Long
			s.runningLong++
			it.server.long++
		}
		if it.unknownAtStart {
			it.unknownAtStart = false
			s.runningUnknown--
		}
	}
}

// learn records the run time of an item that has ended. An item that reached
// LongThreshold has already been observed as long by reclassify.
func (s *service) learn(it *item, run time.Duration) {
	r := it.route
	switch {
	case it.reachedThreshold:
	case run < s.cfg.LongThreshold && r.known() && r.class == Long:
		s.postpone(it)
	default:
		r.observe(run >= s.cfg.LongThreshold)
	}
	r.runCount++
	average(&r.meanSeconds, run, r.runCount)
	average(&r.meanCappedSeconds, min(run, s.cfg.LongThreshold), r.runCount)
	class := Short
	if run >= s.cfg.LongThreshold {
		class = Long
	}
	s.runsOfClass[class]++
	average(&s.meanRunSeconds[class], run, s.runsOfClass[class])
}

// average adds the n-th run time to a moving average in seconds. The first
// 1/minRunWeight run times have equal weight, later ones the weight minRunWeight.
func average(mean *float64, run time.Duration, n int) {
	*mean += max(1/float64(n), minRunWeight) * (run.Seconds() - *mean)
}

// acquire adds an item that starts to the counters of its service and server.
func (it *item) acquire() {
	s := it.svc
	s.running++
	it.server.running++
	it.server.maxSlots = max(it.server.maxSlots, it.server.running)
	it.belowThresholdElem = s.belowThreshold.PushBack(it)
	if it.class == Long {
		s.runningLong++
		it.server.long++
	}
	if it.unknownAtStart {
		s.runningUnknown++
	}
}

// release removes an item that ends from the counters of its service and server.
func (it *item) release() {
	s := it.svc
	s.running--
	it.server.running--
	if it.belowThresholdElem != nil {
		s.belowThreshold.Remove(it.belowThresholdElem)
		it.belowThresholdElem = nil
	}
	if it.class == Long {
		s.runningLong--
		it.server.long--
	}
	if it.unknownAtStart {
		s.runningUnknown--
	}
}
