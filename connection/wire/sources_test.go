package wire

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against more connections than the limit, and against a source with many connections
// that displaces those of another one.
func TestCrowdedSourceDisplacesItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 6
		s := newSources[int](limit)
		sourceOf := map[int]string{}
		for next := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
				s.remove(rapid.IntRange(0, next).Draw(t, "connection"))
				continue
			}
			source := string(rune('a' + rapid.IntRange(0, 3).Draw(t, "source")))
			sourceOf[next] = source
			before := map[string]int{source: 1}
			for _, c := range s.open {
				before[c.source]++
			}
			victim, evicted := s.add(next, source)
			if evicted {
				for _, n := range before {
					if n > before[sourceOf[victim]] {
						t.Fatalf("a connection of %s was closed, which has not most of %v", sourceOf[victim], before)
					}
				}
			}
			if len(s.open) > limit || evicted != (len(s.open)+1 > limit && sum(before) > limit) {
				t.Fatalf("%d connections are open, the limit is %d", len(s.open), limit)
			}
		}
	})
}

func sum(counts map[string]int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}
