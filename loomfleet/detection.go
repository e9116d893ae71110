package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// primaryProofTimeout is how long no proof of the primary may come before the holder of the duty asks itself.
const primaryProofTimeout = 800 * time.Millisecond

// proofTimeout is leaderQuiet for the size of the fleet: in a large one the holder asks the carriers less often, and they
// tell it at once of a primary that fails.
func (s *State) proofTimeout() time.Duration {
	if len(s.members.sorted) > smallFleetSize {
		return primaryProofTimeout + largeFleetPingInterval
	}
	return primaryProofTimeout
}

// failoverReason returns why the primary of the group has to be replaced or checked; empty if it need not be.
func (s *State) failoverReason(g *group) (reason string, planned bool) {
	if len(g.upstreams) == 0 || s.catalog.configuration == nil || !s.catalog.hasSnapshot {
		return "", false
	}
	if _, ok := s.catalog.configuration.Services[g.name]; !ok {
		return "", false
	}
	u := g.find(g.primary)
	switch {
	case u == nil:
		return "no primary", false
	case u.drainingSince > 0:
		return "primary is draining", true
	case u.deletedAt > 0 && s.now-u.deletedAt > deletionGrace && !s.catalog.storeUnavailable:
		return "entry of the primary is gone", s.now-g.primaryProvenAt < s.proofTimeout()
	case s.now >= g.ignoreStallUntil && s.isReportedStalled(u) && s.enoughReplicasReachable(g):
		return reasonCommitsStalled, false
	case s.isReportedUnreachable(u):
		return "primary is unreachable", false
	case s.now-g.primaryProvenAt > s.proofTimeout():
		return "primary is quiet", false
	default:
		return "", false
	}
}

// healthReports returns what carriers say of an upstream, this node included.
func (s *State) healthReports(u *upstream) []currantloom.UpstreamHealth {
	var found []currantloom.UpstreamHealth
	if p, ok := s.owner.pools[u.Name]; ok {
		found = append(found, p.health(s))
	}
	for _, m := range s.members.sorted {
		if !m.alive {
			continue
		}
		for _, r := range m.healthReports {
			if r.Name == u.Name {
				found = append(found, r)
			}
		}
	}
	return found
}

func (s *State) isReportedStalled(u *upstream) bool {
	return slices.ContainsFunc(s.healthReports(u), func(r currantloom.UpstreamHealth) bool { return r.CommitsStalled })
}

// enoughReplicasReachable reports whether enough replicas can be reached to find out which of them hold every acknowledged commit.
// Without them a change could not end, and would only stop the replicas that the primary waits for.
func (s *State) enoughReplicasReachable(g *group) bool {
	unreachable := 0
	for _, u := range g.upstreams {
		if u.Name != g.primary && !u.isRemoved(s) && (u.deletedAt > 0 || !s.isReportedReachable(u)) {
			unreachable++
		}
	}
	return unreachable <= s.maxMissingStatuses(g)
}

// isReportedReachable reports whether a carrier had an answer of the upstream lately.
func (s *State) isReportedReachable(u *upstream) bool {
	return slices.ContainsFunc(s.healthReports(u), func(r currantloom.UpstreamHealth) bool { return r.Reachable })
}

// isReportedUnreachable reports whether every carrier that tried failed to reach the upstream.
func (s *State) isReportedUnreachable(u *upstream) bool {
	reports := s.healthReports(u)
	if len(reports) == 0 {
		return false
	}
	return !slices.ContainsFunc(reports, func(r currantloom.UpstreamHealth) bool { return !r.ConnectFailed })
}

// reportFailure tells the holder of the duty once that the primary fails.
func (p *pool) reportFailure(s *State) {
	u := p.upstream
	failed := u.group.primary == u.Name && (p.unreachable || p.areCommitsStalled(s))
	if holder, ok := s.members.byName[s.coordinator.holder.name]; ok && failed && !p.failureReported {
		s.emit(Send{VM: holder.vm, Message: currantloom.UpstreamFailed{Health: p.health(s)}})
	}
	p.failureReported = failed
}

// handleUpstreamFailed takes a report that was not asked for. It counts until the next answer to a ping.
func (s *State) handleUpstreamFailed(from currantloom.VMName, report currantloom.UpstreamHealth) {
	m, ok := s.members.byName[from]
	if !ok || !m.alive {
		return
	}
	m.healthReports = slices.DeleteFunc(m.healthReports, func(r currantloom.UpstreamHealth) bool { return r.Name == report.Name })
	m.healthReports = append(m.healthReports, report)
	s.log(Decision{
		Event: "upstream", Service: report.Service, Upstream: report.Name, VM: from, Position: report.Position,
		Outcome: "reported",
	})
}
