package fleet

import (
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// The store methods replace an object, or remove it if it is nil, and update the
// indexes. They neither set modified versions nor record changes.

func (f *Fleet) storeHost(name string, h *fleetpb.Host) {
	old := f.Host(name)
	f.poolHosts.move(old.GetPool(), h.GetPool(), name)
	f.homeHosts.move(old.GetHomePool(), h.GetHomePool(), name)
	f.moveTargets.move(old.GetMoveTo(), h.GetMoveTo(), name)
	f.waveHosts.move(old.GetWave(), h.GetWave(), name)
	if h == nil {
		f.hosts.remove(name)
		f.inactive = removeName(f.inactive, name)
		return
	}
	f.hosts.put(h)
	if h.State == fleetpb.HostState_HOST_STATE_ACTIVE {
		f.inactive = removeName(f.inactive, name)
		return
	}
	f.inactive = insertName(f.inactive, name)
}

func (f *Fleet) storePool(name string, p *fleetpb.Pool) {
	if p == nil {
		f.pools.remove(name)
		return
	}
	f.pools.put(p)
}

func (f *Fleet) storeTeam(name string, t *fleetpb.Team) {
	if t == nil {
		f.teams.remove(name)
		return
	}
	f.teams.put(t)
}

func (f *Fleet) storeWave(name string, w *fleetpb.Wave) {
	if w == nil {
		f.waves.remove(name)
		return
	}
	f.waves.put(w)
}

func (f *Fleet) storeJob(name string, j *fleetpb.Job) {
	if old := f.Job(name); old != nil {
		f.poolJobs.remove(old.Pool, name)
		f.teamJobs.remove(old.Team, name)
	}
	if j == nil {
		f.jobs.remove(name)
		return
	}
	f.jobs.put(j)
	f.poolJobs.add(j.Pool, name)
	f.teamJobs.add(j.Team, name)
}

func (f *Fleet) storeServer(name string, s *fleetpb.BackendServer) {
	if old := f.Server(name); old != nil {
		f.hostServers.remove(old.Host, name)
	}
	if s == nil {
		f.servers.remove(name)
		return
	}
	f.servers.put(s)
	f.hostServers.add(s.Host, name)
}

func (f *Fleet) storeTask(name string, t *fleetpb.Task) {
	if old := f.Task(name); old != nil {
		f.jobTasks.remove(old.Job, name)
		f.hostTasks.remove(old.Host, name)
	}
	if t == nil {
		f.tasks.remove(name)
		return
	}
	f.tasks.put(t)
	f.jobTasks.add(t.Job, name)
	if !finished(t.State) {
		f.hostTasks.add(t.Host, name)
	}
}

// finished reports whether state is final for an attempt of a task.
func finished(state fleetpb.TaskState) bool {
	switch state {
	case fleetpb.TaskState_TASK_STATE_STOPPED, fleetpb.TaskState_TASK_STATE_FAILED, fleetpb.TaskState_TASK_STATE_DONE:
		return true
	}
	return false
}

// tx is the transaction of one command. Its changes are rolled back if the
// command has faults or breaks an invariant.
type tx struct {
	fleet        *Fleet
	version      uint64 // modified version of the objects that it changes
	undo         []func()
	touched      []objectID
	isTouched    map[objectID]bool
	before       map[objectID]object // state before the command; absent for new objects
	drainedPools []string            // pools with a host that a voluntary step drains
	waveOfHost   map[string]string   // unfinished wave of each host after the change, filled on first use
	faults       []*fleetpb.Fault
}

func (f *Fleet) newTx() *tx {
	return &tx{fleet: f, version: f.version + 1, isTouched: make(map[objectID]bool), before: make(map[objectID]object)}
}

func (t *tx) addFault(id objectID, field, message string) {
	t.faults = append(t.faults, &fleetpb.Fault{Object: id.String(), Field: field, Message: message})
}

// touch marks an object as changed by the command and saves its state before the
// first change.
func (t *tx) touch(id objectID, old object, exists bool) {
	if t.isTouched[id] {
		return
	}
	t.isTouched[id] = true
	t.touched = append(t.touched, id)
	if exists {
		t.before[id] = old
	}
}

func (t *tx) rollback() {
	for i := len(t.undo) - 1; i >= 0; i-- {
		t.undo[i]()
	}
}

func (t *tx) setHost(name string, h *fleetpb.Host) {
	old := t.fleet.Host(name)
	t.touch(objectID{fleetpb.Tombstone_KIND_HOST, name}, old, old != nil)
	t.undo = append(t.undo, func() { t.fleet.storeHost(name, old) })
	if h != nil {
		h.ModifiedVersion = t.version
	}
	t.fleet.storeHost(name, h)
}

func (t *tx) setPool(name string, p *fleetpb.Pool) {
	old := t.fleet.Pool(name)
	t.touch(objectID{fleetpb.Tombstone_KIND_POOL, name}, old, old != nil)
	t.undo = append(t.undo, func() { t.fleet.storePool(name, old) })
	if p != nil {
		p.ModifiedVersion = t.version
	}
	t.fleet.storePool(name, p)
}

func (t *tx) setTeam(name string, v *fleetpb.Team) {
	old := t.fleet.Team(name)
	t.touch(objectID{fleetpb.Tombstone_KIND_TEAM, name}, old, old != nil)
	t.undo = append(t.undo, func() { t.fleet.storeTeam(name, old) })
	if v != nil {
		v.ModifiedVersion = t.version
	}
	t.fleet.storeTeam(name, v)
}

func (t *tx) setWave(name string, w *fleetpb.Wave) {
	old := t.fleet.Wave(name)
	t.touch(objectID{fleetpb.Tombstone_KIND_WAVE, name}, old, old != nil)
	t.undo = append(t.undo, func() { t.fleet.storeWave(name, old) })
	if w != nil {
		w.ModifiedVersion = t.version
	}
	t.fleet.storeWave(name, w)
}

func (t *tx) setJob(name string, j *fleetpb.Job) {
	old := t.fleet.Job(name)
	t.touch(objectID{fleetpb.Tombstone_KIND_JOB, name}, old, old != nil)
	t.undo = append(t.undo, func() { t.fleet.storeJob(name, old) })
	if j != nil {
		j.ModifiedVersion = t.version
	}
	t.fleet.storeJob(name, j)
}

func (t *tx) setServer(name string, s *fleetpb.BackendServer) {
	old := t.fleet.Server(name)
	t.touch(objectID{fleetpb.Tombstone_KIND_SERVER, name}, old, old != nil)
	t.undo = append(t.undo, func() { t.fleet.storeServer(name, old) })
	if s != nil {
		s.ModifiedVersion = t.version
	}
	t.fleet.storeServer(name, s)
}

func (t *tx) setTask(name string, v *fleetpb.Task) {
	old := t.fleet.Task(name)
	t.touch(objectID{fleetpb.Tombstone_KIND_TASK, name}, old, old != nil)
	t.undo = append(t.undo, func() { t.fleet.storeTask(name, old) })
	if v != nil {
		v.ModifiedVersion = t.version
	}
	t.fleet.storeTask(name, v)
}

// exists reports whether an object exists after the changes made so far by the
// command being executed.
func (f *Fleet) exists(id objectID) bool {
	switch id.kind {
	case fleetpb.Tombstone_KIND_POOL:
		return f.Pool(id.name) != nil
	case fleetpb.Tombstone_KIND_HOST:
		return f.Host(id.name) != nil
	case fleetpb.Tombstone_KIND_JOB:
		return f.Job(id.name) != nil
	case fleetpb.Tombstone_KIND_WAVE:
		return f.Wave(id.name) != nil
	case fleetpb.Tombstone_KIND_TEAM:
		return f.Team(id.name) != nil
	case fleetpb.Tombstone_KIND_SERVER:
		return f.Server(id.name) != nil
	case fleetpb.Tombstone_KIND_TASK:
		return f.Task(id.name) != nil
	}
	return false
}
