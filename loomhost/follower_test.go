package loomhost

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
	"currantloom.example/currantloom/loommesh"
	"currantloom.example/currantloom/loomwatch"
)

// configurationTime is the time within which the platform promises that a configuration is in force on the nodes of a
// large fleet that can reach the store.
const configurationTime = 6 * time.Second

// readOnlyStore is a store that refuses all changes.
type readOnlyStore struct{ currantloom.Store }

func (readOnlyStore) Grant(
	context.Context, currantloom.StoreEra, time.Duration,
) (currantloom.StoreLease, error) {
	return currantloom.StoreLease{}, currantloom.ErrUnavailable.New("no leases")
}

// servingStore is a store that answers at once with all its items.
type servingStore struct {
	readOnlyStore
	mu       sync.Mutex
	items    []currantloom.StoreItem
	position currantloom.StorePosition
	// watched says that a node has waited for changes and got none.
	watched bool
}

func (s *servingStore) Range(context.Context, string) ([]currantloom.StoreItem, currantloom.StorePosition, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items, s.position, nil
}

func (s *servingStore) Watch(
	ctx context.Context, prefix string, after currantloom.StorePosition, wait time.Duration,
) ([]currantloom.StoreItem, currantloom.StorePosition, error) {
	items, position, err := s.Range(ctx, prefix)
	if !position.After(after) {
		time.Sleep(wait)
		s.mu.Lock()
		s.watched = true
		s.mu.Unlock()
		return nil, position, err
	}
	return items, position, err
}

// put adds an item at the next revision.
func (s *servingStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := s.position.Revision() + 1
	s.items = append(s.items, storeItem(key, value, 1, revision))
	s.position = currantloom.NewStorePosition(1, revision)
}

// hangingWatcher answers requests for proofs. Its call to the store hangs since the given time, once that is set.
type hangingWatcher struct {
	mesh *loommesh.Mesh
	// hangs is the time since which the call hangs in Unix nanoseconds, answers the number of requests answered.
	hangs, answers atomic.Int64
}

func (h *hangingWatcher) MessageReceived(_ currantloom.VMName, link uint64, m currantloom.Message) {
	request, ok := m.(currantloom.StoreProofRequest)
	if !ok {
		return
	}
	age := time.Duration(0)
	if hangs := h.hangs.Load(); hangs > 0 {
		age = time.Since(time.Unix(0, hangs))
	}
	h.answers.Add(1)
	h.mesh.Respond(link, currantloom.StoreItems{
		Delta: true, Base: storePositionAt(100), Position: storePositionAt(100), Request: request.Number, Age: age,
	})
}
func (*hangingWatcher) OutboundLinkFailed(_ currantloom.VMName, _ bool, remove func()) { remove() }
func (*hangingWatcher) InboundLinkClosed(uint64)                                       {}

// startHangingWatcher returns a watcher and its address.
func startHangingWatcher(t *testing.T) (*hangingWatcher, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &hangingWatcher{}
	h.mesh = loommesh.New("watcher", h)
	served := make(chan error, 1)
	go func() { served <- h.mesh.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		if err := <-served; !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
		_ = h.mesh.Close()
	})
	return h, listener.Addr().String()
}

// startFollower starts the store cache of a follower in a fleet of 20 nodes, with the version 1 of the configuration.
// All other nodes have the address of the watcher.
func startFollower(t *testing.T, store currantloom.Store, watcher string) *storeCache {
	t.Helper()
	n := New(Config{
		Reducer: loomfleet.Config{Self: "vm-1", Location: currantloom.NewLocation("ost", "linz")},
		Catalog: keyCatalog{}, Store: store,
	})
	c := n.storeCache
	c.items = newTestStoreCache("vm-1", 20).items
	for key, item := range c.items {
		item.Value = fmt.Appendf(nil, `{"address":%q,"domain":"linz","region":"ost"}`, watcher)
		c.items[key] = item
	}
	c.adoptCopy("vm-9", currantloom.StoreItems{
		Items: append(c.storeItems().Items, storeItem("configuration", "1", 1, 100)), Position: storePositionAt(100),
	})
	if c.currentFleet().role() != loomwatch.Follower {
		t.Fatal("the node is no follower")
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		_ = n.mesh.Close()
	})
	return c
}

func storePositionAt(revision uint64) currantloom.StorePosition {
	return currantloom.NewStorePosition(1, revision)
}

// configurationOf returns the version of the configuration in the copy.
func configurationOf(c *storeCache) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configurationVersion
}

// awaitWatch waits until the follower has called the store itself, so that it has a proof.
func awaitWatch(t *testing.T, s *servingStore) {
	t.Helper()
	for end := time.Now().Add(configurationTime); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		watched := s.watched
		s.mu.Unlock()
		if watched {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the follower has not called the store")
		}
	}
}

// TestFollowerOfHangingWatchers guards against a follower that takes the pushes of its watchers for a proof that its
// configuration is current, while their calls to the store hang and the store would answer the follower itself.
func TestFollowerOfHangingWatchers(t *testing.T) {
	store := &servingStore{position: storePositionAt(99)}
	store.put("configuration", "1")
	watcher, address := startHangingWatcher(t)
	c := startFollower(t, store, address)
	awaitWatch(t, store)
	for end := time.Now().Add(configurationTime); watcher.answers.Load() < 6; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the follower does not ask its watchers for their proofs")
		}
	}
	changedAt := time.Now()
	watcher.hangs.Store(changedAt.UnixNano())
	store.put("configuration", "2")
	for configurationOf(c) != 2 {
		age := time.Since(changedAt)
		if age > configurationTime {
			t.Fatalf("version %d is in force %s after the change", configurationOf(c), configurationTime)
		}
		c.enqueuePush("vm-9", currantloom.StoreItems{
			Delta: true, Base: storePositionAt(100), Position: storePositionAt(100), Age: age,
		})
		time.Sleep(200 * time.Millisecond)
	}
}
