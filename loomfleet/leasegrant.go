package loomfleet

import (
	"maps"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// commitTimeout is how long commits that run when a planned change blocks them may still be answered.
const commitTimeout = 200 * time.Millisecond

const (
	// leaderlessLeaseDuration is the time to live of the leases that nodes give themselves. It is shorter than that of
	// others by the time after which they hear of a new holder.
	leaderlessLeaseDuration = commitLeaseDuration - suspectAfter
	// storeProbeInterval is the time between two calls to the store while no holder of the failover lease answers, for
	// maxProbedSilence at most.
	storeProbeInterval = time.Second
	maxProbedSilence   = 4 * time.Second
)

// leaseGrants is what the holder of the failover lease knows of the commit leases that it has given.
type leaseGrants struct {
	// givenAt is when each VM was last given one.
	givenAt map[currantloom.VMName]time.Duration
}

// heardGrant is the newest permission to acknowledge commits that this node has heard.
type heardGrant struct {
	// position is that of the failover lease's key, askedAt is when the holder was asked.
	position currantloom.StorePosition
	askedAt  time.Duration
	// probedAt is when this node last asked the store because no holder answered.
	probedAt time.Duration
	// logged says that the log names this node as one that may acknowledge commits.
	logged bool
}

// isFresh reports whether the holder of the failover lease lets this node acknowledge commits.
func (h *heardGrant) isFresh(now time.Duration) bool {
	return h.askedAt > 0 && now-h.askedAt < commitLeaseDuration
}

// mayGrantCommitLeases reports whether this node may let nodes acknowledge commits: it acts as the holder of the
// failover lease, and has heard from the nodes that answer which promotions they have heard announced.
func (s *State) mayGrantCommitLeases() bool {
	c := &s.coordinator
	if !c.acting || !c.isActing(s) {
		return false
	}
	return s.now-c.actingSince >= suspectAfter || !slices.ContainsFunc(s.members.sorted, func(m *member) bool {
		return m.alive && m.heardAt < c.actingSince
	})
}

// isChanging reports whether a request may change the primary of a service, so that no commit may be acknowledged.
func (s *State) isChanging(name currantloom.ServiceName) bool {
	g, ok := s.catalog.groups[name]
	if !ok {
		return true
	}
	f := s.coordinator.failovers[name]
	return f != nil && f.commits.hasBegun() || s.isUnsettled(g) || s.hasPendingPromotion(g)
}

// changingServices returns the services whose commits may not be acknowledged, sorted.
func (s *State) changingServices() []currantloom.ServiceName {
	c := &s.coordinator
	candidates := c.record.inheritedServices()
	candidates = slices.AppendSeq(candidates, maps.Keys(c.failovers))
	candidates = slices.AppendSeq(candidates, maps.Keys(c.promotions))
	slices.Sort(candidates)
	return slices.DeleteFunc(slices.Compact(candidates), func(name currantloom.ServiceName) bool {
		return !s.isChanging(name)
	})
}

// handlePing answers a ping. The answer of the holder of the failover lease lets a VM acknowledge commits.
func (s *State) handlePing(from currantloom.VMName, link LinkID, p currantloom.Ping) {
	pong := s.buildPong(p)
	if c := &s.coordinator; s.isKnownToLive(from) && s.mayGrantCommitLeases() {
		pong.FailoverLease, pong.Changing = c.leaseKey.position, s.changingServices()
		c.grants.record(from, s.now)
	}
	s.emit(Respond{Link: link, Message: pong})
}

// isKnownToLive reports whether a VM is registered, or shuts down and answers: its open transactions may still commit.
func (s *State) isKnownToLive(vm currantloom.VMName) bool {
	m, ok := s.members.byName[vm]
	return ok && (m.deletedAt == 0 || m.alive && m.shuttingDown)
}

func (l *leaseGrants) record(vm currantloom.VMName, now time.Duration) {
	if l.givenAt == nil {
		l.givenAt = make(map[currantloom.VMName]time.Duration)
	}
	l.givenAt[vm] = now
}

// outstanding returns the VMs that may hold a commit lease, and until when. Those that an earlier holder of the
// failover lease has given are not known: any VM may hold one for as long as a lease lasts.
func (s *State) outstandingLeases() map[currantloom.VMName]time.Duration {
	c := &s.coordinator
	leases := make(map[currantloom.VMName]time.Duration)
	add := func(vm currantloom.VMName, until time.Duration) {
		if s.now < until {
			leases[vm] = max(leases[vm], until)
		}
	}
	for vm, at := range c.grants.givenAt {
		add(vm, at+commitLeaseDuration)
	}
	for _, m := range s.members.sorted {
		if m.vm.Name() != c.replacedHolder || m.alive || s.hasLatelyLostStore() {
			add(m.vm.Name(), c.actingSince+commitLeaseDuration)
		}
	}
	if s.now-s.catalog.storeFirstReachedAt < failoverLeaseTTL+commitLeaseDuration {
		// This process may not know VMs whose registration lapsed before it started, and that hold a lease nevertheless.
		add("", c.actingSince+commitLeaseDuration)
	}
	add(s.config.Self, s.now+commitLeaseDuration)
	return leases
}

// hasLatelyLostStore reports whether a holder of the failover lease may have acted without the lease lately, because
// the store was down.
func (s *State) hasLatelyLostStore() bool {
	c := &s.catalog
	return c.storeUnavailable || c.storeRegainedAt > 0 && s.now-c.storeRegainedAt < failoverLeaseTTL+commitLeaseDuration
}

// forgetCommitLeases records that an earlier process of a VM has ended.
func (s *State) forgetCommitLeases(vm currantloom.VMName) {
	delete(s.coordinator.grants.givenAt, vm)
	for _, f := range s.coordinator.failovers {
		f.commits.confirm(vm)
	}
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
	switch {
	case s.mayGrantCommitLeases():
		if c.leaseKey.isHeld(s.now) {
			until = min(until, c.leaseKey.validUntil)
		}
		s.grant.position, s.grant.askedAt = c.leaseKey.position, s.now
	case s.isLeaderless():
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

// isLeaderless reports whether no node can act as the holder of the failover lease: the store is unavailable to this
// node and to all that answer, most nodes answer, and none of them has heard of a holder lately.
func (s *State) isLeaderless() bool {
	heardHolder := s.grant.askedAt > 0 && s.now-s.grant.askedAt < failoverLeaseTTL ||
		slices.ContainsFunc(s.members.sorted, func(m *member) bool { return m.alive && m.holdsCommitLease })
	return !heardHolder && s.isStoreDownForAll() && s.runningTimeSince(0) > failoverLeaseTTL
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

// isInMinority reports whether most of the other nodes do not answer.
func (s *State) isInMinority() bool {
	answering, silent := s.countAnswering()
	return silent > answering+1
}

// recordAnnounced records a promotion that another node has heard announced, unless this node has heard of a later one.
func (s *State) recordAnnounced(a currantloom.AnnouncedPromotion, askedAt time.Duration) {
	p := s.coordinator.promotionsOf(a.Service)
	if at := max(askedAt-a.Age, 1); p.announced == "" && at > p.clearedAt {
		p.announced, p.announcedAt = a.Upstream, at
	}
}

// announcedPromotions returns the promotions that this node has heard announced and that may not have taken effect.
func (s *State) announcedPromotions() []currantloom.AnnouncedPromotion {
	var announced []currantloom.AnnouncedPromotion
	for _, name := range slices.Sorted(maps.Keys(s.coordinator.promotions)) {
		g, ok := s.catalog.groups[name]
		if p := s.coordinator.promotions[name]; ok && p.isUnsettled(s.now, g.primary) {
			announced = append(announced, currantloom.AnnouncedPromotion{
				Service: name, Upstream: p.announced, Age: s.now - p.announcedAt,
			})
		}
	}
	return announced
}
