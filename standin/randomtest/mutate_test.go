package randomtest

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// Guards against mutations that differ between two runs, so that a failure could not be
// repeated, and against some that leave every seed as it is.
func TestMutationsAreRepeatable(t *testing.T) {
	is := is.New(t)
	seeds := [][]byte{[]byte(`{"a":1}`), []byte(`{"b":[2,3]}`)}
	first := Mutations("target", seeds)
	is.Equal(first, Mutations("target", seeds))
	is.Equal(len(first), len(seeds)*mutationsPerSeed)
	changed := 0
	for i, data := range first {
		if !bytes.Equal(data, seeds[i%len(seeds)]) {
			changed++
		}
	}
	is.True(changed > len(first)*8/10)
	is.Equal(seeds, [][]byte{[]byte(`{"a":1}`), []byte(`{"b":[2,3]}`)})
}
