package ledger

import (
	"container/heap"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/request/key"
	"marjoramtiller.example/marjoramtiller/request/ledgerpb"
)

type record struct {
	fingerprint []byte
	service     string
	entry       string
	boot        string
	attempt     uint64
	answer      *ledgerpb.Answer
	state       ledgerpb.RecordState
}

func (r *record) isAttempt(entry, boot string, attempt uint64) bool {
	return r.entry == entry && r.boot == boot && r.attempt == attempt
}

func (r *record) setAttempt(entry, boot string, attempt uint64) {
	r.entry = entry
	r.boot = boot
	r.attempt = attempt
}

// result describes the record to an attempt that does not hold it.
func (r *record) result() *ledgerpb.Result {
	switch r.state {
	case ledgerpb.RecordState_RECORD_STATE_RUNNING:
		return &ledgerpb.Result{Kind: ledgerpb.Result_KIND_RUNNING, Entry: r.entry}
	case ledgerpb.RecordState_RECORD_STATE_FINISHED:
		return &ledgerpb.Result{Kind: ledgerpb.Result_KIND_FINISHED, Entry: r.entry, Answer: r.answer}
	case ledgerpb.RecordState_RECORD_STATE_UNKNOWN:
		return &ledgerpb.Result{Kind: ledgerpb.Result_KIND_UNKNOWN, Entry: r.entry}
	}
	return &ledgerpb.Result{Kind: ledgerpb.Result_KIND_ABORTED, Entry: r.entry}
}

// bounded returns the part of an answer that is stored.
func bounded(a *ledgerpb.Answer) *ledgerpb.Answer {
	size := 0
	for _, h := range a.Headers {
		size += len(h.Name) + len(h.Value)
	}
	stored := &ledgerpb.Answer{Status: a.Status, Headers: a.Headers, Body: a.Body, BodyOmitted: a.BodyOmitted}
	if size > MaxHeaderBytes {
		stored.Headers = nil
		stored.Body = nil
		stored.BodyOmitted = true
	}
	if len(stored.Body) > MaxBodyBytes {
		stored.Body = nil
		stored.BodyOmitted = true
	}
	return stored
}

// expiryHeap orders keys by time stamp, the oldest first.
type expiryHeap []key.Key

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].UnixMs() < h[j].UnixMs() }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(key.Key)) }
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	k := (*h)[last]
	*h = (*h)[:last]
	return k
}

// advance moves the replicated now forward and drops the records whose keys
// are refused as expired from then on.
func (l *Ledger) advance(nowUnixMs int64) {
	l.nowUnixMs = max(l.nowUnixMs, nowUnixMs)
	oldest := l.nowUnixMs - key.Retention.Milliseconds()
	for len(l.expiry) > 0 && l.expiry[0].UnixMs() < oldest {
		k := heap.Pop(&l.expiry).(key.Key)
		l.setState(k, l.records[k], stateAborted)
		delete(l.records, k)
	}
}

func (l *Ledger) add(k key.Key) *record {
	r := &record{state: stateAborted}
	l.records[k] = r
	heap.Push(&l.expiry, k)
	return r
}

// setState changes a record's state and keeps the index of running records.
func (l *Ledger) setState(k key.Key, r *record, state ledgerpb.RecordState) {
	if r.state == ledgerpb.RecordState_RECORD_STATE_RUNNING {
		delete(l.running[r.entry], k)
		if len(l.running[r.entry]) == 0 {
			delete(l.running, r.entry)
		}
	}
	r.state = state
	if state != ledgerpb.RecordState_RECORD_STATE_RUNNING {
		return
	}
	if l.running[r.entry] == nil {
		l.running[r.entry] = make(map[key.Key]struct{})
	}
	l.running[r.entry][k] = struct{}{}
}

// name returns a shared copy of s, because the same few names of entries,
// boots and services stand in every record.
func (l *Ledger) name(s string) string {
	if shared, ok := l.names[s]; ok {
		return shared
	}
	if len(l.names) >= maxSharedNames {
		clear(l.names)
	}
	l.names[s] = s
	return s
}

const maxSharedNames = 4096

func (l *Ledger) fail(name, detail string) {
	if l.broken == nil {
		l.broken = &InvariantError{Name: name, Detail: detail}
	}
}

func (l *Ledger) checkBounds() {
	if len(l.records) > l.maxRecords {
		l.fail(InvariantRecordsBounded, "more records than the bound")
	}
	if len(l.records) != len(l.expiry) {
		l.fail(InvariantExpiryComplete, "a record has no expiry, or an expiry no record")
	}
}

// Snapshot returns the state as a marshalled ledgerpb.Snapshot with records in
// key order. It returns the *InvariantError of a broken ledger.
func (l *Ledger) Snapshot() ([]byte, error) {
	if l.broken != nil {
		return nil, l.broken
	}
	keys := make([]key.Key, 0, len(l.records))
	for k := range l.records {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key.Key) int { return slices.Compare(a[:], b[:]) })
	s := &ledgerpb.Snapshot{NowUnixMs: l.nowUnixMs, Boots: l.boots}
	s.Records = make([]*ledgerpb.Record, 0, len(keys))
	for _, k := range keys {
		r := l.records[k]
		s.Records = append(s.Records, &ledgerpb.Record{
			Key: k.String(), Fingerprint: r.fingerprint, Service: r.service, State: r.state,
			Entry: r.entry, BootId: r.boot, Attempt: r.attempt, Answer: r.answer, KeyUnixMs: k.UnixMs(),
		})
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return data, errors.Wrap(err, "marshal ledger snapshot")
}

// Restore replaces the state by a snapshot. On an error the ledger is empty and
// must not be used: fetch another snapshot.
func (l *Ledger) Restore(snapshot []byte) error {
	l.reset()
	var s ledgerpb.Snapshot
	if err := proto.Unmarshal(snapshot, &s); err != nil {
		return errors.Wrap(err, "decode ledger snapshot: fetch another one")
	}
	l.nowUnixMs = s.NowUnixMs
	for entry, boot := range s.Boots {
		l.boots[l.name(entry)] = l.name(boot)
	}
	for _, p := range s.Records {
		k, err := key.Parse(p.Key)
		if err != nil || l.records[k] != nil {
			l.reset()
			return errors.Errorf("ledger snapshot holds a malformed or repeated key %q: fetch another snapshot", p.Key)
		}
		r := l.add(k)
		r.fingerprint = p.Fingerprint
		r.service = l.name(p.Service)
		r.answer = p.Answer
		r.setAttempt(l.name(p.Entry), l.name(p.BootId), p.Attempt)
		l.setState(k, r, p.State)
	}
	return nil
}
