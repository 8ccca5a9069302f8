package fleet

import (
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// changedObject returns the id of the object that a change upserts or deletes.
func changedObject(c *fleetpb.Change) objectID {
	switch o := c.Object.(type) {
	case *fleetpb.Change_Pool:
		return objectID{fleetpb.Tombstone_KIND_POOL, o.Pool.GetName()}
	case *fleetpb.Change_Host:
		return objectID{fleetpb.Tombstone_KIND_HOST, o.Host.GetName()}
	case *fleetpb.Change_Job:
		return objectID{fleetpb.Tombstone_KIND_JOB, o.Job.GetName()}
	case *fleetpb.Change_Wave:
		return objectID{fleetpb.Tombstone_KIND_WAVE, o.Wave.GetName()}
	case *fleetpb.Change_Team:
		return objectID{fleetpb.Tombstone_KIND_TEAM, o.Team.GetName()}
	case *fleetpb.Change_DeletePool:
		return objectID{fleetpb.Tombstone_KIND_POOL, o.DeletePool}
	case *fleetpb.Change_DeleteHost:
		return objectID{fleetpb.Tombstone_KIND_HOST, o.DeleteHost}
	case *fleetpb.Change_DeleteJob:
		return objectID{fleetpb.Tombstone_KIND_JOB, o.DeleteJob}
	case *fleetpb.Change_DeleteWave:
		return objectID{fleetpb.Tombstone_KIND_WAVE, o.DeleteWave}
	case *fleetpb.Change_DeleteTeam:
		return objectID{fleetpb.Tombstone_KIND_TEAM, o.DeleteTeam}
	}
	return objectID{}
}

// findConflict returns the first object of a configuration change whose
// declaration or home pool has changed since the base version, with the actor
// and request that changed it, or nil. Steps that change no declared field, such
// as a host's maintenance, cause no conflict.
func (f *Fleet) findConflict(cfg *fleetpb.Configure) *fleetpb.Conflict {
	for _, c := range cfg.Changes {
		id := changedObject(c)
		origin := f.origins[id.String()]
		if origin != nil && origin.Version > cfg.BaseVersion {
			return &fleetpb.Conflict{Object: id.String(), Winner: origin.Actor, WinnerRequestId: origin.RequestId, WinnerVersion: origin.Version}
		}
		if origin == nil && !f.exists(id) && cfg.BaseVersion < f.tombstoneFloor {
			// A tombstone later than base_version was dropped. It may have been
			// this object's, so a concurrent delete can't be ruled out.
			return &fleetpb.Conflict{Object: id.String(), WinnerVersion: f.tombstoneFloor}
		}
	}
	return nil
}

// configure executes an operator's change. It returns the objects named in it
// that it created, updated or deleted.
func (t *tx) configure(c *fleetpb.Command, cfg *fleetpb.Configure) []objectID {
	if c.RequestId == "" {
		t.faults = append(t.faults, &fleetpb.Fault{Object: "command", Field: "request_id", Message: "it is needed: send a new unique id"})
	}
	if c.Actor == "" {
		t.faults = append(t.faults, &fleetpb.Fault{Object: "command", Field: "actor", Message: "it is needed: name the operator"})
	}
	if cfg.BaseVersion > t.fleet.version {
		t.faults = append(t.faults, &fleetpb.Fault{Object: "command", Field: "base_version", Message: "it is above the current version: read the configuration again"})
	}
	seen := make(map[objectID]bool)
	for _, ch := range cfg.Changes {
		id := changedObject(ch)
		if id.name == "" {
			t.faults = append(t.faults, &fleetpb.Fault{Object: id.String(), Field: "name", Message: "it is empty: name the object"})
			continue
		}
		if seen[id] {
			t.addFault(id, "name", "it is changed twice: send each object once")
			continue
		}
		seen[id] = true
		t.change(id, ch)
	}
	t.validate()
	return t.declared(seen)
}

// declared returns the touched objects that the change itself names, which are
// the ids in seen.
func (t *tx) declared(seen map[objectID]bool) []objectID {
	var ids []objectID
	for _, id := range t.touched {
		if seen[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// change applies one upsert or delete.
func (t *tx) change(id objectID, c *fleetpb.Change) {
	switch o := c.Object.(type) {
	case *fleetpb.Change_Pool:
		t.upsertPool(o.Pool)
	case *fleetpb.Change_Host:
		t.upsertHost(o.Host)
	case *fleetpb.Change_Job:
		t.upsertJob(o.Job)
	case *fleetpb.Change_Wave:
		t.upsertWave(o.Wave)
	case *fleetpb.Change_Team:
		t.upsertTeam(o.Team)
	default:
		t.deleteObject(id)
	}
}

func (t *tx) upsertPool(p *fleetpb.Pool) {
	old := t.fleet.Pool(p.Name)
	if old != nil {
		p.ModifiedVersion = old.ModifiedVersion
		if proto.Equal(old, p) {
			return
		}
	}
	t.setPool(p.Name, p)
}

func (t *tx) upsertTeam(v *fleetpb.Team) {
	old := t.fleet.Team(v.Name)
	if old != nil {
		v.ModifiedVersion = old.ModifiedVersion
		if proto.Equal(old, v) {
			return
		}
	}
	t.setTeam(v.Name, v)
}

func (t *tx) upsertJob(j *fleetpb.Job) {
	old := t.fleet.Job(j.Name)
	if old != nil {
		j.ModifiedVersion = old.ModifiedVersion
		if proto.Equal(old, j) {
			return
		}
	}
	t.setJob(j.Name, j)
}

// upsertWave sets the declared fields of a wave and keeps its progress.
func (t *tx) upsertWave(declared *fleetpb.Wave) {
	w := &fleetpb.Wave{State: fleetpb.WaveState_WAVE_STATE_PENDING}
	old := t.fleet.Wave(declared.Name)
	if old != nil {
		w = proto.Clone(old).(*fleetpb.Wave)
	}
	w.Name = declared.Name
	w.Hosts = declared.Hosts
	w.NotBeforeUnixMs = declared.NotBeforeUnixMs
	w.DeadlineUnixMs = declared.DeadlineUnixMs
	if old != nil && proto.Equal(old, w) {
		return
	}
	if old != nil && old.State == fleetpb.WaveState_WAVE_STATE_DONE {
		t.addFault(objectID{fleetpb.Tombstone_KIND_WAVE, w.Name}, "state", "the wave is done: declare a wave of another name")
		return
	}
	t.setWave(w.Name, w)
}

// upsertHost sets the declared fields of a host. The pool that an operator
// declares is the home pool: home_pool, or pool if that is empty. A new host
// starts in its home pool; an existing one is moved there by host steps, as the
// availability budget allows.
func (t *tx) upsertHost(declared *fleetpb.Host) {
	home := declared.HomePool
	if home == "" {
		home = declared.Pool
	}
	old := t.fleet.Host(declared.Name)
	h := &fleetpb.Host{
		Pool:             home,
		State:            fleetpb.HostState_HOST_STATE_ACTIVE,
		Epoch:            1,
		StateSinceUnixMs: t.fleet.nowMs,
	}
	if old != nil {
		h = proto.Clone(old).(*fleetpb.Host)
	}
	h.Name = declared.Name
	h.Rack = declared.Rack
	h.Zone = declared.Zone
	h.Region = declared.Region
	h.Cores = declared.Cores
	h.MemoryGb = declared.MemoryGb
	h.Accelerators = declared.Accelerators
	if h.HomePool != home {
		t.setHome(h, home)
	}
	if old == nil || !proto.Equal(old, h) {
		t.setHost(h.Name, h)
	}
}

// setHome changes a host's home pool. If the host is moving to its former home
// pool, the move is redirected to the new one, since draining does not depend on
// the target pool. If the host is draining and still in the new home pool, the
// move is cancelled.
func (t *tx) setHome(h *fleetpb.Host, home string) {
	if h.MoveTo != "" && h.MoveTo == h.HomePool {
		h.MoveTo = home
	}
	if h.MoveTo == h.Pool && h.State == fleetpb.HostState_HOST_STATE_DRAINING {
		h.State = fleetpb.HostState_HOST_STATE_ACTIVE
		h.StateSinceUnixMs = t.fleet.nowMs
		h.MoveTo = ""
		h.DrainVersion = 0
	}
	h.HomePool = home
	h.Lent = false
}

// deleteObject removes an object. validate then checks that nothing refers to it.
func (t *tx) deleteObject(id objectID) {
	if !t.fleet.exists(id) {
		return
	}
	switch id.kind {
	case fleetpb.Tombstone_KIND_POOL:
		t.setPool(id.name, nil)
	case fleetpb.Tombstone_KIND_TEAM:
		t.setTeam(id.name, nil)
	case fleetpb.Tombstone_KIND_WAVE:
		t.setWave(id.name, nil)
	case fleetpb.Tombstone_KIND_JOB:
		t.setJob(id.name, nil)
		t.removeFinishedTasks(id.name)
	case fleetpb.Tombstone_KIND_HOST:
		t.deleteHost(id)
	}
}

// deleteHost removes a host without unfinished tasks and running backend servers
// that is out of service or in the spare pool. Any other host has to be moved to
// the spare pool first.
func (t *tx) deleteHost(id objectID) {
	h := t.fleet.Host(id.name)
	pool := t.fleet.Pool(h.Pool)
	faultsBefore := len(t.faults)
	active := h.State == fleetpb.HostState_HOST_STATE_ACTIVE || h.State == fleetpb.HostState_HOST_STATE_DRAINING
	if active && !pool.GetSpare() {
		t.addFault(id, "state", "the host serves its pool: move it to the spare pool first")
	}
	if len(t.fleet.hostTasks[id.name]) > 0 {
		t.addFault(id, "tasks", "the host has unfinished tasks: wait until they have ended or moved")
	}
	for s := range t.fleet.HostServers(id.name) {
		if !s.Leaving && active {
			t.addFault(id, "servers", "backend server "+s.Name+" runs on the host: stop it first")
		}
	}
	if len(t.faults) > faultsBefore {
		return
	}
	t.removeServers(id.name, "")
	t.setHost(id.name, nil)
}

// removeServers removes a host's backend servers, except those of service
// keepService unless it is empty.
func (t *tx) removeServers(host, keepService string) {
	names := append([]string(nil), t.fleet.hostServers[host]...)
	for _, name := range names {
		if keepService == "" || t.fleet.Server(name).Service != keepService {
			t.setServer(name, nil)
		}
	}
}

func (t *tx) removeFinishedTasks(job string) {
	names := append([]string(nil), t.fleet.jobTasks[job]...)
	for _, name := range names {
		if finished(t.fleet.Task(name).State) {
			t.setTask(name, nil)
		}
	}
}
