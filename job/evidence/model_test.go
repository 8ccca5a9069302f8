package evidence

import (
	"context"
	"fmt"
	"time"

	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/worker"
)

// The model has one task, one worker id with successive processes, a leader with
// successive sessions, and calls to the worker in transit. Its leader acts on the evidence
// as process/jobs does, and uses the package's functions and the real worker.Tracker. A run
// that is at work although the log does not place it is a violation: its task may be at
// work elsewhere as well. It assumes that
//   - commits are immediate, and an earlier leader sends nothing once a later one leads,
//   - a call is received by a process that lives before its sender stops waiting, which may
//     be a later one than the one it was meant for,
//   - an order is carried out at most once, and within the worker's OrderDelay,
//   - a new session of a term belongs to the process of the last one, and a new term to
//     another process.

// Times of the model. Their ratios are those of the product, but shorter, so that few
// steps pass a lease.
const (
	modelTimeout    = time.Second // after which a call fails without an answer
	modelMaxSilence = time.Second
	modelCalls      = 4 // calls in transit at once
)

var modelTiming = worker.LeaseTiming{Lease: time.Second, MaxLease: 2500 * time.Millisecond, OrderDelay: 2500 * time.Millisecond}

type callKind uint8

const (
	noCall callKind = iota
	startCall
	stopCall
	holdCall
)

// runEnd is how a run has ended.
type runEnd uint8

const (
	notEnded runEnd = iota
	doneEnd
	stoppedEnd
	lapsedEnd
)

// call is an order in transit, or its answer.
type call struct {
	kind       callKind
	open       bool // its sender waits for the answer
	carriedOut bool // the answer is in transit
	sentAt     time.Duration
	fence      uint64
	run        uint8
	deadlineMs int64
	logged     uint8 // of a hold: the last run of the process whose end is in the log
	// receiver is the process that has received the order, 0 if that is not settled. An order
	// names the worker's id, so that a later process may receive it until its timeout.
	receiver uint8
	meantFor uint8 // the process that the leader tracked
	answer   callAnswer
}

type callAnswer struct {
	refused  orders.Reason
	process  uint8
	clockMs  int64
	complete bool
	running  uint8
	ended    uint8
	how      runEnd
}

// modelProcess is a worker's process.
type modelProcess struct {
	number     uint8 // 0: none lives
	bornAt     time.Duration
	fence      uint64
	highestRun uint8
	running    uint8
	ended      uint8 // the run whose end it lists, 0 if none
	how        runEnd
	leaseMs    int64
	exiting    bool
}

// modelLeader is the leader's session and what it knows of the process that it tracks.
type modelLeader struct {
	term          uint64
	process       uint8 // 0: none is tracked
	track         worker.Tracker
	predecessor   uint8 // the registered process, 0 if this one is
	silent        bool
	exitAnnounced bool
	listedAsEnded bool
	leftAt        time.Duration
	addressReused bool
	orderRun      uint8 // the run that order is about, 0 if none is known
	order         Order
	pendingStart  uint8
	start         modelStart
	trackedAt     time.Duration
	absentAt      time.Duration
	holding       bool
	stopping      bool
	loggedEnd     uint8
}

// modelStart is what the leader knows of the start of the placed run.
type modelStart struct {
	run            uint8 // 0 if an earlier session has sent it
	sentAt, ended  time.Duration
	received, open bool
}

// modelLimits bounds what happens in a play.
type modelLimits struct {
	tick            time.Duration // the longest step of time
	processes, runs uint8
	sessions        uint64
}

// world is a state of the model. It is comparable and a copy is a snapshot.
type world struct {
	limits       modelLimits
	slow         bool // the worker's clock runs slow by 2%
	now          time.Duration
	process      modelProcess
	processes    uint8 // that have started
	diedAt       time.Duration
	leavePending bool // an announced exit is in transit
	leader       modelLeader
	sessions     uint64
	calls        [modelCalls]call
	// The log:
	placed, nextRun, registered uint8
	done                        bool
	// What a session leaves for the next one of its process:
	nextFence    uint64
	foreignUntil time.Duration
	knowsLeases  bool // the process of the session has led last
	settledRun   uint8
	sessionBegan time.Duration

	violation string
	freedBy   Kind // the last proof that freed a run
}

// newWorld returns a world with a registered worker that has listed its runs.
func newWorld(slow bool, limits modelLimits) *world {
	w := &world{limits: limits, slow: slow, now: 10 * time.Second, nextRun: 1, sessions: 1}
	w.leader.term = 1
	w.apply(event{kind: boot})
	w.now += 10 * time.Second // its clock is far ahead of that of a later process
	w.apply(event{kind: report})
	w.apply(event{kind: sendHold})
	w.apply(event{kind: carryOut})
	w.apply(event{kind: deliverAnswer})
	return w
}

type eventKind uint8

const (
	advance eventKind = iota
	sendStart
	sendStop
	sendHold
	carryOut
	carryOutPartly // a hold whose answer lacks runs
	deliverAnswer
	breakCall    // the sender's connection ends without an answer
	refuseCall   // no process accepts the connection, or a fault of the network looks like it
	otherAnswers // a process of another id answers at the address
	loseCall     // an order that nobody waits for is lost
	complete     // the run ends by itself
	forgetEnd    // the process no longer lists an end that is not in the log
	announce     // the process sends its announcement that it exits, and serves on
	exitArrives  // the announcement reaches the leader
	crash
	boot
	report
	listMachine // two lists of machines in a row show the machine without the worker
	drop        // the leader acts on the end of the process
	newSession  // of the same term
	newTerm
)

var eventNames = [...]string{"advance", "send start", "send stop", "send hold", "carry out", "carry out, partial list", "answer arrives", "connection breaks",
	"connection refused", "another process answers", "order lost", "run completes", "end forgotten", "process announces exit", "announcement arrives", "process ends", "process starts", "report",
	"machine listed without worker", "worker dropped", "new session", "new term"}

type event struct {
	kind eventKind
	call uint8
}

func (e event) String() string { return fmt.Sprintf("%s (%d)", eventNames[e.kind], e.call) }

// events returns the events that are possible.
func (w *world) events(list []event) []event {
	l := &w.leader
	add := func(possible bool, kind eventKind) {
		if possible {
			list = append(list, event{kind: kind})
		}
	}
	add(true, advance)
	add(w.mayStart(), sendStart)
	add(w.mayStop(), sendStop)
	add(l.process > 0 && !l.holding && w.freeCall() != nil, sendHold)
	for i := range w.calls {
		c := &w.calls[i]
		addCall := func(possible bool, kind eventKind) {
			if possible {
				list = append(list, event{kind: kind, call: uint8(i)})
			}
		}
		inTransit := c.kind != noCall && !c.carriedOut
		reaches := inTransit && w.process.number > 0 && (c.receiver == 0 || c.receiver == w.process.number)
		addCall(reaches, carryOut)
		addCall(reaches && c.open && c.kind == holdCall, carryOutPartly)
		addCall(c.open && c.carriedOut, deliverAnswer)
		addCall(c.open, breakCall)
		addCall(c.open && inTransit, refuseCall)
		addCall(c.open && inTransit && w.process.number == 0, otherAnswers)
		addCall(!c.open && inTransit, loseCall)
	}
	alive := w.process.number > 0
	add(alive && w.process.running > 0, complete)
	add(alive && w.process.ended > 0 && w.process.how != doneEnd, forgetEnd)
	add(alive && !w.process.exiting, announce)
	add(w.leavePending && l.process > 0, exitArrives)
	add(alive, crash)
	add(!alive && w.processes < w.limits.processes, boot)
	add(alive && !w.process.exiting, report)
	add(w.mayListAbsence() && (!l.listedAsEnded || l.absentAt < w.now), listMachine)
	add(w.endProof() != None, drop)
	add(w.sessions < w.limits.sessions, newSession)
	add(w.sessions < w.limits.sessions, newTerm)
	return list
}

// mayListAbsence reports whether a list of machines that is requested now may show the machine
// without a process: it may lag behind the begin of one.
func (w *world) mayListAbsence() bool {
	l := &w.leader
	if l.process == 0 || l.process == w.process.number {
		return false
	}
	return w.process.number == 0 || w.now < w.process.bornAt+ListLag && w.diedAt < w.process.bornAt
}

func (w *world) mayStart() bool {
	l := &w.leader
	_, known := w.peekGrant()
	return w.placed == 0 && !w.done && w.nextRun <= w.limits.runs && l.process > 0 && l.predecessor == 0 && l.track.RunsListed && !l.silent &&
		!l.exitAnnounced && !l.listedAsEnded && known && w.freeCall() != nil
}

func (w *world) peekGrant() (int64, bool) {
	t := w.leader.track
	return t.Grant(w.now)
}

func (w *world) mayStop() bool {
	return w.placed > 0 && w.leader.process > 0 && w.leader.pendingStart == 0 && !w.leader.stopping && w.freeCall() != nil
}

func (w *world) freeCall() *call {
	for i := range w.calls {
		if w.calls[i].kind == noCall {
			return &w.calls[i]
		}
	}
	return nil
}

// clock returns the process's clock.
func (w *world) clock() int64 {
	ms := (w.now - w.process.bornAt).Milliseconds()
	if w.slow {
		ms = ms * 98 / 100
	}
	return ms + 1
}

// leaseLapsed reports whether the lease has expired on the process's clock, which is not
// rounded to milliseconds here.
func (w *world) leaseLapsed() bool {
	elapsed := w.now - w.process.bornAt
	if w.slow {
		elapsed = elapsed * 98 / 100
	}
	return elapsed >= time.Duration(w.process.leaseMs-1)*time.Millisecond
}

func (w *world) apply(e event) {
	c := &w.calls[e.call]
	l := &w.leader
	switch e.kind {
	case advance:
		w.advance()
	case sendStart:
		w.sendStart()
	case sendStop:
		w.sendStop()
	case sendHold:
		w.sendHold()
	case carryOut:
		w.carryOut(c, true)
	case carryOutPartly:
		w.carryOut(c, false)
	case deliverAnswer:
		answered := *c
		*c = call{}
		w.handleAnswer(answered)
	case breakCall:
		w.failCall(c)
	case refuseCall:
		refused := *c
		*c = call{}
		w.handleError(refused, &orders.NotSentError{})
	case otherAnswers:
		refused := *c
		*c = call{}
		w.handleError(refused, &orders.RefusedError{Reason: orders.RefusedOtherProcess})
	case loseCall:
		*c = call{}
	case complete:
		w.endRun(doneEnd)
	case forgetEnd:
		w.process.ended, w.process.how = 0, notEnded
	case announce:
		w.process.exiting, w.leavePending = true, true
	case exitArrives:
		w.leavePending, l.exitAnnounced = false, true
		if l.leftAt == 0 {
			l.leftAt = w.now
		}
	case crash:
		w.endProcess()
	case boot:
		w.processes++
		w.process = modelProcess{number: w.processes, bornAt: w.now}
	case report:
		w.handleReport()
	case listMachine:
		l.listedAsEnded, l.leftAt, l.absentAt = true, w.now, w.now
	case drop:
		w.drop()
	case newSession, newTerm:
		w.beginSession(e.kind == newTerm)
	}
	if w.process.running > 0 && w.process.running != w.placed && w.violation == "" {
		w.violation = fmt.Sprintf("run %d is at work although it was freed (last proof: %q)", w.process.running, w.freedBy)
	}
}

// advance lets time pass until the next full tick, or until a proof by time may hold.
func (w *world) advance() {
	next := w.now - w.now%w.limits.tick + w.limits.tick
	consider := func(at time.Duration) {
		if at > w.now {
			next = min(next, at)
		}
	}
	if w.leader.process > 0 {
		consider(w.leader.track.LaterLeasesUntil() + time.Nanosecond)
		consider(w.leader.track.LeasesExpireBy() + time.Nanosecond)
		consider(w.leader.track.LastContact + modelMaxSilence + time.Nanosecond)
	}
	w.now = next
	if w.process.running > 0 && w.leaseLapsed() {
		w.endRun(lapsedEnd)
	}
	for i := range w.calls {
		c := &w.calls[i]
		if c.kind == noCall || w.now < c.sentAt+modelTimeout {
			continue
		}
		if c.open {
			w.failCall(c)
		} else {
			w.closeCall(c)
		}
		if c.receiver != c.meantFor && w.now > c.sentAt+modelTiming.OrderDelay {
			*c = call{}
		}
	}
}

// endRun ends the run at the process.
func (w *world) endRun(how runEnd) {
	w.process.ended, w.process.how, w.process.running = w.process.running, how, 0
}

func (w *world) endProcess() {
	for i := range w.calls {
		if c := &w.calls[i]; c.receiver == w.process.number && !c.open {
			*c = call{}
		}
	}
	w.process, w.diedAt = modelProcess{}, w.now
}

// carryOut has the process carry out an order.
func (w *world) carryOut(c *call, whole bool) {
	p := &w.process
	a := callAnswer{process: p.number, clockMs: w.clock(), complete: whole}
	if c.fence < p.fence {
		a.refused = orders.RefusedFence
	} else {
		p.fence = c.fence
		a.refused = w.execute(c)
	}
	if c.kind == holdCall {
		if p.ended > 0 && p.ended <= c.logged && a.refused == "" {
			p.ended, p.how = 0, notEnded
		}
		if whole {
			a.running, a.ended, a.how = p.running, p.ended, p.how
		}
	}
	if !c.open {
		*c = call{}
		return
	}
	c.carriedOut, c.answer = true, a
}

// execute carries out an order whose fence is valid. A process accepts no lease beyond MaxLease.
func (w *world) execute(c *call) orders.Reason {
	p := &w.process
	clock := w.clock()
	if clock < c.deadlineMs {
		p.leaseMs = max(p.leaseMs, min(c.deadlineMs, clock+modelTiming.MaxLease.Milliseconds()))
	}
	switch {
	case c.kind == stopCall:
		p.highestRun = max(p.highestRun, c.run)
		if p.running > 0 && p.running <= c.run {
			w.endRun(stoppedEnd)
		}
	case c.kind == startCall && p.running == c.run:
	case c.kind == startCall && c.run <= p.highestRun:
		return orders.RefusedStaleRun
	case c.kind == startCall && clock >= c.deadlineMs:
		return orders.RefusedDeadline
	case c.kind == startCall:
		p.highestRun, p.running = c.run, c.run
	}
	return ""
}

func (w *world) raiseFence() {
	w.leader.track.RaiseFence()
	w.useFence()
}

func (w *world) useFence() { w.nextFence = max(w.nextFence, w.leader.track.Fence()+1) }

func (w *world) sendStart() {
	l := &w.leader
	deadline, _ := l.track.Grant(w.now)
	w.placed = w.nextRun
	w.nextRun++
	l.pendingStart, l.orderRun = w.placed, w.placed
	l.order = Order{Tracked: true, Fence: l.track.Fence()}
	l.start = modelStart{run: w.placed, sentAt: w.now, open: true}
	*w.freeCall() = call{kind: startCall, open: true, meantFor: l.process, sentAt: w.now, fence: l.track.Fence(), run: w.placed, deadlineMs: deadline}
}

func (w *world) sendStop() {
	l := &w.leader
	if l.orderRun != w.placed {
		l.orderRun, l.order = w.placed, Order{Tracked: true, Fence: l.track.FirstFence() - 1}
	}
	l.stopping = true
	*w.freeCall() = call{kind: stopCall, open: true, meantFor: l.process, sentAt: w.now, fence: l.track.Fence(), run: w.placed}
}

func (w *world) sendHold() {
	l := &w.leader
	c := call{kind: holdCall, open: true, meantFor: l.process, sentAt: w.now, fence: l.track.Fence(), logged: l.loggedEnd}
	if w.placed > 0 && !l.silent && !l.exitAnnounced {
		c.deadlineMs, _ = l.track.Grant(w.now)
	}
	l.holding = true
	*w.freeCall() = c
}

// failCall has the sender of a call see no answer. An order that is not carried out yet
// may be carried out later.
func (w *world) failCall(c *call) {
	failed := *c
	w.closeCall(c)
	w.handleError(failed, context.DeadlineExceeded)
}

// closeCall ends the connection of a call. The order can't reach a later process any more.
func (w *world) closeCall(c *call) {
	c.open = false
	if c.receiver == 0 {
		c.receiver = w.process.number
	}
	if c.carriedOut || c.receiver == 0 {
		*c = call{}
	}
}

// settleCall ends the leader's wait for a call.
func (w *world) settleCall(c call) {
	switch l := &w.leader; c.kind {
	case startCall:
		l.pendingStart = 0
		if l.start.run == c.run {
			l.start.open, l.start.ended = false, w.now
		}
	case stopCall:
		l.stopping = false
	case holdCall:
		l.holding = false
	}
}

// handleError follows handleStartAnswer and handleHoldError of process/jobs.
func (w *world) handleError(c call, err error) {
	w.settleCall(c)
	l := &w.leader
	if l.process == 0 {
		return
	}
	l.addressReused = l.addressReused || orders.OtherProcess(err)
	switch {
	case c.kind == startCall && FromAnswer(err) != None:
		if c.run == w.placed {
			w.free(FromAnswer(err))
		}
	case c.kind == startCall:
		l.track.RecordUnanswered(c.sentAt)
		l.silent = true
		w.raiseFence()
	case c.kind == holdCall:
		if c.deadlineMs > 0 && !orders.NeverCarriedOut(err) {
			l.track.RecordUnanswered(c.sentAt)
		}
		l.silent = true
	}
}

// handleAnswer follows handleStartAnswer, stopRun and handleRunList of process/jobs.
func (w *world) handleAnswer(c call) {
	l, a := &w.leader, c.answer
	w.settleCall(c)
	if l.process == 0 {
		return
	}
	if a.refused == "" {
		l.addressReused = false
	}
	switch c.kind {
	case holdCall:
		w.handleList(c)
		return
	case startCall:
		l.track.SampleClock(w.now, a.clockMs)
		switch {
		case a.refused != "":
			if a.refused == orders.RefusedFence {
				w.raiseFence()
			}
			if c.run == w.placed {
				w.free(FromAnswer(&orders.RefusedError{Reason: a.refused, ClockMs: a.clockMs}))
			}
		case l.track.AnsweredByLater(c.sentAt, a.clockMs):
			l.track.ExpectForeignLeases(w.now)
			l.track.RecordUnanswered(c.sentAt)
			w.raiseFence()
		case l.orderRun == c.run:
			l.order.StartConfirmedAt = w.now
			l.start.received = true
			w.settle(c.run)
		}
	case stopCall:
		l.track.SampleClock(w.now, a.clockMs)
		if a.refused == "" && l.orderRun == c.run {
			l.order.StopConfirmedAt = w.now
		}
	}
}

func (w *world) handleList(c call) {
	l, a := &w.leader, c.answer
	switch {
	case a.refused == orders.RefusedFence:
		w.raiseFence()
		return
	case a.process != l.process:
		if a.process > l.process {
			w.succeed(a.process, a.clockMs)
		}
		return
	}
	l.silent = false
	l.track.SampleClock(w.now, a.clockMs)
	if c.fence == l.track.Fence() && !l.track.RunsListed {
		l.track.RunsListed = true
		l.track.ClearUnanswered()
		l.track.SettleForeignOrders(w.now)
	}
	if a.running == w.placed && w.placed > 0 {
		l.start = modelStart{run: w.placed, received: true}
		if l.predecessor == 0 {
			w.settle(w.placed)
		}
	}
	if a.ended > 0 {
		l.loggedEnd = max(l.loggedEnd, a.ended)
		if a.ended == w.placed {
			w.done = a.how == doneEnd
			w.placed = 0
		}
	}
	proof := None
	if w.placed > 0 && a.running != w.placed && a.ended == 0 && l.pendingStart == 0 {
		order := Order{}
		if l.orderRun == w.placed {
			order = l.order
		}
		proof = FromList(order, List{Complete: a.complete, Fence: c.fence, FirstFence: l.track.FirstFence(), RequestedAt: c.sentAt})
	}
	if l.predecessor > 0 {
		w.settlePredecessor(a, proof)
		return
	}
	if proof != None {
		w.free(proof)
	}
}

// settle follows its namesake in process/jobs; commits are immediate.
func (w *world) settle(run uint8) {
	if w.now > w.leader.track.ForeignLeasesUntil() && run == w.placed {
		w.settledRun = run
	}
}

// settlePredecessor follows its namesake in process/jobs.
func (w *world) settlePredecessor(a callAnswer, proof Kind) {
	switch {
	case w.placed == 0:
	case a.running == w.placed:
		if w.mayStop() {
			w.sendStop()
		}
		return
	case proof == None:
		return
	default:
		w.free(proof)
	}
	w.registered, w.leader.predecessor = w.leader.process, 0
}

// free ends the placed run on a proof.
func (w *world) free(proof Kind) {
	w.freedBy = proof
	listed := proof == NotCarriedOut || proof == Superseded || proof == StartSettled || proof == StopSettled
	if listed && w.process.ended == w.placed && w.process.how == doneEnd {
		w.violation = fmt.Sprintf("run %d has completed and its end is not in the log, but it was freed (proof: %q)", w.placed, proof)
	}
	w.placed = 0
	w.leader.orderRun, w.leader.order, w.leader.start = 0, Order{}, modelStart{}
}

func (w *world) handleReport() {
	l, n := &w.leader, w.process.number
	switch {
	case l.process == 0:
		w.registered = n
		w.track(n, false)
		l.track.SampleClock(w.now, w.clock())
	case l.process == n:
		l.track.SampleClock(w.now, w.clock())
		if l.exitAnnounced && !l.listedAsEnded && l.track.SentBy(w.now, w.clock()) > l.leftAt {
			l.exitAnnounced, l.leftAt = false, 0
		}
	case l.process < n:
		w.succeed(n, w.clock())
	}
}

// track has the leader track a process. Calls of the last one have no effect.
func (w *world) track(number uint8, earlier bool) {
	term := w.leader.term
	w.leader = modelLeader{term: term, process: number, trackedAt: w.now, track: *worker.New(modelTiming, term, int64(number), w.now, earlier)}
	w.leader.track.RaiseFenceTo(w.nextFence)
	w.leader.track.ExpectForeignLeasesUntil(w.foreignUntil)
	settled := w.placed > 0 && w.settledRun == w.placed
	switch {
	case earlier && !settled && (!w.knowsLeases || w.placed > 0):
		w.leader.track.ExpectForeignLeases(w.now)
	case !earlier && !w.knowsLeases:
		w.leader.track.ExpectForeignLeases(w.sessionBegan)
	}
	w.ignoreAnswers()
}

// ignoreAnswers has nobody wait for the calls in transit. Their connections stay.
func (w *world) ignoreAnswers() {
	for i := range w.calls {
		c := &w.calls[i]
		c.open = false
		if c.carriedOut {
			*c = call{}
		}
	}
}

func (w *world) succeed(number uint8, clockMs int64) {
	registered := w.leader.process
	if w.leader.predecessor > 0 {
		registered = w.leader.predecessor
	}
	w.useFence()
	start := w.leader.start
	if start.open {
		start.open, start.ended = false, start.sentAt+modelTimeout
	}
	w.track(number, false)
	l := &w.leader
	l.start = start
	l.track.ExpectForeignLeases(w.now)
	l.track.SampleClock(w.now, clockMs)
	l.predecessor = registered
	if w.placed == 0 {
		w.registered, l.predecessor = number, 0
	}
}

func (w *world) processProof() Kind {
	l := &w.leader
	if l.process == 0 {
		return None
	}
	placed := 0
	if w.placed > 0 {
		placed = 1
	}
	return FromProcess(Process{LeasesExpireBy: l.track.LeasesExpireBy(), SilentFor: w.now - l.track.LastContact, MaxSilence: modelMaxSilence,
		ListedAsEnded: l.listedAsEnded, ExitAnnounced: l.exitAnnounced, AddressReused: l.addressReused, Placed: placed, AnnouncedFor: w.now - l.leftAt}, w.now)
}

// endProof returns what frees the placed run, if there is one, when the process has ended.
func (w *world) endProof() Kind {
	l, proof := &w.leader, w.processProof()
	if w.placed == 0 {
		return proof
	}
	start := Start{Received: w.settledRun == w.placed, EndedAt: l.trackedAt + modelTimeout}
	if l.start.run == w.placed {
		start = Start{Received: l.start.received, Open: l.start.open, EndedAt: l.start.ended}
	}
	return FromEnd(proof, start, Later{AbsentAt: l.absentAt, LeasesUntil: l.track.LaterLeasesUntil()}, w.now)
}

// drop follows dropIfEnded of process/jobs.
func (w *world) drop() {
	proof := w.endProof()
	l := w.leader
	if proof == LeasesLapsed && w.process.number == l.process && !l.exitAnnounced && l.track.LastContact == w.now {
		w.violation = "a process was dropped as silent at the time of its contact"
	}
	if w.placed > 0 {
		w.free(proof)
	}
	w.useFence()
	w.foreignUntil = max(w.foreignUntil, l.track.LaterLeasesUntil())
	w.leader = modelLeader{term: l.term}
	w.registered = 0
	w.ignoreAnswers()
}

// beginSession ends the session and begins the next one.
func (w *world) beginSession(laterTerm bool) {
	l := &w.leader
	if l.process > 0 {
		w.useFence()
		w.foreignUntil = max(w.foreignUntil, l.track.ForeignLeasesUntil())
	}
	w.sessions++
	w.knowsLeases, w.sessionBegan = !laterTerm, w.now
	if laterTerm {
		l.term++
		w.nextFence, w.foreignUntil = 0, 0
	}
	for i := range w.calls {
		if c := &w.calls[i]; c.kind != noCall {
			w.closeCall(c)
		}
	}
	if w.leader = (modelLeader{term: l.term}); w.registered > 0 {
		w.track(w.registered, true)
	}
}
