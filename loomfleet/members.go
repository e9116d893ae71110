package loomfleet

import (
	"cmp"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// pingInterval is the time between two pings to a VM, largeInterval that of the holder of the duty to the carriers of
	// a large fleet.
	pingInterval           = 300 * time.Millisecond
	largeFleetPingInterval = time.Second
	// pingAfterSilence is how long a call may be without an answer before its VM is pinged at once.
	pingAfterSilence = 200 * time.Millisecond
	// suspectAfter is how long a ping may be without an answer before the VM gets no new work: ten round trips between
	// regions.
	suspectAfter = 700 * time.Millisecond
	// resetLinkAfter is when the link is given up as silent.
	resetLinkAfter = 1400 * time.Millisecond
	// idleMemberAfter is how long after its last use a VM that does not answer is still pinged in a large fleet.
	idleMemberAfter = 10 * time.Second
	// smallFleetSize is the number of VMs up to which all are pinged.
	smallFleetSize = 16
	// forgetMemberAfter is how long a VM without a registration that does not answer is remembered.
	forgetMemberAfter = 10 * time.Second
)

// member is another node as this one sees it.
type member struct {
	vm           currantloom.VM
	incarnation  uint64
	revision     uint64
	deletedAt    time.Duration
	shuttingDown bool
	// alive says that it answered a ping and is not suspected, suspected that it does not answer. A VM that was not
	// needed yet is neither.
	alive, suspected bool
	// heardAt is when it was last heard, usedAt when a call last needed it.
	heardAt, usedAt time.Duration
	pingNumber      uint64
	pingSentAt      time.Duration
	// pongPending says that a ping has no answer yet.
	pongPending          bool
	storeReachable       bool
	configurationVersion uint64
	healthReports        []currantloom.UpstreamHealth
}

// members is this node's view of the fleet.
type members struct {
	byName map[currantloom.VMName]*member
	sorted []*member
	// epoch grows whenever the placement may change.
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
		s.coordinator.handleOwnMemberChange(s, e)
		return
	}
	peer, ok := m.byName[name]
	if e.Deleted {
		if ok && e.Revision > peer.revision && peer.deletedAt == 0 {
			peer.deletedAt, peer.revision = s.now, e.Revision
			s.log(Decision{Event: "vm", VM: name, Version: e.Revision, Outcome: "unregistered"})
		}
		return
	}
	if ok && e.Revision <= peer.revision {
		return
	}
	if !ok {
		peer = &member{vm: e.VM}
		m.byName[name] = peer
		m.sorted = append(m.sorted, peer)
		slices.SortFunc(m.sorted, func(a, b *member) int { return cmp.Compare(a.vm.Name(), b.vm.Name()) })
		s.log(Decision{Event: "vm", VM: name, Version: e.Revision, Outcome: "registered"})
	}
	if peer.incarnation != e.Incarnation {
		peer.shuttingDown, peer.pongPending, peer.alive, peer.suspected = false, false, false, false
	}
	peer.vm, peer.incarnation, peer.revision, peer.deletedAt = e.VM, e.Incarnation, e.Revision, 0
	m.epoch++
}

// markAbsent notes which members a full view of the store lacks.
func (m *members) markAbsent(s *State, present map[currantloom.VMName]bool, revision uint64) {
	for _, peer := range m.sorted {
		if !present[peer.vm.Name()] && peer.deletedAt == 0 && peer.revision < revision {
			peer.deletedAt = s.now
		}
	}
	if !present[s.config.Self] {
		s.coordinator.handleOwnMemberChange(s, MemberChange{Deleted: true, Revision: revision})
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

// tickMembers sends pings and suspects VMs that do not answer.
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

// pingTargets returns the VMs that are pinged now and then, with the time between two pings; nil means all, in a small
// fleet. In a large one these are the carriers of the primaries whose replicas this node carries, for their samples;
// the VMs that are needed and do not answer; and for the holder of the duty the first choices as carriers. Any other VM
// is pinged when it leaves a call without an answer.
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
	if s.coordinator.leaseKey.revision > 0 {
		for _, u := range s.catalog.upstreams {
			s.addOwnerTarget(targets, u, largeFleetPingInterval)
		}
	}
	for _, p := range s.owner.pools {
		if leader := p.upstream.group.find(p.upstream.group.primary); leader != nil {
			s.addOwnerTarget(targets, leader, pingInterval)
		}
	}
	return targets
}

// addOwnerTarget adds the VM that is likely to carry the upstream.
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

// pingIfDue pings a VM that has not answered a call for a while.
func (s *State) pingIfDue(vm currantloom.VMName) {
	if m, ok := s.members.byName[vm]; ok && !m.pongPending && s.now-m.pingSentAt >= pingInterval {
		s.sendPing(m, "")
	}
}

// sendPing asks a VM what it knows, with a service also for the newest commit of it that it has seen acknowledged.
func (s *State) sendPing(m *member, service currantloom.ServiceName) {
	m.pingNumber = s.nextNumber()
	m.pingSentAt, m.pongPending = s.now, true
	s.emit(Send{VM: m.vm, Message: currantloom.Ping{Number: m.pingNumber, Service: service}})
}

// checkPong suspects a VM whose answer is late, and gives up its link once it counts as silent.
func (s *State) checkPong(m *member) {
	late := s.runningTimeSince(m.pingSentAt)
	if late > suspectAfter {
		s.suspect(m, "no answer to ping")
	}
	if late > resetLinkAfter {
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
		s.suspect(m, "link lost")
	}
	s.failCalls(e.VM, e.Sent)
}

// buildPong returns what this node knows first-hand.
func (s *State) buildPong(p currantloom.Ping) currantloom.Pong {
	answer := currantloom.Pong{
		Number: p.Number, ShuttingDown: s.shutdown.requested, StoreReachable: !s.catalog.storeUnavailable && s.catalog.storeReachedAt > 0,
		Upstreams: s.owner.healthReports(s), Samples: s.owner.primarySamples(s),
	}
	if c := s.catalog.configuration; c != nil {
		answer.ConfigurationVersion = c.Version
	}
	for _, g := range s.catalog.sortedGroups {
		if !g.ackedPosition.IsZero() && (g.name == p.Service || s.owner.pools[g.primary] != nil) {
			answer.AckedPositions = append(answer.AckedPositions, currantloom.AckedPosition{Service: g.name, Position: g.ackedPosition})
		}
	}
	return answer
}

func (s *State) handlePong(from currantloom.VMName, p currantloom.Pong) {
	m, ok := s.members.byName[from]
	if !ok || !m.pongPending || m.pingNumber != p.Number {
		return
	}
	m.pongPending, m.heardAt, m.storeReachable, m.configurationVersion = false, s.now, p.StoreReachable, p.ConfigurationVersion
	m.healthReports = p.Upstreams
	if p.ShuttingDown {
		s.markMemberShuttingDown(from)
	}
	m.suspected = false
	if !m.alive {
		m.alive = true
		s.log(Decision{Event: "vm", VM: from, Age: s.now - m.pingSentAt, Outcome: "answers"})
		s.deferCall(s.retryParkedRequests)
	}
	for _, r := range p.Upstreams {
		if u, ok := s.catalog.upstreams[r.Name]; ok {
			u.observePosition(r.Position, m.pingSentAt)
			u.observeQueueWait(r.QueueWait, s.now)
		}
	}
	for _, taken := range p.Samples {
		s.recordSample(taken, m.pingSentAt)
	}
	for _, a := range p.AckedPositions {
		s.groupOf(a.Service).recordAcked(a.Position)
	}
}

// recordSample takes over a sample of another node. It was taken no earlier than its age before the question was asked.
func (s *State) recordSample(p currantloom.PositionSample, askedAt time.Duration) {
	if p.Upstream == "" {
		return
	}
	if g, ok := s.catalog.groups[p.Service]; ok {
		g.recordPrimary(s, p.Upstream, p.Position, askedAt-p.Age)
	}
}
