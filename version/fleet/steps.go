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

// stepFrom is the state that a step starts in; a step without an entry starts
// in any state.
var stepFrom = map[fleetpb.HostStep_Kind]hostState{
	fleetpb.HostStep_KIND_DRAIN:   fleetpb.HostState_HOST_STATE_ACTIVE,
	fleetpb.HostStep_KIND_RELEASE: fleetpb.HostState_HOST_STATE_DRAINING,
	fleetpb.HostStep_KIND_ASSIGN:  fleetpb.HostState_HOST_STATE_RELEASED,
	fleetpb.HostStep_KIND_OUT:     fleetpb.HostState_HOST_STATE_RELEASED,
	fleetpb.HostStep_KIND_RETURN:  fleetpb.HostState_HOST_STATE_OUT,
	fleetpb.HostStep_KIND_RECOVER: fleetpb.HostState_HOST_STATE_FAILED,
	fleetpb.HostStep_KIND_CANCEL:  fleetpb.HostState_HOST_STATE_DRAINING,
}

// hostStep executes one step of a host. It returns the host when its home pool
// changes, so that a later Configure on an older base is a conflict.
func (t *tx) hostStep(s *fleetpb.HostStep) []objectID {
	id := objectID{fleetpb.Tombstone_KIND_HOST, s.Host}
	h := t.f.Host(s.Host)
	if h == nil {
		t.fault(id, "name", "the host does not exist: read the configuration again")
		return nil
	}
	if !t.expected(id, h, s) {
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
		t.out(id, h)
	case fleetpb.HostStep_KIND_RETURN:
		t.finishWaveHost(h, false)
		t.toState(h, fleetpb.HostState_HOST_STATE_ACTIVE, true)
	case fleetpb.HostStep_KIND_FAIL:
		t.finishWaveHost(h, true)
		t.toState(h, fleetpb.HostState_HOST_STATE_FAILED, false)
	case fleetpb.HostStep_KIND_RECOVER:
		t.toState(h, fleetpb.HostState_HOST_STATE_ACTIVE, true)
	case fleetpb.HostStep_KIND_CANCEL:
		t.toState(h, fleetpb.HostState_HOST_STATE_ACTIVE, false)
	default:
		t.fault(id, "kind", "the step is unknown: run the same version on every process")
	}
	return nil
}

// expected checks the fencing epoch and the state that a step was planned for,
// so that two leaders or operators cannot both take it.
func (t *tx) expected(id objectID, h *fleetpb.Host, s *fleetpb.HostStep) bool {
	if h.Epoch != s.ExpectedEpoch {
		t.fault(id, "epoch", fmt.Sprintf("the host is at epoch %d, not %d: plan again", h.Epoch, s.ExpectedEpoch))
		return false
	}
	if h.State != s.ExpectedState {
		t.fault(id, "state", fmt.Sprintf("the host is %s, not %s: plan again", stateName(h.State), stateName(s.ExpectedState)))
		return false
	}
	if from, fixed := stepFrom[s.Kind]; fixed && h.State != from {
		t.fault(id, "state", fmt.Sprintf("the step starts from %s, the host is %s: plan again", stateName(from), stateName(h.State)))
		return false
	}
	if s.Kind == fleetpb.HostStep_KIND_FAIL && h.State == fleetpb.HostState_HOST_STATE_FAILED {
		t.fault(id, "state", "the host has failed already: nothing needs to be done")
		return false
	}
	return true
}

// toState ends a move or a maintenance. nextEpoch fences steps planned before.
func (t *tx) toState(h *fleetpb.Host, state hostState, nextEpoch bool) {
	n := proto.Clone(h).(*fleetpb.Host)
	n.State = state
	n.StateSinceUnixMs = t.f.nowMs
	n.MoveTo = ""
	n.Wave = ""
	n.DrainVersion = 0
	n.Lent = n.Lent && n.Pool != n.HomePool
	if nextEpoch {
		n.Epoch++
	}
	t.setHost(n.Name, n)
}

func (t *tx) drainStep(id objectID, h *fleetpb.Host, s *fleetpb.HostStep) []objectID {
	if (s.MoveTo == "") == (s.Wave == "") {
		t.fault(id, "move_to", "a drain is for either a wave or a move: set one of wave and move_to")
		return nil
	}
	if !s.SetHome || s.MoveTo == "" {
		t.drain(h, s.MoveTo, s.Wave)
		return nil
	}
	n := proto.Clone(h).(*fleetpb.Host)
	t.setHome(n, s.MoveTo)
	if h.Pool == s.MoveTo && h.HomePool != s.MoveTo {
		t.setHost(n.Name, n) // a lent host stays where it is
		return []objectID{id}
	}
	t.drain(n, s.MoveTo, "")
	return []objectID{id}
}

// drain starts to drain an active host, for a move or a wave, if the
// availability budget of its pool allows that.
func (t *tx) drain(h *fleetpb.Host, moveTo, wave string) {
	id := objectID{fleetpb.Tombstone_KIND_HOST, h.Name}
	if moveTo != "" && (moveTo == h.Pool || t.f.Pool(moveTo) == nil) {
		t.fault(id, "pool", fmt.Sprintf("it cannot move to pool %q: name another existing pool", moveTo))
		return
	}
	if wave != "" && !t.waveTakes(id, wave) {
		return
	}
	if err := CheckDrain(t.f, h, wave != ""); err != nil {
		t.fault(id, "state", err.Error())
		return
	}
	n := proto.Clone(h).(*fleetpb.Host)
	n.State = fleetpb.HostState_HOST_STATE_DRAINING
	n.StateSinceUnixMs = t.f.nowMs
	n.MoveTo = moveTo
	n.Wave = wave
	n.Lent = n.Lent || moveTo != "" && moveTo != n.HomePool
	n.DrainVersion = t.version
	t.setHost(n.Name, n)
	t.drained = append(t.drained, h.Pool)
}

func (t *tx) waveTakes(id objectID, name string) bool {
	w := t.f.Wave(name)
	switch {
	case w == nil:
		t.fault(id, "wave", fmt.Sprintf("wave %q does not exist: plan again", name))
	case w.State != fleetpb.WaveState_WAVE_STATE_RUNNING:
		t.fault(id, "wave", "wave "+name+" is "+waveStateName(w.State)+": start or resume it first")
	case !slices.Contains(w.Hosts, id.name):
		t.fault(id, "wave", "wave "+name+" does not name the host: plan again")
	case slices.Contains(w.DoneHosts, id.name):
		t.fault(id, "wave", "wave "+name+" has maintained the host already: plan again")
	default:
		return true
	}
	return false
}

// release ends a drain. Whether every entry has acknowledged it is soft state
// of the leader and checked there; a task is never interrupted.
func (t *tx) release(id objectID, h *fleetpb.Host) {
	if names := t.f.hostTasks[h.Name]; len(names) > 0 {
		t.fault(id, "tasks", "task "+names[0]+" is unfinished: wait until it has ended, or checkpoint or move it")
		return
	}
	n := proto.Clone(h).(*fleetpb.Host)
	n.State = fleetpb.HostState_HOST_STATE_RELEASED
	n.StateSinceUnixMs = t.f.nowMs
	t.setHost(n.Name, n)
}

// assign puts a released host into its new pool. Backend servers of another
// service cannot stay on it.
func (t *tx) assign(id objectID, h *fleetpb.Host) {
	pool := t.f.Pool(h.MoveTo)
	if pool == nil {
		t.fault(id, "move_to", "the released host has no pool to move to: plan again")
		return
	}
	moved := proto.Clone(h).(*fleetpb.Host)
	moved.Pool = pool.Name
	t.removeServers(h.Name, pool.Service)
	t.toState(moved, fleetpb.HostState_HOST_STATE_ACTIVE, true)
}

func (t *tx) out(id objectID, h *fleetpb.Host) {
	if h.Wave == "" {
		t.fault(id, "wave", "the released host belongs to no wave: assign it instead")
		return
	}
	n := proto.Clone(h).(*fleetpb.Host)
	n.State = fleetpb.HostState_HOST_STATE_OUT
	n.StateSinceUnixMs = t.f.nowMs
	t.setHost(n.Name, n)
}

// finishWaveHost notes in its wave that a host has returned or failed.
func (t *tx) finishWaveHost(h *fleetpb.Host, failed bool) {
	old := t.f.Wave(h.Wave)
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
		w.MaintenanceMs += max(0, t.f.nowMs-h.StateSinceUnixMs)
	}
	t.setWave(w.Name, w)
}

// waveNext lists the states that a wave may enter from each state.
var waveNext = map[waveState][]waveState{
	fleetpb.WaveState_WAVE_STATE_PENDING: {fleetpb.WaveState_WAVE_STATE_RUNNING, fleetpb.WaveState_WAVE_STATE_PAUSED},
	fleetpb.WaveState_WAVE_STATE_RUNNING: {fleetpb.WaveState_WAVE_STATE_RUNNING, fleetpb.WaveState_WAVE_STATE_PAUSED, fleetpb.WaveState_WAVE_STATE_DONE},
	fleetpb.WaveState_WAVE_STATE_PAUSED:  {fleetpb.WaveState_WAVE_STATE_PAUSED, fleetpb.WaveState_WAVE_STATE_RUNNING, fleetpb.WaveState_WAVE_STATE_DONE},
}

func (t *tx) waveStep(s *fleetpb.WaveStep) {
	id := objectID{fleetpb.Tombstone_KIND_WAVE, s.Wave}
	old := t.f.Wave(s.Wave)
	waits := old.GetStartedUnixMs() == 0 && t.f.nowMs < old.GetNotBeforeUnixMs()
	state := s.State
	if waits && old.GetState() == fleetpb.WaveState_WAVE_STATE_PAUSED && state == fleetpb.WaveState_WAVE_STATE_RUNNING {
		state = fleetpb.WaveState_WAVE_STATE_PENDING // it was paused before its start
	}
	switch {
	case old == nil:
		t.fault(id, "name", "the wave does not exist: read the configuration again")
	case s.ExpectedVersion != 0 && s.ExpectedVersion != old.ModifiedVersion:
		t.fault(id, "state", "the wave has changed since the step was planned: plan again")
	case !slices.Contains(waveNext[old.State], s.State):
		t.fault(id, "state", "a wave that is "+waveStateName(old.State)+" cannot become "+waveStateName(s.State)+": plan again")
	case waits && state == fleetpb.WaveState_WAVE_STATE_RUNNING:
		t.fault(id, "not_before", "the wave may not start yet: wait until then")
	case s.State == fleetpb.WaveState_WAVE_STATE_DONE && len(t.f.waveHosts[s.Wave]) > 0:
		t.fault(id, "hosts", "host "+t.f.waveHosts[s.Wave][0]+" is out: wait until it has returned or failed")
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
		w.StartedUnixMs = t.f.nowMs
	}
	if s.State == fleetpb.WaveState_WAVE_STATE_DONE {
		w.EndedUnixMs = t.f.nowMs
	}
	if !proto.Equal(old, w) {
		t.setWave(w.Name, w)
	}
}
