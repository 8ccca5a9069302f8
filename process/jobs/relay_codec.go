package jobs

import (
	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
)

func encodeStart(to orders.Target, o orders.StartOrder) *jobpb.WorkerOrder {
	return &jobpb.WorkerOrder{Kind: jobpb.WorkerOrder_START, Worker: to.ID, Address: to.Address, Fence: o.Fence, Task: o.Task, Run: o.Run,
		Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket, DeadlineMs: o.DeadlineMs}
}

func encodeRunOrder(kind jobpb.WorkerOrder_Kind, to orders.Target, o orders.RunOrder) *jobpb.WorkerOrder {
	return &jobpb.WorkerOrder{Kind: kind, Worker: to.ID, Address: to.Address, Fence: o.Fence, Task: o.Task, Run: o.Run, Percent: o.Percent}
}

func encodeHold(to orders.Target, o orders.HoldOrder) *jobpb.WorkerOrder {
	return &jobpb.WorkerOrder{Kind: jobpb.WorkerOrder_HOLD, Worker: to.ID, Address: to.Address, Fence: o.Fence,
		DeadlineMs: o.DeadlineMs, LastSeen: o.LastSeen, WaitMs: o.WaitMs}
}

func decodeStart(o *jobpb.WorkerOrder) orders.StartOrder {
	return orders.StartOrder{Task: o.Task, Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket, DeadlineMs: o.DeadlineMs, Fence: o.Fence}
}

func decodeRunOrder(o *jobpb.WorkerOrder) orders.RunOrder {
	return orders.RunOrder{Task: o.Task, Run: o.Run, Percent: o.Percent, Fence: o.Fence}
}

func decodeHold(o *jobpb.WorkerOrder) orders.HoldOrder {
	return orders.HoldOrder{DeadlineMs: o.DeadlineMs, LastSeen: o.LastSeen, WaitMs: o.WaitMs, Fence: o.Fence}
}

// validOrder reports whether an order names all that its kind needs.
func validOrder(o *jobpb.WorkerOrder) bool {
	return o != nil && o.Worker != "" && o.Address != "" && (o.Kind == jobpb.WorkerOrder_HOLD || o.Task != nil)
}

func encodeRunList(l *orders.RunList) *jobpb.RunList {
	list := &jobpb.RunList{ClockMs: l.ClockMs, StartedMs: l.StartedMs, EndsComplete: l.EndsComplete}
	for _, r := range l.Running {
		list.Running = append(list.Running, &jobpb.ListedRun{Task: r.Task, Run: r.Run, Checkpoint: r.Checkpoint, Percent: int32(r.Percent), Load: r.Load})
	}
	for _, e := range l.Ended {
		list.Ended = append(list.Ended, &jobpb.ListedEnd{Number: e.Number, Task: e.Task, Run: e.Run, How: e.How, Checkpoint: e.Checkpoint})
	}
	return list
}

// decodeRunList returns nil for a list that names a run without its task.
func decodeRunList(l *jobpb.RunList) *orders.RunList {
	if l == nil {
		return nil
	}
	list := &orders.RunList{ClockMs: l.ClockMs, StartedMs: l.StartedMs, EndsComplete: l.EndsComplete}
	for _, r := range l.Running {
		if r.GetTask() == nil {
			return nil
		}
		list.Running = append(list.Running, orders.Run{Task: r.Task, Run: r.Run, Checkpoint: r.Checkpoint, Percent: int(r.Percent), Load: r.Load})
	}
	for _, e := range l.Ended {
		if e.GetTask() == nil {
			return nil
		}
		list.Ended = append(list.Ended, orders.EndedRun{Number: e.Number, Task: e.Task, Run: e.Run, How: e.How, Checkpoint: e.Checkpoint})
	}
	return list
}

// encodeOutcome describes the result of an order that a relay has sent.
func encodeOutcome(number uint64, clockMs int64, list *orders.RunList, err error) *jobpb.OrderOutcome {
	outcome := &jobpb.OrderOutcome{Number: number, ClockMs: clockMs}
	var refused *orders.RefusedError
	var notSent *orders.NotSentError
	switch {
	case err == nil && list != nil:
		outcome.List = encodeRunList(list)
	case err == nil:
	case errors.As(err, &refused):
		outcome.Kind, outcome.Reason, outcome.ClockMs = jobpb.OrderOutcome_REFUSED, string(refused.Reason), refused.ClockMs
	case errors.As(err, &notSent):
		outcome.Kind, outcome.Reason = jobpb.OrderOutcome_NOT_SENT, notSent.Err.Error()
	default:
		outcome.Kind, outcome.Reason = jobpb.OrderOutcome_UNKNOWN, err.Error()
	}
	return outcome
}

// outcomeError returns the error that encodeOutcome described, nil for an answer.
func outcomeError(o *jobpb.OrderOutcome) error {
	switch o.Kind {
	case jobpb.OrderOutcome_ANSWERED:
		return nil
	case jobpb.OrderOutcome_REFUSED:
		return &orders.RefusedError{Reason: orders.Reason(o.Reason), ClockMs: o.ClockMs}
	case jobpb.OrderOutcome_NOT_SENT:
		return &orders.NotSentError{Err: errors.New(o.Reason)}
	}
	return errors.New(o.Reason)
}
