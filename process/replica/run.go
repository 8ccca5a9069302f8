package replica

import (
	"errors"
	"fmt"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/consensus"
	"marjoramtiller.example/marjoramtiller/process/storage"
)

func (r *Replica) run() {
	ticks, stopTicks := r.o.Clock.Ticks(r.o.Tick)
	defer stopTicks()
	var err error
	for err == nil {
		var open bool
		if open, err = r.wait(ticks); !open {
			break
		}
		if err == nil {
			err = r.process()
		}
		r.publish()
	}
	r.finish(err)
}

// wait takes at least one event, and then those that are queued, into the core.
// It returns false on Close.
func (r *Replica) wait(ticks <-chan time.Time) (open bool, err error) {
	select {
	case <-r.stop:
		return false, nil
	case <-ticks:
		r.tick()
	case m := <-r.messages:
		r.step(m)
	case p := <-r.proposals:
		r.propose(p)
	case task := <-r.tasks:
		task()
	case result := <-r.saved:
		err = r.endSnapshot(result)
	}
	for range maxBatch {
		select {
		case m := <-r.messages:
			r.step(m)
		case p := <-r.proposals:
			r.propose(p)
		default:
			return true, err
		}
	}
	return true, err
}

// tick leaves the core alone while the disk is full: a replica that can't store
// its term and log must take no part in the group.
func (r *Replica) tick() {
	if r.stalled == nil {
		_ = r.core.Tick(r.now())
		r.tickTransfers()
		return
	}
	r.retryNow = true
}

func (r *Replica) step(m *wirepb.RaftMessage) {
	if r.stalled != nil || m.Group != r.o.Group || m.To != r.o.ID {
		return
	}
	switch m.Type {
	case wirepb.RaftMessage_TYPE_SNAPSHOT_CHUNK:
		r.receiveChunk(m)
	case wirepb.RaftMessage_TYPE_SNAPSHOT_CHUNK_RESPONSE:
		r.chunkReceived(m)
	default:
		_ = r.core.Step(r.now(), m)
	}
}

func (r *Replica) propose(p *proposal) {
	if r.stalled != nil {
		p.result <- outcome{err: &storage.DiskFullError{File: r.o.Dir, Err: errors.New("an earlier write failed")}}
		return
	}
	var err error
	if p.change != nil {
		p.index, p.term, err = r.core.ChangeVoter(*p.change)
	} else {
		p.index, p.term, err = r.core.Propose(p.command)
	}
	if err != nil {
		p.result <- outcome{err: err}
		return
	}
	r.waiting[p.index] = p
}

// process carries out the core's work until there is none.
func (r *Replica) process() error {
	if err := r.core.Err(); err != nil {
		return err
	}
	if r.stalled != nil && !r.retryNow {
		return nil
	}
	r.retryNow = false
	for {
		rd, resumed := r.nextReady()
		if rd.Empty() {
			break
		}
		if !resumed {
			r.send(rd.Messages)
		}
		if stored, err := r.persist(&rd); err != nil || !stored {
			return err
		}
		r.send(rd.AfterSync)
		if err := r.apply(&rd); err != nil {
			return err
		}
		r.core.Advance(rd)
		if err := r.core.Err(); err != nil {
			return err
		}
	}
	r.dropLost()
	return r.maybeSnapshot()
}

func (r *Replica) nextReady() (rd consensus.Ready, resumed bool) {
	if r.stalled != nil {
		return *r.stalled, true
	}
	return r.core.Ready(), false
}

// persist stores and syncs what rd demands. It returns false, and keeps rd to be
// retried, while the disk is full.
func (r *Replica) persist(rd *consensus.Ready) (bool, error) {
	err := r.storeReady(rd)
	var full *storage.DiskFullError
	if errors.As(err, &full) {
		if r.stalled == nil {
			r.log.Error().Err(err).Msg("proposals are refused")
			r.stalled = rd
		}
		return false, nil
	}
	if err == nil && r.stalled != nil {
		r.log.Info().Msg("the disk has space again")
		r.stalled = nil
	}
	return err == nil, err
}

func (r *Replica) storeReady(rd *consensus.Ready) error {
	if !rd.MustSync() {
		return nil
	}
	r.count.syncs.Add(1)
	if rd.Snapshot != nil {
		if err := r.store.InstallSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	return r.store.Append(rd.Entries, rd.HardState)
}

// send begins a transfer for a snapshot message, whose data the core leaves out.
func (r *Replica) send(messages []*wirepb.RaftMessage) {
	for _, m := range messages {
		if m.Type == wirepb.RaftMessage_TYPE_SNAPSHOT {
			r.beginTransfer(m)
			continue
		}
		r.o.Transport.Send(m.To, m)
	}
}

func (r *Replica) apply(rd *consensus.Ready) error {
	r.smMu.Lock()
	defer r.smMu.Unlock()
	if s := rd.Snapshot; s != nil {
		if err := r.o.StateMachine.Restore(s.Data); err != nil {
			return fmt.Errorf("replica: restore snapshot %d of the leader: %w", s.Index, err)
		}
		r.applied = s.Index
		r.snapshot = s
	}
	for _, e := range rd.Committed {
		r.applyEntry(e)
	}
	for _, read := range rd.Reads {
		r.endRead(read)
	}
	r.releaseReads()
	return nil
}

func (r *Replica) applyEntry(e *wirepb.RaftEntry) {
	var result []byte
	if e.Type == wirepb.RaftEntry_TYPE_COMMAND && len(e.Data) > 0 {
		result = r.o.StateMachine.Apply(e.Index, e.Data)
	}
	r.applied = e.Index
	p := r.waiting[e.Index]
	if p == nil {
		return
	}
	delete(r.waiting, e.Index)
	if p.term != e.Term {
		// Another leader's entry took the position.
		p.result <- outcome{err: &NotLeaderError{Leader: r.core.Status().Leader}}
		return
	}
	p.result <- outcome{result: result}
}

func (r *Replica) endRead(read consensus.ReadState) {
	b := r.reads[read.ID]
	delete(r.reads, read.ID)
	if b == nil {
		return
	}
	if read.Failed {
		b.done <- &NotLeaderError{Leader: r.core.Status().Leader}
		return
	}
	b.index = read.Index
	r.released = append(r.released, b)
}

func (r *Replica) releaseReads() {
	kept := r.released[:0]
	for _, b := range r.released {
		if b.index <= r.applied {
			b.done <- nil
			continue
		}
		kept = append(kept, b)
	}
	clear(r.released[len(kept):])
	r.released = kept
}

// dropLost ends the proposals of a replica that no longer leads. Their entries
// may still be committed by the next leader.
func (r *Replica) dropLost() {
	if len(r.waiting) == 0 {
		return
	}
	s := r.core.Status()
	if s.Role == consensus.Leader {
		return
	}
	for index, p := range r.waiting {
		p.result <- outcome{err: &OutcomeUnknownError{Err: &NotLeaderError{Leader: s.Leader}}}
		delete(r.waiting, index)
	}
}

func (r *Replica) finish(err error) {
	if err != nil {
		r.log.Error().Err(err).Msg("replica stopped")
	}
	r.mu.Lock()
	r.status.Err = err
	r.status.BrokenInvariant = r.core.BrokenInvariant()
	r.status.Role = consensus.Follower
	r.mu.Unlock()
	for _, p := range r.waiting {
		p.result <- outcome{err: &OutcomeUnknownError{Err: &StoppedError{Err: err}}}
	}
	if r.saving {
		<-r.saved
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
	if err != nil && r.o.OnFatal != nil {
		go r.o.OnFatal(err)
	}
}
