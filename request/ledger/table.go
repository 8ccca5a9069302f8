package ledger

import (
	"maps"

	"marjoramtiller.example/marjoramtiller/request/key"
)

// tableShards is the number of shards of a table. A write after a view was taken
// copies only the records of one shard.
const tableShards = 256

type shard map[key.Key]record

// table holds the records by key with copy-on-write views: a view shares the
// shards of the table, and a shared shard is copied before it is next written.
type table struct {
	shards [tableShards]shard
	shared [tableShards]bool // the shard is part of a view
	len    int               // number of records
}

// shardOf returns the index of a key's shard. It hashes the whole key (FNV-1a),
// because callers choose every bit of it and no part can be relied on to spread
// the keys evenly.
func shardOf(k key.Key) int {
	const (
		offset = 2166136261
		prime  = 16777619
	)
	hash := uint32(offset)
	for _, b := range k {
		hash = (hash ^ uint32(b)) * prime
	}
	return int(hash>>24^hash) % tableShards
}

// get returns a copy of the record of a key, or nil if there is none.
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

// writable returns a shard that no view shares, creating or copying it first if
// necessary.
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
