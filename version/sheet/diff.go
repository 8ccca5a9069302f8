package sheet

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// Diff returns the changes that make the declared state equal to the sheet, or
// none if it already is. Runtime fields and waves in progress are never changed;
// a host is deleted only when it is out of use. The pool of a host in the sheet
// becomes its home pool: the control group moves the host there later, so
// applying a sheet does not wait for the availability budget.
func (s *Sheet) Diff(current *fleetpb.Snapshot) []*fleetpb.Change {
	d := newDiff(s, current)
	return d.changes
}

// Deferred describes the changes that the sheet requires but that Diff omits
// because of the current state. Applying the same sheet later may include them.
func (s *Sheet) Deferred(current *fleetpb.Snapshot) []string {
	d := newDiff(s, current)
	return d.deferred
}

type diff struct {
	sheet           *Sheet
	current         *fleetpb.Snapshot
	changes         []*fleetpb.Change
	deferred        []string
	referencedPools map[string]bool // pools that remaining hosts refer to
	hostsWithTasks  map[string]bool // hosts with unfinished tasks
}

func newDiff(s *Sheet, current *fleetpb.Snapshot) *diff {
	d := &diff{sheet: s, current: current, referencedPools: map[string]bool{}, hostsWithTasks: map[string]bool{}}
	for _, t := range current.GetTasks() {
		if unfinished(t) {
			d.hostsWithTasks[t.Host] = true
		}
	}
	d.upsertTeams()
	d.upsertPools()
	d.upsertHosts()
	d.upsertJobs()
	d.upsertWaves()
	d.deleteAbsent()
	return d
}

func (d *diff) add(c *fleetpb.Change) { d.changes = append(d.changes, c) }

func (d *diff) addDeferred(format string, args ...any) {
	d.deferred = append(d.deferred, fmt.Sprintf(format, args...))
}

func (d *diff) inSheet(kind, name string) bool {
	_, ok := d.sheet.rows[kind+"/"+name]
	return ok
}

type named interface {
	proto.Message
	GetName() string
}

func byName[T named](list []T) map[string]T {
	m := make(map[string]T, len(list))
	for _, o := range list {
		m[o.GetName()] = o
	}
	return m
}

// differs reports whether the current object is missing or not equal to the
// desired one. The runtime fields of desired must be copied from current.
func differs[T named](current T, exists bool, desired T) bool {
	return !exists || !proto.Equal(current, desired)
}

func (d *diff) upsertTeams() {
	current := byName(d.current.GetTeams())
	for _, t := range d.sheet.Teams {
		desired := proto.CloneOf(t)
		existing, exists := current[t.Name]
		desired.ModifiedVersion = existing.GetModifiedVersion()
		if differs(existing, exists, desired) {
			d.add(&fleetpb.Change{Object: &fleetpb.Change_Team{Team: desired}})
		}
	}
}

func (d *diff) upsertPools() {
	current := byName(d.current.GetPools())
	for _, p := range d.sheet.Pools {
		desired := proto.CloneOf(p)
		existing, exists := current[p.Name]
		desired.ModifiedVersion = existing.GetModifiedVersion()
		if differs(existing, exists, desired) {
			d.add(&fleetpb.Change{Object: &fleetpb.Change_Pool{Pool: desired}})
		}
	}
}

func (d *diff) upsertJobs() {
	current := byName(d.current.GetJobs())
	for _, j := range d.sheet.Jobs {
		desired := proto.CloneOf(j)
		existing, exists := current[j.Name]
		desired.ModifiedVersion = existing.GetModifiedVersion()
		if differs(existing, exists, desired) {
			d.add(&fleetpb.Change{Object: &fleetpb.Change_Job{Job: desired}})
		}
	}
}

func (d *diff) upsertHosts() {
	current := byName(d.current.GetHosts())
	for _, h := range d.sheet.Hosts {
		existing, exists := current[h.Name]
		if !exists {
			added := proto.CloneOf(h)
			added.HomePool = h.Pool
			d.add(&fleetpb.Change{Object: &fleetpb.Change_Host{Host: added}})
			continue
		}
		desired := desiredHost(existing, h)
		d.markReferencedPools(desired)
		if !proto.Equal(existing, desired) {
			d.add(&fleetpb.Change{Object: &fleetpb.Change_Host{Host: desired}})
		}
	}
}

func desiredHost(existing, sheet *fleetpb.Host) *fleetpb.Host {
	desired := proto.CloneOf(existing)
	desired.Rack = sheet.Rack
	desired.Zone = sheet.Zone
	desired.Region = sheet.Region
	desired.Cores = sheet.Cores
	desired.MemoryGb = sheet.MemoryGb
	desired.Accelerators = sheet.Accelerators
	desired.HomePool = sheet.Pool
	return desired
}

func unfinished(t *fleetpb.Task) bool {
	switch t.State {
	case fleetpb.TaskState_TASK_STATE_STOPPED, fleetpb.TaskState_TASK_STATE_FAILED, fleetpb.TaskState_TASK_STATE_DONE:
		return false
	}
	return true
}

func inProgress(w *fleetpb.Wave) bool {
	return w.State == fleetpb.WaveState_WAVE_STATE_RUNNING || w.State == fleetpb.WaveState_WAVE_STATE_PAUSED
}

func (d *diff) upsertWaves() {
	current := byName(d.current.GetWaves())
	for _, w := range d.sheet.Waves {
		existing, exists := current[w.Name]
		if !exists {
			d.add(&fleetpb.Change{Object: &fleetpb.Change_Wave{Wave: proto.CloneOf(w)}})
			continue
		}
		desired := proto.CloneOf(existing)
		desired.Hosts = slices.Clone(w.Hosts)
		desired.NotBeforeUnixMs = w.NotBeforeUnixMs
		desired.DeadlineUnixMs = w.DeadlineUnixMs
		if proto.Equal(existing, desired) {
			continue
		}
		if inProgress(existing) || existing.State == fleetpb.WaveState_WAVE_STATE_DONE {
			d.addDeferred("wave %s has started, so its hosts and times are not changed; use a new name for other hosts", w.Name)
			continue
		}
		d.add(&fleetpb.Change{Object: &fleetpb.Change_Wave{Wave: desired}})
	}
}

// deleteAbsent deletes the objects that are not in the sheet and not in use.
func (d *diff) deleteAbsent() {
	inWave := map[string]bool{} // hosts of waves in progress
	for _, w := range d.current.GetWaves() {
		if inProgress(w) {
			for _, h := range w.Hosts {
				inWave[h] = true
			}
		}
		if d.inSheet(KindWave, w.Name) {
			continue
		}
		if inProgress(w) {
			d.addDeferred("wave %s is in progress and is deleted only once it is done", w.Name)
			continue
		}
		d.add(&fleetpb.Change{Object: &fleetpb.Change_DeleteWave{DeleteWave: w.Name}})
	}
	for _, j := range d.current.GetJobs() {
		if !d.inSheet(KindJob, j.Name) {
			d.add(&fleetpb.Change{Object: &fleetpb.Change_DeleteJob{DeleteJob: j.Name}})
		}
	}
	d.deleteAbsentHosts(inWave)
	for _, p := range d.current.GetPools() {
		if d.inSheet(KindPool, p.Name) {
			continue
		}
		if d.referencedPools[p.Name] {
			d.addDeferred("pool %s still has hosts and is deleted only once they have moved out; if its promised hosts block their drain, keep its row with 0 promised hosts until then", p.Name)
			continue
		}
		d.add(&fleetpb.Change{Object: &fleetpb.Change_DeletePool{DeletePool: p.Name}})
	}
	for _, t := range d.current.GetTeams() {
		if !d.inSheet(KindTeam, t.Name) {
			d.add(&fleetpb.Change{Object: &fleetpb.Change_DeleteTeam{DeleteTeam: t.Name}})
		}
	}
}

// deleteAbsentHosts deletes the hosts that are not in the sheet, are out or
// failed, and have neither an unfinished task nor a wave in progress.
func (d *diff) deleteAbsentHosts(inWave map[string]bool) {
	for _, h := range d.current.GetHosts() {
		if d.inSheet(KindHost, h.Name) {
			continue
		}
		outOfUse := h.State == fleetpb.HostState_HOST_STATE_OUT || h.State == fleetpb.HostState_HOST_STATE_FAILED
		if !outOfUse || inWave[h.Name] || d.hostsWithTasks[h.Name] {
			d.addDeferred("host %s is in use and is deleted only once it is out or failed, without tasks and in no wave in progress", h.Name)
			d.markReferencedPools(h)
			continue
		}
		d.add(&fleetpb.Change{Object: &fleetpb.Change_DeleteHost{DeleteHost: h.Name}})
	}
}

// markReferencedPools records the pools that a remaining host refers to, so that
// they are not deleted.
func (d *diff) markReferencedPools(h *fleetpb.Host) {
	d.referencedPools[h.Pool] = true
	d.referencedPools[h.MoveTo] = true
	d.referencedPools[h.HomePool] = true
}
