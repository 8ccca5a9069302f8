package fleet

import (
	"bytes"
	"testing"

	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

// Guards against a snapshot received from a peer that makes Restore panic, or that
// is restored to a state whose own snapshot can't be restored to the same state.
func FuzzRestore(f *testing.F) {
	seed, err := newFleetOfSize(3).fleet.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	randomtest.Add(f, seed)
	randomtest.Add(f, []byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New()
		if s.Restore(data) != nil {
			return
		}
		snapshot, err := s.Snapshot()
		if err != nil {
			t.Fatalf("the restored state has no snapshot: %v", err)
		}
		other := New()
		if err := other.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		if again, _ := other.Snapshot(); !bytes.Equal(snapshot, again) {
			t.Fatal("the snapshot of a restored state differs")
		}
	})
}
