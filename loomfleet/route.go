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
	// leavingCost makes a leaving upstream the last choice.
	leavingCost = 10 * time.Second
	// reportFresh is how long a report on an upstream's queue or log counts.
	reportFresh = time.Second
	markFresh   = 700 * time.Millisecond
)

// choice is where and how a request runs.
type choice struct {
	upstream *upstream
	vm       currantloom.VMName
	mode     currantloom.CallMode
	// maxAge is the accepted age, if the upstream need not be the primary, and after the session's own commit.
	maxAge time.Duration
	after  currantloom.LogPosition
}

// choose picks the upstream and its carrier. It reports false if there is none.
func (s *State) choose(r *request) (choice, bool) {
	if !r.needsPrimary() {
		if c, ok := s.chooseReplica(r); ok {
			return c, true
		}
	}
	return s.choosePrimary(r)
}

func (s *State) choosePrimary(r *request) (choice, bool) {
	u := r.group.find(r.group.leader)
	if u == nil || !u.isUsable(s) || r.tried[u.Name] > s.now {
		return choice{}, false
	}
	vm, ok := s.carrierOf(u)
	if !ok {
		return choice{}, false
	}
	mode := currantloom.CallBegin
	switch r.purpose {
	case purposeWrite:
		mode = currantloom.CallDirect
	case purposeRead:
		mode = currantloom.CallPrimaryRead
	}
	return choice{upstream: u, vm: vm, mode: mode}, true
}

// chooseReplica picks the cheapest upstream, the primary among them.
func (s *State) chooseReplica(r *request) (choice, bool) {
	best, found := choice{mode: currantloom.CallDirect, maxAge: max(r.route.MaxAge, 1)}, false
	if r.purpose != purposeRead {
		best.mode = currantloom.CallBeginRead
	}
	if r.route.ReadPolicy == currantloom.ReadYourWrites {
		best.after = r.session.own
	}
	needed, known := r.group.cover(r.arrived - r.route.MaxAge)
	if best.after.Compare(needed.mark) > 0 {
		needed, known = sample{mark: best.after, takenAt: r.arrived}, true
	}
	var bestCost time.Duration
	for _, u := range r.group.upstreams {
		if !u.isUsable(s) || r.tried[u.Name] > s.now {
			continue
		}
		cost := s.readCost(u)
		if known && u.Name != r.group.leader {
			behind := s.lagCostOf(u, needed)
			if behind >= farBehindCost {
				r.group.lag.turnedAway(u, needed)
			}
			cost += behind
		}
		if found && cost >= bestCost {
			continue
		}
		if vm, ok := s.carrierOf(u); ok {
			best.upstream, best.vm, bestCost, found = u, vm, cost, true
		}
	}
	return best, found
}

// readCost is the expected time of a read at the upstream, with what the way there costs.
func (s *State) readCost(u *upstream) time.Duration {
	cost := [...]time.Duration{0, domainCost, regionCost}[s.config.Location.Distance(u.Location)]
	if s.now-u.waitAt < reportFresh {
		cost += u.wait
	}
	if u.Name == u.group.leader {
		cost += primaryCost
	}
	if u.slowUntil > s.now {
		cost += slowCost
	}
	if u.isLeaving() {
		cost += leavingCost
	}
	return cost
}

// lagCostOf is the cost of the time that a replica needs to reach the mark, from what was last heard of its log.
func (s *State) lagCostOf(u *upstream, taken sample) time.Duration {
	switch {
	case s.now-u.markAt > markFresh || u.mark.Covers(taken.mark):
		return 0
	case u.markAt-taken.takenAt > farBehind:
		return farBehindCost
	default:
		return lagCost
	}
}
