package control

import (
	"context"
	"slices"
	"time"

	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/plan"
)

// defaultMaintenance is the expected time that a host is away, before any
// measured one. It only orders hosts and dates their return.
const defaultMaintenance = 10 * time.Minute

// waveRunner remembers, for one term, when each host of a wave was first seen
// away. A new leader counts anew, which delays a pause and never causes one.
type waveRunner struct {
	outSince map[string]time.Duration
	settings plan.WaveSettings
	weights  plan.Weights
}

func newWaveRunner(o Options) *waveRunner {
	w := plan.DefaultWeights()
	if o.Weights != (Weights{}) {
		w = plan.Weights{Buffer: o.Weights.Buffer, Move: o.Weights.Moves, Spread: o.Weights.Spread}
	}
	return &waveRunner{outSince: make(map[string]time.Duration), settings: plan.DefaultWaveSettings(), weights: w}
}

// operatorPaused marks the reason of a pause that only an operator ends.
const operatorPaused = "operator: "

// fleetSnapshot is the planner's view of the fleet at one version.
type fleetSnapshot struct {
	pools []plan.Pool
	hosts []plan.Host
	state map[string]*fleetpb.Host
	waves []*fleetpb.Wave
}

func snapshotFleet(f *fleet.Fleet) fleetSnapshot {
	out := fleetSnapshot{state: make(map[string]*fleetpb.Host)}
	for p := range f.Pools() {
		out.pools = append(out.pools, plan.Pool{
			Name:      p.GetName(),
			Spare:     p.GetSpare(),
			Promised:  int(p.GetPromisedHosts()),
			Tolerance: plan.Tolerance{Rack: p.GetSurviveRack(), Zone: p.GetSurviveZone(), Wave: p.GetSurviveWave()},
			MaxOut:    int(p.GetMaxOut()),
		})
	}
	for h := range f.Hosts() {
		out.hosts = append(out.hosts, plan.Host{
			Name:      h.GetName(),
			Pool:      h.GetPool(),
			Domain:    plan.Domain{Zone: h.GetZone(), Rack: h.GetRack()},
			Available: h.GetState() == fleetpb.HostState_HOST_STATE_ACTIVE,
		})
		out.state[h.GetName()] = h
	}
	for w := range f.Waves() {
		out.waves = append(out.waves, w)
	}
	return out
}

// reconcileWaves starts the drains that the budgets allow, pauses and resumes
// waves, ends finished ones, and moves spare hosts to where they are missed.
// The fleet checks every drain against the budget again when it is applied.
func (s *Server) reconcileWaves(ctx context.Context, t *term) {
	var view fleetSnapshot
	s.viewFleet(func(f *fleet.Fleet) { view = snapshotFleet(f) })
	if len(view.hosts) == 0 {
		return
	}
	now := time.Now().UnixMilli()
	s.startDueWaves(ctx, &view, now)
	in := t.waves.input(s.clock.Now(), &view)
	result := plan.PlanWaves(in)
	s.applyPauses(ctx, &view, in, result.Paused)
	s.endFinishedWaves(ctx, &view)
	for _, start := range result.Starts {
		s.drainHost(ctx, view.state[start.Host], &fleetpb.HostStep{Wave: start.Wave})
	}
	s.rebalancePools(ctx, t, &view, result.Blocked)
}

func (s *Server) drainHost(ctx context.Context, h *fleetpb.Host, step *fleetpb.HostStep) {
	step.Host = h.GetName()
	step.Kind = fleetpb.HostStep_KIND_DRAIN
	step.ExpectedEpoch = h.GetEpoch()
	step.ExpectedState = fleetpb.HostState_HOST_STATE_ACTIVE
	s.submit(ctx, &fleetpb.Command{Body: &fleetpb.Command_HostStep{HostStep: step}})
}

func (s *Server) startDueWaves(ctx context.Context, view *fleetSnapshot, nowMs int64) {
	for _, w := range view.waves {
		if w.GetState() == fleetpb.WaveState_WAVE_STATE_PENDING && w.GetNotBeforeUnixMs() <= nowMs {
			s.waveStep(ctx, w.GetName(), fleetpb.WaveState_WAVE_STATE_RUNNING, "")
		}
	}
}

func (s *Server) waveStep(ctx context.Context, wave string, state fleetpb.WaveState, reason string) {
	s.submit(ctx, &fleetpb.Command{Body: &fleetpb.Command_WaveStep{
		WaveStep: &fleetpb.WaveStep{Wave: wave, State: state, Reason: reason},
	}})
}

// input describes the waves that may act now: running ones, and those paused by
// the system, which resume when their reason is gone.
func (r *waveRunner) input(now time.Duration, view *fleetSnapshot) plan.WaveInput {
	in := plan.WaveInput{Now: now, Pools: view.pools, Hosts: view.hosts, Settings: r.settings}
	away := make(map[string]bool)
	for _, w := range view.waves {
		if !mayAct(w) {
			continue
		}
		pw := plan.Wave{Name: w.GetName()}
		for _, name := range w.GetHosts() {
			h := view.state[name]
			if h == nil || slices.Contains(w.GetDoneHosts(), name) {
				continue
			}
			if h.GetWave() != w.GetName() {
				pw.Waiting = append(pw.Waiting, name)
				continue
			}
			away[name] = true
			if _, ok := r.outSince[name]; !ok {
				r.outSince[name] = now
			}
			pw.Out = append(pw.Out, plan.OutHost{
				Host:   name,
				DueAt:  r.outSince[name] + defaultMaintenance,
				Failed: h.GetState() == fleetpb.HostState_HOST_STATE_FAILED,
			})
		}
		in.Waves = append(in.Waves, pw)
	}
	for name := range r.outSince {
		if !away[name] {
			delete(r.outSince, name)
		}
	}
	return in
}

func mayAct(w *fleetpb.Wave) bool {
	switch w.GetState() {
	case fleetpb.WaveState_WAVE_STATE_RUNNING:
		return true
	case fleetpb.WaveState_WAVE_STATE_PAUSED:
		return !pausedByOperator(w)
	}
	return false
}

func pausedByOperator(w *fleetpb.Wave) bool {
	reason := w.GetPauseReason()
	return len(reason) >= len(operatorPaused) && reason[:len(operatorPaused)] == operatorPaused
}

func (s *Server) applyPauses(ctx context.Context, view *fleetSnapshot, in plan.WaveInput, paused []plan.Pause) {
	reasons := make(map[string]string)
	for _, p := range paused {
		reasons[p.Wave] = p.Reason
	}
	for _, w := range view.waves {
		planned := slices.ContainsFunc(in.Waves, func(x plan.Wave) bool { return x.Name == w.GetName() })
		if !planned {
			continue
		}
		reason, pause := reasons[w.GetName()]
		running := w.GetState() == fleetpb.WaveState_WAVE_STATE_RUNNING
		switch {
		case pause && running:
			s.waveStep(ctx, w.GetName(), fleetpb.WaveState_WAVE_STATE_PAUSED, reason)
		case !pause && !running:
			s.waveStep(ctx, w.GetName(), fleetpb.WaveState_WAVE_STATE_RUNNING, "")
		}
	}
}

// endFinishedWaves ends every wave that has maintained all its hosts that still exist.
func (s *Server) endFinishedWaves(ctx context.Context, view *fleetSnapshot) {
	for _, w := range view.waves {
		if w.GetState() != fleetpb.WaveState_WAVE_STATE_RUNNING {
			continue
		}
		open := slices.ContainsFunc(w.GetHosts(), func(name string) bool {
			return view.state[name] != nil && !slices.Contains(w.GetDoneHosts(), name)
		})
		if !open {
			s.waveStep(ctx, w.GetName(), fleetpb.WaveState_WAVE_STATE_DONE, "")
		}
	}
}

// rebalancePools moves hosts to pools that miss their rule, and lends spare
// hosts to pools whose wave cannot advance. Hosts already on their way count as
// arrived, so that no second one is sent.
func (s *Server) rebalancePools(ctx context.Context, t *term, view *fleetSnapshot, blocked []plan.Blocked) {
	hosts := slices.Clone(view.hosts)
	for i := range hosts {
		if to := view.state[hosts[i].Name].GetMoveTo(); to != "" {
			hosts[i].Pool, hosts[i].Available = to, true
		}
	}
	// A move weighs as much as a reserve host here, so that the planner returns no
	// host on its own: with a wave under way it would take back what was lent.
	p := plan.NewPlanner(view.pools, hosts, plan.Weights{Buffer: 1, Move: 1, Spread: t.waves.weights.Spread})
	moves := p.Replan().Moves
	for _, b := range blocked {
		moves = append(moves, p.Lend(b.Pool, 1)...)
	}
	for _, m := range moves {
		h := view.state[m.Host]
		if h.GetState() != fleetpb.HostState_HOST_STATE_ACTIVE || h.GetMoveTo() != "" {
			continue
		}
		s.drainHost(ctx, h, &fleetpb.HostStep{MoveTo: m.To})
	}
}
