package lease

import (
	"fmt"
	"time"
)

// InvariantError reports that the named invariant does not hold. After that the
// leader grants no lease and the entry may send no work.
type InvariantError struct {
	Name   string
	Detail string
}

func (e *InvariantError) Error() string {
	return fmt.Sprintf("lease invariant %s is broken: %s; restart this process", e.Name, e.Detail)
}

// Names of the invariants.
const (
	InvariantTimeForward   = "lease-time-forward"
	InvariantNotShortened  = "lease-not-shortened"
	InvariantServingInside = "serving-inside-leases"
)

// guard holds the current time and the first broken invariant of a lease state.
type guard struct {
	now    time.Duration
	broken *InvariantError
}

// Broken returns the *InvariantError after which the leader grants no lease and the entry
// may send no work, or nil.
func (g *guard) Broken() error {
	if g.broken == nil {
		return nil
	}
	return g.broken
}

func (g *guard) fail(name, detail string) {
	if g.broken == nil {
		g.broken = &InvariantError{Name: name, Detail: detail}
	}
}

// advanceClock sets the current time. It returns false if an invariant is broken.
func (g *guard) advanceClock(now time.Duration) bool {
	if now < g.now {
		g.fail(InvariantTimeForward, fmt.Sprintf("the clock went back from %v to %v", g.now, now))
	}
	g.now = max(g.now, now)
	return g.broken == nil
}
