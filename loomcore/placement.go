package loomcore

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// maxPreferredVMs bounds the cached order of a server: 4,500 servers times 1,200 VMs would exceed the memory budget.
	maxPreferredVMs = 8
	// viewLifetime is how long a node keeps its view of a group that it carried or got work for. A node that took over from
	// a VM that failed would otherwise drop the view during a promotion, when the VM's penalty ends.
	viewLifetime = 10 * time.Second
)

// placement is the cached outcome of rendezvous hashing. It holds until the next VM list.
type placement struct {
	byLocation   map[currantloom.Location][]currantloom.VM
	preferredVMs map[currantloom.UpstreamName][]currantloom.VMName
	// candidates are the servers that this node is a preferred VM of, in the order of the settings.
	candidates []currantloom.PostgresUpstream
	owned      []currantloom.PostgresUpstream
	// activeGroups holds the groups with a view, in the order of the settings.
	activeGroups []*group
}

// rankedVM is a VM's claim on a server.
type rankedVM struct {
	vm       currantloom.VMName
	distance int
	weight   uint64
}

func rankVM(vm currantloom.VM, upstream currantloom.PostgresUpstream) rankedVM {
	return rankedVM{vm.Name(), vm.Location().Distance(upstream.Location()), rendezvousWeight(vm.Name(), upstream.Name())}
}

// compareRankedVMs orders claims by distance, then by rendezvous weight, the higher first.
func compareRankedVMs(a, b rankedVM) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm, b.vm))
}

// resetPlacement drops the cached orders and finds the servers that this node is a preferred VM of.
func (s *State) resetPlacement(vms []currantloom.VM) {
	p := &s.membership.placement
	p.byLocation = make(map[currantloom.Location][]currantloom.VM)
	p.preferredVMs = make(map[currantloom.UpstreamName][]currantloom.VMName)
	p.candidates = nil
	for _, vm := range vms {
		if vm.State() == currantloom.VMLive {
			p.byLocation[vm.Location()] = append(p.byLocation[vm.Location()], vm)
		}
	}
	for _, g := range s.orderedGroups {
		for _, upstream := range g.database.Upstreams() {
			if upstream.Location() != s.location && len(p.byLocation[upstream.Location()]) >= maxPreferredVMs {
				continue
			}
			if slices.Contains(s.preferredVMsOf(upstream), s.self) {
				p.candidates = append(p.candidates, upstream)
			}
		}
	}
}

// preferredVMsOf returns the preferred VMs of the server, the first choice first.
func (s *State) preferredVMsOf(upstream currantloom.PostgresUpstream) []currantloom.VMName {
	p := &s.membership.placement
	if order, ok := p.preferredVMs[upstream.Name()]; ok || p.preferredVMs == nil {
		return order
	}
	var ranked []rankedVM
	for distance := 0; distance <= 2 && len(ranked) < maxPreferredVMs; distance++ {
		for location, vms := range p.byLocation {
			if location.Distance(upstream.Location()) != distance {
				continue
			}
			for _, vm := range vms {
				ranked = append(ranked, rankVM(vm, upstream))
			}
		}
	}
	slices.SortFunc(ranked, compareRankedVMs)
	order := make([]currantloom.VMName, 0, maxPreferredVMs)
	for _, c := range ranked[:min(len(ranked), maxPreferredVMs)] {
		order = append(order, c.vm)
	}
	p.preferredVMs[upstream.Name()] = order
	return order
}

// ownerOf returns the usable VM that carries the server: the nearest to the server, by rendezvous hashing among
// equally near ones. The VMs in avoid are passed over.
func (s *State) ownerOf(
	upstream currantloom.PostgresUpstream, avoid map[currantloom.VMName]bool,
) (currantloom.VMName, bool) {
	order := s.preferredVMsOf(upstream)
	for _, name := range order {
		if s.usable(s.membership.vms[name]) && !avoid[name] {
			return name, true
		}
	}
	if len(order) < maxPreferredVMs {
		return "", false
	}
	return s.findOwner(upstream, avoid)
}

// findOwner searches all VMs; it is needed only when every preferred VM failed.
func (s *State) findOwner(
	upstream currantloom.PostgresUpstream, avoid map[currantloom.VMName]bool,
) (currantloom.VMName, bool) {
	var best rankedVM
	found := false
	for _, vm := range s.membership.vms {
		if !s.usable(vm) || avoid[vm.Name()] {
			continue
		}
		if c := rankVM(vm, upstream); !found || compareRankedVMs(c, best) < 0 {
			best, found = c, true
		}
	}
	return best.vm, found
}

// owns reports whether this node is the server's carrier.
func (s *State) owns(upstream currantloom.UpstreamName) bool {
	for _, c := range s.membership.placement.owned {
		if c.Name() == upstream {
			return true
		}
	}
	return false
}

// updateOwned finds the servers that this node carries now and logs the differences.
func (s *State) updateOwned() {
	p := &s.membership.placement
	var owned []currantloom.PostgresUpstream
	for _, upstream := range p.candidates {
		if vm, ok := s.ownerOf(upstream, nil); ok && vm == s.self {
			owned = append(owned, upstream)
		}
	}
	for _, upstream := range p.owned {
		if !slices.Contains(owned, upstream) {
			s.logPlacement(upstream, "this VM no longer carries the server; another VM precedes it")
		}
	}
	for _, upstream := range owned {
		if !slices.Contains(p.owned, upstream) {
			s.logPlacement(upstream, "this VM carries the server; it is the first usable one in rendezvous order")
		}
	}
	p.owned = owned
	s.updateActiveGroups()
}

func (s *State) logPlacement(upstream currantloom.PostgresUpstream, reason string) {
	vm, _ := s.ownerOf(upstream, nil)
	s.emit(Decision{Event: "placement", Upstream: upstream.Name(), VM: vm, Reason: reason})
}

// updateActiveGroups keeps views of the groups whose servers this node carries or has work for, and of no others.
func (s *State) updateActiveGroups() {
	p := &s.membership.placement
	var active []*group
	for _, upstream := range p.owned {
		g := s.groupsByUpstream[upstream.Name()]
		g.keepViewUntil = s.now + viewLifetime
		active = append(active, g)
	}
	for _, a := range s.owner.attempts {
		if g, ok := s.groupsByUpstream[a.header.Upstream]; ok {
			g.keepViewUntil = s.now + viewLifetime
			active = append(active, g)
		}
	}
	for _, g := range p.activeGroups {
		if g.keepViewUntil > s.now {
			active = append(active, g)
		}
	}
	slices.SortFunc(active, func(a, b *group) int { return cmp.Compare(a.index, b.index) })
	active = slices.Compact(active)
	before := p.activeGroups
	p.activeGroups = active
	for _, g := range active {
		g.createView(s.now)
	}
	for _, g := range before {
		if !slices.Contains(active, g) {
			s.dropView(g)
		}
	}
}

// ensureView creates the view of a group that this node got work for, although it may not carry one of its servers.
func (s *State) ensureView(g *group) {
	g.keepViewUntil = s.now + viewLifetime
	if g.view == nil {
		s.membership.placement.activeGroups = append(s.membership.placement.activeGroups, g)
		g.createView(s.now)
		s.pollGroup(g)
	}
}

// dropView drops the view of a group. Work that a planned change held is admitted again.
func (s *State) dropView(g *group) {
	if g.view.proposal != nil {
		g.endProposal()
	}
	g.view = nil
	s.admitWaiting(g)
}

// rendezvousWeight is the rendezvous weight of a VM for a server.
func rendezvousWeight(vm currantloom.VMName, upstream currantloom.UpstreamName) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(vm))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(upstream))
	return mix(h.Sum64())
}

// mix spreads the bits of an FNV hash, whose high bits depend little on the last bytes.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
