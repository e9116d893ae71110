package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// This file holds the rule on commits that were acknowledged by nodes which do not answer any more.
//
// A node tells its newest acknowledged commit with its pongs, and when it confirms that it acknowledges no more. What a
// node acknowledged since, before its process ended or its last commit lease ran out, is not known: that a lease has
// run out shows that the node acknowledges no more, and a process that has just started knows of no commit at all. The
// commits are covered again once the log of the primary was seen after that time.
//
// Until then, every log that may hold them counts. That of an upstream without a registration may return, so it counts
// for silentLogTimeout, and not for deletionGrace only. That of one which has left after a drain does not return, but
// it may have confirmed commits that only the primary has now, until a node reports them.

// silentLogTimeout is how long the log of an upstream counts after its registration was deleted, while commits are
// unreported. With the time until a registration lapses and that of a promotion it stays below the 12 s within which
// the service has to recover.
const silentLogTimeout = 8 * time.Second

// unreportedCommits says until when nodes may have acknowledged commits that this process does not know of. The zero
// value says that there are none.
type unreportedCommits struct{ until time.Duration }

// add records that a node may have acknowledged commits until then without reporting them.
func (u *unreportedCommits) add(until time.Duration) { u.until = max(u.until, until) }

// isCoveredBy reports whether a log holds all commits that may be unreported: it covers the log of the primary as it
// was seen after them.
func (u unreportedCommits) isCoveredBy(log currantloom.LogPosition, samples []sample) bool {
	if u.until == 0 {
		return true
	}
	for _, seen := range samples {
		if seen.takenAt >= u.until && log.Covers(seen.position) {
			return true
		}
	}
	return false
}

// unreportedCommits returns which commits of the service may be unreported during a failover.
func (s *State) unreportedCommits(f *failover) unreportedCommits {
	unreported := s.unreported
	for _, until := range f.commits.leases {
		unreported.add(until)
	}
	return unreported
}

// isSilent reports whether the registration of an upstream was deleted so lately that commits which it has confirmed
// may be unreported, unless a new upstream has its address and with it its log. Time in which the store is unavailable
// does not count, because upstreams cannot register again.
func (u *upstream) isSilent(s *State) bool {
	return u.deletedAt > 0 && u.missingFor(s) <= silentLogTimeout && !u.hasSuccessor()
}

// hasSuccessor reports whether a registered upstream of the service has taken over the address, and with it the log.
func (u *upstream) hasSuccessor() bool {
	return slices.ContainsFunc(u.group.upstreams, func(other *upstream) bool {
		return other != u && other.Address == u.Address && other.deletedAt == 0
	})
}

// missingFor returns how long the registration of an upstream has been missing while the store was available.
func (u *upstream) missingFor(s *State) time.Duration {
	switch {
	case u.deletedAt == 0:
		return 0
	case s.catalog.storeUnavailable:
		return s.catalog.storeReachedAt - u.deletedAt
	default:
		return s.now - u.deletedAt
	}
}

// minKnownLogs returns how many logs must be known while registrations may have lapsed before this process started. No
// commit can be acknowledged with fewer upstreams, so waiting for more costs no write.
func (s *State) minKnownLogs(g *group) int {
	if s.now-s.catalog.storeFirstReachedAt >= silentLogTimeout {
		return 0
	}
	return s.service(g.name).SyncReplicas + 1
}
