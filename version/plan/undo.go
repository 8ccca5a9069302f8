package plan

// maxSwaps limits the number of swaps tried, so that the first plan of a fleet, which
// assigns every host, does not take quadratic time.
const maxSwaps = 200_000

// undoMoves exchanges hosts between pools so that more of them stay in the pool they had
// before the plan. The sizes of all pools, and therefore the reserve, do not change.
func (p *Planner) undoMoves() {
	tries := maxSwaps
	for improved := true; improved && tries > 0; {
		improved = false
		moved := p.moved()
		arrived := map[*poolState][]*hostState{}
		for _, h := range moved {
			arrived[h.pool] = append(arrived[h.pool], h)
		}
		for _, h := range moved {
			if h.pool == h.origin {
				continue
			}
			for _, g := range arrived[h.origin] {
				if tries--; tries <= 0 {
					return
				}
				if g.pool == h.origin && p.swap(h, g) {
					improved = true
					break
				}
			}
		}
	}
}

func (p *Planner) moved() []*hostState {
	var out []*hostState
	for _, r := range p.racks {
		for _, h := range r.hosts {
			if h.Available && h.pool != nil && h.pool != h.origin {
				out = append(out, h)
			}
		}
	}
	return out
}

// swap exchanges the pools of two hosts. It reverts the exchange and reports false if a
// pool other than the spare pool would then miss its rule, or miss it by more than before.
func (p *Planner) swap(h, g *hostState) bool {
	a, b := h.pool, g.pool
	before := [2]int{min(0, a.budget.Margin()), min(0, b.budget.Margin())}
	p.assign(h, b)
	p.assign(g, a)
	if (a == p.spare || a.budget.Margin() >= before[0]) && (b == p.spare || b.budget.Margin() >= before[1]) {
		return true
	}
	p.assign(h, a)
	p.assign(g, b)
	return false
}
