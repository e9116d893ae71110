package loomfleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// The store may come back from a copy that is some seconds old. Nodes, upstreams and operators then write their keys
// again; until they have, the copy lacks keys that exist and holds keys that were deleted. What this node has seen
// itself goes before the copy: a known upstream stays in use without a registration for deletionGrace, and one that had
// left gets no work until it registers again or outlives the store's own check of its heartbeats.

const (
	// rewriteSpread is the time over which the nodes write their own keys again, each at a random point.
	rewriteSpread = 500 * time.Millisecond
	// returnedUpstreamGrace is how long the copy's registration of an upstream that had left is not used. The store
	// deletes a registration after three heartbeat intervals of silence, which is less.
	returnedUpstreamGrace = 8 * time.Second
	// rememberDeparted is how long an upstream that left is remembered: longer than a copy is old.
	rememberDeparted = time.Minute
	// memberReturnTime is how long a member may be missing in the copy until it counts as unregistered.
	memberReturnTime = 5 * time.Second
)

// departedUpstream is an upstream that left and that this node has forgotten.
type departedUpstream struct {
	incarnation int64
	at          time.Duration
}

// returnedUpstream is a registration in the copy of an upstream that had left.
type returnedUpstream struct {
	change UpstreamChange
	at     time.Duration
}

// enterStoreEra drops what this node holds in an earlier era of the store: leases, keys, and calls without an answer.
// Their numbers and revisions may now be those of other nodes.
func (s *State) enterStoreEra(era currantloom.StoreEra) {
	if era <= s.storeEra {
		return
	}
	c := &s.coordinator
	dropped := 0
	for _, r := range []*registration{&c.memberKey, &c.leaseKey} {
		if !r.lease.IsZero() || r.pendingKind != pendingNone {
			dropped++
		}
		r.forget()
	}
	if dropped > 0 {
		c.memberKey.retryAt = s.now + time.Duration(s.random%uint64(rewriteSpread))
		s.log(Decision{Event: "store_era", Version: uint64(era), Count: dropped, Outcome: "own keys dropped"})
	}
	c.holder = leaseHolder{}
	s.storeEra = era
}

// isOfEarlierEra reports whether the catalog has content of an earlier era.
func (c *catalog) isOfEarlierEra(era currantloom.StoreEra) bool {
	return c.era < era && (c.configuration != nil || len(c.upstreams) > 0)
}

// applyRestoredSnapshot applies the first snapshot after the store came back from a copy.
func (s *State) applyRestoredSnapshot(e CatalogChanged) {
	c := &s.catalog
	present := make(map[currantloom.UpstreamName]bool)
	var kept, ignored, missing int
	for _, change := range e.Upstreams {
		present[change.Upstream.Name] = true
		if s.applyRestoredUpstream(change) {
			kept++
		} else {
			ignored++
		}
	}
	for _, name := range c.upstreamNames() {
		if u := c.upstreams[name]; !present[name] && u.deletedAt == 0 && u.missingSince == 0 {
			u.missingSince = max(s.now, 1)
			missing++
		}
	}
	s.applyRestoredMembers(e.Members)
	c.restoring = true
	s.log(Decision{
		Event: "store_era", Version: uint64(e.Position.Era()), Age: s.now - c.storeReachedAt,
		Reason:  fmt.Sprintf("upstreams: %d kept, %d had left, %d awaited", kept, ignored, missing),
		Outcome: "entered",
	})
}

// applyRestoredUpstream applies the copy's registration of an upstream. It reports false if the upstream had left.
func (s *State) applyRestoredUpstream(change UpstreamChange) bool {
	c, name := &s.catalog, change.Upstream.Name
	if change.Deleted {
		s.applyUpstreamChange(change)
		return true
	}
	u, known := c.upstreams[name]
	gone, departed := c.departed[name]
	left := known && u.deletedAt > 0 && change.Upstream.Incarnation <= u.Incarnation ||
		!known && departed && change.Upstream.Incarnation <= gone.incarnation
	switch {
	case left:
		c.returned[name] = returnedUpstream{change: change, at: s.now}
		return false
	case known && !isNewerReport(change.Upstream, u.Upstream):
		u.storePosition, u.missingSince = change.Position, 0
	default:
		s.applyUpstreamChange(change)
	}
	return true
}

// isNewerReport reports whether an upstream made the first report after the second one.
func isNewerReport(a, b currantloom.Upstream) bool {
	return a.Incarnation > b.Incarnation || a.Incarnation == b.Incarnation && a.Sequence > b.Sequence
}

// applyRestoredMembers applies the copy's registrations of nodes. A node that is known to run stays as it is, because
// it registers again. Any other may have left, so it is used only once it has answered a ping.
func (s *State) applyRestoredMembers(changes []MemberChange) {
	present := make(map[currantloom.VMName]bool)
	for _, change := range changes {
		name := change.VM.Name()
		present[name] = true
		if name == s.config.Self || change.Deleted {
			continue
		}
		peer, known := s.members.byName[name]
		if known && (peer.incarnation == change.Incarnation || peer.alive && !peer.shuttingDown) {
			peer.position, peer.missingSince = change.Position, 0
			peer.returned = peer.deletedAt > 0
		} else {
			s.applyMemberChange(change)
			peer = s.members.byName[name]
			peer.alive, peer.suspected = false, true
		}
		if !peer.alive {
			s.sendPing(peer, "")
		}
	}
	for _, peer := range s.members.sorted {
		if !present[peer.vm.Name()] && peer.deletedAt == 0 {
			peer.missingSince = max(s.now, 1)
		}
	}
}

// tickRestoredCatalog decides on registrations that are still missing or still there some time after the store came
// back from a copy.
func (s *State) tickRestoredCatalog() {
	c := &s.catalog
	if !c.restoring || c.storeUnavailable {
		return
	}
	c.restoring = len(c.returned) > 0 || len(c.departed) > 0
	for _, name := range c.upstreamNames() {
		u := c.upstreams[name]
		c.restoring = c.restoring || u.missingSince > 0
		if u.missingSince > 0 && s.now-u.missingSince > deletionGrace {
			s.markUpstreamDeleted(u)
			u.deletedAt, u.missingSince = u.missingSince, 0
		}
	}
	for _, peer := range s.members.sorted {
		c.restoring = c.restoring || peer.missingSince > 0
		if peer.missingSince > 0 && s.now-peer.missingSince > memberReturnTime {
			peer.deletedAt, peer.missingSince = s.now, 0
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.returned)) {
		if r := c.returned[name]; s.now-r.at > returnedUpstreamGrace {
			s.applyUpstreamChange(r.change)
		}
	}
	maps.DeleteFunc(c.departed, func(_ currantloom.UpstreamName, d departedUpstream) bool {
		return s.now-d.at > rememberDeparted
	})
}
