package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestAckedOfSlowVM guards against the promotion of a replica that lacks an acknowledged commit: the server that had
// received it was replaced, and the VM that saw the acknowledgement answers late.
func TestAckedOfSlowVM(t *testing.T) {
	paused := func(t *testing.T, lose bool) (*fixture, *failover) {
		f := newFixture(t)
		f.configure(currantloom.ReadLatest)
		f.join("vm-2")
		f.wait(pingInterval)
		f.answerPings()
		g := f.state.groupOf(testService)
		if lose {
			f.reduce(CatalogChanged{Stamp: f.stamp(), Revision: 30, Upstreams: []UpstreamChange{
				{Revision: 30, Upstream: testUpstream("c", false).Upstream, Gone: true},
			}})
			f.now += lapseGrace + TickInterval
			f.state.now = f.now
		}
		f.state.startFailover(g, "primary is quiet", false)
		change := f.state.duty.failovers[testService]
		f.state.enter(change, stepPause)
		for _, name := range []currantloom.ServerName{"b", "c"} {
			change.reports[name] = currantloom.ReplicationStatus{Term: 1, Received: currantloom.NewMark(1, 7)}
		}
		f.now += ackedWait + 20*time.Millisecond
		f.state.now = f.now
		f.state.tickPause(change)
		return f, change
	}
	t.Run("no log lost", func(t *testing.T) {
		if _, change := paused(t, false); change.step != stepOrder {
			t.Errorf("step %s after %s, want the order", change.step, ackedWait)
		}
	})
	t.Run("log lost", func(t *testing.T) {
		f, change := paused(t, true)
		if change.step != stepPause {
			t.Fatalf("step %s before the slow VM answered, want pause", change.step)
		}
		f.reduce(MessageReceived{Stamp: f.stamp(), From: "vm-2", Message: currantloom.Pong{
			Number: f.state.members.byName["vm-2"].ping,
			Acked:  []currantloom.AckedMark{{Service: testService, Mark: currantloom.NewMark(1, 8)}},
		}})
		f.state.tickPause(change)
		if change.step == stepOrder {
			t.Errorf("%s is to be promoted without the acknowledged commit", change.candidate)
		}
	})
}
