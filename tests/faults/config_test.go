package faults

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

func poolChange(name string, deadlineMs int) any {
	return map[string]any{"pool": map[string]any{"name": name, "service": name, "default_deadline_ms": deadlineMs}}
}

type conflictReply struct {
	Type     string
	Conflict struct {
		Winner          string
		WinnerRequestID string `json:"winner_request_id"`
		WinnerVersion   uint64 `json:"winner_version"`
	}
}

type acceptedReply struct {
	Version uint64 `json:"version,string"`
}

// Guards against two operators with the same base version who both win, against
// a conflict that names another winner, and against a change that takes effect
// twice when it is sent again after its answer was lost.
func TestRacingOperators(t *testing.T) {
	c := newCluster(t, smallFleet())
	const rounds, operators = 8, 6
	for round := range rounds {
		base := c.view().Version
		replies := make([]reply, operators)
		id := func(n int) string { return fmt.Sprintf("race-%d-%d", round, n) }
		var all sync.WaitGroup
		for n := range operators {
			all.Go(func() {
				body := change(id(n), fmt.Sprintf("operator-%d", n), base, poolChange("contested", 1+round*operators+n))
				c.ask(c.controls[n%controlCount], "POST", "/v1/configuration", body) // the answer is lost
				replies[n] = c.definite("POST", "/v1/configuration", body)
			})
		}
		all.Wait()
		winner := -1
		var won acceptedReply
		for n, r := range replies {
			if r.status != http.StatusOK {
				continue
			}
			if winner >= 0 {
				t.Fatalf("operators %d and %d both won with base version %d", winner, n, base)
			}
			winner = n
			if err := json.Unmarshal([]byte(r.body), &won); err != nil {
				t.Fatal(err)
			}
		}
		if winner < 0 {
			t.Fatalf("nobody won: %+v", replies)
		}
		for n, r := range replies {
			var lost conflictReply
			if n == winner {
				continue
			}
			if err := json.Unmarshal([]byte(r.body), &lost); err != nil || r.status != http.StatusConflict {
				t.Fatalf("operator %d got no typed conflict: %v %d %s", n, err, r.status, r.body)
			}
			if lost.Conflict.WinnerRequestID != id(winner) || lost.Conflict.Winner != fmt.Sprintf("operator-%d", winner) || lost.Conflict.WinnerVersion != won.Version {
				t.Errorf("the conflict names %+v; %s won with version %d", lost.Conflict, id(winner), won.Version)
			}
		}
		if v := c.view().Version; v != base+1 {
			t.Errorf("version %d follows %d after one accepted change", v, base)
		}
	}
}

// changer submits changes one after the other from several operators, each
// until it has a definite answer, and remembers what was accepted.
type changer struct {
	c        *cluster
	mu       sync.Mutex
	accepted map[string]uint64 // pool to its version
}

func (x *changer) run(prefix string, operators, each int) {
	var all sync.WaitGroup
	for n := range operators {
		all.Go(func() {
			for i := range each {
				x.submit(fmt.Sprintf("%s-%d-%d", prefix, n, i))
			}
		})
	}
	all.Wait()
}

func (x *changer) submit(pool string) {
	r := x.c.definite("POST", "/v1/configuration", change("add-"+pool, "planner", 0, poolChange(pool, 1)))
	var a acceptedReply
	if err := json.Unmarshal([]byte(r.body), &a); err != nil || r.status != http.StatusOK {
		x.c.t.Errorf("pool %s was not accepted: %d %s", pool, r.status, r.body)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.accepted[pool] = a.Version
}

// check fails the test if an accepted change is missing, took effect twice, or
// shares its version.
func (x *changer) check() {
	x.c.t.Helper()
	x.mu.Lock()
	defer x.mu.Unlock()
	v := x.c.view()
	present := make(map[string]bool)
	for _, p := range v.Pools {
		present[p.Name] = true
	}
	versions := make(map[uint64]string)
	for pool, version := range x.accepted {
		if !present[pool] {
			x.c.t.Errorf("pool %s, accepted with version %d, is missing in version %d", pool, version, v.Version)
		}
		if other := versions[version]; other != "" || version > v.Version {
			x.c.t.Errorf("pools %s and %q have version %d; the state is at %d", pool, other, version, v.Version)
		}
		versions[version] = pool
	}
}

// versionOf returns the configuration version in a daemon's state dump.
func (c *cluster) versionOf(d *daemon) uint64 {
	var dump struct{ Version uint64 }
	resp, err := c.operator.Get("http://" + d.observe + "/dump")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&dump)
	return dump.Version
}

// waitVersion waits until every process has the accepted version.
func (c *cluster) waitVersion(list []*daemon, version uint64) {
	c.t.Helper()
	for _, d := range list {
		eventually(c.t, fmt.Sprintf("%s has version %d", d.name, version), func() bool { return c.versionOf(d) >= version })
	}
}

// Guards against an accepted change that is lost or reverts: the leader is
// killed between commit and answer, a control host is silent for long and comes
// back with an old state, and all processes restart after hundreds of changes.
func TestAcceptedConfigurationStays(t *testing.T) {
	c := newCluster(t, smallFleet())
	x := &changer{c: c, accepted: make(map[string]uint64)}
	done := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { c.watchVersions(done) })
	defer watch.Wait()
	defer func() { close(done) }()

	for round := range 3 {
		leader := c.leader("control")
		var all sync.WaitGroup
		all.Go(func() { x.run(fmt.Sprintf("kill-%d", round), 6, 8) })
		time.Sleep(time.Duration(5+20*round) * time.Millisecond) // changes are in flight
		leader.kill()
		all.Wait()
		leader.start()
		x.check()
	}

	// Silence of a follower, then of the leader, beyond a snapshot's 512 entries.
	leader := c.leader("control")
	for _, silent := range []*daemon{c.otherControl(leader), leader} {
		c.isolate(silent, true)
		eventually(t, "a leader is among the others", func() bool { return c.leader("control") != silent })
		x.run("silent-"+silent.name, 12, 25)
		if r := c.ask(silent, "GET", "/v1/configuration", nil); r.status == http.StatusOK {
			t.Errorf("%s answered a read without a quorum", silent.name)
		}
		c.isolate(silent, false)
		c.waitVersion(c.all(), c.view().Version)
		x.check()
	}

	before := c.view()
	for _, d := range c.all() {
		d.kill()
	}
	for _, d := range c.all() {
		d.start()
	}
	after := c.view()
	if after.Version < before.Version {
		t.Errorf("version %d follows %d after the restart", after.Version, before.Version)
	}
	x.check()
	c.waitInForce()
	c.waitVersion(c.all(), after.Version)
	x.submit("after-the-restart")
	x.check()
}

func (c *cluster) otherControl(d *daemon) *daemon {
	for _, other := range c.controls {
		if other != d {
			return other
		}
	}
	return nil
}

// watchVersions fails the test if a version that an entry holds goes back while
// it runs, or a version that the control processes have answered does.
func (c *cluster) watchVersions(done <-chan struct{}) {
	var last uint64
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * pollInterval):
		}
		for _, d := range c.controls {
			var v view
			r := c.ask(d, "GET", "/v1/configuration", nil)
			if r.status != http.StatusOK || json.Unmarshal([]byte(r.body), &v) != nil {
				continue
			}
			if v.Version < last {
				c.t.Errorf("%s answered version %d after version %d", d.name, v.Version, last)
			}
			last = max(last, v.Version)
		}
	}
}
