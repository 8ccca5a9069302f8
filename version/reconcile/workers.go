package reconcile

import (
	"time"

	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// downPolls is the number of polls in a row that must report a worker as down
// before its host counts as failed; a single report may be a restart.
const downPolls = 2

// workers holds the platform's reports on the workers since the term began.
type workers struct {
	reports      map[string]*workerReport
	changed      bool          // a worker's state differs from the one that the scheduler has
	lastPollSent time.Duration // when the last complete poll was sent
	rebootedAt   map[Reboot]time.Duration
}

type workerReport struct {
	up              bool
	consecutiveDown int // polls in a row that reported the worker as down
}

// Reboot identifies one maintenance of a host. It is the same for every leader, so
// that a host is rebooted only once in each maintenance.
type Reboot struct {
	Host  string
	Epoch uint64
}

func newWorkers() workers {
	return workers{reports: make(map[string]*workerReport), rebootedAt: make(map[Reboot]time.Duration)}
}

// hasCompletePoll reports whether a complete poll has been received.
func (w *workers) hasCompletePoll() bool { return w.lastPollSent != 0 }

// ObserveWorkers records a complete poll of which workers are up. sent is the time
// at which the poll was sent.
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
		report.consecutiveDown++
		if isUp {
			report.consecutiveDown = 0
		}
	}
	w.lastPollSent = sent
}

func (w *workers) up(name string) bool {
	report := w.reports[name]
	return report != nil && report.up
}

// WorkerUp reports whether a host's worker is up. For a host in maintenance, only a
// poll that was sent after the reboot was confirmed counts.
func (w *workers) WorkerUp(h *fleetpb.Host) bool {
	if !w.up(h.GetName()) || h.GetState() != fleetpb.HostState_HOST_STATE_OUT {
		return w.up(h.GetName())
	}
	at, ok := w.rebootedAt[Reboot{h.GetName(), h.GetEpoch()}]
	return ok && w.lastPollSent > at
}

// FailedHosts returns the steps that mark the hosts whose workers are down
// although the hosts are not in maintenance.
func (w *workers) FailedHosts(f *fleet.Fleet) []*fleetpb.HostStep {
	var out []*fleetpb.HostStep
	for h := range f.Hosts() {
		report := w.reports[h.GetName()]
		if report == nil || report.consecutiveDown < downPolls || failed(h) || h.GetState() == fleetpb.HostState_HOST_STATE_OUT {
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
		if _, done := w.rebootedAt[r]; !done && h.GetState() == fleetpb.HostState_HOST_STATE_OUT {
			out = append(out, r)
		}
	}
	return out
}

// Rebooted records that the platform has confirmed a reboot.
func (w *workers) Rebooted(r Reboot, at time.Duration) { w.rebootedAt[r] = at }
