// Package slots shares the slots of backend servers among entries. It runs at
// the control leader as a pure core, one Allocator for each term.
//
// A share is a whole number of slots of one backend server that one entry may
// use. A decrease frees its slots only when the entry has acknowledged the
// grant that contains it, or when the entry's lease is over. An entry must take
// no answer to an earlier request once it has sent a later one, and drop all
// shares when its configuration lease is over.
package slots

import (
	"cmp"
	"fmt"
	"slices"
)

// InvariantError says that a named invariant is broken. The allocator changes
// no share after it.
type InvariantError struct {
	Name   string
	Detail string
}

func (e *InvariantError) Error() string {
	return fmt.Sprintf("slots invariant %s is broken: %s; restart this process", e.Name, e.Detail)
}

// Names of the invariants.
const (
	InvariantNotOvergranted = "slots-not-overgranted"
	InvariantKeepsOne       = "entry-keeps-one-slot"
)

const (
	// bandDivisor sets the hysteresis: a share that differs from its target by
	// at most 1/16 of the service's slots, or one slot, stays as it is.
	bandDivisor = 16
	// churnDivisor bounds the slots of a service that one Rebalance takes away
	// for demand to 1/4 of them, or one slot.
	churnDivisor = 4
	// termShift puts the leader's term above the counter in a grant number, so
	// that numbers of two leaders never meet.
	termShift = 32
)

// Holder names one boot of an entry. BootID is empty for an entry that may hold
// shares of an earlier leader and has not reported to this one.
type Holder struct {
	Entry  string
	BootID string
}

// Server is a backend server that takes work.
type Server struct {
	Name        string
	Service     string
	Slots       uint32
	Connections uint32
}

// Use is an entry's use of one backend server.
type Use struct {
	Server   string
	Held     uint32 // slots of its share
	InFlight uint32
}

// Report is the part of an entry's sync request that concerns its shares.
type Report struct {
	Holder     Holder
	AckedGrant uint64
	Uses       []Use
	Demand     map[string]float64 // service to wanted slots: queued and running requests
}

// Share is an entry's share of one backend server.
type Share struct {
	Server      string
	Slots       uint32
	Connections uint32 // the server's connections divided by the number of entries
}

// decrease is a share that was taken back and may still be in use.
type decrease struct {
	grant uint64 // first grant without it
	slots uint32
}

// reportedUse is the greatest of held slots and requests in flight in a report.
type reportedUse struct {
	slots  uint32
	report uint64
}

type holder struct {
	id       Holder
	number   uint64 // of the latest grant
	acked    uint64
	current  map[string]uint32 // latest granted shares
	pending  map[string][]decrease
	reported map[string]reportedUse
	reports  uint64 // number of the latest report
	demand   map[string]float64
	retired  bool // a later boot of the entry has reported
}

// bound returns the most slots of a server that the entry may be using.
func (h *holder) bound(server string) uint32 {
	most := max(h.current[server], h.reported[server].slots)
	for _, d := range h.pending[server] {
		most = max(most, d.slots)
	}
	return most
}

// Allocator is the soft state of one term. It is not safe for concurrent use.
type Allocator struct {
	term     uint64
	silent   map[string]bool
	holders  map[Holder]*holder
	servers  map[string]Server
	services map[string][]string // server names in order
	dirty    map[string]bool     // services to look at in Rebalance
	broken   *InvariantError
}

// New starts a term. Nothing is granted until each of the entries has reported
// what it holds, or Over was called for it with an empty boot id. A restarted
// entry holds nothing and does not know what its earlier boot held, so its
// report does not end the wait. Pass no entries when no backend server was
// registered before the term, as in a new cluster: then no share can be held.
func New(term uint64, entries []string) *Allocator {
	a := &Allocator{
		term:     term,
		silent:   make(map[string]bool),
		holders:  make(map[Holder]*holder),
		servers:  make(map[string]Server),
		services: make(map[string][]string),
		dirty:    make(map[string]bool),
	}
	for _, name := range entries {
		a.silent[name] = true
	}
	return a
}

// Broken returns the *InvariantError that stopped the allocator, or nil.
func (a *Allocator) Broken() error {
	if a.broken == nil {
		return nil
	}
	return a.broken
}

func (a *Allocator) fail(name, detail string) {
	if a.broken == nil {
		a.broken = &InvariantError{Name: name, Detail: detail}
	}
}

// SetServer adds a backend server or changes its slots.
func (a *Allocator) SetServer(s Server) {
	old, known := a.servers[s.Name]
	if known && old == s {
		return
	}
	if known && old.Service != s.Service {
		a.RemoveServer(s.Name)
	}
	a.servers[s.Name] = s
	names := a.services[s.Service]
	if at, found := slices.BinarySearch(names, s.Name); !found {
		a.services[s.Service] = slices.Insert(names, at, s.Name)
	}
	a.dirty[s.Service] = true
}

// RemoveServer takes all shares of a backend server back: it is leaving, its
// lease is over, or its host drains. Entries may use them until they have
// acknowledged that, which counts if the server is added again.
func (a *Allocator) RemoveServer(name string) {
	s, known := a.servers[name]
	if !known {
		return
	}
	for _, h := range a.sorted() {
		if h.current[name] > 0 {
			h.set(name, 0, a.next(h))
		}
	}
	delete(a.servers, name)
	names := a.services[s.Service]
	if at, found := slices.BinarySearch(names, name); found {
		a.services[s.Service] = slices.Delete(names, at, at+1)
	}
	if len(a.services[s.Service]) == 0 {
		delete(a.services, s.Service)
	}
	a.dirty[s.Service] = true
}

// Servers returns the backend servers in name order.
func (a *Allocator) Servers() []Server {
	out := make([]Server, 0, len(a.servers))
	for _, s := range a.servers {
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y Server) int { return cmp.Compare(x.Name, y.Name) })
	return out
}

// next returns the number of the grant that the present changes go into. The
// latest grant may have been sent, so every change needs a later number; the
// driver takes Grant after a batch of changes.
func (a *Allocator) next(h *holder) uint64 {
	h.number = max(h.number, a.term<<termShift) + 1
	return h.number
}

// set changes a share in grant number.
func (h *holder) set(server string, slots uint32, number uint64) {
	was := h.current[server]
	if slots < was {
		h.await(server, decrease{grant: number, slots: was})
	}
	if slots == 0 {
		delete(h.current, server)
		return
	}
	h.current[server] = slots
}

// await keeps a decrease until it is acknowledged. Of several in one grant the
// first one has the most slots and stands for all.
func (h *holder) await(server string, d decrease) {
	list := h.pending[server]
	if n := len(list); n > 0 && list[n-1].grant == d.grant {
		return
	}
	h.pending[server] = append(list, d)
}

// Report takes an entry's use, demand and acknowledgement. Shares held from an
// earlier leader are adopted as they are at the entry's first report.
func (a *Allocator) Report(r Report) {
	h := a.holders[r.Holder]
	if h == nil {
		h = a.admit(r)
	}
	a.acknowledge(h, r.AckedGrant)
	a.setReported(h, r.Uses)
	for service := range a.services {
		if h.demand[service] != r.Demand[service] {
			a.dirty[service] = true
		}
	}
	h.demand = r.Demand
}

// setReported replaces the reported uses. Only changed ones cost more than a look-up.
func (a *Allocator) setReported(h *holder, uses []Use) {
	h.reports++
	for _, u := range uses {
		now := reportedUse{slots: max(u.Held, u.InFlight), report: h.reports}
		if old, known := h.reported[u.Server]; !known || old.slots != now.slots {
			a.touch(u.Server)
		}
		h.reported[u.Server] = now
	}
	if len(h.reported) == len(uses) {
		return
	}
	for server, r := range h.reported {
		if r.report != h.reports {
			delete(h.reported, server)
			a.touch(server)
		}
	}
}

func (a *Allocator) touch(server string) {
	if s, known := a.servers[server]; known {
		a.dirty[s.Service] = true
	}
}

func (a *Allocator) touchAll() {
	for service := range a.services {
		a.dirty[service] = true
	}
}

func (a *Allocator) admit(r Report) *holder {
	for _, old := range a.holders {
		if old.id.Entry == r.Holder.Entry {
			old.retired = true
		}
	}
	a.touchAll()
	h := &holder{id: r.Holder, current: make(map[string]uint32), pending: make(map[string][]decrease), reported: make(map[string]reportedUse)}
	a.holders[r.Holder] = h
	restarted := r.AckedGrant == 0 && len(r.Uses) == 0
	if !a.silent[r.Holder.Entry] || restarted {
		return h
	}
	delete(a.silent, r.Holder.Entry)
	for _, u := range r.Uses {
		_, known := a.servers[u.Server]
		if u.Held > 0 && known {
			h.current[u.Server] = u.Held
		}
	}
	a.next(h)
	return h
}

// acknowledge frees the decreases up to a grant.
func (a *Allocator) acknowledge(h *holder, grant uint64) {
	if grant <= h.acked || grant > h.number {
		return
	}
	h.acked = grant
	for server, list := range h.pending {
		a.touch(server)
		list = slices.DeleteFunc(list, func(d decrease) bool { return d.grant <= grant })
		if len(list) == 0 {
			delete(h.pending, server)
			continue
		}
		h.pending[server] = list
	}
}

// Over ends the shares of an entry whose lease is over. With an empty boot id
// it ends the wait for an entry that has not reported in this term.
func (a *Allocator) Over(id Holder) {
	if id.BootID == "" {
		delete(a.silent, id.Entry)
	}
	delete(a.holders, id)
	a.touchAll()
}

// GrantNumber returns the number of an entry's latest grant, 0 for an entry that
// has not reported. Unlike Grant it does not cost a pass over the entry's shares.
func (a *Allocator) GrantNumber(id Holder) uint64 {
	h := a.holders[id]
	if h == nil || h.retired {
		return 0
	}
	return h.number
}

// Grant returns the number and the full list of an entry's shares in server
// order. It returns 0 and nothing for an entry that has not reported.
func (a *Allocator) Grant(id Holder) (uint64, []Share) {
	h := a.holders[id]
	if h == nil || h.retired {
		return 0, nil
	}
	shares := make([]Share, 0, len(h.current))
	entries := uint32(max(1, len(a.live())+len(a.silent)))
	for name, n := range h.current {
		connections := max(1, a.servers[name].Connections/entries)
		shares = append(shares, Share{Server: name, Slots: n, Connections: connections})
	}
	slices.SortFunc(shares, func(x, y Share) int { return cmp.Compare(x.Server, y.Server) })
	return h.number, shares
}

// live returns the entries that take shares, in order.
func (a *Allocator) live() []*holder {
	out := make([]*holder, 0, len(a.holders))
	for _, h := range a.sorted() {
		if !h.retired {
			out = append(out, h)
		}
	}
	return out
}

func (a *Allocator) sorted() []*holder {
	out := make([]*holder, 0, len(a.holders))
	for _, h := range a.holders {
		out = append(out, h)
	}
	slices.SortFunc(out, func(x, y *holder) int {
		return cmp.Or(cmp.Compare(x.id.Entry, y.id.Entry), cmp.Compare(x.id.BootID, y.id.BootID))
	})
	return out
}

// Known returns a backend server, and false if it does not take work here.
func (a *Allocator) Known(name string) (Server, bool) {
	s, known := a.servers[name]
	return s, known
}

// Len returns the number of backend servers.
func (a *Allocator) Len() int { return len(a.servers) }

// Bound returns the most slots of a server that entries may be using in total.
func (a *Allocator) Bound(server string) uint32 {
	sum := uint32(0)
	for _, h := range a.holders {
		sum += h.bound(server)
	}
	return sum
}
