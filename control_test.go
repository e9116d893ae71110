package currantloom

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// TestRulesUpdate guards against an update whose changed lines give another text than the sender's, and against
// applying it to a base with another text.
func TestRulesUpdate(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	text := func() string {
		var lines []string
		for range random.IntN(6) {
			lines = append(lines, fmt.Sprint("line ", random.IntN(3)))
		}
		return strings.Join(lines, "\n")
	}
	for i := range RulesRevision(2000) {
		before := NewRulesDocument(i, "a", text())
		after := NewRulesDocument(i+1, "b", text())
		u := NewRulesUpdate(before, after)
		if got, ok := u.Apply(before); !ok || got != after {
			t.Fatalf("from %q to %q: got %q, %v by %+v", before.Text(), after.Text(), got.Text(), ok, u)
		}
		if got, ok := u.Apply(NewRulesDocument(i, "a", text()+"\nother")); ok && got != after {
			t.Fatalf("another base of the same revision led to %q", got.Text())
		}
	}
}
