package inbound

// budget bounds the bytes that a process holds for requests. A reservation of more than
// smallBytes is large: all large ones together leave a part of the budget free, so that
// ordinary requests find room beside them. The type reads no clock and is not safe for
// concurrent use.
type budget struct {
	limit      int64 // of all reservations; 0 means that there is none
	largeLimit int64 // of the large reservations
	smallBytes int64 // of a reservation that is not large

	used      int64
	usedLarge int64
}

// Shares of the budget.
const (
	largeShare       = 0.75      // that large reservations can use
	smallReservation = 128 << 10 // bytes, of a body and its decoded form
)

func newBudget(limit int64) *budget {
	return &budget{limit: limit, largeLimit: int64(largeShare * float64(limit)), smallBytes: min(smallReservation, limit/16)}
}

// large returns what a reservation counts among the large ones.
func (b *budget) large(bytes int64) int64 {
	if bytes > b.smallBytes {
		return bytes
	}
	return 0
}

// missing returns how many bytes must be released before a reservation of held bytes can
// grow by n. A large reservation that is the only one of its kind can always grow: a single
// request within the limits of its size is served on any machine.
func (b *budget) missing(held, n int64) int64 {
	if b.limit == 0 {
		return 0
	}
	otherLarge := b.usedLarge - b.large(held)
	if next := b.large(held + n); next > 0 {
		if otherLarge == 0 {
			return 0
		}
		return max(0, otherLarge+next-b.largeLimit)
	}
	return max(0, b.used-b.usedLarge+min(b.usedLarge, b.largeLimit)+n-b.limit)
}

// reserve grows a reservation of held bytes by n and reports whether there is room for it.
func (b *budget) reserve(held, n int64) bool {
	if b.missing(held, n) > 0 {
		return false
	}
	b.usedLarge += b.large(held+n) - b.large(held)
	b.used += n
	return true
}

// release removes a reservation of held bytes.
func (b *budget) release(held int64) {
	b.usedLarge -= b.large(held)
	b.used -= held
}
