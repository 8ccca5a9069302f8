package faults

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// resendEverywhere sends a request that has run again through the entries,
// several times each at once, and fails the test if it ran again. An entry that
// rejects one before it has asked the ledger speaks of that sending only.
func resendEverywhere(c *cluster, list servers, entries []*daemon, r request) {
	c.t.Helper()
	inParallel(entries, func(e *daemon) {
		for range 3 {
			a := c.send(e, r)
			if a.outcome == notRun && !strings.Contains(a.remedy, "same key") {
				c.t.Errorf("a request that has run was rejected as not run without the advice to keep its key: %+v", a)
			}
			if n := list.runs(r.id); n != 1 {
				c.t.Errorf("the request ran %d times after a resend through %s", n, e.name)
			}
			if a.outcome == foreign {
				c.t.Errorf("a resend got another answer: %s", a.detail)
			}
		}
	})
}

// Guards against a second run of a non-idempotent request whose key is sent
// again through every other entry while the first attempt is running and its
// entry is killed, frozen or cut off from control; against a false "not run"
// for such a key; and against an outcome that stays unknown although there is one.
func TestOnceWhenEntryIsLost(t *testing.T) {
	c := newCluster(t, smallFleet())
	list := newServers(c, "ledger", "l1", "l2")
	list.waitServing(c)
	killed, frozen, cutOff, others := c.entries[0], c.entries[1], c.entries[2], c.entries[3:]

	requests := make(map[*daemon]request)
	var first sync.WaitGroup
	answers := make(map[*daemon]answer)
	var mu sync.Mutex
	for _, e := range []*daemon{killed, frozen, cutOff} {
		r := post("ledger")
		requests[e] = r
		list.hold(r.id, beforeHead)
		first.Go(func() {
			a := c.send(e, r)
			mu.Lock()
			defer mu.Unlock()
			answers[e] = a
		})
		eventually(t, "the first attempt runs", func() bool { return list.runs(r.id) == 1 })
		resendEverywhere(c, list, others, r)
	}
	killed.kill()
	frozen.freeze()
	c.isolate(cutOff, true)
	for e, r := range requests {
		resendEverywhere(c, list, others, r)
		eventually(t, "the outcome of the key sent through "+e.name+" is unknown", func() bool {
			return c.outcomeOf(others[0], r.key) == unknown
		})
		resendEverywhere(c, list, others, r)
	}
	list.release()
	frozen.wake()
	c.isolate(cutOff, false)
	killed.start()
	for _, e := range []*daemon{frozen, cutOff} {
		r := requests[e]
		eventually(t, "the outcome of the key sent through "+e.name+" is known", func() bool {
			return c.outcomeOf(others[1], r.key) == "finished"
		})
		eventually(t, "the recorded answer is given again", func() bool { return c.send(others[2], r).outcome == answered })
	}
	first.Wait()
	for e, r := range requests {
		check(t, list, r, answers[e])
		resendEverywhere(c, list, c.entries, r)
		if n := list.runs(r.id); n != 1 {
			t.Errorf("the request sent through %s ran %d times", e.name, n)
		}
	}
	if got := c.outcomeOf(others[0], requests[killed].key); got != unknown {
		t.Errorf("the outcome of the key of the killed entry is %q: nobody has recorded an answer", got)
	}
}

// Guards against a second run when callers lose their answers and send again
// in a storm, and against an answer that differs between the copies.
func TestOnceInRetryStorm(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, smallFleet())
	list := newServers(c, "ledger", "l1", "l2")
	list.waitServing(c)
	var storm sync.WaitGroup
	for n := range 20 {
		r := post("ledger")
		list.hold(r.id, points[n%len(points)])
		storm.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			lost := make(chan struct{})
			go func() { c.sendContext(ctx, c.entries[n%entryCount], r); close(lost) }()
			eventually(t, "the request runs", func() bool { return list.runs(r.id) > 0 })
			cancel() // the caller loses its connection, and so its answer
			<-lost
			resendEverywhere(c, list, c.entries, r)
			for _, s := range list {
				s.releaseOne(r.id)
			}
			eventually(t, "the request is answered", func() bool { return c.send(c.entries[(n+1)%entryCount], r).outcome == answered })
			resendEverywhere(c, list, c.entries, r)
			is.Equal(list.runs(r.id), 1) // once, and every resend got the recorded answer
		})
	}
	storm.Wait()
}

// Guards against a lost record, and so a second run, when the leader of the
// ledger group is killed between Begin and Finish.
func TestOnceWhenLedgerLeaderIsKilled(t *testing.T) {
	c := newCluster(t, smallFleet())
	list := newServers(c, "ledger", "l1", "l2")
	list.waitServing(c)
	for _, group := range []string{"ledger-0", "ledger-1"} {
		var sent []request
		answers := make([]answer, 8)
		var all sync.WaitGroup
		for i := range answers { // keys of both groups
			r := post("ledger")
			sent = append(sent, r)
			list.hold(r.id, beforeHead)
			all.Go(func() { answers[i] = c.send(c.entries[i%entryCount], r) })
		}
		for _, r := range sent {
			eventually(t, "the request runs", func() bool { return list.runs(r.id) == 1 })
		}
		leader := c.leader(group)
		leader.kill()
		list.release()
		all.Wait()
		for i, r := range sent {
			check(t, list, r, answers[i])
			if answers[i].outcome != answered {
				t.Errorf("the request was not answered: %+v", answers[i])
			}
			eventually(t, "the outcome is recorded", func() bool { return c.outcomeOf(c.entries[1], r.key) == "finished" })
			resendEverywhere(c, list, c.entries, r)
			if n := list.runs(r.id); n != 1 {
				t.Errorf("the request ran %d times", n)
			}
		}
		leader.start()
	}
}
