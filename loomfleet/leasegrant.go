package loomfleet

import (
	"maps"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// commitTimeout is how long commits that run when a planned change blocks them may still be answered.
const commitTimeout = 200 * time.Millisecond

// leaseGrants is what the holder of the failover lease knows of the commit leases that it has given.
type leaseGrants struct {
	// givenAt is when each VM was last given one.
	givenAt map[currantloom.VMName]time.Duration
}

func (l *leaseGrants) record(vm currantloom.VMName, now time.Duration) {
	if l.givenAt == nil {
		l.givenAt = make(map[currantloom.VMName]time.Duration)
	}
	l.givenAt[vm] = now
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

// pingAnswering asks the nodes that answer what they have heard announced, because no lease is given before.
func (s *State) pingAnswering() {
	for _, m := range s.members.sorted {
		if m.alive && !m.pongPending {
			s.sendPing(m, "")
		}
	}
}

// isChanging reports whether a request may change the primary of a service, so that no commit may be acknowledged.
func (s *State) isChanging(name currantloom.ServiceName) bool {
	g, ok := s.catalog.groups[name]
	if !ok {
		return true
	}
	f := s.coordinator.failovers[name]
	return f != nil && f.commits.hasBegun() || s.isUnsettled(g) || s.hasPendingPromotion(g) || s.awaitsPauseAnswers(g)
}

// changingServices returns the services whose commits may not be acknowledged, sorted.
func (s *State) changingServices() []currantloom.ServiceName {
	c := &s.coordinator
	candidates := c.record.inheritedServices()
	candidates = slices.AppendSeq(candidates, maps.Keys(c.failovers))
	candidates = slices.AppendSeq(candidates, maps.Keys(c.promotions))
	if s.delaysCommits() {
		candidates = slices.AppendSeq(candidates, maps.Keys(s.catalog.groups))
	}
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

// outstandingLeases returns the VMs that hold a commit lease or have held one, and until when. Those that an earlier
// holder of the failover lease has given are not known: any VM may hold one for as long as a lease lasts, but for that
// holder itself, whose own leases ended with the failover lease.
func (s *State) outstandingLeases() map[currantloom.VMName]time.Duration {
	c := &s.coordinator
	leases := make(map[currantloom.VMName]time.Duration)
	add := func(vm currantloom.VMName, until time.Duration) { leases[vm] = max(leases[vm], until) }
	for vm, at := range c.grants.givenAt {
		add(vm, at+commitLeaseDuration)
	}
	for _, m := range s.members.sorted {
		if m.vm.Name() != c.replacedHolder || m.alive || s.hasLatelyLostStore() {
			add(m.vm.Name(), c.actingSince+commitLeaseDuration)
		} else {
			add(m.vm.Name(), c.actingSince)
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

// forgetCommitLeases records that an earlier process of a VM has ended, and with it what it knew of its commits.
func (s *State) forgetCommitLeases(vm currantloom.VMName) {
	s.unreported.add(s.now)
	delete(s.coordinator.grants.givenAt, vm)
	for _, f := range s.coordinator.failovers {
		f.commits.confirm(vm)
	}
}
