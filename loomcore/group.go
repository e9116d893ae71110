package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// pollInterval is the time between two polls of a server's status. With a longer one two failed polls, which raise
	// a suspicion, would take more than the 2 s that a failover may take in the median. At the design scale the polls
	// need 5.9 KB/s of the 3 KB/s for control; docs/CAPACITY.md says what would reduce them.
	pollInterval = 500 * time.Millisecond
	// fastPollInterval is the time between two polls while the primary is unknown or does not answer. Waiting for the
	// regular poll would add up to a second to a failover.
	fastPollInterval = 100 * time.Millisecond
	// minPollGap is the least time between two polls of a server that reads or a planned change ask for.
	minPollGap = 5 * time.Millisecond
	// pollTimeout is when a poll without an answer event counts as failed.
	pollTimeout = time.Second
	// maxStatusAge is when a server whose last report was sent earlier no longer counts as reachable.
	maxStatusAge = time.Second
	// failuresUntilUnreachable is the number of failed polls in a row after which a server counts as unreachable.
	failuresUntilUnreachable = 2
)

// group is what this node knows of a database: a hint of the newest term and its primary, and a view if the node
// carries one of the servers.
type group struct {
	database currantloom.Database
	index    int
	// term is the newest term that any server granted or works in, primary its primary; empty if none is known.
	term    currantloom.Term
	primary currantloom.UpstreamName
	// proposedTerm is the highest term that this node proposed.
	proposedTerm  currantloom.Term
	keepViewUntil time.Duration
	view          *groupView
}

// groupView is the part of a group that needs polls.
type groupView struct {
	upstreams map[currantloom.UpstreamName]*upstreamView
	samples   positionSamples
	// term and primary are those that the view has acted on, learnedAt is when.
	term      currantloom.Term
	primary   currantloom.UpstreamName
	learnedAt time.Duration
	// settleUntil leaves another proposer the time to finish.
	settleUntil  time.Duration
	lostAt       time.Duration
	primaryLost  bool
	suspicion    *suspicion
	proposal     *proposal
	change       *plannedChange
	nextChangeAt time.Duration
	// nextPurgeAt is when old request ids are removed next; zero if this node does not carry the primary.
	nextPurgeAt time.Duration
}

// upstreamView is what this node knows of one server.
type upstreamView struct {
	upstream          currantloom.PostgresUpstream
	status            currantloom.PostgresStatus
	statusSentAt      time.Duration
	hasStatus         bool
	nextPollAt        time.Duration
	lastPollAt        time.Duration
	pollInFlight      bool
	failedPolls       int
	connectionRefused bool
	nextFollowAt      time.Duration
	// leaving says that the log shows the server as leaving since leavingAt.
	leaving      bool
	leavingSince time.Duration
}

func (s *State) addDatabase(d currantloom.Database) {
	g := &group{database: d, index: len(s.orderedGroups)}
	for _, upstream := range d.Upstreams() {
		s.groupsByUpstream[upstream.Name()] = g
	}
	s.groups[d.Name()] = g
	s.orderedGroups = append(s.orderedGroups, g)
}

// createView creates the group's view if there is none.
func (g *group) createView(now time.Duration) {
	if g.view != nil {
		return
	}
	v := &groupView{upstreams: make(map[currantloom.UpstreamName]*upstreamView), learnedAt: now, lostAt: now}
	v.term, v.primary = g.term, g.primary
	for _, upstream := range g.database.Upstreams() {
		v.upstreams[upstream.Name()] = &upstreamView{upstream: upstream, lastPollAt: now - minPollGap}
	}
	g.view = v
}

// upstream returns the view of a server; nil if there is none.
func (g *group) upstream(name currantloom.UpstreamName) *upstreamView {
	if g.view == nil {
		return nil
	}
	return g.view.upstreams[name]
}

// learnPrimary records a newer term and its primary.
func (g *group) learnPrimary(term currantloom.Term, primary currantloom.UpstreamName) {
	if term > g.term || term == g.term && g.primary == "" {
		g.term, g.primary = term, primary
	}
}

// learnGrantedTerm records a term that a server granted. The term of this node's own planned change is learned with its
// outcome, because the node holds writes meanwhile.
func (g *group) learnGrantedTerm(term currantloom.Term) {
	if g.view != nil && g.view.proposal != nil && g.view.proposal.target != "" && term <= g.view.proposal.term {
		g.view.proposal.grantedTerm = max(g.view.proposal.grantedTerm, term)
		return
	}
	g.learnPrimary(term, "")
}

// observePosition learns a server's position from the result of a request that ended at now. A replica's position from any
// response is as good as one from a report, as long as the replica is still in the reported term.
func (g *group) observePosition(
	upstream currantloom.UpstreamName, term currantloom.Term, position currantloom.LogPosition, now time.Duration,
) {
	if term > g.term {
		g.learnGrantedTerm(term)
	}
	v := g.upstream(upstream)
	if v == nil {
		return
	}
	if term > v.status.Term {
		v.nextPollAt = now
		return
	}
	if v.hasStatus && term == v.status.Term && position.Covers(v.status.Position) {
		v.status.Position = position
	}
}

func (s *State) statusReceived(e StatusReceived) {
	g, ok := s.groupsByUpstream[e.Upstream]
	if !ok || g.view == nil {
		return
	}
	v := g.view.upstreams[e.Upstream]
	v.pollInFlight = false
	if e.Status.Role == currantloom.RolePrimary {
		g.learnPrimary(e.Status.Term, e.Upstream)
	}
	g.learnGrantedTerm(max(e.Status.Term, e.Status.GrantedTerm))
	if v.hasStatus && e.SentAt <= v.statusSentAt {
		return
	}
	v.failedPolls, v.connectionRefused = 0, false
	v.recordStatus(e)
	if e.Status.Role == currantloom.RolePrimary {
		g.view.samples.add(positionSample{
			upstream: e.Upstream, term: e.Status.Term, position: e.Status.Position, sentAt: e.SentAt, answeredAt: s.now,
		})
	}
	s.advanceGroup(g)
	s.follow(g, v)
	// A newer report may make reads eligible that wait for it.
	s.admitWaiting(g)
}

// recordStatus takes over a report. A response may have shown a later position in the same term.
func (v *upstreamView) recordStatus(e StatusReceived) {
	position := e.Status.Position
	if v.hasStatus && v.status.Term == e.Status.Term && v.status.Position.Covers(position) {
		position = v.status.Position
	}
	v.status, v.statusSentAt, v.hasStatus = e.Status, e.SentAt, true
	v.status.Position = position
}

func (s *State) statusFailed(e StatusFailed) {
	g, ok := s.groupsByUpstream[e.Upstream]
	if !ok || g.view == nil {
		return
	}
	v := g.upstream(e.Upstream)
	if e.SentAt < v.lastPollAt || v.hasStatus && e.SentAt <= v.statusSentAt {
		// A newer poll is under way or was answered; the failure of this one was counted when it expired.
		return
	}
	v.pollInFlight = false
	s.upstreamFailed(g, e.Upstream, e.ConnectionRefused)
}

// upstreamFailed counts a failed poll, or a request that failed at the server's connection.
func (s *State) upstreamFailed(g *group, upstream currantloom.UpstreamName, refused bool) {
	v := g.upstream(upstream)
	if v == nil {
		return
	}
	v.failedPolls++
	v.connectionRefused = v.connectionRefused || refused
	s.advanceGroup(g)
}

// tickGroups polls the servers of the databases that this node carries a server of, and acts on what is known.
func (s *State) tickGroups() {
	s.updateOwned()
	for _, g := range s.membership.placement.activeGroups {
		s.expirePolls(g)
		s.logLeaving(g)
		s.pollGroup(g)
		s.advanceGroup(g)
		s.purgeRequestIDs(g)
	}
}

// advanceGroup acts on what is known of the group.
func (s *State) advanceGroup(g *group) {
	g.inferPrimary(s.now)
	s.handleNewTerm(g)
	s.watchPrimary(g)
	s.advancePlannedChange(g)
}

// expirePolls counts polls as failed whose answer event never came, for example because the node was paused.
func (s *State) expirePolls(g *group) {
	for _, upstream := range g.database.Upstreams() {
		v := g.view.upstreams[upstream.Name()]
		if v.pollInFlight && s.now-v.lastPollAt > pollTimeout {
			v.pollInFlight = false
			s.upstreamFailed(g, upstream.Name(), false)
		}
	}
}

func (s *State) pollGroup(g *group) {
	interval := pollInterval
	if g.needsFastPolls() {
		interval = fastPollInterval
	}
	for _, upstream := range g.database.Upstreams() {
		v := g.view.upstreams[upstream.Name()]
		if s.now >= min(v.nextPollAt, v.lastPollAt+interval) {
			s.pollNow(v)
		}
	}
}

// needsFastPolls reports whether the primary is unknown or did not answer the last poll.
func (g *group) needsFastPolls() bool {
	v := g.upstream(g.primary)
	return v == nil || v.failedPolls > 0
}

// pollNow polls a server unless a poll is under way or the last one was just sent.
func (s *State) pollNow(v *upstreamView) {
	if v.pollInFlight || s.now < v.lastPollAt+minPollGap {
		return
	}
	v.pollInFlight = true
	v.lastPollAt = s.now
	v.nextPollAt = s.now + pollInterval
	s.emit(PollStatus{Upstream: v.upstream.Name()})
}

// reachable reports whether the server answered its last poll, lately.
func (v *upstreamView) reachable(now time.Duration) bool {
	return v.hasStatus && v.failedPolls == 0 && now-v.statusSentAt <= maxStatusAge
}

// unreachable reports whether the server refused a connection or did not answer twice in a row.
func (v *upstreamView) unreachable() bool {
	return v.connectionRefused || v.failedPolls >= failuresUntilUnreachable
}

// hearsPrimary reports whether the server follows the primary of the term and heard from it lately.
func (v *upstreamView) hearsPrimary(term currantloom.Term) bool {
	return v.status.Role == currantloom.RoleReplica && v.status.Term == term && v.status.PrimarySilence < maxPrimarySilence
}

// isReplicaIn reports whether the server is known to be a replica in the term.
func (v *upstreamView) isReplicaIn(term currantloom.Term) bool {
	return v.status.Role == currantloom.RoleReplica && v.status.Term == term && v.status.GrantedTerm <= term
}

// logLeaving logs servers that begin or cease to leave.
func (s *State) logLeaving(g *group) {
	for _, upstream := range g.database.Upstreams() {
		v := g.view.upstreams[upstream.Name()]
		leaving := s.isLeaving(upstream.Name())
		if leaving == v.leaving {
			continue
		}
		v.leaving, v.leavingSince = leaving, s.now
		if since, ok := s.membership.leavingSince[upstream.Name()]; ok {
			v.leavingSince = since
		}
		reason := "the rules or the VM list say that the server is leaving; it gets no new work"
		if !leaving {
			reason = "neither the rules nor the VM list say any longer that the server is leaving"
		}
		s.emit(Decision{Event: "leaving", Upstream: upstream.Name(), Term: g.term, Reason: reason})
	}
}
