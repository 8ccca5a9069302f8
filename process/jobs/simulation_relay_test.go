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
)

// simRelay is a control process that sends orders for the leader. It can be cut off from
// the other processes, and suspended between its last check of an order and the sending.
type simRelay struct {
	sim   *sim
	name  string
	relay *orderRelay

	mu             sync.Mutex
	cutUntil       time.Time
	suspendedUntil time.Time
	knownTerm      uint64
}

func (s *sim) newRelay(number int) *simRelay {
	r := &simRelay{sim: s, name: fmt.Sprint("relay-", number)}
	r.relay = newOrderRelay(context.Background(), r, r.sendToLeader, r.term, simClock{s.began}, s.logger())
	return r
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
	return time.Now().Before(r.cutUntil) || time.Now().Before(r.suspendedUntil)
}

// fail cuts the relay off or suspends it.
func (r *simRelay) fail(n int) {
	r.term()
	until := time.Now().Add(r.sim.drawDuration(200*time.Millisecond, simMaxRelayOutage, r.name, "outage", n))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sim.draw(2, r.name, "suspended", n) == 0 {
		r.suspendedUntil = until
		return
	}
	r.cutUntil = until
}

// sendToRelay delivers a leader's message. One to a suspended relay waits for its end.
func (s *sim) sendToRelay(name string, m *jobpb.RelayMessage) {
	for _, r := range s.relays {
		if r.name != name {
			continue
		}
		delay := s.drawDuration(time.Millisecond, 4*time.Millisecond, name, m.Number)
		r.mu.Lock()
		cut, suspended := time.Now().Before(r.cutUntil), time.Until(r.suspendedUntil)
		r.mu.Unlock()
		if !cut {
			time.AfterFunc(max(delay, suspended+delay), func() { r.relay.handle(fmt.Sprint("c-", m.Term), m) })
		}
	}
}

func (r *simRelay) sendToLeader(_ string, m *jobpb.RelayMessage) {
	if r.unreachable() {
		return
	}
	time.AfterFunc(r.sim.drawDuration(time.Millisecond, 4*time.Millisecond, r.name, "reply", m.Received), func() {
		r.sim.mu.Lock()
		session := r.sim.control.session
		r.sim.mu.Unlock()
		if session.term == m.Term {
			session.relays.handle(r.name, m)
		}
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
