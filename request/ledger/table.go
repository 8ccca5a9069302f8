package ledger

import (
	"maps"

	"marjoramtiller.example/marjoramtiller/request/key"
)

// tableShards divides the records so that a write after a snapshot view copies
// only the records of one shard.
const tableShards = 256

type shard map[key.Key]record

// table holds the records by key. A view shares its shards; a shard is copied
// before the first write that follows.
type table struct {
	shards [tableShards]shard
	shared [tableShards]bool
	len    int
}

// shardOf hashes the whole key (FNV-1a), since a caller chooses every bit of it.
func shardOf(k key.Key) int {
	const (
		offset = 2166136261
		prime  = 16777619
	)
	h := uint32(offset)
	for _, b := range k {
		h = (h ^ uint32(b)) * prime
	}
	return int(h>>24^h) % tableShards
}

// get returns a copy of a record, nil if there is none.
func (t *table) get(k key.Key) *record {
	r, ok := t.shards[shardOf(k)][k]
	if !ok {
		return nil
	}
	return &r
}

func (t *table) put(k key.Key, r *record) {
	s := t.writable(shardOf(k))
	before := len(s)
	s[k] = *r
	t.len += len(s) - before
}

func (t *table) remove(k key.Key) {
	s := t.writable(shardOf(k))
	before := len(s)
	delete(s, k)
	t.len += len(s) - before
}

func (t *table) writable(i int) shard {
	switch {
	case t.shards[i] == nil:
		t.shards[i] = make(shard)
	case t.shared[i]:
		t.shards[i] = maps.Clone(t.shards[i])
	}
	t.shared[i] = false
	return t.shards[i]
}

// view returns the shards as they are now. The caller must not modify them.
func (t *table) view() [tableShards]shard {
	for i := range t.shared {
		t.shared[i] = true
	}
	return t.shards
}
