package jobs

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/job/dispatch"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

// maxRelayedOrders limits the orders that a relay has in progress. Each uses a
// connection to a worker.
const maxRelayedOrders = 2048

// orderRelay sends orders to workers for the leader and returns their outcomes. It
// decides nothing: orders of an ended term, and those that were on their way too long,
// are not sent.
type orderRelay struct {
	ctx     context.Context
	boot    string // boot id of this process
	workers orders.Workers
	send    func(leader string, m *jobpb.RelayMessage)
	term    func() uint64 // the newest term that this process knows
	clock   replica.Clock
	log     zerolog.Logger

	mu         sync.Mutex
	leader     string
	leaderTerm uint64
	ages       *dispatch.Ages
	reply      *jobpb.RelayMessage // to the leader, not sent yet; nil if there is none
	inProgress int
}

func newOrderRelay(ctx context.Context, boot string, workers orders.Workers, send func(string, *jobpb.RelayMessage), term func() uint64, clock replica.Clock, log zerolog.Logger) *orderRelay {
	return &orderRelay{ctx: ctx, boot: boot, workers: workers, send: send, term: term, clock: clock, log: log}
}

// handle takes a message of a leader. It does not block.
func (r *orderRelay) handle(leader string, m *jobpb.RelayMessage) {
	if r.ctx.Err() != nil {
		return // this process ends; without a confirmation the sender stops using it
	}
	if m.Term < r.term() {
		r.log.Info().Str("leader", leader).Uint64("term", m.Term).Uint64("newest_term", r.term()).Int("orders", len(m.Orders)).
			Msg("orders not relayed: their term has ended")
		return // without a confirmation the sender stops using this relay
	}
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Term < r.leaderTerm {
		return
	}
	if m.Term > r.leaderTerm {
		r.leader, r.leaderTerm, r.ages, r.reply = leader, m.Term, &dispatch.Ages{}, nil
		r.log.Info().Str("leader", leader).Uint64("term", m.Term).Msg("relaying orders of a leader")
	}
	age := r.ages.Age(time.Duration(m.SentUs)*time.Microsecond, now)
	reply := r.openReply()
	reply.Received = max(reply.Received, m.Number)
	for _, o := range m.Orders {
		if err := r.reject(m, o, age); err != nil {
			r.log.Info().Err(err).Str("worker", o.GetWorker()).Uint64("fence", o.GetFence()).Dur("age", age).Msg("order not relayed")
			if r.forEarlierProcess(m) && o.GetKind() == jobpb.WorkerOrder_HOLD {
				continue // says nothing about the worker; the leader learns that the relay was restarted
			}
			reply.Outcomes = append(reply.Outcomes, encodeOutcome(o.GetNumber(), 0, nil, &orders.NotSentError{Err: err}))
			continue
		}
		r.inProgress++
		go r.carryOut(m.Term, o, now-age)
	}
}

// forEarlierProcess reports whether the orders of a message are meant for an earlier process
// of this relay. A leader of an older build names none.
func (r *orderRelay) forEarlierProcess(m *jobpb.RelayMessage) bool {
	return m.Boot != "" && m.Boot != r.boot
}

// reject returns why an order is not sent, nil if it is.
func (r *orderRelay) reject(m *jobpb.RelayMessage, o *jobpb.WorkerOrder, age time.Duration) error {
	switch {
	case r.forEarlierProcess(m):
		return errors.New("the order is meant for an earlier process of this relay, and may have waited for long")
	case !validOrder(o):
		return errors.New("the order is incomplete")
	case age > orderDuration(o):
		return errors.New("the order was on its way for longer than its timeout")
	case r.inProgress >= maxRelayedOrders:
		return errors.New("the relay has too many orders in progress")
	}
	return nil
}

func orderDuration(o *jobpb.WorkerOrder) time.Duration {
	return time.Duration(o.TimeoutMs) * time.Millisecond
}

// openReply returns the message that collects what is to be sent to the leader. Called
// with mu held.
func (r *orderRelay) openReply() *jobpb.RelayMessage {
	if r.reply == nil {
		r.reply = &jobpb.RelayMessage{Term: r.leaderTerm, Boot: r.boot}
		time.AfterFunc(relayFlushDelay, r.flush)
	}
	return r.reply
}

func (r *orderRelay) flush() {
	r.mu.Lock()
	reply, leader := r.reply, r.leader
	r.reply = nil
	r.mu.Unlock()
	if reply != nil {
		r.send(leader, reply)
	}
}

// carryOut sends one order to its worker and adds the outcome to the reply. The end of this
// process breaks orders off, which says nothing about their workers: these have no outcome.
func (r *orderRelay) carryOut(term uint64, o *jobpb.WorkerOrder, sentAt time.Duration) {
	outcome := r.call(o, sentAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inProgress--
	brokenOff := r.ctx.Err() != nil && outcome.Kind == jobpb.OrderOutcome_UNKNOWN
	if term == r.leaderTerm && !brokenOff {
		reply := r.openReply()
		reply.Outcomes = append(reply.Outcomes, outcome)
	}
}

// call sends an order to its worker. A panic counts as an unknown outcome of this order.
func (r *orderRelay) call(o *jobpb.WorkerOrder, sentAt time.Duration) (outcome *jobpb.OrderOutcome) {
	defer func() {
		if p := recover(); p != nil {
			r.log.Error().Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Str("worker", o.Worker).Msg("relaying an order failed")
			outcome = encodeOutcome(o.Number, 0, nil, errors.New("the relay failed while it sent the order"))
		}
	}()
	left := orderDuration(o) - (r.clock.Now() - sentAt)
	if left <= 0 {
		// This process was suspended since it received the order.
		return encodeOutcome(o.Number, 0, nil, &orders.NotSentError{Err: errors.New("the order's timeout has passed at the relay")})
	}
	ctx, cancel := context.WithTimeout(r.ctx, left)
	defer cancel()
	to := orders.Target{ID: o.Worker, Address: o.Address}
	var clockMs int64
	var list *orders.RunList
	var err error
	switch o.Kind {
	case jobpb.WorkerOrder_START:
		clockMs, err = r.workers.Start(ctx, to, decodeStart(o))
	case jobpb.WorkerOrder_STOP:
		clockMs, err = r.workers.Stop(ctx, to, decodeRunOrder(o))
	case jobpb.WorkerOrder_PACE:
		clockMs, err = r.workers.Pace(ctx, to, decodeRunOrder(o))
	case jobpb.WorkerOrder_HOLD:
		list, err = r.workers.Hold(ctx, to, decodeHold(o))
	default:
		err = &orders.NotSentError{Err: errors.Errorf("the relay does not know orders of kind %d", o.Kind)}
	}
	return encodeOutcome(o.Number, clockMs, list, err)
}
