package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

// peerFailureTimeout is how long a VM that failed is not used.
const peerFailureTimeout = 2 * time.Second

// membership is this node's view of the VMs and of the upstreams that leave.
type membership struct {
	vms              map[currantloom.VMName]currantloom.VM
	failedUntil      map[currantloom.VMName]time.Duration
	leavingUpstreams map[currantloom.UpstreamName]bool
	// leavingSince holds the time since which this node knows that an upstream is leaving.
	leavingSince map[currantloom.UpstreamName]time.Duration
	placement    placement
}

func (s *State) vmsReceived(e VMsReceived) {
	m := &s.membership
	if m.equals(e.Set) {
		return
	}
	first := m.vms == nil
	m.vms = make(map[currantloom.VMName]currantloom.VM, len(e.Set.VMs))
	for _, vm := range e.Set.VMs {
		m.vms[vm.Name()] = vm
	}
	m.leavingUpstreams = make(map[currantloom.UpstreamName]bool, len(e.Set.LeavingUpstreams))
	for _, name := range e.Set.LeavingUpstreams {
		m.leavingUpstreams[name] = true
	}
	s.updateLeavingSince(first || s.eventMayBeLate())
	s.resetPlacement(e.Set.VMs)
	s.updateOwned()
}

// equals reports whether the list is the one in use. The platform repeats an unchanged list, and computing a new
// placement takes about 9 ms with 1,200 VMs and 1,500 databases.
func (m *membership) equals(set currantloom.VMSet) bool {
	if m.vms == nil || len(set.VMs) != len(m.vms) || len(set.LeavingUpstreams) != len(m.leavingUpstreams) {
		return false
	}
	for _, vm := range set.VMs {
		if m.vms[vm.Name()] != vm {
			return false
		}
	}
	for _, name := range set.LeavingUpstreams {
		if !m.leavingUpstreams[name] {
			return false
		}
	}
	return true
}

func (s *State) peerFailed(e PeerFailed) {
	if s.membership.failedUntil == nil {
		s.membership.failedUntil = make(map[currantloom.VMName]time.Duration)
	}
	s.membership.failedUntil[e.VM] = s.now + peerFailureTimeout
	s.updateOwned()
}

func (s *State) peerAnswered(e PeerAnswered) {
	if _, failed := s.membership.failedUntil[e.VM]; failed {
		delete(s.membership.failedUntil, e.VM)
		s.updateOwned()
	}
}

// tickMembership removes the failures that have expired.
func (s *State) tickMembership() {
	for name, until := range s.membership.failedUntil {
		if until <= s.now {
			delete(s.membership.failedUntil, name)
		}
	}
}

// VM returns the description of a VM.
func (s *State) VM(name currantloom.VMName) (currantloom.VM, bool) {
	vm, ok := s.membership.vms[name]
	return vm, ok
}

// usable reports whether new requests may be sent to the VM.
func (s *State) usable(vm currantloom.VM) bool {
	return vm.State() == currantloom.VMLive && s.membership.failedUntil[vm.Name()] <= s.now
}

// isLeaving reports whether the rules or the VM list say that the upstream is leaving.
func (s *State) isLeaving(upstream currantloom.UpstreamName) bool {
	return s.membership.leavingUpstreams[upstream] || s.rules.rules.IsLeaving(upstream)
}

// updateLeavingSince records since when each leaving upstream is known to leave. If the event is late, after a start or
// a pause, the upstream may have been leaving for a long time, so the time to drain it counts as over.
func (s *State) updateLeavingSince(late bool) {
	m := &s.membership
	if m.leavingSince == nil {
		m.leavingSince = make(map[currantloom.UpstreamName]time.Duration)
	}
	since := s.now
	if late {
		since -= maxLeavingServiceTime
	}
	for _, g := range s.orderedGroups {
		for _, upstream := range g.database.Upstreams() {
			name := upstream.Name()
			_, known := m.leavingSince[name]
			switch leaving := s.isLeaving(name); {
			case leaving && !known:
				m.leavingSince[name] = since
			case !leaving && known:
				delete(m.leavingSince, name)
			}
		}
	}
}
