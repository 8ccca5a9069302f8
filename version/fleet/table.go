package fleet

import (
	"iter"
	"slices"

	"google.golang.org/protobuf/proto"
)

// object is a stored message. Stored messages are never modified in place, so
// deltas, snapshots and readers can share them.
type object interface {
	proto.Message
	GetName() string
	GetModifiedVersion() uint64
}

// table maps names to the objects of one kind and keeps the names sorted.
type table[T object] struct {
	byName map[string]T
	names  []string
}

func newTable[T object]() *table[T] {
	return &table[T]{byName: make(map[string]T)}
}

func (t *table[T]) put(v T) {
	name := v.GetName()
	if _, ok := t.byName[name]; !ok {
		t.names = insertName(t.names, name)
	}
	t.byName[name] = v
}

func (t *table[T]) remove(name string) {
	if _, ok := t.byName[name]; !ok {
		return
	}
	delete(t.byName, name)
	t.names = removeName(t.names, name)
}

func (t *table[T]) all() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, name := range t.names {
			if !yield(t.byName[name]) {
				return
			}
		}
	}
}

func (t *table[T]) slice() []T {
	out := make([]T, 0, len(t.names))
	for _, name := range t.names {
		out = append(out, t.byName[name])
	}
	return out
}

func insertName(names []string, name string) []string {
	// Configuration sheets and snapshots mostly list names in order, so most
	// inserts are appends.
	if n := len(names); n == 0 || names[n-1] < name {
		return append(names, name)
	}
	at, found := slices.BinarySearch(names, name)
	if found {
		return names
	}
	return slices.Insert(names, at, name)
}

func removeName(names []string, name string) []string {
	at, found := slices.BinarySearch(names, name)
	if !found {
		return names
	}
	return slices.Delete(names, at, at+1)
}

// index maps a key to the sorted names of the objects that refer to it.
type index map[string][]string

func (x index) add(key, name string) { x[key] = insertName(x[key], name) }

func (x index) remove(key, name string) {
	x[key] = removeName(x[key], name)
	if len(x[key]) == 0 {
		delete(x, key)
	}
}

// move moves a name from one key to another. An empty key stands for none, so
// an empty from only adds the name and an empty to only removes it.
func (x index) move(from, to, name string) {
	if from == to {
		return
	}
	if from != "" {
		x.remove(from, name)
	}
	if to != "" {
		x.add(to, name)
	}
}
