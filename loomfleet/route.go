package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// ageMargin is the safety margin that is subtracted from MaxAge.
	ageMargin = 30 * time.Millisecond
	// domainCost and regionCost are the costs of a read in another failure domain or region: a read waits that much
	// longer in its own before it goes there.
	domainCost = 25 * time.Millisecond
	regionCost = 120 * time.Millisecond
	// primaryCost keeps reads off the primary, because only the primary can run writes.
	primaryCost = 15 * time.Millisecond
	// lagCost is the cost of a replica whose last known position did not cover the required one. farBehindCost applies
	// instead if the required position had been sampled more than farBehind before the replica's: such a replica applies
	// its log too slowly.
	lagCost       = 60 * time.Millisecond
	farBehindCost = 2 * time.Second
	farBehind     = 250 * time.Millisecond
	// slowCost is the cost of an upstream at which a read has timed out lately.
	slowCost = 400 * time.Millisecond
	// terminatingCost makes a terminating upstream the last choice.
	terminatingCost = 10 * time.Second
	// queueWaitTTL and positionTTL are how long a report on an upstream's queue or log position is used.
	queueWaitTTL = time.Second
	positionTTL  = 700 * time.Millisecond
)

// target is where and how a request runs.
type target struct {
	upstream *upstream
	vm       currantloom.VMName
	mode     currantloom.CallMode
	// maxAge is the maximum staleness of the read; zero if the upstream must be the primary. agePosition is a position
	// that satisfies it, minPosition is the session's own newest commit, which the read must see.
	maxAge                   time.Duration
	agePosition, minPosition currantloom.LogPosition
	// probe says that the read asks a replica that is behind how far it has come.
	probe bool
}

// selectTarget selects the upstream and its owner. It reports false if there is none.
func (s *State) selectTarget(r *request) (target, bool) {
	if !r.needsPrimary() {
		if t, ok := s.selectReadTarget(r); ok {
			return t, true
		}
	}
	return s.selectPrimary(r)
}

func (s *State) selectPrimary(r *request) (target, bool) {
	u := r.group.find(r.group.primary)
	if u == nil || !u.isUsable(s) || r.avoidUntil[u.Name] > s.now {
		return target{}, false
	}
	vm, ok := s.ownerOf(u)
	if !ok {
		return target{}, false
	}
	mode := currantloom.CallBegin
	switch r.purpose {
	case purposeWrite:
		mode = currantloom.CallDirect
	case purposeRead:
		mode = currantloom.CallPrimaryRead
	}
	return target{upstream: u, vm: vm, mode: mode}, true
}

// readTarget returns the target of a read that any upstream may serve, without the upstream and its VM. The accepted
// age counts from the arrival of the request, so a read that has waited accepts older positions.
func (r *request) readTarget(s *State) target {
	t := target{
		mode: currantloom.CallDirect, maxAge: max(r.route.MaxAge+s.now-r.arrivedAt, 1), minPosition: r.ownCommit().position,
	}
	if r.purpose != purposeRead {
		t.mode = currantloom.CallBeginRead
	}
	if age, ok := r.ageSample(); ok {
		t.agePosition = age.position
	}
	return t
}

// selectReadTarget selects the upstream with the lowest cost, which may be the primary.
func (s *State) selectReadTarget(r *request) (target, bool) {
	required, known := r.requiredSample()
	best, found := r.readTarget(s), false
	if s.config.BalanceReads {
		return s.selectBalanced(r, best, required, known)
	}
	var bestCost time.Duration
	for _, u := range r.group.upstreams {
		if !u.isUsable(s) || r.avoidUntil[u.Name] > s.now {
			continue
		}
		cost, probe := s.readCost(u), false
		if known && u.Name != r.group.primary {
			lag := s.lagCostOf(u, required)
			if lag >= farBehindCost {
				r.group.lag.recordRejectedRead(u, required)
			}
			switch probe = s.isCatchUpProbeDue(r, u); {
			case lag < farBehindCost || !s.isEnabled(MechanismCatchUp):
				cost, probe = cost+lag, false
			case probe:
				cost = 0
			default:
				continue
			}
		}
		if found && cost >= bestCost {
			continue
		}
		if vm, ok := s.ownerOf(u); ok {
			best.upstream, best.vm, best.probe, bestCost, found = u, vm, probe, cost, true
		}
	}
	return best, found
}

// readCost is the expected queue wait of a read at the upstream, plus the costs of its distance and state.
func (s *State) readCost(u *upstream) time.Duration {
	cost := s.distanceCost(u) + s.stateCost(u)
	if s.now-u.queueWaitAt < queueWaitTTL {
		cost += u.queueWait
	}
	if u.Name == u.group.primary {
		cost += primaryCost
	}
	return cost
}

// distanceCost is the cost of the way to the upstream.
func (s *State) distanceCost(u *upstream) time.Duration {
	return [...]time.Duration{0, domainCost, regionCost}[s.config.Location.Distance(u.Location)]
}

// stateCost is the cost of an upstream that is terminating or at which a read has timed out lately.
func (s *State) stateCost(u *upstream) time.Duration {
	cost := time.Duration(0)
	if u.slowUntil > s.now {
		cost += slowCost
	}
	if u.isTerminating() {
		cost += terminatingCost
	}
	return cost
}

// lagCostOf is the cost of a replica that may not have reached the position of a read.
func (s *State) lagCostOf(u *upstream, required sample) time.Duration {
	if !s.isEnabled(MechanismCatchUp) {
		return s.observedLagCost(u, required)
	}
	return [...]time.Duration{covered: 0, coverageUncertain: lagCost, notCovered: farBehindCost}[s.coverageOf(u, required)]
}

// observedLagCost is the cost of waiting until the replica covers the sample, judged by its last known position only.
func (s *State) observedLagCost(u *upstream, required sample) time.Duration {
	switch {
	case s.now-u.positionAt > positionTTL || u.position.Covers(required.position):
		return 0
	case u.positionAt-required.takenAt > farBehind:
		return farBehindCost
	default:
		return lagCost
	}
}
