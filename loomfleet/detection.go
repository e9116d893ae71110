package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// primaryProofTimeout is how long the primary may go unproven before the holder of the failover lease verifies it
// itself.
const primaryProofTimeout = 800 * time.Millisecond

// proofTimeout is primaryProofTimeout adjusted to the size of the fleet. In a large fleet the holder pings the owners
// less often, and they report a failed primary without being asked.
func (s *State) proofTimeout() time.Duration {
	if len(s.members.sorted) > smallFleetSize {
		return primaryProofTimeout + largeFleetPingInterval
	}
	return primaryProofTimeout
}

// reasonQuiet is the reason of a failover whose only evidence is that no node has proven the primary.
const reasonQuiet = "primary is quiet"

// maxQuietFailovers bounds the failovers that run at a time because a primary is quiet. Each verifies its primary
// through several VMs that may have to connect first. If many primaries are quiet at once, more likely the reports are
// late.
const maxQuietFailovers = 8

// isPrimaryQuiet reports whether the primary has been unproven for too long. A node that becomes the holder of the
// failover lease has asked the owners for their reports only since then.
func (s *State) isPrimaryQuiet(g *group) bool {
	c := &s.coordinator
	if s.now-max(g.primaryProvenAt, c.actingSince) <= s.proofTimeout() {
		return false
	}
	quiet := 0
	for _, f := range c.failovers {
		if f.reason == reasonQuiet {
			quiet++
		}
	}
	return quiet < maxQuietFailovers
}

// failoverReason returns why the primary of the group must be replaced or verified; empty if it need not be.
func (s *State) failoverReason(g *group) (reason string, planned bool) {
	if len(g.upstreams) == 0 || s.catalog.configuration == nil || !s.catalog.hasSnapshot {
		return "", false
	}
	if _, ok := s.catalog.configuration.Services[g.name]; !ok {
		return "", false
	}
	u := g.find(g.primary)
	switch {
	case u == nil && s.catalog.mayLackRegistrations(s.now):
		return "", false
	case u == nil:
		return "no primary", false
	case u.drain.isOn():
		return "primary is draining", true
	case s.isUnsettled(g):
		return reasonUnsettled, true
	case u.deletedAt > 0 && s.now-u.deletedAt > deletionGrace && !s.catalog.storeUnavailable:
		return "registration of the primary was deleted", s.now-g.primaryProvenAt < s.proofTimeout()
	case s.now >= g.ignoreStallUntil && s.areCommitsStalled(u) && s.enoughReplicasReachable(g):
		return reasonCommitsStalled, false
	case s.now >= g.verifyAgainAt && s.isSuspectedUnreachable(g, u):
		return "primary is unreachable", false
	case s.isPrimaryQuiet(g):
		return reasonQuiet, false
	default:
		return "", false
	}
}

// healthReports returns what the nodes that use an upstream report about it, this node included.
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

// areCommitsStalled reports whether a node reports that the primary does not answer commits. As long as it has led for
// less than commitStallTimeout, such a report is about commits of an earlier term.
func (s *State) areCommitsStalled(u *upstream) bool {
	if s.now-u.group.believedSince <= commitStallTimeout {
		return false
	}
	return slices.ContainsFunc(s.healthReports(u), func(r currantloom.UpstreamHealth) bool { return r.CommitsStalled })
}

// enoughReplicasReachable reports whether enough replicas can be reached to find out which of them hold every
// acknowledged commit. Otherwise a failover could not finish, and would only pause replicas whose acknowledgements the
// primary needs.
func (s *State) enoughReplicasReachable(g *group) bool {
	unreachable := 0
	for _, u := range g.upstreams {
		if u.Name != g.primary && !u.isRemoved(s) && !s.isReportedReachable(u) {
			unreachable++
		}
	}
	return unreachable <= s.maxMissingStatuses(g)
}

// isReportedReachable reports whether any node has reached the upstream lately.
func (s *State) isReportedReachable(u *upstream) bool {
	return slices.ContainsFunc(s.healthReports(u), func(r currantloom.UpstreamHealth) bool { return r.Reachable })
}

const (
	// suspectAfterProof is how long after its last proof a primary is verified if one of several nodes reports that it
	// cannot connect. The others may not have noticed yet.
	suspectAfterProof = 400 * time.Millisecond
	// verifyAgainPause is the pause after a verification that found the primary active.
	verifyAgainPause = 500 * time.Millisecond
)

// isSuspectedUnreachable reports whether the primary has to be verified because a node cannot connect to it.
func (s *State) isSuspectedUnreachable(g *group, u *upstream) bool {
	failed, reached := s.countConnectReports(u)
	return failed > 0 && (reached == 0 || s.now-g.primaryProvenAt > suspectAfterProof)
}

// isReportedUnreachable reports whether several nodes failed to connect to the upstream and none reports otherwise.
func (s *State) isReportedUnreachable(u *upstream) bool {
	failed, reached := s.countConnectReports(u)
	return failed > 1 && reached == 0
}

// countConnectReports counts the nodes that report on an upstream by whether they failed to connect to it.
func (s *State) countConnectReports(u *upstream) (failed, reached int) {
	for _, r := range s.healthReports(u) {
		if r.ConnectFailed {
			failed++
		} else {
			reached++
		}
	}
	return failed, reached
}

// reportFailure tells the holder of the failover lease, once per failure, that the primary fails.
func (p *pool) reportFailure(s *State) {
	u := p.upstream
	failed := u.group.primary == u.Name && (p.unreachable || p.stall.isStalled(s.now))
	if holder, ok := s.members.byName[s.coordinator.holder.name]; ok && failed && !p.failureReported {
		s.emit(Send{VM: holder.vm, Message: currantloom.UpstreamFailed{Health: p.health(s)}})
	}
	p.failureReported = failed
}

// handleUpstreamFailed records an unsolicited report. It counts until the next pong of the sender replaces it.
func (s *State) handleUpstreamFailed(from currantloom.VMName, report currantloom.UpstreamHealth) {
	m, ok := s.members.byName[from]
	if !ok || !m.alive {
		return
	}
	m.healthReports = slices.DeleteFunc(m.healthReports, func(r currantloom.UpstreamHealth) bool {
		return r.Name == report.Name
	})
	m.healthReports = append(m.healthReports, report)
	s.log(Decision{
		Event: "upstream", Service: report.Service, Upstream: report.Name, VM: from, Position: report.Position,
		Outcome: "reported",
	})
}
