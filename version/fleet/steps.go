package fleet

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

type (
	hostState = fleetpb.HostState
	waveState = fleetpb.WaveState
)

func stateName(s hostState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "HOST_STATE_"))
}

func waveStateName(s waveState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "WAVE_STATE_"))
}

// stepStartState maps a step to the host state that it requires. A step that is
// not in the map is allowed in any state.
var stepStartState = map[fleetpb.HostStep_Kind]hostState{
	fleetpb.HostStep_KIND_DRAIN:   fleetpb.HostState_HOST_STATE_ACTIVE,
	fleetpb.HostStep_KIND_RELEASE: fleetpb.HostState_HOST_STATE_DRAINING,
	fleetpb.HostStep_KIND_ASSIGN:  fleetpb.HostState_HOST_STATE_RELEASED,
	fleetpb.HostStep_KIND_OUT:     fleetpb.HostState_HOST_STATE_RELEASED,
	fleetpb.HostStep_KIND_RETURN:  fleetpb.HostState_HOST_STATE_OUT,
	fleetpb.HostStep_KIND_RECOVER: fleetpb.HostState_HOST_STATE_FAILED,
	fleetpb.HostStep_KIND_CANCEL:  fleetpb.HostState_HOST_STATE_DRAINING,
}

// hostStep executes one step of a host. It returns the host's id if the step
// changes its home pool, so that a later Configure with an older base version is
// a conflict.
func (t *tx) hostStep(s *fleetpb.HostStep) []objectID {
	id := objectID{fleetpb.Tombstone_KIND_HOST, s.Host}
	h := t.fleet.Host(s.Host)
	if h == nil {
		t.addFault(id, "name", "the host does not exist: read the configuration again")
		return nil
	}
	if !t.checkExpected(id, h, s) {
		return nil
	}
	switch s.Kind {
	case fleetpb.HostStep_KIND_DRAIN:
		return t.drainStep(id, h, s)
	case fleetpb.HostStep_KIND_RELEASE:
		t.release(id, h)
	case fleetpb.HostStep_KIND_ASSIGN:
		t.assign(id, h)
	case fleetpb.HostStep_KIND_OUT:
		t.takeOut(id, h)
	case fleetpb.HostStep_KIND_RETURN:
		t.finishWaveHost(h, false)
		t.setState(h, fleetpb.HostState_HOST_STATE_ACTIVE, true)
	case fleetpb.HostStep_KIND_FAIL:
		t.finishWaveHost(h, true)
		t.setState(h, fleetpb.HostState_HOST_STATE_FAILED, false)
	case fleetpb.HostStep_KIND_RECOVER:
		t.setState(h, fleetpb.HostState_HOST_STATE_ACTIVE, true)
	case fleetpb.HostStep_KIND_CANCEL:
		t.setState(h, fleetpb.HostState_HOST_STATE_ACTIVE, false)
	default:
		t.addFault(id, "kind", "the step is unknown: run the same version on every process")
	}
	return nil
}

// checkExpected checks that the host still has the fencing epoch and the state that
// a step was planned for, so that two leaders or operators can't both execute it.
func (t *tx) checkExpected(id objectID, h *fleetpb.Host, s *fleetpb.HostStep) bool {
	if h.Epoch != s.ExpectedEpoch {
		t.addFault(id, "epoch", fmt.Sprintf("the host is at epoch %d, not %d: plan again", h.Epoch, s.ExpectedEpoch))
		return false
	}
	if h.State != s.ExpectedState {
		t.addFault(id, "state", fmt.Sprintf("the host is %s, not %s: plan again", stateName(h.State), stateName(s.ExpectedState)))
		return false
	}
	if from, fixed := stepStartState[s.Kind]; fixed && h.State != from {
		t.addFault(id, "state", fmt.Sprintf("the step starts from %s, the host is %s: plan again", stateName(from), stateName(h.State)))
		return false
	}
	if s.Kind == fleetpb.HostStep_KIND_FAIL && h.State == fleetpb.HostState_HOST_STATE_FAILED {
		t.addFault(id, "state", "the host has failed already: nothing needs to be done")
		return false
	}
	return true
}

// setState sets the state of a host and ends its move or maintenance. nextEpoch
// increments the fencing epoch, so that steps planned before are refused.
func (t *tx) setState(h *fleetpb.Host, state hostState, nextEpoch bool) {
	updated := proto.Clone(h).(*fleetpb.Host)
	updated.State = state
	updated.StateSinceUnixMs = t.fleet.nowMs
	updated.MoveTo = ""
	updated.Wave = ""
	updated.DrainVersion = 0
	updated.Lent = updated.Lent && updated.Pool != updated.HomePool
	if nextEpoch {
		updated.Epoch++
	}
	t.setHost(updated.Name, updated)
}

func (t *tx) drainStep(id objectID, h *fleetpb.Host, s *fleetpb.HostStep) []objectID {
	if (s.MoveTo == "") == (s.Wave == "") {
		t.addFault(id, "move_to", "a drain is for either a wave or a move: set one of wave and move_to")
		return nil
	}
	if !s.SetHome || s.MoveTo == "" {
		t.drain(h, s.MoveTo, s.Wave)
		return nil
	}
	updated := proto.Clone(h).(*fleetpb.Host)
	t.setHome(updated, s.MoveTo)
	if h.Pool == s.MoveTo && h.HomePool != s.MoveTo {
		t.setHost(updated.Name, updated) // a host lent to its new home pool stays there
		return []objectID{id}
	}
	t.drain(updated, s.MoveTo, "")
	return []objectID{id}
}

// drain starts to drain an active host, for a move or a wave, if the
// availability budget of its pool allows that.
func (t *tx) drain(h *fleetpb.Host, moveTo, wave string) {
	id := objectID{fleetpb.Tombstone_KIND_HOST, h.Name}
	if moveTo != "" && (moveTo == h.Pool || t.fleet.Pool(moveTo) == nil) {
		t.addFault(id, "pool", fmt.Sprintf("it cannot move to pool %q: name another existing pool", moveTo))
		return
	}
	if wave != "" && !t.checkWaveDrain(id, wave) {
		return
	}
	if err := CheckDrain(t.fleet, h, wave != ""); err != nil {
		t.addFault(id, "state", err.Error())
		return
	}
	updated := proto.Clone(h).(*fleetpb.Host)
	updated.State = fleetpb.HostState_HOST_STATE_DRAINING
	updated.StateSinceUnixMs = t.fleet.nowMs
	updated.MoveTo = moveTo
	updated.Wave = wave
	updated.Lent = updated.Lent || moveTo != "" && moveTo != updated.HomePool
	updated.DrainVersion = t.version
	t.setHost(updated.Name, updated)
	t.drainedPools = append(t.drainedPools, h.Pool)
}

func (t *tx) checkWaveDrain(id objectID, name string) bool {
	w := t.fleet.Wave(name)
	switch {
	case w == nil:
		t.addFault(id, "wave", fmt.Sprintf("wave %q does not exist: plan again", name))
	case w.State != fleetpb.WaveState_WAVE_STATE_RUNNING:
		t.addFault(id, "wave", "wave "+name+" is "+waveStateName(w.State)+": start or resume it first")
	case !slices.Contains(w.Hosts, id.name):
		t.addFault(id, "wave", "wave "+name+" does not name the host: plan again")
	case slices.Contains(w.DoneHosts, id.name):
		t.addFault(id, "wave", "wave "+name+" has maintained the host already: plan again")
	default:
		return true
	}
	return false
}

// release ends a drain. It never interrupts a task: a host with unfinished tasks
// is not released. The leader checks that every entry has acknowledged the
// drain, because the acknowledgements are not part of the replicated state.
func (t *tx) release(id objectID, h *fleetpb.Host) {
	if names := t.fleet.hostTasks[h.Name]; len(names) > 0 {
		t.addFault(id, "tasks", "task "+names[0]+" is unfinished: wait until it has ended, or checkpoint or move it")
		return
	}
	updated := proto.Clone(h).(*fleetpb.Host)
	updated.State = fleetpb.HostState_HOST_STATE_RELEASED
	updated.StateSinceUnixMs = t.fleet.nowMs
	t.setHost(updated.Name, updated)
}

// assign puts a released host into its new pool and removes the host's backend
// servers of other services.
func (t *tx) assign(id objectID, h *fleetpb.Host) {
	pool := t.fleet.Pool(h.MoveTo)
	if pool == nil {
		t.addFault(id, "move_to", "the released host has no pool to move to: plan again")
		return
	}
	moved := proto.Clone(h).(*fleetpb.Host)
	moved.Pool = pool.Name
	t.removeServers(h.Name, pool.Service)
	t.setState(moved, fleetpb.HostState_HOST_STATE_ACTIVE, true)
}

func (t *tx) takeOut(id objectID, h *fleetpb.Host) {
	if h.Wave == "" {
		t.addFault(id, "wave", "the released host belongs to no wave: assign it instead")
		return
	}
	updated := proto.Clone(h).(*fleetpb.Host)
	updated.State = fleetpb.HostState_HOST_STATE_OUT
	updated.StateSinceUnixMs = t.fleet.nowMs
	t.setHost(updated.Name, updated)
}

// finishWaveHost records in a host's wave that the host has returned or failed.
func (t *tx) finishWaveHost(h *fleetpb.Host, failed bool) {
	old := t.fleet.Wave(h.Wave)
	if old == nil {
		return
	}
	w := proto.Clone(old).(*fleetpb.Wave)
	if failed {
		w.FailedHosts = insertName(w.FailedHosts, h.Name)
	} else {
		w.DoneHosts = insertName(w.DoneHosts, h.Name)
		w.FailedHosts = removeName(w.FailedHosts, h.Name)
		w.ReturnedHosts++
		w.MaintenanceMs += max(0, t.fleet.nowMs-h.StateSinceUnixMs)
	}
	t.setWave(w.Name, w)
}

// nextWaveStates maps the state of a wave to the states that a step may set.
var nextWaveStates = map[waveState][]waveState{
	fleetpb.WaveState_WAVE_STATE_PENDING: {fleetpb.WaveState_WAVE_STATE_RUNNING, fleetpb.WaveState_WAVE_STATE_PAUSED},
	fleetpb.WaveState_WAVE_STATE_RUNNING: {fleetpb.WaveState_WAVE_STATE_RUNNING, fleetpb.WaveState_WAVE_STATE_PAUSED, fleetpb.WaveState_WAVE_STATE_DONE},
	fleetpb.WaveState_WAVE_STATE_PAUSED:  {fleetpb.WaveState_WAVE_STATE_PAUSED, fleetpb.WaveState_WAVE_STATE_RUNNING, fleetpb.WaveState_WAVE_STATE_DONE},
}

func (t *tx) waveStep(s *fleetpb.WaveStep) {
	id := objectID{fleetpb.Tombstone_KIND_WAVE, s.Wave}
	old := t.fleet.Wave(s.Wave)
	tooEarly := old.GetStartedUnixMs() == 0 && t.fleet.nowMs < old.GetNotBeforeUnixMs()
	state := s.State
	if tooEarly && old.GetState() == fleetpb.WaveState_WAVE_STATE_PAUSED && state == fleetpb.WaveState_WAVE_STATE_RUNNING {
		state = fleetpb.WaveState_WAVE_STATE_PENDING // paused before its start: it waits for not_before again
	}
	switch {
	case old == nil:
		t.addFault(id, "name", "the wave does not exist: read the configuration again")
	case s.ExpectedVersion != 0 && s.ExpectedVersion != old.ModifiedVersion:
		t.addFault(id, "state", "the wave has changed since the step was planned: plan again")
	case !slices.Contains(nextWaveStates[old.State], s.State):
		t.addFault(id, "state", "a wave that is "+waveStateName(old.State)+" cannot become "+waveStateName(s.State)+": plan again")
	case tooEarly && state == fleetpb.WaveState_WAVE_STATE_RUNNING:
		t.addFault(id, "not_before", "the wave may not start yet: wait until then")
	case s.State == fleetpb.WaveState_WAVE_STATE_DONE && len(t.fleet.waveHosts[s.Wave]) > 0:
		t.addFault(id, "hosts", "host "+t.fleet.waveHosts[s.Wave][0]+" is out: wait until it has returned or failed")
	}
	if len(t.faults) > 0 {
		return
	}
	w := proto.Clone(old).(*fleetpb.Wave)
	w.State = state
	w.PauseReason = ""
	if s.State == fleetpb.WaveState_WAVE_STATE_PAUSED {
		w.PauseReason = s.Reason
	}
	for _, name := range s.FailedHosts {
		w.FailedHosts = insertName(w.FailedHosts, name)
	}
	if w.StartedUnixMs == 0 && state == fleetpb.WaveState_WAVE_STATE_RUNNING {
		w.StartedUnixMs = t.fleet.nowMs
	}
	if s.State == fleetpb.WaveState_WAVE_STATE_DONE {
		w.EndedUnixMs = t.fleet.nowMs
	}
	if !proto.Equal(old, w) {
		t.setWave(w.Name, w)
	}
}
