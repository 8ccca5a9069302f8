package evidence

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/orders"
)

// Guards against a run that is taken for ended because a list lacks it, although the list
// may be cut off, older than the run, or overtaken by the run's order.
func TestAbsenceFromAListProvesTooLittle(t *testing.T) {
	whole := List{Complete: true, Fence: 12, FirstFence: 10, RequestedAt: 5 * time.Second}
	for name, c := range map[string]struct {
		order Order
		list  func(*List)
		want  Kind
	}{
		"ordered before the process was tracked": {want: Superseded},
		"the same, with a list of an earlier fence": {
			list: func(l *List) { l.Fence = 9 }},
		"order under a lower fence":          {order: Order{Tracked: true, Fence: 11}, want: Superseded},
		"order under the same fence":         {order: Order{Tracked: true, Fence: 12}},
		"order under a later fence":          {order: Order{Tracked: true, Fence: 13}},
		"start confirmed before the request": {order: Order{Tracked: true, Fence: 12, StartConfirmedAt: 4 * time.Second}, want: StartSettled},
		"start confirmed after the request":  {order: Order{Tracked: true, Fence: 12, StartConfirmedAt: 6 * time.Second}},
		"stop confirmed before the request":  {order: Order{Tracked: true, Fence: 12, StopConfirmedAt: 4 * time.Second}, want: StopSettled},
		"stop confirmed after the request":   {order: Order{Tracked: true, Fence: 12, StopConfirmedAt: 6 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := whole
			if c.list != nil {
				c.list(&l)
			}
			is.Equal(FromList(c.order, l), c.want)
			l.Complete = false
			is.Equal(FromList(c.order, l), None) // the rest of the list may name the run
		})
	}
}

// Guards against a process that is taken for ended because it said that it would exit, or
// because it is silent, while its runs may be at work; and against waiting for ever.
func TestAnnouncementAndSilenceProveNoEnd(t *testing.T) {
	const now = 20 * time.Second
	running := Process{Placed: 3, LeasesExpireBy: now + time.Second, MaxSilence: 4 * time.Second, AnnouncedFor: 10 * time.Second}
	for name, c := range map[string]struct {
		change func(*Process)
		want   Kind
	}{
		"nothing happened":          {change: func(*Process) {}},
		"announced":                 {change: func(p *Process) { p.ExitAnnounced = true }},
		"announced, address reused": {change: func(p *Process) { p.ExitAnnounced, p.AddressReused = true, true }, want: AddressReused},
		"address reused alone":      {change: func(p *Process) { p.AddressReused = true }},
		"announced and lapsed":      {change: func(p *Process) { p.ExitAnnounced, p.LeasesExpireBy = true, now-1 }, want: LeasesLapsed},
		"announced without runs":    {change: func(p *Process) { p.ExitAnnounced, p.Placed = true, 0 }, want: NoRuns},
		"silent":                    {change: func(p *Process) { p.SilentFor = time.Minute }},
		"silent and lapsed":         {change: func(p *Process) { p.SilentFor, p.LeasesExpireBy = time.Minute, now-1 }, want: LeasesLapsed},
		"lapsed but in contact":     {change: func(p *Process) { p.LeasesExpireBy = now - 1 }},
		"listed as ended":           {change: func(p *Process) { p.ListedAsEnded = true }, want: MachineEnded},
		"just announced, no runs":   {change: func(p *Process) { p.ExitAnnounced, p.Placed, p.AnnouncedFor = true, 0, time.Millisecond }},
		"without runs, not silent":  {change: func(p *Process) { p.Placed = 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			p := running
			c.change(&p)
			is.New(t).Equal(FromProcess(p, now), c.want)
		})
	}
}

// Guards against the end of a process that frees a run which a later process under its id has
// begun: the end proves that only for runs whose starts the process has itself received.
func TestEndOfAProcessProvesNothingOfALaterOne(t *testing.T) {
	const now = 20 * time.Second
	const ended = 10 * time.Second // when the sender of the start stopped waiting
	for name, c := range map[string]struct {
		proof Kind
		start Start
		later Later
		want  Kind
	}{
		"no end":                                 {start: Start{Received: true}},
		"received, listed":                       {proof: MachineEnded, start: Start{Received: true}, want: MachineEnded},
		"received, lapsed":                       {proof: LeasesLapsed, start: Start{Received: true}, want: LeasesLapsed},
		"open":                                   {proof: MachineEnded, start: Start{Open: true}, later: Later{AbsentAt: now}},
		"listed before the start ended":          {proof: MachineEnded, start: Start{EndedAt: ended}, later: Later{AbsentAt: ended - 1, LeasesUntil: now}},
		"listed by a list that may lag":          {proof: MachineEnded, start: Start{EndedAt: ended}, later: Later{AbsentAt: ended + ListLag - 1, LeasesUntil: now}},
		"listed after the start ended":           {proof: MachineEnded, start: Start{EndedAt: ended}, later: Later{AbsentAt: ended + ListLag, LeasesUntil: now}, want: MachineEnded},
		"address reused":                         {proof: AddressReused, start: Start{EndedAt: ended}, later: Later{LeasesUntil: now}},
		"lapsed, a later one may be at work":     {proof: LeasesLapsed, start: Start{EndedAt: ended}, later: Later{LeasesUntil: now}},
		"lapsed, also those of a later one":      {proof: LeasesLapsed, start: Start{EndedAt: ended}, later: Later{LeasesUntil: now - 1}, want: LeasesLapsed},
		"address reused, a later one has lapsed": {proof: AddressReused, start: Start{EndedAt: ended}, later: Later{LeasesUntil: now - 1}, want: LeasesLapsed},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(FromEnd(c.proof, c.start, c.later, now), c.want)
		})
	}
}

// Guards against a run that is taken for never begun because its start has no answer.
func TestStartWithoutAnswerProvesNothing(t *testing.T) {
	is := is.New(t)
	is.Equal(FromAnswer(nil), None)
	is.Equal(FromAnswer(context.DeadlineExceeded), None)
	is.Equal(FromAnswer(&orders.RelayError{Relay: "r", Err: context.Canceled}), None)
	is.Equal(FromAnswer(&orders.RefusedError{Reason: orders.RefusedCapacity}), NotCarriedOut)
	is.Equal(FromAnswer(&orders.NotSentError{Err: context.Canceled}), NotCarriedOut)
}
