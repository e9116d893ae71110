package loomcore

import (
	"testing"
	"time"
)

// TestCommitWaitSlots guards against slots that stay occupied while statements only wait for a distant replica, and
// against additional slots at an upstream that is busy.
func TestCommitWaitSlots(t *testing.T) {
	tests := []struct {
		name            string
		server          string
		run, roundTrips time.Duration
		want            int
	}{
		{"a near replica", "a", 22 * time.Millisecond, time.Millisecond, 0},
		{"a distant replica", "a", 80 * time.Millisecond, 60 * time.Millisecond, 6},
		{"hardly more than the wait", "a", 61 * time.Millisecond, 60 * time.Millisecond, 6},
		{"no run time known", "a", 0, 60 * time.Millisecond, 0},
		{"a replica does not wait", "b", 80 * time.Millisecond, 60 * time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newScript(t, 2, 16, "")
			x.run("arrive 1 => run 1")
			for _, upstream := range x.state.groups["wheel"].database.Upstreams() {
				x.state.owner.commitWait.roundTrips[upstream.Name()] = test.roundTrips
			}
			q := x.state.queueOf(x.state.groups["wheel"], scriptDatabase(2, 16).Upstreams()[int(test.server[0]-'a')].Name())
			q.confirmedRunTime = test.run
			if got := x.state.commitWaitSlots(q); got != test.want {
				t.Errorf("got %d more slots, want %d", got, test.want)
			}
		})
	}
}
