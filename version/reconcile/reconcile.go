// Package reconcile computes the next commands for waves, pools and jobs. Next
// handles waves and pools as a pure function of the replicated state, so that a new
// leader without any local state computes the same commands. Jobs handles jobs; a
// new leader rebuilds it from the fleet. Commands carry the expected epoch, state or
// version as a fence: the fleet refuses a command that was computed from stale state.
package reconcile

import (
	"time"

	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/plan"
)

// Input is the observed state.
type Input struct {
	Fleet *fleet.Fleet // only read
	NowMs int64        // wall clock, Unix
	// InFlight is the number of running requests by host; a missing host has none.
	InFlight map[string]uint32
	// DrainDeadline is the drainer's setting. Tasks that would run past it are asked
	// to checkpoint at the start of a drain.
	DrainDeadline time.Duration
	Waves         plan.WaveSettings
}

// Next returns the commands that waves and pools need now, in the order in which
// they must be applied. Each drain keeps the availability budget, given that the
// commands before it have been applied.
func Next(in Input) []*fleetpb.Command {
	r := newRound(in)
	r.stepWaves()
	r.startDrains()
	r.moveToHomePools(false)
	r.fillShortfalls()
	r.unblockWaves()
	r.unblockExchanges()
	r.moveToHomePools(true)
	return r.commands
}

// round is one call of Next. Its trial state contains the effect of the commands
// decided so far.
type round struct {
	in       Input
	trial    *trial
	plan     plan.WavePlan
	commands []*fleetpb.Command
	// waiting lists, by pool, the hosts that waves in progress have not
	// started to maintain; ready is the subset that running waves may drain now.
	waiting map[string][]*fleetpb.Host
	ready   map[string][]*fleetpb.Host
	// inMaintenance counts, by pool, the hosts that waves are draining or have out.
	inMaintenance map[string]int
	// unhelpedPools holds the pools whose waves cannot advance even with spare hosts.
	unhelpedPools map[string]bool
}

func newRound(in Input) *round {
	r := &round{
		in:            in,
		trial:         newTrial(in.Fleet),
		waiting:       make(map[string][]*fleetpb.Host),
		ready:         make(map[string][]*fleetpb.Host),
		inMaintenance: make(map[string]int),
		unhelpedPools: make(map[string]bool),
	}
	underWay := false
	for w := range in.Fleet.Waves() {
		r.countWave(w)
		underWay = underWay || inProgress(w)
	}
	if underWay {
		r.plan = plan.PlanWaves(r.planInput())
	}
	return r
}

func (r *round) hostStep(h *fleetpb.Host, kind fleetpb.HostStep_Kind, moveTo, wave string) {
	r.commands = append(r.commands, &fleetpb.Command{Body: &fleetpb.Command_HostStep{HostStep: &fleetpb.HostStep{
		Host: h.GetName(), Kind: kind, ExpectedEpoch: h.GetEpoch(), ExpectedState: h.GetState(),
		MoveTo: moveTo, Wave: wave,
	}}})
	if kind == fleetpb.HostStep_KIND_CANCEL {
		r.trial.set(h, fleetpb.HostState_HOST_STATE_ACTIVE, "", "")
		return
	}
	r.trial.set(h, fleetpb.HostState_HOST_STATE_DRAINING, moveTo, wave)
}

func (r *round) waveStep(w *fleetpb.Wave, state fleetpb.WaveState, reason string) {
	r.commands = append(r.commands, &fleetpb.Command{Body: &fleetpb.Command_WaveStep{WaveStep: &fleetpb.WaveStep{
		Wave: w.GetName(), State: state, Reason: reason, ExpectedVersion: w.GetModifiedVersion(),
	}}})
}

func (r *round) toDuration(unixMs int64) time.Duration {
	return time.Duration(unixMs) * time.Millisecond
}
