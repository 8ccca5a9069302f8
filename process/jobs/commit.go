package jobs

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/schedule"
	"marjoramtiller.example/marjoramtiller/process/replica"
	"marjoramtiller.example/marjoramtiller/process/storage"
)

// Limits of commits.
const (
	commitTimeout   = 4 * time.Second // after which the outcome of a commit counts as unknown
	maxBatchEntries = 2048
	maxBatchBytes   = storage.MaxEntryBytes
	maxStartBytes   = 1 << 10 // of one encoded start; worker ids are far shorter
	// spaceLogInterval is the time between two log lines about changes that wait for space.
	spaceLogInterval = time.Second
)

// add puts a change into the next log entry. onResult is called on the session's
// goroutine once the outcome is known; it may be nil.
func (s *session) add(e *jobpb.Entry, onResult func(applied bool, err error)) {
	s.batch = append(s.batch, e)
	s.batchBytes += batchSize(e)
	s.waiters = append(s.waiters, onResult)
}

// batchSize returns the bytes that a change takes in a log entry.
func batchSize(e *jobpb.Entry) int { return proto.Size(&jobpb.Command{Entries: []*jobpb.Entry{e}}) }

// batchHoldsPlan reports whether all starts of a plan fit into the next log entry: a later
// plan would not see those left over.
func (s *session) batchHoldsPlan() bool {
	return len(s.batch)+schedule.MaxStartsPerPlan <= maxBatchEntries && s.batchBytes+schedule.MaxStartsPerPlan*maxStartBytes <= maxBatchBytes
}

// commit proposes the collected changes that fit into one log entry.
func (s *session) commit() {
	data, waiters := s.nextBatch()
	if len(data) == 0 {
		return
	}
	s.inFlight = true
	sent := s.now()
	s.proposing.Add(1)
	go func() {
		defer s.proposing.Done()
		ctx, cancel := context.WithTimeout(s.ctx, commitTimeout)
		defer cancel()
		result, err := s.c.group.Propose(ctx, data)
		s.post(func() {
			s.inFlight, s.dirty = false, true
			s.c.metrics.commitSeconds.Observe((s.now() - sent).Seconds())
			s.notifyWaiters(waiters, result, err)
		})
	}()
}

// settleProposals waits until every change that earlier sessions of this term have proposed
// is applied or lost. Otherwise one could be applied after a new session has begun, which
// decides without it: the entry that is proposed here follows them in the log.
func (c *Control) settleProposals(ctx context.Context) error {
	data, err := proto.Marshal(&jobpb.Command{Entries: []*jobpb.Entry{{}}})
	if err != nil {
		return err
	}
	_, err = c.group.Propose(ctx, data)
	return err
}

// nextBatch removes the next changes that fit into one log entry from the batch, in their
// order, and returns them encoded. A change that no entry can hold fails alone, and so does
// a large one that the log has no space for until its next snapshot. Small changes wait for
// that snapshot.
func (s *session) nextBatch() (data []byte, waiters []func(bool, error)) {
	disk := s.c.group.Status().Disk
	for len(s.batch) > 0 && len(waiters) < maxBatchEntries {
		e, onResult := s.batch[0], s.waiters[0]
		// Encoded messages of one type that follow each other decode as one message with
		// the elements of all their repeated fields.
		encoded, err := proto.Marshal(&jobpb.Command{Entries: []*jobpb.Entry{e}})
		if err == nil && len(encoded) > maxBatchBytes {
			err = &storage.TooLargeError{Size: len(encoded), Limit: maxBatchBytes}
		}
		if err == nil && disk.IsLargeCommand(len(encoded)) {
			err = disk.CheckCommand(len(encoded))
		}
		if err == nil && len(data)+len(encoded) > maxBatchBytes {
			break
		}
		if err == nil {
			if full := disk.CheckTotal(len(data) + len(encoded)); full != nil {
				s.logWaitForSpace(full)
				break
			}
		}
		s.batch, s.waiters = s.batch[1:], s.waiters[1:]
		s.batchBytes -= batchSize(e)
		if err != nil {
			s.rejectChange(e, onResult, err)
			continue
		}
		data = append(data, encoded...)
		waiters = append(waiters, onResult)
	}
	return data, waiters
}

// rejectChange fails a change that can't be stored. It was not proposed, so the session
// goes on.
func (s *session) rejectChange(e *jobpb.Entry, onResult func(bool, error), err error) {
	err = s.refuseChange(e, err)
	if onResult != nil {
		onResult(false, err)
	}
}

// refuseChange logs and counts a change that can't be stored. It returns the error for the
// change's sender: a DiskBudgetError if the change may be sent again later, else an
// UnstorableError.
func (s *session) refuseChange(e *jobpb.Entry, err error) error {
	var overBudget *replica.DiskBudgetError
	if errors.As(err, &overBudget) {
		s.log.Warn().Err(err).Type("change", e.GetChange()).Int("bytes", batchSize(e)).Msg("change refused: the log has no space for it until its next snapshot")
		s.c.metrics.changesOverBudget.Inc()
		return err
	}
	s.log.Error().Err(err).Type("change", e.GetChange()).Int("bytes", batchSize(e)).Msg("change rejected: the log can't hold it")
	s.c.metrics.changesRejected.Inc()
	return &UnstorableError{Err: err}
}

// logWaitForSpace logs, at most once per spaceLogInterval, that changes wait for a snapshot.
func (s *session) logWaitForSpace(err error) {
	if now := s.now(); now >= s.nextSpaceLog {
		s.nextSpaceLog = now + spaceLogInterval
		s.log.Warn().Err(err).Int("changes", len(s.batch)).Msg("changes wait: the log has no space for them until its next snapshot")
	}
}

// notifyWaiters calls the callbacks of a log entry with its outcome. After an error
// the session ends, since the entry may still be applied; the next session reads
// from the log whether it was.
func (s *session) notifyWaiters(waiters []func(bool, error), result []byte, err error) {
	r := &jobpb.Result{}
	if err == nil {
		err = proto.Unmarshal(result, r)
	}
	if err != nil {
		s.log.Warn().Err(err).Int("changes", len(waiters)).Msg("commit was not confirmed: the session ends")
		s.broken.Store(true)
	}
	for i, onResult := range waiters {
		if onResult != nil {
			onResult(err == nil && i < len(r.Applied) && r.Applied[i], err)
		}
	}
}
