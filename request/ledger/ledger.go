// Package ledger is the replicated state machine of a ledger group: records
// that let a non-idempotent request run at most once.
//
// It has no clock or I/O: each command carries the wall-clock time of the leader,
// and the greatest time applied so far is the replicated current time.
package ledger

import (
	"bytes"
	"fmt"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/request/key"
	"marjoramtiller.example/marjoramtiller/request/ledgerpb"
)

const (
	// DefaultMaxRecords bounds the records of one group.
	DefaultMaxRecords = 1 << 20
	// MaxBodyBytes is the largest response body that is stored.
	MaxBodyBytes = 16 << 10
	// MaxHeaderBytes is the largest total size of header names and values that is
	// stored.
	MaxHeaderBytes = 16 << 10
)

// stateAborted marks a record whose attempt was withdrawn. It is kept so that a
// delayed Begin of the same attempt does not start a request that its entry
// has abandoned.
const stateAborted = ledgerpb.RecordState_RECORD_STATE_UNSPECIFIED

// InvariantError reports a broken invariant. The ledger rejects every later
// command.
type InvariantError struct {
	Name   string
	Detail string
}

func (e *InvariantError) Error() string {
	return fmt.Sprintf("ledger invariant %s is broken: %s; stop this replica and keep its data folder", e.Name, e.Detail)
}

// Names of the invariants.
const (
	InvariantAtMostOnce     = "ledger-at-most-once"
	InvariantAnswerFixed    = "ledger-answer-fixed"
	InvariantRecordsBounded = "ledger-records-bounded"
	InvariantExpiryComplete = "ledger-expiry-complete"
)

// Ledger is the state machine of one group. It is not safe for concurrent use.
type Ledger struct {
	nowUnixMs     int64 // replicated current time
	maxRecords    int
	records       table
	expiry        expiryHeap                      // the keys of all records
	running       map[string]map[key.Key]struct{} // entry to its running records
	boots         map[string]string               // entry to its current boot ID, empty if the entry was declared lost
	internedNames map[string]string               // see intern
	broken        *InvariantError                 // the first broken invariant, nil if none
}

// New returns an empty ledger that holds up to maxRecords records, or
// DefaultMaxRecords if maxRecords is not positive. All replicas need the same value.
func New(maxRecords int) *Ledger {
	if maxRecords <= 0 {
		maxRecords = DefaultMaxRecords
	}
	l := &Ledger{maxRecords: maxRecords}
	l.reset()
	return l
}

func (l *Ledger) reset() {
	l.nowUnixMs = 0
	l.records = table{}
	l.expiry = nil
	l.running = make(map[string]map[key.Key]struct{})
	l.boots = make(map[string]string)
	l.internedNames = make(map[string]string)
	l.broken = nil
}

// Broken returns the *InvariantError that stopped the ledger, or nil.
func (l *Ledger) Broken() error {
	if l.broken == nil {
		return nil
	}
	return l.broken
}

// Len returns the number of records.
func (l *Ledger) Len() int { return l.records.len }

// NowUnixMs returns the replicated current time.
func (l *Ledger) NowUnixMs() int64 { return l.nowUnixMs }

// Apply executes a marshalled ledgerpb.Command and returns a marshalled
// ledgerpb.Result. Equal sequences of commands give equal results and states.
func (l *Ledger) Apply(_ uint64, command []byte) []byte {
	return marshal(l.apply(command))
}

func (l *Ledger) apply(command []byte) *ledgerpb.Result {
	if l.broken != nil {
		return invalid(l.broken.Error())
	}
	var c ledgerpb.Command
	if err := proto.Unmarshal(command, &c); err != nil {
		return invalid("the command cannot be decoded: run the same version on every process")
	}
	l.advance(c.NowUnixMs)
	result := l.execute(&c)
	l.checkBounds()
	if l.broken != nil {
		return invalid(l.broken.Error())
	}
	return result
}

func (l *Ledger) execute(c *ledgerpb.Command) *ledgerpb.Result {
	switch body := c.Body.(type) {
	case *ledgerpb.Command_Begin:
		return l.begin(body.Begin)
	case *ledgerpb.Command_Finish:
		return l.finish(body.Finish)
	case *ledgerpb.Command_Abort:
		return l.abort(body.Abort)
	case *ledgerpb.Command_EntryBoot:
		return l.entryBoot(body.EntryBoot)
	case *ledgerpb.Command_Query:
		return l.Lookup(body.Query.GetKey())
	}
	return invalid("the command has no known body: run the same version on every process")
}

// parseKey parses a key and checks its age against the replicated current time.
func (l *Ledger) parseKey(text string) (key.Key, *ledgerpb.Result) {
	k, err := key.Parse(text)
	if err != nil {
		return k, invalid(err.Error())
	}
	err = k.CheckAge(l.nowUnixMs)
	if errors.Is(err, key.ErrExpired) {
		return k, &ledgerpb.Result{Kind: ledgerpb.Result_KIND_EXPIRED, Message: err.Error()}
	}
	if err != nil {
		return k, invalid(err.Error())
	}
	return k, nil
}

func (l *Ledger) begin(b *ledgerpb.Begin) *ledgerpb.Result {
	k, rejection := l.parseKey(b.Key)
	if rejection != nil {
		return rejection
	}
	if b.Entry == "" || b.BootId == "" {
		return invalid("entry and boot_id are needed")
	}
	if !l.currentBoot(b.Entry, b.BootId) {
		return invalid("boot_id is not the current boot of the entry: send EntryBoot before Begin")
	}
	r := l.records.get(k)
	if r == nil {
		if l.records.len >= l.maxRecords {
			return full()
		}
		r = l.add(k)
		r.fingerprint = bytes.Clone(b.Fingerprint)
		return l.startAttempt(k, r, b)
	}
	if len(r.fingerprint) > 0 && !bytes.Equal(r.fingerprint, b.Fingerprint) {
		return &ledgerpb.Result{Kind: ledgerpb.Result_KIND_MISMATCH, Message: "the key was used with another request: use a new key"}
	}
	same := r.isAttempt(b.Entry, b.BootId, b.Attempt)
	switch r.state {
	case stateAborted:
		if same {
			return &ledgerpb.Result{Kind: ledgerpb.Result_KIND_ABORTED, Entry: r.entry}
		}
		r.fingerprint = bytes.Clone(b.Fingerprint)
		return l.startAttempt(k, r, b)
	case ledgerpb.RecordState_RECORD_STATE_RUNNING:
		if same {
			return &ledgerpb.Result{Kind: ledgerpb.Result_KIND_GO_AHEAD, Entry: r.entry}
		}
	}
	return r.result()
}

// startAttempt marks the record as running under the attempt of b. Only a record
// that is new or aborted may start.
func (l *Ledger) startAttempt(k key.Key, r *record, b *ledgerpb.Begin) *ledgerpb.Result {
	if r.state != stateAborted {
		l.fail(InvariantAtMostOnce, "key "+k.String()+" started in state "+r.state.String())
		return nil
	}
	l.boots[l.intern(b.Entry)] = l.intern(b.BootId)
	r.service = l.intern(b.Service)
	r.setAttempt(l.intern(b.Entry), l.intern(b.BootId), b.Attempt)
	l.setState(k, r, ledgerpb.RecordState_RECORD_STATE_RUNNING)
	return &ledgerpb.Result{Kind: ledgerpb.Result_KIND_GO_AHEAD, Entry: r.entry}
}

// finish records the answer of an attempt, or that its outcome is unknown. A first
// answer is final; an unknown outcome may still be replaced by an answer.
func (l *Ledger) finish(f *ledgerpb.Finish) *ledgerpb.Result {
	k, rejection := l.parseKey(f.Key)
	if rejection != nil {
		return rejection
	}
	if !f.Unknown && f.Answer == nil {
		return invalid("answer is needed unless unknown is set")
	}
	r := l.records.get(k)
	if r == nil {
		if l.records.len >= l.maxRecords {
			return full()
		}
		r = l.add(k)
		r.setAttempt(l.intern(f.Entry), l.intern(f.BootId), f.Attempt)
	} else if !r.isAttempt(f.Entry, f.BootId, f.Attempt) {
		return invalid("another attempt holds the record: only the attempt that received KIND_GO_AHEAD may finish it")
	}
	if r.state == ledgerpb.RecordState_RECORD_STATE_FINISHED {
		return r.result()
	}
	if f.Unknown {
		l.setState(k, r, ledgerpb.RecordState_RECORD_STATE_UNKNOWN)
		return r.result()
	}
	if r.answer != nil {
		l.fail(InvariantAnswerFixed, "key "+k.String()+" has a stored answer before its first Finish")
		return nil
	}
	r.answer = limitAnswer(f.Answer)
	l.setState(k, r, ledgerpb.RecordState_RECORD_STATE_FINISHED)
	return &ledgerpb.Result{Kind: ledgerpb.Result_KIND_FINISHED, Entry: r.entry}
}

// abort withdraws an attempt. It also takes effect when it is applied before the
// Begin that it withdraws, because the two may be reordered when the leader changes.
func (l *Ledger) abort(a *ledgerpb.Abort) *ledgerpb.Result {
	k, rejection := l.parseKey(a.Key)
	if rejection != nil {
		return rejection
	}
	r := l.records.get(k)
	if r == nil {
		if l.records.len >= l.maxRecords {
			return full()
		}
		r = l.add(k)
		r.setAttempt(l.intern(a.Entry), l.intern(a.BootId), a.Attempt)
	}
	if !r.isAttempt(a.Entry, a.BootId, a.Attempt) || r.state == ledgerpb.RecordState_RECORD_STATE_FINISHED {
		return r.result()
	}
	l.setState(k, r, stateAborted)
	return r.result()
}

// entryBoot records the current boot of an entry and sets the outcome of the
// requests that its other boots were running to unknown.
func (l *Ledger) entryBoot(e *ledgerpb.EntryBoot) *ledgerpb.Result {
	if e.Entry == "" {
		return invalid("entry is needed")
	}
	l.boots[l.intern(e.Entry)] = l.intern(e.BootId)
	for k := range l.running[e.Entry] {
		r := l.records.get(k)
		if r.boot != e.BootId {
			l.setState(k, r, ledgerpb.RecordState_RECORD_STATE_UNKNOWN)
		}
	}
	return &ledgerpb.Result{Kind: ledgerpb.Result_KIND_GO_AHEAD, Entry: e.Entry}
}

// currentBoot reports whether an entry may begin requests with a boot. An entry
// that was declared lost (EntryBoot with an empty boot ID), or of which no command
// has set a boot yet, may begin with any.
func (l *Ledger) currentBoot(entry, boot string) bool {
	known := l.boots[entry]
	return known == "" || known == boot
}

// Lookup returns the state of a key's record without changing anything.
func (l *Ledger) Lookup(text string) *ledgerpb.Result {
	k, rejection := l.parseKey(text)
	if rejection != nil {
		return rejection
	}
	r := l.records.get(k)
	if r == nil {
		return &ledgerpb.Result{Kind: ledgerpb.Result_KIND_NO_RECORD}
	}
	return r.result()
}

func invalid(message string) *ledgerpb.Result {
	return &ledgerpb.Result{Kind: ledgerpb.Result_KIND_INVALID, Message: message}
}

func full() *ledgerpb.Result {
	return &ledgerpb.Result{Kind: ledgerpb.Result_KIND_FULL, Message: "the group holds its maximum number of records: retry later or configure more ledger groups"}
}

func marshal(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Every string of a result comes from a decoded message or a constant,
		// so it is valid UTF-8 and marshalling has no other cause to fail.
		return nil
	}
	return data
}
