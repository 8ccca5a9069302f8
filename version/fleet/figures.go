package fleet

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

type figureID struct{ month, pool string }

const monthLayout = "2006-01"

// currentMonth returns the calendar month (UTC) of the replicated time.
func (f *Fleet) currentMonth() string {
	return time.UnixMilli(f.nowMs).UTC().Format(monthLayout)
}

// currentFigures returns a pool's figures of the current month for the caller to
// update. They are a stored copy, so earlier readers keep the former values.
func (f *Fleet) currentFigures(pool string) *fleetpb.MonthFigures {
	id := figureID{f.currentMonth(), pool}
	old, ok := f.figures[id]
	if !ok {
		f.dropOldFigures()
		old = &fleetpb.MonthFigures{Month: id.month, Pool: pool}
	}
	updated := proto.Clone(old).(*fleetpb.MonthFigures)
	f.figures[id] = updated
	return updated
}

// dropOldFigures removes the figures of months that are FigureMonths or more
// before the current one.
func (f *Fleet) dropOldFigures() {
	oldest := time.UnixMilli(f.nowMs).UTC()
	oldest = time.Date(oldest.Year(), oldest.Month()-FigureMonths, 1, 0, 0, 0, 0, time.UTC)
	limit := oldest.Format(monthLayout)
	for id := range f.figures {
		if id.month <= limit {
			delete(f.figures, id)
		}
	}
}

// addSample adds a sample to the month's figures. Pools that no longer exist are
// skipped.
func (f *Fleet) addSample(s *fleetpb.Sample) {
	for _, p := range s.GetPools() {
		if f.Pool(p.Pool) == nil {
			continue
		}
		m := f.currentFigures(p.Pool)
		if m.ObservedSeconds == 0 || p.AvailableHosts < m.LeastAvailableHosts {
			m.LeastAvailableHosts = p.AvailableHosts
		}
		seconds := uint64(p.Seconds)
		m.ObservedSeconds += seconds
		m.PromisedHostSeconds += seconds * uint64(p.PromisedHosts)
		m.TotalHostSeconds += seconds * uint64(p.TotalHosts)
		if p.AvailableHosts < p.PromisedHosts {
			m.BelowPromiseSeconds += seconds
		}
		m.Requests += p.Requests
		m.Refused += p.Refused
		m.Unknown += p.Unknown
		m.Retried += p.Retried
		m.ShortWaitP99Ms = max(m.ShortWaitP99Ms, p.ShortWaitP99Ms)
	}
}

// countFigures adds the moves, maintained hosts and ended waves of a committed
// command to the month's figures.
func (t *tx) countFigures() {
	for _, id := range t.touched {
		switch old := t.before[id].(type) {
		case *fleetpb.Host:
			t.countHost(old, t.fleet.Host(id.name))
		case *fleetpb.Wave:
			t.countWave(old, t.fleet.Wave(id.name))
		}
	}
}

func (t *tx) countHost(old, updated *fleetpb.Host) {
	if updated == nil {
		return
	}
	if old.Pool != updated.Pool {
		t.fleet.currentFigures(updated.Pool).HostMoves++
	}
	returned := old.State == fleetpb.HostState_HOST_STATE_OUT && updated.State == fleetpb.HostState_HOST_STATE_ACTIVE
	if returned {
		t.fleet.currentFigures(updated.Pool).HostsMaintained++
	}
}

// countWave counts an ended wave once for each pool that one of its hosts is in.
func (t *tx) countWave(old, updated *fleetpb.Wave) {
	done := fleetpb.WaveState_WAVE_STATE_DONE
	if updated == nil || old.State == done || updated.State != done {
		return
	}
	counted := make(map[string]bool)
	for _, name := range updated.Hosts {
		h := t.fleet.Host(name)
		if h == nil || counted[h.Pool] {
			continue
		}
		counted[h.Pool] = true
		m := t.fleet.currentFigures(h.Pool)
		m.WavesDone++
		m.WaveSeconds += uint64(max(0, updated.EndedUnixMs-updated.StartedUnixMs)) / uint64(time.Second/time.Millisecond)
	}
}

// Figures returns the monthly figures sorted by month and pool.
func (f *Fleet) Figures() []*fleetpb.MonthFigures {
	out := make([]*fleetpb.MonthFigures, 0, len(f.figures))
	for _, m := range f.figures {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *fleetpb.MonthFigures) int {
		return cmp.Or(cmp.Compare(a.Month, b.Month), cmp.Compare(a.Pool, b.Pool))
	})
	return out
}
