package reconcile

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests. MARJORAMTILLER_CHECKS sets the
// number of cases of each, for longer runs.
func TestMain(m *testing.M) {
	flag.Parse()
	setFlag("rapid.seed", "20261204")
	setFlag("rapid.nofailfile", "true")
	checks := os.Getenv("MARJORAMTILLER_CHECKS")
	if checks == "" {
		checks = "60"
	}
	setFlag("rapid.checks", checks)
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
