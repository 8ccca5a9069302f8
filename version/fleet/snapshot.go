package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// State returns the whole state. Its messages are shared with the fleet and must
// not be modified.
func (f *Fleet) State() *fleetpb.Snapshot {
	s := f.unsortedState()
	sortOrigins(s)
	return s
}

// unsortedState returns the whole state with the origins unsorted.
func (f *Fleet) unsortedState() *fleetpb.Snapshot {
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
	if f.tombstoneFloor > 0 {
		// A tombstone without a kind represents all dropped ones: its version is
		// the greatest of theirs.
		s.Deleted = append(s.Deleted, &fleetpb.Tombstone{Version: f.tombstoneFloor})
	}
	forEachChange(f.tombstones, func(c *change) { s.Deleted = append(s.Deleted, tombstone(c)) })
	for e := f.answersByAge.Front(); e != nil; e = e.Next() {
		s.Answered = append(s.Answered, e.Value.(*fleetpb.Answered))
	}
	s.Origins = slices.AppendSeq(make([]*fleetpb.Origin, 0, len(f.origins)), maps.Values(f.origins))
	return s
}

func sortOrigins(s *fleetpb.Snapshot) {
	slices.SortFunc(s.Origins, func(a, b *fleetpb.Origin) int { return cmp.Compare(a.Object, b.Object) })
}

// Snapshot returns the state as a marshalled fleetpb.Snapshot. Equal states give
// equal bytes. If an invariant is broken, it returns the *InvariantError.
func (f *Fleet) Snapshot() ([]byte, error) {
	encode, err := f.SnapshotView()
	if err != nil {
		return nil, err
	}
	return encode()
}

// SnapshotView returns a function that encodes, as Snapshot does, the state at
// the time of the call to SnapshotView. The function may run on another
// goroutine while commands are applied, because stored messages are never
// modified in place.
func (f *Fleet) SnapshotView() (func() ([]byte, error), error) {
	if f.brokenInvariant != nil {
		return nil, f.brokenInvariant
	}
	s := f.unsortedState()
	return func() ([]byte, error) {
		sortOrigins(s)
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
		return data, errors.Wrap(err, "marshal fleet snapshot")
	}, nil
}

// Restore replaces the state by a snapshot. After an error the fleet is empty and
// must not be used until another snapshot has been restored.
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
		f.storeAnswer(a)
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
		if h.HomePool == "" { // written by a release without home pools
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

// restoreChanges rebuilds the lists of changes and tombstones, ordered by version.
func (f *Fleet) restoreChanges(s *fleetpb.Snapshot) {
	var changes []*change
	add := func(kind fleetpb.Tombstone_Kind, name string, version uint64, deleted bool) {
		changes = append(changes, &change{id: objectID{kind, name}, version: version, deleted: deleted})
	}
	for _, d := range s.Deleted {
		if d.Kind == fleetpb.Tombstone_KIND_UNSPECIFIED {
			f.tombstoneFloor = d.Version
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
	// The sort is stable so that tombstones of one version keep their order in
	// the snapshot. The order decides which tombstone is dropped first and so
	// must be the same on all replicas.
	slices.SortStableFunc(changes, func(a, b *change) int { return cmp.Compare(a.version, b.version) })
	for _, c := range changes {
		f.recordChange(c)
	}
}
