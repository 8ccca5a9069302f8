package shortwork

// Seed is the seed of all published figures.
const Seed = 1

// NamedPolicy is a policy with its name in reports.
type NamedPolicy struct {
	Name string
	Make func([]Work) Policy
}

// Policies returns the baselines and, last, the policy of package queue.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{"fifo", NewFIFO},
		{"random", NewRandom},
		{"least-loaded", NewLeastLoaded},
		{"fixed-partition", NewPartition},
		{"core", NewCore},
	}
}

// NamedWorkload is a workload with its name in reports.
type NamedWorkload struct {
	Name string
	Work []Work
}

// Workloads returns both users' workloads, then in pairs those with steady short
// work, with bursts beyond the kept slots, and with bursts beyond all slots.
func Workloads() []NamedWorkload {
	return []NamedWorkload{
		{"savings", Savings}, {"events", Events},
		{"savings-steady", Steady(Savings, 2)}, {"events-steady", Steady(Events, 2)},
		{"savings-busy", Scaled(Savings, 2.3)}, {"events-busy", Scaled(Events, 2.3)},
		{"savings-overload", Scaled(Savings, 4)}, {"events-overload", Scaled(Events, 4)},
	}
}
