package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// leaderQuiet is how long no proof of the primary may come before the holder of the duty asks itself.
const leaderQuiet = 800 * time.Millisecond

// quietLimit is leaderQuiet for the size of the fleet: in a large one the holder asks the carriers less often, and they
// tell it at once of a primary that fails.
func (s *State) quietLimit() time.Duration {
	if len(s.members.ordered) > smallFleet {
		return leaderQuiet + largeInterval
	}
	return leaderQuiet
}

// needsFailover returns why the primary of the group has to be replaced or checked; empty if it need not be.
func (s *State) needsFailover(g *group) (reason string, planned bool) {
	if len(g.upstreams) == 0 || s.catalog.configuration == nil || !s.catalog.complete {
		return "", false
	}
	if _, ok := s.catalog.configuration.Services[g.name]; !ok {
		return "", false
	}
	u := g.find(g.leader)
	switch {
	case u == nil:
		return "no primary", false
	case u.drainingAt > 0:
		return "primary is draining", true
	case u.goneAt > 0 && s.now-u.goneAt > lapseGrace && !s.catalog.lost:
		return "entry of the primary is gone", s.now-g.leaderAt < s.quietLimit()
	case s.now >= g.stuckUntil && s.isStuck(u) && s.canCompare(g):
		return reasonStuck, false
	case s.isReportedDown(u):
		return "primary is unreachable", false
	case s.now-g.leaderAt > s.quietLimit():
		return "primary is quiet", false
	default:
		return "", false
	}
}

// reportsOn returns what carriers say of an upstream, this node included.
func (s *State) reportsOn(u *upstream) []currantloom.UpstreamHealth {
	var found []currantloom.UpstreamHealth
	if p, ok := s.carrier.pools[u.Name]; ok {
		found = append(found, p.report(s))
	}
	for _, m := range s.members.ordered {
		if !m.alive {
			continue
		}
		for _, r := range m.reports {
			if r.Name == u.Name {
				found = append(found, r)
			}
		}
	}
	return found
}

func (s *State) isStuck(u *upstream) bool {
	return slices.ContainsFunc(s.reportsOn(u), func(r currantloom.UpstreamHealth) bool { return r.CommitsStalled })
}

// canCompare reports whether enough replicas can be reached to find out which of them hold every acknowledged commit.
// Without them a change could not end, and would only stop the replicas that the primary waits for.
func (s *State) canCompare(g *group) bool {
	unreachable := 0
	for _, u := range g.upstreams {
		if u.Name != g.leader && !u.isLost(s) && (u.goneAt > 0 || !s.isReportedUp(u)) {
			unreachable++
		}
	}
	return unreachable <= s.spareReports(g)
}

// isReportedUp reports whether a carrier had an answer of the upstream lately.
func (s *State) isReportedUp(u *upstream) bool {
	return slices.ContainsFunc(s.reportsOn(u), func(r currantloom.UpstreamHealth) bool { return r.Reachable })
}

// isReportedDown reports whether every carrier that tried failed to reach the upstream.
func (s *State) isReportedDown(u *upstream) bool {
	reports := s.reportsOn(u)
	if len(reports) == 0 {
		return false
	}
	return !slices.ContainsFunc(reports, func(r currantloom.UpstreamHealth) bool { return !r.ConnectFailed })
}

// reportFailure tells the holder of the duty once that the primary fails.
func (p *pool) reportFailure(s *State) {
	u := p.upstream
	failed := u.group.leader == u.Name && (p.down || p.isStuck(s))
	if holder, ok := s.members.byName[s.duty.holder.name]; ok && failed && !p.reported {
		s.emit(Send{VM: holder.vm, Message: currantloom.UpstreamFailed{Health: p.report(s)}})
	}
	p.reported = failed
}

// upstreamFailed takes a report that was not asked for. It counts until the next answer to a ping.
func (s *State) upstreamFailed(from currantloom.VMName, report currantloom.UpstreamHealth) {
	m, ok := s.members.byName[from]
	if !ok || !m.alive {
		return
	}
	m.reports = slices.DeleteFunc(m.reports, func(r currantloom.UpstreamHealth) bool { return r.Name == report.Name })
	m.reports = append(m.reports, report)
	s.log(Decision{
		Event: "upstream", Service: report.Service, Upstream: report.Name, VM: from, Position: report.Position,
		Outcome: "reported",
	})
}
