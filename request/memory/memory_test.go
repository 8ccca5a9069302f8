package memory

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a service that takes the memory of another, against more bytes
// than the limit, and against bytes that are lost.
func TestServicesDoNotExhaustEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1200
		services := rapid.IntRange(1, 4).Draw(t, "services")
		p := New(limit)
		p.SetServices(services)
		held := make(map[string]int64)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			name := string(rune('a' + rapid.IntRange(0, services-1).Draw(t, "service")))
			n := int64(rapid.IntRange(0, 400).Draw(t, "bytes"))
			if rapid.Bool().Draw(t, "give") {
				n = min(n, held[name])
				p.Give(name, n)
				held[name] -= n
				continue
			}
			own := limit / 2 / int64(services)
			ok := p.Take(name, n)
			if !ok && held[name]+n <= own {
				t.Fatalf("service %s holds %d of its own %d bytes and is refused %d", name, held[name], own, n)
			}
			if ok {
				held[name] += n
			}
			if p.Used() > limit {
				t.Fatalf("%d of %d bytes are held", p.Used(), limit)
			}
			if err := p.Check(); err != nil {
				t.Fatal(err)
			}
		}
		for name, n := range held {
			p.Give(name, n)
		}
		if p.Used() != 0 {
			t.Fatalf("%d bytes are held after all were returned", p.Used())
		}
	})
}
