package sheet

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// Diff returns the changes that bring the declared state to the sheet. It
// returns none when the sheet is in force already. Runtime fields and waves in
// progress are never changed; a host is deleted only when it is out of use.
// A host's pool in the sheet is its home pool: the control group moves the host
// there in its own time, so a sheet is not held up by the availability budget.
func (s *Sheet) Diff(current *fleetpb.Snapshot) []*fleetpb.Change {
	d := newDiff(s, current)
	return d.changes
}

// Deferred explains what the sheet asks for that Diff leaves out for now. The
// same sheet applied later may bring it.
func (s *Sheet) Deferred(current *fleetpb.Snapshot) []string {
	d := newDiff(s, current)
	return d.deferred
}

type diff struct {
	s        *Sheet
	current  *fleetpb.Snapshot
	changes  []*fleetpb.Change
	deferred []string
	kept     map[string]bool // pools that hosts still refer to
	tasks    map[string]bool // hosts with unfinished tasks
}

func newDiff(s *Sheet, current *fleetpb.Snapshot) *diff {
	d := &diff{s: s, current: current, kept: map[string]bool{}, tasks: map[string]bool{}}
	for _, t := range current.GetTasks() {
		if unfinished(t) {
			d.tasks[t.Host] = true
		}
	}
	d.upsertTeams()
	d.upsertPools()
	d.hosts()
	d.upsertJobs()
	d.waves()
	d.deletes()
	return d
}

func (d *diff) add(c *fleetpb.Change) { d.changes = append(d.changes, c) }

func (d *diff) postpone(format string, args ...any) {
	d.deferred = append(d.deferred, fmt.Sprintf(format, args...))
}

func (d *diff) inSheet(kind, name string) bool {
	_, ok := d.s.rows[kind+"/"+name]
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

// differs compares a desired object with the current one; desired has the
// current one's runtime fields.
func differs[T named](current T, known bool, desired T) bool {
	return !known || !proto.Equal(current, desired)
}

func (d *diff) upsertTeams() {
	current := byName(d.current.GetTeams())
	for _, t := range d.s.Teams {
		desired := proto.CloneOf(t)
		have, known := current[t.Name]
		desired.ModifiedVersion = have.GetModifiedVersion()
		if differs(have, known, desired) {
			d.add(&fleetpb.Change{Object: &fleetpb.Change_Team{Team: desired}})
		}
	}
}

func (d *diff) upsertPools() {
	current := byName(d.current.GetPools())
	for _, p := range d.s.Pools {
		desired := proto.CloneOf(p)
		have, known := current[p.Name]
		desired.ModifiedVersion = have.GetModifiedVersion()
		if differs(have, known, desired) {
			d.add(&fleetpb.Change{Object: &fleetpb.Change_Pool{Pool: desired}})
		}
	}
}

func (d *diff) upsertJobs() {
	current := byName(d.current.GetJobs())
	for _, j := range d.s.Jobs {
		desired := proto.CloneOf(j)
		have, known := current[j.Name]
		desired.ModifiedVersion = have.GetModifiedVersion()
		if differs(have, known, desired) {
			d.add(&fleetpb.Change{Object: &fleetpb.Change_Job{Job: desired}})
		}
	}
}

func (d *diff) hosts() {
	current := byName(d.current.GetHosts())
	for _, h := range d.s.Hosts {
		have, known := current[h.Name]
		if !known {
			added := proto.CloneOf(h)
			added.HomePool = h.Pool
			d.add(&fleetpb.Change{Object: &fleetpb.Change_Host{Host: added}})
			continue
		}
		desired := desiredHost(have, h)
		d.keepPools(desired)
		if !proto.Equal(have, desired) {
			d.add(&fleetpb.Change{Object: &fleetpb.Change_Host{Host: desired}})
		}
	}
}

func desiredHost(have, sheet *fleetpb.Host) *fleetpb.Host {
	desired := proto.CloneOf(have)
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

func (d *diff) waves() {
	current := byName(d.current.GetWaves())
	for _, w := range d.s.Waves {
		have, known := current[w.Name]
		if !known {
			d.add(&fleetpb.Change{Object: &fleetpb.Change_Wave{Wave: proto.CloneOf(w)}})
			continue
		}
		desired := proto.CloneOf(have)
		desired.Hosts = slices.Clone(w.Hosts)
		desired.NotBeforeUnixMs = w.NotBeforeUnixMs
		desired.DeadlineUnixMs = w.DeadlineUnixMs
		if proto.Equal(have, desired) {
			continue
		}
		if inProgress(have) || have.State == fleetpb.WaveState_WAVE_STATE_DONE {
			d.postpone("wave %s has started and keeps its hosts and times; use a new name for other hosts", w.Name)
			continue
		}
		d.add(&fleetpb.Change{Object: &fleetpb.Change_Wave{Wave: desired}})
	}
}

func (d *diff) deletes() {
	busy := map[string]bool{} // hosts of waves that stay
	for _, w := range d.current.GetWaves() {
		if inProgress(w) {
			for _, h := range w.Hosts {
				busy[h] = true
			}
		}
		if d.inSheet(KindWave, w.Name) {
			continue
		}
		if inProgress(w) {
			d.postpone("wave %s is in progress and is deleted only once it is done", w.Name)
			continue
		}
		d.add(&fleetpb.Change{Object: &fleetpb.Change_DeleteWave{DeleteWave: w.Name}})
	}
	for _, j := range d.current.GetJobs() {
		if !d.inSheet(KindJob, j.Name) {
			d.add(&fleetpb.Change{Object: &fleetpb.Change_DeleteJob{DeleteJob: j.Name}})
		}
	}
	d.deleteHosts(busy)
	for _, p := range d.current.GetPools() {
		if d.inSheet(KindPool, p.Name) {
			continue
		}
		if d.kept[p.Name] {
			d.postpone("pool %s still has hosts and is deleted only once they have left; if its promise blocks their drain, keep its row with a promise of 0 until then", p.Name)
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

// deleteHosts deletes absent hosts that are out or failed and that no wave in
// progress uses.
func (d *diff) deleteHosts(busy map[string]bool) {
	for _, h := range d.current.GetHosts() {
		if d.inSheet(KindHost, h.Name) {
			continue
		}
		outOfUse := h.State == fleetpb.HostState_HOST_STATE_OUT || h.State == fleetpb.HostState_HOST_STATE_FAILED
		if !outOfUse || busy[h.Name] || d.tasks[h.Name] {
			d.postpone("host %s is in use and is deleted only once it is out or failed, without tasks and in no wave in progress", h.Name)
			d.keepPools(h)
			continue
		}
		d.add(&fleetpb.Change{Object: &fleetpb.Change_DeleteHost{DeleteHost: h.Name}})
	}
}

// keepPools keeps the pools that a remaining host refers to.
func (d *diff) keepPools(h *fleetpb.Host) {
	d.kept[h.Pool] = true
	d.kept[h.MoveTo] = true
	d.kept[h.HomePool] = true
}
