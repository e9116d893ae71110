package loomhost

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
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
	// size is the number of registered nodes, byName holds all of them.
	size   int
	byName map[currantloom.VMName]registeredNode
	// domain are the nodes of this node's failure domain, ordered by a hash of their names. The first ones are the
	// watchers. rank is the place of this node, -1 if it is not registered.
	domain []registeredNode
	rank   int
	// peers are the other nodes of this node's region, or of all regions if there is none.
	peers []registeredNode
}

// registeredNodes returns the registered nodes in no particular order. The lock is held.
func (c *storeCache) registeredNodes() []registeredNode {
	var nodes []registeredNode
	for key, item := range c.items {
		name, ok := strings.CutPrefix(key, nodeKeyPrefix)
		if !ok {
			continue
		}
		// A record that cannot be decoded was logged when it was read.
		if record, err := decodeNode(item.Value); err == nil {
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
		c.fleet = c.newFleet()
	}
	return *c.fleet
}

// newFleet decodes the registered nodes. The lock is held.
func (c *storeCache) newFleet() *fleet {
	nodes, self := c.registeredNodes(), c.node.config.Reducer.Self
	f := &fleet{size: len(nodes), byName: make(map[currantloom.VMName]registeredNode)}
	for _, node := range nodes {
		f.byName[node.name] = node
	}
	others := slices.DeleteFunc(slices.Clone(nodes), func(node registeredNode) bool { return node.name == self })
	f.peers = slices.DeleteFunc(slices.Clone(others), func(node registeredNode) bool {
		return node.record.Region != string(c.node.config.Reducer.Location.Region())
	})
	if len(f.peers) == 0 {
		f.peers = others
	}
	f.domain = c.sameFailureDomain(nodes)
	f.rank = slices.IndexFunc(f.domain, func(node registeredNode) bool { return node.name == self })
	return f
}

// sameFailureDomain returns the nodes of this node's failure domain, ordered by a hash of their names.
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

// role returns in which way this node learns of changes. A node that is not registered yet calls the store.
func (f fleet) role() loomwatch.Role {
	switch {
	case f.size <= largeFleetSize:
		return loomwatch.Direct
	case f.rank >= watchersPerDomain:
		return loomwatch.Follower
	default:
		return loomwatch.Watcher
	}
}

// sources returns the nodes of the failure domain that this node asks for their proofs: the watchers, and of the nodes
// that watch the store in their place those before this node. So of several such nodes only one goes on.
func (f fleet) sources(self currantloom.VMName, isActing func(currantloom.VMName) bool) []registeredNode {
	if f.role() == loomwatch.Direct {
		return nil
	}
	var sources []registeredNode
	for i, node := range f.domain {
		before := i < f.rank || f.rank < watchersPerDomain
		if node.name != self && (i < watchersPerDomain || before && isActing(node.name)) {
			sources = append(sources, node)
		}
	}
	return sources
}

// randomPeers returns up to count peers at random.
func (f fleet) randomPeers(count int) []registeredNode {
	peers := slices.Clone(f.peers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}
