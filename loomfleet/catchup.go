package loomfleet

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"currantloom.example/currantloom"
)

// This file decides which replicas can serve a read while replicas are behind.
//
// The load: the replicas of a service apply their log seconds late and in steps, while more reads arrive than the
// primary can run. Reads that are sent to such replicas are refused and take room from others, and reads that wait for
// the primary wait behind all other work. Therefore a read goes only to an upstream that has probably reached the
// position that the read must see. If none but the primary has, the read waits there, and it is also sent to the first
// replica that reaches the position meanwhile.

const (
	// catchUpProbeInterval is the shortest time between two reads that a node sends to a replica that it knows to be
	// behind. Their replies tell how far the replica has come.
	catchUpProbeInterval = 2 * time.Second
	// laggingProbeInterval is how often the owner of a replica that is behind asks for its position.
	laggingProbeInterval = 100 * time.Millisecond
	// minWaitForReplica is how long a read waits for the primary before it is also sent to a replica.
	minWaitForReplica = 100 * time.Millisecond
)

// coverage says whether an upstream has reached the position that a read must see.
type coverage uint8

const (
	// covered: as far as this node knows, it has.
	covered coverage = iota
	// coverageUncertain: its last known position is before it, but it may have reached it since.
	coverageUncertain
	// notCovered: it will not reach it for some time.
	notCovered
)

// refusedRead is the last read that a replica refused because its log was behind.
type refusedRead struct {
	// position is the end of the replica's log. The position that the read had to see had been sampled age before the
	// time at.
	position currantloom.LogPosition
	age, at  time.Duration
}

// recordLagging records that the replica refused a read. The entry node may know no sample of that time, as after a
// change of primary.
func (u *upstream) recordLagging(age, at time.Duration) {
	u.refusedRead = refusedRead{position: u.position, age: age, at: at}
}

// lagOf returns by how much the upstream's log was behind that of the primary when its position was last observed.
func (g *group) lagOf(u *upstream) time.Duration {
	lag := time.Duration(0)
	if r := u.refusedRead; r.age > 0 && r.position == u.position {
		lag = r.age + max(0, u.positionAt-r.at)
	}
	first := sort.Search(len(g.samples), func(i int) bool { return !u.position.Covers(g.samples[i].position) })
	if first < len(g.samples) {
		lag = max(lag, u.positionAt-g.samples[first].takenAt)
	}
	return lag
}

// lags reports whether the upstream is a replica whose log is seconds behind, as opposed to the moment that applying a
// commit takes.
func (g *group) lags(u *upstream) bool { return u.Name != g.primary && g.lagOf(u) > farBehind }

// timeToCover returns the time until the upstream is expected to reach the position, if its lag stays as it is.
func (g *group) timeToCover(u *upstream, required sample, now time.Duration) time.Duration {
	if u.position.IsZero() || u.position.Covers(required.position) {
		return 0
	}
	return max(0, required.takenAt+g.lagOf(u)-now)
}

// coverageOf says whether the replica has reached the position. A replica that is far behind applies its log in steps,
// so only its reported positions count.
func (s *State) coverageOf(u *upstream, required sample) coverage {
	switch {
	case u.position.IsZero() || u.position.Covers(required.position):
		return covered
	case u.group.lags(u):
		return notCovered
	case s.now-u.positionAt > positionTTL:
		return covered
	default:
		return coverageUncertain
	}
}

// isCatchUpProbeDue reports whether this node may send a read to a replica that it knows to be behind.
func (s *State) isCatchUpProbeDue(r *request, u *upstream) bool {
	return r.purpose == purposeRead && s.now-max(u.positionAt, u.catchUpProbedAt) >= catchUpProbeInterval
}

// ageSample returns the lowest position that is known to satisfy the accepted age of a read, which counts from the
// arrival of the request. It reports false if this node knows none.
func (r *request) ageSample() (sample, bool) {
	return r.group.oldestSampleSince(r.arrivedAt - r.route.MaxAge)
}

// requiredSample returns a position that a read must see, and since when the primary has it. It reports false if this
// node knows none.
func (r *request) requiredSample() (sample, bool) {
	required, known := r.ageSample()
	if own := r.ownCommit(); own.position.Compare(required.position) > 0 {
		return own, true
	}
	return required, known
}

// replicaFor returns the cheapest replica that has reached the position of a read.
func (s *State) replicaFor(r *request) (target, time.Duration, bool) {
	required, known := r.requiredSample()
	var best target
	var bestCost time.Duration
	for _, u := range r.group.upstreams {
		if u.Name == r.group.primary || !u.isUsable(s) || r.avoidUntil[u.Name] > s.now || !known ||
			s.coverageOf(u, required) != covered {
			continue
		}
		cost := s.readCost(u)
		if best.upstream != nil && cost >= bestCost {
			continue
		}
		if vm, ok := s.ownerOf(u); ok {
			best, bestCost = r.readTarget(s), cost
			best.upstream, best.vm = u, vm
		}
	}
	return best, bestCost, best.upstream != nil
}

// awaitsReplica reports whether a replica is expected to reach the position of a read before the read is given up.
func (s *State) awaitsReplica(r *request) bool {
	if r.needsPrimary() || !s.isEnabled(MechanismCatchUp) {
		return false
	}
	required, known := r.requiredSample()
	return known && slices.ContainsFunc(r.group.upstreams, func(u *upstream) bool {
		return u.Name != r.group.primary && u.isUsable(s) && r.group.timeToCover(u, required, s.now) < r.giveUpAt()-s.now
	})
}

// tickCatchUp sends the reads that wait for a primary also to a replica that has reached their position meanwhile. The
// first answer counts, and the other call is cancelled.
func (s *State) tickCatchUp() {
	if !s.isEnabled(MechanismCatchUp) {
		return
	}
	var waiting []*call
	for _, c := range s.requests.calls {
		if c.waitsForPrimary(s) {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b *call) int { return cmp.Compare(a.key.Number, b.key.Number) })
	for _, c := range waiting {
		r := c.request
		if t, cost, ok := s.replicaFor(r); ok && cost < s.now-c.sentAt && s.takeHedgeToken(r) {
			s.sendAttempt(r, t)
		}
	}
}

// waitsForPrimary reports whether the call is the only one of a read that any upstream may serve, and has waited for
// the primary for some time.
func (c *call) waitsForPrimary(s *State) bool {
	r := c.request
	return r != nil && r.purpose == purposeRead && c.upstream.Name == r.group.primary && len(r.calls) == 1 &&
		s.now-c.sentAt >= minWaitForReplica && r.withdrawnBy == "" && !r.needsPrimary()
}
