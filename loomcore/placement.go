package loomcore

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// maxPreferredVMs bounds the cached list of VMs per upstream. Lists of all VMs would exceed the memory budget: 4,500
	// upstreams times 1,200 VMs.
	maxPreferredVMs = 8
	// viewLifetime is how long a node keeps its view of a group after it last owned an upstream of it or got an attempt
	// for one. A node that took over from a failed VM would otherwise drop the view during a promotion, when the VM's
	// failure expires.
	viewLifetime = 10 * time.Second
)

// placement is the cached result of rendezvous hashing. It is valid until the next VM list.
type placement struct {
	byLocation   map[currantloom.Location][]currantloom.VM
	preferredVMs map[currantloom.UpstreamName][]currantloom.VMName
	// candidates are the upstreams that this node is a preferred VM of, in the order of the settings.
	candidates []currantloom.PostgresUpstream
	owned      []currantloom.PostgresUpstream
	// activeGroups holds the groups with a view, in the order of the settings.
	activeGroups []*group
}

// rankedVM is a VM with its rank among the possible owners of an upstream.
type rankedVM struct {
	vm       currantloom.VMName
	distance int
	weight   uint64
}

func rankVM(vm currantloom.VM, upstream currantloom.PostgresUpstream) rankedVM {
	return rankedVM{vm.Name(), vm.Location().Distance(upstream.Location()), rendezvousWeight(vm.Name(), upstream.Name())}
}

// compareRankedVMs orders VMs by distance, then by rendezvous weight, the higher first.
func compareRankedVMs(a, b rankedVM) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm, b.vm))
}

// resetPlacement drops the cached lists and finds the upstreams that this node is a preferred VM of.
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

// preferredVMsOf returns the preferred VMs of the upstream, the first choice first.
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

// ownerOf returns the owner of the upstream: the usable VM that is nearest to it, by rendezvous hashing among equally
// near ones. The VMs in avoid are left out.
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

// findOwner searches all VMs. It is needed only if no preferred VM can be used.
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

// owns reports whether this node is the owner of the upstream.
func (s *State) owns(upstream currantloom.UpstreamName) bool {
	for _, c := range s.membership.placement.owned {
		if c.Name() == upstream {
			return true
		}
	}
	return false
}

// updateOwned finds the upstreams that this node owns now and logs the differences.
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
			s.logPlacement(upstream, "this VM no longer owns the upstream; another VM precedes it")
		}
	}
	for _, upstream := range owned {
		if !slices.Contains(p.owned, upstream) {
			s.logPlacement(upstream, "this VM owns the upstream; it is the first usable one in rendezvous order")
		}
	}
	p.owned = owned
	s.updateActiveGroups()
}

func (s *State) logPlacement(upstream currantloom.PostgresUpstream, reason string) {
	vm, _ := s.ownerOf(upstream, nil)
	s.emit(Decision{Event: "placement", Upstream: upstream.Name(), VM: vm, Reason: reason})
}

// updateActiveGroups keeps views of the groups that this node owns an upstream of or has attempts for, or did within
// viewLifetime, and of no others.
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

// ensureView creates or keeps the view of a group that this node got an attempt for. It may own no upstream of the
// group.
func (s *State) ensureView(g *group) {
	g.keepViewUntil = s.now + viewLifetime
	if g.view == nil {
		s.membership.placement.activeGroups = append(s.membership.placement.activeGroups, g)
		g.createView(s.now)
		s.pollGroup(g)
	}
}

// dropView drops the view of a group. Attempts that a planned change blocked are admitted again.
func (s *State) dropView(g *group) {
	if g.view.proposal != nil {
		g.endProposal()
	}
	g.view = nil
	s.admitWaiting(g)
}

// rendezvousWeight returns the rendezvous weight of a VM for an upstream.
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
