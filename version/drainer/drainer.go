// Package drainer decides the next steps of hosts that drain, move or are in
// maintenance. It is a pure function of observed state, so a new leader that
// has kept nothing decides the same: a step is fenced by the host's epoch and
// state, and taking it twice is refused by the fleet.
package drainer

import (
	"iter"
	"time"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// FleetView is the part of the fleet that the drainer reads. *fleet.Fleet
// implements it.
type FleetView interface {
	// Inactive iterates the hosts in any state but active, in name order.
	Inactive() iter.Seq[*fleetpb.Host]
	// UnfinishedTasks iterates the placed, running and checkpointing tasks of a
	// host in name order.
	UnfinishedTasks(host string) iter.Seq[*fleetpb.Task]
	// Job returns a job, or nil.
	Job(name string) *fleetpb.Job
}

// Entry is what the control leader knows of one boot of an entry.
type Entry struct {
	Name         string
	BootID       string
	AckedVersion uint64
	LeaseOver    bool // the entry may send no work any more
	// InFlight counts requests to the hosts that drain in AckedVersion. A host
	// that is missing has none.
	InFlight map[string]uint32
}

// Input is the observed state.
type Input struct {
	Fleet   FleetView
	Entries []Entry
	// WorkerUp tells that the platform reports a host's worker as up since the
	// host was taken out or failed.
	WorkerUp func(host string) bool
	NowMs    int64
	// DrainDeadline is how long a host may drain before its unfinished tasks
	// are asked to checkpoint or move. Tasks that are not declared to end by
	// then are asked at once.
	DrainDeadline time.Duration
	// ReturnDeadline is how long a host may be out before it counts as failed.
	// 0: without limit.
	ReturnDeadline time.Duration
}

// TaskRequest asks the platform to checkpoint a task, or to move it if it
// cannot be checkpointed. It never stops the task.
type TaskRequest struct {
	Task    string
	Host    string
	Attempt uint64
}

// Waiting says why a host takes no step yet.
type Waiting struct {
	Host   string
	Reason Reason
	Detail string // the first entry or task waited for
	// Overdue is set past the drain deadline.
	Overdue bool
}

// Reason is a cause to wait.
type Reason string

// Causes to wait.
const (
	ReasonNoEntries    Reason = "no entry session is known"
	ReasonAcknowledge  Reason = "an entry has not acknowledged the drain"
	ReasonInFlight     Reason = "an entry has requests in flight"
	ReasonTasks        Reason = "a task is unfinished"
	ReasonWorkerDown   Reason = "the worker is not back"
	ReasonHostFailed   Reason = "the host has failed"
	ReasonNoTarget     Reason = "the released host has neither a wave nor a pool to move to"
	ReasonUnknownState Reason = "the host's state is unknown"
)

// Output is what to do next.
type Output struct {
	Steps   []*fleetpb.HostStep // at most one for each host
	Tasks   []TaskRequest
	Waiting []Waiting
}

// Next returns the next step of every inactive host that can take one. Each
// host's steps follow from its state alone, so Next may be called again at any
// point, before or after its earlier steps have been applied.
func Next(in Input) Output {
	var out Output
	for h := range in.Fleet.Inactive() {
		in.nextOf(h, &out)
	}
	return out
}

func (in *Input) nextOf(h *fleetpb.Host, out *Output) {
	switch h.State {
	case fleetpb.HostState_HOST_STATE_DRAINING:
		in.draining(h, out)
	case fleetpb.HostState_HOST_STATE_RELEASED:
		in.released(h, out)
	case fleetpb.HostState_HOST_STATE_OUT:
		in.outOfService(h, out)
	case fleetpb.HostState_HOST_STATE_FAILED:
		in.failed(h, out)
	default:
		out.wait(h, ReasonUnknownState, "", false)
	}
}

// draining releases a host that carries nothing any more. Tasks that would
// outlive the deadline are asked to checkpoint or move at once, and past the
// deadline all are; neither they nor requests in flight are ever interrupted.
func (in *Input) draining(h *fleetpb.Host, out *Output) {
	overdue := in.DrainDeadline > 0 && in.inState(h) >= in.DrainDeadline
	waiting := false
	if reason, entry := in.entriesWaitedFor(h); reason != "" {
		out.wait(h, reason, entry, overdue)
		waiting = true
	}
	for t := range in.Fleet.UnfinishedTasks(h.Name) {
		if !waiting {
			out.wait(h, ReasonTasks, t.Name, overdue)
			waiting = true
		}
		if (overdue || in.outlives(h, t)) && t.State != fleetpb.TaskState_TASK_STATE_CHECKPOINTING {
			out.Tasks = append(out.Tasks, TaskRequest{Task: t.Name, Host: h.Name, Attempt: t.Attempt})
		}
	}
	if !waiting {
		out.step(h, fleetpb.HostStep_KIND_RELEASE)
	}
}

// outlives reports whether a task has no declared end before the host's drain
// deadline. Without a deadline every task may end by itself.
func (in *Input) outlives(h *fleetpb.Host, t *fleetpb.Task) bool {
	if in.DrainDeadline <= 0 {
		return false
	}
	run := in.Fleet.Job(t.Job).GetRunSeconds()
	end := t.StateSinceUnixMs + int64(run)*time.Second.Milliseconds()
	return run == 0 || end > h.StateSinceUnixMs+in.DrainDeadline.Milliseconds()
}

// entriesWaitedFor returns why a draining host cannot be released: every entry
// must have acknowledged the drain and report nothing in flight, or its lease
// must be over. In-flight counts from before the acknowledgement do not cover
// the host, so they are not looked at.
func (in *Input) entriesWaitedFor(h *fleetpb.Host) (Reason, string) {
	if len(in.Entries) == 0 {
		return ReasonNoEntries, ""
	}
	for _, e := range in.Entries {
		if e.LeaseOver {
			continue
		}
		if e.AckedVersion < h.DrainVersion {
			return ReasonAcknowledge, e.Name
		}
		if e.InFlight[h.Name] > 0 {
			return ReasonInFlight, e.Name
		}
	}
	return "", ""
}

func (in *Input) released(h *fleetpb.Host, out *Output) {
	switch {
	case h.Wave != "":
		out.step(h, fleetpb.HostStep_KIND_OUT)
	case h.MoveTo != "":
		out.step(h, fleetpb.HostStep_KIND_ASSIGN)
	default:
		out.wait(h, ReasonNoTarget, "", false)
	}
}

func (in *Input) outOfService(h *fleetpb.Host, out *Output) {
	overdue := in.ReturnDeadline > 0 && in.inState(h) >= in.ReturnDeadline
	switch {
	case in.workerUp(h.Name):
		out.step(h, fleetpb.HostStep_KIND_RETURN)
	case overdue:
		out.step(h, fleetpb.HostStep_KIND_FAIL)
	default:
		out.wait(h, ReasonWorkerDown, "", false)
	}
}

func (in *Input) failed(h *fleetpb.Host, out *Output) {
	if in.workerUp(h.Name) {
		out.step(h, fleetpb.HostStep_KIND_RECOVER)
		return
	}
	out.wait(h, ReasonHostFailed, "", false)
}

func (in *Input) workerUp(host string) bool {
	return in.WorkerUp != nil && in.WorkerUp(host)
}

func (in *Input) inState(h *fleetpb.Host) time.Duration {
	return time.Duration(in.NowMs-h.StateSinceUnixMs) * time.Millisecond
}

func (o *Output) step(h *fleetpb.Host, kind fleetpb.HostStep_Kind) {
	o.Steps = append(o.Steps, &fleetpb.HostStep{
		Host:          h.Name,
		Kind:          kind,
		ExpectedEpoch: h.Epoch,
		ExpectedState: h.State,
		MoveTo:        h.MoveTo,
		Wave:          h.Wave,
	})
}

func (o *Output) wait(h *fleetpb.Host, reason Reason, detail string, overdue bool) {
	o.Waiting = append(o.Waiting, Waiting{Host: h.Name, Reason: reason, Detail: detail, Overdue: overdue})
}
