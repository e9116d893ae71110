package loomhost

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"slices"
	"strings"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwatch"
)

const (
	// largeFleetSize is the largest number of nodes that all watch the store.
	largeFleetSize = 16
	// watchersPerDomain is the number of watchers per failure domain. With two, the followers still get all changes while
	// the call of one of them hangs.
	watchersPerDomain = 2
)

// registeredNode is a node that is registered in the store.
type registeredNode struct {
	name   currantloom.VMName
	record nodeRecord
}

// vm returns the node as the destination of a message.
func (r registeredNode) vm() currantloom.VM {
	return currantloom.NewVM(r.name, currantloom.Location{}, r.record.Address, "", currantloom.VMLive)
}

// fleet holds the registered nodes, as far as this node needs them to keep its copy of the store up to date.
type fleet struct {
	// size is the number of registered nodes.
	size int
	// domain are the nodes of this node's failure domain, ordered by a hash of their names. The first ones are the
	// watchers.
	domain []registeredNode
}

// registeredNodes returns the registered nodes in no particular order. The lock is held.
func (c *storeCache) registeredNodes() []registeredNode {
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

// currentFleet returns the registered nodes. They are decoded again only after one of them has changed.
func (c *storeCache) currentFleet() fleet {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fleet == nil {
		nodes := c.registeredNodes()
		c.fleet = &fleet{size: len(nodes), domain: c.sameFailureDomain(nodes)}
	}
	return *c.fleet
}

// sameFailureDomain returns the nodes of this node's failure domain, ordered by a hash of their names.
func (c *storeCache) sameFailureDomain(nodes []registeredNode) []registeredNode {
	location := c.node.config.Reducer.Location
	sameDomain := slices.DeleteFunc(nodes, func(node registeredNode) bool {
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

// role returns in which way this node learns of changes. A node that is not registered yet calls the store.
func (c *storeCache) role() loomwatch.Role {
	f := c.currentFleet()
	if f.size <= largeFleetSize {
		return loomwatch.Direct
	}
	for i, node := range f.domain {
		if node.name == c.node.config.Reducer.Self && i >= watchersPerDomain {
			return loomwatch.Follower
		}
	}
	return loomwatch.Watcher
}

// otherWatchers returns the watchers of this node's failure domain, except this node.
func (f fleet) otherWatchers(self currantloom.VMName) []registeredNode {
	watchers := f.domain[:min(watchersPerDomain, len(f.domain))]
	return slices.DeleteFunc(slices.Clone(watchers), func(node registeredNode) bool { return node.name == self })
}
