package jobs

import (
	"context"
	"fmt"
	"sync"
	"time"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
)

const (
	simRelays         = 3
	simMaxRelayOutage = 6 * time.Second
	simMaxShutdown    = 1500 * time.Millisecond // of a relay's process that ends in an orderly way
	simMaxDownTime    = 3 * time.Second         // from the end of a relay's process to the start of the next one
	simMaxDialTime    = 2 * time.Second         // for which messages to a process that is down may wait
	simMaxReplyDelay  = 3 * time.Second
)

// simRelay is a control process that sends orders for the leader. It can be cut off from
// the other processes, suspended between its last check of an order and the sending, and
// restarted.
type simRelay struct {
	sim         *sim
	name        string
	clockOffset time.Duration // to the leader's clock

	mu             sync.Mutex
	relay          *orderRelay
	end            context.CancelFunc // of the relay's process
	downUntil      time.Time          // the process has ended; the next one begins then
	cutUntil       time.Time
	suspendedUntil time.Time
	knownTerm      uint64
}

func (s *sim) newRelay(number int) *simRelay {
	r := &simRelay{sim: s, name: fmt.Sprint("relay-", number), clockOffset: time.Duration(number) * time.Hour}
	r.startProcess()
	return r
}

// startProcess starts a process of the relay, which knows nothing of the one before but
// the term.
func (r *simRelay) startProcess() {
	ctx, cancel := context.WithCancel(context.Background())
	clock := simClock{r.sim.began.Add(-r.clockOffset)}
	process := newOrderRelay(ctx, fmt.Sprint("boot-", time.Since(r.sim.began)), r, r.sendToLeader, r.term, clock, r.sim.logger())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relay, r.end = process, cancel
}

// restart ends the relay's process and starts another one some time later. A process that
// ends in an orderly way still takes messages for a while.
func (r *simRelay) restart(n int) {
	s := r.sim
	r.mu.Lock()
	r.end()
	r.mu.Unlock()
	shutdown := s.draw(2, r.name, "orderly", n) * uint64(s.drawDuration(0, simMaxShutdown, r.name, "shutdown", n))
	time.AfterFunc(time.Duration(shutdown), func() {
		down := s.drawDuration(50*time.Millisecond, simMaxDownTime, r.name, "down", n)
		r.mu.Lock()
		r.downUntil, r.suspendedUntil = time.Now().Add(down), time.Time{}
		r.mu.Unlock()
		time.AfterFunc(down, r.startProcess)
	})
}

func (r *simRelay) process() *orderRelay {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relay
}

// term returns the newest term that the relay knows: none of those that began while it
// was cut off.
func (r *simRelay) term() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !time.Now().Before(r.cutUntil) {
		r.knownTerm = r.sim.term.Load()
	}
	return r.knownTerm
}

// unreachable reports whether messages from and to the relay are lost.
func (r *simRelay) unreachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return now.Before(r.cutUntil) || now.Before(r.suspendedUntil) || now.Before(r.downUntil)
}

// fail cuts the relay off, suspends or restarts it.
func (r *simRelay) fail(n int) {
	r.term()
	if r.sim.draw(2, r.name, "restart", n) == 0 {
		r.restart(n)
		return
	}
	until := time.Now().Add(r.sim.drawDuration(200*time.Millisecond, simMaxRelayOutage, r.name, "outage", n))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sim.draw(2, r.name, "suspended", n) == 0 {
		r.suspendedUntil = until
		return
	}
	r.cutUntil = until
}

// sendToRelay delivers a leader's message. One to a suspended relay waits for its end. One
// to a relay that is down is lost, or reaches its next process.
func (s *sim) sendToRelay(name string, m *jobpb.RelayMessage) {
	for _, r := range s.relays {
		if r.name != name {
			continue
		}
		delay := s.drawDuration(time.Millisecond, 4*time.Millisecond, name, m.Number)
		r.mu.Lock()
		cut, suspended, down := time.Now().Before(r.cutUntil), time.Until(r.suspendedUntil), time.Until(r.downUntil)
		r.mu.Unlock()
		if cut || down > simMaxDialTime || down > 0 && s.draw(2, name, "dial", m.Number) == 0 {
			return
		}
		time.AfterFunc(max(delay, suspended+delay, down+delay), func() { r.process().handle(fmt.Sprint("c-", m.Term), m) })
	}
}

func (r *simRelay) sendToLeader(_ string, m *jobpb.RelayMessage) {
	if r.unreachable() {
		return
	}
	s := r.sim
	delay := s.drawDuration(time.Millisecond, 4*time.Millisecond, r.name, "reply", m.Received)
	if s.faultsActive() && s.draw(50, r.name, "late reply", m.Received) == 0 {
		delay = s.drawDuration(0, simMaxReplyDelay, r.name, "reply delay", m.Received)
	}
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		c := s.control
		s.mu.Unlock()
		c.HandleRelay(r.name, m)
	})
}

type delayedOrder struct{}

// await returns the context of an order: one that a suspended relay sends after its
// suspension counts as delayed in transit.
func (r *simRelay) await(ctx context.Context) context.Context {
	r.mu.Lock()
	suspended := time.Until(r.suspendedUntil)
	r.mu.Unlock()
	if suspended <= 0 {
		return ctx
	}
	time.Sleep(suspended)
	return context.WithValue(context.WithoutCancel(ctx), delayedOrder{}, true)
}

func (r *simRelay) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.await(ctx), 2*orderTimeout)
}

// Start implements orders.Workers.
func (r *simRelay) Start(ctx context.Context, to orders.Target, o orders.StartOrder) (int64, error) {
	ctx, cancel := r.bounded(ctx)
	defer cancel()
	return r.sim.Start(ctx, to, o)
}

// Stop implements orders.Workers.
func (r *simRelay) Stop(ctx context.Context, to orders.Target, o orders.RunOrder) (int64, error) {
	ctx, cancel := r.bounded(ctx)
	defer cancel()
	return r.sim.Stop(ctx, to, o)
}

// Pace implements orders.Workers.
func (r *simRelay) Pace(ctx context.Context, to orders.Target, o orders.RunOrder) (int64, error) {
	return r.sim.Pace(ctx, to, o)
}

// Hold implements orders.Workers.
func (r *simRelay) Hold(ctx context.Context, to orders.Target, o orders.HoldOrder) (*orders.RunList, error) {
	ctx, cancel := r.bounded(ctx)
	defer cancel()
	return r.sim.Hold(ctx, to, o)
}
