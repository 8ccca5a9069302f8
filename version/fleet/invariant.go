package fleet

import (
	"fmt"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// checkInvariants asserts the named invariants on what a command touched,
// before it is committed.
func (t *tx) checkInvariants() {
	if t.version <= t.f.version {
		t.f.fail(InvariantVersionGrows, "a command has no later version")
	}
	if t.f.tombstones.Len() > t.f.maxTombstones {
		t.f.fail(InvariantTombstonesBound, "more tombstones than the bound")
	}
	for _, id := range t.touched {
		switch id.kind {
		case fleetpb.Tombstone_KIND_HOST:
			t.checkHost(id)
		case fleetpb.Tombstone_KIND_SERVER:
			t.checkServer(id)
		case fleetpb.Tombstone_KIND_TASK:
			t.checkTask(id)
		}
	}
	for _, pool := range t.drained {
		if b := Budget(t.f, pool); !b.Met() {
			t.f.fail(InvariantBudgetKept, fmt.Sprintf("a voluntary step left pool %s %d hosts short", pool, -b.Spare()))
		}
	}
}

// checkHost asserts that a host is in one existing pool, and that it changes
// pool or comes back into service only with a greater epoch.
func (t *tx) checkHost(id objectID) {
	h := t.f.Host(id.name)
	if h == nil {
		return
	}
	if t.f.Pool(h.Pool) == nil {
		t.f.fail(InvariantOnePool, "host "+h.Name+" is in no existing pool")
	}
	old, changed := t.old[id].(*fleetpb.Host)
	if !changed {
		return
	}
	if h.Epoch < old.Epoch {
		t.f.fail(InvariantEpochGrows, "host "+h.Name+" went back to an earlier epoch")
	}
	if h.Pool != old.Pool && (h.Epoch <= old.Epoch || old.State != fleetpb.HostState_HOST_STATE_RELEASED) {
		t.f.fail(InvariantOnePool, "host "+h.Name+" changed pool without release and a new epoch")
	}
	if h.Pool != old.Pool {
		t.checkServersOf(h)
	}
}

func (t *tx) checkServersOf(h *fleetpb.Host) {
	for s := range t.f.HostServers(h.Name) {
		t.checkServer(objectID{fleetpb.Tombstone_KIND_SERVER, s.Name})
	}
}

func (t *tx) checkServer(id objectID) {
	s := t.f.Server(id.name)
	if s == nil {
		return
	}
	h := t.f.Host(s.Host)
	if h == nil || t.f.Pool(h.Pool).GetService() != s.Service {
		t.f.fail(InvariantServerService, "backend server "+s.Name+" is not of its host's pool")
	}
	old, changed := t.old[id].(*fleetpb.BackendServer)
	if changed && old.Leaving && !s.Leaving && old.BootId == s.BootId {
		t.f.fail(InvariantLeavingStays, "backend server "+s.Name+" came back in the same boot")
	}
}

func (t *tx) checkTask(id objectID) {
	now := t.f.Task(id.name)
	old, changed := t.old[id].(*fleetpb.Task)
	if now == nil || !changed {
		return
	}
	if now.Attempt < old.Attempt || (now.Attempt > old.Attempt && !finished(old.State)) {
		t.f.fail(InvariantAttemptGrows, fmt.Sprintf("task %s went from attempt %d to %d", id.name, old.Attempt, now.Attempt))
	}
}
