package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wire"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// contactInterval is the time between two messages with which a process tells the leader
// which workers have reported to it.
const contactInterval = 250 * time.Millisecond

// retainedContact is the latest report without a change of a worker that this process has
// confirmed.
type retainedContact struct {
	contact *jobpb.WorkerContact
	at      time.Duration // when it arrived
	told    bool          // the leader has been told of it
}

// reportCollector holds the latest reports without a change that this process has
// confirmed, so that the leader, and the next one, learn of them.
type reportCollector struct {
	mu       sync.Mutex
	contacts map[string]*retainedContact // by worker id
}

func newReportCollector() *reportCollector {
	return &reportCollector{contacts: map[string]*retainedContact{}}
}

func (c *reportCollector) add(now time.Duration, contact *jobpb.WorkerContact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.contacts[contact.Id]
	if known == nil || contact.BornMs > known.contact.BornMs || contact.BornMs == known.contact.BornMs && contact.Sequence >= known.contact.Sequence {
		c.contacts[contact.Id] = &retainedContact{contact: contact, at: now}
	}
}

// take returns the reports that the leader has not been told of; a new leader is told of
// all that are not older than maxAge. It forgets those that are. Reports that have waited
// for longer than usual tell their age.
func (c *reportCollector) take(now, maxAge time.Duration, newLeader bool) []*jobpb.WorkerContact {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*jobpb.WorkerContact
	for id, r := range c.contacts {
		age := now - r.at
		switch {
		case age > maxAge:
			delete(c.contacts, id)
		case r.told && !newLeader:
		case r.told || age > 2*contactInterval:
			r.told = true
			list = append(list, r.aged(age))
		default:
			r.told = true
			list = append(list, r.contact)
		}
	}
	return list
}

// aged returns the report with its age.
func (r *retainedContact) aged(age time.Duration) *jobpb.WorkerContact {
	contact := proto.Clone(r.contact).(*jobpb.WorkerContact)
	contact.AgeMs = max(1, age.Milliseconds())
	return contact
}

// reportToLeader handles a report at a process that does not lead. Without a leader it
// confirms nothing: the worker then reports to another process.
func (c *Control) reportToLeader(ctx context.Context, r Report) error {
	leader := c.group.Status().Leader
	if leader == "" || leader == c.o.Name {
		return &UnavailableError{Reason: "no leader is known"}
	}
	if registered, same := c.reportsNoChange(r); same {
		c.reports.add(c.o.Clock.Now(), &jobpb.WorkerContact{Id: r.Worker.Id, BornMs: r.Worker.BornMs, Sequence: r.Sequence, ClockMs: r.ClockMs,
			Registered: registered})
		return nil
	}
	request := &jobpb.Request{Kind: jobpb.Request_REPORT, Report: &jobpb.WorkerReport{Worker: r.Worker, Sequence: r.Sequence, ClockMs: r.ClockMs}}
	resp, err := callJobs(ctx, c.pool, leader, request)
	var notSent *wire.NotSentError
	switch {
	case errors.As(err, &notSent):
		return &UnavailableError{Reason: "the leader cannot be reached"}
	case err != nil:
		return &UnavailableError{Reason: "the leader did not confirm the report"}
	case resp.Outcome != jobpb.Response_OK:
		return &UnavailableError{Reason: "the leader did not accept the report: " + resp.Reason}
	}
	return nil
}

// reportsNoChange reports whether the applied state has a worker as it reports itself, and
// the number of the report that registered it so.
func (c *Control) reportsNoChange(r Report) (registered uint64, same bool) {
	c.viewStore(func(st *state.Store) {
		known := st.Workers()[r.Worker.Id]
		same = known != nil && known.BornMs == r.Worker.BornMs && sameWorker(known, r.Worker)
		registered = known.GetSequence()
	})
	return registered, same
}

// forwardContacts tells the leader which workers have reported to this process.
func (c *Control) forwardContacts() {
	ticks, stop := c.o.Clock.Ticks(contactInterval)
	defer stop()
	toldTerm := uint64(0)
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticks:
		}
		status := c.group.Status()
		if status.Leader == "" || status.Leader == c.o.Name {
			continue
		}
		contacts := c.reports.take(c.o.Clock.Now(), reportTimeout(c.o.Bounds), status.Term != toldTerm)
		toldTerm = status.Term
		if len(contacts) == 0 {
			continue
		}
		c.pool.SendRelay(status.Leader, &jobpb.RelayMessage{Term: status.Term, Contacts: contacts})
	}
}

// recordContacts records the reports that other processes have confirmed.
func (s *session) recordContacts(contacts []*jobpb.WorkerContact) {
	now := s.now()
	for _, contact := range contacts {
		w := s.workers[contact.GetId()]
		if w == nil || w.info.BornMs != contact.BornMs || contact.Sequence < w.sequence {
			continue
		}
		age := time.Duration(max(0, contact.AgeMs)) * time.Millisecond
		if contact.Registered > 0 && contact.Registered < w.info.Sequence {
			// The process that confirmed the report does not know the worker's last change.
			if age == 0 {
				w.track.SampleClock(now, contact.ClockMs)
			}
			continue
		}
		w.sequence = contact.Sequence
		w.setReported(now-age, contact.ClockMs)
		if age == 0 {
			w.track.SampleClock(now, contact.ClockMs)
			s.withdrawExit(w, now, Report{Worker: w.info, Sequence: contact.Sequence, ClockMs: contact.ClockMs})
		}
	}
}

// handleForwardedReport handles a report that another process has received.
func (s *session) handleForwardedReport(ctx context.Context, r *jobpb.WorkerReport) *jobpb.Response {
	if r.GetWorker().GetId() == "" {
		return &jobpb.Response{Outcome: jobpb.Response_INVALID, Reason: "the report names no worker"}
	}
	if err := s.handleReport(ctx, Report{Worker: r.Worker, Sequence: r.Sequence, ClockMs: r.ClockMs}); err != nil {
		return &jobpb.Response{Outcome: jobpb.Response_NOT_READY, Reason: err.Error()}
	}
	return &jobpb.Response{}
}
