package lease

import (
	"os"
	"testing"

	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

func TestMain(m *testing.M) { os.Exit(randomtest.Main(m)) }
