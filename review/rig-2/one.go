package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// oneCase: the process that orders upkeeps is frozen while some of its orders are on their
// way, and goes on after another one has taken over. It must send no order for a machine for
// which its successor has sent one.
func oneCase(record string) {
	const (
		machines   = 48
		due        = 24 // of a wave, all of them at once
		freeze     = 7 * time.Second
		orderTime  = 300 * time.Millisecond // of the platform, for the answer to an order
		rounds     = 4
		roundTime  = 24 * time.Second
		firstRound = 5 * time.Second
	)
	r := open(record, 3, 2, map[string]int{"p-one": machines}, func(string) time.Duration { return 400 * time.Millisecond })
	r.platform.orderTime = orderTime
	r.configure(route("bookings", "p-one", ""))
	time.Sleep(firstRound)
	for round := range rounds {
		began := time.Now()
		var names []string
		for n := range due {
			names = append(names, strconv.Quote(fmt.Sprintf("m-%02d", (round*due+n)%machines+1)))
		}
		before := len(r.platform.sentOrders())
		r.operate(http.MethodPost, "/wave-start", fmt.Sprintf(`{"wave":%d,"machines":[%s],"duration-s":10,"maximum":%d}`, round+1, strings.Join(names, ","), due), 10*time.Second)
		r.eventually("first orders of the wave", 10*time.Second, func() bool { return len(r.platform.sentOrders()) >= before+6 })
		r.freeze(r.platform.sentOrders()[before].holder, freeze)
		for time.Since(began) < roundTime {
			r.checkTokens()
			time.Sleep(100 * time.Millisecond)
		}
	}
	r.held("%d orders, none with a lower token after a higher one", len(r.platform.sentOrders()))
}

// freeze stops a control process for a time.
func (r *rig) freeze(name string, duration time.Duration) {
	if !r.trouble {
		return
	}
	for _, c := range r.controls {
		if c.name == name {
			c.signal(syscall.SIGSTOP)
			time.AfterFunc(duration, func() { c.signal(syscall.SIGCONT) })
		}
	}
}

// checkTokens checks the tokens of the orders that the platform has received.
func (r *rig) checkTokens() {
	highest := map[string]machineOrder{}
	for _, o := range r.platform.sentOrders() {
		known, found := highest[o.machine]
		if found && o.token() < known.token() {
			r.broken("ONE: the platform received %s for %s with token %d from %s at %.3f s, after one with token %d from %s at %.3f s",
				o.path, o.machine, o.token(), o.holder, o.at.Sub(r.began).Seconds(), known.token(), known.holder, known.at.Sub(r.began).Seconds())
		}
		if !found || o.token() > known.token() {
			highest[o.machine] = o
		}
	}
}

func (o machineOrder) token() uint64 {
	token, _ := strconv.ParseUint(o.fence, 10, 64)
	return token
}

// sentOrders returns the orders that the platform has received, in their order.
func (p *platform) sentOrders() []machineOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]machineOrder(nil), p.orders...)
}

func (p *process) signal(s syscall.Signal) {
	if p.command == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Signal(s)
	p.rig.note("%s gets %v", p.name, s)
}
