package faults

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

var (
	randomDuration = flag.Duration("faults.duration", 10*time.Second, "time during which TestRandomFaults draws faults")
	randomSeed     = flag.Uint64("faults.seed", 1, "seed of TestRandomFaults")
)

// fault is a fault with its end.
type fault struct {
	name       string
	begin, end func()
}

// drawFault draws a fault of at most one control process, of entries or of the
// connections to a backend server.
func drawFault(c *cluster, list servers, random *rand.Rand) fault {
	control, entry := c.controls[random.IntN(controlCount)], c.entries[random.IntN(entryCount)]
	s := list[random.IntN(len(list))]
	d := control
	if random.IntN(2) == 0 {
		d = entry
	}
	forwardSilent, backSilent := random.IntN(2) == 0, random.IntN(2) == 0
	switch random.IntN(6) {
	case 0:
		return fault{"kill " + d.name, d.kill, d.start}
	case 1:
		return fault{"freeze " + d.name, d.freeze, d.wake}
	case 2:
		return fault{"isolate " + d.name, func() { c.isolate(d, true) }, func() { c.isolate(d, false) }}
	case 3:
		return fault{fmt.Sprintf("silence from %s %v, to it %v", d.name, forwardSilent, backSilent), func() {
			for _, r := range d.links {
				r.Silence(forwardSilent, backSilent)
			}
		}, func() { c.isolate(d, false) }}
	case 4:
		return fault{"stop " + d.name, func() { d.stop() }, d.start}
	default:
		return fault{"cut connections to " + s.name, s.link.Cut, func() {}}
	}
}

// Guards against combinations of faults that no other test tries. Faults are
// drawn from a seed, one at a time, while requests, changes and moves go on; all
// guarantees are checked at the end. With -faults.duration it runs for longer.
func TestRandomFaults(t *testing.T) {
	t.Logf("seed %d for %v", *randomSeed, *randomDuration)
	random := rand.New(rand.NewPCG(*randomSeed, 0))
	c := newCluster(t, smallFleet())
	list := newServers(c, "ledger", "l1", "l2")
	list.waitServing(c)
	x := &changer{c: c, accepted: make(map[string]uint64)}
	stop := make(chan struct{})
	watch := c.watchHosts(stop, nil)
	watch.Go(func() { c.watchVersions(stop) })
	l := startLoad(c, list, 10)
	var work sync.WaitGroup
	work.Go(func() { c.repeat(stop, func(n int) { x.submit(fmt.Sprintf("random-%d", n)) }) })
	work.Go(func() { c.repeat(stop, func(n int) { c.moveAtRandom(n) }) })

	for limit := time.Now().Add(*randomDuration); time.Now().Before(limit); {
		f := drawFault(c, list, random)
		pause := time.Duration(200+random.IntN(3000)) * time.Millisecond
		t.Logf("%s for %v", f.name, pause)
		f.begin()
		time.Sleep(pause)
		f.end()
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	close(stop)
	work.Wait()
	watch.Wait()
	l.stop()
	t.Logf("outcomes: %v; %d changes accepted", l.counts, len(x.accepted))

	list.waitServing(c)
	x.check()
	c.waitInForce()
	c.waitVersion(c.all(), c.view().Version)
	for _, r := range l.keyed { // no key ran twice, and none runs again now
		if n := list.runs(r.id); n > 1 {
			t.Errorf("the request %s ran %d times", r.key, n)
		}
	}
	for i, r := range l.keyed[max(0, len(l.keyed)-50):] {
		before := list.runs(r.id)
		a := c.send(c.entries[i%entryCount], r)
		if after := list.runs(r.id); before == 1 && after != 1 {
			t.Errorf("the request %s ran again: %+v", r.key, a)
		}
	}
	if l.counts[answered] == 0 || len(x.accepted) == 0 {
		t.Error("nothing was answered or accepted: the run shows nothing")
	}
}

// repeat calls fn with 0, 1 and so on until stop is closed.
func (c *cluster) repeat(stop <-chan struct{}, fn func(n int)) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		fn(n)
	}
}

// moveAtRandom moves the spare host to a pool or back; a rejection is fine while
// an earlier move is under way.
func (c *cluster) moveAtRandom(n int) {
	h := c.view().host("s1")
	to := "spare"
	if h.Pool == to {
		to = []string{"ledger", "accrual"}[n%2]
	}
	body := map[string]any{"request_id": fmt.Sprintf("random-move-%d", n), "operator": "planner", "to_pool": to, "expected_epoch": h.Epoch}
	if r := c.definite("POST", "/v1/hosts/s1/move", body); r.status != http.StatusOK && r.status != http.StatusUnprocessableEntity && r.status != http.StatusConflict {
		c.t.Errorf("a move was answered with %d %s", r.status, r.body)
	}
}
