package replica

import (
	"fmt"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/consensus"
	"marjoramtiller.example/marjoramtiller/process/storage"
)

func (r *Replica) run() {
	ticks, stopTicks := r.options.Clock.Ticks(r.options.Tick)
	defer stopTicks()
	var err error
	for err == nil {
		var open bool
		if open, err = r.receiveEvents(ticks); !open {
			break
		}
		if err == nil {
			err = r.processReady()
		}
		r.publishStatus()
	}
	r.shutdown(err)
}

// receiveEvents waits for one event and passes it to the core, followed by up to
// maxBatch queued messages and proposals, so that they share one sync. It returns
// false once Close was called.
func (r *Replica) receiveEvents(ticks <-chan time.Time) (open bool, err error) {
	select {
	case <-r.stop:
		return false, nil
	case <-ticks:
		r.handleTick()
	case m := <-r.messages:
		r.handleMessage(m)
	case p := <-r.proposals:
		r.handleProposal(p)
	case task := <-r.tasks:
		task()
	case result := <-r.snapshotResults:
		err = r.finishSnapshot(result)
	}
	for range maxBatch {
		select {
		case m := <-r.messages:
			r.handleMessage(m)
		case p := <-r.proposals:
			r.handleProposal(p)
		default:
			return true, err
		}
	}
	return true, err
}

// handleTick advances the core's timers. While the disk is full it only requests
// another attempt to store: a replica that can't store its term and log must not
// take part in the group.
func (r *Replica) handleTick() {
	if r.stalledReady == nil {
		_ = r.core.Tick(r.now())
		r.checkTransfers()
		return
	}
	r.retryStore = true
}

func (r *Replica) handleMessage(m *wirepb.RaftMessage) {
	if r.stalledReady != nil || m.Group != r.options.Group || m.To != r.options.ID {
		return
	}
	if m.Type == wirepb.RaftMessage_TYPE_APPEND && r.mustDelayAppend(m) {
		return
	}
	switch m.Type {
	case wirepb.RaftMessage_TYPE_SNAPSHOT_CHUNK:
		r.handleChunk(m)
	case wirepb.RaftMessage_TYPE_SNAPSHOT_CHUNK_RESPONSE:
		r.handleChunkResponse(m)
	default:
		_ = r.core.Step(r.now(), m)
	}
}

func (r *Replica) handleProposal(p *proposal) {
	if r.stalledReady != nil {
		p.result <- outcome{err: r.stallError}
		return
	}
	var err error
	if p.change != nil {
		p.index, p.term, err = r.core.ChangeVoter(*p.change)
	} else {
		p.index, p.term, err = r.proposeWithinBudget(p.command)
	}
	if err != nil {
		p.result <- outcome{err: err}
		return
	}
	r.pendingProposals[p.index] = p
}

// processReady carries out what the core has ready: it stores and syncs state, sends
// messages and applies committed entries. It returns once the core has no more work,
// the disk is full, or an error occurs.
func (r *Replica) processReady() error {
	if err := r.core.Err(); err != nil {
		return err
	}
	if r.stalledReady != nil && !r.retryStore {
		return nil
	}
	r.retryStore = false
	for {
		rd, resumed := r.nextReady()
		if rd.Empty() {
			break
		}
		if !resumed {
			r.send(rd.Messages)
		}
		if stored, err := r.persistReady(&rd); err != nil || !stored {
			return err
		}
		r.queuedBytes = 0
		r.send(rd.AfterSync)
		if err := r.apply(&rd); err != nil {
			return err
		}
		r.core.Advance(rd)
		if err := r.core.Err(); err != nil {
			return err
		}
	}
	r.failProposalsIfDeposed()
	return r.startSnapshotIfDue()
}

func (r *Replica) nextReady() (rd consensus.Ready, resumed bool) {
	if r.stalledReady != nil {
		return *r.stalledReady, true
	}
	return r.core.Ready(), false
}

// persistReady writes and syncs the state that rd requires to be durable. If the disk
// is full or the process lacks file descriptors, it returns false and keeps rd in
// stalledReady for another attempt.
func (r *Replica) persistReady(rd *consensus.Ready) (bool, error) {
	err := r.storeReady(rd)
	if storage.Retryable(err) {
		if r.stalledReady == nil {
			r.log.Error().Err(err).Msg("could not write to the log; proposals are rejected until a write succeeds")
			r.stalledReady, r.stallError = rd, err
		}
		return false, nil
	}
	if err == nil && r.stalledReady != nil {
		r.log.Info().Msg("the log can be written again; proposals are accepted")
		r.stalledReady = nil
	}
	return err == nil, err
}

func (r *Replica) storeReady(rd *consensus.Ready) error {
	if !rd.MustSync() {
		return nil
	}
	r.metrics.syncs.Add(1)
	r.metrics.batch.Observe(float64(len(rd.Entries)))
	start := time.Now()
	defer func() { r.metrics.syncSeconds.Observe(time.Since(start).Seconds()) }()
	if rd.Snapshot != nil {
		if err := r.store.InstallSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	return r.store.Append(rd.Entries, rd.HardState)
}

// send sends messages to other replicas. For a snapshot message, which the core
// emits without the snapshot's data, it begins a transfer in chunks instead.
func (r *Replica) send(messages []*wirepb.RaftMessage) {
	for _, m := range messages {
		if m.Type == wirepb.RaftMessage_TYPE_SNAPSHOT {
			r.beginTransfer(m)
			continue
		}
		r.options.Transport.Send(m.To, m)
	}
}

func (r *Replica) apply(rd *consensus.Ready) error {
	r.stateMachineMu.Lock()
	defer r.stateMachineMu.Unlock()
	if s := rd.Snapshot; s != nil {
		if err := r.options.StateMachine.Restore(s.Data); err != nil {
			return fmt.Errorf("replica: restore the leader's snapshot at index %d: %w", s.Index, err)
		}
		r.applied = s.Index
		r.snapshot = s
		r.appliedBytes = 0
	}
	for _, e := range rd.Committed {
		r.applyEntry(e)
	}
	for _, read := range rd.Reads {
		r.confirmRead(read)
	}
	r.completeReads()
	return nil
}

func (r *Replica) applyEntry(e *wirepb.RaftEntry) {
	var result []byte
	if e.Type == wirepb.RaftEntry_TYPE_COMMAND && len(e.Data) > 0 {
		result = r.options.StateMachine.Apply(e.Index, e.Data)
	}
	r.applied = e.Index
	r.appliedBytes += int64(len(e.Data))
	p := r.pendingProposals[e.Index]
	if p == nil {
		return
	}
	delete(r.pendingProposals, e.Index)
	if p.term != e.Term {
		// An entry of another leader was committed at this index.
		p.result <- outcome{err: &NotLeaderError{Leader: r.core.Status().Leader}}
		return
	}
	p.result <- outcome{result: result}
}

func (r *Replica) confirmRead(read consensus.ReadState) {
	pending := r.pendingReads[read.ID]
	delete(r.pendingReads, read.ID)
	if pending == nil {
		return
	}
	if read.Failed {
		pending.done <- &NotLeaderError{Leader: r.core.Status().Leader}
		return
	}
	pending.index = read.Index
	r.confirmedReads = append(r.confirmedReads, pending)
}

func (r *Replica) completeReads() {
	kept := r.confirmedReads[:0]
	for _, read := range r.confirmedReads {
		if read.index <= r.applied {
			read.done <- nil
			continue
		}
		kept = append(kept, read)
	}
	clear(r.confirmedReads[len(kept):])
	r.confirmedReads = kept
}

// failProposalsIfDeposed ends all pending proposals with OutcomeUnknownError if this
// replica is no longer the leader: the next leader may still commit their entries.
func (r *Replica) failProposalsIfDeposed() {
	if len(r.pendingProposals) == 0 {
		return
	}
	s := r.core.Status()
	if s.Role == consensus.Leader {
		return
	}
	for index, p := range r.pendingProposals {
		p.result <- outcome{err: &OutcomeUnknownError{Err: &NotLeaderError{Leader: s.Leader}}}
		delete(r.pendingProposals, index)
	}
}

func (r *Replica) shutdown(err error) {
	if err != nil {
		r.log.Error().Err(err).Msg("replica stopped because of an error")
	}
	r.mu.Lock()
	r.status.Err = err
	r.status.BrokenInvariant = r.core.BrokenInvariant()
	r.status.Role = consensus.Follower
	r.mu.Unlock()
	for _, p := range r.pendingProposals {
		p.result <- outcome{err: &OutcomeUnknownError{Err: &StoppedError{Err: err}}}
	}
	if r.savingSnapshot {
		<-r.snapshotResults
	}
	_ = r.store.Close()
	close(r.done)
	for {
		select {
		case p := <-r.proposals:
			p.result <- outcome{err: &StoppedError{Err: err}}
			continue
		default:
		}
		break
	}
	if err != nil && r.options.OnFatal != nil {
		go r.options.OnFatal(err)
	}
}
