package loomcore

import (
	"fmt"
	"reflect"
	"testing"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomrules"
)

// rulesTestState returns a State that got a list of VMs in two regions, and the effects of the list.
func rulesTestState(self string, perRegion int) (*State, []Effect) {
	location := currantloom.NewLocation("ost", "ost-linz")
	s := New(Config{Self: currantloom.VMName(self), Location: location})
	var set currantloom.VMSet
	for i := range perRegion {
		for _, p := range []currantloom.Location{location, currantloom.NewLocation("west", "west-ibk")} {
			name := currantloom.VMName(fmt.Sprintf("%s-%d", p.Region(), i))
			set.VMs = append(set.VMs, currantloom.NewVM(name, p, "", "", currantloom.VMLive))
		}
	}
	return s, append([]Effect(nil), s.Reduce(VMsReceived{Stamp: Stamp{Random: 5}, Set: set})...)
}

func rulesEvent(revision currantloom.RulesRevision, from currantloom.VMName) RulesReceived {
	return RulesReceived{
		Document: currantloom.NewRulesDocument(revision, "", ""), Rules: &loomrules.Rules{}, From: from,
	}
}

func effectsOf[T Effect](effects []Effect) []T {
	var found []T
	for _, e := range effects {
		if e, ok := e.(T); ok {
			found = append(found, e)
		}
	}
	return found
}

// TestRulesPushReachesAllVMs guards against VMs that no forwarded copy of new rules reaches, and against a VM that
// sends a copy to itself.
func TestRulesPushReachesAllVMs(t *testing.T) {
	const perRegion = 200
	first, _ := rulesTestState("ost-0", perRegion)
	relay := first.rules.ownRegion[0]
	hops := map[currantloom.VMName]int{relay: 0}
	distant := 0
	queue := []currantloom.VMName{relay}
	from := map[currantloom.VMName]currantloom.VMName{}
	for len(queue) > 0 {
		vm := queue[0]
		queue = queue[1:]
		s, _ := rulesTestState(string(vm), perRegion)
		for _, e := range effectsOf[PushRules](s.Reduce(rulesEvent(1, from[vm]))) {
			for _, to := range e.VMs {
				if to == vm {
					t.Fatalf("%s sends the rules to itself", vm)
				}
				if v, _ := s.VM(to); v.Location().Region() != "ost" {
					distant++
				} else if _, ok := hops[to]; !ok {
					hops[to], from[to] = hops[vm]+1, vm
					queue = append(queue, to)
				}
			}
		}
	}
	deepest := 0
	for _, h := range hops {
		deepest = max(deepest, h)
	}
	if len(hops) != perRegion || deepest > 4 || distant != 1 {
		t.Errorf("%d of %d VMs reached in %d hops, %d copies to the other region; want all, at most 4, 1",
			len(hops), perRegion, deepest, distant)
	}
}

// TestRulesEffectsAreDeterministic guards against effects in the order of a map, which differs between runs.
func TestRulesEffectsAreDeterministic(t *testing.T) {
	var want []Effect
	for range 20 {
		s, effects := rulesTestState("ost-3", 8)
		effects = append(effects, s.Reduce(rulesEvent(1, ""))...)
		if want != nil && !reflect.DeepEqual(effects, want) {
			t.Fatalf("got effects %v, then %v", want, effects)
		}
		want = effects
	}
}

// TestRulesPulledAtStart guards against a node that delays its first pulls, or pulls only from its own region.
func TestRulesPulledAtStart(t *testing.T) {
	s, effects := rulesTestState("ost-0", 8)
	regions := map[currantloom.Region]int{}
	for _, e := range effectsOf[PullRules](effects) {
		vm, _ := s.VM(e.VM)
		regions[vm.Location().Region()]++
	}
	if regions["ost"] != 2 || regions["west"] != 1 {
		t.Errorf("got first pulls by region %v, want 2 in the own region and 1 in the other", regions)
	}
}

// TestRulesOfferedToOlderPeer guards against a peer that keeps older rules although it exchanged revisions with a newer
// node.
func TestRulesOfferedToOlderPeer(t *testing.T) {
	s, _ := rulesTestState("ost-0", 8)
	s.Reduce(rulesEvent(5, "ost-1"))
	for what, e := range map[string]Event{
		"answer": PeerAnswered{VM: "ost-2", Revision: 4}, "push": rulesEvent(4, "ost-2"),
	} {
		spread := effectsOf[PushRules](s.Reduce(e))
		if len(spread) != 1 || len(spread[0].VMs) != 1 || spread[0].VMs[0] != "ost-2" {
			t.Errorf("after an older %s: got %v, want the rules sent to ost-2", what, spread)
		}
	}
	if pulls := effectsOf[PullRules](s.Reduce(PeerAnswered{VM: "ost-2", Revision: 6})); len(pulls) != 1 {
		t.Errorf("after a newer answer: got %v, want a pull", pulls)
	}
}

// TestRulesRelayIsReplaced guards against a region without a watch on the store because the VM list still holds VMs
// that have failed.
func TestRulesRelayIsReplaced(t *testing.T) {
	probe, _ := rulesTestState("ost-0", 8)
	order := probe.rules.ownRegion
	s, effects := rulesTestState(string(order[2]), 8)
	if watches := effectsOf[WatchRules](effects); len(watches) != 0 {
		t.Fatalf("the third VM watches the store at the start: %v", watches)
	}
	on := effectsOf[WatchRules](s.Reduce(ControlFailed{VM: order[1]}))
	if vm, _ := s.VM(order[1]); !s.usable(vm) {
		t.Error("the VM is not usable after a failed control call")
	}
	off := effectsOf[WatchRules](s.Reduce(PeerAnswered{VM: order[1]}))
	if len(on) != 1 || !on[0].Enabled || len(off) != 1 || off[0].Enabled {
		t.Errorf("got %v when a relay failed and %v when it answered", on, off)
	}
}
