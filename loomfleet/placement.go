package loomfleet

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// avoidDuration is how long a VM that could not reach an upstream is passed over as its carrier.
const avoidDuration = 2 * time.Second

// firstPongTimeout is how long the first answer of a VM may take: the link and the ping between regions, twice.
const firstPongTimeout = 250 * time.Millisecond

// ownerCandidate is a VM's claim to carry an upstream.
type ownerCandidate struct {
	vm       currantloom.VMName
	distance int
	weight   uint64
}

// rendezvousWeight is high for one VM in n, and for another one for each upstream.
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

// ownerCandidates returns all VMs in the order in which they are chosen as carrier: near to the upstream first, then by
// weight.
func (s *State) ownerCandidates(u *upstream) []currantloom.VMName {
	if u.ownersEpoch == s.members.epoch {
		return u.owners
	}
	claims := []ownerCandidate{{s.config.Self, s.config.Location.Distance(u.Location), rendezvousWeight(s.config.Self, u.Name)}}
	for _, m := range s.members.sorted {
		name := m.vm.Name()
		claims = append(claims, ownerCandidate{name, m.vm.Location().Distance(u.Location), rendezvousWeight(name, u.Name)})
	}
	slices.SortFunc(claims, func(a, b ownerCandidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm, b.vm))
	})
	u.owners = make([]currantloom.VMName, len(claims))
	for i, c := range claims {
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

// ownerOf returns the VM that carries the upstream. It reports false if none may get calls, or if the first choice
// was asked for the first time a moment ago: the next choice, which may be this node, would open connections itself.
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
	return "", false
}

// awaitsFirstPong asks a VM that was not heard yet, and reports whether its answer may still come soon.
func (s *State) awaitsFirstPong(m *member) bool {
	s.pingIfDue(m.vm.Name())
	return !m.shuttingDown && m.pongPending && s.runningTimeSince(m.pingSentAt) < firstPongTimeout
}

// isEligibleOwner reports whether other nodes are likely to choose the VM.
func (s *State) isEligibleOwner(vm currantloom.VMName) bool {
	m, ok := s.members.byName[vm]
	return ok && !m.suspected && !m.shuttingDown && m.deletedAt == 0
}

// isPreferredOwner reports whether this node is the first choice among the VMs that are likely to get calls.
func (s *State) isPreferredOwner(u *upstream) bool {
	for _, vm := range s.ownerCandidates(u) {
		if vm == s.config.Self {
			return !s.shutdown.requested && u.isUsable(s)
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
