package loomnode

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/charmbracelet/log"

	"currantloom.example/currantloom/loomcore"
)

// TestDecisionLogIsBounded guards against a log that grows without limit while it is not written, that hides the loss
// of decisions, or that loses those that wait when the node ends.
func TestDecisionLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	d := newDecisionLog(log.New(&out))
	for range decisionQueue + 3 {
		d.put(loomcore.Decision{Event: "route", Reason: "primary"})
	}
	if len(d.waiting) != decisionQueue {
		t.Fatalf("%d decisions wait, want %d", len(d.waiting), decisionQueue)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := d.run(ctx); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "route"); n != decisionQueue {
		t.Errorf("%d decisions written, want %d", n, decisionQueue)
	}
	if !strings.Contains(out.String(), "count=3") {
		t.Error("the number of dropped decisions was not reported")
	}
}
