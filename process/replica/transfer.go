package replica

import (
	"time"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/consensus"
)

// A snapshot is sent in chunks, one at a time: the receiver responds to each with
// the number of bytes that it has received, and the sender continues at that
// offset. If a chunk or its response is lost, the chunk is sent again after
// chunkRetryTicks. A receiver that has restarted responds with 0. All transfers
// share the bytes of the sender's stored snapshot, and a receiver keeps at most one
// incomplete snapshot.
const (
	chunkRetryTicks      = 10  // ticks without a response before a chunk is sent again
	transferTimeoutTicks = 100 // ticks without progress before the sender or the receiver aborts the transfer
)

// transfer is a snapshot that is being sent to another replica.
type transfer struct {
	snapshot       *wirepb.RaftSnapshot
	term           uint64 // of the leader that sends it
	offset         uint64
	sentAt         time.Duration
	lastProgressAt time.Duration // when a response last changed the offset
}

// partialSnapshot is a snapshot of which only a part has been received.
type partialSnapshot struct {
	from        string
	term        uint64 // of the leader that sends it
	index       uint64
	total       uint64
	data        []byte
	lastChunkAt time.Duration
}

func (r *Replica) tickDuration(n int) time.Duration { return time.Duration(n) * r.options.Tick }

// beginTransfer starts to send the stored snapshot. A transfer that is already
// running in this term continues even if a later snapshot is stored meanwhile;
// otherwise a transfer would never complete if snapshots are created faster than
// they are sent.
func (r *Replica) beginTransfer(m *wirepb.RaftMessage) {
	if r.snapshot == nil {
		return
	}
	if t := r.outgoing[m.To]; t != nil && t.term == m.Term {
		return
	}
	t := &transfer{snapshot: r.snapshot, term: m.Term, lastProgressAt: r.now()}
	r.outgoing[m.To] = t
	r.sendChunk(m.To, t)
}

func (r *Replica) sendChunk(to string, t *transfer) {
	s := t.snapshot
	total := uint64(len(s.Data))
	end := min(total, t.offset+uint64(r.options.SnapshotChunkBytes))
	t.sentAt = r.now()
	r.options.Transport.Send(to, &wirepb.RaftMessage{
		Group: r.options.Group, Type: wirepb.RaftMessage_TYPE_SNAPSHOT_CHUNK, From: r.options.ID, To: to, Term: t.term,
		Snapshot: &wirepb.RaftSnapshot{Index: s.Index, Term: s.Term, Voters: s.Voters},
		Chunk:    &wirepb.SnapshotChunk{Offset: t.offset, Total: total, Data: s.Data[t.offset:end], Last: end == total},
	})
}

// handleChunkResponse sends the next chunk, from the offset that the receiver reports.
func (r *Replica) handleChunkResponse(m *wirepb.RaftMessage) {
	t := r.outgoing[m.From]
	offset := m.GetChunk().GetOffset()
	if t == nil || t.term != m.Term || t.snapshot.Index != m.Index || offset > uint64(len(t.snapshot.Data)) {
		return
	}
	if offset == uint64(len(t.snapshot.Data)) {
		delete(r.outgoing, m.From)
		return
	}
	if offset == t.offset {
		return // the response to a chunk that was sent more than once
	}
	t.offset = offset
	t.lastProgressAt = r.now()
	r.core.SnapshotProgress(m.From)
	r.sendChunk(m.From, t)
}

// checkTransfers resends chunks that received no response and aborts transfers that
// make no progress.
func (r *Replica) checkTransfers() {
	now := r.now()
	if partial := r.incoming; partial != nil && now-partial.lastChunkAt > r.tickDuration(transferTimeoutTicks) {
		r.incoming = nil
	}
	if len(r.outgoing) == 0 {
		return
	}
	s := r.core.Status()
	for to, t := range r.outgoing {
		switch {
		case s.Role != consensus.Leader || s.Term != t.term || now-t.lastProgressAt > r.tickDuration(transferTimeoutTicks):
			delete(r.outgoing, to)
		case now-t.sentAt >= r.tickDuration(chunkRetryTicks):
			r.sendChunk(to, t)
		}
	}
}

// handleChunk appends a chunk to the incoming snapshot and passes the complete
// snapshot to the core. The response to the last chunk does not acknowledge the
// snapshot: the core does so once the snapshot is synced.
func (r *Replica) handleChunk(m *wirepb.RaftMessage) {
	s, chunk := m.Snapshot, m.Chunk
	if s == nil || s.Voters == nil || chunk == nil || m.Term < r.core.Status().Term {
		return
	}
	if s.Index <= r.applied {
		r.sendChunkResponse(m, chunk.Total)
		r.passSnapshotToCore(m, nil)
		return
	}
	partial := r.partialSnapshotFor(m)
	if partial == nil {
		return
	}
	partial.lastChunkAt = r.now()
	received := uint64(len(partial.data))
	if chunk.Offset == received && received+uint64(len(chunk.Data)) <= partial.total {
		partial.data = append(partial.data, chunk.Data...)
	}
	r.sendChunkResponse(m, uint64(len(partial.data)))
	if chunk.Last && uint64(len(partial.data)) == partial.total {
		r.incoming = nil
		r.passSnapshotToCore(m, partial.data)
	}
}

// partialSnapshotFor returns the incoming snapshot that the chunk m belongs to. If
// there is none, it begins one in place of any other incoming snapshot. It returns
// nil if the chunk is from an earlier term than the incoming snapshot or if its
// snapshot exceeds MaxSnapshotBytes.
func (r *Replica) partialSnapshotFor(m *wirepb.RaftMessage) *partialSnapshot {
	partial := r.incoming
	if partial != nil && partial.from == m.From && partial.term == m.Term && partial.index == m.Snapshot.Index && partial.total == m.Chunk.Total {
		return partial
	}
	if partial != nil && m.Term < partial.term {
		return nil
	}
	if m.Chunk.Total > r.options.MaxSnapshotBytes {
		r.log.Error().Uint64("bytes", m.Chunk.Total).Uint64("limit", r.options.MaxSnapshotBytes).Msg("rejected the leader's snapshot because it exceeds the limit; raise MaxSnapshotBytes")
		return nil
	}
	r.incoming = &partialSnapshot{from: m.From, term: m.Term, index: m.Snapshot.Index, total: m.Chunk.Total, data: make([]byte, 0, m.Chunk.Total)}
	return r.incoming
}

func (r *Replica) sendChunkResponse(m *wirepb.RaftMessage, received uint64) {
	r.options.Transport.Send(m.From, &wirepb.RaftMessage{
		Group: r.options.Group, Type: wirepb.RaftMessage_TYPE_SNAPSHOT_CHUNK_RESPONSE, From: r.options.ID, To: m.From, Term: m.Term,
		Index: m.Snapshot.Index, Chunk: &wirepb.SnapshotChunk{Offset: received},
	})
}

func (r *Replica) passSnapshotToCore(m *wirepb.RaftMessage, data []byte) {
	s := &wirepb.RaftSnapshot{Index: m.Snapshot.Index, Term: m.Snapshot.Term, Voters: m.Snapshot.Voters, Data: data}
	_ = r.core.Step(r.now(), &wirepb.RaftMessage{
		Group: m.Group, Type: wirepb.RaftMessage_TYPE_SNAPSHOT, From: m.From, To: m.To, Term: m.Term, Snapshot: s,
	})
}
