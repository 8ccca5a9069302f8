package ledger

import (
	"bytes"
	"testing"

	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

// Guards against a snapshot received from a peer that makes Restore panic, or that
// restores to a state whose own snapshot cannot be restored to the same state.
func FuzzRestore(f *testing.F) {
	seed, err := filledFixture(3).ledger.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	randomtest.Add(f, seed)
	randomtest.Add(f, []byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		first := New(100)
		if first.Restore(data) != nil {
			return
		}
		snapshot, err := first.Snapshot()
		if err != nil {
			t.Fatalf("the restored state has no snapshot: %v", err)
		}
		second := New(100)
		if err := second.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		if again, _ := second.Snapshot(); !bytes.Equal(snapshot, again) {
			t.Fatal("the snapshot of a restored state differs from the one restored")
		}
	})
}
