package fleet

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// leftActor is the actor of the origin that remembers, in request_id, the boot
// of a backend server that left. It lives as long as the server's tombstone.
const leftActor = "left"

// register adds a backend server or updates it. A server belongs to the service
// of its host's pool, and one that is leaving stays so for the rest of its boot.
func (t *tx) register(s *fleetpb.BackendServer) {
	id := objectID{fleetpb.Tombstone_KIND_SERVER, s.GetName()}
	t.checkServerFields(id, s)
	t.checkServerHost(id, s)
	if len(t.faults) > 0 {
		return
	}
	if left := t.f.origins[id.String()]; left != nil && left.RequestId == s.BootId {
		t.fault(id, "boot_id", "this boot has left: start the backend server again with a new boot id")
		return
	}
	old := t.f.Server(s.Name)
	if old == nil {
		t.setServer(s.Name, proto.Clone(s).(*fleetpb.BackendServer))
		return
	}
	if old.BootId == s.BootId && old.Leaving && !s.Leaving {
		t.fault(id, "leaving", "this boot is leaving: start the backend server again with a new boot id")
		return
	}
	if old.Host != s.Host && !old.Leaving {
		t.fault(id, "host", "the name is used by a backend server on host "+old.Host+": choose another name, or stop that one")
		return
	}
	n := proto.Clone(s).(*fleetpb.BackendServer)
	n.ModifiedVersion = old.ModifiedVersion
	if !proto.Equal(old, n) {
		t.setServer(n.Name, n)
	}
}

func (t *tx) checkServerFields(id objectID, s *fleetpb.BackendServer) {
	required := []struct{ field, value string }{
		{"name", s.GetName()}, {"host", s.GetHost()}, {"service", s.GetService()},
		{"address", s.GetAddress()}, {"boot_id", s.GetBootId()},
	}
	for _, r := range required {
		if r.value == "" {
			t.fault(id, r.field, "it is empty: announce it")
		}
	}
	if s.GetSlots() == 0 {
		t.fault(id, "slots", "it is 0: announce at least one slot")
	}
}

func (t *tx) checkServerHost(id objectID, s *fleetpb.BackendServer) {
	h := t.f.Host(s.GetHost())
	if h == nil {
		t.fault(id, "host", fmt.Sprintf("host %q does not exist: declare it in a pool of service %q", s.GetHost(), s.GetService()))
		return
	}
	if service := t.f.Pool(h.Pool).GetService(); service != s.GetService() {
		t.fault(id, "service", fmt.Sprintf("host %s is in pool %s of service %q, not %q: move the host, or run a backend server of its service",
			h.Name, h.Pool, service, s.GetService()))
	}
}

// unregister marks a backend server as leaving or removes it. Another boot id
// than the registered one changes nothing, since it is from an earlier boot.
func (t *tx) unregister(u *fleetpb.Unregister) {
	old := t.f.Server(u.Server)
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
	n := proto.Clone(old).(*fleetpb.BackendServer)
	n.Leaving = true
	t.setServer(n.Name, n)
}

// noteServerOrigin remembers the boot of a server removed while it was leaving.
// A server removed for a lost lease may announce the same boot again.
func (t *tx) noteServerOrigin(id objectID) {
	delete(t.f.origins, id.String())
	old, had := t.old[id].(*fleetpb.BackendServer)
	if !had || !old.Leaving || t.f.exists(id) {
		return
	}
	t.f.origins[id.String()] = &fleetpb.Origin{Object: id.String(), Actor: leftActor, RequestId: old.BootId, Version: t.version}
}
