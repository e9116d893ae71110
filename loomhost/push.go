package loomhost

import (
	"cmp"
	"context"
	"encoding/json"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
	"currantloom.example/currantloom/loomlog"
	"currantloom.example/currantloom/loomtask"
)

// In a large fleet only some nodes of each failure domain, the watchers, watch the store: a waiting watch counts as a
// call to the store, and each change ends the watches of all nodes at once. The watchers push what they read to the
// other nodes of their failure domain, the followers. A follower that receives no push calls the store itself.
const (
	// watchersPerDomain is the number of watchers per failure domain. With two, the followers still get all changes while
	// the watch of one of them hangs.
	watchersPerDomain = 2
	// heartbeatInterval is the time between two pushes without changes.
	heartbeatInterval = time.Second
	// pushTimeout is how long a follower waits for a push before it calls the store itself.
	pushTimeout = 2500 * time.Millisecond
	// maxQueuedPushes bounds the queue of received pushes. A push that is dropped is noticed by the gap between the
	// positions of its neighbours.
	maxQueuedPushes = 64
)

// receivedPush is a push, its sender, and when this node received it.
type receivedPush struct {
	currantloom.StoreItems
	from       currantloom.VMName
	receivedAt time.Duration
}

// registeredNode is a node that is registered in the store.
type registeredNode struct {
	name   currantloom.VMName
	record nodeRecord
}

// registeredNodes returns the registered nodes in no particular order.
func (c *storeCache) registeredNodes() []registeredNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []registeredNode
	for key, item := range c.items {
		name, ok := strings.CutPrefix(key, nodeKeyPrefix)
		var record nodeRecord
		// A record that cannot be decoded was logged when it was read.
		if ok && json.Unmarshal(item.Value, &record) == nil {
			nodes = append(nodes, registeredNode{name: currantloom.VMName(name), record: record})
		}
	}
	return nodes
}

// isLargeFleet reports whether the fleet is too large for all its nodes to watch the store.
func (c *storeCache) isLargeFleet() bool { return len(c.registeredNodes()) > largeFleetSize }

// sameFailureDomain returns the nodes of this node's failure domain, ordered by a hash of their names. The first ones
// are the watchers.
func (c *storeCache) sameFailureDomain(nodes []registeredNode) []registeredNode {
	location := c.node.config.Reducer.Location
	sameDomain := slices.DeleteFunc(slices.Clone(nodes), func(node registeredNode) bool {
		return node.record.FailureDomain != string(location.FailureDomain()) ||
			node.record.Region != string(location.Region())
	})
	slices.SortFunc(sameDomain, func(a, b registeredNode) int {
		return cmp.Or(cmp.Compare(nodeHash(a.name), nodeHash(b.name)), cmp.Compare(a.name, b.name))
	})
	return sameDomain
}

func nodeHash(name currantloom.VMName) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// isFollower reports whether other nodes watch the store for this node.
func (c *storeCache) isFollower() bool {
	nodes := c.registeredNodes()
	if len(nodes) <= largeFleetSize {
		return false
	}
	for i, node := range c.sameFailureDomain(nodes) {
		if node.name == c.node.config.Reducer.Self {
			return i >= watchersPerDomain
		}
	}
	return false
}

// recordPosition records that this node has read the store from the base up to the position, by a call that it made at
// askedAt.
func (c *storeCache) recordPosition(base, position currantloom.StorePosition, askedAt time.Duration) {
	c.mu.Lock()
	c.position, c.storeReachable, c.askedAt = position, true, askedAt
	c.mu.Unlock()
	if base.IsZero() {
		// The whole store was read, so the changes before it are not pushed. A follower that lacks them sees a gap and
		// reads them from the store.
		c.pushPosition(position, askedAt)
	}
}

// pushPosition tells the followers that there are no changes up to the position, by a call to the store at askedAt.
func (c *storeCache) pushPosition(position currantloom.StorePosition, askedAt time.Duration) {
	c.pushToFollowers(currantloom.StoreItems{
		Delta: true, Base: position, Position: position, Age: c.node.clock.now() - askedAt,
	})
}

// pushToFollowers sends changes to the followers, if this node is a watcher in a large fleet.
func (c *storeCache) pushToFollowers(m currantloom.StoreItems) {
	nodes := c.registeredNodes()
	if len(nodes) <= largeFleetSize || c.isFollower() {
		return
	}
	for i, node := range c.sameFailureDomain(nodes) {
		if i < watchersPerDomain || node.name == c.node.config.Reducer.Self {
			continue
		}
		vm := currantloom.NewVM(node.name, currantloom.Location{}, node.record.Address, "", currantloom.VMLive)
		// The node's lock is not held, so the push may be lost with a link that has just failed. The follower sees the gap.
		c.node.mesh.Send(vm, m)
	}
}

// pushHeartbeats regularly pushes the current position without changes, as long as this node can reach the store.
func (c *storeCache) pushHeartbeats(ctx context.Context) error {
	interval := heartbeatInterval
	if proof := c.node.config.Reducer.ProofInterval(); proof > 0 {
		interval = min(interval, proof)
	}
	for ctx.Err() == nil {
		loomtask.Sleep(ctx, interval)
		c.mu.Lock()
		position, reachable, askedAt := c.position, c.storeReachable, c.askedAt
		c.mu.Unlock()
		if reachable {
			c.pushPosition(position, askedAt)
		}
	}
	return nil
}

// enqueuePush queues a push from another node, or drops it if the queue is full. A whole copy is adopted if this node
// has none.
func (c *storeCache) enqueuePush(from currantloom.VMName, m currantloom.StoreItems) {
	if !m.Delta {
		if !c.hasCopy() {
			c.node.log.Enqueue(loomlog.Line{Event: "seed", Fields: []any{
				"vm", string(from), "items", len(m.Items), "version", m.Position,
			}})
			c.adoptCopy(from, m)
		}
		return
	}
	select {
	case c.pushes <- receivedPush{StoreItems: m, from: from, receivedAt: c.node.clock.now()}:
	default:
	}
}

// awaitPush waits for a push and applies it. It returns the new position, and false if no push arrived in time or if
// changes between the position and the push are missing. The error says that the store came back from a copy.
func (c *storeCache) awaitPush(
	ctx context.Context, position currantloom.StorePosition,
) (currantloom.StorePosition, bool, error) {
	select {
	case m := <-c.pushes:
		return c.applyPush(m, position)
	case <-time.After(pushTimeout):
		c.logWatch("", "no push in time")
		return position, false, nil
	case <-ctx.Done():
		return position, true, nil
	}
}

// applyPush applies a push for awaitPush. A push of an earlier era is ignored.
func (c *storeCache) applyPush(
	m receivedPush, position currantloom.StorePosition,
) (currantloom.StorePosition, bool, error) {
	switch era := m.Position.Era(); {
	case era > position.Era():
		return position, false, currantloom.NewRestoredError(era)
	case era < position.Era():
		c.node.reportUnknownEra(currantloom.ErrStoreEra.New("push of era %d after era %d", era, position.Era()))
		return position, true, nil
	case !m.Delta || m.Base.After(position):
		c.logWatch(m.from, "changes are missing")
		return position, false, nil
	}
	// Items that this node has already read are skipped: they may have been deleted since, and merge would restore them.
	items := slices.DeleteFunc(m.Items, func(i currantloom.StoreItem) bool { return !i.Position.After(position) })
	if newer := c.merge(items); len(newer) > 0 {
		c.node.submit(c.decodeChanges(m.from, newer, false, m.Position))
	}
	if m.Position.After(position) {
		position = m.Position
	}
	c.mu.Lock()
	c.position, c.storeReachable = position, true
	c.mu.Unlock()
	stamp := c.node.stamp()
	c.node.submit(loomfleet.StoreWatchSucceeded{Stamp: stamp, Age: m.Age + stamp.Now - m.receivedAt, Pushed: true})
	return position, true, nil
}

// logWatch logs why a follower calls the store itself. The node is the one whose push showed it, if any.
func (c *storeCache) logWatch(from currantloom.VMName, reason string) {
	fields := []any{"reason", reason, "outcome", "store called"}
	if from != "" {
		fields = append([]any{"vm", string(from)}, fields...)
	}
	c.node.log.Enqueue(loomlog.Line{Event: "watch", Routine: true, Fields: fields})
}
