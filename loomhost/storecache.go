package loomhost

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
	"currantloom.example/currantloom/loomlog"
	"currantloom.example/currantloom/loommesh"
	"currantloom.example/currantloom/loomtask"
)

const (
	// watchWait is how long a watch waits for changes. A connection that no longer delivers data is noticed after this
	// time plus the timeout of the call.
	watchWait = 4 * time.Second
	// shortWatchWait replaces watchWait on a follower that has missed changes, and after a failed call: a call that was
	// sent while the store did not respond may never get a response, even after the store is back.
	shortWatchWait = 300 * time.Millisecond
	// largeFleetSize is the largest number of nodes that all watch the store. In a larger fleet only some nodes watch it
	// (see push.go), and these wait for watchBatchDelay after each response with changes, so that the next response holds
	// all changes of that time. In a small fleet nodes wait only after changes that are not urgent.
	largeFleetSize  = 16
	watchBatchDelay = 700 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call, which doubles with each failure. The actual
	// wait is 0.5 to 1.5 times the delay, at random.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = time.Second
	// rereadSpread is the time over which the nodes read the store again after it came back from a copy.
	rereadSpread = 300 * time.Millisecond
)

// Keys that nodes write to the store: one for each node, and one for the failover lease, which is called "duty" there.
const (
	nodeKeyPrefix    = "nodes/"
	failoverLeaseKey = "duty"
)

// storeCache keeps a copy of the platform's store and reports changes to the reducer.
type storeCache struct {
	node *Node

	// pushes are changes of the store that other nodes of the failure domain have read.
	pushes chan receivedPush

	// adopting is held while the copy of another node is taken over.
	adopting sync.Mutex

	mu    sync.Mutex
	items map[string]currantloom.StoreItem
	// hasConfiguration says that the items include a configuration, configurationVersion is its version.
	hasConfiguration     bool
	configurationVersion uint64
	// invalidConfiguration is the position of the last configuration that was logged as invalid.
	invalidConfiguration currantloom.StorePosition
	// position is the position of the store up to which the items are complete. storeReachable says that the node's last
	// call to the store succeeded, or that another node has pushed its changes since.
	position       currantloom.StorePosition
	storeReachable bool
	// askedAt is when the node made the call to the store that reached the position.
	askedAt time.Duration
	// copyRequestedAt is when this node last asked another one for its copy. adopted is the position of a copy from
	// another node that run has not taken over yet.
	copyRequestedAt time.Time
	adopted         currantloom.StorePosition
}

func newStoreCache(n *Node) *storeCache {
	return &storeCache{
		node: n, items: make(map[string]currantloom.StoreItem), pushes: make(chan receivedPush, maxQueuedPushes),
	}
}

// nodeRecord is the value of a node's key in the store.
type nodeRecord struct {
	Address       string `json:"address"`
	FailureDomain string `json:"domain"`
	Region        string `json:"region"`
	Incarnation   uint64 `json:"incarnation"`
}

// failoverLeaseRecord is the value of the key of the failover lease.
type failoverLeaseRecord struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
}

// registrationTxn returns the transaction that writes the key of the node or of the failover lease.
func (c *storeCache) registrationTxn(t loomfleet.StoreTxn) currantloom.StoreTxn {
	config := c.node.config.Reducer
	key, record := nodeKeyPrefix+string(config.Self), any(nodeRecord{
		Address: config.Address, FailureDomain: string(config.Location.FailureDomain()),
		Region:      string(config.Location.Region()),
		Incarnation: config.Incarnation,
	})
	if t.Kind == loomfleet.RegistrationFailoverLease {
		key, record = failoverLeaseKey, failoverLeaseRecord{Holder: string(config.Self), Incarnation: config.Incarnation}
	}
	value, err := json.Marshal(record)
	if err != nil {
		c.node.log.Enqueue(loomlog.Line{Event: "record", Warn: true, Fields: []any{"key", key, "reason", err}})
	}
	txn := currantloom.StoreTxn{Era: t.Lease.Era()}
	if t.Delete {
		txn.Delete = []string{key}
	} else {
		txn.Set = []currantloom.StoreItem{{Key: key, Value: value, Lease: t.Lease}}
	}
	if t.Conditional {
		txn.Expected = map[string]uint64{key: t.Expected.Revision()}
	}
	return txn
}

// run keeps the copy up to date until the context ends.
func (c *storeCache) run(ctx context.Context) error {
	var position currantloom.StorePosition
	delay := minRetryDelay
	for ctx.Err() == nil {
		if position.IsZero() {
			position = c.takeAdopted()
		}
		next, err := c.advance(ctx, position)
		era, restored := currantloom.RestoredEraOf(err)
		switch {
		case err == nil:
			position, delay = next, minRetryDelay
		case restored:
			c.reportRestored(ctx, era)
			position = currantloom.StorePosition{}
		case currantloom.IsInput(err):
			// The store no longer has the history after the position: read everything again.
			position = currantloom.StorePosition{}
		case ctx.Err() == nil:
			c.reportStoreLost(position, err)
			loomtask.Sleep(ctx, delay/2+rand.N(delay))
			delay = min(2*delay, maxRetryDelay)
		}
	}
	return nil
}

// advance waits for changes after the position, from other nodes or from the store, and returns the position up to
// which the copy is complete.
func (c *storeCache) advance(
	ctx context.Context, position currantloom.StorePosition,
) (currantloom.StorePosition, error) {
	if !position.IsZero() && c.isFollower() {
		if next, ok, err := c.awaitPush(ctx, position); ok || err != nil {
			return next, err
		}
	}
	askedAt := c.node.clock.now()
	next, err := c.readChanges(ctx, position, askedAt)
	if err == nil {
		c.recordPosition(position, next, askedAt)
	}
	return next, err
}

// reportRestored tells the reducer and the followers that the store came back from a copy, and waits for a random time,
// so that not all nodes read the store at once.
func (c *storeCache) reportRestored(ctx context.Context, era currantloom.StoreEra) {
	c.node.submit(loomfleet.StoreEraChanged{Stamp: c.node.stamp(), Era: era})
	restored := currantloom.NewStorePosition(era, 0)
	c.pushToFollowers(currantloom.StoreItems{Delta: true, Base: restored, Position: restored})
	loomtask.Sleep(ctx, rand.N(rereadSpread))
}

// reportStoreLost reports a failed call. A node that has not read the store yet asks other nodes for their copies.
func (c *storeCache) reportStoreLost(position currantloom.StorePosition, err error) {
	c.mu.Lock()
	c.storeReachable = false
	c.mu.Unlock()
	if currantloom.IsStoreEra(err) {
		c.node.reportUnknownEra(err)
	}
	c.node.submit(loomfleet.StoreWatchFailed{Stamp: c.node.stamp(), Reason: err.Error()})
	if position.IsZero() {
		c.loadFromSeeds()
	}
}

// readChanges waits for changes after the position, or reads the whole store if the position is zero. It returns the
// position up to which the node has read.
func (c *storeCache) readChanges(
	ctx context.Context, position currantloom.StorePosition, askedAt time.Duration,
) (currantloom.StorePosition, error) {
	store := c.node.config.Store
	if position.IsZero() {
		items, next, err := store.Range(ctx, "")
		if err != nil {
			return currantloom.StorePosition{}, err
		}
		c.replace(items)
		c.node.submit(c.decodeChanges("", items, true, next))
		c.reportAnswer(askedAt)
		return next, nil
	}
	items, next, err := store.Watch(ctx, "", position, c.watchTime())
	if err != nil {
		return currantloom.StorePosition{}, err
	}
	c.merge(items)
	if len(items) > 0 {
		c.pushToFollowers(currantloom.StoreItems{
			Items: items, Delta: true, Base: position, Position: next, Age: c.node.clock.now() - askedAt,
		})
		c.node.submit(c.decodeChanges("", items, false, next))
	}
	c.reportAnswer(askedAt)
	if len(items) > 0 && (isOnlyNodes(items) || c.isLargeFleet() && !c.isFollower()) {
		loomtask.Sleep(ctx, watchBatchDelay)
	}
	return next, nil
}

// watchTime returns how long the next watch waits for changes.
func (c *storeCache) watchTime() time.Duration {
	wait := watchWait
	if c.isFollower() || !c.isStoreReachable() {
		wait = shortWatchWait
	}
	if interval := c.node.config.Reducer.ProofInterval(); interval > 0 {
		wait = min(wait, interval)
	}
	return wait
}

// reportAnswer tells the reducer that the store answered a call that was made at askedAt, after its changes.
func (c *storeCache) reportAnswer(askedAt time.Duration) {
	stamp := c.node.stamp()
	c.node.submit(loomfleet.StoreWatchSucceeded{Stamp: stamp, Age: stamp.Now - askedAt})
}

// isOnlyNodes reports whether all items are registrations of nodes. These are not urgent, and at the start of a fleet
// each of them would end the watches of all nodes.
func isOnlyNodes(items []currantloom.StoreItem) bool {
	return !slices.ContainsFunc(items, func(i currantloom.StoreItem) bool {
		return !strings.HasPrefix(i.Key, nodeKeyPrefix)
	})
}

// isStoreReachable returns storeReachable.
func (c *storeCache) isStoreReachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeReachable
}

// fetchConfiguration takes over the configuration of another node, if it is newer.
func (c *storeCache) fetchConfiguration(vm currantloom.VM) {
	m, err := loommesh.RequestStoreItems(c.node.config.Reducer.Self, vm.LinkAddress(), seedRequestTimeout)
	if err != nil {
		c.node.log.Enqueue(loomlog.Line{Event: "configuration", Warn: true, Fields: []any{
			"vm", string(vm.Name()), "reason", err, "outcome", "missing",
		}})
		return
	}
	c.adoptConfiguration(vm.Name(), m.Items)
}

// adoptConfiguration takes over the configuration among the items, if it is newer than that of the node.
func (c *storeCache) adoptConfiguration(from currantloom.VMName, items []currantloom.StoreItem) {
	for _, item := range items {
		configuration, ok, err := c.node.config.Catalog.Configuration(item)
		if ok && err == nil && c.keepNewest(item, configuration.Version) {
			c.node.submit(c.decodeChanges(from, []currantloom.StoreItem{item}, false, currantloom.StorePosition{}))
		}
	}
}

// keepNewest stores an item with a configuration unless the one that the node has is at least as new. A store that came
// back from a copy may hold an older configuration until the operator has written it again. Of two different ones with
// the same version the first stays, as in the reducer.
func (c *storeCache) keepNewest(item currantloom.StoreItem, version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasConfiguration && version <= c.configurationVersion {
		return false
	}
	c.items[item.Key], c.configurationVersion, c.hasConfiguration = item, version, true
	return true
}

// storeItems returns all items, sorted by key, for another node.
func (c *storeCache) storeItems() currantloom.StoreItems {
	c.mu.Lock()
	defer c.mu.Unlock()
	items := make([]currantloom.StoreItem, 0, len(c.items))
	for _, item := range c.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b currantloom.StoreItem) int { return strings.Compare(a.Key, b.Key) })
	return currantloom.StoreItems{Items: items, Position: c.position}
}

// replace replaces all items, except a configuration that is newer than the new one.
func (c *storeCache) replace(items []currantloom.StoreItem) {
	c.mu.Lock()
	kept := make(map[string]currantloom.StoreItem)
	for key, item := range c.items {
		if _, ok, err := c.node.config.Catalog.Configuration(item); ok && err == nil {
			kept[key] = item
		}
	}
	c.items = kept
	c.mu.Unlock()
	c.merge(items)
}

// merge applies the items that are newer than the cached ones, and returns them. A configuration that is invalid or was
// deleted does not replace the last valid one, which other nodes are given; it is returned to be logged.
func (c *storeCache) merge(items []currantloom.StoreItem) []currantloom.StoreItem {
	var newer []currantloom.StoreItem
	for _, item := range items {
		configuration, ok, err := c.node.config.Catalog.Configuration(item)
		switch {
		case ok && err != nil:
			newer = append(newer, item)
		case ok && c.keepNewest(item, configuration.Version), !ok && c.mergeItem(item):
			newer = append(newer, item)
		}
	}
	return newer
}

// mergeItem applies an item if it is newer than the cached one.
func (c *storeCache) mergeItem(item currantloom.StoreItem) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current, ok := c.items[item.Key]; ok && !item.Position.After(current.Position) {
		return false
	}
	if item.Deleted {
		delete(c.items, item.Key)
	} else {
		c.items[item.Key] = item
	}
	return true
}
