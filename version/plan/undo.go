package plan

// maxSwaps bounds the swaps tried, so that a plan that builds the fleet from nothing
// does not take quadratic time.
const maxSwaps = 200_000

// undoMoves exchanges hosts between pools so that fewer differ from their pool before
// the plan. The sizes of all pools, and so the reserve, stay as they are.
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

// swap exchanges the pools of two hosts and keeps the exchange when no pool loses
// margin below its rule.
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
