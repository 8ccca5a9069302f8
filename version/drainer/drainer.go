// Package drainer computes the next steps of hosts that drain, move or are in
// maintenance. It is a pure function of the observed state, so a new leader without
// any local state computes the same steps. The host's epoch and state fence each
// step: the fleet refuses a step that has already been applied.
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

// Entry is the control leader's state of one boot of an entry.
type Entry struct {
	Name         string
	BootID       string
	AckedVersion uint64
	LeaseExpired bool // the entry may no longer send work
	// InFlight counts the requests to the hosts that are draining in AckedVersion.
	// A missing host has none.
	InFlight map[string]uint32
}

// Input is the observed state.
type Input struct {
	Fleet   FleetView
	Entries []Entry
	// WorkerUp reports whether the platform has reported a host's worker as up
	// since the host was taken out or failed.
	WorkerUp func(host string) bool
	NowMs    int64
	// DrainDeadline is how long a host may drain before its unfinished tasks
	// are asked to checkpoint or move. Tasks that are not declared to end by
	// then are asked at once.
	DrainDeadline time.Duration
	// ReturnDeadline is how long a host may be out before it counts as failed.
	// 0 means no limit.
	ReturnDeadline time.Duration
}

// TaskRequest asks the platform to checkpoint a task, or to move it if it
// cannot be checkpointed. It never stops the task.
type TaskRequest struct {
	Task    string
	Host    string
	Attempt uint64
}

// Waiting is the reason why a host has no next step yet.
type Waiting struct {
	Host   string
	Reason Reason
	Detail string // the first entry or task waited for
	// Overdue is set past the drain deadline.
	Overdue bool
}

// Reason is the reason why a host waits.
type Reason string

// Reasons for which a host waits.
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

// Output holds the next steps and requests, and the hosts that wait.
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
		in.decideHost(h, &out)
	}
	return out
}

func (in *Input) decideHost(h *fleetpb.Host, out *Output) {
	switch h.State {
	case fleetpb.HostState_HOST_STATE_DRAINING:
		in.stepDraining(h, out)
	case fleetpb.HostState_HOST_STATE_RELEASED:
		in.stepReleased(h, out)
	case fleetpb.HostState_HOST_STATE_OUT:
		in.stepOut(h, out)
	case fleetpb.HostState_HOST_STATE_FAILED:
		in.stepFailed(h, out)
	default:
		out.addWaiting(h, ReasonUnknownState, "", false)
	}
}

// stepDraining releases a host that has no requests or tasks left. Tasks that would
// run past the deadline are asked to checkpoint or move at once, and all tasks are
// asked after the deadline. Neither tasks nor requests in flight are interrupted.
func (in *Input) stepDraining(h *fleetpb.Host, out *Output) {
	overdue := in.DrainDeadline > 0 && in.timeInState(h) >= in.DrainDeadline
	waiting := false
	if reason, entry := in.blockingEntry(h); reason != "" {
		out.addWaiting(h, reason, entry, overdue)
		waiting = true
	}
	for t := range in.Fleet.UnfinishedTasks(h.Name) {
		if !waiting {
			out.addWaiting(h, ReasonTasks, t.Name, overdue)
			waiting = true
		}
		if (overdue || in.outlivesDeadline(h, t)) && t.State != fleetpb.TaskState_TASK_STATE_CHECKPOINTING {
			out.Tasks = append(out.Tasks, TaskRequest{Task: t.Name, Host: h.Name, Attempt: t.Attempt})
		}
	}
	if !waiting {
		out.addStep(h, fleetpb.HostStep_KIND_RELEASE)
	}
}

// outlivesDeadline reports whether a task has no declared end before the host's drain
// deadline. Without a deadline, every task may run to its end.
func (in *Input) outlivesDeadline(h *fleetpb.Host, t *fleetpb.Task) bool {
	if in.DrainDeadline <= 0 {
		return false
	}
	run := in.Fleet.Job(t.Job).GetRunSeconds()
	end := t.StateSinceUnixMs + int64(run)*time.Second.Milliseconds()
	return run == 0 || end > h.StateSinceUnixMs+in.DrainDeadline.Milliseconds()
}

// blockingEntry returns why a draining host cannot be released: every entry
// must have acknowledged the drain and report nothing in flight, or its lease
// must have expired. In-flight counts from before the acknowledgement do not cover
// the host, so they are ignored.
func (in *Input) blockingEntry(h *fleetpb.Host) (Reason, string) {
	if len(in.Entries) == 0 {
		return ReasonNoEntries, ""
	}
	for _, e := range in.Entries {
		if e.LeaseExpired {
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

func (in *Input) stepReleased(h *fleetpb.Host, out *Output) {
	switch {
	case h.Wave != "":
		out.addStep(h, fleetpb.HostStep_KIND_OUT)
	case h.MoveTo != "":
		out.addStep(h, fleetpb.HostStep_KIND_ASSIGN)
	default:
		out.addWaiting(h, ReasonNoTarget, "", false)
	}
}

func (in *Input) stepOut(h *fleetpb.Host, out *Output) {
	overdue := in.ReturnDeadline > 0 && in.timeInState(h) >= in.ReturnDeadline
	switch {
	case in.workerUp(h.Name):
		out.addStep(h, fleetpb.HostStep_KIND_RETURN)
	case overdue:
		out.addStep(h, fleetpb.HostStep_KIND_FAIL)
	default:
		out.addWaiting(h, ReasonWorkerDown, "", false)
	}
}

func (in *Input) stepFailed(h *fleetpb.Host, out *Output) {
	if in.workerUp(h.Name) {
		out.addStep(h, fleetpb.HostStep_KIND_RECOVER)
		return
	}
	out.addWaiting(h, ReasonHostFailed, "", false)
}

func (in *Input) workerUp(host string) bool {
	return in.WorkerUp != nil && in.WorkerUp(host)
}

func (in *Input) timeInState(h *fleetpb.Host) time.Duration {
	return time.Duration(in.NowMs-h.StateSinceUnixMs) * time.Millisecond
}

func (o *Output) addStep(h *fleetpb.Host, kind fleetpb.HostStep_Kind) {
	o.Steps = append(o.Steps, &fleetpb.HostStep{
		Host:          h.Name,
		Kind:          kind,
		ExpectedEpoch: h.Epoch,
		ExpectedState: h.State,
		MoveTo:        h.MoveTo,
		Wave:          h.Wave,
	})
}

func (o *Output) addWaiting(h *fleetpb.Host, reason Reason, detail string, overdue bool) {
	o.Waiting = append(o.Waiting, Waiting{Host: h.Name, Reason: reason, Detail: detail, Overdue: overdue})
}
