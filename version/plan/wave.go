package plan

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Wave is a maintenance wave that has not ended.
type Wave struct {
	Name string
	// Waiting lists the hosts still to be maintained.
	Waiting []string
	// Out lists the hosts that the wave has draining, released or in maintenance.
	Out []OutHost
}

// OutHost is a host that a wave has taken out.
type OutHost struct {
	Host string
	// DueAt is when the host is expected back, since the driver's start.
	DueAt time.Duration
	// Failed marks a host that is known not to return by itself.
	Failed bool
}

// WaveSettings decides when a wave is paused.
type WaveSettings struct {
	// OverdueLimit is the number of overdue hosts at which a wave counts as having a
	// correlated failure. A single overdue host may be an isolated fault.
	OverdueLimit int
	// Grace is how long after DueAt a host counts as overdue.
	Grace time.Duration
}

// DefaultWaveSettings pauses a wave at the second overdue host.
func DefaultWaveSettings() WaveSettings {
	return WaveSettings{OverdueLimit: 2, Grace: time.Minute}
}

// WaveInput is the snapshot for PlanWaves.
type WaveInput struct {
	Now      time.Duration
	Pools    []Pool
	Hosts    []Host
	Waves    []Wave
	Expected map[string]time.Duration // drain and maintenance time by host; absent: the shortest
	Settings WaveSettings
}

// Start is a request to begin draining a host now.
type Start struct {
	Host, Wave, Pool string
}

// Pause keeps a wave from draining further hosts. It is valid for one plan: the wave
// resumes with the first plan that does not list it.
type Pause struct {
	Wave, Reason string
}

// Blocked reports a pool in which a wave has waiting hosts but none out, and cannot drain
// any. The wave can advance once a spare host is lent to the pool.
type Blocked struct {
	Wave, Pool string
	Margin     int
}

// WavePlan lists the drains to start now, the paused waves and the blocked pools.
type WavePlan struct {
	Starts  []Start
	Paused  []Pause
	Blocked []Blocked
}

type waveCandidate struct {
	host     *Host
	wave     *Wave
	expected time.Duration
	selected bool
}

type wavePool struct {
	Pool
	budget     *Budget
	out        int
	candidates []*waveCandidate
}

// PlanWaves chooses the hosts to start draining now. Hosts that take longest start
// first, since the last host to return determines the end of the roll-out. Among hosts
// of about equal time it prefers those whose drain lowers the pool's margin least, then
// those in the zone with the most available hosts.
func PlanWaves(in WaveInput) WavePlan {
	hosts := make(map[string]*Host, len(in.Hosts))
	pools := map[string]*wavePool{}
	for _, p := range in.Pools {
		pools[p.Name] = &wavePool{Pool: p, budget: NewBudget(p.Promised, p.Tolerance)}
	}
	for i := range in.Hosts {
		h := &in.Hosts[i]
		hosts[h.Name] = h
		if p := pools[h.Pool]; p != nil && h.Available {
			p.budget.Add(h.Domain)
		}
	}
	for i := range in.Waves {
		countOut(&in.Waves[i], hosts, pools)
	}
	var plan WavePlan
	claimed := map[string]bool{}
	for i := range in.Waves {
		w := &in.Waves[i]
		if reason := pauseReason(in, w, hosts, pools); reason != "" {
			plan.Paused = append(plan.Paused, Pause{w.Name, reason})
			continue
		}
		for _, name := range w.Waiting {
			h := hosts[name]
			if h == nil || !h.Available || claimed[name] || pools[h.Pool] == nil {
				continue
			}
			claimed[name] = true
			p := pools[h.Pool]
			p.candidates = append(p.candidates, &waveCandidate{host: h, wave: w, expected: in.Expected[name]})
		}
	}
	names := make([]string, 0, len(pools))
	for name := range pools {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		pools[name].startDrains(&plan)
	}
	return plan
}

func countOut(w *Wave, hosts map[string]*Host, pools map[string]*wavePool) {
	for _, o := range w.Out {
		if h := hosts[o.Host]; h != nil && pools[h.Pool] != nil && !o.Failed {
			pools[h.Pool].out++
		}
	}
}

// pauseReason returns why a wave may not drain further hosts, or an empty string. A wave
// with a correlated failure may continue only while each affected pool could lose as
// many hosts again.
func pauseReason(in WaveInput, w *Wave, hosts map[string]*Host, pools map[string]*wavePool) string {
	overdue, overdueByPool := 0, map[string]int{}
	firstOverdue := ""
	for _, o := range w.Out {
		if !o.Failed && in.Now <= o.DueAt+in.Settings.Grace {
			continue
		}
		overdue++
		if firstOverdue == "" || o.Host < firstOverdue {
			firstOverdue = o.Host
		}
		if h := hosts[o.Host]; h != nil {
			overdueByPool[h.Pool]++
		}
	}
	if overdue < max(1, in.Settings.OverdueLimit) {
		return ""
	}
	names := make([]string, 0, len(overdueByPool))
	for name := range overdueByPool {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if p := pools[name]; p != nil && p.budget.Margin() < overdueByPool[name] {
			return fmt.Sprintf("%d hosts have failed or have not returned in time, among them %s; pool %s has margin %d and needs %d to continue: repair the hosts or add spare hosts",
				overdue, firstOverdue, name, p.budget.Margin(), overdueByPool[name])
		}
	}
	return ""
}

// startDrains adds the pool's candidates to the plan until the budget or MaxOut allows no more.
func (p *wavePool) startDrains(plan *WavePlan) {
	if len(p.candidates) == 0 {
		return
	}
	slices.SortStableFunc(p.candidates, func(a, b *waveCandidate) int {
		return cmp.Or(cmp.Compare(b.expected, a.expected), cmp.Compare(a.host.Zone, b.host.Zone),
			cmp.Compare(a.host.Rack, b.host.Rack), cmp.Compare(a.host.Name, b.host.Name))
	})
	started := 0
	for p.MaxOut == 0 || p.out < p.MaxOut {
		c := p.next()
		if c == nil {
			break
		}
		c.selected = true
		p.budget.Remove(c.host.Domain)
		p.out++
		started++
		plan.Starts = append(plan.Starts, Start{c.host.Name, c.wave.Name, p.Name})
	}
	if started == 0 && p.out == 0 {
		plan.Blocked = append(plan.Blocked, Blocked{p.candidates[0].wave.Name, p.Name, p.budget.Margin()})
	}
}

// similarTimeRatio is the ratio of expected times above which two hosts count as taking
// equally long.
const similarTimeRatio = 0.9

// next returns the best candidate that the budget allows, or nil.
func (p *wavePool) next() *waveCandidate {
	if p.budget.Margin() < 0 {
		return nil
	}
	var best *waveCandidate
	var shortest float64
	bestMargin, bestZoneHosts := 0, 0
	margins := map[Domain]int{}
	for _, c := range p.candidates {
		if c.selected {
			continue
		}
		if best != nil && float64(c.expected) < shortest {
			break
		}
		margin, ok := margins[c.host.Domain]
		if !ok {
			margin, _ = p.budget.MarginWithout(c.host.Domain)
			margins[c.host.Domain] = margin
		}
		if margin < 0 {
			continue
		}
		if best == nil {
			shortest = similarTimeRatio * float64(c.expected)
		}
		zoneHosts := p.budget.ZoneHosts(c.host.Zone)
		if best == nil || margin > bestMargin || margin == bestMargin && zoneHosts > bestZoneHosts {
			best, bestMargin, bestZoneHosts = c, margin, zoneHosts
		}
	}
	return best
}
