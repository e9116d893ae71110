package loomhost

import (
	"fmt"
	"testing"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
	"currantloom.example/currantloom/loomwatch"
)

// emptyCatalog decodes no item.
type emptyCatalog struct{}

func (emptyCatalog) Configuration(currantloom.StoreItem) (currantloom.Configuration, bool, error) {
	return currantloom.Configuration{}, false, nil
}

func (emptyCatalog) Upstream(currantloom.StoreItem) (currantloom.Upstream, bool, error) {
	return currantloom.Upstream{}, false, nil
}

// newTestStoreCache returns the store cache of a node in a fleet of the given size, all in one failure domain.
func newTestStoreCache(self currantloom.VMName, nodes int) *storeCache {
	n := New(Config{
		Reducer: loomfleet.Config{Self: self, Location: currantloom.NewLocation("ost", "linz")},
		Catalog: emptyCatalog{},
	})
	for i := range nodes {
		key := fmt.Sprintf("%svm-%d", nodeKeyPrefix, i+1)
		n.storeCache.items[key] = currantloom.StoreItem{
			Key: key, Value: []byte(`{"address":"127.0.0.1:1","domain":"linz","region":"ost"}`),
			Position: currantloom.NewStorePosition(1, uint64(i+1)),
		}
	}
	return n.storeCache
}

// TestWatchers guards against a large fleet in which all nodes of a failure domain watch the store, or none does. It
// counts the nodes of fleets of different sizes that are no followers.
func TestWatchers(t *testing.T) {
	for _, c := range []struct{ nodes, watchers int }{{9, 9}, {largeFleetSize, largeFleetSize}, {40, watchersPerDomain}} {
		watchers := 0
		for i := range c.nodes {
			name := currantloom.VMName(fmt.Sprintf("vm-%d", i+1))
			if newTestStoreCache(name, c.nodes).currentFleet().role() != loomwatch.Follower {
				watchers++
			}
		}
		if watchers != c.watchers {
			t.Errorf("%d of %d nodes watch, want %d", watchers, c.nodes, c.watchers)
		}
	}
}

// TestFollowerPushes guards against pushed changes that a follower misses, applies twice, or undoes because an older
// push arrives late.
func TestFollowerPushes(t *testing.T) {
	at := func(revision uint64) currantloom.StorePosition { return currantloom.NewStorePosition(1, revision) }
	item := func(key string, revision uint64, deleted bool) currantloom.StoreItem {
		return currantloom.StoreItem{Key: key, Value: []byte("v"), Position: at(revision), Deleted: deleted}
	}
	c := newTestStoreCache("vm-1", 20)
	push := func(revision uint64, m currantloom.StoreItems) (uint64, bool) {
		m.Delta = true
		w := receivePush(c, at(revision), m)
		return w.position.Revision(), !isCallDue(w)
	}
	if got, ok := push(100, currantloom.StoreItems{
		Items: []currantloom.StoreItem{item("k", 101, false)}, Base: at(100), Position: at(102),
	}); !ok || got != 102 {
		t.Errorf("next changes: %d %v, want revision 102", got, ok)
	}
	if got, ok := push(102, currantloom.StoreItems{
		Items: []currantloom.StoreItem{item("k", 105, true)}, Base: at(102), Position: at(105),
	}); !ok || got != 105 {
		t.Errorf("deletion: %d %v, want revision 105", got, ok)
	}
	if got, ok := push(105, currantloom.StoreItems{
		Items: []currantloom.StoreItem{item("k", 101, false)}, Base: at(100), Position: at(102),
	}); !ok || got != 105 {
		t.Errorf("late push: %d %v, want revision 105", got, ok)
	}
	if _, exists := c.items["k"]; exists {
		t.Error("a late push restored a deleted key")
	}
	if _, ok := push(105, currantloom.StoreItems{Base: at(110), Position: at(112)}); ok {
		t.Error("a push after a gap was accepted")
	}
}

// receivePush passes a push to a follower whose copy is complete up to the position.
func receivePush(c *storeCache, position currantloom.StorePosition, m currantloom.StoreItems) *storeWatch {
	w := newStoreWatch(c)
	w.schedule.SetRole(loomwatch.Follower, 9)
	w.schedule.StartCall(0)
	now := c.node.clock.now()
	w.schedule.CallSucceeded(now, now, false)
	w.schedule.ProofReceived(w.schedule.StartRequest(now), 0)
	w.position = position
	c.enqueuePush("vm-9", m)
	w.handlePush(<-c.pushes)
	return w
}

// isCallDue reports whether the node calls the store within a second, if the copy of the other node does not arrive.
func isCallDue(w *storeWatch) bool {
	at, ok := w.schedule.NextCall()
	return ok && at <= w.cache.node.clock.now()+time.Second
}
