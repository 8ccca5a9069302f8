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

// month returns the calendar month (UTC) of the replicated now.
func (f *Fleet) month() string {
	return time.UnixMilli(f.nowMs).UTC().Format(monthLayout)
}

// figure returns a fresh copy of a pool's figures of the month, already stored.
func (f *Fleet) figure(pool string) *fleetpb.MonthFigures {
	id := figureID{f.month(), pool}
	old, ok := f.figures[id]
	if !ok {
		f.dropOldFigures()
		old = &fleetpb.MonthFigures{Month: id.month, Pool: pool}
	}
	n := proto.Clone(old).(*fleetpb.MonthFigures)
	f.figures[id] = n
	return n
}

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

// addSample adds to the month's figures. Samples of pools that were deleted
// meanwhile are dropped.
func (f *Fleet) addSample(s *fleetpb.Sample) {
	for _, p := range s.GetPools() {
		if f.Pool(p.Pool) == nil {
			continue
		}
		m := f.figure(p.Pool)
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

// count adds the moves, maintained hosts and ended waves of a committed command.
func (t *tx) count() {
	for _, id := range t.touched {
		switch old := t.old[id].(type) {
		case *fleetpb.Host:
			t.countHost(old, t.f.Host(id.name))
		case *fleetpb.Wave:
			t.countWave(old, t.f.Wave(id.name))
		}
	}
}

func (t *tx) countHost(old, now *fleetpb.Host) {
	if now == nil {
		return
	}
	if old.Pool != now.Pool {
		t.f.figure(now.Pool).HostMoves++
	}
	returned := old.State == fleetpb.HostState_HOST_STATE_OUT && now.State == fleetpb.HostState_HOST_STATE_ACTIVE
	if returned {
		t.f.figure(now.Pool).HostsMaintained++
	}
}

// countWave counts an ended wave once for every pool that it had a host of.
func (t *tx) countWave(old, now *fleetpb.Wave) {
	done := fleetpb.WaveState_WAVE_STATE_DONE
	if now == nil || old.State == done || now.State != done {
		return
	}
	counted := make(map[string]bool)
	for _, name := range now.Hosts {
		h := t.f.Host(name)
		if h == nil || counted[h.Pool] {
			continue
		}
		counted[h.Pool] = true
		m := t.f.figure(h.Pool)
		m.WavesDone++
		m.WaveSeconds += uint64(max(0, now.EndedUnixMs-now.StartedUnixMs)) / uint64(time.Second/time.Millisecond)
	}
}

// Figures returns the monthly figures in order of month and pool.
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
