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
	// searchInterval is the time between two polls while the primary is unknown or does not answer. Waiting for the
	// regular poll would add up to a second to a failover.
	searchInterval = 100 * time.Millisecond
	// pollGap is the least time between two polls of a server that reads or a planned change ask for.
	pollGap = 5 * time.Millisecond
	// pollExpiry is when a poll without an answer event counts as failed.
	pollExpiry = time.Second
	// reportExpiry is when a server whose last report was sent earlier no longer counts as reachable.
	reportExpiry = time.Second
	// failuresOfUnreachable is the number of failed polls in a row after which a server counts as unreachable.
	failuresOfUnreachable = 2
)

// group is what this node knows of a database: a hint of the newest term and its primary, and a view if the node
// carries one of the servers.
type group struct {
	database currantloom.Database
	index    int
	// term is the newest term that any server granted or works in, primary its primary; empty if none is known.
	term    currantloom.Term
	primary currantloom.UpstreamName
	// proposed is the highest term that this node proposed.
	proposed  currantloom.Term
	usedUntil time.Duration
	view      *groupView
}

// groupView is the part of a group that needs polls.
type groupView struct {
	members map[currantloom.UpstreamName]*serverView
	samples samples
	// term and primary are those that the view has acted on, learnedAt is when.
	term      currantloom.Term
	primary   currantloom.UpstreamName
	learnedAt time.Duration
	// settleUntil leaves another proposer the time to finish.
	settleUntil time.Duration
	lostAt      time.Duration
	lost        bool
	suspicion   *suspicion
	proposal    *proposal
	change      *plannedChange
	changeAt    time.Duration
	// purgeAt is when old request ids are removed next; zero if this node does not carry the primary.
	purgeAt time.Duration
}

// serverView is what this node knows of one server.
type serverView struct {
	server   currantloom.PostgresUpstream
	status   currantloom.PostgresStatus
	sentAt   time.Duration
	known    bool
	pollAt   time.Duration
	polledAt time.Duration
	polling  bool
	failures int
	refused  bool
	followAt time.Duration
	// leaving says that the log shows the server as leaving since leavingAt.
	leaving   bool
	leavingAt time.Duration
}

func (s *State) addDatabase(d currantloom.Database) {
	g := &group{database: d, index: len(s.ordered)}
	for _, server := range d.Upstreams() {
		s.servers[server.Name()] = g
	}
	s.groups[d.Name()] = g
	s.ordered = append(s.ordered, g)
}

// activate creates the group's view if there is none.
func (g *group) activate(now time.Duration) {
	if g.view != nil {
		return
	}
	v := &groupView{members: make(map[currantloom.UpstreamName]*serverView), learnedAt: now, lostAt: now}
	v.term, v.primary = g.term, g.primary
	for _, server := range g.database.Upstreams() {
		v.members[server.Name()] = &serverView{server: server, polledAt: now - pollGap}
	}
	g.view = v
}

// member returns the view of a server; nil if there is none.
func (g *group) member(name currantloom.UpstreamName) *serverView {
	if g.view == nil {
		return nil
	}
	return g.view.members[name]
}

// learn records a newer term and its primary.
func (g *group) learn(term currantloom.Term, primary currantloom.UpstreamName) {
	if term > g.term || term == g.term && g.primary == "" {
		g.term, g.primary = term, primary
	}
}

// learnGranted records a term that a server granted. The term of this node's own planned change is learned with its
// outcome, because the node holds writes meanwhile.
func (g *group) learnGranted(term currantloom.Term) {
	if g.view != nil && g.view.proposal != nil && g.view.proposal.target != "" && term <= g.view.proposal.term {
		g.view.proposal.granted = max(g.view.proposal.granted, term)
		return
	}
	g.learn(term, "")
}

// observe learns a server's position from the result of a request that ended at now. A replica's position from any
// response is as good as one from a report, as long as the replica is still in the reported term.
func (g *group) observe(
	server currantloom.UpstreamName, term currantloom.Term, mark currantloom.LogPosition, now time.Duration,
) {
	if term > g.term {
		g.learnGranted(term)
	}
	v := g.member(server)
	if v == nil {
		return
	}
	if term > v.status.Term {
		v.pollAt = now
		return
	}
	if v.known && term == v.status.Term && mark.Covers(v.status.Position) {
		v.status.Position = mark
	}
}

func (s *State) statusReceived(e StatusReceived) {
	g, ok := s.servers[e.Upstream]
	if !ok || g.view == nil {
		return
	}
	v := g.view.members[e.Upstream]
	v.polling = false
	if e.Status.Role == currantloom.RolePrimary {
		g.learn(e.Status.Term, e.Upstream)
	}
	g.learnGranted(max(e.Status.Term, e.Status.GrantedTerm))
	if v.known && e.SentAt <= v.sentAt {
		return
	}
	v.failures, v.refused = 0, false
	v.record(e)
	if e.Status.Role == currantloom.RolePrimary {
		g.view.samples.add(sample{
			server: e.Upstream, term: e.Status.Term, mark: e.Status.Position, sentAt: e.SentAt, answeredAt: s.now,
		})
	}
	s.advance(g)
	s.follow(g, v)
	// A newer report may make reads eligible that wait for it.
	s.releaseHeld(g)
}

// record takes over a report. A response may have shown a later position in the same term.
func (v *serverView) record(e StatusReceived) {
	mark := e.Status.Position
	if v.known && v.status.Term == e.Status.Term && v.status.Position.Covers(mark) {
		mark = v.status.Position
	}
	v.status, v.sentAt, v.known = e.Status, e.SentAt, true
	v.status.Position = mark
}

func (s *State) statusFailed(e StatusFailed) {
	g, ok := s.servers[e.Upstream]
	if !ok || g.view == nil {
		return
	}
	v := g.member(e.Upstream)
	if e.SentAt < v.polledAt || v.known && e.SentAt <= v.sentAt {
		// A newer poll is under way or was answered; the failure of this one was counted when it expired.
		return
	}
	v.polling = false
	s.serverFailed(g, e.Upstream, e.ConnectionRefused)
}

// serverFailed counts a failed poll, or a request that failed at the server's connection.
func (s *State) serverFailed(g *group, server currantloom.UpstreamName, refused bool) {
	v := g.member(server)
	if v == nil {
		return
	}
	v.failures++
	v.refused = v.refused || refused
	s.advance(g)
}

// tickGroups polls the servers of the databases that this node carries a server of, and acts on what is known.
func (s *State) tickGroups() {
	s.updateCarried()
	for _, g := range s.members.placement.active {
		s.expirePolls(g)
		s.noticeLeaving(g)
		s.pollGroup(g)
		s.advance(g)
		s.purgeRequestIDs(g)
	}
}

// advance acts on what is known of the group.
func (s *State) advance(g *group) {
	g.inferPrimary(s.now)
	s.noticeTerm(g)
	s.watchPrimary(g)
	s.advancePlanned(g)
}

// expirePolls counts polls as failed whose answer event never came, for example because the node was paused.
func (s *State) expirePolls(g *group) {
	for _, server := range g.database.Upstreams() {
		v := g.view.members[server.Name()]
		if v.polling && s.now-v.polledAt > pollExpiry {
			v.polling = false
			s.serverFailed(g, server.Name(), false)
		}
	}
}

func (s *State) pollGroup(g *group) {
	interval := pollInterval
	if g.searches() {
		interval = searchInterval
	}
	for _, server := range g.database.Upstreams() {
		v := g.view.members[server.Name()]
		if s.now >= min(v.pollAt, v.polledAt+interval) {
			s.pollNow(v)
		}
	}
}

// searches reports whether the primary is unknown or did not answer the last poll.
func (g *group) searches() bool {
	v := g.member(g.primary)
	return v == nil || v.failures > 0
}

// pollNow polls a server unless a poll is under way or the last one was just sent.
func (s *State) pollNow(v *serverView) {
	if v.polling || s.now < v.polledAt+pollGap {
		return
	}
	v.polling = true
	v.polledAt = s.now
	v.pollAt = s.now + pollInterval
	s.emit(PollStatus{Upstream: v.server.Name()})
}

// reachable reports whether the server answered its last poll, lately.
func (v *serverView) reachable(now time.Duration) bool {
	return v.known && v.failures == 0 && now-v.sentAt <= reportExpiry
}

// unreachable reports whether the server refused a connection or did not answer twice in a row.
func (v *serverView) unreachable() bool { return v.refused || v.failures >= failuresOfUnreachable }

// hearsPrimary reports whether the server follows the primary of the term and heard from it lately.
func (v *serverView) hearsPrimary(term currantloom.Term) bool {
	return v.status.Role == currantloom.RoleReplica && v.status.Term == term && v.status.PrimarySilence < silenceLimit
}

// follows reports whether the server is known to be a replica in the term.
func (v *serverView) follows(term currantloom.Term) bool {
	return v.status.Role == currantloom.RoleReplica && v.status.Term == term && v.status.GrantedTerm <= term
}

// noticeLeaving logs servers that begin or cease to leave.
func (s *State) noticeLeaving(g *group) {
	for _, server := range g.database.Upstreams() {
		v := g.view.members[server.Name()]
		leaving := s.isLeaving(server.Name())
		if leaving == v.leaving {
			continue
		}
		v.leaving, v.leavingAt = leaving, s.now
		if since, ok := s.members.leavingSince[server.Name()]; ok {
			v.leavingAt = since
		}
		reason := "the rules or the VM list say that the server is leaving; it gets no new work"
		if !leaving {
			reason = "neither the rules nor the VM list say any longer that the server is leaving"
		}
		s.emit(Decision{Event: "leaving", Upstream: server.Name(), Term: g.term, Reason: reason})
	}
}
