package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// silenceLimit is how long a replica must not have heard from its primary to support a suspicion.
	silenceLimit = 700 * time.Millisecond
	// unreachableLimit is how long the carrier may fail to reach a primary that the replicas still hear from. After
	// that the primary is replaced, since callers cannot use it.
	unreachableLimit = 3 * time.Second
	// settleTime leaves the proposer of a newly seen term the time for two round trips to every region.
	settleTime = 500 * time.Millisecond
	// The carriers of the replicas propose after a random delay between these bounds.
	minFollowDelay = 200 * time.Millisecond
	maxFollowDelay = 600 * time.Millisecond
)

// suspicion is the time at which this node proposes a new primary, unless the suspicion ends before.
type suspicion struct{ proposeAt time.Duration }

// inferPrimary learns the primary that no poll reached: if all other servers are replicas in the newest term and one
// of them hears from its primary, the primary is the remaining server.
func (g *group) inferPrimary(now time.Duration) {
	if g.primary != "" || g.term == 0 {
		return
	}
	var rest []currantloom.UpstreamName
	heard := false
	for _, server := range g.database.Upstreams() {
		v := g.view.members[server.Name()]
		if !v.reachable(now) || !v.follows(g.term) {
			rest = append(rest, server.Name())
			continue
		}
		heard = heard || v.hearsPrimary(g.term)
	}
	if heard && len(rest) == 1 {
		g.learn(g.term, rest[0])
	}
}

// noticeTerm resets what depends on the term and the primary when one of them changed.
func (s *State) noticeTerm(g *group) {
	v := g.view
	if v.term == g.term && v.primary == g.primary {
		return
	}
	if g.term > v.term && g.primary == "" && g.term != g.proposed {
		v.settleUntil = s.now + settleTime
	}
	v.term, v.primary, v.learnedAt = g.term, g.primary, s.now
	v.suspicion, v.lost = nil, false
	s.dropProposal(g)
	if g.primary != "" {
		s.emit(Decision{Event: "primary", Upstream: g.primary, Term: g.term, Reason: "newest known term"})
		s.followPrimary(g)
		s.cancelReplaced(g)
	}
	if v.change != nil && v.proposal == nil {
		reason := "the term or the primary changed"
		if g.primary == v.change.target {
			reason = "the server is primary"
		}
		s.endChange(g, reason)
	}
}

// watchPrimary proposes a new primary if the current one is lost.
func (s *State) watchPrimary(g *group) {
	v := g.view
	if v.proposal != nil {
		s.expireProposal(g)
		return
	}
	reason, lost := s.lossOf(g)
	if !lost {
		v.lost, v.suspicion = false, nil
		return
	}
	if !v.lost {
		v.lost, v.lostAt = true, s.now
	}
	first := s.proposesFirst(g)
	switch {
	case g.reachableCount(s.now) < g.database.Majority():
		// A proposal without a majority would only fence servers that still serve the other side of a partition.
		v.suspicion = nil
		return
	case g.silent(s.now):
		reason += "; no reachable replica hears from it"
	case first && s.now-v.lostAt >= unreachableLimit:
		reason += " for 3 s, although replicas hear from it"
	default:
		v.suspicion = nil
		return
	}
	if v.suspicion == nil {
		s.suspect(g, first, reason)
	}
	if s.now >= v.suspicion.proposeAt {
		s.propose(g, "", reason)
	}
}

// suspect sets the time of this node's proposal.
func (s *State) suspect(g *group, first bool, reason string) {
	at := max(s.now, g.view.settleUntil)
	if !first {
		at += s.delay(minFollowDelay, maxFollowDelay)
	}
	g.view.suspicion = &suspicion{proposeAt: at}
	s.emit(Decision{Event: "suspicion", Upstream: g.primary, Term: g.term, Reason: reason})
}

// lossOf reports whether the primary is lost as far as this node can tell, and why.
func (s *State) lossOf(g *group) (string, bool) {
	v, ok := g.view.members[g.primary]
	switch {
	case !ok:
		return "no primary is known in the newest term", true
	case v.refused:
		return "the primary refused a connection", true
	case v.failures >= failuresOfUnreachable:
		return "the primary did not answer 2 polls in a row", true
	case v.known && v.failures == 0 && v.sentAt > g.view.learnedAt && !v.leads(g.term):
		return "the server does not report to be primary in the newest term", true
	default:
		return "", false
	}
}

// leads reports whether the server's last report shows it as primary of the term.
func (v *serverView) leads(term currantloom.Term) bool {
	return v.status.Role == currantloom.RolePrimary && v.status.Term == term
}

// proposesFirst reports whether this node is the carrier of the primary. If no primary is known, it is the carrier of
// the first server.
func (s *State) proposesFirst(g *group) bool {
	if g.primary != "" {
		return s.carries(g.primary)
	}
	return s.carries(g.database.Upstreams()[0].Name())
}

// silent reports whether at least one replica is reachable and none of the reachable ones heard from the primary of
// the newest term.
func (g *group) silent(now time.Duration) bool {
	reachable := false
	for name, v := range g.view.members {
		if name == g.primary || !v.reachable(now) {
			continue
		}
		reachable = true
		if v.hearsPrimary(g.term) {
			return false
		}
	}
	return reachable
}

func (g *group) reachableCount(now time.Duration) int {
	count := 0
	for _, v := range g.view.members {
		if v.reachable(now) {
			count++
		}
	}
	return count
}

// delay returns a random time between the bounds. Each call derives another number from that of the event.
func (s *State) delay(low, high time.Duration) time.Duration {
	const step = 0x9e3779b97f4a7c15
	s.random += step
	return low + time.Duration(mix(s.random)%uint64(high-low))
}
