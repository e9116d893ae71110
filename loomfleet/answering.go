package loomfleet

import "slices"

// This file holds what a node concludes from which other VMs answer it. A holder of the failover lease that acts and
// nodes that give themselves commit leases exclude each other: isOutnumbered is true on one side of a cut whenever
// isLeaderless can be true on the other.

// isStoreDownForAll reports whether the store is unavailable to this node and to all VMs that answer, and most VMs
// answer. A node that is cut off from the others cannot tell an outage of the store from its own.
func (s *State) isStoreDownForAll() bool {
	if !s.catalog.storeUnavailable {
		return false
	}
	for _, m := range s.members.sorted {
		if m.alive && m.storeReachable {
			return false
		}
	}
	answering, silent := s.countAnswering()
	return silent == 0 || answering > silent
}

// countAnswering counts the other VMs that answer, and those that do not although they have not left.
func (s *State) countAnswering() (answering, silent int) {
	for _, m := range s.members.sorted {
		switch {
		case m.alive:
			answering++
		case m.suspected && !s.hasLeft(m):
			silent++
		}
	}
	return answering, silent
}

// isLeaderless reports whether no node can act as the holder of the failover lease: the store is unavailable to this
// node and to all that answer, most nodes answer, and none of them has heard of a holder lately.
func (s *State) isLeaderless() bool {
	heardHolder := s.grant.askedAt > 0 && s.now-s.grant.askedAt < failoverLeaseTTL ||
		slices.ContainsFunc(s.members.sorted, func(m *member) bool { return m.alive && m.holdsCommitLease })
	return !heardHolder && s.isStoreDownForAll() && s.runningTimeSince(0) > failoverLeaseTTL
}

// isOutnumbered reports whether the VMs that do not answer may take this holder of the failover lease for lost, and
// give themselves commit leases because the store does not answer them either: most of the VMs that they know are among
// them. VMs that registered after they fell silent are not known to them.
func (s *State) isOutnumbered() bool {
	silent, silentSince := 0, s.now
	for _, m := range s.members.sorted {
		if m.suspected && !s.hasLeft(m) {
			silent++
			silentSince = min(silentSince, max(m.heardAt, m.firstSeenAt))
		}
	}
	known := 0
	if s.catalog.storeFirstReachedAt <= silentSince {
		known++
	}
	for _, m := range s.members.sorted {
		if m.alive && m.firstSeenAt <= silentSince {
			known++
		}
	}
	return silent > known+1
}

// isInMinority reports whether most of the other nodes do not answer.
func (s *State) isInMinority() bool {
	answering, silent := s.countAnswering()
	return silent > answering+1
}
