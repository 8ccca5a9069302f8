// Package slots divides the slots of backend servers among entries. The control
// leader runs it, with one Allocator for each term. It does no I/O and reads no
// clock.
//
// A share is a whole number of slots of one backend server that one entry may
// use. Reducing a share frees its slots only when the entry has acknowledged the
// grant with the smaller share, or when the entry's lease has expired. An entry
// must ignore the response to a sync request once it has sent a later one, and
// must drop all shares when its configuration lease expires.
package slots

import (
	"cmp"
	"fmt"
	"slices"
)

// InvariantError reports that the named invariant does not hold. The allocator
// rebalances no shares after that.
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
	// bandDivisor sets the hysteresis: for an entry that is at most 1/16 of the
	// service's slots, or one slot, below its target, no slots are reclaimed from
	// other entries. An entry without any slot is exempt.
	bandDivisor = 16
	// churnDivisor limits the slots of a service that one Rebalance reclaims
	// because of demand to 1/4 of its slots, or one slot.
	churnDivisor = 4
	// grantTermShift puts the leader's term into the upper 32 bits of a grant
	// number, above the counter, so that two leaders never use the same number.
	grantTermShift = 32
)

// EntryID identifies one boot of an entry. BootID is empty for an entry that may
// hold shares granted by an earlier leader and has not reported to this one.
type EntryID struct {
	Entry  string
	BootID string
}

// Server is a backend server that may receive work.
type Server struct {
	Name        string
	Service     string
	Slots       uint32
	Connections uint32
}

// Use is an entry's use of one backend server.
type Use struct {
	Server   string
	Held     uint32 // slots that the entry holds
	InFlight uint32
}

// Report is the part of an entry's sync request that concerns its shares.
type Report struct {
	ID         EntryID
	AckedGrant uint64
	Uses       []Use
	Demand     map[string]float64 // by service: wanted slots, the queued and running requests
}

// Share is an entry's share of one backend server.
type Share struct {
	Server      string
	Slots       uint32
	Connections uint32 // the server's connections divided by the number of entries, at least 1
}

// decrease is a share before it was reduced; the entry may still use it.
type decrease struct {
	grant uint64 // number of the grant that reduced it
	slots uint32
}

// reportedUse is the greater of the held slots and the requests in flight in a report.
type reportedUse struct {
	slots  uint32
	report uint64
}

// entryState is the allocator's record of one boot of an entry.
type entryState struct {
	id          EntryID
	latestGrant uint64
	ackedGrant  uint64
	granted     map[string]uint32     // by server: slots in the latest grant
	pending     map[string][]decrease // by server: unacknowledged decreases, oldest first
	reported    map[string]reportedUse
	reportCount uint64 // number of the latest report
	demand      map[string]float64
	superseded  bool // a later boot of the entry has reported
}

// maxInUse returns the most slots of a server that the entry may be using: the
// largest of its grant, its report and its unacknowledged decreases.
func (e *entryState) maxInUse(server string) uint32 {
	most := max(e.granted[server], e.reported[server].slots)
	for _, d := range e.pending[server] {
		most = max(most, d.slots)
	}
	return most
}

// Allocator is the in-memory state of one term. A new leader rebuilds it from
// reports. It is not safe for concurrent use.
type Allocator struct {
	term        uint64
	unreported  map[string]bool // entries that may hold shares of an earlier term
	entryStates map[EntryID]*entryState
	servers     map[string]Server
	services    map[string][]string // service to its server names, sorted
	dirty       map[string]bool     // services whose shares the next Rebalance computes
	broken      *InvariantError
}

// New starts a term. Nothing is granted until each of the entries has reported
// what it holds, or RemoveEntry was called for it with an empty boot id. A
// restarted entry holds nothing and has no record of what its earlier boot held,
// so its report does not end the wait. Pass no entries if no backend server was
// registered before the term, as in a new cluster: then no entry can hold a share.
func New(term uint64, entries []string) *Allocator {
	a := &Allocator{
		term:        term,
		unreported:  make(map[string]bool),
		entryStates: make(map[EntryID]*entryState),
		servers:     make(map[string]Server),
		services:    make(map[string][]string),
		dirty:       make(map[string]bool),
	}
	for _, name := range entries {
		a.unreported[name] = true
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

// RemoveServer reclaims all shares of a backend server that is leaving, whose
// lease has expired or whose host drains. Entries may use the shares until they
// have acknowledged the removal. If the server is added again before that, the
// old shares still count as in use.
func (a *Allocator) RemoveServer(name string) {
	s, known := a.servers[name]
	if !known {
		return
	}
	for _, e := range a.sortedEntries() {
		if e.granted[name] > 0 {
			e.setShare(name, 0, a.nextGrant(e))
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

// Servers returns the backend servers, sorted by name.
func (a *Allocator) Servers() []Server {
	out := make([]Server, 0, len(a.servers))
	for _, s := range a.servers {
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y Server) int { return cmp.Compare(x.Name, y.Name) })
	return out
}

// nextGrant advances the entry's grant number and returns it. The latest grant
// may have been sent already, so every change needs a later number. Read
// the result with Grant after a batch of changes.
func (a *Allocator) nextGrant(e *entryState) uint64 {
	e.latestGrant = max(e.latestGrant, a.term<<grantTermShift) + 1
	return e.latestGrant
}

// setShare changes the share of one server as part of the grant with this number.
func (e *entryState) setShare(server string, slots uint32, number uint64) {
	before := e.granted[server]
	if slots < before {
		e.addPending(server, decrease{grant: number, slots: before})
	}
	if slots == 0 {
		delete(e.granted, server)
		return
	}
	e.granted[server] = slots
}

// addPending records a decrease until it is acknowledged. Of several decreases in
// one grant it keeps only the first, which has the most slots.
func (e *entryState) addPending(server string, d decrease) {
	list := e.pending[server]
	if n := len(list); n > 0 && list[n-1].grant == d.grant {
		return
	}
	e.pending[server] = append(list, d)
}

// Report records an entry's usage, demand and acknowledged grant. At the entry's
// first report, shares that an earlier leader granted are adopted unchanged.
func (a *Allocator) Report(r Report) {
	e := a.entryStates[r.ID]
	if e == nil {
		e = a.addEntry(r)
	}
	a.acknowledge(e, r.AckedGrant)
	a.setReported(e, r.Uses)
	for service := range a.services {
		if e.demand[service] != r.Demand[service] {
			a.dirty[service] = true
		}
	}
	e.demand = r.Demand
}

// setReported replaces the reported usage. Unchanged usage costs one map access
// for each server and causes no rebalancing.
func (a *Allocator) setReported(e *entryState, uses []Use) {
	e.reportCount++
	for _, u := range uses {
		latest := reportedUse{slots: max(u.Held, u.InFlight), report: e.reportCount}
		if old, known := e.reported[u.Server]; !known || old.slots != latest.slots {
			a.markDirty(u.Server)
		}
		e.reported[u.Server] = latest
	}
	if len(e.reported) == len(uses) {
		return
	}
	for server, r := range e.reported {
		if r.report != e.reportCount {
			delete(e.reported, server)
			a.markDirty(server)
		}
	}
}

func (a *Allocator) markDirty(server string) {
	if s, known := a.servers[server]; known {
		a.dirty[s.Service] = true
	}
}

func (a *Allocator) markAllDirty() {
	for service := range a.services {
		a.dirty[service] = true
	}
}

func (a *Allocator) addEntry(r Report) *entryState {
	for _, old := range a.entryStates {
		if old.id.Entry == r.ID.Entry {
			old.superseded = true
		}
	}
	a.markAllDirty()
	e := &entryState{id: r.ID, granted: make(map[string]uint32), pending: make(map[string][]decrease), reported: make(map[string]reportedUse)}
	a.entryStates[r.ID] = e
	restarted := r.AckedGrant == 0 && len(r.Uses) == 0
	if !a.unreported[r.ID.Entry] || restarted {
		return e
	}
	delete(a.unreported, r.ID.Entry)
	for _, u := range r.Uses {
		_, known := a.servers[u.Server]
		if u.Held > 0 && known {
			e.granted[u.Server] = u.Held
		}
	}
	a.nextGrant(e)
	return e
}

// acknowledge frees the slots of all decreases up to and including a grant.
func (a *Allocator) acknowledge(e *entryState, grant uint64) {
	if grant <= e.ackedGrant || grant > e.latestGrant {
		return
	}
	e.ackedGrant = grant
	for server, list := range e.pending {
		a.markDirty(server)
		list = slices.DeleteFunc(list, func(d decrease) bool { return d.grant <= grant })
		if len(list) == 0 {
			delete(e.pending, server)
			continue
		}
		e.pending[server] = list
	}
}

// RemoveEntry frees the shares of an entry whose lease has expired. With an empty
// boot id it ends the wait for an entry that has not reported in this term.
func (a *Allocator) RemoveEntry(id EntryID) {
	if id.BootID == "" {
		delete(a.unreported, id.Entry)
	}
	delete(a.entryStates, id)
	a.markAllDirty()
}

// GrantNumber returns the number of an entry's latest grant, or 0 for an entry
// that has not reported or has a later boot. Unlike Grant it does not iterate
// over the entry's shares.
func (a *Allocator) GrantNumber(id EntryID) uint64 {
	e := a.entryStates[id]
	if e == nil || e.superseded {
		return 0
	}
	return e.latestGrant
}

// Grant returns the number of an entry's latest grant and the full list of its
// shares, sorted by server. It returns 0 and no shares for an entry that has not
// reported or has a later boot.
func (a *Allocator) Grant(id EntryID) (uint64, []Share) {
	e := a.entryStates[id]
	if e == nil || e.superseded {
		return 0, nil
	}
	shares := make([]Share, 0, len(e.granted))
	entryCount := uint32(max(1, len(a.liveEntries())+len(a.unreported)))
	for name, n := range e.granted {
		connections := max(1, a.servers[name].Connections/entryCount)
		shares = append(shares, Share{Server: name, Slots: n, Connections: connections})
	}
	slices.SortFunc(shares, func(x, y Share) int { return cmp.Compare(x.Server, y.Server) })
	return e.latestGrant, shares
}

// liveEntries returns the entries that can be granted shares, sorted by name and
// boot id.
func (a *Allocator) liveEntries() []*entryState {
	out := make([]*entryState, 0, len(a.entryStates))
	for _, e := range a.sortedEntries() {
		if !e.superseded {
			out = append(out, e)
		}
	}
	return out
}

func (a *Allocator) sortedEntries() []*entryState {
	out := make([]*entryState, 0, len(a.entryStates))
	for _, e := range a.entryStates {
		out = append(out, e)
	}
	slices.SortFunc(out, func(x, y *entryState) int {
		return cmp.Or(cmp.Compare(x.id.Entry, y.id.Entry), cmp.Compare(x.id.BootID, y.id.BootID))
	})
	return out
}

// LookupServer returns the backend server with this name, and false if there is
// none among those that may receive work.
func (a *Allocator) LookupServer(name string) (Server, bool) {
	s, known := a.servers[name]
	return s, known
}

// ServerCount returns the number of backend servers.
func (a *Allocator) ServerCount() int { return len(a.servers) }

// MaxInUse returns the most slots of a server that entries may be using in total.
func (a *Allocator) MaxInUse(server string) uint32 {
	sum := uint32(0)
	for _, e := range a.entryStates {
		sum += e.maxInUse(server)
	}
	return sum
}
