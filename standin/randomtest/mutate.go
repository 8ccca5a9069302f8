package randomtest

import (
	"bytes"
	"flag"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
)

// Limits of the mutations that Fuzz adds. They keep a target below a second under the race
// detector.
const (
	mutationsPerSeed = 100
	maxMutationBytes = 4 << 20 // of a target in total
)

// mutationSource is the seed of the random source of mutations, so that every run has the same.
const mutationSource = 20261205

// tokens are inserted into an input, or replace a number of it. They are out of the range of
// most fields, of another type, not UTF-8, or nested.
var tokens = [][]byte{
	[]byte(`0`), []byte(`-1`), []byte(`1.5`), []byte(`1e400`), []byte(`1e300`), []byte(`9223372036854775807`), []byte(`-9223372036854775808`),
	[]byte(`18446744073709551615`), []byte(`4294967295`), []byte(`9223372036854775808`), []byte(`null`), []byte(`true`), []byte(`""`), []byte(`[]`), []byte(`{}`),
	[]byte(`[[[[`), []byte("\xff"), []byte(`\ud800`), []byte("\x00"), []byte(`"`), []byte(`,`), bytes.Repeat([]byte("["), 10_001),
	{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01}, {0x80, 0x80, 0x80, 0x80, 0x10},
}

// Fuzz registers check as the target of f with the given seeds and their mutations, see Add.
func Fuzz(f *testing.F, check func(t *testing.T, data []byte), seeds ...[]byte) {
	f.Helper()
	Add(f, seeds...)
	f.Fuzz(check)
}

// Add adds seeds to the target of f, which takes one []byte. In a plain run of the tests it
// also adds seeded mutations of each seed, the same in every run; "go test -fuzz" makes its
// own.
func Add(f *testing.F, seeds ...[]byte) {
	f.Helper()
	for _, seed := range seeds {
		f.Add(seed)
	}
	if fuzzing := flag.Lookup("test.fuzz"); fuzzing == nil || fuzzing.Value.String() == "" {
		for _, data := range Mutations(f.Name(), seeds) {
			f.Add(data)
		}
	}
}

// Mutations returns mutations of each seed. They depend on the name and the seeds only.
func Mutations(name string, seeds [][]byte) (list [][]byte) {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	random := rand.New(rand.NewPCG(mutationSource, hash.Sum64()))
	total := 0
	for range mutationsPerSeed {
		for _, seed := range seeds {
			data := slices.Clone(seed)
			for range 1 + random.IntN(3) {
				data = mutate(random, data, seeds)
			}
			if total += len(data); total > maxMutationBytes {
				return list
			}
			list = append(list, data)
		}
	}
	return list
}

// mutate returns data with one random change.
func mutate(random *rand.Rand, data []byte, seeds [][]byte) []byte {
	from := random.IntN(len(data) + 1)
	to := min(len(data), from+random.IntN(16))
	token := tokens[random.IntN(len(tokens))]
	switch random.IntN(7) {
	case 0: // a flipped bit
		if from < len(data) {
			data[from] ^= 1 << random.IntN(8)
		}
		return data
	case 1: // a missing part
		return slices.Delete(data, from, to)
	case 2: // a repeated part
		return slices.Insert(data, from, data[from:to]...)
	case 3: // the end is missing
		return data[:from]
	case 4: // the end of another seed
		other := seeds[random.IntN(len(seeds))]
		return append(data[:from], other[random.IntN(len(other)+1):]...)
	case 5: // another number
		isDigit := func(b byte) bool { return b >= '0' && b <= '9' }
		start := slices.IndexFunc(data[from:], isDigit)
		if start < 0 {
			return data
		}
		start += from
		end := start
		for end < len(data) && isDigit(data[end]) {
			end++
		}
		return slices.Replace(data, start, end, token...)
	}
	return slices.Insert(data, from, token...)
}
