package jobs

import (
	"time"

	"marjoramtiller.example/marjoramtiller/job/state"
)

// waveMemory is how long after a wave is due its machines count as ordered a
// moment ago, in a term that begins then.
const waveMemory = 10 * time.Second

// holder decides for which machines this term may send orders. Two leaders must
// not take turns at one machine within the gap that the machine service states.
// The log names the machines that an earlier leader may have ordered within it;
// for all others the first order of a term need not wait.
type holder struct {
	began, gap time.Duration
	earlier    map[string]string        // machines of earlier leaders' orders, and the pool of a move
	orderedAt  map[string]time.Duration // last order of this term
}

func newHolder(st *state.Store, began, gap time.Duration, nowMs int64) *holder {
	h := &holder{began: began, gap: gap, earlier: map[string]string{}, orderedAt: map[string]time.Duration{}}
	for _, w := range st.Waves() {
		if state.WaveCompleted(w) && w.DueMs+waveMemory.Milliseconds() < nowMs {
			continue
		}
		for _, m := range w.Machines {
			if m.Ordered || m.Begun {
				h.earlier[m.Machine] = ""
			}
		}
	}
	for name, m := range st.Moves() {
		h.earlier[name] = m.Pool
	}
	return h
}

// mayOrder reports whether an order for a machine may be sent.
func (h *holder) mayOrder(now time.Duration, machine string) bool {
	_, there := h.earlier[machine]
	return !there || now >= h.began+h.gap
}

// arrives reports whether an earlier leader's move of a machine may still be
// carried out, and to which pool.
func (h *holder) arrives(now time.Duration, machine string) (pool string, may bool) {
	pool = h.earlier[machine]
	return pool, pool != "" && now < h.began+h.gap
}

// ordered notes that an order for a machine is about to be sent, or was answered.
func (h *holder) ordered(now time.Duration, machine string) { h.orderedAt[machine] = now }

// forgettable reports whether a successor may order a machine at once, so that
// its move need not stay in the log.
func (h *holder) forgettable(now time.Duration, machine string) bool {
	at, there := h.orderedAt[machine]
	if !there {
		at = h.began // an earlier leader's
	}
	return now >= at+h.gap
}
