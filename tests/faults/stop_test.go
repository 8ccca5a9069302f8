package faults

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// balancer gives callers an entry whose health check last passed, as the
// platform's balancer does.
type balancer struct {
	c       *cluster
	mu      sync.Mutex
	healthy []*daemon
	next    int
}

const healthInterval = 100 * time.Millisecond

func newBalancer(c *cluster, stop <-chan struct{}) *balancer {
	b := &balancer{c: c, healthy: c.entries}
	check := client(time.Second)
	go func() {
		for {
			var up []*daemon
			for _, e := range c.entries {
				resp, err := check.Get("http://" + e.callers + "/healthz")
				if err != nil {
					continue
				}
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					up = append(up, e)
				}
			}
			b.mu.Lock()
			b.healthy = up
			b.mu.Unlock()
			select {
			case <-stop:
				return
			case <-time.After(healthInterval):
			}
		}
	}()
	return b
}

func (b *balancer) pick() *daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.healthy) == 0 {
		return nil
	}
	b.next++
	return b.healthy[b.next%len(b.healthy)]
}

// load sends requests from several callers until it is stopped. Every answer is checked.
type load struct {
	c      *cluster
	list   servers
	pick   func() *daemon
	halt   chan struct{}
	all    sync.WaitGroup
	mu     sync.Mutex
	counts map[string]int
	keyed  []request // every non-idempotent request sent
}

func startLoad(c *cluster, list servers, callers int) *load {
	l := &load{c: c, list: list, halt: make(chan struct{}), counts: make(map[string]int)}
	l.pick = newBalancer(c, l.halt).pick
	for n := range callers {
		l.all.Go(func() { l.caller(n) })
	}
	c.t.Cleanup(l.stop)
	return l
}

func (l *load) caller(n int) {
	for i := n; ; i++ {
		select {
		case <-l.halt:
			return
		case <-time.After(10 * time.Millisecond):
		}
		e := l.pick()
		if e == nil {
			continue
		}
		r := get(l.list[0].service)
		if i%2 == 0 {
			r = post(l.list[0].service)
		}
		r.header = map[string]string{"X-Hold-Ms": []string{"0", "5", "50", "400"}[i%4]}
		a := l.c.send(e, r)
		check(l.c.t, l.list, r, a)
		l.mu.Lock()
		l.counts[a.outcome]++
		if r.key != "" {
			l.keyed = append(l.keyed, r)
		}
		if a.outcome != answered && a.outcome != notRun {
			l.c.t.Logf("%s through %s: %+v", r.method, e.name, a)
		}
		l.mu.Unlock()
	}
}

// stop ends the load and waits for the answers. It may be called again.
func (l *load) stop() {
	l.mu.Lock()
	select {
	case <-l.halt:
	default:
		close(l.halt)
	}
	l.mu.Unlock()
	l.all.Wait()
}

// unbroken fails the test if a request in flight was interrupted.
func (l *load) unbroken() {
	l.c.t.Helper()
	l.stop()
	l.c.t.Logf("outcomes: %v", l.counts)
	if l.counts[answered] == 0 || l.counts[broken] > 0 || l.counts[unknown] > 0 {
		l.c.t.Errorf("requests were interrupted, or none was answered: %v", l.counts)
	}
}

// outlastingMs is longer than the time for which an entry's health check fails
// before its listener closes, so that a request is still in flight then.
const outlastingMs = "6000"

// startOutlasting starts a request through each entry and returns once all run.
// The function that it returns waits for the answers, which must all be whole.
func startOutlasting(c *cluster, list servers, entries []*daemon) (wait func()) {
	var all sync.WaitGroup
	for _, e := range entries {
		r := post("ledger")
		r.header = map[string]string{"X-Hold-Ms": outlastingMs}
		all.Go(func() {
			a := c.send(e, r)
			check(c.t, list, r, a)
			if a.outcome != answered {
				c.t.Errorf("a request in flight when %s was stopped ended as %+v", e.name, a)
			}
		})
		eventually(c.t, "the request runs", func() bool { return list.runs(r.id) > 0 })
	}
	return all.Wait
}

// Guards against a planned stop that interrupts a request: every daemon is
// restarted with SIGTERM under load, two entries or one control process at a
// time, each entry with a request that outlasts the time its health check fails.
func TestRollingRestartBreaksNoRequest(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, smallFleet())
	list := newServers(c, "ledger", "l1", "l2")
	list.waitServing(c)
	l := startLoad(c, list, 12)
	for i := 0; i < entryCount; i += 2 {
		pair := c.entries[i : i+2]
		wait := startOutlasting(c, list, pair)
		inParallel(pair, func(d *daemon) { is.Equal(d.stop(), 0) }) // a graceful stop that took too long
		wait()
		for _, d := range pair {
			d.start()
			eventually(t, d.name+" serves again", func() bool { return c.send(d, get("ledger")).outcome == answered })
		}
	}
	leader := c.leader("control")
	for _, d := range append(c.otherControls(leader), leader) {
		is.Equal(d.stop(), 0)
		d.start()
		version := c.view().Version
		c.waitVersion([]*daemon{d}, version)
	}
	list.waitServing(c)
	l.unbroken()
}

func (c *cluster) otherControls(d *daemon) []*daemon {
	var out []*daemon
	for _, other := range c.controls {
		if other != d {
			out = append(out, other)
		}
	}
	return out
}

// Guards against a drain that interrupts a request, and against one that ends
// while a long request runs: every host of a service is drained and moved in
// turn under load, with one long request on each.
func TestDrainUnderLoadBreaksNoRequest(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, smallFleet())
	list := newServers(c, "ledger", "l1", "l2")
	list.waitServing(c)
	l := startLoad(c, list, 8)
	for i, s := range list {
		long := post("ledger")
		s.hold(long.id, beforeHead)
		got := make(chan answer, 1)
		eventually(t, "the long request runs on "+s.host, func() bool {
			r := long
			go func() { got <- c.send(c.entries[i], r) }()
			ended := false // answered without a run on s: by the other server, or since the ledger had no leader
			eventually(t, "it runs somewhere or is answered", func() bool {
				select {
				case early := <-got:
					check(t, list, r, early)
					ended = true
				default:
				}
				return ended || list.runs(r.id) == 1
			})
			if !ended && (servers{s}).runs(r.id) == 1 {
				return true
			}
			if !ended {
				<-got // it ran on the other server, which does not hold it
			}
			long = post("ledger")
			s.hold(long.id, beforeHead)
			return false
		})
		is.Equal(c.move(s.host, "spare").status, http.StatusOK)
		c.waitInForce()
		time.Sleep(time.Second) // several rounds of the reconcilers
		h := c.view().host(s.host)
		is.Equal(h.State, "HOST_STATE_DRAINING") // it was released under a running request
		is.Equal(h.Pool, "ledger")
		s.releaseOne(long.id)
		a := <-got
		is.Equal(a.outcome, answered)
		c.waitHost(s.host, "spare")
		is.Equal(c.move(s.host, "ledger").status, http.StatusOK)
		c.waitHost(s.host, "ledger")
		list.waitServing(c)
		eventually(t, s.name+" gets work again", func() bool { return time.Since(s.lastStart()) < time.Second })
	}
	l.unbroken()
}

// move asks for a move of a host at its current epoch.
func (c *cluster) move(host, pool string) reply {
	c.t.Helper()
	body := map[string]any{"request_id": c.nextID(), "operator": "planner", "to_pool": pool, "expected_epoch": c.view().host(host).Epoch}
	return c.definite("POST", "/v1/hosts/"+host+"/move", body)
}

func (c *cluster) waitHost(host, pool string) {
	c.t.Helper()
	eventually(c.t, host+" is active in "+pool, func() bool {
		h := c.view().host(host)
		return h.Pool == pool && h.State == "HOST_STATE_ACTIVE"
	})
}

// A leaving server may get work until the leases that entries hold have ended:
// serverLease after the last answer or sync, and a margin for work on its way.
const (
	serverLease = 4 * time.Second
	leaseMargin = 3 * time.Second
)

// Guards against new work for a backend server that is leaving, from an entry
// that is cut off from control, hears control but is not heard, or was frozen
// and wakes with old state and requests that came while it was frozen.
func TestLeavingServerGetsNoWorkFromCutOffEntries(t *testing.T) {
	c := newCluster(t, smallFleet())
	list := newServers(c, "ledger", "l1", "l2")
	list.waitServing(c)
	cutOff, unheard, frozen := c.entries[0], c.entries[1], c.entries[2]
	halt := make(chan struct{})
	var all sync.WaitGroup
	for _, e := range c.entries {
		for range 3 {
			all.Go(func() {
				for {
					select {
					case <-halt:
						return
					case <-time.After(10 * time.Millisecond):
					}
					r := withDeadline(get("ledger"), 20_000)
					check(t, list, r, c.send(e, r))
				}
			})
		}
	}
	stay, leaving := list[0], list[1]
	eventually(t, "the server that will leave gets work", func() bool { return time.Since(leaving.lastStart()) < time.Second })
	c.isolate(cutOff, true)
	for _, r := range unheard.links {
		r.Silence(true, false)
	}
	frozen.freeze()
	leaving.leave()
	left := time.Now()
	time.Sleep(serverLease + leaseMargin)
	allowed := time.Now()
	frozen.wake()
	time.Sleep(time.Second)
	c.isolate(cutOff, false)
	for _, r := range unheard.links {
		r.Silence(false, false)
	}
	eventually(t, "the server is told that it is drained", func() bool {
		leaving.mu.Lock()
		defer leaving.mu.Unlock()
		return leaving.drained
	})
	time.Sleep(time.Second)
	close(halt)
	all.Wait()
	if last := leaving.lastStart(); last.After(allowed) {
		t.Errorf("the leaving server got work %v after it announced that it leaves", last.Sub(left))
	}
	if stay.lastStart().Before(allowed) {
		t.Error("the other server got no work: the test shows nothing")
	}
}
