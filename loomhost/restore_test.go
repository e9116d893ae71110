package loomhost

import (
	"errors"
	"net"
	"strconv"
	"testing"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
	"currantloom.example/currantloom/loommesh"
)

// versionCatalog decodes the value of the key "configuration" as a version.
type versionCatalog struct{ emptyCatalog }

func (versionCatalog) Configuration(i currantloom.StoreItem) (currantloom.Configuration, bool, error) {
	version, err := strconv.ParseUint(string(i.Value), 10, 64)
	return currantloom.Configuration{Version: version}, i.Key == "configuration" && !i.Deleted, err
}

func storeItem(key, value string, era currantloom.StoreEra, revision uint64) currantloom.StoreItem {
	return currantloom.StoreItem{
		Key: key, Value: []byte(value), Position: currantloom.NewStorePosition(era, revision),
	}
}

// assertItem checks the value of a key in the copy; an empty value means that the key does not exist.
func assertItem(t *testing.T, c *storeCache, key, want string) {
	t.Helper()
	if got := string(c.items[key].Value); got != want {
		t.Errorf("key %s: %q, want %q", key, got, want)
	}
}

// TestPushesOfOtherEras guards against a push that is applied to the copy of another era, where the same revisions
// belong to other changes.
func TestPushesOfOtherEras(t *testing.T) {
	for _, c := range []struct {
		name     string
		era      currantloom.StoreEra
		restored bool
	}{{"earlier era", 1, false}, {"later era", 3, true}} {
		t.Run(c.name, func(t *testing.T) {
			cache := newTestStoreCache("vm-1", 20)
			position := currantloom.NewStorePosition(2, 100)
			w := receivePush(cache, position, currantloom.StoreItems{
				Items: []currantloom.StoreItem{storeItem("k", "v", c.era, 101)}, Delta: true,
				Base: currantloom.NewStorePosition(c.era, 100), Position: currantloom.NewStorePosition(c.era, 101),
			})
			want := position
			if c.restored {
				want = currantloom.StorePosition{}
			}
			if w.position != want {
				t.Errorf("position %s, want %s", w.position, want)
			}
			if next, ok := w.schedule.NextCall(); !ok || (next <= cache.node.clock.now()+rereadSpread) != c.restored {
				t.Errorf("next call at %s, restored %t", next, c.restored)
			}
			// The reducer drops changes of the era that has passed.
			cache.node.submit(cache.decodeChanges("", nil, false, position))
			_, dropped := cache.node.metrics.counters[counterLabels{event: "store_era", outcome: "dropped"}]
			if dropped != c.restored {
				t.Errorf("changes of era %s dropped: %t, want %t", position, dropped, c.restored)
			}
			assertItem(t, cache, "k", "")
		})
	}
}

// TestCopyKeepsConfiguration guards against a copy of the store, given to nodes that start, in which an older
// configuration has replaced a newer one.
func TestCopyKeepsConfiguration(t *testing.T) {
	n := New(Config{Catalog: versionCatalog{}})
	c := n.storeCache
	c.replace([]currantloom.StoreItem{storeItem("configuration", "7", 1, 90), storeItem("k", "old", 1, 80)})
	c.replace([]currantloom.StoreItem{storeItem("configuration", "6", 2, 40), storeItem("k", "new", 2, 30)})
	assertItem(t, c, "configuration", "7")
	assertItem(t, c, "k", "new")
	c.merge([]currantloom.StoreItem{storeItem("configuration", "8", 2, 41)})
	assertItem(t, c, "configuration", "8")
}

// seedNode answers requests for its copy of the store.
type seedNode struct {
	mesh *loommesh.Mesh
	copy currantloom.StoreItems
}

func (s *seedNode) MessageReceived(_ currantloom.VMName, link uint64, _ currantloom.Message) {
	s.mesh.Respond(link, s.copy)
}
func (*seedNode) OutboundLinkFailed(_ currantloom.VMName, _ bool, remove func()) { remove() }
func (*seedNode) InboundLinkClosed(uint64)                                       {}

// startSeed returns the address of a node that has the copy.
func startSeed(t *testing.T, held currantloom.StoreItems) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &seedNode{copy: held}
	s.mesh = loommesh.New("seed", s)
	served := make(chan error, 1)
	go func() { served <- s.mesh.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		if err := <-served; !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
		_ = s.mesh.Close()
	})
	return listener.Addr().String()
}

// TestStaleSeed guards against a node that starts while the store is unreachable and uses an upstream that had left:
// the copy of a node that has been cut off for long still holds its registration.
func TestStaleSeed(t *testing.T) {
	fresh := startSeed(t, currantloom.StoreItems{
		Items: []currantloom.StoreItem{storeItem("a", "v", 1, 50)}, Position: currantloom.NewStorePosition(1, 60),
	})
	stale := startSeed(t, currantloom.StoreItems{
		Items:    []currantloom.StoreItem{storeItem("a", "v", 1, 50), storeItem("left", "v", 1, 20)},
		Position: currantloom.NewStorePosition(1, 55),
	})
	for name, seeds := range map[string][]string{"stale first": {stale, fresh}, "stale last": {fresh, stale}} {
		t.Run(name, func(t *testing.T) {
			n := New(Config{
				Reducer: loomfleet.Config{Self: "vm-1"}, Catalog: emptyCatalog{}, SeedAddresses: seeds,
			})
			n.storeCache.loadFromSeeds()
			assertItem(t, n.storeCache, "a", "v")
			assertItem(t, n.storeCache, "left", "")
		})
	}
}
