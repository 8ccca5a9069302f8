// Package randomtest sets up the random tests of a package, so that they take
// the same cases on every run.
package randomtest

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the flags that are set here
)

const (
	defaultSeed  = "20261204"
	defaultCases = "60"
)

// Main is the body of a TestMain. MARJORAMTILLER_CHECKS sets the number of cases
// of each test and MARJORAMTILLER_SEED the seed, for longer runs. It returns the
// exit code.
func Main(m *testing.M) int {
	flag.Parse()
	set("rapid.seed", value("MARJORAMTILLER_SEED", defaultSeed))
	set("rapid.checks", value("MARJORAMTILLER_CHECKS", defaultCases))
	set("rapid.nofailfile", "true")
	return m.Run()
}

func value(variable, otherwise string) string {
	if v := os.Getenv(variable); v != "" {
		return v
	}
	return otherwise
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
