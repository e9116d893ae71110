package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// leaderlessLeaseDuration is the time to live of the leases that nodes give themselves. It is shorter than that of
	// others by the time after which they hear of a new holder.
	leaderlessLeaseDuration = commitLeaseDuration - suspectAfter
	// storeProbeInterval is the time between two calls to the store while no holder of the failover lease answers, for
	// maxProbedSilence at most.
	storeProbeInterval = time.Second
	maxProbedSilence   = 4 * time.Second
)

// heardGrant is the newest permission to acknowledge commits that this node has heard.
type heardGrant struct {
	// position is that of the failover lease's key, askedAt is when the holder was asked.
	position currantloom.StorePosition
	askedAt  time.Duration
	// probedAt is when this node last asked the store because no holder answered.
	probedAt time.Duration
	// logged says that the log names this node as one that may acknowledge commits, leaderless that it names it as one
	// that gives itself leases because no node can act as the holder.
	logged, leaderless bool
}

// isFresh reports whether the holder of the failover lease lets this node acknowledge commits.
func (h *heardGrant) isFresh(now time.Duration) bool {
	return h.askedAt > 0 && now-h.askedAt < commitLeaseDuration
}

// renewCommitLeases renews the commit leases of this node by the answer to a ping that was sent at askedAt. The
// answer of a holder that was replaced since does not count.
func (s *State) renewCommitLeases(from currantloom.VMName, p currantloom.Pong, askedAt time.Duration) {
	holder := &s.coordinator.holder
	replaced := holder.name != "" && holder.name != from && holder.position.After(p.FailoverLease)
	if p.FailoverLease.IsZero() || replaced || s.grant.position.After(p.FailoverLease) {
		return
	}
	s.grant.position, s.grant.askedAt = p.FailoverLease, max(s.grant.askedAt, askedAt)
	for _, g := range s.catalog.sortedGroups {
		if _, changing := slices.BinarySearch(p.Changing, g.name); !changing {
			s.renewCommitLease(g, askedAt, askedAt+commitLeaseDuration)
		}
	}
}

func (s *State) renewCommitLease(g *group, askedAt, until time.Duration) {
	if g.lease.renew(s.now, askedAt, until) {
		s.deferCall(func() { s.startCommits(g) })
	}
}

// startCommits starts the commits that waited for a lease, and acknowledges those whose answers did.
func (s *State) startCommits(g *group) {
	s.settleHeldCommits(g)
	for _, u := range g.upstreams {
		if p, ok := s.owner.pools[u.Name]; ok {
			p.startJobs(s)
		}
	}
}

// tickCommitLeases renews the leases that this node gives itself: as the holder of the failover lease, or while the
// store is down for all and no node hears of a holder, so that nobody can change a primary. Those of the holder end
// with the failover lease, so that the next holder need not wait for a dead one.
func (s *State) tickCommitLeases() {
	s.logGrant()
	s.probeStoreIfSilent()
	c, until := &s.coordinator, s.now+commitLeaseDuration
	isHolder := s.mayGrantCommitLeases()
	leaderless := !isHolder && s.isLeaderless()
	s.logLeaderless(leaderless)
	switch {
	case isHolder:
		if c.leaseKey.isHeld(s.now) {
			until = min(until, c.leaseKey.validUntil)
		}
		s.grant.position, s.grant.askedAt = c.leaseKey.position, s.now
	case leaderless:
		until = s.now + leaderlessLeaseDuration
	default:
		return
	}
	for _, g := range s.catalog.sortedGroups {
		if !s.isChanging(g.name) {
			s.renewCommitLease(g, s.now, until)
		}
	}
}

// probeStoreIfSilent asks the store whether it answers once the holder of the failover lease does not: the watch
// notices an outage only when its wait is over.
func (s *State) probeStoreIfSilent() {
	silentFor := s.now - s.grant.askedAt
	isSilent := s.grant.askedAt > 0 && silentFor > suspectAfter && silentFor < maxProbedSilence
	if isSilent && !s.catalog.storeUnavailable && s.now-s.grant.probedAt >= storeProbeInterval {
		s.grant.probedAt = s.now
		s.emit(ProbeStore{})
	}
}

// logGrant logs when this node loses the permission to acknowledge commits, or has it again.
func (s *State) logGrant() {
	fresh := s.grant.isFresh(s.now)
	if fresh == s.grant.logged {
		return
	}
	s.grant.logged = fresh
	outcome := "lapsed"
	if fresh {
		outcome = "held"
	}
	s.log(Decision{
		Event: "lease", VM: s.coordinator.holder.name, Version: s.grant.position.Revision(), Age: s.now - s.grant.askedAt,
		Outcome: outcome,
	})
}

// logLeaderless logs when this node begins and ends to give itself commit leases.
func (s *State) logLeaderless(leaderless bool) {
	if leaderless == s.grant.leaderless {
		return
	}
	s.grant.leaderless = leaderless
	outcome := "holder_possible"
	if leaderless {
		outcome = "leaderless"
	}
	answering, _ := s.countAnswering()
	s.log(Decision{Event: "lease", Count: answering, Age: s.now - s.grant.askedAt, Outcome: outcome})
}

// lacksCommitLease reports whether commits that wait at this node are better refused: it does not reach the holder of
// the failover lease and is cut off from most nodes, or others reach the holder and it has not just changed.
func (s *State) lacksCommitLease() bool {
	lapsedFor := s.now - max(s.grant.askedAt, s.catalog.storeFirstReachedAt) - commitLeaseDuration
	switch {
	case lapsedFor < 0:
		return false
	case lapsedFor < failoverLeaseTTL:
		return s.isInMinority()
	}
	return s.isInMinority() || slices.ContainsFunc(s.members.sorted, func(m *member) bool {
		return m.alive && m.holdsCommitLease
	})
}
