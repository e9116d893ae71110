package loommeasure

import (
	"bytes"
	"testing"
)

// TestRunIsReproducible guards against measures that depend on the time or the order of a map.
func TestRunIsReproducible(t *testing.T) {
	var first, second bytes.Buffer
	for _, b := range []*bytes.Buffer{&first, &second} {
		if err := Run(b, Options{Seeds: 1}); err != nil {
			t.Fatal(err)
		}
	}
	if first.String() != second.String() {
		t.Errorf("two runs on the same seed differ:\n%s\n%s", first.String(), second.String())
	}
}
