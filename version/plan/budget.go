package plan

// Domain is the failure domain of a host. A rack name is unique within its zone.
type Domain struct {
	Zone, Rack string
}

// Tolerance lists the losses that a pool must survive, simultaneously when several are set.
type Tolerance struct {
	Rack, Zone bool
	// Wave reserves hosts to make up for those that a wave has out. Hosts that are out
	// never count as available, so the budget does not subtract them a second time.
	Wave bool
}

// Budget is the availability budget of one pool. Its availability rule for every
// voluntary step is: the available hosts after the step, minus the worst loss to be
// tolerated, must be at least the promised hosts.
type Budget struct {
	promised  int
	tolerance Tolerance
	available int
	zones     map[string]*zoneCount
}

// zoneCount counts the available hosts of one zone and keeps a histogram of its
// rack sizes, so that the largest rack is known without a scan.
type zoneCount struct {
	hosts   int
	racks   map[string]int
	sizes   []int
	largest int
}

// NewBudget returns the budget of a pool without available hosts.
func NewBudget(promised int, t Tolerance) *Budget {
	return &Budget{promised: promised, tolerance: t, zones: map[string]*zoneCount{}}
}

// Add counts one more available host in domain d.
func (b *Budget) Add(d Domain) {
	z := b.zones[d.Zone]
	if z == nil {
		z = &zoneCount{racks: map[string]int{}, sizes: []int{0}}
		b.zones[d.Zone] = z
	}
	size := z.racks[d.Rack] + 1
	z.racks[d.Rack] = size
	if size == len(z.sizes) {
		z.sizes = append(z.sizes, 0)
	}
	z.sizes[size]++
	z.sizes[size-1]--
	z.largest = max(z.largest, size)
	z.hosts++
	b.available++
}

// Remove counts one available host fewer in domain d. It reports false when d has none.
func (b *Budget) Remove(d Domain) bool {
	z := b.zones[d.Zone]
	if z == nil || z.racks[d.Rack] == 0 {
		return false
	}
	size := z.racks[d.Rack]
	z.racks[d.Rack] = size - 1
	z.sizes[size]--
	z.sizes[size-1]++
	if size == z.largest && z.sizes[size] == 0 {
		z.largest--
	}
	z.hosts--
	b.available--
	return true
}

// Available is the number of available hosts.
func (b *Budget) Available() int { return b.available }

// ZoneHosts is the number of available hosts in a zone.
func (b *Budget) ZoneHosts(zone string) int {
	if z := b.zones[zone]; z != nil {
		return z.hosts
	}
	return 0
}

// WorstLoss is the greatest number of available hosts that the tolerated failures
// can take at the same time. With rack and zone set it is a whole zone and the
// largest rack of another zone.
func (b *Budget) WorstLoss() int {
	if !b.tolerance.Rack && !b.tolerance.Zone {
		return 0
	}
	first, second := 0, 0
	for _, z := range b.zones {
		if z.largest > first {
			first, second = z.largest, first
		} else if z.largest > second {
			second = z.largest
		}
	}
	if !b.tolerance.Zone {
		return first
	}
	worst := 0
	for _, z := range b.zones {
		loss := z.hosts
		if b.tolerance.Rack && z.largest == first {
			loss += second
		} else if b.tolerance.Rack {
			loss += first
		}
		worst = max(worst, loss)
	}
	return worst
}

// Margin is the number of available hosts beyond those that the rule requires; it is
// negative while the rule is not met.
func (b *Budget) Margin() int { return b.available - b.WorstLoss() - b.promised }

// MarginWithout is the margin after one available host of domain d goes out.
// It reports false when d has no available host.
func (b *Budget) MarginWithout(d Domain) (int, bool) {
	if !b.Remove(d) {
		return 0, false
	}
	margin := b.Margin()
	b.Add(d)
	return margin, true
}

// MarginWith is the margin after one more host of domain d becomes available.
func (b *Budget) MarginWith(d Domain) int {
	b.Add(d)
	margin := b.Margin()
	b.Remove(d)
	return margin
}

// MayRemove reports whether a voluntary step may take one host of domain d out.
// While the rule is not met no step is allowed.
func (b *Budget) MayRemove(d Domain) bool {
	margin, ok := b.MarginWithout(d)
	return ok && margin >= 0 && b.Margin() >= 0
}
