package worker

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

// Guards against an acknowledgement that is sent while a later process under the worker's id
// may carry out a start that was meant for the one before it.
func TestAcknowledgementsWaitForStarts(t *testing.T) {
	is := is.New(t)
	a := NewAcknowledgements(5 * time.Second)
	is.True(!a.MaySend(4 * time.Second)) // starts of an earlier leader
	is.True(a.MaySend(5 * time.Second))
	a.StartSent()
	a.StartSent()
	is.True(!a.MaySend(time.Hour))
	a.StartAnswered()
	is.True(!a.MaySend(time.Hour))
	a.StartUnanswered(9 * time.Second)
	is.True(!a.MaySend(8 * time.Second)) // the list may be from before the restart
	is.True(a.MaySend(9 * time.Second))
	a.Sent(7)
	is.True(!a.MayStart(7))
	is.True(a.MayStart(8))
	is.True(!a.MaySend(time.Hour))
	a.Ended()
	is.True(a.MayStart(7))
	is.True(a.MaySend(9 * time.Second))
}

// restartModel is a worker whose processes receive the orders of one leader, some of them late
// or meant for the process before. It follows the rules of Acknowledgements.
type restartModel struct {
	rng     *rand.Rand
	acks    *Acknowledgements
	now     time.Duration
	fence   uint64
	listed  time.Duration // when the last list of the current process was requested
	born    time.Duration // of the current process
	process int
	// ends of the current process, by number; true if the leader has logged the end.
	ends       []bool
	seen       uint64 // highest fence that the current process has seen
	inTransit  []modelOrder
	logged     int // ends that the leader has logged
	registered int // the process that the leader tracks
}

type modelOrder struct {
	start    bool
	fence    uint64
	lastSeen int
	sentAt   time.Duration
	process  int // that it is meant for
}

const modelWait = 900 * time.Millisecond // of the sender of an order

// Guards against a process that removes an end from its list which is not in the log, in any
// order of starts, acknowledgements, lost answers, restarts and late deliveries.
func TestNoOrderOfEventsLosesAnEnd(t *testing.T) {
	for _, seed := range randomtest.Seeds(6000) {
		m := &restartModel{rng: rand.New(rand.NewPCG(seed, 1)), acks: NewAcknowledgements(0), fence: 1}
		for range 60 {
			m.now += time.Duration(m.rng.Int64N(int64(400 * time.Millisecond)))
			if lost := m.step(); lost {
				t.Fatalf("seed %d, at %v: process %d has removed an end that is not in the log", seed, m.now, m.process)
			}
		}
	}
}

// step plays one event. It reports whether an end was removed that is not in the log.
func (m *restartModel) step() bool {
	switch m.rng.IntN(6) {
	case 0: // a start, under a higher fence while an acknowledgement is open
		if !m.acks.MayStart(m.fence) {
			m.fence++
		}
		m.acks.StartSent()
		m.inTransit = append(m.inTransit, modelOrder{start: true, fence: m.fence, sentAt: m.now, process: m.registered})
	case 1: // the leader lists the runs of the process that it tracks
		if m.registered == m.process {
			m.listed, m.logged = m.now, len(m.ends)
			for i := range m.ends {
				m.ends[i] = true
			}
			m.seen = max(m.seen, m.fence)
		}
	case 2:
		if m.logged > 0 && m.acks.MaySend(m.listed) {
			m.acks.Sent(m.fence)
			m.inTransit = append(m.inTransit, modelOrder{fence: m.fence, lastSeen: m.logged, sentAt: m.now, process: m.registered})
		}
	case 3: // the process ends, and another one starts under its id
		m.process++
		m.born, m.ends, m.seen = m.now, nil, 0
	case 4: // the leader learns of the new process: a higher fence, ends from 1
		if m.registered != m.process && m.rng.IntN(4) == 0 {
			m.registered, m.logged = m.process, 0
			m.fence++
			m.listed = 0
		}
	default:
		return m.deliver()
	}
	return false
}

// deliver delivers one order, late or not, to the current process, if it has begun before the
// order's sender stopped waiting, or drops it. The leader gets an answer or none.
func (m *restartModel) deliver() bool {
	if len(m.inTransit) == 0 {
		return false
	}
	k := m.rng.IntN(len(m.inTransit))
	o := m.inTransit[k]
	m.inTransit = append(m.inTransit[:k:k], m.inTransit[k+1:]...)
	waited := m.now > o.sentAt+modelWait
	answered := !waited && o.process == m.process && m.rng.IntN(2) == 0
	m.end(o, answered)
	lost := false
	if o.process == m.process || m.born <= o.sentAt+modelWait {
		lost = m.carryOut(o)
	}
	if !answered && m.rng.IntN(2) == 0 {
		m.inTransit = append(m.inTransit, modelOrder{start: o.start, fence: o.fence, lastSeen: o.lastSeen, sentAt: o.sentAt, process: -1}) // again, late; its end is recorded
	}
	return lost
}

func (m *restartModel) end(o modelOrder, answered bool) {
	switch {
	case o.process < 0:
	case o.start && answered:
		m.acks.StartAnswered()
	case o.start:
		m.acks.StartUnanswered(max(m.now, o.sentAt+modelWait))
		m.fence++
	default:
		m.acks.Ended()
		if !answered && m.fence <= o.fence {
			m.fence++
		}
	}
}

func (m *restartModel) carryOut(o modelOrder) (lost bool) {
	if o.fence < m.seen {
		return false
	}
	m.seen = o.fence
	if o.start {
		m.ends = append(m.ends, false) // it ends soon
		return false
	}
	for i := range min(o.lastSeen, len(m.ends)) {
		lost = lost || !m.ends[i]
	}
	return lost
}
