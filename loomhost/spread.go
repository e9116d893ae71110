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
	"currantloom.example/currantloom/loomtask"
)

// In a large fleet only some nodes of each failure domain watch the store: a waiting watch counts as a call, and each
// change would return all of them. They push what they read to the other nodes of their domain, which watch themselves
// as soon as they hear nothing.
const (
	// watchersPerDomain is the number of nodes that watch. With two, a watch that has gone silent is not noticed by the
	// others.
	watchersPerDomain = 2
	// spreadInterval is the time between two pushes without news.
	spreadInterval = time.Second
	// spreadPatience is how long a node waits for a push before it asks the store itself.
	spreadPatience = 2500 * time.Millisecond
	// maxPushes bounds the pushes that wait; a lost one shows as a gap.
	maxPushes = 64
)

// peer is a registered node of the fleet.
type peer struct {
	name   currantloom.VMName
	record memberRecord
}

// peers returns the registered nodes.
func (r *registry) peers() []peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var peers []peer
	for key, item := range r.items {
		name, ok := strings.CutPrefix(key, memberPrefix)
		var record memberRecord
		// A record that cannot be read was logged when it came.
		if ok && json.Unmarshal(item.Value, &record) == nil {
			peers = append(peers, peer{name: currantloom.VMName(name), record: record})
		}
	}
	return peers
}

// isLarge reports whether the fleet has so many nodes that their calls to the store add up.
func (r *registry) isLarge() bool { return len(r.peers()) > largeFleet }

// domain returns the nodes of this failure domain in the order in which they are chosen as watchers.
func (r *registry) domain(peers []peer) []peer {
	place := r.node.config.Reducer.Location
	own := slices.DeleteFunc(slices.Clone(peers), func(p peer) bool {
		return p.record.Domain != string(place.FailureDomain()) || p.record.Region != string(place.Region())
	})
	slices.SortFunc(own, func(a, b peer) int {
		return cmp.Or(cmp.Compare(watchWeight(a.name), watchWeight(b.name)), cmp.Compare(a.name, b.name))
	})
	return own
}

func watchWeight(name currantloom.VMName) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// follows reports whether other nodes watch the store for this one.
func (r *registry) follows() bool {
	peers := r.peers()
	if len(peers) <= largeFleet {
		return false
	}
	for i, p := range r.domain(peers) {
		if p.name == r.node.config.Reducer.Self {
			return i >= watchersPerDomain
		}
	}
	return false
}

// complete notes up to where this node has read the store.
func (r *registry) complete(base, revision uint64) {
	r.mu.Lock()
	r.revision, r.reached = revision, true
	r.mu.Unlock()
	if base == 0 {
		// Whoever follows missed what lies before the view, and reads it itself.
		r.push(currantloom.StoreItems{Delta: true, BaseRevision: revision, Revision: revision})
	}
}

// push sends changes to the nodes that follow this one.
func (r *registry) push(m currantloom.StoreItems) {
	peers := r.peers()
	if len(peers) <= largeFleet || r.follows() {
		return
	}
	for i, p := range r.domain(peers) {
		if i < watchersPerDomain || p.name == r.node.config.Reducer.Self {
			continue
		}
		vm := currantloom.NewVM(p.name, currantloom.Location{}, p.record.Address, "", currantloom.VMLive)
		r.node.mesh.Send(vm, m)
	}
}

// spread tells followers now and then that there is no news.
func (r *registry) spread(ctx context.Context) error {
	for ctx.Err() == nil {
		loomtask.Sleep(ctx, spreadInterval)
		r.mu.Lock()
		revision, reached := r.revision, r.reached
		r.mu.Unlock()
		if reached {
			r.push(currantloom.StoreItems{Delta: true, BaseRevision: revision, Revision: revision})
		}
	}
	return nil
}

// pushed takes a push of another node.
func (r *registry) pushed(m currantloom.StoreItems) {
	select {
	case r.pushes <- m:
	default:
	}
}

// follow waits for a push and applies it. It reports false if there was none, or if changes are missing.
func (r *registry) follow(ctx context.Context, revision uint64) (uint64, bool) {
	select {
	case m := <-r.pushes:
		if !m.Delta || m.BaseRevision > revision {
			return revision, false
		}
		// What this node has read already may since have been removed.
		items := slices.DeleteFunc(m.Items, func(i currantloom.StoreItem) bool { return i.Revision <= revision })
		if newer := r.merge(items); len(newer) > 0 {
			r.node.post(r.changes(newer, false, m.Revision))
		}
		revision = max(revision, m.Revision)
		r.mu.Lock()
		r.revision, r.reached = revision, true
		r.mu.Unlock()
		r.node.post(loomfleet.StoreWatchSucceeded{Stamp: r.node.stamp()})
		return revision, true
	case <-time.After(spreadPatience):
		return revision, false
	case <-ctx.Done():
		return revision, true
	}
}
