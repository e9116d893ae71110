package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// Running long requests and open transactions get this much time before writes are blocked: the first limit is for a
	// change by a rule, the second for one because the primary is leaving.
	ruleDrainTimeout    = 10 * time.Minute
	leavingDrainTimeout = 3 * time.Second
	// maxWriteBlock is how long new writes are blocked. The target for a planned change is less than 250 ms.
	maxWriteBlock = 200 * time.Millisecond
	// A planned change that ended without success is tried again after one of these delays, by its cause.
	ruleChangeRetryDelay    = 5 * time.Second
	leavingChangeRetryDelay = 300 * time.Millisecond
	// forcedChangeDelay is the time after which a leaving primary is replaced although requests still run. A leaving
	// upstream may get new requests for 5 s; the rest of this time is needed to notice that it is leaving and to promote
	// another one.
	forcedChangeDelay = 4500 * time.Millisecond
	// maxLeavingServiceTime is the time after which a leaving primary gets no new requests in any case. The rest of the
	// 5 s allows for the lag of this node's events.
	maxLeavingServiceTime = forcedChangeDelay
	// maxTargetLag is the lag up to which a replica is assumed to catch up while writes are blocked.
	maxTargetLag = 2 * time.Second
)

// plannedChange is the replacement of a primary that works.
type plannedChange struct {
	target       currantloom.UpstreamName
	reason       string
	leaving      bool
	startedAt    time.Duration
	blocksWrites bool
	blockUntil   time.Duration
	// idle says that no attempt runs and no transaction is open at the primary since idleSince.
	idle      bool
	idleSince time.Duration
}

// blocksWrites reports whether new writes wait for a planned change.
func (g *group) blocksWrites() bool {
	return g.view != nil && g.view.change != nil && g.view.change.blocksWrites
}

// blocksLong reports whether new long requests and new interactive transactions wait for a planned change.
func (g *group) blocksLong() bool { return g.view != nil && g.view.change != nil }

// leavingServiceTimeOver reports whether the primary has been leaving for so long that it gets no new requests, even if
// no other upstream could become primary.
func (s *State) leavingServiceTimeOver(g *group) bool {
	since, leaving := s.membership.leavingSince[g.primary]
	return leaving && s.now-since >= maxLeavingServiceTime
}

// admitWaiting admits attempts that waited for a planned change or for a newer status.
func (s *State) admitWaiting(g *group) {
	for _, upstream := range g.database.Upstreams() {
		if q := s.owner.queues[upstream.Name()]; q != nil {
			s.admit(g, q)
		}
	}
}

// advancePlannedChange starts, continues or ends the planned change of the group. Only the owner of the primary does
// so.
func (s *State) advancePlannedChange(g *group) {
	v := g.view
	if v.proposal != nil {
		return
	}
	target, reason := s.wantedPrimary(g)
	if target == "" {
		if v.change != nil {
			s.endPlannedChange(g, "no longer wanted, or no upstream can become primary")
		}
		return
	}
	leaving := v.upstreams[g.primary].leaving
	if v.change == nil && (s.now < v.nextChangeAt || !leaving && !g.canCatchUp(target, s.now)) {
		return
	}
	if v.change == nil {
		v.change = &plannedChange{startedAt: s.now, leaving: leaving, reason: reason}
		s.emit(Decision{Event: "planned change", Upstream: target, VM: s.self, Term: g.term, Reason: reason})
	}
	if !v.change.blocksWrites {
		v.change.target = target
	}
	s.stepPlannedChange(g, v.change)
}

// stepPlannedChange drains the primary, blocks writes until the target has the position of the primary, then proposes
// the target.
func (s *State) stepPlannedChange(g *group, c *plannedChange) {
	primary := g.view.upstreams[g.primary]
	l := s.loadOf(g.primary)
	if c.leaving && s.now-primary.leavingSince >= forcedChangeDelay {
		c.blocksWrites = true
		s.propose(g, c.target, c.reason+"; the time to drain is over")
		return
	}
	if !c.blocksWrites && !s.beginWriteBlock(g, c, l) {
		return
	}
	target := g.view.upstreams[c.target]
	if l.running+l.longLived > 0 {
		c.idle = false
	} else if !c.idle {
		c.idle, c.idleSince = true, s.now
	}
	if c.idle && primary.statusSentAt >= c.idleSince && target.status.Position.Covers(primary.status.Position) {
		s.propose(g, c.target, c.reason)
		return
	}
	if s.now >= c.blockUntil {
		s.endPlannedChange(g, "requests still run or the target is behind after 200 ms; tried again later")
		return
	}
	s.pollNow(primary)
	s.pollNow(target)
}

// beginWriteBlock blocks new writes once the long-lived requests have ended, or their time is over, and the target can
// catch up. It reports whether it did.
func (s *State) beginWriteBlock(g *group, c *plannedChange, l load) bool {
	limit := ruleDrainTimeout
	if c.leaving {
		limit = leavingDrainTimeout
	}
	switch {
	case l.longLived > 0 && s.now-c.startedAt < limit:
		return false
	case g.canCatchUp(c.target, s.now):
		c.blocksWrites, c.blockUntil = true, s.now+maxWriteBlock
		return true
	case !c.leaving:
		// New long requests must not wait for a replica that may stay behind.
		s.endPlannedChange(g, "the target is behind; tried again later")
	}
	return false
}

// endPlannedChange ends the planned change and admits the blocked attempts. The next change starts after a delay,
// unless another upstream is primary by then.
func (s *State) endPlannedChange(g *group, reason string) {
	c := g.view.change
	g.view.change = nil
	g.view.nextChangeAt = s.now + ruleChangeRetryDelay
	if c.leaving {
		g.view.nextChangeAt = s.now + leavingChangeRetryDelay
	}
	s.emit(Decision{Event: "planned change", Upstream: c.target, VM: s.self, Term: g.term, Reason: "ended: " + reason})
	s.admitWaiting(g)
}

// wantedPrimary returns the upstream that shall replace the primary, and why. It returns an empty name if the primary
// stays, this node does not own it, or no upstream can become primary.
func (s *State) wantedPrimary(g *group) (currantloom.UpstreamName, string) {
	primary, ok := g.view.upstreams[g.primary]
	if !ok || !s.owns(g.primary) || !primary.reachable(s.now) || !primary.isPrimaryOf(g.term) {
		return "", ""
	}
	if named := s.rules.rules.DesiredPrimary(g.database.Name()); named != g.primary && s.canBecomePrimary(g, named) {
		return named, "a primary rule names the upstream"
	}
	if !primary.leaving {
		return "", ""
	}
	best := currantloom.UpstreamName("")
	for _, upstream := range g.database.Upstreams() {
		name := upstream.Name()
		if name == g.primary || !s.canBecomePrimary(g, name) {
			continue
		}
		if best == "" || s.isBetterSuccessor(g, primary.upstream, upstream, g.view.upstreams[best].upstream) {
			best = name
		}
	}
	return best, "the primary is leaving"
}

// isBetterSuccessor reports whether a is a better successor of the primary than b: only a can catch up, or the two do
// not differ in this and a is nearer.
func (s *State) isBetterSuccessor(g *group, primary, a, b currantloom.PostgresUpstream) bool {
	if ca := g.canCatchUp(a.Name(), s.now); ca != g.canCatchUp(b.Name(), s.now) {
		return ca
	}
	return primary.Location().Distance(a.Location()) < primary.Location().Distance(b.Location())
}

// canBecomePrimary reports whether the upstream is a reachable replica in the newest term and not leaving.
func (s *State) canBecomePrimary(g *group, name currantloom.UpstreamName) bool {
	v, ok := g.view.upstreams[name]
	return ok && !s.isLeaving(name) && v.reachable(s.now) && v.isReplicaIn(g.term)
}

// canCatchUp reports whether the upstream is expected to reach the primary's position while writes are blocked.
func (g *group) canCatchUp(name currantloom.UpstreamName, now time.Duration) bool {
	age, known := g.ageOf(g.view.upstreams[name], now)
	return known && age <= maxTargetLag
}
