package replica

import (
	"time"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/consensus"
)

// A snapshot is sent in chunks, one at a time: the receiver answers each with
// the number of bytes that it holds, and the sender continues from there. A lost
// chunk or answer is sent again after a while, and a receiver that has restarted
// answers 0. The sender shares the bytes of its stored snapshot, and the receiver
// holds one incomplete snapshot at most.
const (
	chunkRetryTicks   = 10  // ticks without an answer before a chunk is sent again
	transferIdleTicks = 100 // ticks without progress before a side gives up
)

// transfer is a snapshot on its way to another replica.
type transfer struct {
	snapshot *wirepb.RaftSnapshot
	term     uint64 // of the leader that sends it
	offset   uint64
	sentAt   time.Duration
	progress time.Duration // when the receiver's answer last changed the offset
}

// assembly is a snapshot of which a part has arrived.
type assembly struct {
	from        string
	term        uint64 // of the leader that sends it
	index       uint64
	total       uint64
	data        []byte
	lastArrival time.Duration
}

func (r *Replica) ticks(n int) time.Duration { return time.Duration(n) * r.o.Tick }

// beginTransfer starts to send the stored snapshot. A transfer that makes
// progress goes on, also when a later snapshot is stored: it would otherwise
// never end where snapshots are taken faster than they are sent.
func (r *Replica) beginTransfer(m *wirepb.RaftMessage) {
	if r.snapshot == nil {
		return
	}
	if t := r.outgoing[m.To]; t != nil && t.term == m.Term {
		return
	}
	t := &transfer{snapshot: r.snapshot, term: m.Term, progress: r.now()}
	r.outgoing[m.To] = t
	r.sendChunk(m.To, t)
}

func (r *Replica) sendChunk(to string, t *transfer) {
	s := t.snapshot
	total := uint64(len(s.Data))
	end := min(total, t.offset+uint64(r.o.SnapshotChunkBytes))
	t.sentAt = r.now()
	r.o.Transport.Send(to, &wirepb.RaftMessage{
		Group: r.o.Group, Type: wirepb.RaftMessage_TYPE_SNAPSHOT_CHUNK, From: r.o.ID, To: to, Term: t.term,
		Snapshot: &wirepb.RaftSnapshot{Index: s.Index, Term: s.Term, Voters: s.Voters},
		Chunk:    &wirepb.SnapshotChunk{Offset: t.offset, Total: total, Data: s.Data[t.offset:end], Last: end == total},
	})
}

// chunkReceived continues a transfer from what the receiver holds.
func (r *Replica) chunkReceived(m *wirepb.RaftMessage) {
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
		return // an answer to a repeated chunk
	}
	t.offset = offset
	t.progress = r.now()
	r.core.SnapshotProgress(m.From)
	r.sendChunk(m.From, t)
}

// tickTransfers repeats lost chunks and ends transfers without progress.
func (r *Replica) tickTransfers() {
	now := r.now()
	if a := r.incoming; a != nil && now-a.lastArrival > r.ticks(transferIdleTicks) {
		r.incoming = nil
	}
	if len(r.outgoing) == 0 {
		return
	}
	s := r.core.Status()
	for to, t := range r.outgoing {
		switch {
		case s.Role != consensus.Leader || s.Term != t.term || now-t.progress > r.ticks(transferIdleTicks):
			delete(r.outgoing, to)
		case now-t.sentAt >= r.ticks(chunkRetryTicks):
			r.sendChunk(to, t)
		}
	}
}

// receiveChunk adds a chunk to the incoming snapshot and gives the complete one
// to the core. The answer to the last chunk promises nothing: the core
// acknowledges the snapshot once it is synced.
func (r *Replica) receiveChunk(m *wirepb.RaftMessage) {
	s, chunk := m.Snapshot, m.Chunk
	if s == nil || s.Voters == nil || chunk == nil || m.Term < r.core.Status().Term {
		return
	}
	if s.Index <= r.applied {
		r.answerChunk(m, chunk.Total)
		r.stepSnapshot(m, nil)
		return
	}
	a := r.assemblyFor(m)
	if a == nil {
		return
	}
	a.lastArrival = r.now()
	held := uint64(len(a.data))
	if chunk.Offset == held && held+uint64(len(chunk.Data)) <= a.total {
		a.data = append(a.data, chunk.Data...)
	}
	r.answerChunk(m, uint64(len(a.data)))
	if chunk.Last && uint64(len(a.data)) == a.total {
		r.incoming = nil
		r.stepSnapshot(m, a.data)
	}
}

// assemblyFor returns the incoming snapshot that m belongs to, nil if it belongs
// to none and can't begin one. A later leader's snapshot replaces an earlier one.
func (r *Replica) assemblyFor(m *wirepb.RaftMessage) *assembly {
	a := r.incoming
	if a != nil && a.from == m.From && a.term == m.Term && a.index == m.Snapshot.Index && a.total == m.Chunk.Total {
		return a
	}
	if a != nil && m.Term < a.term {
		return nil
	}
	if m.Chunk.Total > r.o.MaxSnapshotBytes {
		r.log.Error().Uint64("bytes", m.Chunk.Total).Uint64("limit", r.o.MaxSnapshotBytes).Msg("snapshot of the leader refused; raise the limit in the settings")
		return nil
	}
	r.incoming = &assembly{from: m.From, term: m.Term, index: m.Snapshot.Index, total: m.Chunk.Total, data: make([]byte, 0, m.Chunk.Total)}
	return r.incoming
}

func (r *Replica) answerChunk(m *wirepb.RaftMessage, held uint64) {
	r.o.Transport.Send(m.From, &wirepb.RaftMessage{
		Group: r.o.Group, Type: wirepb.RaftMessage_TYPE_SNAPSHOT_CHUNK_RESPONSE, From: r.o.ID, To: m.From, Term: m.Term,
		Index: m.Snapshot.Index, Chunk: &wirepb.SnapshotChunk{Offset: held},
	})
}

func (r *Replica) stepSnapshot(m *wirepb.RaftMessage, data []byte) {
	s := &wirepb.RaftSnapshot{Index: m.Snapshot.Index, Term: m.Snapshot.Term, Voters: m.Snapshot.Voters, Data: data}
	_ = r.core.Step(r.now(), &wirepb.RaftMessage{
		Group: m.Group, Type: wirepb.RaftMessage_TYPE_SNAPSHOT, From: m.From, To: m.To, Term: m.Term, Snapshot: s,
	})
}
