package ledger

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/request/key"
	"marjoramtiller.example/marjoramtiller/request/ledgerpb"
)

// Snapshot returns the state as a marshalled ledgerpb.Snapshot with the records in
// key order, or the *InvariantError of a broken ledger.
func (l *Ledger) Snapshot() ([]byte, error) {
	encode, err := l.SnapshotView()
	if err != nil {
		return nil, err
	}
	return encode()
}

// SnapshotView returns a function that encodes the state as of this call in the
// format of Snapshot. The function may run on another goroutine while commands are
// applied.
func (l *Ledger) SnapshotView() (func() ([]byte, error), error) {
	if l.broken != nil {
		return nil, l.broken
	}
	shards := l.records.view()
	s := &ledgerpb.Snapshot{NowUnixMs: l.nowUnixMs, Boots: maps.Clone(l.boots)}
	return func() ([]byte, error) { return encode(s, &shards) }, nil
}

// encode adds the records of shards to s and marshals it. It sorts the keys, so
// that equal states give equal bytes.
func encode(s *ledgerpb.Snapshot, shards *[tableShards]shard) ([]byte, error) {
	var keys []key.Key
	for _, records := range shards {
		keys = slices.AppendSeq(keys, maps.Keys(records))
	}
	slices.SortFunc(keys, func(a, b key.Key) int { return slices.Compare(a[:], b[:]) })
	s.Records = make([]*ledgerpb.Record, 0, len(keys))
	for _, k := range keys {
		r := shards[shardOf(k)][k]
		s.Records = append(s.Records, &ledgerpb.Record{
			Key: k.String(), Fingerprint: r.fingerprint, Service: r.service, State: r.state,
			Entry: r.entry, BootId: r.boot, Attempt: r.attempt, Answer: r.answer, KeyUnixMs: k.UnixMs(),
		})
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return data, errors.Wrap(err, "marshal ledger snapshot")
}

// Restore replaces the state by that of a snapshot. After an error the ledger is
// empty and must not be used until another snapshot has been restored.
func (l *Ledger) Restore(snapshot []byte) error {
	l.reset()
	var s ledgerpb.Snapshot
	if err := proto.Unmarshal(snapshot, &s); err != nil {
		return errors.Wrap(err, "decode ledger snapshot: fetch another snapshot")
	}
	l.nowUnixMs = s.NowUnixMs
	for entry, boot := range s.Boots {
		l.boots[l.intern(entry)] = l.intern(boot)
	}
	for _, p := range s.Records {
		k, err := key.Parse(p.Key)
		if err != nil || l.records.get(k) != nil {
			l.reset()
			return errors.Errorf("ledger snapshot holds a malformed or repeated key %q: fetch another snapshot", p.Key)
		}
		r := l.add(k)
		r.fingerprint = p.Fingerprint
		r.service = l.intern(p.Service)
		r.answer = p.Answer
		r.setAttempt(l.intern(p.Entry), l.intern(p.BootId), p.Attempt)
		l.setState(k, r, p.State)
	}
	return nil
}
