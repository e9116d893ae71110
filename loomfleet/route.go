package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// ageMargin is kept of the accepted age.
	ageMargin = 30 * time.Millisecond
	// domainCost and regionCost are what a read may wait longer at home rather than leave its failure domain or region.
	domainCost = 25 * time.Millisecond
	regionCost = 120 * time.Millisecond
	// primaryCost keeps reads off the primary, where only it can do the other work.
	primaryCost = 15 * time.Millisecond
	// lagCost is that of a replica that lacked the mark when it was last heard, farBehindCost that of one that then
	// lacked it although it was taken longer than farBehind before. Such a replica applies its log too slowly.
	lagCost       = 60 * time.Millisecond
	farBehindCost = 2 * time.Second
	farBehind     = 250 * time.Millisecond
	// slowCost is that of an upstream that let a read time out.
	slowCost = 400 * time.Millisecond
	// terminatingCost makes a leaving upstream the last choice.
	terminatingCost = 10 * time.Second
	// queueWaitTTL is how long a report on an upstream's queue or log counts.
	queueWaitTTL = time.Second
	positionTTL  = 700 * time.Millisecond
)

// target is where and how a request runs.
type target struct {
	upstream *upstream
	vm       currantloom.VMName
	mode     currantloom.CallMode
	// maxAge is the accepted age, if the upstream need not be the primary, and after the session's own commit.
	maxAge      time.Duration
	minPosition currantloom.LogPosition
}

// selectTarget picks the upstream and its carrier. It reports false if there is none.
func (s *State) selectTarget(r *request) (target, bool) {
	if !r.needsPrimary() {
		if c, ok := s.selectReadTarget(r); ok {
			return c, true
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

// selectReadTarget picks the cheapest upstream, the primary among them.
func (s *State) selectReadTarget(r *request) (target, bool) {
	best, found := target{mode: currantloom.CallDirect, maxAge: max(r.route.MaxAge, 1)}, false
	if r.purpose != purposeRead {
		best.mode = currantloom.CallBeginRead
	}
	if r.route.ReadPolicy == currantloom.ReadYourWrites {
		best.minPosition = r.session.lastCommit
	}
	needed, known := r.group.oldestSampleSince(r.arrivedAt - r.route.MaxAge)
	if best.minPosition.Compare(needed.position) > 0 {
		needed, known = sample{position: best.minPosition, takenAt: r.arrivedAt}, true
	}
	var bestCost time.Duration
	for _, u := range r.group.upstreams {
		if !u.isUsable(s) || r.avoidUntil[u.Name] > s.now {
			continue
		}
		cost := s.readCost(u)
		if known && u.Name != r.group.primary {
			behind := s.lagCostOf(u, needed)
			if behind >= farBehindCost {
				r.group.lag.recordRejectedRead(u, needed)
			}
			cost += behind
		}
		if found && cost >= bestCost {
			continue
		}
		if vm, ok := s.ownerOf(u); ok {
			best.upstream, best.vm, bestCost, found = u, vm, cost, true
		}
	}
	return best, found
}

// readCost is the expected time of a read at the upstream, with what the way there costs.
func (s *State) readCost(u *upstream) time.Duration {
	cost := [...]time.Duration{0, domainCost, regionCost}[s.config.Location.Distance(u.Location)]
	if s.now-u.queueWaitAt < queueWaitTTL {
		cost += u.queueWait
	}
	if u.Name == u.group.primary {
		cost += primaryCost
	}
	if u.slowUntil > s.now {
		cost += slowCost
	}
	if u.isTerminating() {
		cost += terminatingCost
	}
	return cost
}

// lagCostOf is the cost of the time that a replica needs to reach the mark, from what was last heard of its log.
func (s *State) lagCostOf(u *upstream, taken sample) time.Duration {
	switch {
	case s.now-u.positionAt > positionTTL || u.position.Covers(taken.position):
		return 0
	case u.positionAt-taken.takenAt > farBehind:
		return farBehindCost
	default:
		return lagCost
	}
}
