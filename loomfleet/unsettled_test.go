package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// newUnsettledFixture returns a holder of the failover lease that has heard an earlier holder announce the promotion of
// b while a leads.
func newUnsettledFixture(t *testing.T) (*fixture, *group) {
	t.Helper()
	f := newFixture(t)
	f.now = time.Second
	f.configure(currantloom.ReadLatest)
	f.holdLease()
	f.addMember("vm-2")
	f.wait(pingInterval)
	f.answerPings()
	g := f.state.groupOf(testService)
	g.setPrimary(f.state, "a", "reported")
	f.state.handleBlockWrites(0, currantloom.BlockWrites{
		Service: testService, Duration: blockWritesDuration, BlockCommits: true, Successor: "b",
	})
	return f, g
}

// tickFailoverFor ticks a failover for a while, or until it has left the step.
func (f *fixture) tickFailoverFor(fo *failover, d time.Duration) {
	step, failovers := fo.step, f.state.coordinator.failovers
	for end := f.now + d; f.now < end && fo.step == step && failovers[testService] == fo; {
		f.now += TickInterval
		f.state.now = f.now
		f.state.tickFailover(fo)
	}
}

// startPause starts a failover at the step in which replicas are paused.
func (f *fixture) startPause(g *group, reason string, planned bool) *failover {
	f.state.startFailover(g, reason, planned)
	f.recordChange()
	fo := f.state.coordinator.failovers[g.name]
	fo.fence = f.state.coordinator.leaseKey.position
	f.state.enterStep(fo, stepPause)
	return fo
}

// TestShutdownWhileUnsettled guards against a holder that shuts down while it settles the request of an earlier one and
// tells all nodes that the primary stays: they let writes go and forget the request.
func TestShutdownWhileUnsettled(t *testing.T) {
	f, g := newUnsettledFixture(t)
	f.startPause(g, reasonUnsettled, true)
	f.state.effects = nil
	f.state.endFailovers(reasonShutdown)
	for _, e := range f.state.effects {
		if s, ok := e.(Send); ok {
			if m, ok := s.Message.(currantloom.PrimaryChanged); ok {
				t.Errorf("%s is told %+v", s.VM.Name(), m)
			}
		}
	}
}

// TestWritesBlockedWhileUnsettled guards against writes that go on because the failover that settles an earlier request
// takes longer than one blocking lasts.
func TestWritesBlockedWhileUnsettled(t *testing.T) {
	f, g := newUnsettledFixture(t)
	fo := f.startPause(g, reasonUnsettled, true)
	f.tickFailoverFor(fo, blockWritesDuration+time.Second)
	if g.writesBlockedUntil <= f.now {
		t.Errorf("step %s: writes go on since %s", fo.step, f.now-g.writesBlockedUntil)
	}
}

// TestOwnAnnouncementIsSettled guards against a holder that takes its own promotion for one that may still take
// effect after the upstream has led, and changes the primary again.
func TestOwnAnnouncementIsSettled(t *testing.T) {
	f, g := newUnsettledFixture(t)
	f.state.coordinator.promotionsOf(testService).announced = ""
	fo := f.startPause(g, "primary is unreachable", false)
	fo.candidate = "b"
	f.state.enterStep(fo, stepPromote)
	f.reduce(PromoteAnswered{
		Stamp: f.stamp(), Service: testService, PromotionID: fo.promotionID, Result: currantloom.PromoteAccepted,
	})
	f.now += TickInterval
	f.state.now = f.now
	g.recordPrimary(f.state, "b", currantloom.NewLogPosition(2, 7), f.now)
	f.state.tickFailover(fo)
	if f.state.coordinator.failovers[testService] != nil {
		t.Fatal("the failover did not end")
	}
	g.setPrimary(f.state, "a", "reported")
	if reason, _ := f.state.failoverReason(g); reason == reasonUnsettled {
		t.Errorf("reason %q for another change", reason)
	}
}

// TestStalledCommitsBesideDoubt guards against failovers for stalled commits that all end before a replica which may
// still resume counts as halted.
func TestStalledCommitsBesideDoubt(t *testing.T) {
	f := newFixture(t)
	f.now = time.Second
	f.configure(currantloom.ReadLatest)
	f.holdLease()
	g := f.state.groupOf(testService)
	g.resumptions.recordSent(g.find("c").Upstream)
	g.resumptions.recordResult(g.find("c").Upstream, currantloom.MayHaveRun, f.now)
	fo := f.startPause(g, reasonCommitsStalled, false)
	current := func() bool { return f.state.coordinator.failovers[testService] == fo }
	for f.now < 8*time.Second && current() && fo.step == stepPause {
		pause := currantloom.Command{Kind: currantloom.CommandPauseReplication, Term: fo.proof.term}
		for name, index := range map[currantloom.UpstreamName]currantloom.LogIndex{"b": 8, "c": 7} {
			fo.commandPending[name] = false
			fo.proof.observe(g.find(name).Upstream, pause, currantloom.ReplicationStatus{
				Term: 1, Held: pause.Term, Received: currantloom.NewLogPosition(1, index),
			}, f.now)
		}
		f.tickFailoverFor(fo, TickInterval)
	}
	if !current() || fo.step == stepPause {
		t.Errorf("step %s, current: %t after %s; want a request for promotion", fo.step, current(), f.now-fo.startedAt)
	}
}
