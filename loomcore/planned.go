package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// Running long work and interactive transactions may take this long before writes are held.
	drainLimitOfRule    = 10 * time.Minute
	drainLimitOfLeaving = 3 * time.Second
	// holdLimit is how long new writes are held; the target for a planned change is under 250 ms.
	holdLimit = 200 * time.Millisecond
	// A change whose hold ended without success is tried again later.
	retryOfRule    = 5 * time.Second
	retryOfLeaving = 300 * time.Millisecond
	// forceAfter is when a leaving primary is replaced although work still runs. The rest of the 5 s that a leaving
	// server may get work for is needed to notice the mark and to promote.
	forceAfter = 4500 * time.Millisecond
	// drainExpiry is when a leaving primary gets no new work in any case. The rest of the 5 s is for the lag of this
	// node's events.
	drainExpiry = forceAfter
	// maxTargetAge is the lag up to which a replica can catch up while writes are held.
	maxTargetAge = 2 * time.Second
)

// plannedChange replaces a primary that works.
type plannedChange struct {
	target    currantloom.UpstreamName
	reason    string
	leaving   bool
	startedAt time.Duration
	holding   bool
	holdUntil time.Duration
	// quiet says that no work runs at the primary since quietAt.
	quiet   bool
	quietAt time.Duration
}

// holdsWrites reports whether new writes wait because the primary is about to change.
func (g *group) holdsWrites() bool {
	return g.view != nil && g.view.change != nil && g.view.change.holding
}

// holdsLong reports whether new long work and new interactive transactions wait for a planned change.
func (g *group) holdsLong() bool { return g.view != nil && g.view.change != nil }

// drainExpired reports whether the primary has been leaving for so long that it gets no new work, even if no other
// server could take over.
func (s *State) drainExpired(g *group) bool {
	since, leaving := s.members.leavingSince[g.primary]
	return leaving && s.now-since >= drainExpiry
}

// releaseHeld admits work that waited for a planned change or for a newer report.
func (s *State) releaseHeld(g *group) {
	for _, server := range g.database.Upstreams() {
		if q := s.carrier.queues[server.Name()]; q != nil {
			s.admit(g, q)
		}
	}
}

// advancePlanned runs the planned change of the group, if one is wanted. Only the carrier of the primary does.
func (s *State) advancePlanned(g *group) {
	v := g.view
	if v.proposal != nil {
		return
	}
	target, reason := s.wantedPrimary(g)
	if target == "" {
		if v.change != nil {
			s.endChange(g, "no longer wanted, or no server can take over")
		}
		return
	}
	leaving := v.members[g.primary].leaving
	if v.change == nil && (s.now < v.changeAt || !leaving && !g.caughtUp(target, s.now)) {
		return
	}
	if v.change == nil {
		v.change = &plannedChange{startedAt: s.now, leaving: leaving, reason: reason}
		s.emit(Decision{Event: "planned change", Upstream: target, VM: s.self, Term: g.term, Reason: reason})
	}
	if !v.change.holding {
		v.change.target = target
	}
	s.stepChange(g, v.change)
}

// stepChange drains the primary, holds writes until the target has the position, then proposes the target.
func (s *State) stepChange(g *group, c *plannedChange) {
	primary := g.view.members[g.primary]
	l := s.loadOf(g.primary)
	if c.leaving && s.now-primary.leavingAt >= forceAfter {
		c.holding = true
		s.propose(g, c.target, c.reason+"; the time to drain is over")
		return
	}
	if !c.holding && !s.beginHold(g, c, l) {
		return
	}
	target := g.view.members[c.target]
	if l.running+l.lasting > 0 {
		c.quiet = false
	} else if !c.quiet {
		c.quiet, c.quietAt = true, s.now
	}
	if c.quiet && primary.sentAt >= c.quietAt && target.status.Position.Covers(primary.status.Position) {
		s.propose(g, c.target, c.reason)
		return
	}
	if s.now >= c.holdUntil {
		s.endChange(g, "work still runs or the target is behind after 200 ms; tried again later")
		return
	}
	s.pollNow(primary)
	s.pollNow(target)
}

// beginHold holds new writes once the lasting work has ended, or has had its time, and the target can catch up.
func (s *State) beginHold(g *group, c *plannedChange, l load) bool {
	limit := drainLimitOfRule
	if c.leaving {
		limit = drainLimitOfLeaving
	}
	switch {
	case l.lasting > 0 && s.now-c.startedAt < limit:
		return false
	case g.caughtUp(c.target, s.now):
		c.holding, c.holdUntil = true, s.now+holdLimit
		return true
	case !c.leaving:
		// New long work must not wait for a replica that may stay behind.
		s.endChange(g, "the target is behind; tried again later")
	}
	return false
}

// endChange releases the held work. The next try comes after a while, unless another server is primary by then.
func (s *State) endChange(g *group, reason string) {
	c := g.view.change
	g.view.change = nil
	g.view.changeAt = s.now + retryOfRule
	if c.leaving {
		g.view.changeAt = s.now + retryOfLeaving
	}
	s.emit(Decision{Event: "planned change", Upstream: c.target, VM: s.self, Term: g.term, Reason: "ended: " + reason})
	s.releaseHeld(g)
}

// wantedPrimary returns the server that shall replace the primary and why; empty if the primary stays, this node does
// not carry it, or no server can take over.
func (s *State) wantedPrimary(g *group) (currantloom.UpstreamName, string) {
	primary, ok := g.view.members[g.primary]
	if !ok || !s.carries(g.primary) || !primary.reachable(s.now) || !primary.leads(g.term) {
		return "", ""
	}
	if named := s.rules.rules.Primary(g.database.Name()); named != g.primary && s.canTakeOver(g, named) {
		return named, "rule primary names the server"
	}
	if !primary.leaving {
		return "", ""
	}
	best := currantloom.UpstreamName("")
	for _, server := range g.database.Upstreams() {
		name := server.Name()
		if name == g.primary || !s.canTakeOver(g, name) {
			continue
		}
		if best == "" || s.takesOverBefore(g, primary.server, server, g.view.members[best].server) {
			best = name
		}
	}
	return best, "the primary is leaving"
}

// takesOverBefore reports whether a is a better successor of the primary than b: caught up, or else nearer.
func (s *State) takesOverBefore(g *group, primary, a, b currantloom.PostgresUpstream) bool {
	if ca := g.caughtUp(a.Name(), s.now); ca != g.caughtUp(b.Name(), s.now) {
		return ca
	}
	return primary.Location().Distance(a.Location()) < primary.Location().Distance(b.Location())
}

// canTakeOver reports whether the server is a replica in the newest term that may become primary.
func (s *State) canTakeOver(g *group, name currantloom.UpstreamName) bool {
	v, ok := g.view.members[name]
	return ok && !s.isLeaving(name) && v.reachable(s.now) && v.follows(g.term)
}

// caughtUp reports whether the server can reach the primary's position while writes are held.
func (g *group) caughtUp(name currantloom.UpstreamName, now time.Duration) bool {
	age, known := g.ageOf(g.view.members[name], now)
	return known && age <= maxTargetAge
}
