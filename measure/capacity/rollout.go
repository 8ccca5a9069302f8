package capacity

import (
	"slices"
	"time"

	"marjoramtiller.example/marjoramtiller/version/plan"
)

// Rollout is the time to maintain all hosts of the service pools.
type Rollout struct {
	Planned    time.Duration
	LowerBound time.Duration
	OneHost    time.Duration // baseline: one host of each pool at a time
	OneRack    time.Duration // baseline: the hosts of one rack at a time
	TenPercent time.Duration // baseline: a tenth of each pool at a time
}

// MeasureRollout simulates one wave over the fleet with spare hosts lent to the
// pools. All policies start from the same fleet and keep every pool within its
// budget.
func (f Fleet) MeasureRollout() Rollout {
	lent := f.Lent()
	sizes := make(map[string]int)
	for _, h := range lent.Hosts {
		sizes[h.Pool]++
	}
	byPool := func(h plan.Host) string { return h.Pool }
	return Rollout{
		Planned:    lent.simulateRollout(plannedStarts),
		LowerBound: lent.rolloutBound(),
		OneHost:    lent.simulateRollout(atMost(byPool, func(string) int { return 1 })),
		OneRack:    lent.simulateRollout(oneRack),
		TenPercent: lent.simulateRollout(atMost(byPool, func(pool string) int { return max(1, sizes[pool]/10) })),
	}
}

// wave is the state of a simulated rollout.
type wave struct {
	Fleet
	now     time.Duration
	waiting []string       // hosts whose maintenance has not started
	out     []plan.OutHost // hosts in maintenance
	byName  map[string]*plan.Host
}

// startPolicy returns the hosts whose maintenance starts now.
type startPolicy func(w *wave) []string

// stuck is the rollout time of a policy that starts no host although some are
// waiting and none is in maintenance.
const stuck = time.Duration(-1)

// simulateRollout simulates maintenance of all hosts of the service pools and
// returns the time that it takes, or stuck.
func (f Fleet) simulateRollout(choose startPolicy) time.Duration {
	w := &wave{Fleet: f.clone(), byName: make(map[string]*plan.Host)}
	spare := f.sparePool()
	for i := range w.Hosts {
		h := &w.Hosts[i]
		w.byName[h.Name] = h
		if h.Pool != spare {
			w.waiting = append(w.waiting, h.Name)
		}
	}
	for len(w.waiting)+len(w.out) > 0 {
		w.start(choose(w))
		if len(w.out) == 0 {
			return stuck
		}
		w.advance()
	}
	return w.now
}

func (w *wave) start(names []string) {
	for _, name := range names {
		w.byName[name].Available = false
		w.out = append(w.out, plan.OutHost{Host: name, DueAt: w.now + w.Expected[name]})
	}
	w.waiting = slices.DeleteFunc(w.waiting, func(n string) bool { return !w.byName[n].Available })
}

// advance moves the time forward to the next end of maintenance and makes the
// hosts whose maintenance ends then available again.
func (w *wave) advance() {
	w.now = slices.MinFunc(w.out, func(a, b plan.OutHost) int { return int(a.DueAt - b.DueAt) }).DueAt
	w.out = slices.DeleteFunc(w.out, func(o plan.OutHost) bool {
		if o.DueAt > w.now {
			return false
		}
		w.byName[o.Host].Available = true
		return true
	})
}

// plannedStarts starts the hosts that plan.PlanWaves selects.
func plannedStarts(w *wave) []string {
	p := plan.PlanWaves(plan.WaveInput{
		Now: w.now, Pools: w.Pools, Hosts: w.Hosts, Expected: w.Expected,
		Waves: []plan.Wave{{Name: "w", Waiting: w.waiting, Out: w.out}}, Settings: plan.DefaultWaveSettings(),
	})
	var out []string
	for _, s := range p.Starts {
		out = append(out, s.Host)
	}
	return out
}

// atMost returns a policy that starts waiting hosts in their order while their
// group has fewer than limit hosts in maintenance and the pool's budget allows it.
func atMost(group func(plan.Host) string, limit func(group string) int) startPolicy {
	return func(w *wave) []string {
		budgets := w.budgets()
		busy := make(map[string]int)
		for _, o := range w.out {
			busy[group(*w.byName[o.Host])]++
		}
		var out []string
		for _, name := range w.waiting {
			h := w.byName[name]
			g := group(*h)
			if busy[g] >= limit(g) || !budgets[h.Pool].MayRemove(h.Domain) {
				continue
			}
			busy[g]++
			budgets[h.Pool].Remove(h.Domain)
			out = append(out, name)
		}
		return out
	}
}

// oneRack starts the hosts of one rack that the budget allows, and starts the next
// hosts when all of these are available again.
func oneRack(w *wave) []string {
	if len(w.out) > 0 || len(w.waiting) == 0 {
		return nil
	}
	rack := w.byName[w.waiting[0]].Domain
	inRack := func(h plan.Host) string {
		if h.Domain == rack {
			return "in"
		}
		return ""
	}
	return atMost(inRack, func(g string) int { return len(g) * len(w.Hosts) })(w)
}

// rolloutBound returns a lower bound of the time that any rollout takes. It is the
// greatest of the longest maintenance of a single host and, for each pool, the sum
// of its maintenance times divided by the maximum number of hosts that can be in
// maintenance at the same time.
func (f Fleet) rolloutBound() time.Duration {
	bound := time.Duration(0)
	work := make(map[string]time.Duration)
	spare := f.sparePool()
	for _, h := range f.Hosts {
		if h.Pool == spare {
			continue
		}
		bound = max(bound, f.Expected[h.Name])
		work[h.Pool] += f.Expected[h.Name]
	}
	budgets := f.budgets()
	l := f.layout()
	for _, p := range f.Pools {
		available := budgets[p.Name].Available()
		out := available - p.Promised - leastReserve(p, l)
		if p.MaxOut > 0 {
			out = min(out, p.MaxOut)
		}
		if !p.Spare && out > 0 {
			bound = max(bound, work[p.Name]/time.Duration(out))
		}
	}
	return bound
}
