package loomcore

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// preferredVMs bounds the cached order of a server: 4,500 servers times 1,200 VMs would exceed the memory budget.
	preferredVMs = 8
	// usedFor is how long a node keeps its view of a group that it carried or got work for. A node that took over from
	// a VM that failed would otherwise drop the view during a promotion, when the VM's penalty ends.
	usedFor = 10 * time.Second
)

// placement is the cached outcome of rendezvous hashing. It holds until the next VM list.
type placement struct {
	byPlace map[currantloom.Location][]currantloom.VM
	orders  map[currantloom.UpstreamName][]currantloom.VMName
	// candidates are the servers that this node is a preferred VM of, in the order of the settings.
	candidates []currantloom.PostgresUpstream
	carried    []currantloom.PostgresUpstream
	// active holds the groups with a view, in the order of the settings.
	active []*group
}

// claim is a VM's claim on a server.
type claim struct {
	vm       currantloom.VMName
	distance int
	weight   uint64
}

func claimOf(vm currantloom.VM, server currantloom.PostgresUpstream) claim {
	return claim{vm.Name(), vm.Location().Distance(server.Location()), weight(vm.Name(), server.Name())}
}

// compareClaims orders claims by distance, then by rendezvous weight, the higher first.
func compareClaims(a, b claim) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm, b.vm))
}

// resetPlacement drops the cached orders and finds the servers that this node is a preferred VM of.
func (s *State) resetPlacement(vms []currantloom.VM) {
	p := &s.members.placement
	p.byPlace = make(map[currantloom.Location][]currantloom.VM)
	p.orders = make(map[currantloom.UpstreamName][]currantloom.VMName)
	p.candidates = nil
	for _, vm := range vms {
		if vm.State() == currantloom.VMLive {
			p.byPlace[vm.Location()] = append(p.byPlace[vm.Location()], vm)
		}
	}
	for _, g := range s.ordered {
		for _, server := range g.database.Upstreams() {
			if server.Location() != s.place && len(p.byPlace[server.Location()]) >= preferredVMs {
				continue
			}
			if slices.Contains(s.orderOf(server), s.self) {
				p.candidates = append(p.candidates, server)
			}
		}
	}
}

// orderOf returns the preferred VMs of the server, the first choice first.
func (s *State) orderOf(server currantloom.PostgresUpstream) []currantloom.VMName {
	p := &s.members.placement
	if order, ok := p.orders[server.Name()]; ok || p.orders == nil {
		return order
	}
	var claims []claim
	for distance := 0; distance <= 2 && len(claims) < preferredVMs; distance++ {
		for place, vms := range p.byPlace {
			if place.Distance(server.Location()) != distance {
				continue
			}
			for _, vm := range vms {
				claims = append(claims, claimOf(vm, server))
			}
		}
	}
	slices.SortFunc(claims, compareClaims)
	order := make([]currantloom.VMName, 0, preferredVMs)
	for _, c := range claims[:min(len(claims), preferredVMs)] {
		order = append(order, c.vm)
	}
	p.orders[server.Name()] = order
	return order
}

// carrierOf returns the usable VM that carries the server: the nearest to the server, by rendezvous hashing among
// equally near ones. The VMs in avoid are passed over.
func (s *State) carrierOf(
	server currantloom.PostgresUpstream, avoid map[currantloom.VMName]bool,
) (currantloom.VMName, bool) {
	order := s.orderOf(server)
	for _, name := range order {
		if s.usable(s.members.vms[name]) && !avoid[name] {
			return name, true
		}
	}
	if len(order) < preferredVMs {
		return "", false
	}
	return s.findCarrier(server, avoid)
}

// findCarrier searches all VMs; it is needed only when every preferred VM failed.
func (s *State) findCarrier(
	server currantloom.PostgresUpstream, avoid map[currantloom.VMName]bool,
) (currantloom.VMName, bool) {
	var best claim
	found := false
	for _, vm := range s.members.vms {
		if !s.usable(vm) || avoid[vm.Name()] {
			continue
		}
		if c := claimOf(vm, server); !found || compareClaims(c, best) < 0 {
			best, found = c, true
		}
	}
	return best.vm, found
}

// carries reports whether this node is the server's carrier.
func (s *State) carries(server currantloom.UpstreamName) bool {
	for _, c := range s.members.placement.carried {
		if c.Name() == server {
			return true
		}
	}
	return false
}

// updateCarried finds the servers that this node carries now and logs the differences.
func (s *State) updateCarried() {
	p := &s.members.placement
	var carried []currantloom.PostgresUpstream
	for _, server := range p.candidates {
		if vm, ok := s.carrierOf(server, nil); ok && vm == s.self {
			carried = append(carried, server)
		}
	}
	for _, server := range p.carried {
		if !slices.Contains(carried, server) {
			s.logPlacement(server, "this VM no longer carries the server; another VM precedes it")
		}
	}
	for _, server := range carried {
		if !slices.Contains(p.carried, server) {
			s.logPlacement(server, "this VM carries the server; it is the first usable one in rendezvous order")
		}
	}
	p.carried = carried
	s.updateActive()
}

func (s *State) logPlacement(server currantloom.PostgresUpstream, reason string) {
	vm, _ := s.carrierOf(server, nil)
	s.emit(Decision{Event: "placement", Upstream: server.Name(), VM: vm, Reason: reason})
}

// updateActive keeps views of the groups whose servers this node carries or has work for, and of no others.
func (s *State) updateActive() {
	p := &s.members.placement
	var active []*group
	for _, server := range p.carried {
		g := s.servers[server.Name()]
		g.usedUntil = s.now + usedFor
		active = append(active, g)
	}
	for _, w := range s.carrier.works {
		if g, ok := s.servers[w.header.Upstream]; ok {
			g.usedUntil = s.now + usedFor
			active = append(active, g)
		}
	}
	for _, g := range p.active {
		if g.usedUntil > s.now {
			active = append(active, g)
		}
	}
	slices.SortFunc(active, func(a, b *group) int { return cmp.Compare(a.index, b.index) })
	active = slices.Compact(active)
	before := p.active
	p.active = active
	for _, g := range active {
		g.activate(s.now)
	}
	for _, g := range before {
		if !slices.Contains(active, g) {
			s.deactivate(g)
		}
	}
}

// use creates the view of a group that this node got work for, although it may not carry one of its servers.
func (s *State) use(g *group) {
	g.usedUntil = s.now + usedFor
	if g.view == nil {
		s.members.placement.active = append(s.members.placement.active, g)
		g.activate(s.now)
		s.pollGroup(g)
	}
}

// deactivate drops the view of a group. Work that a planned change held is admitted again.
func (s *State) deactivate(g *group) {
	if g.view.proposal != nil {
		g.endProposal()
	}
	g.view = nil
	s.releaseHeld(g)
}

// weight is the rendezvous weight of a VM for a server.
func weight(vm currantloom.VMName, server currantloom.UpstreamName) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(vm))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(server))
	return mix(h.Sum64())
}

// mix spreads the bits of an FNV hash, whose high bits depend little on the last bytes.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
