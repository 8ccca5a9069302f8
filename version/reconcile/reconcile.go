// Package reconcile decides what waves, pools and jobs do next. Waves and pools
// are decided by a pure function of the replicated state, so that a new leader
// that has kept nothing decides the same; jobs by a Jobs, which a new leader
// builds anew from the fleet. Commands are fenced by epochs, states and versions:
// one that was decided on an old state is refused by the fleet.
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
	// InFlight counts the requests that run on each host; a host that is missing has none.
	InFlight map[string]uint32
	// DrainDeadline is the drainer's; tasks that run longer are asked to checkpoint at once.
	DrainDeadline time.Duration
	Waves         plan.WaveSettings
}

// Next returns the commands that waves and pools need now, in the order in which
// they are to be applied. Every drain keeps the availability budget after those
// before it.
func Next(in Input) []*fleetpb.Command {
	r := newRound(in)
	r.stepWaves()
	r.startDrains()
	r.sendHome(false)
	r.fillShortfalls()
	r.unblockWaves()
	r.unblockExchanges()
	r.sendHome(true)
	return r.commands
}

// round is one call of Next. Its trial state contains the effect of the commands
// decided so far.
type round struct {
	in       Input
	trial    *trial
	plan     plan.WavePlan
	commands []*fleetpb.Command
	// waiting lists, by pool, the hosts that waves in progress have yet to
	// maintain; ready is the part of it that running waves may start.
	waiting map[string][]*fleetpb.Host
	ready   map[string][]*fleetpb.Host
	// maintained counts the hosts of each pool that waves have away.
	maintained map[string]int
	// stuck holds the pools whose waves no spare host helps.
	stuck map[string]bool
}

func newRound(in Input) *round {
	r := &round{
		in:         in,
		trial:      newTrial(in.Fleet),
		waiting:    make(map[string][]*fleetpb.Host),
		ready:      make(map[string][]*fleetpb.Host),
		maintained: make(map[string]int),
		stuck:      make(map[string]bool),
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

func (r *round) at(unixMs int64) time.Duration { return time.Duration(unixMs) * time.Millisecond }
