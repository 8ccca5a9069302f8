package ledger

import (
	"container/heap"

	"marjoramtiller.example/marjoramtiller/request/key"
	"marjoramtiller.example/marjoramtiller/request/ledgerpb"
)

// record is the state of one key.
type record struct {
	fingerprint []byte
	service     string
	entry       string
	boot        string
	attempt     uint64
	answer      *ledgerpb.Answer
	state       ledgerpb.RecordState
}

// isAttempt reports whether the record belongs to an attempt.
func (r *record) isAttempt(entry, boot string, attempt uint64) bool {
	return r.entry == entry && r.boot == boot && r.attempt == attempt
}

func (r *record) setAttempt(entry, boot string, attempt uint64) {
	r.entry = entry
	r.boot = boot
	r.attempt = attempt
}

// result returns the state of the record as the result of a command.
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

// limitAnswer returns the part of an answer that is stored. Headers beyond
// MaxHeaderBytes are omitted together with the body, a body beyond MaxBodyBytes
// by itself.
func limitAnswer(a *ledgerpb.Answer) *ledgerpb.Answer {
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

// advance moves the replicated current time forward and removes the records
// whose keys are rejected as expired from then on.
func (l *Ledger) advance(nowUnixMs int64) {
	l.nowUnixMs = max(l.nowUnixMs, nowUnixMs)
	oldest := l.nowUnixMs - key.Retention.Milliseconds()
	for len(l.expiry) > 0 && l.expiry[0].UnixMs() < oldest {
		k := heap.Pop(&l.expiry).(key.Key)
		l.setState(k, l.records.get(k), stateAborted)
		l.records.remove(k)
	}
}

// add creates the record of a key, without an attempt.
func (l *Ledger) add(k key.Key) *record {
	r := &record{state: stateAborted}
	l.records.put(k, r)
	heap.Push(&l.expiry, k)
	return r
}

// setState changes a record's state, writes the record to the table and updates
// the index of running records.
func (l *Ledger) setState(k key.Key, r *record, state ledgerpb.RecordState) {
	if r.state == ledgerpb.RecordState_RECORD_STATE_RUNNING {
		delete(l.running[r.entry], k)
		if len(l.running[r.entry]) == 0 {
			delete(l.running, r.entry)
		}
	}
	r.state = state
	l.records.put(k, r)
	if state != ledgerpb.RecordState_RECORD_STATE_RUNNING {
		return
	}
	if l.running[r.entry] == nil {
		l.running[r.entry] = make(map[key.Key]struct{})
	}
	l.running[r.entry][k] = struct{}{}
}

// intern returns a shared copy of a name, because the records repeat the same few
// names of entries, boots and services.
func (l *Ledger) intern(s string) string {
	if shared, ok := l.internedNames[s]; ok {
		return shared
	}
	if len(l.internedNames) >= maxInternedNames {
		clear(l.internedNames)
	}
	l.internedNames[s] = s
	return s
}

const maxInternedNames = 4096

// fail stops the ledger with a broken invariant; the first one is kept.
func (l *Ledger) fail(name, detail string) {
	if l.broken == nil {
		l.broken = &InvariantError{Name: name, Detail: detail}
	}
}

func (l *Ledger) checkBounds() {
	if l.records.len > l.maxRecords {
		l.fail(InvariantRecordsBounded, "more records than the maximum")
	}
	if l.records.len != len(l.expiry) {
		l.fail(InvariantExpiryComplete, "a record has no entry in the expiry heap, or an entry of the heap has no record")
	}
}
