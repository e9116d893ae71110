package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// reservedConnections of each upstream's limit stay free for another carrier that takes over.
	reservedConnections = 3
	// probeAfter is how long a carried upstream may be unheard before it is probed.
	probeAfter = 250 * time.Millisecond
	// silentAfter is how long the opening of a connection, which waits for a slot, may be without an answer.
	silentAfter = 600 * time.Millisecond
	// probeSilentAfter is how long a probe may be without an answer. It needs no slot, and the carrier is near.
	probeSilentAfter = 350 * time.Millisecond
	// stuckAfter is how long commits may be without an answer, none of them answered, before the primary counts as cut
	// off from its replicas.
	stuckAfter = 900 * time.Millisecond
	// stuckCommits is the least number of commits without an answer that tells so.
	stuckCommits = 2
	// handoverAfter is how long a node that is no longer the first choice keeps idle connections.
	handoverAfter = 2 * time.Second
)

// carrier holds the pools of the upstreams that this node has connections to.
type carrier struct {
	pools map[currantloom.UpstreamName]*pool
	conns map[ConnID]*conn
	works map[currantloom.RequestKey]*work
	// pinned holds the connections of open transactions.
	pinned map[currantloom.RequestKey]*conn
}

func (c *carrier) init() {
	c.pools = make(map[currantloom.UpstreamName]*pool)
	c.conns = make(map[ConnID]*conn)
	c.works = make(map[currantloom.RequestKey]*work)
	c.pinned = make(map[currantloom.RequestKey]*conn)
}

// work is a call at its carrier.
type work struct {
	call currantloom.Call
	link LinkID
	pool *pool
	conn *conn
	// startBy is when it leaves the queue unserved, deadline when a run without an answer ends.
	startBy, deadline time.Duration
	// goalAt is when the latency that the operators want is over.
	goalAt    time.Duration
	startedAt time.Duration
	// required is what the upstream's log has to cover, taken that long before the arrival.
	required sample
	arrived  time.Duration
	// sent says that the command was sent to the upstream.
	sent bool
	// occupies says that it counts among the running work of the pool.
	occupies bool
	retries  int
	// orphaned says that nobody waits for the answer.
	orphaned bool
}

// isSingleWrite reports whether the work is a write outside a transaction.
func (w *work) isSingleWrite() bool {
	return w.call.Mode == currantloom.CallDirect && w.call.Command.Writes
}

// needsPrimary reports whether only the primary may run the work.
func (w *work) needsPrimary() bool {
	switch w.call.Mode {
	case currantloom.CallBegin, currantloom.CallPrimaryRead:
		return true
	default:
		return w.isSingleWrite()
	}
}

// commits reports whether an answer tells that the upstream is the primary and can commit. A transaction that wrote
// nothing ends anywhere, on a replica too.
func (w *work) commits() bool {
	return w.isSingleWrite() || w.call.Command.Commits && w.conn != nil && w.conn.wrote
}

func (s *State) callReceived(link LinkID, m currantloom.Call) {
	w := &work{call: m, link: link, startBy: s.now + m.QueueTimeout, goalAt: s.now + m.LatencyBudget, arrived: s.now}
	if s.carrier.works[m.Key] != nil {
		return
	}
	if m.Mode == currantloom.CallInTransaction {
		s.continueTransaction(w)
		return
	}
	u, ok := s.catalog.upstreams[m.Upstream]
	switch {
	case !ok:
		s.answerNotRun(w, currantloom.ReasonUnknownUpstream)
		return
	case s.stop.requested && m.Mode < currantloom.CallVerifyPrimary:
		s.answerNotRun(w, currantloom.ReasonShuttingDown)
		return
	}
	if m.MaxAge > 0 && !s.require(w, u.group) {
		s.answerNotRun(w, currantloom.ReasonNoSample)
		return
	}
	w.pool = s.poolOf(u)
	s.carrier.works[m.Key] = w
	w.pool.enqueue(s, w)
}

// require sets what the upstream's log has to cover: every commit acknowledged before the accepted age, counted from
// the arrival of the call, which is later than that of the statement; and the session's own ones. It reports false if
// no sample is fresh enough.
func (s *State) require(w *work, g *group) bool {
	taken, ok := g.cover(s.now - w.call.MaxAge + ageMargin)
	if !ok {
		return false
	}
	if w.call.MinPosition.Compare(taken.mark) > 0 {
		taken.mark = w.call.MinPosition
	}
	w.required = taken
	if w.call.Mode == currantloom.CallDirect {
		w.call.Command.MinPosition = taken.mark
	}
	return true
}

// continueTransaction runs the next statement of an open transaction on its connection.
func (s *State) continueTransaction(w *work) {
	cn, ok := s.carrier.pinned[w.call.Transaction]
	if !ok || cn.work != nil {
		s.answerNotRun(w, currantloom.ReasonNoTransaction)
		return
	}
	w.pool, w.conn = cn.pool, cn
	cn.work = w
	s.carrier.works[w.call.Key] = w
	cn.pool.enqueuePinned(s, w)
}

// answer ends a work.
func (s *State) answer(w *work, a currantloom.CallResult) {
	delete(s.carrier.works, w.call.Key)
	if w.orphaned {
		return
	}
	a.Key = w.call.Key
	if w.pool != nil {
		a.QueueWait = w.pool.expectedWait(s.now)
		a.Sample = s.sampleOf(w.pool.upstream.group)
	}
	if a.RequiredPosition = w.required.mark; !a.RequiredPosition.IsZero() {
		a.RequiredAge = w.arrived - w.required.takenAt
	}
	if w.link == 0 {
		s.later(func() { s.callAnswered(a) })
		return
	}
	s.emit(Respond{Link: w.link, Message: a})
}

func (s *State) answerNotRun(w *work, reason currantloom.CallFailureReason) {
	s.answer(w, currantloom.CallResult{Verdict: currantloom.NotRun, Reason: reason})
}

// sampleOf returns the newest sample of the group for another node.
func (s *State) sampleOf(g *group) currantloom.PositionSample {
	newest, ok := g.newestSample()
	if !ok || g.leader == "" || newest.mark.Term() < g.term {
		return currantloom.PositionSample{}
	}
	return currantloom.PositionSample{
		Service: g.name, Upstream: g.leader, Position: newest.mark, Age: s.now - newest.takenAt,
	}
}

// samples returns those of the groups whose primary this node carries.
func (c *carrier) samples(s *State) []currantloom.PositionSample {
	var samples []currantloom.PositionSample
	for _, g := range s.catalog.ordered {
		if p, ok := c.pools[g.leader]; ok && p.isUp(s) {
			if taken := s.sampleOf(g); taken.Upstream != "" {
				samples = append(samples, taken)
			}
		}
	}
	return samples
}

// reports returns what this node knows of the upstreams that it has connections to.
func (c *carrier) reports(s *State) []currantloom.UpstreamHealth {
	var reports []currantloom.UpstreamHealth
	for _, p := range c.ordered() {
		if p.upstream.goneAt > 0 || !p.isInUse(s) {
			continue
		}
		reports = append(reports, p.report(s))
	}
	return reports
}

// ordered returns the pools by name, so that effects come in a fixed order.
func (c *carrier) ordered() []*pool {
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	slices.SortFunc(pools, func(a, b *pool) int {
		if a.upstream.Name < b.upstream.Name {
			return -1
		}
		return 1
	})
	return pools
}

// callCancelled gives up work that waits; work that runs goes on, and its answer is dropped.
func (s *State) callCancelled(key currantloom.RequestKey) {
	w, ok := s.carrier.works[key]
	if !ok {
		return
	}
	w.orphaned = true
	if w.conn == nil {
		w.pool.queue.remove(w)
		delete(s.carrier.works, key)
	}
}

// transactionEnded rolls back what is left of a transaction.
func (s *State) transactionEnded(key currantloom.RequestKey) {
	if cn, ok := s.carrier.pinned[key]; ok {
		s.unpin(cn)
		if cn.work == nil {
			cn.rollBack(s)
		} else {
			s.closeConn(cn, currantloom.ReasonConnectionLost)
		}
		return
	}
	w, ok := s.carrier.works[key]
	if !ok {
		return
	}
	w.orphaned = true
	if w.conn == nil {
		w.pool.queue.remove(w)
		delete(s.carrier.works, key)
		return
	}
	s.closeConn(w.conn, currantloom.ReasonConnectionLost)
}

func (s *State) unpin(cn *conn) {
	delete(s.carrier.pinned, cn.transaction)
	cn.pool.pinned--
	cn.transaction = currantloom.RequestKey{}
	cn.writes, cn.wrote = false, false
}

// linkClosed gives up the work of a node that is gone, and rolls its transactions back.
func (s *State) linkClosed(link LinkID) {
	for _, w := range s.worksOf(link) {
		s.callCancelled(w.call.Key)
	}
	var keys []currantloom.RequestKey
	for key, cn := range s.carrier.pinned {
		if cn.link == link {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b currantloom.RequestKey) int { return int(a.Number) - int(b.Number) })
	for _, key := range keys {
		s.transactionEnded(key)
	}
}

func (s *State) worksOf(link LinkID) []*work {
	var works []*work
	for _, w := range s.carrier.works {
		if w.link == link {
			works = append(works, w)
		}
	}
	slices.SortFunc(works, func(a, b *work) int { return int(a.call.Key.Number) - int(b.call.Key.Number) })
	return works
}

// held notes that a change of primary is about to start, or to end.
func (s *State) held(m currantloom.BlockWrites) {
	g := s.groupOf(m.Service)
	g.heldUntil, g.holdsCommits = s.now+m.Duration, m.BlockCommits
	s.log(Decision{Event: "hold", Service: m.Service, Age: m.Duration, Outcome: "held"})
}

// promoted notes the outcome of a change of primary.
func (s *State) promoted(m currantloom.PrimaryChanged) {
	g := s.groupOf(m.Service)
	g.heldUntil = 0
	if m.Term > g.term || g.leader == "" {
		g.term = max(g.term, m.Term)
		g.follow(s, m.Upstream, "announced")
	}
}

// tickCarrier probes, opens and closes connections, and ends work whose time is over.
func (s *State) tickCarrier() {
	for _, name := range s.catalog.names() {
		u := s.catalog.upstreams[name]
		if s.carrier.pools[name] == nil && u.goneAt == 0 && s.carriesNow(u) {
			s.poolOf(u)
		}
	}
	for _, p := range s.carrier.ordered() {
		p.tick(s)
	}
}
