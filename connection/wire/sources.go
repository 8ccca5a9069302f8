package wire

// sources orders connections by their age and chooses which one is closed in favour of a new
// one: the oldest of the source that has most. A process that opens any number of connections
// so displaces its own ones. The type is not safe for concurrent use.
type sources[C comparable] struct {
	limit int
	open  []sourced[C] // oldest first
	count map[string]int
}

type sourced[C comparable] struct {
	conn   C
	source string
}

func newSources[C comparable](limit int) *sources[C] {
	return &sources[C]{limit: limit, count: map[string]int{}}
}

// add adds a connection. Above the limit it removes and returns one that is to be closed.
func (s *sources[C]) add(conn C, source string) (victim C, evicted bool) {
	s.open = append(s.open, sourced[C]{conn, source})
	s.count[source]++
	if len(s.open) <= s.limit {
		return victim, false
	}
	most := 0
	for _, n := range s.count {
		most = max(most, n)
	}
	for _, c := range s.open {
		if s.count[c.source] == most {
			s.remove(c.conn)
			return c.conn, true
		}
	}
	return victim, false
}

// remove removes a connection, if it is there.
func (s *sources[C]) remove(conn C) {
	for i, c := range s.open {
		if c.conn != conn {
			continue
		}
		s.open = append(s.open[:i:i], s.open[i+1:]...)
		if s.count[c.source]--; s.count[c.source] == 0 {
			delete(s.count, c.source)
		}
		return
	}
}
