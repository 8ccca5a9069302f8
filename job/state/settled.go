package state

import "marjoramtiller.example/marjoramtiller/job/jobpb"

// recordSettled records that the start of a placed run is settled: its worker has begun it.
func (s *Store) recordSettled(c *jobpb.Settled) bool {
	p := s.findPlacement(c.Task)
	if p == nil || p.Task.Run != c.Run || p.Task.Worker == "" {
		return false
	}
	p.Task.SettledRun = c.Run
	s.markBegun(p.Job)
	return true
}

// Settled reports whether the starts of all runs that are placed on a worker are settled.
// It is false for a worker without runs: no start tells then which leases its process holds.
func (s *Store) Settled(worker string) bool {
	for _, p := range s.placements[worker] {
		if p.Task.SettledRun != p.Task.Run {
			return false
		}
	}
	return len(s.placements[worker]) > 0
}
