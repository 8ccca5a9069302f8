package fleet

import (
	"fmt"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// checkInvariants checks the named invariants for the objects that a command
// touched, before the command is committed.
func (t *tx) checkInvariants() {
	if t.version <= t.fleet.version {
		t.fleet.failInvariant(InvariantVersionIncreases, "a command does not increase the version")
	}
	if t.fleet.tombstones.Len() > t.fleet.maxTombstones {
		t.fleet.failInvariant(InvariantTombstonesBounded, "the number of tombstones exceeds its limit")
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
	for _, pool := range t.drainedPools {
		if b := Budget(t.fleet, pool); !b.Met() {
			t.fleet.failInvariant(InvariantBudgetKept, fmt.Sprintf("a voluntary step left pool %s %d hosts short of its availability budget", pool, -b.Spare()))
		}
	}
}

// checkHost checks that a host is in one existing pool, that its epoch does not
// decrease, and that it changes pool only from the released state and with a
// greater epoch.
func (t *tx) checkHost(id objectID) {
	h := t.fleet.Host(id.name)
	if h == nil {
		return
	}
	if t.fleet.Pool(h.Pool) == nil {
		t.fleet.failInvariant(InvariantHostInOnePool, "host "+h.Name+" is in a pool that does not exist")
	}
	old, changed := t.before[id].(*fleetpb.Host)
	if !changed {
		return
	}
	if h.Epoch < old.Epoch {
		t.fleet.failInvariant(InvariantEpochIncreases, "host "+h.Name+" returned to an earlier epoch")
	}
	if h.Pool != old.Pool && (h.Epoch <= old.Epoch || old.State != fleetpb.HostState_HOST_STATE_RELEASED) {
		t.fleet.failInvariant(InvariantHostInOnePool, "host "+h.Name+" changed pool without being released and getting a new epoch")
	}
	if h.Pool != old.Pool {
		t.checkServersOf(h)
	}
}

// checkServersOf checks the backend servers of a host.
func (t *tx) checkServersOf(h *fleetpb.Host) {
	for s := range t.fleet.HostServers(h.Name) {
		t.checkServer(objectID{fleetpb.Tombstone_KIND_SERVER, s.Name})
	}
}

func (t *tx) checkServer(id objectID) {
	s := t.fleet.Server(id.name)
	if s == nil {
		return
	}
	h := t.fleet.Host(s.Host)
	if h == nil || t.fleet.Pool(h.Pool).GetService() != s.Service {
		t.fleet.failInvariant(InvariantServerOfOwnPool, "backend server "+s.Name+" is not of the service of its host's pool")
	}
	old, changed := t.before[id].(*fleetpb.BackendServer)
	if changed && old.Leaving && !s.Leaving && old.BootId == s.BootId {
		t.fleet.failInvariant(InvariantLeavingIsFinal, "backend server "+s.Name+" was leaving and registered again with the same boot id")
	}
}

func (t *tx) checkTask(id objectID) {
	updated := t.fleet.Task(id.name)
	old, changed := t.before[id].(*fleetpb.Task)
	if updated == nil || !changed {
		return
	}
	if updated.Attempt < old.Attempt || (updated.Attempt > old.Attempt && !finished(old.State)) {
		t.fleet.failInvariant(InvariantAttemptIncreases, fmt.Sprintf("task %s went from attempt %d to %d", id.name, old.Attempt, updated.Attempt))
	}
}
