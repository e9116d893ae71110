package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// deleteUpstream deletes the registration of an upstream.
func (f *fixture) deleteUpstream(name currantloom.UpstreamName) *upstream {
	f.Helper()
	f.reduce(CatalogChanged{Stamp: f.stamp(), Position: testStorePosition(30), Upstreams: []UpstreamChange{
		{Position: testStorePosition(30), Upstream: testUpstream(name, false).Upstream, Deleted: true},
	}})
	return f.state.catalog.upstreams[name]
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
	fo := &failover{group: u.group, oldPrimary: "a"}
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
		u := f.deleteUpstream("c")
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
		u := f.deleteUpstream("c")
		f.advance(deletionGrace + 1)
		f.reduce(StoreWatchSucceeded{Stamp: f.stamp()})
		f.reduce(StoreWatchFailed{Stamp: f.stamp()})
		f.assertLogCounts(u, false)
		f.reduce(StoreWatchSucceeded{Stamp: f.stamp()})
		f.assertLogCounts(u, false)
	})
}
