package loomhost

import (
	"context"
	"fmt"
	"testing"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

// emptyCatalog knows no configuration and no upstream.
type emptyCatalog struct{}

func (emptyCatalog) Configuration(currantloom.StoreItem) (currantloom.Configuration, bool, error) {
	return currantloom.Configuration{}, false, nil
}

func (emptyCatalog) Upstream(currantloom.StoreItem) (currantloom.Upstream, bool, error) {
	return currantloom.Upstream{}, false, nil
}

// testRegistry returns the registry of a node in a fleet of the given size, all in its failure domain.
func testRegistry(self currantloom.VMName, nodes int) *registry {
	n := New(Config{
		Reducer: loomfleet.Config{Self: self, Location: currantloom.NewLocation("ost", "linz")},
		Catalog: emptyCatalog{},
	})
	for i := range nodes {
		key := fmt.Sprintf("%svm-%d", memberPrefix, i+1)
		n.registry.items[key] = currantloom.StoreItem{
			Key: key, Value: []byte(`{"address":"a","domain":"linz","region":"ost"}`), Revision: uint64(i + 1),
		}
	}
	return n.registry
}

// TestWatchers guards against a large fleet in which every node watches the store, or none of a failure domain does.
func TestWatchers(t *testing.T) {
	for _, c := range []struct{ nodes, watchers int }{{9, 9}, {largeFleet, largeFleet}, {40, watchersPerDomain}} {
		watchers := 0
		for i := range c.nodes {
			if !testRegistry(currantloom.VMName(fmt.Sprintf("vm-%d", i+1)), c.nodes).follows() {
				watchers++
			}
		}
		if watchers != c.watchers {
			t.Errorf("%d of %d nodes watch, want %d", watchers, c.nodes, c.watchers)
		}
	}
}

// TestFollow guards against changes that a follower misses, applies twice, or takes back.
func TestFollow(t *testing.T) {
	item := func(key string, revision uint64, deleted bool) currantloom.StoreItem {
		return currantloom.StoreItem{Key: key, Value: []byte("v"), Revision: revision, Deleted: deleted}
	}
	r := testRegistry("vm-1", 20)
	follow := func(revision uint64, m currantloom.StoreItems) (uint64, bool) {
		m.Delta = true
		r.pushed(m)
		return r.follow(context.Background(), revision)
	}
	if got, ok := follow(100, currantloom.StoreItems{
		Items: []currantloom.StoreItem{item("k", 101, false)}, BaseRevision: 100, Revision: 102,
	}); !ok || got != 102 {
		t.Errorf("next changes: %d %v, want revision 102", got, ok)
	}
	if got, ok := follow(102, currantloom.StoreItems{
		Items: []currantloom.StoreItem{item("k", 105, true)}, BaseRevision: 102, Revision: 105,
	}); !ok || got != 105 {
		t.Errorf("removal: %d %v, want revision 105", got, ok)
	}
	if got, ok := follow(105, currantloom.StoreItems{
		Items: []currantloom.StoreItem{item("k", 101, false)}, BaseRevision: 100, Revision: 102,
	}); !ok || got != 105 {
		t.Errorf("late push: %d %v, want revision 105", got, ok)
	}
	if _, exists := r.items["k"]; exists {
		t.Error("a late push brought a removed key back")
	}
	if _, ok := follow(105, currantloom.StoreItems{BaseRevision: 110, Revision: 112}); ok {
		t.Error("a gap was not noticed")
	}
	if _, ok := r.follow(context.Background(), 105); ok {
		t.Error("silence was not noticed")
	}
}
