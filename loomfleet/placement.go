package loomfleet

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// avoidFor is how long a VM that could not reach an upstream is passed over as its carrier.
const avoidFor = 2 * time.Second

// introductionTime is how long the first answer of a VM may take: the link and the ping between regions, twice.
const introductionTime = 250 * time.Millisecond

// claim is a VM's claim to carry an upstream.
type claim struct {
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

// carriers returns all VMs in the order in which they are chosen as carrier: near to the upstream first, then by
// weight.
func (s *State) carriers(u *upstream) []currantloom.VMName {
	if u.orderedAtEpoch == s.members.epoch {
		return u.order
	}
	claims := []claim{{s.config.Self, s.config.Location.Distance(u.Location), rendezvousWeight(s.config.Self, u.Name)}}
	for _, m := range s.members.ordered {
		name := m.vm.Name()
		claims = append(claims, claim{name, m.vm.Location().Distance(u.Location), rendezvousWeight(name, u.Name)})
	}
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm, b.vm))
	})
	u.order = make([]currantloom.VMName, len(claims))
	for i, c := range claims {
		u.order[i] = c.vm
	}
	u.orderedAtEpoch = s.members.epoch
	return u.order
}

// isCarrier reports whether the VM may get calls.
func (s *State) isCarrier(vm currantloom.VMName) bool {
	if vm == s.config.Self {
		return !s.stop.requested
	}
	m, ok := s.members.byName[vm]
	return ok && m.alive && !m.leaving
}

// carrierOf returns the VM that carries the upstream. It reports false if none may get calls, or if the first choice
// was asked for the first time a moment ago: the next choice, which may be this node, would open connections itself.
func (s *State) carrierOf(u *upstream) (currantloom.VMName, bool) {
	for _, vm := range s.carriers(u) {
		if u.avoid[vm] > s.now {
			continue
		}
		if m, ok := s.members.byName[vm]; ok {
			m.usedAt = max(s.now, 1)
			if !m.alive && !m.suspected && s.introduces(m) {
				return "", false
			}
		}
		if s.isCarrier(vm) {
			return vm, true
		}
	}
	return "", false
}

// introduces asks a VM that was not heard yet, and reports whether its answer may still come soon.
func (s *State) introduces(m *member) bool {
	s.doubt(m.vm.Name())
	return !m.leaving && m.waiting && s.sinceAwake(m.pingSentAt) < introductionTime
}

// mayCarry reports whether other nodes are likely to choose the VM.
func (s *State) mayCarry(vm currantloom.VMName) bool {
	m, ok := s.members.byName[vm]
	return ok && !m.suspected && !m.leaving && m.goneAt == 0
}

// carriesNow reports whether this node is the first choice among the VMs that are likely to get calls.
func (s *State) carriesNow(u *upstream) bool {
	for _, vm := range s.carriers(u) {
		if vm == s.config.Self {
			return !s.stop.requested && u.isUsable(s)
		}
		if s.mayCarry(vm) && u.avoid[vm] <= s.now {
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
