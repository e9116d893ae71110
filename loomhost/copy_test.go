package loomhost

import (
	"errors"
	"fmt"
	"net"
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
