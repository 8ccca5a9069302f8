package jobs

import (
	"context"
	"regexp"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/process/consensus"
	"marjoramtiller.example/marjoramtiller/process/replica"
	"marjoramtiller.example/marjoramtiller/process/storage"
)

var jobID = regexp.MustCompile(`^[0-9a-f]{16}$`)

// retryAfterMs is the time after which a caller may retry a refused request.
const retryAfterMs = 1000

// neverApplied reports whether a change that failed is certain never to be applied.
func neverApplied(err error) bool {
	var notLeader *consensus.NotLeaderError
	var notProposed *replica.NotProposedError
	var stopped *replica.StoppedError
	var busy *consensus.BusyError
	var large *storage.TooLargeError
	var unavailable *UnavailableError
	var unstorable *UnstorableError
	var overBudget *replica.DiskBudgetError
	var unknown *replica.OutcomeUnknownError
	if errors.As(err, &unknown) {
		return false
	}
	return errors.As(err, &notLeader) || errors.As(err, &notProposed) || errors.As(err, &stopped) ||
		errors.As(err, &busy) || storage.Retryable(err) || errors.As(err, &large) || errors.As(err, &unavailable) ||
		errors.As(err, &unstorable) || errors.As(err, &overBudget)
}

// proposeChange puts a change into the log and waits for its outcome. After an error
// for which neverApplied is false the change may or may not have been applied. A change that
// the log has no space for is refused at once.
func (s *session) proposeChange(ctx context.Context, e *jobpb.Entry) (applied bool, err error) {
	if err := s.c.group.Status().Disk.CheckCommand(batchSize(e)); err != nil {
		return false, s.refuseChange(e, err)
	}
	type outcome struct {
		applied bool
		err     error
	}
	result := make(chan outcome, 1)
	s.post(func() {
		s.add(e, func(applied bool, err error) { result <- outcome{applied, err} })
	})
	select {
	case o := <-result:
		return o.applied, o.err
	case <-ctx.Done():
		return false, &replica.OutcomeUnknownError{Err: ctx.Err()}
	case <-s.done:
	}
	select {
	case o := <-result:
		return o.applied, o.err
	default:
		return false, &replica.OutcomeUnknownError{Err: errors.New("the leader's term has ended")}
	}
}

// resolveInForce resolves a request under the configuration in force.
func (s *session) resolveInForce(r *jobpb.Request) (call resolvedCall, refused *jobpb.Response) {
	s.view(func(st *state.Store) { call, refused = resolveCall(st, r) })
	return call, refused
}

func (s *session) submit(ctx context.Context, r *jobpb.Request) *jobpb.Response {
	call, refused := s.resolveInForce(r)
	if refused != nil {
		return s.c.refuse(r, call, refused)
	}
	id, key := call.id, call.queueKey
	if !jobID.MatchString(id) {
		return &jobpb.Response{Outcome: jobpb.Response_INVALID, Reason: "the job's id does not have 16 lower-case hexadecimal digits"}
	}
	if existing := s.job(id); existing != nil {
		return answerTakenID(existing, call)
	}
	if err := CheckJob(r.Job); err != nil {
		return &jobpb.Response{Outcome: jobpb.Response_INVALID, Reason: err.Error()}
	}
	j := proto.Clone(r.Job).(*jobpb.Job)
	j.Id, j.Queue, j.Pool, j.MaxAttempts = id, key, call.queue.Pool, call.queue.MaxAttempts
	if call.decision.Tenant != "" {
		j.Tenant, j.KeyDigest = call.decision.Tenant, call.digest
	}
	j.AcceptedMs = s.nowMs()
	applied, err := s.proposeChange(ctx, &jobpb.Entry{Change: &jobpb.Entry_Accept{Accept: &jobpb.Accept{Job: j}}})
	if err != nil {
		s.c.logCall(s.log.Warn().Err(err), call).Bool("never_runs", neverApplied(err)).Msg("job not confirmed")
		return failureResponse(err)
	}
	existing := s.job(id)
	if !applied && existing == nil {
		// The configuration has changed since the call was checked, and lacks its tenant.
		return s.submit(ctx, r)
	}
	if !applied {
		return answerTakenID(existing, call)
	}
	s.post(func() { s.moves.recordDemand(j) })
	s.c.logCall(s.log.Info(), call).Uint64("answered_under", s.configurationVersion()).Int("steps", len(j.Steps)).Msg("job accepted")
	return &jobpb.Response{}
}

// configurationVersion returns the version of the configuration in force.
func (s *session) configurationVersion() (version uint64) {
	s.view(func(st *state.Store) { version = st.Configuration().Version })
	return version
}

// job returns the job with an id, nil if there is none. Its queue, tenant and key never change.
func (s *session) job(id string) (j *jobpb.Job) {
	s.view(func(st *state.Store) { j = st.Job(id) })
	return j
}

// answerTakenID answers a submission whose id is in use. It is a repeated submission and is
// confirmed, unless the job is one that the caller doesn't see.
func answerTakenID(existing *jobpb.Job, call resolvedCall) *jobpb.Response {
	if !call.seesJob(existing) {
		return &jobpb.Response{Outcome: jobpb.Response_INVALID, Reason: "another queue or tenant has a job with this id; choose a new id"}
	}
	return &jobpb.Response{}
}

// failureResponse answers a change that failed: invalid if it can never be stored, refused
// if it is never applied, else with an unknown outcome.
func failureResponse(err error) *jobpb.Response {
	var unstorable *UnstorableError
	if errors.As(err, &unstorable) {
		return &jobpb.Response{Outcome: jobpb.Response_INVALID, Reason: err.Error()}
	}
	if neverApplied(err) {
		return &jobpb.Response{Outcome: jobpb.Response_REFUSED, Reason: err.Error(), RetryAfterMs: retryAfterMs}
	}
	return &jobpb.Response{Outcome: jobpb.Response_UNKNOWN, Reason: err.Error()}
}

func (s *session) cancelJob(ctx context.Context, r *jobpb.Request) *jobpb.Response {
	call, refused := s.resolveInForce(r)
	if refused != nil {
		return s.c.refuse(r, call, refused)
	}
	j := s.job(call.id)
	if j == nil {
		// A submission on its way to the log is stored before this entry is. A cancellation that is
		// logged without a look at the job could end that of another tenant.
		if _, err := s.proposeChange(ctx, &jobpb.Entry{}); err != nil {
			return s.cancellationFailed(call, err)
		}
		j = s.job(call.id)
	}
	if !call.seesJob(j) {
		return &jobpb.Response{Outcome: jobpb.Response_NO_JOB}
	}
	applied, err := s.proposeChange(ctx, &jobpb.Entry{Change: &jobpb.Entry_Cancel{Cancel: &jobpb.Cancel{Job: call.id, AtMs: s.nowMs()}}})
	if err != nil {
		return s.cancellationFailed(call, err)
	}
	s.c.logCall(s.log.Info(), call).Bool("running", applied).Msg("job cancelled")
	return &jobpb.Response{}
}

func (s *session) cancellationFailed(call resolvedCall, err error) *jobpb.Response {
	s.c.logCall(s.log.Warn().Err(err), call).Msg("commit of a cancellation was not confirmed")
	return failureResponse(err)
}

// Configure stores a configuration. One that is not newer than the stored one
// changes nothing, and no error is returned.
func (c *Control) Configure(ctx context.Context, conf *jobpb.Configuration) error {
	s, err := c.leaderSession()
	if err != nil {
		return err
	}
	stored, err := compressDocument(conf)
	if err != nil {
		return err
	}
	applied, err := s.proposeChange(ctx, &jobpb.Entry{Change: &jobpb.Entry_Configure{Configure: stored}})
	c.log.Info().Err(err).Uint64("version", conf.Version).Bool("newer", applied).Msg("configuration received")
	return err
}

// StartWave stores a wave. A wave that is stored already changes nothing, and no
// error is returned.
func (c *Control) StartWave(ctx context.Context, w *jobpb.Wave) error {
	s, err := c.leaderSession()
	if err != nil {
		return err
	}
	applied, err := s.proposeChange(ctx, &jobpb.Entry{Change: &jobpb.Entry_Wave{Wave: w}})
	c.log.Info().Err(err).Uint64("wave", w.Number).Int("machines", len(w.Machines)).Uint32("maximum", w.Maximum).
		Bool("new", applied).Msg("wave received")
	return err
}
