package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// pollInterval is the time between two polls of an upstream's status. With a longer interval, the two failed polls
	// that raise a suspicion would take so long that a failover exceeds its target of 2 s in the median. At the design
	// scale the polls use 5.9 KB/s and exceed the 3 KB/s planned for control traffic; docs/CAPACITY.md says what would
	// reduce them.
	pollInterval = 500 * time.Millisecond
	// fastPollInterval is the time between two polls while the primary is unknown or does not answer. Waiting for the
	// regular polls would add up to a second to a failover.
	fastPollInterval = 100 * time.Millisecond
	// minPollGap is the least time between two polls of an upstream, however many reads or planned changes ask for one.
	minPollGap = 5 * time.Millisecond
	// pollTimeout is the time after which a poll without an answer event counts as failed.
	pollTimeout = time.Second
	// maxStatusAge is the age of the last status above which an upstream no longer counts as reachable.
	maxStatusAge = time.Second
	// failuresUntilUnreachable is the number of consecutive failed polls after which an upstream counts as unreachable.
	failuresUntilUnreachable = 2
)

// group is what this node knows of the upstreams of a database: the newest known term and its primary, and a view if
// the node owns one of the upstreams or recently got attempts for one.
type group struct {
	database currantloom.Database
	index    int
	// term is the newest known term that any upstream granted or is in. primary is its primary; empty if none is known.
	term    currantloom.Term
	primary currantloom.UpstreamName
	// proposedTerm is the highest term that this node proposed.
	proposedTerm  currantloom.Term
	keepViewUntil time.Duration
	view          *groupView
}

// groupView is the part of the knowledge on a group that is kept current by polls.
type groupView struct {
	upstreams map[currantloom.UpstreamName]*upstreamView
	samples   positionSamples
	// term and primary are those that the view has acted on, learnedAt is when.
	term      currantloom.Term
	primary   currantloom.UpstreamName
	learnedAt time.Duration
	// earliestProposalAt is when this node may propose a term again, so that another proposer has the time to finish.
	earliestProposalAt time.Duration
	lostAt             time.Duration
	primaryLost        bool
	suspicion          *suspicion
	proposal           *proposal
	change             *plannedChange
	nextChangeAt       time.Duration
	// nextPurgeAt is when old request ids are removed next; zero if this node does not own the primary.
	nextPurgeAt time.Duration
}

// upstreamView is what this node knows of one upstream.
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
	// requestFailed says that the connection of a request has failed since the last answered poll. Alone it says nothing
	// about the upstream, because a client can bring it about; together with a failed poll it counts as another one.
	requestFailed bool
	nextFollowAt  time.Duration
	// leaving says that the upstream is leaving, as of the last tick. leavingSince is since when this node knows it.
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

// upstream returns the view of an upstream; nil if there is none.
func (g *group) upstream(name currantloom.UpstreamName) *upstreamView {
	if g.view == nil {
		return nil
	}
	return g.view.upstreams[name]
}

// learnTerm records a newer term and its primary, which may be unknown, or the primary of the newest term if it was
// unknown.
func (g *group) learnTerm(term currantloom.Term, primary currantloom.UpstreamName) {
	if term > g.term || term == g.term && g.primary == "" {
		g.term, g.primary = term, primary
	}
}

// learnGrantedTerm records a term that an upstream granted. The term of this node's own planned change is recorded only
// with its outcome. Until then the node blocks writes.
func (g *group) learnGrantedTerm(term currantloom.Term) {
	if g.view != nil && g.view.proposal != nil && g.view.proposal.target != "" && term <= g.view.proposal.term {
		g.view.proposal.grantedTerm = max(g.view.proposal.grantedTerm, term)
		return
	}
	g.learnTerm(term, "")
}

// observePosition records the position that an upstream reported with the result of a request at now. It counts like
// the position of a status, if the upstream is still in the term of its last status.
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
		g.learnTerm(e.Status.Term, e.Upstream)
	}
	g.learnGrantedTerm(max(e.Status.Term, e.Status.GrantedTerm))
	if v.hasStatus && e.SentAt <= v.statusSentAt {
		return
	}
	v.failedPolls, v.connectionRefused, v.requestFailed = 0, false, false
	v.recordStatus(e)
	if e.Status.Role == currantloom.RolePrimary {
		g.view.samples.add(positionSample{
			upstream: e.Upstream, term: e.Status.Term, position: e.Status.Position, sentAt: e.SentAt, answeredAt: s.now,
		})
	}
	s.advanceGroup(g)
	s.follow(g, v)
	// A newer status may make waiting reads eligible.
	s.admitWaiting(g)
}

// recordStatus records a status. It keeps the known position if a result has shown a later one in the same term.
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
		// A newer poll is in flight or was answered; the failure of this one was counted when it timed out.
		return
	}
	v.pollInFlight = false
	s.upstreamFailed(g, e.Upstream, e.ConnectionRefused)
}

// requestFailed records that the connection of a request failed, and polls the upstream to find out why. A refused TCP
// connection needs no poll: it has failed before the upstream saw anything of the request.
func (s *State) requestFailed(g *group, upstream currantloom.UpstreamName, refused bool) {
	v := g.upstream(upstream)
	switch {
	case v == nil:
	case refused:
		s.upstreamFailed(g, upstream, true)
	default:
		v.requestFailed = true
		v.nextPollAt = min(v.nextPollAt, v.lastPollAt+fastPollInterval)
		if s.now >= v.nextPollAt {
			s.pollNow(v)
		}
	}
}

// upstreamFailed counts a failed poll, or a refused connection.
func (s *State) upstreamFailed(g *group, upstream currantloom.UpstreamName, refused bool) {
	v := g.upstream(upstream)
	if v == nil {
		return
	}
	v.failedPolls++
	if v.requestFailed {
		v.failedPolls, v.requestFailed = v.failedPolls+1, false
	}
	v.connectionRefused = v.connectionRefused || refused
	s.advanceGroup(g)
}

// tickGroups polls the upstreams of the groups with a view and acts on what is known.
func (s *State) tickGroups() {
	s.updateOwned()
	for _, g := range s.membership.placement.activeGroups {
		s.expirePolls(g)
		s.updateLeaving(g)
		s.pollGroup(g)
		s.advanceGroup(g)
		s.purgeRequestIDs(g)
	}
}

// advanceGroup acts on what is known of the group: it may propose a primary or advance a planned change.
func (s *State) advanceGroup(g *group) {
	g.inferPrimary(s.now)
	s.handleNewTerm(g)
	s.watchPrimary(g)
	s.advancePlannedChange(g)
}

// expirePolls counts polls as failed that got no answer event, for example because the node was paused.
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

// needsFastPolls reports whether the primary is unknown, or did not answer the last poll or a request.
func (g *group) needsFastPolls() bool {
	v := g.upstream(g.primary)
	return v == nil || v.failedPolls > 0 || v.requestFailed
}

// pollNow polls an upstream unless a poll is in flight or the last one was sent less than minPollGap ago.
func (s *State) pollNow(v *upstreamView) {
	if v.pollInFlight || s.now < v.lastPollAt+minPollGap {
		return
	}
	v.pollInFlight = true
	v.lastPollAt = s.now
	v.nextPollAt = s.now + pollInterval
	s.emit(PollStatus{Upstream: v.upstream.Name()})
}

// reachable reports whether the upstream answered its last poll, and did so recently.
func (v *upstreamView) reachable(now time.Duration) bool {
	return v.hasStatus && v.failedPolls == 0 && now-v.statusSentAt <= maxStatusAge
}

// unreachable reports whether the upstream refused a connection or did not answer two polls in a row.
func (v *upstreamView) unreachable() bool {
	return v.connectionRefused || v.failedPolls >= failuresUntilUnreachable
}

// hearsPrimary reports whether the upstream is a replica in the term and heard from its primary recently.
func (v *upstreamView) hearsPrimary(term currantloom.Term) bool {
	return v.status.Role == currantloom.RoleReplica && v.status.Term == term && v.status.PrimarySilence < maxPrimarySilence
}

// isReplicaIn reports whether the upstream is known to be a replica in the term and to have granted no newer one.
func (v *upstreamView) isReplicaIn(term currantloom.Term) bool {
	return v.status.Role == currantloom.RoleReplica && v.status.Term == term && v.status.GrantedTerm <= term
}

// updateLeaving records and logs which upstreams start or stop leaving.
func (s *State) updateLeaving(g *group) {
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
		reason := "the rules or the VM list say that the upstream is leaving; it gets no new requests"
		if !leaving {
			reason = "neither the rules nor the VM list say any longer that the upstream is leaving"
		}
		s.emit(Decision{Event: "leaving", Upstream: upstream.Name(), Term: g.term, Reason: reason})
	}
}
