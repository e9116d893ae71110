package loomcore

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the fuzz tests, so that each run of the tests gives the same verdict. A seed given on the
// command line is kept.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
