package loomcore

import (
	"fmt"
	"time"

	"currantloom.example/currantloom"
)

const (
	// proposalTimeout is the time after which a proposal without an outcome counts as failed. Calls to upstreams time out
	// after 400 ms.
	proposalTimeout = time.Second
	// After a failed proposal a node proposes a higher term after a random delay between these bounds.
	minProposalRetryDelay = 100 * time.Millisecond
	maxProposalRetryDelay = 400 * time.Millisecond
	// followInterval is the least time between two Follow effects for an upstream.
	followInterval = 500 * time.Millisecond
)

// proposal is this node's attempt to make an upstream the primary of a new term.
type proposal struct {
	term currantloom.Term
	// target is the upstream that a planned change selected, empty in a failover. replaced is the primary that is
	// replaced.
	target, replaced currantloom.UpstreamName
	grants           map[currantloom.UpstreamName]currantloom.LogPosition
	refused          map[currantloom.UpstreamName]bool
	// grantedTerm is the highest term that an upstream is known to have granted since the proposal of a planned change
	// started.
	grantedTerm currantloom.Term
	newPrimary  currantloom.UpstreamName
	startedAt   time.Duration
}

// endProposal ends the proposal. Some upstreams may have granted its term, so no primary of an older term may continue.
func (g *group) endProposal() {
	p := g.view.proposal
	g.view.proposal = nil
	if len(p.grants) > 0 {
		p.grantedTerm = max(p.grantedTerm, p.term)
	}
	if p.grantedTerm > g.term {
		g.learnTerm(p.grantedTerm, "")
	}
}

// propose asks all upstreams to grant a term that is higher than any this node has seen.
func (s *State) propose(g *group, target currantloom.UpstreamName, reason string) {
	term := max(g.term, g.proposedTerm)
	for _, v := range g.view.upstreams {
		term = max(term, v.status.GrantedTerm, v.status.Term)
	}
	term++
	g.proposedTerm = term
	g.view.suspicion = nil
	g.view.proposal = &proposal{
		term: term, target: target, replaced: g.primary, startedAt: s.now,
		grants:  make(map[currantloom.UpstreamName]currantloom.LogPosition),
		refused: make(map[currantloom.UpstreamName]bool),
	}
	s.emit(Decision{Event: "proposal", Upstream: target, VM: s.self, Term: term, Reason: reason})
	for _, upstream := range g.database.Upstreams() {
		s.emit(RaiseTerm{Upstream: upstream.Name(), Term: term})
	}
}

func (s *State) raiseTermAnswered(e RaiseTermAnswered) {
	g, ok := s.groupsByUpstream[e.Upstream]
	if !ok {
		return
	}
	if !e.Failed {
		granted := e.Grant.HighestTerm
		if e.Grant.Granted {
			granted = max(granted, e.Term)
		}
		g.learnGrantedTerm(granted)
	}
	if g.view == nil {
		return
	}
	s.handleNewTerm(g)
	p := g.view.proposal
	if p == nil || p.term != e.Term || p.newPrimary != "" {
		return
	}
	if e.Failed || !e.Grant.Granted {
		p.refused[e.Upstream] = true
	} else {
		p.grants[e.Upstream] = e.Grant.Position
	}
	s.countGrants(g, p)
}

// countGrants promotes the best of the granting upstreams once a majority has granted the term.
func (s *State) countGrants(g *group, p *proposal) {
	majority := g.database.Majority()
	if len(g.database.Upstreams())-len(p.refused) < majority {
		s.failProposal(g, "a majority of the upstreams did not grant the term")
		return
	}
	if len(p.grants) < majority {
		return
	}
	newPrimary := s.chooseNewPrimary(g, p, "")
	if p.target != "" && newPrimary != p.target {
		others := len(p.grants)
		if _, ok := p.grants[p.replaced]; ok {
			others--
		}
		switch {
		case others >= majority:
			newPrimary = s.chooseNewPrimary(g, p, p.replaced)
		case len(p.grants)+len(p.refused) < len(g.database.Upstreams()):
			// A planned change waits for more grants, because the current primary shall be replaced.
			return
		}
	}
	p.newPrimary = newPrimary
	s.emit(Promote{Upstream: p.newPrimary, Term: p.term})
}

// chooseNewPrimary returns the granting upstream with the highest log position. It holds every acknowledged entry,
// because the upstreams considered are a majority.
func (s *State) chooseNewPrimary(g *group, p *proposal, skip currantloom.UpstreamName) currantloom.UpstreamName {
	best := currantloom.UpstreamName("")
	for _, upstream := range g.database.Upstreams() {
		name := upstream.Name()
		position, ok := p.grants[name]
		if !ok || name == skip {
			continue
		}
		c := position.Compare(p.grants[best])
		if best == "" || c > 0 || c == 0 && s.isPreferred(g, p, name, best) {
			best = name
		}
	}
	return best
}

// isPreferred reports whether a is preferred to b at equal log positions.
func (s *State) isPreferred(g *group, p *proposal, a, b currantloom.UpstreamName) bool {
	if a == p.target || b == p.target {
		return a == p.target
	}
	if s.isLeaving(a) != s.isLeaving(b) {
		return s.isLeaving(b)
	}
	return a == s.rules.rules.DesiredPrimary(g.database.Name())
}

func (s *State) promoteAnswered(e PromoteAnswered) {
	g, ok := s.groupsByUpstream[e.Upstream]
	if !ok {
		return
	}
	if !e.Failed {
		g.learnTerm(e.Term, e.Upstream)
	}
	if g.view == nil {
		return
	}
	p := g.view.proposal
	if p == nil || p.term != e.Term || p.newPrimary != e.Upstream {
		s.handleNewTerm(g)
		return
	}
	if e.Failed {
		s.failProposal(g, "the chosen upstream did not become primary")
		return
	}
	reason := fmt.Sprintf("%d of %d upstreams granted the term; highest log position %s",
		len(p.grants), len(g.database.Upstreams()), p.grants[p.newPrimary])
	s.emit(Decision{Event: "promotion", Upstream: e.Upstream, VM: s.self, Term: e.Term, Reason: reason})
	s.handleNewTerm(g)
}

// endDecidedProposal ends a proposal whose outcome the newest known term decides.
func (s *State) endDecidedProposal(g *group) {
	p := g.view.proposal
	if p == nil || g.term < p.term || g.term == p.term && g.primary == "" {
		return
	}
	g.endProposal()
	if g.term > p.term {
		s.emit(Decision{Event: "proposal", VM: s.self, Term: p.term, Reason: "lost to a proposer with a higher term"})
		s.scheduleProposalRetry(g)
	}
}

func (s *State) expireProposal(g *group) {
	if s.now-g.view.proposal.startedAt > proposalTimeout {
		s.failProposal(g, "no outcome within 1 s")
	}
}

// failProposal ends the proposal as failed and schedules the next one.
func (s *State) failProposal(g *group, reason string) {
	p := g.view.proposal
	g.endProposal()
	s.emit(Decision{Event: "proposal", VM: s.self, Term: p.term, Reason: reason})
	s.handleNewTerm(g)
	if g.view.change != nil {
		s.endPlannedChange(g, "the proposal failed")
	}
	s.scheduleProposalRetry(g)
}

// scheduleProposalRetry sets the time of the next proposal, which is made only if the primary is still lost then.
func (s *State) scheduleProposalRetry(g *group) {
	g.view.suspicion = &suspicion{proposeAt: s.now + s.randomDelay(minProposalRetryDelay, maxProposalRetryDelay)}
}

// followPrimary tells all other upstreams to follow the newest primary.
func (s *State) followPrimary(g *group) {
	for _, upstream := range g.database.Upstreams() {
		s.follow(g, g.view.upstreams[upstream.Name()])
	}
}

// follow tells an upstream to follow the newest primary, unless it does so already or was told within followInterval.
// This also covers upstreams that come back or are still in an older term.
func (s *State) follow(g *group, v *upstreamView) {
	name := v.upstream.Name()
	if name == g.primary || g.primary == "" || v.hasStatus && v.isReplicaIn(g.term) || s.now < v.nextFollowAt {
		return
	}
	v.nextFollowAt = s.now + followInterval
	s.emit(Follow{Upstream: name, Term: g.term, Primary: g.primary})
}
