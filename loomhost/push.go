package loomhost

import (
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomlog"
)

// In a large fleet only some nodes of each failure domain, the watchers, watch the store: a waiting watch counts as a
// call to the store, and each change ends the watches of all nodes at once. The watchers push what they read to the
// other nodes of their failure domain. A push proves nothing about the time since: the nodes ask the watchers regularly
// how old their newest answer of the store is. Where the watchers have none, other nodes of the failure domain take
// their place (see loomwatch).
const (
	// heartbeatInterval is the time between two pushes without changes to a node that asks for no proofs: it may be
	// starting, or not know that this node watches the store.
	heartbeatInterval = time.Second
	// maxQueuedPushes bounds the queue of received pushes. A push that is dropped is noticed by the gap between the
	// positions of its neighbours.
	maxQueuedPushes = 64
)

// receivedPush is a push and its sender.
type receivedPush struct {
	currantloom.StoreItems
	from currantloom.VMName
}

// push sends changes to the other nodes of the failure domain.
func (c *storeCache) push(m currantloom.StoreItems) {
	var others []currantloom.VM
	for _, node := range c.currentFleet().domain {
		if node.name != c.node.config.Reducer.Self {
			others = append(others, node.vm())
		}
	}
	// The node's lock is not held, so the push may be lost with a link that has just failed. The follower sees the gap.
	c.node.mesh.SendAll(others, m)
}

// pushHeartbeat pushes the current position to the nodes of the failure domain that ask this node for no proofs.
func (c *storeCache) pushHeartbeat() {
	c.mu.Lock()
	position, asked := c.position, c.asked
	c.asked = make(map[currantloom.VMName]bool)
	c.mu.Unlock()
	for _, node := range c.currentFleet().domain {
		if node.name != c.node.config.Reducer.Self && !asked[node.name] && !position.IsZero() {
			c.node.mesh.Send(node.vm(), currantloom.StoreItems{Delta: true, Base: position, Position: position})
		}
	}
}

// sendProof answers a request for the proof of this node. It uses the link of the pushes, so that the answer arrives
// after them: a follower that lacks changes then knows that a push was lost.
func (c *storeCache) sendProof(to currantloom.VMName, r currantloom.StoreProofRequest) {
	node, ok := c.currentFleet().byName[to]
	m := c.proof(to, r)
	if ok && (m.Request > 0 || m.Position.After(r.Position)) {
		c.node.mesh.Send(node.vm(), m)
	}
}

// proof returns the answer to a request. Without a proof of its own the node answers no request by its number.
func (c *storeCache) proof(to currantloom.VMName, r currantloom.StoreProofRequest) currantloom.StoreItems {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked[to] = r.Number > 0
	m := currantloom.StoreItems{Delta: true, Base: c.position, Position: c.position}
	if r.Copy && c.position.After(r.Position) {
		m = c.storeItemsLocked()
	}
	if c.provenAt > 0 {
		m.Request, m.Age = r.Number, c.node.clock.now()-c.provenAt
	}
	return m
}

// recordPosition records that the copy is complete up to the position, and the time for which this was proven last;
// zero if there is no new proof.
func (c *storeCache) recordPosition(position currantloom.StorePosition, provenAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.position, c.provenAt = position, max(c.provenAt, provenAt)
}

// enqueuePush queues a push from another node, or drops it if the queue is full. A whole copy is adopted if this node
// has none.
func (c *storeCache) enqueuePush(from currantloom.VMName, m currantloom.StoreItems) {
	if !m.Delta && !c.hasCopy() {
		c.node.log.Enqueue(loomlog.Line{Event: "seed", Fields: []any{
			"vm", string(from), "items", len(m.Items), "version", m.Position,
		}})
		c.adoptCopy(from, m)
		return
	}
	select {
	case c.pushes <- receivedPush{StoreItems: m, from: from}:
	default:
	}
}
