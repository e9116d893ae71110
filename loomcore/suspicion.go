package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// maxPrimarySilence is how long a replica must not have heard from its primary to support a suspicion.
	maxPrimarySilence = 700 * time.Millisecond
	// maxUnreachableTime is how long the owner may fail to reach a primary that replicas still hear from. After that the
	// primary is replaced, since clients cannot use it.
	maxUnreachableTime = 3 * time.Second
	// proposalSettleTime is how long this node makes no proposal after it has seen the term of another proposer. It is
	// long enough for two round trips to every region.
	proposalSettleTime = 500 * time.Millisecond
	// The owners of the replicas propose after a random delay between these bounds, the owner of the primary at once.
	minProposalDelay = 200 * time.Millisecond
	maxProposalDelay = 600 * time.Millisecond
)

// suspicion holds the time at which this node proposes a new primary, unless the suspicion ends before.
type suspicion struct{ proposeAt time.Duration }

// inferPrimary finds a primary that no poll reached: if all other upstreams are replicas in the newest term and one of
// them hears from its primary, the remaining upstream is the primary.
func (g *group) inferPrimary(now time.Duration) {
	if g.primary != "" || g.term == 0 {
		return
	}
	var rest []currantloom.UpstreamName
	heard := false
	for _, upstream := range g.database.Upstreams() {
		v := g.view.upstreams[upstream.Name()]
		if !v.reachable(now) || !v.isReplicaIn(g.term) {
			rest = append(rest, upstream.Name())
			continue
		}
		heard = heard || v.hearsPrimary(g.term)
	}
	if heard && len(rest) == 1 {
		g.learnTerm(g.term, rest[0])
	}
}

// handleNewTerm resets what depends on the term and the primary if one of them has changed.
func (s *State) handleNewTerm(g *group) {
	v := g.view
	if v.term == g.term && v.primary == g.primary {
		return
	}
	if g.term > v.term && g.primary == "" && g.term != g.proposedTerm {
		v.earliestProposalAt = s.now + proposalSettleTime
	}
	v.term, v.primary, v.learnedAt = g.term, g.primary, s.now
	v.suspicion, v.primaryLost = nil, false
	s.endDecidedProposal(g)
	if g.primary != "" {
		s.emit(Decision{Event: "primary", Upstream: g.primary, Term: g.term, Reason: "newest known term"})
		s.followPrimary(g)
		s.cancelAtReplacedPrimary(g)
	}
	if v.change != nil && v.proposal == nil {
		reason := "the term or the primary changed"
		if g.primary == v.change.target {
			reason = "the upstream is primary"
		}
		s.endPlannedChange(g, reason)
	}
}

// watchPrimary proposes a new primary if the current one is lost.
func (s *State) watchPrimary(g *group) {
	v := g.view
	if v.proposal != nil {
		s.expireProposal(g)
		return
	}
	reason, lost := s.primaryLoss(g)
	if !lost {
		v.primaryLost, v.suspicion = false, nil
		return
	}
	if !v.primaryLost {
		v.primaryLost, v.lostAt = true, s.now
	}
	first := s.proposesFirst(g)
	switch {
	case g.reachableCount(s.now) < g.database.Majority():
		// A proposal without a majority would only fence upstreams that still serve the other side of a partition.
		v.suspicion = nil
		return
	case g.primarySilent(s.now):
		reason += "; no reachable replica hears from it"
	case first && s.now-v.lostAt >= maxUnreachableTime:
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

// suspect starts a suspicion: it sets the time of this node's proposal.
func (s *State) suspect(g *group, first bool, reason string) {
	at := max(s.now, g.view.earliestProposalAt)
	if !first {
		at += s.randomDelay(minProposalDelay, maxProposalDelay)
	}
	g.view.suspicion = &suspicion{proposeAt: at}
	s.emit(Decision{Event: "suspicion", Upstream: g.primary, Term: g.term, Reason: reason})
}

// primaryLoss reports whether this node takes the primary for lost, and why.
func (s *State) primaryLoss(g *group) (string, bool) {
	v, ok := g.view.upstreams[g.primary]
	switch {
	case !ok:
		return "no primary is known in the newest term", true
	case v.connectionRefused:
		return "the primary refused a connection", true
	case v.failedPolls >= failuresUntilUnreachable:
		return "the primary did not answer 2 polls in a row", true
	case v.hasStatus && v.failedPolls == 0 && v.statusSentAt > g.view.learnedAt && !v.isPrimaryOf(g.term):
		return "the upstream does not report to be primary in the newest term", true
	default:
		return "", false
	}
}

// isPrimaryOf reports whether the upstream was the primary of the term according to its last status.
func (v *upstreamView) isPrimaryOf(term currantloom.Term) bool {
	return v.status.Role == currantloom.RolePrimary && v.status.Term == term
}

// proposesFirst reports whether this node proposes without a delay. That is the owner of the primary, or of the first
// upstream if no primary is known.
func (s *State) proposesFirst(g *group) bool {
	if g.primary != "" {
		return s.owns(g.primary)
	}
	return s.owns(g.database.Upstreams()[0].Name())
}

// primarySilent reports whether at least one other upstream is reachable and none of the reachable ones has recently
// heard from the primary of the newest term.
func (g *group) primarySilent(now time.Duration) bool {
	reachable := false
	for name, v := range g.view.upstreams {
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
	for _, v := range g.view.upstreams {
		if v.reachable(now) {
			count++
		}
	}
	return count
}

// randomDelay returns a random time between the bounds. Each call derives a new random number from that of the event.
func (s *State) randomDelay(low, high time.Duration) time.Duration {
	const step = 0x9e3779b97f4a7c15
	s.random += step
	return low + time.Duration(mix(s.random)%uint64(high-low))
}
