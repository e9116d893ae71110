package loomcore

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the fuzz tests, so that each run gives the same result. A seed given on the command
// line is used instead.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
