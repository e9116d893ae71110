package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestLagLogLine guards against reads that all go to the primary without a log line that says why, and against one line
// for each of them.
func TestLagLogLine(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadBoundedStaleness)
	g := f.state.groupOf(testService)
	lines := func() []Decision {
		var found []Decision
		for _, e := range f.effects {
			if d, ok := e.(Decision); ok && d.Event == "lag" {
				found = append(found, d)
			}
		}
		return found
	}
	count := 0
	for range 2 {
		f.now += 100 * time.Millisecond
		f.state.now = f.now
		for range 50 {
			g.lag.recordRejectedRead(g.find("b"), sample{position: currantloom.NewLogPosition(1, 9), takenAt: time.Millisecond})
		}
		f.reduce(Tick{Stamp: f.stamp()})
		for _, d := range lines() {
			count += d.Count
		}
	}
	if count != 50 {
		t.Errorf("%d reads were logged within a second, want the 50 of the first line", count)
	}
	f.wait(lagLogInterval)
	if got := lines(); len(got) != 1 || got[0].Count != 50 || got[0].Upstream != "b" {
		t.Errorf("lines after a second: %+v, want one for the other 50", got)
	}
}
