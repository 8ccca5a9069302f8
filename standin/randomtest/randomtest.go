// Package randomtest configures the property-based tests of a package, so that they
// generate the same cases on every run.
package randomtest

import (
	"flag"
	"os"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // registers the flags that are set here
)

const (
	defaultSeed  = "20261204"
	defaultCases = "60"
)

// Main configures and runs the tests; TestMain calls it. MARJORAMTILLER_CHECKS sets the number of cases
// of each test and MARJORAMTILLER_SEED the seed, for longer runs. It returns the
// exit code.
func Main(m *testing.M) int {
	flag.Parse()
	setFlag("rapid.seed", environmentOr("MARJORAMTILLER_SEED", defaultSeed))
	setFlag("rapid.checks", environmentOr("MARJORAMTILLER_CHECKS", defaultCases))
	setFlag("rapid.nofailfile", "true")
	return m.Run()
}

// Seeds returns the seeds of a test that plays one case for each: MARJORAMTILLER_CHECKS
// many, or count, from MARJORAMTILLER_SEED or 1 on.
func Seeds(count int) []uint64 {
	if n, err := strconv.Atoi(os.Getenv("MARJORAMTILLER_CHECKS")); err == nil {
		count = n
	}
	first := uint64(1)
	if n, err := strconv.ParseUint(os.Getenv("MARJORAMTILLER_SEED"), 10, 64); err == nil {
		first = n
	}
	seeds := make([]uint64, count)
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	return seeds
}

func environmentOr(variable, fallback string) string {
	if v := os.Getenv(variable); v != "" {
		return v
	}
	return fallback
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
