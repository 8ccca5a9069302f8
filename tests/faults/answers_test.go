package faults

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against a request that is rejected as not run although it reached a
// backend server: its entry is killed, the connection to the backend server is
// cut, or the backend server falls silent, at each point of the request's life.
func TestNotRunIsTrue(t *testing.T) {
	c := newCluster(t, smallFleet())
	list := newServers(c, "ledger", "l1", "l2")
	list.waitServing(c)
	entry := c.entries[0]
	silence := func(silent bool) {
		for _, s := range list {
			s.link.Silence(silent, silent)
		}
	}
	for _, fault := range []struct {
		name       string
		begin, end func()
		lasts      time.Duration // beyond the callers' deadlines where it is not 0
	}{
		{"connection cut", func() {
			for _, s := range list {
				s.link.Cut()
			}
		}, func() {}, 0},
		{"backend server silent", func() { silence(true) }, func() { silence(false) }, 2 * time.Second},
		{"entry stopped and woken", entry.freeze, entry.wake, 5 * time.Second},
		{"entry killed", entry.kill, entry.start, 0},
	} {
		t.Run(fault.name, func(t *testing.T) {
			list.waitServing(c)
			var all sync.WaitGroup
			send := func(r request) (ended chan struct{}) {
				ended = make(chan struct{})
				all.Go(func() {
					defer close(ended)
					a := c.send(entry, r)
					check(t, list, r, a)
					t.Logf("%s: %s, %d runs", r.method, a.outcome, list.runs(r.id))
				})
				return ended
			}
			for _, at := range points {
				for _, r := range []request{get("ledger"), post("ledger"), withDeadline(get("ledger"), 1500)} {
					list.hold(r.id, at)
					ended := send(r)
					eventually(t, "the request runs, or is rejected in view of its deadline", func() bool {
						select {
						case <-ended:
							return r.header != nil
						default:
							return list.runs(r.id) > 0
						}
					})
				}
			}
			fault.begin()
			// These come while the fault lasts.
			for range 4 {
				send(withDeadline(get("ledger"), 1000))
				send(withDeadline(post("ledger"), 1000))
			}
			time.Sleep(fault.lasts)
			fault.end()
			list.release()
			all.Wait()
		})
	}
}

func withDeadline(r request, ms int) request {
	r.header = map[string]string{"Request-Deadline-Ms": fmt.Sprint(ms)}
	return r
}

// Guards against "not run" for a request that ran, and a run after "not run",
// when every backend server refuses connections but keeps announcing itself.
func TestNotRunWhenConnectionsAreRefused(t *testing.T) {
	c := newCluster(t, smallFleet())
	list := newServers(c, "ledger", "l1", "l2")
	list.waitServing(c)
	for _, s := range list {
		s.link.Close()
	}
	inParallel(c.entries, func(e *daemon) {
		// A request that is written to an idle connection at the moment at which it
		// breaks may have run; from the first refused connection on there is none.
		eventually(t, e.name+" notices that connections are refused", func() bool {
			r := withDeadline(get("ledger"), 500)
			a := c.send(e, r)
			check(t, list, r, a)
			return a.outcome == notRun
		})
		for range 10 {
			for _, r := range []request{withDeadline(get("ledger"), 500), withDeadline(post("ledger"), 500)} {
				a := c.send(e, r)
				check(t, list, r, a)
				if a.outcome != notRun {
					t.Errorf("a request that could not be sent has the outcome %+v", a)
				}
			}
		}
	})
}

// Guards against a cut answer that looks whole, a late answer that is given to
// a later request, and answers out of order on a connection with pipelined requests.
func TestWholeAnswersToTheirOwnRequests(t *testing.T) {
	c := newCluster(t, smallFleet())
	list := newServers(c, "ledger", "l1", "l2")
	list.waitServing(c)
	const seed, callers, perCaller = 7, 24, 40
	var all sync.WaitGroup
	for n := range callers {
		all.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			for range perCaller {
				r := drawRequest(random)
				a := c.send(c.entries[n%entryCount], r)
				check(t, list, r, a)
				if r.header["X-Cut"] != "" && a.outcome != broken && a.outcome != unknown && a.outcome != notRun {
					t.Errorf("a cut answer has the outcome %+v", a)
				}
			}
		})
	}
	for n, e := range c.entries {
		all.Go(func() { pipeline(t, e, rand.New(rand.NewPCG(seed, uint64(1000+n)))) })
	}
	all.Wait()
}

// drawRequest draws a request whose answer may be late, cut or beyond the
// caller's deadline.
func drawRequest(random *rand.Rand) request {
	r := get("ledger")
	if random.IntN(2) == 0 {
		r = post("ledger")
	}
	r.body = r.id + strings.Repeat("x", random.IntN(60_000))
	r.header = map[string]string{"X-Hold-Ms": fmt.Sprint(random.IntN(40))}
	switch random.IntN(4) {
	case 0:
		r.header["X-Cut"] = "1"
	case 1:
		r.header["Request-Deadline-Ms"] = fmt.Sprint(1 + random.IntN(40))
	}
	return r
}

// pipeline sends many requests on one connection before it reads the answers.
func pipeline(t *testing.T, e *daemon, random *rand.Rand) {
	conn, err := net.Dial("tcp", e.callers)
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()
	var sent []request
	for range 50 {
		r := get("ledger")
		sent = append(sent, r)
		_, err := fmt.Fprintf(conn, "GET /s/ledger/work HTTP/1.1\r\nHost: x\r\nX-Request: %s\r\nX-Hold-Ms: %d\r\n\r\n", r.id, random.IntN(20))
		if err != nil {
			t.Error(err)
			return
		}
	}
	answers := bufio.NewReader(conn)
	for i, r := range sent {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Errorf("answer %d: %v", i, err)
			return
		}
		if a := judge(resp, r); a.outcome != answered {
			t.Errorf("answer %d: %+v", i, a)
		}
	}
}
