package jobs

import (
	"context"
	"slices"
	"time"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// Report handles a worker's report. For a worker that is new or has changed, for
// example that is draining now, it returns nil only after that is in the log, so
// that a later leader has it too. A process that does not lead confirms reports
// without a change itself and forwards the others to the leader.
func (c *Control) Report(ctx context.Context, r Report) error {
	s, err := c.leaderSession()
	if err != nil {
		return c.reportToLeader(ctx, r)
	}
	return s.handleReport(ctx, r)
}

func (s *session) handleReport(ctx context.Context, r Report) error {
	result := make(chan error, 1)
	s.post(func() { s.report(r, result) })
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return &UnavailableError{Reason: "the report was not stored in time"}
	case <-s.done:
		return &UnavailableError{Reason: "this process no longer leads"}
	}
}

func (s *session) report(r Report, result chan<- error) {
	w := s.workers[r.Worker.Id]
	now := s.now()
	if w != nil && w.info.BornMs > r.Worker.BornMs {
		result <- nil // a late report of the worker's earlier process
		return
	}
	if w != nil && w.info.BornMs == r.Worker.BornMs {
		if r.Sequence < w.sequence {
			result <- nil
			return
		}
		w.sequence = r.Sequence
		w.setReported(now, r.ClockMs)
		w.track.SampleClock(now, r.ClockMs)
		s.withdrawExit(w, now, r)
		if w.draining {
			r.Worker.Draining = true
		}
		if w.predecessor != nil && !w.registering {
			s.updateSuccessor(w, r, result)
			return
		}
		if w.predecessor == nil && sameWorker(w.info, r.Worker) {
			result <- nil
			return
		}
	}
	if w != nil && w.info.BornMs < r.Worker.BornMs {
		r.Worker.Sequence = r.Sequence
		s.succeed(w, r, result)
		return
	}
	s.register(r, result)
}

func sameWorker(a, b *jobpb.Worker) bool {
	return a.Address == b.Address && a.Pool == b.Pool && a.Zone == b.Zone && a.CpuMillis == b.CpuMillis &&
		a.MemoryMb == b.MemoryMb && a.Gpus == b.Gpus && a.Draining == b.Draining && a.Unreported == b.Unreported && slices.Equal(a.Labels, b.Labels)
}

// register stores a worker that is new or has changed in the log.
func (s *session) register(r Report, result chan<- error) {
	info, reportedAt := r.Worker, s.now()
	info.Sequence = r.Sequence
	if w := s.workers[info.Id]; w != nil && info.Draining && w.info.BornMs == info.BornMs {
		w.draining = true // excludes the worker from starts before the change is committed
	}
	s.addRegistration(info, func(err error) {
		result <- err
		w := s.workers[info.Id]
		if err == nil && w != nil && w.info.BornMs == info.BornMs {
			w.setReported(reportedAt, r.ClockMs)
			w.track.SampleClock(s.now(), r.ClockMs)
		}
	})
}

// addRegistration puts a worker's registration into the next log entry. It takes effect
// here before onResult is called.
func (s *session) addRegistration(info *jobpb.Worker, onResult func(err error)) {
	s.add(&jobpb.Entry{Change: &jobpb.Entry_Worker{Worker: info}}, func(applied bool, err error) {
		if err == nil && applied {
			s.applyRegistration(info)
		}
		onResult(err)
	})
}

func (s *session) applyRegistration(info *jobpb.Worker) {
	w := s.workers[info.Id]
	switch {
	case w == nil:
		w = s.trackWorker(info, false)
	case w.info.BornMs < info.BornMs:
		w = s.replaceTracked(w, info)
	case w.info.BornMs > info.BornMs:
		return // a later process has been seen meanwhile
	}
	w.predecessor = nil
	w.info = info
	w.draining = w.draining || info.Draining
	s.log.Info().Str("worker", info.Id).Int64("born_ms", info.BornMs).Str("pool", info.Pool).Bool("draining", info.Draining).
		Str("address", info.Address).Msg("worker registered")
}

// replaceTracked tracks a process that the log has registered in place of an earlier one. A
// late report can bring the earlier one back after its worker was dropped, in the same log
// entry in which the later one is registered.
func (s *session) replaceTracked(earlier *workerState, info *jobpb.Worker) *workerState {
	s.fences.use(info.Id, earlier.track.Fence())
	answerAll(earlier.takeReports(), nil)
	w := s.trackWorker(info, false)
	w.track.ExpectForeignLeases(s.now())
	return w
}

// Leave handles a worker's announcement that its process exits. The process may serve on
// for a while, for example if the confirmation is lost, so that this proves no end of its
// runs: they get no more leases, and are stopped if the worker is draining.
func (c *Control) Leave(ctx context.Context, id string) error {
	s, err := c.leaderSession()
	if err != nil {
		return err
	}
	s.post(func() {
		if w := s.workers[id]; w != nil && !w.announcedExit {
			w.announcedExit = true
			if w.leftAt == 0 {
				w.leftAt = s.now()
			}
			s.log.Info().Str("worker", id).Int64("born_ms", w.info.BornMs).Bool("draining", w.draining).Msg("worker announced that its process exits")
		}
	})
	return nil
}

// withdrawExit forgets an announced exit if the process reports later that it is ready:
// the announcement was that of an earlier process with the same id.
func (s *session) withdrawExit(w *workerState, now time.Duration, r Report) {
	if !w.announcedExit || w.listedAsEnded || w.draining || r.Worker.Draining || w.track.SentBy(now, r.ClockMs) <= w.leftAt {
		return
	}
	w.announcedExit, w.leftAt = false, 0
	s.log.Warn().Str("worker", w.info.Id).Int64("born_ms", w.info.BornMs).Uint64("sequence", r.Sequence).
		Msg("announced exit withdrawn: the worker reports later that it is ready")
}
