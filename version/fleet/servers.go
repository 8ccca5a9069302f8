package fleet

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// leftActor is the actor of an origin whose request_id holds the boot id of a
// backend server that left. The origin is dropped with the server's tombstone.
const leftActor = "left"

// register adds or updates a backend server. The server must be of the service
// of its host's pool. A server that is leaving remains so until it registers with
// a new boot id.
func (t *tx) register(s *fleetpb.BackendServer) {
	id := objectID{fleetpb.Tombstone_KIND_SERVER, s.GetName()}
	t.checkServerFields(id, s)
	t.checkServerHost(id, s)
	if len(t.faults) > 0 {
		return
	}
	if left := t.fleet.origins[id.String()]; left != nil && left.RequestId == s.BootId {
		t.addFault(id, "boot_id", "this boot has left: start the backend server again with a new boot id")
		return
	}
	old := t.fleet.Server(s.Name)
	if old == nil {
		t.setServer(s.Name, proto.Clone(s).(*fleetpb.BackendServer))
		return
	}
	if old.BootId == s.BootId && old.Leaving && !s.Leaving {
		t.addFault(id, "leaving", "this boot is leaving: start the backend server again with a new boot id")
		return
	}
	if old.Host != s.Host && !old.Leaving {
		t.addFault(id, "host", "the name is used by a backend server on host "+old.Host+": choose another name, or stop that one")
		return
	}
	updated := proto.Clone(s).(*fleetpb.BackendServer)
	updated.ModifiedVersion = old.ModifiedVersion
	if !proto.Equal(old, updated) {
		t.setServer(updated.Name, updated)
	}
}

func (t *tx) checkServerFields(id objectID, s *fleetpb.BackendServer) {
	required := []struct{ field, value string }{
		{"name", s.GetName()}, {"host", s.GetHost()}, {"service", s.GetService()},
		{"address", s.GetAddress()}, {"boot_id", s.GetBootId()},
	}
	for _, r := range required {
		if r.value == "" {
			t.addFault(id, r.field, "it is empty: announce it")
		}
	}
	if s.GetSlots() == 0 {
		t.addFault(id, "slots", "it is 0: announce at least one slot")
	}
}

func (t *tx) checkServerHost(id objectID, s *fleetpb.BackendServer) {
	h := t.fleet.Host(s.GetHost())
	if h == nil {
		t.addFault(id, "host", fmt.Sprintf("host %q does not exist: declare it in a pool of service %q", s.GetHost(), s.GetService()))
		return
	}
	if service := t.fleet.Pool(h.Pool).GetService(); service != s.GetService() {
		t.addFault(id, "service", fmt.Sprintf("host %s is in pool %s of service %q, not %q: move the host, or run a backend server of its service",
			h.Name, h.Pool, service, s.GetService()))
	}
}

// unregister marks a backend server as leaving or removes it. A request with
// another boot id than the registered one is ignored, because it is from an
// earlier boot.
func (t *tx) unregister(u *fleetpb.Unregister) {
	old := t.fleet.Server(u.Server)
	if old == nil || (u.BootId != "" && u.BootId != old.BootId) {
		return
	}
	if u.Remove {
		t.setServer(u.Server, nil)
		return
	}
	if old.Leaving {
		return
	}
	updated := proto.Clone(old).(*fleetpb.BackendServer)
	updated.Leaving = true
	t.setServer(updated.Name, updated)
}

// recordServerOrigin stores the boot id of a server that was removed while it was
// leaving, so that this boot can't register again. A server that was removed
// because its lease was lost may announce the same boot again.
func (t *tx) recordServerOrigin(id objectID) {
	delete(t.fleet.origins, id.String())
	old, existed := t.before[id].(*fleetpb.BackendServer)
	if !existed || !old.Leaving || t.fleet.exists(id) {
		return
	}
	t.fleet.origins[id.String()] = &fleetpb.Origin{Object: id.String(), Actor: leftActor, RequestId: old.BootId, Version: t.version}
}
