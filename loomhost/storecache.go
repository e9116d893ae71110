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
	// largeFleetSize is the largest number of nodes that all watch the store without a pause. In a larger fleet only some
	// nodes watch it (see push.go), and these wait for watchBatchDelay after each response with changes, so that the next
	// response holds all changes of that time.
	largeFleetSize  = 16
	watchBatchDelay = 700 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call, which doubles with each failure. The actual
	// wait is 0.5 to 1.5 times the delay, at random.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = time.Second
	// seedRequestTimeout bounds the request to another node for its copy of the store.
	seedRequestTimeout = time.Second
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
	pushes chan currantloom.StoreItems

	mu    sync.Mutex
	items map[string]currantloom.StoreItem
	// revision is the revision of the store up to which the items are complete. storeReachable says that the node's last
	// call to the store succeeded, or that another node has pushed its changes since.
	revision       uint64
	storeReachable bool
}

func newStoreCache(n *Node) *storeCache {
	return &storeCache{
		node: n, items: make(map[string]currantloom.StoreItem), pushes: make(chan currantloom.StoreItems, maxQueuedPushes),
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
	txn := currantloom.StoreTxn{Set: []currantloom.StoreItem{{Key: key, Value: value, Lease: t.Lease}}}
	if t.Conditional {
		txn.Expected = map[string]uint64{key: t.ExpectedRevision}
	}
	return txn
}

// run keeps the copy up to date until the context ends.
func (c *storeCache) run(ctx context.Context) error {
	var revision uint64
	delay := minRetryDelay
	for ctx.Err() == nil {
		if revision > 0 && c.isFollower() {
			if next, ok := c.awaitPush(ctx, revision); ok {
				revision = next
				continue
			}
		}
		next, err := c.readChanges(ctx, revision)
		switch {
		case err == nil:
			c.recordRevision(revision, next)
			revision, delay = next, minRetryDelay
		case currantloom.IsInput(err):
			// The store no longer has the history after the revision: read everything again.
			revision = 0
		case ctx.Err() == nil:
			c.reportStoreLost(revision, err)
			loomtask.Sleep(ctx, delay/2+rand.N(delay))
			delay = min(2*delay, maxRetryDelay)
		}
	}
	return nil
}

// reportStoreLost reports a failed call. A node that has not read the store yet asks other nodes for their copies.
func (c *storeCache) reportStoreLost(revision uint64, err error) {
	c.mu.Lock()
	c.storeReachable = false
	c.mu.Unlock()
	c.node.submit(loomfleet.StoreWatchFailed{Stamp: c.node.stamp(), Reason: err.Error()})
	if revision == 0 {
		c.loadFromSeeds()
	}
}

// readChanges waits for changes after the revision, or reads the whole store if the revision is 0. It returns the
// revision up to which the node has read.
func (c *storeCache) readChanges(ctx context.Context, revision uint64) (uint64, error) {
	store := c.node.config.Store
	if revision == 0 {
		items, next, err := store.Range(ctx, "")
		if err != nil {
			return 0, err
		}
		c.replace(items)
		c.node.submit(c.decodeChanges(items, true, next))
		c.node.submit(loomfleet.StoreWatchSucceeded{Stamp: c.node.stamp()})
		return next, nil
	}
	wait := watchWait
	if c.isFollower() || !c.isStoreReachable() {
		wait = shortWatchWait
	}
	items, next, err := store.Watch(ctx, "", revision, wait)
	if err != nil {
		return 0, err
	}
	c.merge(items)
	if len(items) > 0 {
		c.pushToFollowers(currantloom.StoreItems{Items: items, Delta: true, BaseRevision: revision, Revision: next})
		c.node.submit(c.decodeChanges(items, false, next))
	}
	c.node.submit(loomfleet.StoreWatchSucceeded{Stamp: c.node.stamp()})
	if len(items) > 0 && c.isLargeFleet() && !c.isFollower() {
		loomtask.Sleep(ctx, watchBatchDelay)
	}
	return next, nil
}

// isStoreReachable returns storeReachable.
func (c *storeCache) isStoreReachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeReachable
}

// loadFromSeeds merges the copies of other nodes, so that a node that starts while the store is unreachable can serve.
func (c *storeCache) loadFromSeeds() {
	for _, seed := range c.node.config.SeedAddresses {
		if seed == c.node.config.Reducer.Address {
			continue
		}
		items, err := loommesh.RequestStoreItems(c.node.config.Reducer.Self, seed, seedRequestTimeout)
		if err != nil {
			c.node.log.Enqueue(loomlog.Line{Event: "seed", Fields: []any{"address", seed, "reason", err}})
			continue
		}
		items = c.merge(items)
		c.node.log.Enqueue(loomlog.Line{Event: "seed", Fields: []any{"address", seed, "items", len(items)}})
		c.node.submit(c.decodeChanges(items, false, 0))
	}
}

// snapshot returns all items, sorted by key.
func (c *storeCache) snapshot() []currantloom.StoreItem {
	c.mu.Lock()
	defer c.mu.Unlock()
	items := make([]currantloom.StoreItem, 0, len(c.items))
	for _, item := range c.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b currantloom.StoreItem) int { return strings.Compare(a.Key, b.Key) })
	return items
}

// replace replaces all items.
func (c *storeCache) replace(items []currantloom.StoreItem) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.items)
	for _, item := range items {
		c.items[item.Key] = item
	}
}

// merge applies the items that are newer than the cached ones, and returns them.
func (c *storeCache) merge(items []currantloom.StoreItem) []currantloom.StoreItem {
	c.mu.Lock()
	defer c.mu.Unlock()
	var newer []currantloom.StoreItem
	for _, item := range items {
		if current, ok := c.items[item.Key]; ok && current.Revision >= item.Revision {
			continue
		}
		if item.Deleted {
			delete(c.items, item.Key)
		} else {
			c.items[item.Key] = item
		}
		newer = append(newer, item)
	}
	return newer
}

// decodeChanges decodes items into an event. An item that cannot be decoded is logged; if it is the registration of an
// upstream, the upstream is reported as gone.
func (c *storeCache) decodeChanges(
	items []currantloom.StoreItem, snapshot bool, revision uint64,
) loomfleet.CatalogChanged {
	e := loomfleet.CatalogChanged{Stamp: c.node.stamp(), Snapshot: snapshot, Revision: revision}
	for _, item := range items {
		switch name, isNode := strings.CutPrefix(item.Key, nodeKeyPrefix); {
		case isNode:
			c.addNode(&e, item, currantloom.VMName(name))
		case item.Key == failoverLeaseKey:
			c.addFailoverLease(&e, item)
		default:
			c.addCatalogItem(&e, item)
		}
	}
	return e
}

func (c *storeCache) addNode(e *loomfleet.CatalogChanged, item currantloom.StoreItem, name currantloom.VMName) {
	change := loomfleet.MemberChange{
		VM:       currantloom.NewVM(name, currantloom.Location{}, "", "", currantloom.VMLive),
		Revision: item.Revision, Deleted: item.Deleted,
	}
	if !item.Deleted {
		var record nodeRecord
		if err := json.Unmarshal(item.Value, &record); err != nil {
			c.logIgnoredItem(item, err)
			return
		}
		location := currantloom.NewLocation(
			currantloom.Region(record.Region), currantloom.FailureDomain(record.FailureDomain))
		change.VM = currantloom.NewVM(name, location, record.Address, "", currantloom.VMLive)
		change.Incarnation = record.Incarnation
	}
	e.Members = append(e.Members, change)
}

func (c *storeCache) addFailoverLease(e *loomfleet.CatalogChanged, item currantloom.StoreItem) {
	change := loomfleet.FailoverLeaseChange{Revision: item.Revision, Deleted: item.Deleted}
	if !item.Deleted {
		var record failoverLeaseRecord
		if err := json.Unmarshal(item.Value, &record); err != nil {
			c.logIgnoredItem(item, err)
			return
		}
		change.Holder, change.Incarnation = currantloom.VMName(record.Holder), record.Incarnation
	}
	e.FailoverLease = &change
}

func (c *storeCache) addCatalogItem(e *loomfleet.CatalogChanged, item currantloom.StoreItem) {
	if configuration, ok, err := c.node.config.Catalog.Configuration(item); err != nil {
		c.logIgnoredItem(item, err)
		return
	} else if ok {
		e.Configuration = &configuration
		return
	}
	u, ok, err := c.node.config.Catalog.Upstream(item)
	if err != nil {
		c.logIgnoredItem(item, err)
	}
	if ok {
		e.Upstreams = append(e.Upstreams, loomfleet.UpstreamChange{
			Upstream: u, Revision: item.Revision, Deleted: item.Deleted || err != nil,
		})
	}
}

// logIgnoredItem logs an item that cannot be decoded.
func (c *storeCache) logIgnoredItem(item currantloom.StoreItem, err error) {
	c.node.log.Enqueue(loomlog.Line{Event: "item", Warn: true, Fields: []any{
		"key", item.Key, "version", item.Revision, "reason", err, "outcome", "ignored",
	}})
}
