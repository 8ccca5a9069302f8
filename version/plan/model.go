package plan

// Host is a member of exactly one pool.
type Host struct {
	Name string
	Pool string
	Domain
	// Available is false for a host that is draining, released, out or failed.
	Available bool
}

// Pool describes a pool of hosts: the number of hosts it promises and the losses it
// must survive.
type Pool struct {
	Name     string
	Spare    bool // the pool whose hosts are shared as reserve
	Promised int
	Tolerance
	MaxOut int // most hosts that waves may have out at once; 0: limited only by the budget
}

// waveReserve is the number of hosts that a pool's waves may need from the spare pool.
func (p Pool) waveReserve() int {
	if !p.Wave || p.Spare {
		return 0
	}
	return max(1, p.MaxOut)
}

// Weights holds the costs that a plan minimises, each per host.
type Weights struct {
	Buffer float64 // one host held in reserve
	Move   float64 // one host that changes its pool
	Spread float64 // one host above the even share of a zone
}

// DefaultWeights prefers a small reserve, then few moves, then an even spread.
func DefaultWeights() Weights { return Weights{Buffer: 10, Move: 1, Spread: 0.01} }

// Move assigns a host to another pool.
type Move struct {
	Host, From, To string
}

// Shortfall reports a pool whose availability rule cannot be met with the existing hosts.
type Shortfall struct {
	Pool    string
	Missing int // hosts that the pool lacks to meet its rule
}

// Assignment is the result of a placement.
type Assignment struct {
	Moves      []Move
	Reserve    int // hosts held above the promised numbers, and those that waves need in the spare pool
	Shortfalls []Shortfall
}
