package loomfleet

import (
	"cmp"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// pingInterval is the time between two pings to a VM, largeFleetPingInterval the one between pings of the failover
	// lease's holder to the owners in a large fleet.
	pingInterval           = 300 * time.Millisecond
	largeFleetPingInterval = time.Second
	// holderPingInterval is the time between two pings of an owner to the holder of the failover lease in a large fleet,
	// whose answers renew its commit leases.
	holderPingInterval = commitLeaseDuration / 3
	// pingAfterSilence is how long a call may be unanswered before its VM is pinged out of turn.
	pingAfterSilence = 200 * time.Millisecond
	// suspectAfter is how long a ping may be unanswered before the VM gets no new work: ten round trips between regions.
	suspectAfter = 700 * time.Millisecond
	// resetLinkAfter is how long a ping may be unanswered before the link is closed.
	resetLinkAfter = 1400 * time.Millisecond
	// idleMemberAfter is how long after its last use a VM that does not answer is still pinged in a large fleet.
	idleMemberAfter = 10 * time.Second
	// smallFleetSize is the number of other VMs up to which all of them are pinged regularly.
	smallFleetSize = 16
	// forgetMemberAfter is how long a VM that is not registered and does not answer is remembered.
	forgetMemberAfter = 10 * time.Second
)

// member is another node as this node sees it.
type member struct {
	vm          currantloom.VM
	incarnation uint64
	position    currantloom.StorePosition
	// firstSeenAt is when this node learnt of the member.
	firstSeenAt time.Duration
	deletedAt   time.Duration
	// missingSince is when a store that came back from a copy turned out not to have the registration; zero if it has it.
	missingSince time.Duration
	// returned says that the member had left and that the copy of the store has its registration.
	returned     bool
	shuttingDown bool
	// alive says that the member has answered a ping and is not suspected; suspected says that it does not answer. A
	// member that has not been pinged yet is neither.
	alive, suspected bool
	// heardAt is when the member last answered, usedAt is when it was last needed for a call.
	heardAt, usedAt time.Duration
	pingNumber      uint64
	pingSentAt      time.Duration
	// pongPending says that the last ping has not been answered yet.
	pongPending    bool
	storeReachable bool
	// holdsCommitLease says that the holder of the failover lease lets the member acknowledge commits.
	holdsCommitLease     bool
	configurationVersion uint64
	healthReports        []currantloom.UpstreamHealth
}

// members is this node's view of the other nodes.
type members struct {
	byName map[currantloom.VMName]*member
	sorted []*member
	// epoch increases whenever the choice of owners may change.
	epoch uint64
}

func (m *members) init() {
	m.byName = make(map[currantloom.VMName]*member)
	m.epoch = 1
}

func (s *State) applyMemberChange(e MemberChange) {
	m := &s.members
	name := e.VM.Name()
	if name == s.config.Self {
		s.recordEarlierProcess(e)
		s.coordinator.handleOwnMemberChange(s, e)
		return
	}
	peer, ok := m.byName[name]
	if e.Deleted {
		if ok && e.Position.After(peer.position) && peer.deletedAt == 0 {
			peer.deletedAt, peer.missingSince, peer.position = s.now, 0, e.Position
			s.log(Decision{Event: "vm", VM: name, Version: e.Position.Revision(), Outcome: "unregistered"})
		}
		return
	}
	if ok && !e.Position.After(peer.position) {
		return
	}
	if !ok {
		peer = &member{vm: e.VM, firstSeenAt: s.now}
		m.byName[name] = peer
		m.sorted = append(m.sorted, peer)
		slices.SortFunc(m.sorted, func(a, b *member) int { return cmp.Compare(a.vm.Name(), b.vm.Name()) })
		s.log(Decision{Event: "vm", VM: name, Version: e.Position.Revision(), Outcome: "registered"})
	}
	if peer.incarnation != e.Incarnation {
		if ok {
			s.forgetCommitLeases(name)
		}
		peer.shuttingDown, peer.pongPending, peer.alive, peer.suspected = false, false, false, false
	}
	peer.vm, peer.incarnation, peer.position = e.VM, e.Incarnation, e.Position
	peer.deletedAt, peer.missingSince = 0, 0
	m.epoch++
}

// markAbsent marks the members that a snapshot of the store does not contain as deleted.
func (m *members) markAbsent(s *State, present map[currantloom.VMName]bool, position currantloom.StorePosition) {
	for _, peer := range m.sorted {
		if !present[peer.vm.Name()] && peer.deletedAt == 0 && position.After(peer.position) {
			peer.deletedAt = s.now
		}
	}
	if !present[s.config.Self] {
		s.coordinator.handleOwnMemberChange(s, MemberChange{Deleted: true, Position: position})
	}
}

func (m *members) recordHeard(name currantloom.VMName, now time.Duration) {
	if peer, ok := m.byName[name]; ok {
		peer.heardAt = now
	}
}

func (s *State) markMemberShuttingDown(name currantloom.VMName) {
	if m, ok := s.members.byName[name]; ok && !m.shuttingDown {
		m.shuttingDown = true
		s.members.epoch++
		s.log(Decision{Event: "vm", VM: name, Outcome: "leaving"})
	}
}

// tickMembers pings VMs and suspects those that do not answer.
func (s *State) tickMembers() {
	m := &s.members
	targets := s.pingTargets()
	for _, peer := range slices.Clone(m.sorted) {
		switch {
		case peer.deletedAt > 0 && !peer.alive && s.now-max(peer.deletedAt, peer.heardAt) > forgetMemberAfter:
			s.forgetMember(peer)
		case peer.pongPending:
			s.checkPong(peer)
		case s.isPingDue(peer, targets):
			s.sendPing(peer, "")
		}
	}
}

// pingTargets returns the VMs to ping regularly, each with its ping interval; nil means all VMs, in a small fleet. In a
// large fleet these are the owners of the primaries of the groups that this node has connections to, which provide
// samples; VMs that were needed lately and do not answer; and, for the holder of the failover lease, the likely owner
// of each upstream. Any other VM is pinged when it leaves a call unanswered.
func (s *State) pingTargets() map[currantloom.VMName]time.Duration {
	if len(s.members.sorted) <= smallFleetSize {
		return nil
	}
	targets := make(map[currantloom.VMName]time.Duration)
	for _, m := range s.members.sorted {
		if !m.alive && m.usedAt > 0 && s.now-m.usedAt < idleMemberAfter {
			targets[m.vm.Name()] = pingInterval
		}
	}
	for _, m := range s.members.sorted {
		if s.reachesDeleted(m) {
			targets[m.vm.Name()] = largeFleetPingInterval
		}
	}
	if !s.coordinator.leaseKey.position.IsZero() {
		for _, u := range s.catalog.upstreams {
			s.addOwnerTarget(targets, u, largeFleetPingInterval)
		}
	}
	if _, ok := s.members.byName[s.coordinator.holder.name]; ok && len(s.owner.pools) > 0 {
		targets[s.coordinator.holder.name] = holderPingInterval
	}
	for _, p := range s.owner.pools {
		if primary := p.upstream.group.find(p.upstream.group.primary); primary != nil {
			s.addOwnerTarget(targets, primary, pingInterval)
		}
	}
	return targets
}

// reachesDeleted reports whether a VM has reported that it reaches an upstream whose registration was deleted. The
// upstream is kept because of that report, so the report must not grow old.
func (s *State) reachesDeleted(m *member) bool {
	return slices.ContainsFunc(m.healthReports, func(r currantloom.UpstreamHealth) bool {
		u, ok := s.catalog.upstreams[r.Name]
		return ok && r.Reachable && u.deletedAt > 0
	})
}

// addOwnerTarget adds the likely owner of the upstream.
func (s *State) addOwnerTarget(targets map[currantloom.VMName]time.Duration, u *upstream, interval time.Duration) {
	for _, vm := range s.ownerCandidates(u) {
		if s.isEligibleOwner(vm) && u.avoidOwnerUntil[vm] <= s.now {
			targets[vm] = interval
			return
		}
	}
}

// isPingDue reports whether a VM has to be pinged now.
func (s *State) isPingDue(m *member, targets map[currantloom.VMName]time.Duration) bool {
	interval := pingInterval
	if targets != nil {
		interval = targets[m.vm.Name()]
	}
	return interval > 0 && s.now-m.pingSentAt >= interval
}

// pingIfDue pings a VM unless a ping is unanswered or the last one was less than pingInterval ago.
func (s *State) pingIfDue(vm currantloom.VMName) {
	if m, ok := s.members.byName[vm]; ok && !m.pongPending && s.now-m.pingSentAt >= pingInterval {
		s.sendPing(m, "")
	}
}

// sendPing sends a ping. If a service is given, the pong also reports the service's newest commit that the VM has seen
// acknowledged.
func (s *State) sendPing(m *member, service currantloom.ServiceName) {
	m.pingNumber = s.nextNumber()
	m.pingSentAt, m.pongPending = s.now, true
	s.emit(Send{VM: m.vm, Message: currantloom.Ping{Number: m.pingNumber, Service: service}})
}

// checkPong suspects a VM whose pong is late, and closes the link to it after resetLinkAfter.
func (s *State) checkPong(m *member) {
	waited := s.runningTimeSince(m.pingSentAt)
	if waited > suspectAfter {
		s.suspect(m, "no answer to ping")
	}
	if waited > resetLinkAfter {
		m.pongPending = false
		s.emit(ResetLink{VM: m.vm.Name()})
		s.failCalls(m.vm.Name(), true)
	}
}

func (s *State) suspect(m *member, reason string) {
	if m.suspected {
		return
	}
	m.alive, m.suspected, m.healthReports = false, true, nil
	s.log(Decision{Event: "vm", VM: m.vm.Name(), Reason: reason, Age: s.now - m.heardAt, Outcome: "suspected"})
	s.hedgeCalls(m.vm.Name())
}

func (s *State) forgetMember(m *member) {
	// The holder of the failover lease gives none to a VM that is not registered.
	s.unreported.add(m.deletedAt + commitLeaseDuration)
	delete(s.coordinator.grants.givenAt, m.vm.Name())
	s.members.sorted = slices.DeleteFunc(s.members.sorted, func(other *member) bool { return other == m })
	delete(s.members.byName, m.vm.Name())
	s.members.epoch++
	s.emit(ResetLink{VM: m.vm.Name()})
	s.failCalls(m.vm.Name(), true)
}

func (s *State) handleOutboundLinkFailed(e OutboundLinkFailed) {
	m, ok := s.members.byName[e.VM]
	if ok {
		m.pongPending = false
		s.suspect(m, "link failed")
	}
	s.failCalls(e.VM, e.Sent)
}

// buildPong returns what this node has observed itself.
func (s *State) buildPong(p currantloom.Ping) currantloom.Pong {
	pong := currantloom.Pong{
		Number: p.Number, ShuttingDown: s.shutdown.requested,
		StoreReachable: !s.catalog.storeUnavailable && s.catalog.storeReachedAt > 0,
		Upstreams:      s.owner.healthReports(s), Samples: s.owner.primarySamples(s),
		ConfigurationVersion: s.configurationVersion(), Drains: s.drainsSeen(),
		HoldsCommitLease: s.grant.isFresh(s.now), Announced: s.announcedPromotions(),
	}
	for _, g := range s.catalog.sortedGroups {
		if !g.ackedPosition.IsZero() && (g.name == p.Service || s.owner.pools[g.primary] != nil) {
			pong.AckedPositions = append(pong.AckedPositions, currantloom.AckedPosition{
				Service: g.name, Position: g.ackedPosition,
			})
		}
	}
	return pong
}

func (s *State) handlePong(from currantloom.VMName, p currantloom.Pong) {
	m, ok := s.members.byName[from]
	if !ok || !m.pongPending || m.pingNumber != p.Number {
		return
	}
	m.pongPending, m.heardAt, m.storeReachable, m.configurationVersion =
		false, s.now, p.StoreReachable, p.ConfigurationVersion
	m.healthReports, m.holdsCommitLease = p.Upstreams, p.HoldsCommitLease
	if p.ShuttingDown {
		s.markMemberShuttingDown(from)
	}
	m.suspected = false
	if m.returned {
		m.returned, m.deletedAt = false, 0
		s.members.epoch++
	}
	if !m.alive {
		m.alive = true
		s.log(Decision{Event: "vm", VM: from, Age: s.now - m.pingSentAt, Outcome: "answers"})
		s.deferCall(s.retryParkedRequests)
	}
	s.compareConfiguration(m)
	for _, r := range p.Upstreams {
		if u, ok := s.catalog.upstreams[r.Name]; ok {
			u.observePosition(r.Position, m.pingSentAt)
			u.observeQueueWait(r.QueueWait, s.now)
			s.recordPongLoad(u, from, r, m.pingSentAt)
		}
	}
	for _, received := range p.Samples {
		s.recordSample(received, m.pingSentAt)
	}
	for _, a := range p.AckedPositions {
		s.groupOf(a.Service).recordAcked(a.Position)
	}
	for _, d := range p.Drains {
		s.recordDrain(d, m.pingSentAt)
	}
	for _, a := range p.Announced {
		s.recordAnnounced(a, m.pingSentAt)
	}
	s.renewCommitLeases(from, p, m.pingSentAt)
	s.repeatBlockWrites(m)
}

// recordSample records a sample of another node. Its age is subtracted from the time at which the question was sent, so
// the sample was taken no earlier than that.
func (s *State) recordSample(p currantloom.PositionSample, askedAt time.Duration) {
	if p.Upstream == "" {
		return
	}
	if g, ok := s.catalog.groups[p.Service]; ok {
		g.recordPrimary(s, p.Upstream, p.Position, askedAt-p.Age)
	}
}
