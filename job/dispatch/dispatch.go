// Package dispatch decides through which other control process, called its relay, the
// leader sends the orders for a worker. One process cannot hold a connection to each of
// a thousand workers and spend the processor time of every call; the other control
// processes are idle meanwhile. The package is a pure state machine without I/O.
package dispatch

import (
	"encoding/binary"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timings of the health of relays.
const (
	// confirmTimeout is how long a relay may take to confirm a message. It is shorter
	// than the timeout of an order, so that orders of a lost relay are repeated early.
	confirmTimeout = 400 * time.Millisecond
	probeInterval  = 500 * time.Millisecond // between probes of a relay that is not healthy
)

// Numbers issues the numbers of the messages and orders that a process sends through
// relays. It outlives the process's sessions: a number of an earlier session is never
// issued again, so an answer to it can't be taken for one to a later order.
type Numbers struct{ last atomic.Uint64 }

// Next returns a number that is higher than all that were issued before.
func (n *Numbers) Next() uint64 { return n.last.Add(1) }

// Relays is the leader's view of its relays in one session. A relay gets orders only after
// it has confirmed a probe, and no longer once a message stays unconfirmed.
type Relays struct {
	numbers *Numbers
	names   []string // sorted
	relays  map[string]*relay
}

type relay struct {
	hash        uint64 // of its name
	boot        string // boot id of its process that was heard of last, empty if none was told
	healthy     bool
	probe       uint64 // number of the first probe since it was last healthy, 0 before one is sent
	nextProbeAt time.Duration
	lastNumber  uint64
	unconfirmed []sentMessage // in ascending order of numbers
}

type sentMessage struct {
	number uint64
	sentAt time.Duration
}

// New returns the view of a leader that knows no relays yet. Its messages get their
// numbers from numbers.
func New(numbers *Numbers) *Relays {
	return &Relays{numbers: numbers, relays: map[string]*relay{}}
}

// SetNames sets the processes that may serve as relays. It returns those that were
// healthy and are no longer in the list.
func (r *Relays) SetNames(names []string) (removed []string) {
	for name, known := range r.relays {
		if !slices.Contains(names, name) {
			if known.healthy {
				removed = append(removed, name)
			}
			delete(r.relays, name)
		}
	}
	for _, name := range names {
		if r.relays[name] == nil {
			r.relays[name] = &relay{hash: xxhash.Sum64String(name)}
		}
	}
	r.names = slices.Sorted(slices.Values(names))
	return removed
}

// Healthy returns the number of healthy relays.
func (r *Relays) Healthy() int {
	n := 0
	for _, known := range r.relays {
		if known.healthy {
			n++
		}
	}
	return n
}

// Choose returns the relay for a worker, false if none is healthy. When a relay is lost
// or returns, only the workers of that relay change theirs.
func (r *Relays) Choose(worker string) (name string, ok bool) {
	var best uint64
	workerHash := xxhash.Sum64String(worker)
	for _, candidate := range r.names {
		known := r.relays[candidate]
		if !known.healthy {
			continue
		}
		if weight := pairWeight(workerHash, known.hash); !ok || weight > best {
			name, best, ok = candidate, weight, true
		}
	}
	return name, ok
}

// pairWeight is the weight of a pair for rendezvous hashing.
func pairWeight(workerHash, relayHash uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], workerHash)
	binary.LittleEndian.PutUint64(pair[8:], relayHash)
	return xxhash.Sum64(pair[:])
}

// Send records that a message is sent to a relay. It returns its number, and the boot id of
// the process that its orders are meant for.
func (r *Relays) Send(now time.Duration, name string) (number uint64, boot string) {
	known := r.relays[name]
	if known == nil {
		return 0, ""
	}
	known.lastNumber = r.numbers.Next()
	known.unconfirmed = append(known.unconfirmed, sentMessage{known.lastNumber, now})
	if !known.healthy && known.probe == 0 {
		known.probe = known.lastNumber
	}
	return known.lastNumber, known.boot
}

// Restarted records the boot id in a relay's message. It reports whether the relay was
// healthy as another process. It then gets no orders until the new one has confirmed a
// probe, which bounds how late the messages are from which that process learns the offset
// of the leader's clock.
func (r *Relays) Restarted(name, boot string) bool {
	known := r.relays[name]
	if known == nil || boot == "" || boot == known.boot {
		return false
	}
	restarted := known.boot != "" && known.healthy
	known.boot = boot
	if restarted {
		known.fail(0)
	}
	return restarted
}

// fail makes a relay get no orders until it has confirmed a probe, which is sent at a time.
func (r *relay) fail(probeAt time.Duration) {
	r.healthy, r.unconfirmed, r.probe, r.nextProbeAt = false, nil, 0, probeAt
}

// Confirm records that a relay has received all messages up to a number. It reports
// whether the relay has become healthy by that.
func (r *Relays) Confirm(name string, received uint64) (recovered bool) {
	known := r.relays[name]
	if known == nil || received == 0 || received > known.lastNumber {
		return false
	}
	kept := slices.IndexFunc(known.unconfirmed, func(m sentMessage) bool { return m.number > received })
	if kept < 0 {
		kept = len(known.unconfirmed)
	}
	known.unconfirmed = known.unconfirmed[kept:]
	// A message older than a failure says nothing about the relay's health now: only the
	// confirmation of a probe and of everything sent since does.
	if known.healthy || known.probe == 0 || received < known.probe || len(known.unconfirmed) > 0 {
		return false
	}
	known.healthy = true
	return true
}

// Check returns the relays that have failed since the last check, and those to probe
// now with a message without orders.
func (r *Relays) Check(now time.Duration) (failed, probes []string) {
	for _, name := range r.names {
		known := r.relays[name]
		overdue := len(known.unconfirmed) > 0 && now > known.unconfirmed[0].sentAt+confirmTimeout
		if overdue && known.healthy {
			failed = append(failed, name)
		}
		if overdue {
			known.fail(now + probeInterval)
		}
		if !known.healthy && len(known.unconfirmed) == 0 && now >= known.nextProbeAt {
			probes = append(probes, name)
		}
	}
	return failed, probes
}
