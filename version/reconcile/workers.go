package reconcile

import (
	"time"

	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// downPolls is the number of polls in a row that must report a worker as down
// before its host counts as failed; a single report may be a restart.
const downPolls = 2

// workers is what the platform said of the workers since the term began.
type workers struct {
	reports  map[string]*workerReport
	changed  bool          // a worker's state differs from what the scheduler was told
	polled   time.Duration // when the last complete poll was sent
	rebooted map[Reboot]time.Duration
}

type workerReport struct {
	up   bool
	down int // polls in a row that reported the worker as down
}

// Reboot names one maintenance of a host. It is the same for every leader, so
// that a host reboots once in it.
type Reboot struct {
	Host  string
	Epoch uint64
}

func newWorkers() workers {
	return workers{reports: make(map[string]*workerReport), rebooted: make(map[Reboot]time.Duration)}
}

// known reports whether a complete poll has been seen.
func (w *workers) known() bool { return w.polled != 0 }

// ObserveWorkers takes a complete poll, sent at a time, of which workers are up.
func (w *workers) ObserveWorkers(up map[string]bool, sent time.Duration) {
	for name, isUp := range up {
		report := w.reports[name]
		if report == nil {
			report = new(workerReport)
			w.reports[name] = report
			w.changed = true
		}
		w.changed = w.changed || report.up != isUp
		report.up = isUp
		report.down++
		if isUp {
			report.down = 0
		}
	}
	w.polled = sent
}

func (w *workers) up(name string) bool {
	report := w.reports[name]
	return report != nil && report.up
}

// WorkerUp reports whether a host's worker is back. For a host in maintenance
// that takes a poll sent after the reboot was confirmed.
func (w *workers) WorkerUp(h *fleetpb.Host) bool {
	if !w.up(h.GetName()) || h.GetState() != fleetpb.HostState_HOST_STATE_OUT {
		return w.up(h.GetName())
	}
	at, ok := w.rebooted[Reboot{h.GetName(), h.GetEpoch()}]
	return ok && w.polled > at
}

// FailedHosts returns the steps that mark the hosts whose workers are down
// without maintenance.
func (w *workers) FailedHosts(f *fleet.Fleet) []*fleetpb.HostStep {
	var out []*fleetpb.HostStep
	for h := range f.Hosts() {
		report := w.reports[h.GetName()]
		if report == nil || report.down < downPolls || failed(h) || h.GetState() == fleetpb.HostState_HOST_STATE_OUT {
			continue
		}
		out = append(out, &fleetpb.HostStep{
			Host: h.GetName(), Kind: fleetpb.HostStep_KIND_FAIL,
			ExpectedEpoch: h.GetEpoch(), ExpectedState: h.GetState(),
		})
	}
	return out
}

// RebootsDue returns the hosts that are out and whose reboot is not confirmed.
func (w *workers) RebootsDue(f *fleet.Fleet) []Reboot {
	var out []Reboot
	for h := range f.Inactive() {
		r := Reboot{h.GetName(), h.GetEpoch()}
		if _, done := w.rebooted[r]; !done && h.GetState() == fleetpb.HostState_HOST_STATE_OUT {
			out = append(out, r)
		}
	}
	return out
}

// Rebooted notes that the platform has confirmed a reboot.
func (w *workers) Rebooted(r Reboot, at time.Duration) { w.rebooted[r] = at }
