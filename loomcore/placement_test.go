package loomcore

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// fleet returns VMs and databases in the given numbers, spread over failure domains, three of which form a region.
func fleet(domains, vms, databases int) ([]currantloom.VM, []currantloom.Database) {
	location := func(i int) currantloom.Location {
		i %= domains
		return currantloom.NewLocation(currantloom.Region(fmt.Sprint("region-", i/3)),
			currantloom.FailureDomain(fmt.Sprint("domain-", i)))
	}
	var vs []currantloom.VM
	for i := range vms {
		vs = append(vs, currantloom.NewVM(currantloom.VMName(fmt.Sprint("vm-", i)), location(i), "", "", currantloom.VMLive))
	}
	var ds []currantloom.Database
	for i := range databases {
		name := currantloom.DatabaseName(fmt.Sprint("db-", i))
		var upstreams []currantloom.PostgresUpstream
		for j := range 3 {
			upstreams = append(upstreams, currantloom.NewPostgresUpstream(
				currantloom.UpstreamName(fmt.Sprint("server-", i, "-", j)), name, "", location(i+j)))
		}
		ds = append(ds, currantloom.NewDatabase(name, 2, 16, upstreams))
	}
	return vs, ds
}

func stateOf(vm currantloom.VM, databases []currantloom.Database) *State {
	return New(Config{Self: vm.Name(), Location: vm.Location(), Databases: databases})
}

// checkOwners fails unless all nodes agree on the owner of every upstream, and each node owns exactly its own.
func checkOwners(t *testing.T, nodes []*State) {
	t.Helper()
	for _, g := range nodes[0].orderedGroups {
		for _, upstream := range g.database.Upstreams() {
			want, _ := nodes[0].findOwner(upstream, nil)
			for _, n := range nodes {
				if got, _ := n.ownerOf(upstream, nil); got != want {
					t.Errorf("got owner %s of %s on %s, want %s", got, upstream.Name(), n.self, want)
				}
				if n.owns(upstream.Name()) != (n.self == want) {
					t.Errorf("%s: got owns %v for %s, want owner %s", n.self, n.owns(upstream.Name()), upstream.Name(), want)
				}
			}
		}
	}
}

// TestPlacement guards against nodes that disagree on the owner of an upstream although they have the same list, and
// against a cached order that differs from a search of all VMs.
func TestPlacement(t *testing.T) {
	vms, databases := fleet(5, 12, 10)
	var nodes []*State
	for _, vm := range vms {
		nodes = append(nodes, stateOf(vm, databases))
	}
	step := func(name string, e func(Stamp) Event) {
		t.Run(name, func(t *testing.T) {
			for _, n := range nodes {
				n.Reduce(e(Stamp{Now: n.now}))
			}
			checkOwners(t, nodes)
		})
	}
	step("first list", func(s Stamp) Event { return VMsReceived{s, currantloom.VMSet{VMs: vms}} })
	step("reversed list", func(s Stamp) Event {
		slices.Reverse(vms)
		return VMsReceived{s, currantloom.VMSet{VMs: vms}}
	})
	step("VM failed", func(s Stamp) Event { return PeerFailed{s, "vm-3"} })
	step("VM answered", func(s Stamp) Event { return PeerAnswered{Stamp: s, VM: "vm-3"} })
	step("tick", func(s Stamp) Event { return Tick{s} })
	step("VM failed again", func(s Stamp) Event { return PeerFailed{s, "vm-4"} })
	step("failure expires", func(s Stamp) Event { return Tick{Stamp{Now: s.Now + peerFailureTimeout}} })
	step("VM leaves", func(s Stamp) Event {
		leaving := slices.Clone(vms)
		leaving[2] = currantloom.NewVM(vms[2].Name(), vms[2].Location(), "", "", currantloom.VMLeaving)
		return VMsReceived{s, currantloom.VMSet{VMs: leaving}}
	})
	step("most VMs failed", func(s Stamp) Event {
		for _, vm := range vms[:9] {
			for _, n := range nodes {
				n.Reduce(PeerFailed{s, vm.Name()})
			}
		}
		return Tick{s}
	})
}

// TestGroupViewsAreBounded guards against state that grows with the number of databases, and against a view that is
// dropped while the node has an attempt for the group.
func TestGroupViewsAreBounded(t *testing.T) {
	vms, databases := fleet(5, 12, 10)
	s := stateOf(vms[0], databases)
	s.Reduce(VMsReceived{Set: currantloom.VMSet{VMs: vms}})
	for _, g := range s.orderedGroups {
		owned := slices.ContainsFunc(
			g.database.Upstreams(), func(v currantloom.PostgresUpstream) bool { return s.owns(v.Name()) })
		if owned != (g.view != nil) {
			t.Errorf("got a view %v of %s, want %v", g.view != nil, g.database.Name(), owned)
		}
	}
	i := slices.IndexFunc(s.orderedGroups, func(g *group) bool { return g.view == nil })
	g := s.orderedGroups[i]
	upstream := g.database.Upstreams()[0].Name()
	s.owner.attempts = map[currantloom.RequestKey]*attempt{{}: {header: currantloom.RequestHeader{Upstream: upstream}}}
	s.Reduce(Tick{Stamp{Now: time.Second}})
	if g.view == nil {
		t.Error("got no view of a group that the node has an attempt for")
	}
	clear(s.owner.attempts)
	s.Reduce(Tick{Stamp{Now: time.Minute}})
	if g.view != nil {
		t.Error("the view stays after the attempt ended")
	}
}

// TestPlacementDecisions guards against a change of owner that the log does not show.
func TestPlacementDecisions(t *testing.T) {
	vms, databases := fleet(1, 2, 1)
	s := stateOf(vms[0], databases)
	count := func(e Event) (n int) {
		for _, effect := range s.Reduce(e) {
			if d, ok := effect.(Decision); ok && d.Event == "placement" {
				n++
			}
		}
		return n
	}
	first := count(VMsReceived{Set: currantloom.VMSet{VMs: vms}})
	if got := count(PeerFailed{VM: vms[1].Name()}); got != 3-first {
		t.Errorf("got %d decisions, want %d when the other VM fails", got, 3-first)
	}
	if got := count(VMsReceived{Set: currantloom.VMSet{}}); got != 3 {
		t.Errorf("got %d decisions, want 3 when this VM is no longer listed", got)
	}
}

// BenchmarkFleetTick measures a tick at the design scale, which is due every 50 ms.
func BenchmarkFleetTick(b *testing.B) {
	vms, databases := fleet(21, 1200, 1500)
	s := stateOf(vms[0], databases)
	s.Reduce(VMsReceived{Set: currantloom.VMSet{VMs: vms}})
	for i := 0; b.Loop(); i++ {
		s.Reduce(Tick{Stamp{Now: time.Duration(i) * TickInterval}})
	}
}

// BenchmarkFleetList measures a new VM list at the design scale.
func BenchmarkFleetList(b *testing.B) {
	vms, databases := fleet(21, 1200, 1500)
	s := stateOf(vms[0], databases)
	for b.Loop() {
		s.Reduce(VMsReceived{Set: currantloom.VMSet{VMs: vms}})
	}
}

// TestRepeatedList guards against a placement that is computed again for each repetition of the VM list, and against a
// changed list that is taken for a repeated one.
func TestRepeatedList(t *testing.T) {
	vms, databases := fleet(3, 6, 2)
	set := func(vms []currantloom.VM, leaving ...currantloom.UpstreamName) currantloom.VMSet {
		return currantloom.VMSet{VMs: vms, LeavingUpstreams: leaving, Index: 1}
	}
	moved := slices.Clone(vms)
	moved[5] = currantloom.NewVM("vm-5", moved[5].Location(), "127.0.0.1:1", "", currantloom.VMLive)
	for _, c := range []struct {
		name string
		next currantloom.VMSet
		kept bool
	}{
		{"the same list", set(vms, "server-0-0"), true},
		{"another leaving upstream", set(vms, "server-0-1"), false},
		{"no leaving upstream", set(vms), false},
		{"a VM with another address", set(moved, "server-0-0"), false},
		{"one VM less", set(vms[1:], "server-0-0"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := stateOf(vms[0], databases)
			s.Reduce(VMsReceived{Set: set(vms, "server-0-0")})
			s.membership.placement.preferredVMs["mark"] = nil
			s.Reduce(VMsReceived{Set: c.next})
			if _, kept := s.membership.placement.preferredVMs["mark"]; kept != c.kept {
				t.Errorf("placement kept: %v, want %v", kept, c.kept)
			}
		})
	}
}
