package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// Full returns the whole state. Its messages are shared with the fleet and must
// not be modified.
func (f *Fleet) Full() *fleetpb.Snapshot {
	s := f.unsorted()
	sortOrigins(s)
	return s
}

// unsorted returns the whole state with origins in no order.
func (f *Fleet) unsorted() *fleetpb.Snapshot {
	s := &fleetpb.Snapshot{
		Version:   f.version,
		NowUnixMs: f.nowMs,
		Pools:     f.pools.slice(),
		Hosts:     f.hosts.slice(),
		Jobs:      f.jobs.slice(),
		Waves:     f.waves.slice(),
		Teams:     f.teams.slice(),
		Servers:   f.servers.slice(),
		Tasks:     f.tasks.slice(),
		Figures:   f.Figures(),
	}
	if f.floor > 0 {
		// A tombstone without a kind stands for all that were dropped.
		s.Deleted = append(s.Deleted, &fleetpb.Tombstone{Version: f.floor})
	}
	eachChange(f.tombstones, func(c *change) { s.Deleted = append(s.Deleted, tombstone(c)) })
	for e := f.answers.Front(); e != nil; e = e.Next() {
		s.Answered = append(s.Answered, e.Value.(*fleetpb.Answered))
	}
	s.Origins = slices.AppendSeq(make([]*fleetpb.Origin, 0, len(f.origins)), maps.Values(f.origins))
	return s
}

func sortOrigins(s *fleetpb.Snapshot) {
	slices.SortFunc(s.Origins, func(a, b *fleetpb.Origin) int { return cmp.Compare(a.Object, b.Object) })
}

// Snapshot returns the state as a marshalled fleetpb.Snapshot, the same bytes
// for equal states. It returns the *InvariantError of a broken fleet.
func (f *Fleet) Snapshot() ([]byte, error) {
	encode, err := f.SnapshotView()
	if err != nil {
		return nil, err
	}
	return encode()
}

// SnapshotView returns a function that encodes the state of the time of this
// call, as Snapshot does. The function may run on another goroutine while
// commands are applied, because stored messages are never modified in place.
func (f *Fleet) SnapshotView() (func() ([]byte, error), error) {
	if f.broken != nil {
		return nil, f.broken
	}
	s := f.unsorted()
	return func() ([]byte, error) {
		sortOrigins(s)
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
		return data, errors.Wrap(err, "marshal fleet snapshot")
	}, nil
}

// Restore replaces the state by a snapshot. On an error the fleet is empty and
// must not be used: fetch another snapshot.
func (f *Fleet) Restore(snapshot []byte) error {
	f.reset()
	var s fleetpb.Snapshot
	if err := proto.Unmarshal(snapshot, &s); err != nil {
		return errors.Wrap(err, "decode fleet snapshot: fetch another one")
	}
	f.version = s.Version
	f.nowMs = s.NowUnixMs
	f.restoreObjects(&s)
	f.restoreChanges(&s)
	for _, a := range s.Answered {
		f.remember(a)
	}
	for _, o := range s.Origins {
		f.origins[o.Object] = o
	}
	for _, m := range s.Figures {
		f.figures[figureID{m.Month, m.Pool}] = m
	}
	return nil
}

func (f *Fleet) restoreObjects(s *fleetpb.Snapshot) {
	for _, p := range s.Pools {
		f.storePool(p.Name, p)
	}
	for _, t := range s.Teams {
		f.storeTeam(t.Name, t)
	}
	for _, h := range s.Hosts {
		if h.HomePool == "" { // of a release without home pools
			h.HomePool = cmp.Or(h.MoveTo, h.Pool)
		}
		f.storeHost(h.Name, h)
	}
	for _, j := range s.Jobs {
		f.storeJob(j.Name, j)
	}
	for _, w := range s.Waves {
		f.storeWave(w.Name, w)
	}
	for _, v := range s.Servers {
		f.storeServer(v.Name, v)
	}
	for _, t := range s.Tasks {
		f.storeTask(t.Name, t)
	}
}

// restoreChanges rebuilds the order of changes from the modified versions.
func (f *Fleet) restoreChanges(s *fleetpb.Snapshot) {
	var changes []*change
	add := func(kind fleetpb.Tombstone_Kind, name string, version uint64, deleted bool) {
		changes = append(changes, &change{id: objectID{kind, name}, version: version, deleted: deleted})
	}
	for _, d := range s.Deleted {
		if d.Kind == fleetpb.Tombstone_KIND_UNSPECIFIED {
			f.floor = d.Version
			continue
		}
		add(d.Kind, d.Name, d.Version, true)
	}
	for _, p := range s.Pools {
		add(fleetpb.Tombstone_KIND_POOL, p.Name, p.ModifiedVersion, false)
	}
	for _, h := range s.Hosts {
		add(fleetpb.Tombstone_KIND_HOST, h.Name, h.ModifiedVersion, false)
	}
	for _, v := range s.Servers {
		add(fleetpb.Tombstone_KIND_SERVER, v.Name, v.ModifiedVersion, false)
	}
	// Stable: tombstones of one version keep their order in the snapshot, which
	// decides what is dropped first and so has to be equal on all replicas.
	slices.SortStableFunc(changes, func(a, b *change) int { return cmp.Compare(a.version, b.version) })
	for _, c := range changes {
		f.note(c)
	}
}
