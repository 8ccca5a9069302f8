package dispatch

import "time"

// ageWindow is the time after which the fastest message of a window no longer counts, so
// that drift between the clocks of two machines does not add up.
const ageWindow = 30 * time.Second

// Ages estimates how long messages of one sender were on their way. The clocks of sender
// and receiver have an unknown constant offset; the fastest message of the last windows
// is taken to have needed no time. Both clocks must advance while a machine is suspended:
// a receiver that was suspended then notices that what it reads is old.
type Ages struct {
	started           bool
	windowBegan       time.Duration
	current, previous time.Duration // smallest offsets of the current and the previous window
}

// Age returns how much longer a message was on its way than the fastest one. sentAt is
// the time on the sender's clock, now that on the receiver's.
func (a *Ages) Age(sentAt, now time.Duration) time.Duration {
	offset := now - sentAt
	switch {
	case !a.started:
		a.started, a.windowBegan, a.current, a.previous = true, now, offset, offset
	case now > a.windowBegan+ageWindow:
		a.windowBegan, a.previous, a.current = now, a.current, offset
	}
	a.current = min(a.current, offset)
	return offset - min(a.current, a.previous)
}
