package loomhost

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
	"currantloom.example/currantloom/loomlog"
	"currantloom.example/currantloom/loommesh"
)

// Keys that nodes write to the store: one for each node, one for the failover lease, which is called "duty" there, and
// one for the changes of primary that its holders have recorded.
const (
	nodeKeyPrefix    = "nodes/"
	failoverLeaseKey = "duty"
	changeRecordKey  = "changes"
)

// maxIgnoredItems bounds the memory of the malformed items that were logged.
const maxIgnoredItems = 1000

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
	// ignored are the positions of other items that were logged as malformed, by key.
	ignored map[string]currantloom.StorePosition
	// position is the position of the store up to which the items are complete; provenAt is the time for which an answer
	// of the store proves that, zero if none does.
	position currantloom.StorePosition
	provenAt time.Duration
	// asked are the nodes that have asked this node for its proof since the last heartbeat.
	asked map[currantloom.VMName]bool
	// fleet are the registered nodes among the items; nil if they have to be decoded again.
	fleet *fleet
	// copyRequestedAt is when this node last asked another one for its copy. adopted is the position of a copy from
	// another node that run has not taken over yet.
	copyRequestedAt time.Time
	adopted         currantloom.StorePosition
}

func newStoreCache(n *Node) *storeCache {
	return &storeCache{
		node: n, items: make(map[string]currantloom.StoreItem), pushes: make(chan receivedPush, maxQueuedPushes),
		asked: make(map[currantloom.VMName]bool), ignored: make(map[string]currantloom.StorePosition),
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

// changeRecordValue is the value of the key of recorded changes of primary.
type changeRecordValue struct {
	Services []string `json:"services"`
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
	value := c.encodeValue(key, record)
	txn := currantloom.StoreTxn{Era: t.Lease.Era()}
	if t.Delete {
		txn.Delete = []string{key}
	} else {
		txn.Set = []currantloom.StoreItem{{Key: key, Value: value, Lease: t.Lease}}
	}
	if t.RecordsChanges {
		changes := changeRecordValue{Services: make([]string, 0, len(t.Changes))}
		for _, name := range t.Changes {
			changes.Services = append(changes.Services, string(name))
		}
		txn.Set = append(txn.Set, currantloom.StoreItem{
			Key: changeRecordKey, Value: c.encodeValue(changeRecordKey, changes),
		})
	}
	if t.Conditional {
		txn.Expected = map[string]uint64{key: t.Expected.Revision()}
	}
	return txn
}

func (c *storeCache) encodeValue(key string, value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		c.node.log.Enqueue(loomlog.Line{Event: "record", Warn: true, Fields: []any{"key", key, "reason", err}})
	}
	return data
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
		_, ok, err := c.node.config.Catalog.Configuration(item)
		if ok && err == nil && len(c.merge([]currantloom.StoreItem{item})) > 0 {
			c.node.submit(c.decodeChanges(from, []currantloom.StoreItem{item}, false, currantloom.StorePosition{}))
		}
	}
}

// storeItems returns all items, sorted by key, for another node.
func (c *storeCache) storeItems() currantloom.StoreItems {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeItemsLocked()
}

// storeItemsLocked is storeItems for a function that holds the lock.
func (c *storeCache) storeItemsLocked() currantloom.StoreItems {
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
	defer c.mu.Unlock()
	maps.DeleteFunc(c.items, func(_ string, item currantloom.StoreItem) bool {
		_, ok, err := c.node.config.Catalog.Configuration(item)
		return !ok || err != nil
	})
	c.fleet = nil
	for _, item := range items {
		c.mergeItem(item)
	}
}

// merge applies the items that are newer than the cached ones, and returns them. A configuration that is invalid or was
// deleted does not replace the last valid one, which other nodes are given; it is returned to be logged.
func (c *storeCache) merge(items []currantloom.StoreItem) []currantloom.StoreItem {
	c.mu.Lock()
	defer c.mu.Unlock()
	var newer []currantloom.StoreItem
	for _, item := range items {
		if c.mergeItem(item) {
			newer = append(newer, item)
		}
	}
	return newer
}

// mergeItem applies an item for merge. It reports false if the item is not newer than the cached one. The lock is held.
func (c *storeCache) mergeItem(item currantloom.StoreItem) bool {
	configuration, ok, err := c.node.config.Catalog.Configuration(item)
	switch {
	case ok && err != nil:
		return true
	case ok:
		return c.keepNewest(item, configuration.Version)
	}
	if current, ok := c.items[item.Key]; ok && !item.Position.After(current.Position) {
		return false
	}
	if item.Deleted {
		delete(c.items, item.Key)
	} else {
		c.items[item.Key] = item
	}
	if strings.HasPrefix(item.Key, nodeKeyPrefix) {
		c.fleet = nil
	}
	return true
}

// keepNewest stores an item with a configuration unless the one that the node has is at least as new. A store that came
// back from a copy may hold an older configuration until the operator has written it again. Of two different ones with
// the same version the first stays, as in the reducer. The lock is held.
func (c *storeCache) keepNewest(item currantloom.StoreItem, version uint64) bool {
	if c.hasConfiguration && version <= c.configurationVersion {
		return false
	}
	c.items[item.Key], c.configurationVersion, c.hasConfiguration = item, version, true
	return true
}
