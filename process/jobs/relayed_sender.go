package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/job/dispatch"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

// Timings and limits of orders that are sent through relays.
const (
	relayFlushDelay    = time.Millisecond       // for which orders to one relay are collected into a message
	relayCheckInterval = 50 * time.Millisecond  // between checks of the relays' health
	relayAnswerReserve = 100 * time.Millisecond // of an order's timeout that is left for the way back from the relay
	maxOrdersPerRelay  = 200                    // orders in one message; keeps it below the wire's limit of a frame
)

// relayedSender sends the leader's orders through the other control processes, as far
// as they are healthy, and sends the rest itself. It lasts as long as a session.
type relayedSender struct {
	term    uint64
	numbers *dispatch.Numbers // shared by all sessions of this process
	direct  orders.Workers
	send    func(relay string, m *jobpb.RelayMessage)
	names   func() []string // processes that may serve as relays
	leads   func() bool     // whether this process leads under a valid lease
	clock   replica.Clock
	log     zerolog.Logger

	mu       sync.Mutex
	enabled  bool // the fleet is large enough for relays
	relays   *dispatch.Relays
	pending  map[uint64]*relayedOrder        // by number
	outgoing map[string][]*jobpb.WorkerOrder // by relay, not sent yet
}

// relayedOrder is an order whose outcome is not known.
type relayedOrder struct {
	relay   string
	outcome chan *jobpb.OrderOutcome // has capacity 1
}

func newRelayedSender(term uint64, numbers *dispatch.Numbers, direct orders.Workers, send func(string, *jobpb.RelayMessage), names func() []string, leads func() bool, clock replica.Clock, log zerolog.Logger) *relayedSender {
	return &relayedSender{term: term, numbers: numbers, direct: direct, send: send, names: names, leads: leads, clock: clock, log: log, relays: dispatch.New(numbers),
		pending: map[uint64]*relayedOrder{}, outgoing: map[string][]*jobpb.WorkerOrder{}}
}

// enable sets whether orders go through relays.
func (r *relayedSender) enable(enabled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enabled = enabled
}

// senders returns the number of processes that share the orders.
func (r *relayedSender) senders() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.enabled {
		return 1
	}
	return max(1, r.relays.Healthy())
}

// run maintains the relays until ctx ends.
func (r *relayedSender) run(ctx context.Context) {
	ticks, stop := r.clock.Ticks(relayCheckInterval)
	defer stop()
	for {
		r.check()
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}

// check probes relays and fails the orders that wait for one that is lost.
func (r *relayedSender) check() {
	names := r.names()
	r.mu.Lock()
	defer r.mu.Unlock()
	failed := r.relays.SetNames(names)
	overdue, probes := r.relays.Check(r.clock.Now())
	for _, name := range append(failed, overdue...) {
		r.log.Warn().Str("relay", name).Int("healthy", r.relays.Healthy()).Msg("relay lost: its orders are sent through others")
		r.failOrders(name)
	}
	for _, name := range probes {
		r.sendMessage(name, nil)
	}
}

// failOrders ends the orders of a lost relay. Called with mu held.
func (r *relayedSender) failOrders(relay string) {
	for number, order := range r.pending {
		if order.relay == relay {
			order.outcome <- nil
			delete(r.pending, number)
		}
	}
	delete(r.outgoing, relay)
}

// sendMessage sends orders, or a probe without any, to a relay. Called with mu held.
func (r *relayedSender) sendMessage(relay string, list []*jobpb.WorkerOrder) {
	now := r.clock.Now()
	number, boot := r.relays.Send(now, relay)
	r.send(relay, &jobpb.RelayMessage{Term: r.term, Number: number, SentUs: now.Microseconds(), Boot: boot, Orders: list})
}

// add queues an order for a worker's relay. It returns nil if the leader has to send it.
func (r *relayedSender) add(o *jobpb.WorkerOrder) *relayedOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.enabled {
		return nil
	}
	name, ok := r.relays.Choose(o.Worker)
	if !ok {
		return nil
	}
	o.Number = r.numbers.Next()
	order := &relayedOrder{relay: name, outcome: make(chan *jobpb.OrderOutcome, 1)}
	r.pending[o.Number] = order
	r.outgoing[name] = append(r.outgoing[name], o)
	switch len(r.outgoing[name]) {
	case 1:
		time.AfterFunc(relayFlushDelay, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.flush(name)
		})
	case maxOrdersPerRelay:
		r.flush(name)
	}
	return order
}

// flush sends the collected orders of a relay. The lease is checked once more: this
// process may have been suspended since the orders were queued. Called with mu held.
func (r *relayedSender) flush(relay string) {
	list := r.outgoing[relay]
	if len(list) == 0 {
		return
	}
	delete(r.outgoing, relay)
	if r.leads() {
		r.sendMessage(relay, list)
		return
	}
	notSent := &orders.NotSentError{Err: errors.New("this process no longer leads")}
	for _, o := range list {
		if order := r.pending[o.Number]; order != nil {
			delete(r.pending, o.Number)
			order.outcome <- encodeOutcome(o.Number, 0, nil, notSent)
		}
	}
}

// handle takes a relay's confirmations and outcomes.
func (r *relayedSender) handle(relay string, m *jobpb.RelayMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.relays.Restarted(relay, m.Boot) {
		r.log.Warn().Str("relay", relay).Str("boot", m.Boot).Msg("relay was restarted: its orders are sent through others until it confirms a probe")
		defer r.failOrders(relay)
	} else if r.relays.Confirm(relay, m.Received) {
		r.log.Info().Str("relay", relay).Int("healthy", r.relays.Healthy()).Msg("relay is healthy: it sends orders to workers")
	}
	for _, outcome := range m.Outcomes {
		order := r.pending[outcome.GetNumber()]
		if order == nil || order.relay != relay {
			continue // it came too late: the order has been given up
		}
		delete(r.pending, outcome.Number)
		order.outcome <- outcome
	}
}

// exchange sends an order through a relay and waits for its outcome. relayed is false
// if the leader has to send it.
func (r *relayedSender) exchange(ctx context.Context, o *jobpb.WorkerOrder) (outcome *jobpb.OrderOutcome, relayed bool, err error) {
	if deadline, ok := ctx.Deadline(); ok {
		o.TimeoutMs = uint32(max(1, (time.Until(deadline) - relayAnswerReserve).Milliseconds()))
	}
	order := r.add(o)
	if order == nil {
		return nil, false, nil
	}
	select {
	case outcome = <-order.outcome:
	case <-ctx.Done():
		r.mu.Lock()
		delete(r.pending, o.Number)
		r.mu.Unlock()
		return nil, true, &orders.RelayError{Relay: order.relay, Err: ctx.Err()}
	}
	if outcome == nil {
		return nil, true, &orders.RelayError{Relay: order.relay, Err: errors.New("it is lost")}
	}
	return outcome, true, outcomeError(outcome)
}

// answerClock sends an order whose answer holds only the worker's clock.
func (r *relayedSender) answerClock(ctx context.Context, o *jobpb.WorkerOrder, direct func() (int64, error)) (int64, error) {
	outcome, relayed, err := r.exchange(ctx, o)
	if !relayed {
		return direct()
	}
	if err != nil {
		return 0, err
	}
	return outcome.ClockMs, nil
}

// Start implements orders.Workers.
func (r *relayedSender) Start(ctx context.Context, to orders.Target, o orders.StartOrder) (int64, error) {
	return r.answerClock(ctx, encodeStart(to, o), func() (int64, error) { return r.direct.Start(ctx, to, o) })
}

// Stop implements orders.Workers.
func (r *relayedSender) Stop(ctx context.Context, to orders.Target, o orders.RunOrder) (int64, error) {
	order := encodeRunOrder(jobpb.WorkerOrder_STOP, to, o)
	return r.answerClock(ctx, order, func() (int64, error) { return r.direct.Stop(ctx, to, o) })
}

// Pace implements orders.Workers.
func (r *relayedSender) Pace(ctx context.Context, to orders.Target, o orders.RunOrder) (int64, error) {
	order := encodeRunOrder(jobpb.WorkerOrder_PACE, to, o)
	return r.answerClock(ctx, order, func() (int64, error) { return r.direct.Pace(ctx, to, o) })
}

// Hold implements orders.Workers.
func (r *relayedSender) Hold(ctx context.Context, to orders.Target, o orders.HoldOrder) (*orders.RunList, error) {
	outcome, relayed, err := r.exchange(ctx, encodeHold(to, o))
	if !relayed {
		return r.direct.Hold(ctx, to, o)
	}
	if err != nil {
		return nil, err
	}
	list := decodeRunList(outcome.List)
	if list == nil {
		return nil, errors.New("the relay's answer holds no valid list of runs")
	}
	return list, nil
}

var _ orders.Workers = (*relayedSender)(nil)
