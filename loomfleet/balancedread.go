package loomfleet

import "currantloom.example/currantloom"

// selectBalanced selects the upstream of a read by the expected completion. The caller has set everything in the target
// but the upstream and its VM.
func (s *State) selectBalanced(r *request, t target, required sample, requiredKnown bool) (target, bool) {
	candidates := s.readCandidates(r, t, required, requiredKnown, s.ownerOf)
	made, ok := choose(candidates, s.random^mixRandom(s.lastNumber))
	if !ok {
		return t, false
	}
	for i := range candidates {
		if candidates[i].cost.lag >= farBehindCost {
			r.group.lag.recordRejectedRead(candidates[i].upstream, required)
		}
	}
	c := &candidates[made.chosen]
	t.upstream, t.vm = c.upstream, c.vm
	return t, true
}

// readCandidates returns the upstreams of the group, with the costs that do not depend on the reported load. Upstreams
// that may not get the read are marked as excluded. A real choice passes State.ownerOf, which pings VMs; an explanation
// passes State.currentOwner.
func (s *State) readCandidates(
	r *request, t target, required sample, requiredKnown bool, ownerOf func(*upstream) (currantloom.VMName, bool),
) []candidate {
	candidates := make([]candidate, 0, len(r.group.upstreams))
	for _, u := range r.group.upstreams {
		c := candidate{upstream: u, slots: max(1, u.Slots), kind: currantloom.WorkRead}
		if t.mode == currantloom.CallBeginRead {
			c.kind = currantloom.WorkOpening
		}
		switch {
		case !u.isUsable(s):
			c.excluded = excludedTerminated
		case r.avoidUntil[u.Name] > s.now:
			c.excluded = excludedAvoided
		default:
			if c.vm, c.excluded = ownerOrExclusion(ownerOf(u)); c.excluded == notExcluded {
				s.setKnowledge(&c)
				s.setFixedCosts(&c, required, requiredKnown)
			}
		}
		candidates = append(candidates, c)
	}
	return candidates
}

func ownerOrExclusion(vm currantloom.VMName, ok bool) (currantloom.VMName, exclusion) {
	if !ok {
		return "", excludedNoOwner
	}
	return vm, notExcluded
}

// setKnowledge sets what this node knows of the load. The report of a VM that no longer owns the upstream is not used.
func (s *State) setKnowledge(c *candidate) {
	known := &c.upstream.load
	if known.pending > 0 {
		c.silence = s.runningTimeSince(known.unansweredSince)
	}
	if known.owner != c.vm {
		return
	}
	c.load, c.known, c.age = *known, true, s.now-known.at
}

// setFixedCosts sets the costs of the distance and of the upstream's state.
func (s *State) setFixedCosts(c *candidate, required sample, requiredKnown bool) {
	u := c.upstream
	c.cost.distance = s.distanceCost(u)
	if u.Name == u.group.primary {
		c.cost.role = primaryCost
	} else if requiredKnown {
		c.cost.lag = s.lagCostOf(u, required)
	}
	c.cost.state = s.stateCost(u)
}
