package loomhost

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

// startLinks returns a node of which only the links run, and its VM.
func startLinks(t *testing.T, name currantloom.VMName) (*Node, currantloom.VM) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := New(Config{Reducer: loomfleet.Config{Self: name}, Catalog: emptyCatalog{}})
	served := make(chan error, 1)
	go func() { served <- n.mesh.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		if err := <-served; !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
		_ = n.mesh.Close()
	})
	return n, currantloom.NewVM(name, currantloom.Location{}, listener.Addr().String(), "", currantloom.VMLive)
}

// TestCopyFromAnyNode guards against a node that starts while neither the store nor a seed node can be reached, and
// that has no configuration until the store is back although other nodes send it messages.
func TestCopyFromAnyNode(t *testing.T) {
	running, _ := startLinks(t, "vm-1")
	starting, startingVM := startLinks(t, "vm-2")
	running.storeCache.adoptCopy("vm-9", currantloom.StoreItems{
		Items: []currantloom.StoreItem{
			storeItem("k", "v", 1, 5),
			storeItem(nodeKeyPrefix+"vm-2", fmt.Sprintf(`{"address":%q}`, startingVM.LinkAddress()), 1, 4),
		},
		Position: currantloom.NewStorePosition(1, 9),
	})
	for name, message := range map[string]currantloom.Message{
		"ping": currantloom.Ping{Number: 1},
		"push": currantloom.StoreItems{
			Delta: true, Base: currantloom.NewStorePosition(1, 9), Position: currantloom.NewStorePosition(1, 9),
		},
	} {
		t.Run(name, func(t *testing.T) {
			starting.storeCache = newStoreCache(starting)
			running.mesh.Send(startingVM, message)
			for end := time.Now().Add(2 * time.Second); !starting.storeCache.hasCopy(); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("no copy within 2 s")
				}
			}
			if got := starting.storeCache.takeAdopted(); got != currantloom.NewStorePosition(1, 9) {
				t.Errorf("position %s, want 1/9", got)
			}
			items := starting.storeCache.storeItems().Items
			if len(items) != 2 || items[0].Key != "k" {
				t.Errorf("items %v, want those of the other node", items)
			}
		})
	}
}

// failingStore is a store that does not answer a node.
type failingStore struct{ readOnlyStore }

func (failingStore) Watch(
	context.Context, string, currantloom.StorePosition, time.Duration,
) ([]currantloom.StoreItem, currantloom.StorePosition, error) {
	return nil, currantloom.StorePosition{}, currantloom.ErrUnavailable.New("no answer")
}

// TestChangesFromPeer guards against a running node that the store turns away and that keeps its old configuration
// although other nodes have a newer one.
func TestChangesFromPeer(t *testing.T) {
	peer, peerVM := startLinks(t, "vm-1")
	refused, refusedVM := startLinks(t, "vm-2")
	register := func(vm currantloom.VM, revision uint64) currantloom.StoreItem {
		return storeItem(nodeKeyPrefix+string(vm.Name()), fmt.Sprintf(`{"address":%q}`, vm.LinkAddress()), 1, revision)
	}
	nodes := []currantloom.StoreItem{register(peerVM, 1), register(refusedVM, 2)}
	for _, n := range []*Node{peer, refused} {
		n.config.Catalog, n.config.Store = keyCatalog{}, failingStore{}
		n.storeCache.adoptCopy("", currantloom.StoreItems{
			Items: append(slices.Clone(nodes), storeItem("configuration", "1", 1, 9)), Position: storePositionAt(9),
		})
	}
	peer.storeCache.merge([]currantloom.StoreItem{storeItem("configuration", "2", 1, 12)})
	peer.storeCache.recordPosition(storePositionAt(12), peer.clock.now())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- refused.storeCache.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	for end := time.Now().Add(configurationTime); configurationOf(refused.storeCache) != 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("version %d after %s, want 2", configurationOf(refused.storeCache), configurationTime)
		}
	}
}

// TestProofs guards against an answer to a request for a proof that is sent without one, that repeats what the sender
// has, or that lacks the copy that it asked for.
func TestProofs(t *testing.T) {
	c := newTestStoreCache("vm-1", 20)
	c.recordPosition(storePositionAt(100), 0)
	behind := currantloom.StoreProofRequest{Number: 7, Position: storePositionAt(90), Copy: true}
	if m := c.proof("vm-2", behind); m.Request != 0 || m.Delta || len(m.Items) != 20 {
		t.Errorf("without a proof: request %d, delta %t, %d items", m.Request, m.Delta, len(m.Items))
	}
	c.recordPosition(storePositionAt(100), c.node.clock.now())
	if m := c.proof("vm-2", behind); m.Request != 7 || m.Delta || m.Age < 0 || m.Age > time.Minute {
		t.Errorf("with a proof: request %d, delta %t, age %s", m.Request, m.Delta, m.Age)
	}
	current := currantloom.StoreProofRequest{Number: 8, Position: storePositionAt(100), Copy: true}
	if m := c.proof("vm-2", current); m.Request != 8 || !m.Delta || len(m.Items) > 0 {
		t.Errorf("to a current node: request %d, delta %t, %d items", m.Request, m.Delta, len(m.Items))
	}
}
