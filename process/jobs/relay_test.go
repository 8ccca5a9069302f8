package jobs

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/dispatch"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/process/replica"
	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

// recordingWorkers answers orders and counts them by the worker's id.
type recordingWorkers struct {
	mu     sync.Mutex
	starts map[string]int
	holds  int
	err    error
	panics bool
	// beforeHold, if not nil, is called before a hold is answered.
	beforeHold func(worker string)
}

func (w *recordingWorkers) Start(_ context.Context, to orders.Target, o orders.StartOrder) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.panics {
		panic("start failed")
	}
	if w.starts == nil {
		w.starts = map[string]int{}
	}
	w.starts[to.ID]++
	return o.DeadlineMs, w.err
}

func (w *recordingWorkers) Stop(context.Context, orders.Target, orders.RunOrder) (int64, error) {
	return 2, nil
}

func (w *recordingWorkers) Pace(_ context.Context, _ orders.Target, o orders.RunOrder) (int64, error) {
	return int64(o.Percent), nil
}

func (w *recordingWorkers) Hold(ctx context.Context, to orders.Target, o orders.HoldOrder) (*orders.RunList, error) {
	w.mu.Lock()
	w.holds++
	w.mu.Unlock()
	if before := w.beforeHold; before != nil {
		before(to.ID)
	}
	select {
	case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	task := &jobpb.TaskRef{Job: "j"}
	return &orders.RunList{ClockMs: 5, StartedMs: 7, Running: []orders.Run{{Task: task, Run: 3, Percent: 40}},
		Ended: []orders.EndedRun{{Number: 9, Task: task, Run: 2, How: jobpb.How_FAILED, Checkpoint: to.ID}}}, nil
}

func (w *recordingWorkers) started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, count := range w.starts {
		n += count
	}
	return n
}

// relayPair is a leader's sender with one relay, joined without a network.
type relayPair struct {
	sender *relayedSender
	// session is the sender of the latest session, which gets the messages of the relay.
	session atomic.Pointer[relayedSender]
	relay   atomic.Pointer[orderRelay] // of the relay's process
	numbers dispatch.Numbers
	direct  recordingWorkers // called by the leader itself
	remote  recordingWorkers // called by the relay
	term    atomic.Uint64    // newest term that the relay knows
	paused  atomic.Bool      // the leader's lease has expired
	cut     atomic.Bool      // messages of both directions are lost
	delay   atomic.Int64     // of messages to the relay, in ns
	// endRelay ends the relay's process, which still takes messages until its connections
	// are closed.
	endRelay context.CancelFunc
	// startRelay starts a process of the relay.
	startRelay func(boot string)
}

func newRelayPair(ctx context.Context) *relayPair {
	p := &relayPair{}
	p.term.Store(1)
	clock := replica.SystemClock()
	toLeader := func(_ string, m *jobpb.RelayMessage) {
		if !p.cut.Load() {
			time.AfterFunc(time.Millisecond, func() { p.session.Load().handle("relay", m) })
		}
	}
	p.startRelay = func(boot string) {
		relayCtx, endRelay := context.WithCancel(ctx)
		p.endRelay = endRelay
		p.relay.Store(newOrderRelay(relayCtx, boot, &p.remote, toLeader, p.term.Load, clock, zerolog.Nop()))
	}
	p.startRelay("first")
	p.sender = p.newSender()
	p.session.Store(p.sender)
	go p.sender.run(ctx)
	return p
}

// newSender returns the sender of a new session of the leader.
func (p *relayPair) newSender() *relayedSender {
	toRelay := func(_ string, m *jobpb.RelayMessage) {
		if !p.cut.Load() {
			time.AfterFunc(time.Duration(p.delay.Load())+time.Millisecond, func() { p.relay.Load().handle("leader", m) })
		}
	}
	sender := newRelayedSender(1, &p.numbers, &p.direct, toRelay, func() []string { return []string{"relay"} },
		func() bool { return !p.paused.Load() }, replica.SystemClock(), zerolog.Nop())
	sender.enable(true)
	return sender
}

func runRelayTest(t *testing.T, test func(ctx context.Context, is *is.I, p *relayPair)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := newRelayPair(ctx)
		time.Sleep(100 * time.Millisecond) // for the first probe
		test(ctx, is.New(t), p)
		cancel()
		time.Sleep(5 * time.Second) // until all delayed messages have arrived
	})
}

func (p *relayPair) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := p.sender.Start(ctx, orders.Target{ID: "w", Address: "a"}, orders.StartOrder{Task: &jobpb.TaskRef{Job: "j"}, Run: 1, DeadlineMs: 77, Fence: 4})
	return err
}

// Guards against orders and answers that change on their way through a relay.
func TestOrdersGoThroughTheRelay(t *testing.T) {
	runRelayTest(t, func(ctx context.Context, is *is.I, p *relayPair) {
		is.NoErr(p.start(ctx))
		is.Equal(p.remote.started(), 1)
		is.Equal(p.direct.started(), 0)
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		to := orders.Target{ID: "w", Address: "a"}
		list, err := p.sender.Hold(callCtx, to, orders.HoldOrder{WaitMs: 500, Fence: 4})
		is.NoErr(err)
		want, _ := p.remote.Hold(callCtx, to, orders.HoldOrder{})
		is.Equal(list, want)
		clockMs, err := p.sender.Pace(callCtx, to, orders.RunOrder{Task: &jobpb.TaskRef{Job: "j"}, Percent: 30})
		is.NoErr(err)
		is.Equal(clockMs, int64(30))
		p.remote.err = &orders.RefusedError{Reason: orders.RefusedFence, ClockMs: 12}
		var refused *orders.RefusedError
		is.True(errors.As(p.start(ctx), &refused))
		is.Equal(*refused, orders.RefusedError{Reason: orders.RefusedFence, ClockMs: 12})
		p.remote.err = &orders.NotSentError{Err: errors.New("no connection")}
		is.True(orders.NeverCarriedOut(p.start(ctx)))
		is.True(!orders.OtherProcess(p.start(ctx)))
		p.remote.err = &orders.RefusedError{Reason: orders.RefusedOtherProcess}
		is.True(orders.OtherProcess(p.start(ctx)))
	})
}

// Guards against an order with a lost outcome that counts as never carried out, against
// a worker that is held silent because of its relay, and against orders that wait while
// a relay is lost.
func TestLostRelay(t *testing.T) {
	runRelayTest(t, func(ctx context.Context, is *is.I, p *relayPair) {
		p.cut.Store(true)
		var lost *orders.RelayError
		err := p.start(ctx)
		is.True(errors.As(err, &lost))
		is.True(!orders.NeverCarriedOut(err))
		is.NoErr(p.start(ctx)) // the leader sends it itself
		is.Equal(p.direct.started(), 1)
		p.cut.Store(false)
		time.Sleep(2 * time.Second)
		is.NoErr(p.start(ctx))
		is.Equal(p.direct.started(), 1)
	})
}

// Guards against a relay that was suspended, or cut off from the leader, and then sends
// orders that the leader has given up.
func TestDelayedOrderIsNotRelayed(t *testing.T) {
	runRelayTest(t, func(ctx context.Context, is *is.I, p *relayPair) {
		p.delay.Store(int64(3 * time.Second))
		is.True(p.start(ctx) != nil)
		time.Sleep(5 * time.Second)
		is.Equal(p.remote.started(), 0)
	})
}

// Guards against an order that the next process of a relay sends although the leader has
// given it up: the process can't tell how long the first message that it gets, or a few in a
// row, have waited for it.
func TestOrderForAnEarlierProcessIsNotRelayed(t *testing.T) {
	runRelayTest(t, func(ctx context.Context, is *is.I, p *relayPair) {
		p.delay.Store(int64(3 * time.Second)) // until the leader has a connection to the next process
		p.endRelay()
		p.startRelay("second")
		results := make(chan error, 2)
		for range 2 {
			go func() { results <- p.start(ctx) }()
			time.Sleep(10 * time.Millisecond)
		}
		var lost *orders.RelayError
		is.True(errors.As(<-results, &lost))
		is.True(errors.As(<-results, &lost))
		time.Sleep(3500 * time.Millisecond) // until the orders have arrived
		p.delay.Store(0)
		time.Sleep(5 * time.Second)
		is.Equal(p.remote.started(), 0)
		is.NoErr(p.start(ctx))
		is.Equal(p.remote.started(), 1)
	})
}

// Guards against orders to a relay's process that has confirmed no probe of this leader: it
// would count how long messages take from one that was late itself.
func TestRestartedRelayIsProbedFirst(t *testing.T) {
	runRelayTest(t, func(ctx context.Context, is *is.I, p *relayPair) {
		is.NoErr(p.start(ctx))
		p.startRelay("second")
		is.True(orders.NeverCarriedOut(p.start(ctx)))
		time.Sleep(100 * time.Millisecond) // for a probe
		is.NoErr(p.start(ctx))
		is.Equal(p.remote.started(), 2)
		is.Equal(p.direct.started(), 0)
	})
}

// Guards against a leader that was suspended between the decision and the sending of an
// order, and sends it although its lease has expired.
func TestOrderIsNotSentAfterTheLeaseExpired(t *testing.T) {
	runRelayTest(t, func(ctx context.Context, is *is.I, p *relayPair) {
		p.paused.Store(true)
		is.True(orders.NeverCarriedOut(p.start(ctx)))
		is.Equal(p.remote.started(), 0)
		is.Equal(p.direct.started(), 0)
	})
}

// Guards against relays in a fleet that the leader can serve itself.
func TestSmallFleetHasNoRelays(t *testing.T) {
	runRelayTest(t, func(ctx context.Context, is *is.I, p *relayPair) {
		p.sender.enable(false)
		is.NoErr(p.start(ctx))
		is.Equal(p.direct.started(), 1)
		is.Equal(p.remote.started(), 0)
		is.Equal(p.sender.senders(), 1)
	})
}

// Guards against orders of two leaders at the same time: a process that knows a newer
// term sends none of an older one.
func TestRelayRejectsAnEndedTerm(t *testing.T) {
	runRelayTest(t, func(ctx context.Context, is *is.I, p *relayPair) {
		p.term.Store(2)
		is.True(p.start(ctx) != nil)
		is.Equal(p.remote.started(), 0)
	})
}

// Guards against an outcome of an order of an earlier session of the same term that counts
// as the outcome of a later session's order: the list of one worker as that of another.
func TestOutcomesOfAnEarlierSessionAreIgnored(t *testing.T) {
	runRelayTest(t, func(ctx context.Context, is *is.I, p *relayPair) {
		earlier, later := p.sender, p.newSender()
		lateAnswer := make(chan struct{})
		p.remote.beforeHold = func(worker string) {
			if worker == "earlier" {
				<-lateAnswer
			}
		}
		earlierCtx, endEarlier := context.WithTimeout(ctx, 2*orderTimeout)
		go func() {
			_, _ = earlier.Hold(earlierCtx, orders.Target{ID: "earlier", Address: "a"}, orders.HoldOrder{})
		}()
		time.Sleep(10 * time.Millisecond)
		endEarlier()
		p.session.Store(later)
		go later.run(ctx)
		time.Sleep(100 * time.Millisecond) // for the first probe
		listed := make(chan *orders.RunList)
		go func() {
			laterCtx, cancel := context.WithTimeout(ctx, 2*orderTimeout)
			defer cancel()
			list, _ := later.Hold(laterCtx, orders.Target{ID: "later", Address: "a"}, orders.HoldOrder{WaitMs: 500})
			listed <- list
		}()
		time.Sleep(10 * time.Millisecond)
		close(lateAnswer)
		list := <-listed
		is.True(list != nil)
		is.Equal(list.Ended[0].Checkpoint, "later") // the worker that listed it
	})
}

// Guards against sound workers that count as silent because their relay was restarted.
func TestHoldAtARestartedRelayIsLost(t *testing.T) {
	runRelayTest(t, func(ctx context.Context, is *is.I, p *relayPair) {
		is.NoErr(p.start(ctx))
		p.startRelay("second")
		callCtx, cancel := context.WithTimeout(ctx, 2*orderTimeout)
		defer cancel()
		_, err := p.sender.Hold(callCtx, orders.Target{ID: "w", Address: "a"}, orders.HoldOrder{})
		var lost *orders.RelayError
		is.True(errors.As(err, &lost))
	})
}

// Guards against a relay that ends and reports the orders that it breaks off, or takes
// meanwhile, as orders that their workers have not answered.
func TestRelayThatEndsReportsNoSilentWorkers(t *testing.T) {
	runRelayTest(t, func(ctx context.Context, is *is.I, p *relayPair) {
		hold := func(wait time.Duration) error {
			callCtx, cancel := context.WithTimeout(ctx, 2*orderTimeout)
			defer cancel()
			_, err := p.sender.Hold(callCtx, orders.Target{ID: "w", Address: "a"}, orders.HoldOrder{WaitMs: wait.Milliseconds()})
			return err
		}
		broken := make(chan error, 1)
		go func() { broken <- hold(time.Second) }()
		time.Sleep(10 * time.Millisecond)
		p.endRelay()
		taken := hold(0)
		for _, err := range []error{taken, <-broken} {
			var lost *orders.RelayError
			is.True(errors.As(err, &lost))
		}
		is.NoErr(hold(0)) // the leader sends it itself
		is.Equal(p.direct.holds, 1)
	})
}

// Guards against a message or an order that ends the process of the relay or of the leader.
func TestRelaySurvivesMalformedMessages(t *testing.T) {
	runRelayTest(t, func(ctx context.Context, is *is.I, p *relayPair) {
		p.relay.Load().handle("leader", &jobpb.RelayMessage{Term: 1, Number: 2, Orders: []*jobpb.WorkerOrder{{}, nil, {Kind: 17, Worker: "w", Address: "a", Task: &jobpb.TaskRef{}, TimeoutMs: 100}}})
		p.sender.handle("relay", &jobpb.RelayMessage{Term: 1, Outcomes: []*jobpb.OrderOutcome{nil, {Number: 99}}})
		p.sender.handle("nobody", &jobpb.RelayMessage{Term: 1, Received: 5})
		is.Equal(decodeRunList(&jobpb.RunList{Running: []*jobpb.ListedRun{{}}}), (*orders.RunList)(nil))
		p.remote.panics = true
		err := p.start(ctx)
		is.True(err != nil)
		is.True(!orders.NeverCarriedOut(err))
		p.remote.panics = false
		is.NoErr(p.start(ctx))
	})
}

// Guards against a message between our own processes that ends one of them.
func FuzzRelayMessage(f *testing.F) {
	order := &jobpb.WorkerOrder{Number: 1, Worker: "w", Address: "a", TimeoutMs: 1, Task: &jobpb.TaskRef{Job: "j"}}
	for _, m := range []*jobpb.RelayMessage{
		{Term: 1, Number: 1, Orders: []*jobpb.WorkerOrder{order, {}}},
		{Term: 1, Received: 1, Outcomes: []*jobpb.OrderOutcome{{Number: 1, List: &jobpb.RunList{Running: []*jobpb.ListedRun{{}}}}}},
		{Contacts: []*jobpb.WorkerContact{{Id: "w"}, {}}},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		randomtest.Add(f, data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		m := &jobpb.RelayMessage{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		p := newRelayPair(ctx)
		p.relay.Load().handle("leader", m)
		p.sender.handle("relay", m)
		for _, outcome := range m.Outcomes {
			_ = outcomeError(outcome)
			_ = decodeRunList(outcome.GetList())
		}
		s := &session{workers: map[string]*workerState{}, c: &Control{o: ControlOptions{Clock: replica.SystemClock()}}}
		s.recordContacts(m.Contacts)
	})
}

// Guards against a worker that counts as heard of just now because of a message that has
// waited since an earlier term of its leader.
func TestContactsOfAnEarlierTermAreIgnored(t *testing.T) {
	is := is.New(t)
	s, _, _ := newReportFixture(t)
	s.c.session, s.term = s, 3
	contacts := []*jobpb.WorkerContact{{Id: "w", BornMs: 1, Sequence: 10}}
	s.c.HandleRelay("c-1", &jobpb.RelayMessage{Term: 2, Contacts: contacts})
	is.Equal(len(s.events), 0)
}
