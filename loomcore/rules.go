package loomcore

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomrules"
)

const (
	// relaysPerRegion is the number of VMs per region that watch the store. With two, one still does when a VM fails.
	relaysPerRegion = 2
	// rulesFanOut is the number of VMs that a VM forwards new rules to. With 4, the most distant of 200 VMs of a region is
	// 4 hops from a relay, and one VM sends at most 9 copies of a change.
	rulesFanOut = 4
	// rulesPullInterval is the time between two pulls. Pulls replace lost pushes, and a change must be in effect within
	// 7 s. A VM with the new rules is asked by one other VM per second on average, so most VMs need 1 or 2 pulls.
	rulesPullInterval = time.Second
	// evenPullsPerDistantPull says how often a relay pulls from another region: in one of so many pulls with an even
	// number. This replaces pushes lost between regions and adds little traffic between them.
	evenPullsPerDistantPull = 2
)

// activeRules holds the newest valid rules that this node has seen, and its part in the distribution of rules.
type activeRules struct {
	document     currantloom.RulesDocument
	rules        loomrules.Rules
	watchesStore bool
	nextPullAt   time.Duration
	pulls        uint64
	pulling      bool
	// ownRegion holds the VMs of the own region by falling rendezvous weight, this VM included. The first ones watch the
	// store. All of them form a tree in which the VM at index i forwards to those at 4i+1 to 4i+4.
	ownRegion []currantloom.VMName
	// otherRegions holds the VMs of each other region in the same order. The regions are ordered by name.
	otherRegions [][]currantloom.VMName
	// unresponsive holds the relay candidates that failed and have not answered since.
	unresponsive map[currantloom.VMName]bool
}

// Rules returns the rules document in effect.
func (s *State) Rules() currantloom.RulesDocument { return s.rules.document }

// rulesReceived puts newer rules into effect and forwards them. Older rules are ignored, and a peer that sent them gets
// the newer ones.
func (s *State) rulesReceived(e RulesReceived) {
	revision, own := e.Document.Revision(), s.rules.document.Revision()
	if revision < own && e.From != "" {
		s.emit(PushRules{VMs: []currantloom.VMName{e.From}, Document: s.rules.document})
	}
	if revision <= own || e.Rules == nil {
		return
	}
	s.rules.document = e.Document
	s.rules.rules = *e.Rules
	s.updateLeavingSince(own == 0 || s.eventMayBeLate())
	s.emit(Decision{Event: "rules", VM: e.From, Revision: revision, Reason: "newer revision in effect"})
	if targets := s.rulesPushTargets(e.From); len(targets) > 0 {
		s.emit(PushRules{VMs: targets, Document: e.Document})
	}
}

// rulesPushTargets returns the VMs that new rules are forwarded to. Rules from the store or another region go to the
// root of the region's tree and its children as well as to this VM's children, because the root may not have them. The
// first relay also sends rules from the store to one VM of each other region.
func (s *State) rulesPushTargets(from currantloom.VMName) []currantloom.VMName {
	var targets []currantloom.VMName
	self := slices.Index(s.rules.ownRegion, s.self)
	if !slices.Contains(s.rules.ownRegion, from) {
		targets = s.appendTreeChildren(targets, -1)
		targets = s.appendTreeChildren(targets, 0)
	}
	if self >= 0 {
		targets = s.appendTreeChildren(targets, self)
	}
	targets = slices.DeleteFunc(targets, func(vm currantloom.VMName) bool { return vm == s.self || vm == from })
	if from == "" && len(s.relays()) > 0 && s.relays()[0] == s.self {
		for _, vms := range s.rules.otherRegions {
			targets = append(targets, vms[s.random%uint64(min(relaysPerRegion, len(vms)))])
		}
	}
	return targets
}

// appendTreeChildren appends the children of the VM at index i. For a child known to be unresponsive it also appends
// that VM's children. The VM at index 0 is the child of index -1.
func (s *State) appendTreeChildren(targets []currantloom.VMName, i int) []currantloom.VMName {
	first, last := rulesFanOut*i+1, rulesFanOut*i+rulesFanOut
	if i < 0 {
		first, last = 0, 0
	}
	for c := first; c <= last && c < len(s.rules.ownRegion); c++ {
		vm := s.rules.ownRegion[c]
		if s.rules.unresponsive[vm] && vm != s.self {
			targets = s.appendTreeChildren(targets, c)
		}
		if !slices.Contains(targets, vm) {
			targets = append(targets, vm)
		}
	}
	return targets
}

// rulesVMsReceived updates the order of the VMs. At the start of the node it pulls from peers at once.
func (s *State) rulesVMsReceived() {
	s.rules.ownRegion, s.rules.otherRegions = s.rankVMsForRules()
	for vm := range s.rules.unresponsive {
		if !s.isRelayCandidate(vm) {
			delete(s.rules.unresponsive, vm)
		}
	}
	s.updateWatch()
	if s.rules.pulling || len(s.rules.ownRegion)+len(s.rules.otherRegions) < 1 {
		return
	}
	s.rules.pulling = true
	s.rules.nextPullAt = s.now + rulesPullInterval
	for i := range uint64(relaysPerRegion) {
		s.pullFrom(s.rules.ownRegion, s.random+i)
	}
	if len(s.rules.otherRegions) > 0 {
		s.pullFrom(s.rules.otherRegions[s.random%uint64(len(s.rules.otherRegions))], s.random>>8)
	}
}

// rankVMsForRules returns the live and leaving VMs of the own region and of the others, by falling rendezvous weight.
func (s *State) rankVMsForRules() (own []currantloom.VMName, others [][]currantloom.VMName) {
	regions := make(map[currantloom.Region][]currantloom.VMName)
	for _, vm := range s.allVMs() {
		regions[vm.Location().Region()] = append(regions[vm.Location().Region()], vm.Name())
	}
	var names []currantloom.Region
	for region, vms := range regions {
		slices.SortFunc(vms, func(a, b currantloom.VMName) int {
			return cmp.Or(cmp.Compare(rulesWeight(b), rulesWeight(a)), cmp.Compare(a, b))
		})
		if region != s.location.Region() {
			names = append(names, region)
		}
	}
	slices.Sort(names)
	for _, region := range names {
		others = append(others, regions[region])
	}
	return regions[s.location.Region()], others
}

// allVMs returns the VMs of the platform's list in no fixed order.
func (s *State) allVMs() []currantloom.VM {
	vms := make([]currantloom.VM, 0, len(s.membership.vms))
	for _, vm := range s.membership.vms {
		vms = append(vms, vm)
	}
	return vms
}

// rulesWeight returns the rendezvous weight of a VM for the distribution of rules.
func rulesWeight(vm currantloom.VMName) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte("rules"))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(vm))
	return mix(h.Sum64())
}

// relays returns the VMs of the region that watch the store, as far as this node knows: the first ones that are not
// unresponsive. Only the other relay candidates notice that a relay is unresponsive, since only they pull from the
// relays regularly.
func (s *State) relays() []currantloom.VMName {
	var relays []currantloom.VMName
	for _, vm := range s.rules.ownRegion {
		if len(relays) < relaysPerRegion && (vm == s.self || !s.rules.unresponsive[vm]) {
			relays = append(relays, vm)
		}
	}
	return relays
}

// isRelayCandidate reports whether the VM is a relay or would replace one.
func (s *State) isRelayCandidate(vm currantloom.VMName) bool {
	i := slices.Index(s.rules.ownRegion, vm)
	return i >= 0 && i < 2*relaysPerRegion
}

// updateWatch starts or stops this node's watch on the store.
func (s *State) updateWatch() {
	on := slices.Contains(s.relays(), s.self)
	if on == s.rules.watchesStore {
		return
	}
	s.rules.watchesStore = on
	s.emit(WatchRules{Enabled: on})
}

// rulesPeerFailed records that a relay candidate is unresponsive.
func (s *State) rulesPeerFailed(vm currantloom.VMName) {
	if !s.isRelayCandidate(vm) {
		return
	}
	if s.rules.unresponsive == nil {
		s.rules.unresponsive = make(map[currantloom.VMName]bool)
	}
	s.rules.unresponsive[vm] = true
	s.updateWatch()
}

// rulesPeerAnswered compares the revisions of this node and the peer. The one with the older rules gets the newer ones.
// Revision 0 means that the peer has no rules or that its answer names no revision; such a peer pulls the rules itself.
func (s *State) rulesPeerAnswered(e PeerAnswered) {
	if s.rules.unresponsive[e.VM] {
		delete(s.rules.unresponsive, e.VM)
		s.updateWatch()
	}
	own := s.rules.document.Revision()
	switch {
	case e.Revision > own:
		s.emit(PullRules{VM: e.VM, Revision: own})
	case e.Revision > 0 && e.Revision < own:
		s.emit(PushRules{VMs: []currantloom.VMName{e.VM}, Document: s.rules.document})
	}
}

// tickRules pulls from one peer each second, by default a random one of the region. Every second pull of a relay
// candidate goes to another candidate, so that a failed relay is noticed. Some pulls of a relay go to another region.
func (s *State) tickRules() {
	if !s.rules.pulling || s.now < s.rules.nextPullAt {
		return
	}
	s.rules.nextPullAt = s.now + rulesPullInterval
	s.rules.pulls++
	n := s.rules.pulls
	distant := slices.Contains(s.relays(), s.self) && n/2%evenPullsPerDistantPull == 0 || len(s.rules.ownRegion) < 2
	switch {
	case distant && n%2 == 0 && len(s.rules.otherRegions) > 0:
		vms := s.rules.otherRegions[s.random%uint64(len(s.rules.otherRegions))]
		s.pullFrom(vms, s.random>>8)
	case s.isRelayCandidate(s.self) && n%2 == 1:
		candidates := s.rules.ownRegion[:min(2*relaysPerRegion, len(s.rules.ownRegion))]
		s.pullFrom(candidates, n/2)
	default:
		s.pullFrom(s.rules.ownRegion, s.random)
	}
}

// pullFrom pulls from the VM at the index, which wraps around, or from the next one if that is this VM.
func (s *State) pullFrom(vms []currantloom.VMName, at uint64) {
	for i := range uint64(min(2, len(vms))) {
		if vm := vms[(at+i)%uint64(len(vms))]; vm != s.self {
			s.emit(PullRules{VM: vm, Revision: s.rules.document.Revision()})
			return
		}
	}
}
