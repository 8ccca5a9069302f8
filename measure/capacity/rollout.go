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
	OneHost    time.Duration // one host of each pool at a time
	OneRack    time.Duration // the hosts of one rack at a time
	TenPercent time.Duration // a tenth of each pool at a time
}

// MeasureRollout simulates one wave over the fleet with lent spare hosts. All
// policies start from the same fleet and keep every pool within its budget.
func (f Fleet) MeasureRollout() Rollout {
	l := f.Lent()
	sizes := make(map[string]int)
	for _, h := range l.Hosts {
		sizes[h.Pool]++
	}
	byPool := func(h plan.Host) string { return h.Pool }
	return Rollout{
		Planned:    l.rollOut(planned),
		LowerBound: l.rolloutBound(),
		OneHost:    l.rollOut(atMost(byPool, func(string) int { return 1 })),
		OneRack:    l.rollOut(oneRack),
		TenPercent: l.rollOut(atMost(byPool, func(pool string) int { return max(1, sizes[pool]/10) })),
	}
}

// wave is the state of a simulated roll-out.
type wave struct {
	Fleet
	now     time.Duration
	waiting []string
	out     []plan.OutHost
	byName  map[string]*plan.Host
}

// choice returns the hosts to start now.
type choice func(w *wave) []string

// stuck is the result of a policy that can start no host although some wait.
const stuck = time.Duration(-1)

// rollOut maintains all hosts of service pools and returns the time taken.
func (f Fleet) rollOut(choose choice) time.Duration {
	w := &wave{Fleet: f.clone(), byName: make(map[string]*plan.Host)}
	spare := f.spare()
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

// advance goes to the time at which the next host is back.
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

func planned(w *wave) []string {
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

// atMost starts waiting hosts in their order while their group has fewer than
// limit hosts out and the budget allows it.
func atMost(group func(plan.Host) string, limit func(group string) int) choice {
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

// oneRack starts the hosts of one rack that the budget allows, and the next ones
// when all are back.
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

// rolloutBound is the least time that any roll-out can take: the longest single
// host, and for each pool its work divided by the most hosts that can be out.
func (f Fleet) rolloutBound() time.Duration {
	bound := time.Duration(0)
	work := make(map[string]time.Duration)
	spare := f.spare()
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
