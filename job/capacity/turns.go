package capacity

import "time"

// Turns follows which pools have had a peak of demand. Where pools peak in turn,
// the one whose peak is the longest ago comes next, and a pool that has just had
// its peak needs few machines ready.
type Turns struct {
	set  Settings
	last map[string]time.Duration // end of the latest peak, by pool; while it lasts, now
}

// NewTurns returns a history without peaks.
func NewTurns(set Settings) *Turns { return &Turns{set: set, last: map[string]time.Duration{}} }

// Note marks the pools whose peak is over and whose turn is not the next one.
// machines are those that the pools are planned with.
func (t *Turns) Note(now time.Duration, pools []Pool, machines []Machine) {
	cores := 0.0
	for _, m := range machines {
		cores += m.Cores
	}
	peak := t.set.Peak * cores / float64(max(1, len(pools)))
	peaking := map[string]bool{}
	for _, p := range pools {
		if !p.Standby && p.Cores > peak {
			peaking[p.Name] = true
			t.last[p.Name] = now
		}
	}
	for i := range pools {
		pools[i].Rested = !peaking[pools[i].Name] && t.olderPeak(pools, peaking, pools[i].Name)
	}
}

// olderPeak reports whether another pool's peak is longer ago, or has not come yet.
func (t *Turns) olderPeak(pools []Pool, peaking map[string]bool, name string) bool {
	mine, peaked := t.last[name]
	if !peaked {
		return false
	}
	for _, p := range pools {
		if p.Standby || p.Name == name || peaking[p.Name] {
			continue
		}
		if other, had := t.last[p.Name]; !had || other < mine {
			return true
		}
	}
	return false
}
