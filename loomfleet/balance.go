package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// outOfUsePercent is the share of work that an upstream leaves unanswered, beyond that of the best candidate, from
	// which it gets only probes. Below it, lost work is a cost. Errors are a cost at any share, because they are quick and
	// an upstream that fails nine reads in ten still completes the tenth.
	outOfUsePercent = 60
	// probeOneIn is the inverse of the share of reads that probe an upstream which gets no other work: 3% of the demand
	// at which the balance was measured are 13 results a second.
	probeOneIn = 32
	// farProbeOneIn applies to nodes that would not choose the upstream for its place or role either.
	farProbeOneIn = 256
	// minProbedCost is by how much its results must make an upstream more expensive than the chosen one.
	minProbedCost = 10 * time.Millisecond
	// probeAge is the age of a node's knowledge from which it probes an upstream that it does not choose.
	probeAge = time.Second
	// oldAge is the age from which it probes oldProbeFactor times as often. Other nodes may have found by then that the
	// upstream has recovered, and nothing but its own work tells this node.
	oldAge         = 4 * time.Second
	oldProbeFactor = 4
)

// exclusion says why an upstream is no candidate for a read.
type exclusion uint8

const (
	notExcluded exclusion = iota
	// excludedTerminated: the upstream's registration was deleted, or its drain is almost over.
	excludedTerminated
	// excludedAvoided: an earlier attempt of the same request failed there.
	excludedAvoided
	// excludedNoOwner: no VM may get calls for it.
	excludedNoOwner
	// excludedOutOfUse: it leaves most of its work unanswered and gets only probes.
	excludedOutOfUse
)

// candidate is an upstream that a read may run on, with what this node knows of it.
type candidate struct {
	upstream *upstream
	vm       currantloom.VMName
	excluded exclusion
	kind     currantloom.WorkKind
	slots    int
	load     knownLoad
	// known says that load is a report of the VM that owns the upstream now, age is its age.
	known bool
	age   time.Duration
	// silence is how long the owner has owed an answer to this node without giving any.
	silence time.Duration
	cost    readCosts
}

// choice is a decision between candidates: the index of the chosen one, and whether it is a probe.
type choice struct {
	chosen int
	probe  bool
}

// choose selects one of the candidates by cost. The random number decides on probes and on how far the known waits are
// trusted. It reports false if every candidate is excluded.
//
// Nodes that know the same waits must not all choose the same upstream. Each takes a known wait times a random number
// between zero and two instead, so an upstream gets the more work the less it is loaded. The costs that do not change
// within seconds are certain, so work whose upstream has no queue does not leave it.
func choose(candidates []candidate, random uint64) (choice, bool) {
	excludeMute(candidates)
	best, common := choice{chosen: -1}, commonFailures(candidates)
	for i := range candidates {
		c := &candidates[i]
		random = mixRandom(random)
		c.setVariableCosts(common, 2*unitRandom(random))
		if c.excluded == notExcluded && (best.chosen < 0 || c.cost.total() < candidates[best.chosen].cost.total()) {
			best.chosen = i
		}
	}
	if probed := probeCandidate(candidates, best.chosen, mixRandom(random)); probed >= 0 {
		best = choice{chosen: probed, probe: true}
	}
	return best, best.chosen >= 0
}

// excludeMute takes the candidates out of use that leave most of their work unanswered: at most half of the group, and
// never the one that answers most.
func excludeMute(candidates []candidate) {
	common := commonFailures(candidates).LostPercent
	for range len(candidates) / 2 {
		worst := -1
		for i, c := range candidates {
			if c.excluded == notExcluded && c.load.LostPercent-common >= outOfUsePercent &&
				(worst < 0 || c.load.LostPercent > candidates[worst].load.LostPercent) {
				worst = i
			}
		}
		if worst < 0 {
			return
		}
		candidates[worst].excluded = excludedOutOfUse
	}
}

// commonFailures returns the lowest shares of failures among the candidates in use. Failures that all upstreams have in
// common are the clients', or cannot be avoided by choosing.
func commonFailures(candidates []candidate) currantloom.UpstreamLoad {
	lowest := currantloom.UpstreamLoad{FailurePercent: 100, LostPercent: 100}
	for _, c := range candidates {
		if c.excluded == notExcluded {
			lowest.FailurePercent = min(lowest.FailurePercent, c.load.FailurePercent)
			lowest.LostPercent = min(lowest.LostPercent, c.load.LostPercent)
		}
	}
	return lowest
}

// probeCandidate returns the candidate that a read probes, -1 if it probes none: one that gets no work because of its
// earlier results. Only plain reads probe, because they are repeated elsewhere if they fail.
func probeCandidate(candidates []candidate, chosen int, random uint64) int {
	if chosen < 0 {
		return -1
	}
	best := &candidates[chosen].cost
	for i, c := range candidates {
		unused := c.excluded == excludedOutOfUse ||
			c.excluded == notExcluded && c.age > probeAge && c.cost.results() > best.results()+minProbedCost
		if i == chosen || !unused || c.kind != currantloom.WorkRead || c.cost.state > 0 || c.cost.lag > best.lag {
			continue
		}
		oneIn := uint64(farProbeOneIn)
		if c.cost.fixed() <= best.fixed() {
			oneIn = probeOneIn
		}
		if c.age > oldAge {
			oneIn /= oldProbeFactor
		}
		if random = mixRandom(random); random%oneIn == 0 {
			return i
		}
	}
	return -1
}

// mixRandom derives a further random number from one.
func mixRandom(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitRandom converts a random number to one between zero and one.
func unitRandom(x uint64) float64 { return float64(x>>11) / (1 << 53) }
