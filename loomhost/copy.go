package loomhost

import (
	"context"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomlog"
	"currantloom.example/currantloom/loommesh"
	"currantloom.example/currantloom/loomtask"
)

// A node that starts while it cannot reach the store takes over the copy of another node: of a seed node, or of any
// node that sends it a message. Other nodes still know its registration from before, so in a small fleet all of them
// ping it and in a large one the watchers of its failure domain push to it, while the seeds may be down or have no copy
// either.
const (
	// seedRequestTimeout bounds the request to another node for its copy of the store.
	seedRequestTimeout = time.Second
	// seedDelay is how long a node waits for the store before it asks the seed nodes.
	seedDelay = 400 * time.Millisecond
	// copyRequestInterval is the time between two requests to nodes that sent a message.
	copyRequestInterval = 300 * time.Millisecond
)

// loadAtStart asks the seed nodes for their copies if the store does not answer soon.
func (c *storeCache) loadAtStart(ctx context.Context) error {
	loomtask.Sleep(ctx, seedDelay)
	if ctx.Err() == nil && !c.hasCopy() {
		c.loadFromSeeds()
	}
	<-ctx.Done()
	return nil
}

// hasCopy reports whether the node has read the store or taken over a copy.
func (c *storeCache) hasCopy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.position.IsZero()
}

// loadFromSeeds takes over the newest copy of the seed nodes, so that a node that starts while the store is unreachable
// can serve. Copies are not merged: an older one holds keys that were deleted since.
func (c *storeCache) loadFromSeeds() {
	var newest currantloom.StoreItems
	var copies []currantloom.StoreItems
	for _, seed := range c.node.config.SeedAddresses {
		if seed == c.node.config.Reducer.Address {
			continue
		}
		m, err := loommesh.RequestStoreItems(c.node.config.Reducer.Self, seed, seedRequestTimeout)
		if err != nil {
			c.node.log.Enqueue(loomlog.Line{Event: "seed", Fields: []any{"address", seed, "reason", err}})
			continue
		}
		c.node.log.Enqueue(loomlog.Line{Event: "seed", Fields: []any{
			"address", seed, "items", len(m.Items), "version", m.Position,
		}})
		copies = append(copies, m)
		if m.Position.After(newest.Position) {
			newest = m
		}
	}
	c.adoptCopy("", newest)
	// The newest configuration may be in another copy: the store that the newest copy was read from may have come back
	// without it.
	for _, m := range copies {
		c.adoptConfiguration("", m.Items)
	}
}

// adoptCopy replaces the node's copy by that of another node, if that is newer. The name of the node is empty if it is
// not known.
func (c *storeCache) adoptCopy(from currantloom.VMName, m currantloom.StoreItems) {
	c.adopting.Lock()
	defer c.adopting.Unlock()
	c.mu.Lock()
	isNewer := m.Position.After(c.position)
	c.mu.Unlock()
	if !isNewer {
		return
	}
	c.replace(m.Items)
	c.mu.Lock()
	c.position, c.adopted = m.Position, m.Position
	c.mu.Unlock()
	c.node.submit(c.decodeChanges(from, m.Items, true, m.Position))
}

// takeAdopted returns the position of a copy that was adopted since the last call; zero if none was.
func (c *storeCache) takeAdopted() currantloom.StorePosition {
	c.mu.Lock()
	defer c.mu.Unlock()
	adopted := c.adopted
	c.adopted = currantloom.StorePosition{}
	return adopted
}

// requestCopyIfMissing asks the node at the other end of a link for its copy, if this node has none.
func (c *storeCache) requestCopyIfMissing(link uint64) {
	c.mu.Lock()
	now := time.Now()
	ask := link != 0 && c.position.IsZero() && now.Sub(c.copyRequestedAt) >= copyRequestInterval
	if ask {
		c.copyRequestedAt = now
	}
	c.mu.Unlock()
	if ask {
		c.node.mesh.Respond(link, currantloom.StoreItemsRequest{})
	}
}

// sendCopy sends this node's copy to a node that asked for it, on the link of the request. A request that answers a
// message of this node has no such link, so the copy is sent to the registered address of the node.
func (c *storeCache) sendCopy(to currantloom.VMName, link uint64) {
	if link != 0 {
		c.node.mesh.Respond(link, c.storeItems())
		return
	}
	if node, ok := c.currentFleet().byName[to]; ok {
		c.node.mesh.Send(node.vm(), c.storeItems())
	}
}
