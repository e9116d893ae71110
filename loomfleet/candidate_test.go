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
				{Revision: 30, Upstream: testUpstream("c", false).Upstream, Deleted: true},
			}})
			f.now += deletionGrace + TickInterval
			f.state.now = f.now
		}
		f.state.startFailover(g, "primary is quiet", false)
		change := f.state.coordinator.failovers[testService]
		f.state.enterStep(change, stepPause)
		for _, name := range []currantloom.UpstreamName{"b", "c"} {
			change.statuses[name] = currantloom.ReplicationStatus{Term: 1, Received: currantloom.NewLogPosition(1, 7)}
		}
		f.now += minAckedWait + 20*time.Millisecond
		f.state.now = f.now
		f.state.tickPause(change)
		return f, change
	}
	t.Run("no log lost", func(t *testing.T) {
		if _, change := paused(t, false); change.step != stepPromote {
			t.Errorf("step %s after %s, want the order", change.step, minAckedWait)
		}
	})
	t.Run("log lost", func(t *testing.T) {
		f, change := paused(t, true)
		if change.step != stepPause {
			t.Fatalf("step %s before the slow VM answered, want pause", change.step)
		}
		f.reduce(MessageReceived{Stamp: f.stamp(), From: "vm-2", Message: currantloom.Pong{
			Number:         f.state.members.byName["vm-2"].pingNumber,
			AckedPositions: []currantloom.AckedPosition{{Service: testService, Position: currantloom.NewLogPosition(1, 8)}},
		}})
		f.state.tickPause(change)
		if change.step == stepPromote {
			t.Errorf("%s is to be promoted without the acknowledged commit", change.candidate)
		}
	})
}

// TestPendingPromotion guards against replicas that go on while an accepted order has not taken effect: what they then
// acknowledge is missing in the next primary.
func TestPendingPromotion(t *testing.T) {
	awaiting := func(t *testing.T) (*fixture, *failover) {
		f := newFixture(t)
		f.configure(currantloom.ReadLatest)
		f.state.startFailover(f.state.groupOf(testService), "primary is quiet", false)
		change := f.state.coordinator.failovers[testService]
		change.paused["b"], change.paused["c"] = true, true
		change.candidate = "b"
		f.state.enterStep(change, stepPromote)
		f.reduce(PromoteAnswered{
			Stamp: f.stamp(), Service: testService, PromotionID: change.promotionID, Result: currantloom.PromoteAccepted,
		})
		return f, change
	}
	resumed := func(f *fixture) int {
		count := 0
		for _, c := range f.state.requests.calls {
			if c.mode == currantloom.CallFailover {
				count++
			}
		}
		return count
	}
	t.Run("shutdown before it takes effect", func(t *testing.T) {
		f, change := awaiting(t)
		f.state.endFailover(change, "shutdown")
		if got := resumed(f); got != 0 {
			t.Errorf("%d replicas are told to go on, want none", got)
		}
	})
	t.Run("it took effect", func(t *testing.T) {
		f, change := awaiting(t)
		f.state.groupOf(testService).recordPrimary(f.state, "b", currantloom.NewLogPosition(2, 1), f.now)
		f.state.endFailover(change, "promoted")
		if got := resumed(f); got != 2 {
			t.Errorf("%d replicas are told to go on, want both", got)
		}
	})
}

// TestResumeWithoutDuty guards against a node that lost the duty and lets replicas go on that the next holder paused.
func TestResumeWithoutDuty(t *testing.T) {
	newChange := func(t *testing.T) (*fixture, *failover) {
		f := newFixture(t)
		f.configure(currantloom.ReadLatest)
		f.state.startFailover(f.state.groupOf(testService), reasonCommitsStalled, false)
		change := f.state.coordinator.failovers[testService]
		change.paused["b"] = true
		return f, change
	}
	t.Run("when it loses the duty", func(t *testing.T) {
		f, change := newChange(t)
		f.state.endFailover(change, reasonLeaseLost)
		if got := len(f.state.requests.calls); got != 0 {
			t.Errorf("%d commands after the duty was lost, want none", got)
		}
	})
	t.Run("when a command has failed", func(t *testing.T) {
		f, change := newChange(t)
		f.state.endFailover(change, "no candidate")
		for key := range f.state.requests.calls {
			f.state.handleCallResult(currantloom.CallResult{Key: key, Reason: currantloom.ReasonTimeout})
		}
		if got := len(f.state.requests.calls); got != 0 {
			t.Errorf("%d commands are repeated without the duty, want none", got)
		}
	})
}

// TestOrderAgain guards against an order that is repeated on the strength of old reports: a replica that restarted
// meanwhile is no longer paused, and may have acknowledged commits that the candidate lacks.
func TestOrderAgain(t *testing.T) {
	for _, result := range []currantloom.PromoteResult{currantloom.PromoteNotDone, currantloom.PromoteUnknown} {
		t.Run(result.String(), func(t *testing.T) {
			f := newFixture(t)
			f.configure(currantloom.ReadLatest)
			f.state.startFailover(f.state.groupOf(testService), "primary is quiet", false)
			change := f.state.coordinator.failovers[testService]
			change.candidate = "b"
			change.statuses["b"] = currantloom.ReplicationStatus{Term: 1, Received: currantloom.NewLogPosition(1, 7)}
			f.state.enterStep(change, stepPromote)
			f.reduce(PromoteAnswered{Stamp: f.stamp(), Service: testService, PromotionID: change.promotionID, Result: result})
			f.state.now += stepTimeout
			f.state.tickFailover(change)
			if change.step != stepPause || len(change.statuses) != 0 {
				t.Errorf("step %s with %d reports, want pause without any", change.step, len(change.statuses))
			}
		})
	}
}
