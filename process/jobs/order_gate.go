package jobs

import (
	"time"

	"marjoramtiller.example/marjoramtiller/job/state"
)

// waveOrderRetention is the time after a completed wave's due time during which a new
// term assumes that the wave's machines were ordered just before it began.
const waveOrderRetention = 10 * time.Second

// orderGate decides for which machines this term may send orders. The machine
// service requires a gap between the orders of two leaders for the same machine.
// The log names the machines that an earlier leader may have ordered within that
// gap; orders for all other machines need not wait.
type orderGate struct {
	began, gap    time.Duration
	earlierOrders map[string]string        // machine ordered by an earlier leader -> target pool of a move, empty for an upkeep
	orderedAt     map[string]time.Duration // time of this term's last order, by machine
}

func newOrderGate(st *state.Store, began, gap time.Duration, nowMs int64) *orderGate {
	g := &orderGate{began: began, gap: gap, earlierOrders: map[string]string{}, orderedAt: map[string]time.Duration{}}
	for _, w := range st.Waves() {
		if state.WaveCompleted(w) && w.DueMs+waveOrderRetention.Milliseconds() < nowMs {
			continue
		}
		for _, m := range w.Machines {
			if m.Ordered || m.Begun {
				g.earlierOrders[m.Machine] = ""
			}
		}
	}
	for name, m := range st.Moves() {
		g.earlierOrders[name] = m.Pool
	}
	return g
}

// mayOrder reports whether an order for a machine may be sent.
func (g *orderGate) mayOrder(now time.Duration, machine string) bool {
	_, found := g.earlierOrders[machine]
	return !found || now >= g.began+g.gap
}

// inheritedMove reports whether an earlier leader's move of a machine may still be
// carried out, and to which pool.
func (g *orderGate) inheritedMove(now time.Duration, machine string) (pool string, may bool) {
	pool = g.earlierOrders[machine]
	return pool, pool != "" && now < g.began+g.gap
}

// recordOrder records that an order for a machine is about to be sent or was
// answered.
func (g *orderGate) recordOrder(now time.Duration, machine string) { g.orderedAt[machine] = now }

// gapPassed reports whether the gap since the last order for a machine has passed.
// A successor may then order the machine at once, so that its move need not stay in
// the log.
func (g *orderGate) gapPassed(now time.Duration, machine string) bool {
	at, found := g.orderedAt[machine]
	if !found {
		at = g.began // ordered by an earlier leader
	}
	return now >= at+g.gap
}
