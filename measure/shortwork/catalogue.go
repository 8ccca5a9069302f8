package shortwork

// Seed is the seed of all published figures.
const Seed = 1

// NamedPolicy is a policy with its name in reports.
type NamedPolicy struct {
	Name string
	Make func([]ServiceLoad) Policy
}

// Policies returns the baselines, followed by the policy of package queue as the
// last element.
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
	Name     string
	Services []ServiceLoad
}

// Workloads returns the workloads of both users, followed by three variants of
// each: with steady short work, with bursts that exceed the slots reserved for
// short work, and with bursts that exceed all slots.
func Workloads() []NamedWorkload {
	return []NamedWorkload{
		{"savings", Savings}, {"events", Events},
		{"savings-steady", Steady(Savings, 2)}, {"events-steady", Steady(Events, 2)},
		{"savings-busy", Scaled(Savings, 2.3)}, {"events-busy", Scaled(Events, 2.3)},
		{"savings-overload", Scaled(Savings, 4)}, {"events-overload", Scaled(Events, 4)},
	}
}
