package loomfleet

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// avoidDuration is how long a VM that could not reach an upstream is not chosen as its owner.
const avoidDuration = 2 * time.Second

// firstPongTimeout is how long to wait for a VM's first pong: twice the time for opening the link and a ping between
// regions.
const firstPongTimeout = 250 * time.Millisecond

// ownerCandidate is a VM that may be chosen as the owner of an upstream.
type ownerCandidate struct {
	vm       currantloom.VMName
	distance int
	weight   uint64
}

// rendezvousWeight is the weight of a VM in rendezvous hashing: it spreads the upstreams evenly over the VMs.
func rendezvousWeight(vm currantloom.VMName, upstream currantloom.UpstreamName) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(vm))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(upstream))
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}

// ownerCandidates returns all VMs in the order in which they are preferred as owner: nearest to the upstream first,
// then by weight.
func (s *State) ownerCandidates(u *upstream) []currantloom.VMName {
	if u.ownersEpoch == s.members.epoch {
		return u.owners
	}
	candidates := []ownerCandidate{{
		s.config.Self, s.config.Location.Distance(u.Location), rendezvousWeight(s.config.Self, u.Name),
	}}
	for _, m := range s.members.sorted {
		name := m.vm.Name()
		candidates = append(candidates, ownerCandidate{
			name, m.vm.Location().Distance(u.Location), rendezvousWeight(name, u.Name),
		})
	}
	slices.SortFunc(candidates, func(a, b ownerCandidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm, b.vm))
	})
	u.owners = make([]currantloom.VMName, len(candidates))
	for i, c := range candidates {
		u.owners[i] = c.vm
	}
	u.ownersEpoch = s.members.epoch
	return u.owners
}

// acceptsCalls reports whether the VM may get calls.
func (s *State) acceptsCalls(vm currantloom.VMName) bool {
	if vm == s.config.Self {
		return !s.shutdown.requested
	}
	m, ok := s.members.byName[vm]
	return ok && m.alive && !m.shuttingDown
}

// ownerOf returns the VM that owns the upstream. It reports false if no VM may get calls. It also reports false while
// the first pong of the preferred VM is awaited: otherwise the next choice, which may be this node, would open
// connections of its own.
func (s *State) ownerOf(u *upstream) (currantloom.VMName, bool) {
	for _, vm := range s.ownerCandidates(u) {
		if u.avoidOwnerUntil[vm] > s.now {
			continue
		}
		if m, ok := s.members.byName[vm]; ok {
			m.usedAt = max(s.now, 1)
			if !m.alive && !m.suspected && s.awaitsFirstPong(m) {
				return "", false
			}
		}
		if s.acceptsCalls(vm) {
			return vm, true
		}
	}
	// A node that shuts down still serves its own sessions if no other node can.
	return s.config.Self, s.shutdown.requested && u.avoidOwnerUntil[s.config.Self] <= s.now
}

// awaitsFirstPong pings a VM that has not answered yet, and reports whether its pong may still arrive within
// firstPongTimeout.
func (s *State) awaitsFirstPong(m *member) bool {
	s.pingIfDue(m.vm.Name())
	return !m.shuttingDown && m.pongPending && s.runningTimeSince(m.pingSentAt) < firstPongTimeout
}

// isEligibleOwner reports whether other nodes are likely to choose the VM as owner.
func (s *State) isEligibleOwner(vm currantloom.VMName) bool {
	m, ok := s.members.byName[vm]
	return ok && !m.suspected && !m.shuttingDown && !s.hasLeft(m)
}

// hasLeft reports whether a VM counts as gone because the store does not have its registration. A VM that answers is in
// use whatever the store says, and registrations that were revoked or that expired during an outage of the store are
// written again: until then, every node would own every upstream and open connections to it.
func (s *State) hasLeft(m *member) bool {
	return m.deletedAt > 0 && !m.alive && (m.returned || s.now-m.deletedAt > deletionGrace)
}

// isPreferredOwner reports whether this node is the first choice among the VMs that are likely to be chosen.
func (s *State) isPreferredOwner(u *upstream) bool {
	for _, vm := range s.ownerCandidates(u) {
		if vm == s.config.Self {
			return !s.shutdown.requested && (u.isUsable(s) || u.hasLapsed())
		}
		if s.isEligibleOwner(vm) && u.avoidOwnerUntil[vm] <= s.now {
			return false
		}
	}
	return false
}

func (s *State) vmOf(name currantloom.VMName) currantloom.VM {
	if m, ok := s.members.byName[name]; ok {
		return m.vm
	}
	return currantloom.NewVM(s.config.Self, s.config.Location, s.config.Address, "", currantloom.VMLive)
}
