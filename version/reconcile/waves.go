package reconcile

import (
	"slices"
	"strings"
	"time"

	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/plan"
)

const (
	// defaultMaintenance is the expected time that a host is out, used until
	// the first host of any wave has returned.
	defaultMaintenance = 10 * time.Minute
	// returnFactor times the mean maintenance time is the time within which a host
	// must return. Maintenance times vary, and pausing a wave for a host that is
	// only slow delays the wave.
	returnFactor = 2
	// checkpointTime is the expected time to checkpoint a task, and requestTime
	// that to finish one request. Both affect only the order in which a
	// wave drains its hosts.
	checkpointTime = 30 * time.Second
	requestTime    = time.Second
)

// OperatorPause is the prefix of the reason of a pause that only an operator can
// end. It is part of the replicated state, so that a new leader keeps the pause.
const OperatorPause = "operator: "

func pausedByOperator(w *fleetpb.Wave) bool {
	return w.GetState() == fleetpb.WaveState_WAVE_STATE_PAUSED && strings.HasPrefix(w.GetPauseReason(), OperatorPause)
}

func running(w *fleetpb.Wave) bool { return w.GetState() == fleetpb.WaveState_WAVE_STATE_RUNNING }

// inProgress reports whether a wave has started and not ended.
func inProgress(w *fleetpb.Wave) bool {
	return running(w) || w.GetState() == fleetpb.WaveState_WAVE_STATE_PAUSED && w.GetStartedUnixMs() != 0
}

// unfinishedHosts returns the existing hosts whose maintenance a wave has not finished.
func (r *round) unfinishedHosts(w *fleetpb.Wave) []*fleetpb.Host {
	var out []*fleetpb.Host
	for _, name := range w.GetHosts() {
		if h := r.in.Fleet.Host(name); h != nil && !slices.Contains(w.GetDoneHosts(), name) {
			out = append(out, h)
		}
	}
	return out
}

func failed(h *fleetpb.Host) bool { return h.GetState() == fleetpb.HostState_HOST_STATE_FAILED }

func (r *round) countWave(w *fleetpb.Wave) {
	if !inProgress(w) {
		return
	}
	for _, h := range r.unfinishedHosts(w) {
		pool := h.GetPool()
		switch {
		case h.GetWave() == w.GetName():
			r.inMaintenance[pool]++
		case !failed(h):
			r.waiting[pool] = append(r.waiting[pool], h)
			if running(w) && active(h) {
				r.ready[pool] = append(r.ready[pool], h)
			}
		}
	}
}

// stepWaves starts due waves, pauses and resumes those in progress, and ends those
// that have maintained all of their hosts that still exist.
func (r *round) stepWaves() {
	reasons := make(map[string]string)
	for _, p := range r.plan.Paused {
		reasons[p.Wave] = p.Reason
	}
	for w := range r.in.Fleet.Waves() {
		reason, pause := reasons[w.GetName()]
		switch {
		case pausedByOperator(w) || w.GetState() == fleetpb.WaveState_WAVE_STATE_DONE:
		case w.GetState() == fleetpb.WaveState_WAVE_STATE_PENDING:
			if w.GetNotBeforeUnixMs() <= r.in.NowMs {
				r.waveStep(w, fleetpb.WaveState_WAVE_STATE_RUNNING, "")
			}
		case running(w) && len(r.unfinishedHosts(w)) == 0:
			r.waveStep(w, fleetpb.WaveState_WAVE_STATE_DONE, "")
		case pause && running(w):
			r.waveStep(w, fleetpb.WaveState_WAVE_STATE_PAUSED, reason)
		case !pause && !running(w):
			r.waveStep(w, fleetpb.WaveState_WAVE_STATE_RUNNING, "")
		}
	}
}

// startDrains drains the hosts of running waves that the planner chooses. A wave
// that starts, resumes or pauses in this round drains none.
func (r *round) startDrains() {
	for _, s := range r.plan.Starts {
		h := r.trial.Host(s.Host)
		if !running(r.in.Fleet.Wave(s.Wave)) || fleet.CheckDrain(r.trial, h, true) != nil {
			continue
		}
		r.hostStep(h, fleetpb.HostStep_KIND_DRAIN, "", s.Wave)
		r.inMaintenance[h.GetPool()]++
	}
}

// planInput describes the waves in progress, except those that an operator has paused.
func (r *round) planInput() plan.WaveInput {
	in := plan.WaveInput{Now: r.toDuration(r.in.NowMs), Settings: r.in.Waves, Expected: make(map[string]time.Duration)}
	for p := range r.in.Fleet.Pools() {
		in.Pools = append(in.Pools, planPool(p))
	}
	for h := range r.trial.hosts() {
		in.Hosts = append(in.Hosts, planHost(h))
	}
	for w := range r.in.Fleet.Waves() {
		if !inProgress(w) || pausedByOperator(w) {
			continue
		}
		maintenance := r.meanMaintenance(w)
		x := plan.Wave{Name: w.GetName()}
		for _, h := range r.unfinishedHosts(w) {
			switch {
			case h.GetWave() == w.GetName():
				x.Out = append(x.Out, plan.OutHost{Host: h.GetName(), DueAt: r.returnDueAt(h, maintenance)})
			case failed(h) && slices.Contains(w.GetFailedHosts(), h.GetName()):
				x.Out = append(x.Out, plan.OutHost{Host: h.GetName(), Failed: true})
			default:
				x.Waiting = append(x.Waiting, h.GetName())
				in.Expected[h.GetName()] = maintenance + r.drainTime(h)
			}
		}
		in.Waves = append(in.Waves, x)
	}
	return in
}

// returnDueAt is the time by which a host in maintenance must have returned. A drain
// has a deadline of its own, so a host is not late before it is out.
func (r *round) returnDueAt(h *fleetpb.Host, maintenance time.Duration) time.Duration {
	since := r.in.NowMs
	if h.GetState() == fleetpb.HostState_HOST_STATE_OUT {
		since = h.GetStateSinceUnixMs()
	}
	return r.toDuration(since) + returnFactor*maintenance
}

// meanMaintenance is the mean time that the wave's hosts were out, or the mean over
// all waves until the wave's first host has returned.
func (r *round) meanMaintenance(w *fleetpb.Wave) time.Duration {
	if n := w.GetReturnedHosts(); n > 0 {
		return r.toDuration(w.GetMaintenanceMs() / int64(n))
	}
	var hosts, total int64
	for other := range r.in.Fleet.Waves() {
		hosts += int64(other.GetReturnedHosts())
		total += other.GetMaintenanceMs()
	}
	if hosts == 0 {
		return defaultMaintenance
	}
	return r.toDuration(total / hosts)
}

// drainTime is the expected time until a host has no requests or tasks left. The
// longest request queue or task determines it.
func (r *round) drainTime(h *fleetpb.Host) time.Duration {
	longest := time.Duration(r.in.InFlight[h.GetName()]) * requestTime
	for t := range r.in.Fleet.UnfinishedTasks(h.GetName()) {
		seconds := r.in.Fleet.Job(t.GetJob()).GetRunSeconds()
		left := time.Duration(seconds)*time.Second - r.toDuration(r.in.NowMs-t.GetStateSinceUnixMs())
		if seconds == 0 || left > r.in.DrainDeadline {
			left = checkpointTime
		}
		longest = max(longest, left)
	}
	return longest
}

func planPool(p *fleetpb.Pool) plan.Pool {
	return plan.Pool{
		Name:      p.GetName(),
		Spare:     p.GetSpare(),
		Promised:  int(p.GetPromisedHosts()),
		Tolerance: plan.Tolerance{Rack: p.GetSurviveRack(), Zone: p.GetSurviveZone(), Wave: p.GetSurviveWave()},
		MaxOut:    int(p.GetMaxOut()),
	}
}

func planHost(h *fleetpb.Host) plan.Host {
	return plan.Host{
		Name:      h.GetName(),
		Pool:      h.GetPool(),
		Domain:    plan.Domain{Zone: h.GetZone(), Rack: h.GetRack()},
		Available: active(h),
	}
}
