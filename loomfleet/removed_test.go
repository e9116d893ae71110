package loomfleet

import (
	"fmt"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// deleteReplica deletes the registration of c.
func (f *fixture) deleteReplica() *upstream {
	f.Helper()
	f.reduce(CatalogChanged{Stamp: f.stamp(), Position: testStorePosition(30), Upstreams: []UpstreamChange{
		{Position: testStorePosition(30), Upstream: testUpstream("c", false).Upstream, Deleted: true},
	}})
	return f.state.catalog.upstreams["c"]
}

// newRemovalFixture returns a node that reaches the store, and another one that reports an upstream as reachable.
func newRemovalFixture(t *testing.T, reachable ...currantloom.UpstreamName) *fixture {
	t.Helper()
	f := newFixture(t)
	f.now = time.Second
	f.configure(currantloom.ReadLatest)
	f.addMember("vm-2")
	f.wait(pingInterval)
	f.answerPings()
	for _, name := range reachable {
		f.reduce(MessageReceived{Stamp: f.stamp(), From: "vm-2", Message: currantloom.UpstreamFailed{
			Health: currantloom.UpstreamHealth{Name: name, Service: testService, Reachable: true},
		}})
	}
	f.reduce(StoreWatchSucceeded{Stamp: f.stamp()})
	return f
}

// advance lets time pass without ticks, so that the reports of other nodes stay.
func (f *fixture) advance(d time.Duration) {
	f.now += d
	f.state.now = f.now
}

// assertLogCounts checks whether promotions are judged by the log of an upstream.
func (f *fixture) assertLogCounts(u *upstream, want bool) {
	f.Helper()
	fo := &failover{group: u.group, oldPrimary: "a", commits: newCommitBlock(1, nil)}
	counts := false
	for _, other := range f.state.promotionCase(fo).others {
		counts = counts || other.Name == u.Name
	}
	if counts != want {
		f.Errorf("the log of %s counts: %t, want %t", u.Name, counts, want)
	}
}

// TestRemovedWhileStoreUnavailable guards against a promotion that leaves out the log of an upstream which could not
// register because the store was unavailable.
func TestRemovedWhileStoreUnavailable(t *testing.T) {
	t.Run("missing since shortly before", func(t *testing.T) {
		f := newRemovalFixture(t)
		u := f.deleteReplica()
		f.advance(deletionGrace / 2)
		f.reduce(StoreWatchSucceeded{Stamp: f.stamp()})
		f.reduce(StoreWatchFailed{Stamp: f.stamp()})
		f.advance(2 * deletionGrace)
		f.assertLogCounts(u, true)
		f.reduce(StoreWatchSucceeded{Stamp: f.stamp()})
		f.assertLogCounts(u, true)
		f.advance(deletionGrace)
		f.assertLogCounts(u, true)
		f.advance(1)
		f.assertLogCounts(u, false)
	})
	t.Run("missing for long before", func(t *testing.T) {
		f := newRemovalFixture(t)
		u := f.deleteReplica()
		f.advance(deletionGrace + 1)
		f.reduce(StoreWatchSucceeded{Stamp: f.stamp()})
		f.reduce(StoreWatchFailed{Stamp: f.stamp()})
		f.assertLogCounts(u, false)
		f.reduce(StoreWatchSucceeded{Stamp: f.stamp()})
		f.assertLogCounts(u, false)
	})
}

// TestRemovedUpstreamAnswers guards against a promotion that leaves out the log of an upstream which is alive although
// its registration has lapsed, and against one that waits for longer for an upstream that is gone.
func TestRemovedUpstreamAnswers(t *testing.T) {
	t.Run("reported as reachable", func(t *testing.T) {
		f := newRemovalFixture(t, "c")
		u := f.deleteReplica()
		f.advance(deletionGrace + 1)
		f.assertLogCounts(u, true)
		f.advance(forgetUpstreamAfter)
		f.state.tickCatalog()
		if f.state.catalog.upstreams["c"] == nil {
			t.Error("an upstream that receives commits is forgotten, and paused no more")
		}
	})
	t.Run("paused", func(t *testing.T) {
		f := newRemovalFixture(t)
		u := f.deleteReplica()
		f.advance(deletionGrace + 1)
		fo := &failover{group: u.group, oldPrimary: "a", commits: newCommitBlock(1, nil)}
		fo.proof.record(u.Upstream, halt{log: replicaLog{term: 1, received: currantloom.NewLogPosition(1, 8)}})
		b := u.group.find("b").Upstream
		fo.proof.record(b, halt{log: replicaLog{term: 1, received: currantloom.NewLogPosition(1, 7)}})
		if got := fo.proof.judge(f.state.promotionCase(fo), b); got != basisLongerLog {
			t.Errorf("%q for the promotion of the shorter log, want %q", got, basisLongerLog)
		}
	})
	t.Run("gone", func(t *testing.T) {
		f := newRemovalFixture(t)
		u := f.deleteReplica()
		f.advance(deletionGrace)
		f.assertLogCounts(u, true)
		f.advance(1)
		f.assertLogCounts(u, false)
		f.advance(forgetUpstreamAfter - deletionGrace)
		f.state.tickCatalog()
		if f.state.catalog.upstreams["c"] != nil {
			t.Errorf("still known %s after its registration was deleted", forgetUpstreamAfter)
		}
	})
}

// TestStallWithLapsedRegistration guards against commits that stall for as long as the registration of a reachable
// replica is missing, because the replica counts as unreachable.
func TestStallWithLapsedRegistration(t *testing.T) {
	f := newRemovalFixture(t, "b", "c")
	u := f.deleteReplica()
	f.advance(deletionGrace + 1)
	if !f.state.enoughReplicasReachable(u.group) {
		t.Error("a reachable replica counts as unreachable")
	}
}

// TestLostLogBesideMissingReport guards against a promotion that loses a commit of two synchronous replicas: one of
// them is gone and the other does not report, so the halted replicas may lack it.
func TestLostLogBesideMissingReport(t *testing.T) {
	judge := func(f *fixture) promotionBasis {
		configuration := testConfiguration(2, currantloom.ReadLatest)
		service := configuration.Services[testService]
		service.SyncReplicas = 2
		configuration.Services[testService] = service
		f.reduce(CatalogChanged{
			Stamp: f.stamp(), Position: testStorePosition(31), Configuration: configuration,
			Upstreams: []UpstreamChange{testUpstream("d", false)},
		})
		g := f.state.groupOf(testService)
		fo := &failover{group: g, oldPrimary: "a", commits: newCommitBlock(1, nil)}
		for _, u := range g.upstreams {
			if u.Name != "d" && u.deletedAt == 0 {
				fo.proof.record(u.Upstream, halt{log: replicaLog{term: 1, received: currantloom.NewLogPosition(1, 7)}})
			}
		}
		return fo.proof.judge(f.state.promotionCase(fo), g.find("b").Upstream)
	}
	t.Run("one does not report", func(t *testing.T) {
		if got := judge(newRemovalFixture(t)); got != basisAllPaused {
			t.Errorf("%q, want %q", got, basisAllPaused)
		}
	})
	for name, gone := range map[string]time.Duration{
		"another is removed": deletionGrace + 1, "another is forgotten": forgetUpstreamAfter + 1,
	} {
		t.Run(name, func(t *testing.T) {
			f := newRemovalFixture(t)
			f.deleteReplica()
			f.advance(gone)
			f.state.tickCatalog()
			if got := judge(f); got != basisMissingReport {
				t.Errorf("%q, want %q", got, basisMissingReport)
			}
		})
	}
}

// TestGoneBesideFailingStore guards against an upstream that is gone and counts for ever because the store fails every
// two seconds.
func TestGoneBesideFailingStore(t *testing.T) {
	f := newRemovalFixture(t)
	u := f.deleteReplica()
	for range 8 {
		for range 8 {
			f.advance(deletionGrace / 10)
			f.reduce(StoreWatchSucceeded{Stamp: f.stamp()})
		}
		f.reduce(StoreWatchFailed{Stamp: f.stamp()})
		f.advance(deletionGrace / 25)
		f.reduce(StoreWatchSucceeded{Stamp: f.stamp()})
	}
	f.assertLogCounts(u, false)
}

// TestOldReportKeepsNoUpstream guards against an upstream that is kept in a large fleet by the report of a VM that is
// not asked again.
func TestOldReportKeepsNoUpstream(t *testing.T) {
	f := newFixture(t)
	f.now = time.Second
	f.configure(currantloom.ReadLatest)
	for i := range smallFleetSize + 2 {
		f.addMember(currantloom.VMName(fmt.Sprintf("vm-%d", i+2)))
	}
	f.wait(pingInterval)
	reporter := f.state.members.sorted[5]
	f.state.sendPing(reporter, "")
	f.reduce(MessageReceived{Stamp: f.stamp(), From: reporter.vm.Name(), Message: currantloom.Pong{
		Number:    reporter.pingNumber,
		Upstreams: []currantloom.UpstreamHealth{{Name: "c", Service: testService, Reachable: true}},
	}})
	f.reduce(StoreWatchSucceeded{Stamp: f.stamp()})
	u := f.deleteReplica()
	f.wait(2 * forgetUpstreamAfter)
	if f.state.catalog.upstreams["c"] != nil {
		t.Errorf("known %s after its registration was deleted", f.now-u.deletedAt)
	}
}
