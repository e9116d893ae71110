package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// crest replays a swing of the load at one upstream: for a time more work arrives than the slots can run. It returns
// the share of the work that ends within the wanted latency, in percent.
func crest(next func(q *queue, now, run time.Duration) *work) int {
	const (
		slots    = 2
		run      = 15 * time.Millisecond
		goal     = 800 * time.Millisecond
		overload = 6 * time.Millisecond // two slots run a statement every 7.5 ms
		arrivals = 1000
	)
	var q queue
	free := make([]time.Duration, slots)
	met := 0
	work := func(i int) *work {
		at := time.Duration(i) * overload
		return &work{goalAt: at + goal, call: currantloom.Call{Priority: 1}}
	}
	arrived := 0
	for now := time.Duration(0); now < 30*time.Second; now += time.Millisecond {
		for arrived < arrivals && time.Duration(arrived)*overload <= now {
			q.add(work(arrived))
			arrived++
		}
		for i := range free {
			if free[i] > now {
				continue
			}
			if w := next(&q, now, run); w != nil {
				free[i] = now + run
				if free[i] <= w.goalAt {
					met++
				}
			}
		}
	}
	return 100 * met / arrivals
}

// TestCrest guards against a queue that lets everybody wait until it is too late for all.
func TestCrest(t *testing.T) {
	always := func(*work) bool { return true }
	first := crest(func(q *queue, _, _ time.Duration) *work {
		if len(q.waiting) == 0 {
			return nil
		}
		return q.take(0)
	})
	got := crest(func(q *queue, now, run time.Duration) *work { return q.next(now, run, always) })
	// The slots run 80% of what arrives in time.
	if got < 75 {
		t.Errorf("%d%% of the work met its goal, want 75%%", got)
	}
	if first >= got {
		t.Errorf("first come, first served: %d%%, with goals: %d%%", first, got)
	}
	t.Logf("met their goal: first come, first served %d%%, with goals %d%%", first, got)
}
