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
	pingInterval  = 300 * time.Millisecond
	largeInterval = time.Second
	// doubtAfter is how long a call may be without an answer before its VM is pinged at once.
	doubtAfter = 200 * time.Millisecond
	// suspectAfter is how long a ping may be without an answer before the VM gets no new work: ten round trips between
	// regions.
	suspectAfter = 700 * time.Millisecond
	// resetAfter is when the link is given up as silent.
	resetAfter = 1400 * time.Millisecond
	// memberIdle is how long after its last use a VM that does not answer is still pinged in a large fleet.
	memberIdle = 10 * time.Second
	// smallFleet is the number of VMs up to which all are pinged.
	smallFleet = 16
	// forgetMember is how long a VM without a registration that does not answer is remembered.
	forgetMember = 10 * time.Second
)

// member is another node as this one sees it.
type member struct {
	vm          currantloom.VM
	incarnation uint64
	revision    uint64
	goneAt      time.Duration
	leaving     bool
	// alive says that it answered a ping and is not suspected, suspected that it does not answer. A VM that was not
	// needed yet is neither.
	alive, suspected bool
	// heardAt is when it was last heard, usedAt when a call last needed it.
	heardAt, usedAt time.Duration
	ping            uint64
	pingSentAt      time.Duration
	// waiting says that a ping has no answer yet.
	waiting        bool
	storeReachable bool
	version        uint64
	reports        []currantloom.UpstreamHealth
}

// members is this node's view of the fleet.
type members struct {
	byName  map[currantloom.VMName]*member
	ordered []*member
	// epoch grows whenever the placement may change.
	epoch uint64
}

func (m *members) init() {
	m.byName = make(map[currantloom.VMName]*member)
	m.epoch = 1
}

func (s *State) memberChanged(e MemberChange) {
	m := &s.members
	name := e.VM.Name()
	if name == s.config.Self {
		s.duty.ownMember(s, e)
		return
	}
	known, ok := m.byName[name]
	if e.Deleted {
		if ok && e.Revision > known.revision && known.goneAt == 0 {
			known.goneAt, known.revision = s.now, e.Revision
			s.log(Decision{Event: "vm", VM: name, Version: e.Revision, Outcome: "unregistered"})
		}
		return
	}
	if ok && e.Revision <= known.revision {
		return
	}
	if !ok {
		known = &member{vm: e.VM}
		m.byName[name] = known
		m.ordered = append(m.ordered, known)
		slices.SortFunc(m.ordered, func(a, b *member) int { return cmp.Compare(a.vm.Name(), b.vm.Name()) })
		s.log(Decision{Event: "vm", VM: name, Version: e.Revision, Outcome: "registered"})
	}
	if known.incarnation != e.Incarnation {
		known.leaving, known.waiting, known.alive, known.suspected = false, false, false, false
	}
	known.vm, known.incarnation, known.revision, known.goneAt = e.VM, e.Incarnation, e.Revision, 0
	m.epoch++
}

// retain notes which members a full view of the store lacks.
func (m *members) retain(s *State, present map[currantloom.VMName]bool, revision uint64) {
	for _, known := range m.ordered {
		if !present[known.vm.Name()] && known.goneAt == 0 && known.revision < revision {
			known.goneAt = s.now
		}
	}
	if !present[s.config.Self] {
		s.duty.ownMember(s, MemberChange{Deleted: true, Revision: revision})
	}
}

func (m *members) heard(name currantloom.VMName, now time.Duration) {
	if known, ok := m.byName[name]; ok {
		known.heardAt = now
	}
}

func (s *State) memberLeaving(name currantloom.VMName) {
	if m, ok := s.members.byName[name]; ok && !m.leaving {
		m.leaving = true
		s.members.epoch++
		s.log(Decision{Event: "vm", VM: name, Outcome: "leaving"})
	}
}

// tickMembers sends pings and suspects VMs that do not answer.
func (s *State) tickMembers() {
	m := &s.members
	targets := s.pingTargets()
	for _, known := range slices.Clone(m.ordered) {
		switch {
		case known.goneAt > 0 && !known.alive && s.now-max(known.goneAt, known.heardAt) > forgetMember:
			s.forgetMember(known)
		case known.waiting:
			s.awaitPong(known)
		case s.isPingDue(known, targets):
			s.sendPing(known, "")
		}
	}
}

// pingTargets returns the VMs that are pinged now and then, with the time between two pings; nil means all, in a small
// fleet. In a large one these are the carriers of the primaries whose replicas this node carries, for their samples;
// the VMs that are needed and do not answer; and for the holder of the duty the first choices as carriers. Any other VM
// is pinged when it leaves a call without an answer.
func (s *State) pingTargets() map[currantloom.VMName]time.Duration {
	if len(s.members.ordered) <= smallFleet {
		return nil
	}
	targets := make(map[currantloom.VMName]time.Duration)
	for _, m := range s.members.ordered {
		if !m.alive && m.usedAt > 0 && s.now-m.usedAt < memberIdle {
			targets[m.vm.Name()] = pingInterval
		}
	}
	if s.duty.lead.revision > 0 {
		for _, u := range s.catalog.upstreams {
			s.addCarrier(targets, u, largeInterval)
		}
	}
	for _, p := range s.carrier.pools {
		if leader := p.upstream.group.find(p.upstream.group.leader); leader != nil {
			s.addCarrier(targets, leader, pingInterval)
		}
	}
	return targets
}

// addCarrier adds the VM that is likely to carry the upstream.
func (s *State) addCarrier(targets map[currantloom.VMName]time.Duration, u *upstream, interval time.Duration) {
	for _, vm := range s.carriers(u) {
		if s.mayCarry(vm) && u.avoid[vm] <= s.now {
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

// doubt pings a VM that has not answered a call for a while.
func (s *State) doubt(vm currantloom.VMName) {
	if m, ok := s.members.byName[vm]; ok && !m.waiting && s.now-m.pingSentAt >= pingInterval {
		s.sendPing(m, "")
	}
}

// sendPing asks a VM what it knows, with a service also for the newest commit of it that it has seen acknowledged.
func (s *State) sendPing(m *member, service currantloom.ServiceName) {
	m.ping = s.nextNumber()
	m.pingSentAt, m.waiting = s.now, true
	s.emit(Send{VM: m.vm, Message: currantloom.Ping{Number: m.ping, Service: service}})
}

// awaitPong suspects a VM whose answer is late, and gives up its link once it counts as silent.
func (s *State) awaitPong(m *member) {
	late := s.sinceAwake(m.pingSentAt)
	if late > suspectAfter {
		s.suspect(m, "no answer to ping")
	}
	if late > resetAfter {
		m.waiting = false
		s.emit(ResetLink{VM: m.vm.Name()})
		s.failCalls(m.vm.Name(), true)
	}
}

func (s *State) suspect(m *member, reason string) {
	if m.suspected {
		return
	}
	m.alive, m.suspected, m.reports = false, true, nil
	s.log(Decision{Event: "vm", VM: m.vm.Name(), Reason: reason, Age: s.now - m.heardAt, Outcome: "suspected"})
	s.hedgeCalls(m.vm.Name())
}

func (s *State) forgetMember(m *member) {
	s.members.ordered = slices.DeleteFunc(s.members.ordered, func(other *member) bool { return other == m })
	delete(s.members.byName, m.vm.Name())
	s.members.epoch++
	s.emit(ResetLink{VM: m.vm.Name()})
	s.failCalls(m.vm.Name(), true)
}

func (s *State) linkDown(e OutboundLinkFailed) {
	m, ok := s.members.byName[e.VM]
	if ok {
		m.waiting = false
		s.suspect(m, "link lost")
	}
	s.failCalls(e.VM, e.Sent)
}

// pong returns what this node knows first-hand.
func (s *State) pong(p currantloom.Ping) currantloom.Pong {
	answer := currantloom.Pong{
		Number: p.Number, ShuttingDown: s.stop.requested, StoreReachable: !s.catalog.lost && s.catalog.reachedAt > 0,
		Upstreams: s.carrier.reports(s), Samples: s.carrier.samples(s),
	}
	if c := s.catalog.configuration; c != nil {
		answer.ConfigurationVersion = c.Version
	}
	for _, g := range s.catalog.ordered {
		if !g.acked.IsZero() && (g.name == p.Service || s.carrier.pools[g.leader] != nil) {
			answer.AckedPositions = append(answer.AckedPositions, currantloom.AckedPosition{Service: g.name, Position: g.acked})
		}
	}
	return answer
}

func (s *State) pongReceived(from currantloom.VMName, p currantloom.Pong) {
	m, ok := s.members.byName[from]
	if !ok || !m.waiting || m.ping != p.Number {
		return
	}
	m.waiting, m.heardAt, m.storeReachable, m.version = false, s.now, p.StoreReachable, p.ConfigurationVersion
	m.reports = p.Upstreams
	if p.ShuttingDown {
		s.memberLeaving(from)
	}
	m.suspected = false
	if !m.alive {
		m.alive = true
		s.log(Decision{Event: "vm", VM: from, Age: s.now - m.pingSentAt, Outcome: "answers"})
		s.later(s.reviewRequests)
	}
	for _, r := range p.Upstreams {
		if u, ok := s.catalog.upstreams[r.Name]; ok {
			u.saw(r.Position, m.pingSentAt)
			u.expect(r.QueueWait, s.now)
		}
	}
	for _, taken := range p.Samples {
		s.sampled(taken, m.pingSentAt)
	}
	for _, a := range p.AckedPositions {
		s.groupOf(a.Service).acknowledged(a.Position)
	}
}

// sampled takes over a sample of another node. It was taken no earlier than its age before the question was asked.
func (s *State) sampled(p currantloom.PositionSample, askedAt time.Duration) {
	if p.Upstream == "" {
		return
	}
	if g, ok := s.catalog.groups[p.Service]; ok {
		g.lead(s, p.Upstream, p.Position, askedAt-p.Age)
	}
}
