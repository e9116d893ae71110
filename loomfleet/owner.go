package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// reservedConnections of each upstream's limit stay free for another carrier that takes over.
	reservedConnections = 3
	// probeAfterSilence is how long a carried upstream may be unheard before it is probed.
	probeAfterSilence = 250 * time.Millisecond
	// answerTimeout is how long the opening of a connection, which waits for a slot, may be without an answer.
	answerTimeout = 600 * time.Millisecond
	// probeTimeout is how long a probe may be without an answer. It needs no slot, and the carrier is near.
	probeTimeout = 350 * time.Millisecond
	// commitStallTimeout is how long commits may be without an answer, none of them answered, before the primary counts as cut
	// off from its replicas.
	commitStallTimeout = 900 * time.Millisecond
	// minStalledCommits is the least number of commits without an answer that tells so.
	minStalledCommits = 2
	// handoverDelay is how long a node that is no longer the first choice keeps idle connections.
	handoverDelay = 2 * time.Second
)

// ownerState holds the pools of the upstreams that this node has connections to.
type ownerState struct {
	pools map[currantloom.UpstreamName]*pool
	conns map[ConnID]*conn
	jobs  map[currantloom.RequestKey]*job
	// pinned holds the connections of open transactions.
	pinned map[currantloom.RequestKey]*conn
}

func (o *ownerState) init() {
	o.pools = make(map[currantloom.UpstreamName]*pool)
	o.conns = make(map[ConnID]*conn)
	o.jobs = make(map[currantloom.RequestKey]*job)
	o.pinned = make(map[currantloom.RequestKey]*conn)
}

// job is a call at its carrier.
type job struct {
	call currantloom.Call
	link LinkID
	pool *pool
	conn *conn
	// startBy is when it leaves the queue unserved, deadline when a run without an answer ends.
	startBy, deadline time.Duration
	// latencyTargetAt is when the latency that the operators want is over.
	latencyTargetAt time.Duration
	startedAt       time.Duration
	// required is what the upstream's log has to cover, taken that long before the arrival.
	required  sample
	arrivedAt time.Duration
	// sent says that the command was sent to the upstream.
	sent bool
	// countsAsRunning says that it counts among the running work of the pool.
	countsAsRunning bool
	retries         int
	// orphaned says that nobody waits for the answer.
	orphaned bool
}

// isAutocommitWrite reports whether the work is a write outside a transaction.
func (j *job) isAutocommitWrite() bool {
	return j.call.Mode == currantloom.CallDirect && j.call.Command.Writes
}

// needsPrimary reports whether only the primary may run the work.
func (j *job) needsPrimary() bool {
	switch j.call.Mode {
	case currantloom.CallBegin, currantloom.CallPrimaryRead:
		return true
	default:
		return j.isAutocommitWrite()
	}
}

// provesPrimary reports whether an answer tells that the upstream is the primary and can commit. A transaction that wrote
// nothing ends anywhere, on a replica too.
func (j *job) provesPrimary() bool {
	return j.isAutocommitWrite() || j.call.Command.Commits && j.conn != nil && j.conn.hasWritten
}

func (s *State) handleCall(link LinkID, m currantloom.Call) {
	j := &job{call: m, link: link, startBy: s.now + m.QueueTimeout, latencyTargetAt: s.now + m.LatencyBudget, arrivedAt: s.now}
	if s.owner.jobs[m.Key] != nil {
		return
	}
	if m.Mode == currantloom.CallInTransaction {
		s.continueTransaction(j)
		return
	}
	u, ok := s.catalog.upstreams[m.Upstream]
	switch {
	case !ok:
		s.rejectJob(j, currantloom.ReasonUnknownUpstream)
		return
	case s.shutdown.requested && m.Mode < currantloom.CallVerifyPrimary:
		s.rejectJob(j, currantloom.ReasonShuttingDown)
		return
	}
	if m.MaxAge > 0 && !s.setRequired(j, u.group) {
		s.rejectJob(j, currantloom.ReasonNoSample)
		return
	}
	j.pool = s.poolOf(u)
	s.owner.jobs[m.Key] = j
	j.pool.enqueue(s, j)
}

// setRequired sets what the upstream's log has to cover: every commit acknowledged before the accepted age, counted from
// the arrival of the call, which is later than that of the statement; and the session's own ones. It reports false if
// no sample is fresh enough.
func (s *State) setRequired(j *job, g *group) bool {
	taken, ok := g.oldestSampleSince(s.now - j.call.MaxAge + ageMargin)
	if !ok {
		return false
	}
	if j.call.MinPosition.Compare(taken.position) > 0 {
		taken.position = j.call.MinPosition
	}
	j.required = taken
	if j.call.Mode == currantloom.CallDirect {
		j.call.Command.MinPosition = taken.position
	}
	return true
}

// continueTransaction runs the next statement of an open transaction on its connection.
func (s *State) continueTransaction(j *job) {
	cn, ok := s.owner.pinned[j.call.Transaction]
	if !ok || cn.job != nil {
		s.rejectJob(j, currantloom.ReasonNoTransaction)
		return
	}
	j.pool, j.conn = cn.pool, cn
	cn.job = j
	s.owner.jobs[j.call.Key] = j
	cn.pool.enqueueInTransaction(s, j)
}

// finishJob ends a work.
func (s *State) finishJob(j *job, result currantloom.CallResult) {
	delete(s.owner.jobs, j.call.Key)
	if j.orphaned {
		return
	}
	result.Key = j.call.Key
	if j.pool != nil {
		result.QueueWait = j.pool.expectedWait(s.now)
		result.Sample = s.newestSampleOf(j.pool.upstream.group)
	}
	if result.RequiredPosition = j.required.position; !result.RequiredPosition.IsZero() {
		result.RequiredAge = j.arrivedAt - j.required.takenAt
	}
	if j.link == 0 {
		s.deferCall(func() { s.handleCallResult(result) })
		return
	}
	s.emit(Respond{Link: j.link, Message: result})
}

func (s *State) rejectJob(j *job, reason currantloom.CallFailureReason) {
	s.finishJob(j, currantloom.CallResult{Verdict: currantloom.NotRun, Reason: reason})
}

// newestSampleOf returns the newest sample of the group for another node.
func (s *State) newestSampleOf(g *group) currantloom.PositionSample {
	newest, ok := g.newestSample()
	if !ok || g.primary == "" || newest.position.Term() < g.term {
		return currantloom.PositionSample{}
	}
	return currantloom.PositionSample{
		Service: g.name, Upstream: g.primary, Position: newest.position, Age: s.now - newest.takenAt,
	}
}

// primarySamples returns those of the groups whose primary this node carries.
func (o *ownerState) primarySamples(s *State) []currantloom.PositionSample {
	var samples []currantloom.PositionSample
	for _, g := range s.catalog.sortedGroups {
		if p, ok := o.pools[g.primary]; ok && p.isReachable(s) {
			if taken := s.newestSampleOf(g); taken.Upstream != "" {
				samples = append(samples, taken)
			}
		}
	}
	return samples
}

// healthReports returns what this node knows of the upstreams that it has connections to.
func (o *ownerState) healthReports(s *State) []currantloom.UpstreamHealth {
	var reports []currantloom.UpstreamHealth
	for _, p := range o.sortedPools() {
		if p.upstream.deletedAt > 0 || !p.isInUse(s) {
			continue
		}
		reports = append(reports, p.health(s))
	}
	return reports
}

// sortedPools returns the pools by name, so that effects come in a fixed order.
func (o *ownerState) sortedPools() []*pool {
	pools := make([]*pool, 0, len(o.pools))
	for _, p := range o.pools {
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

// handleCancelCall gives up work that waits; work that runs goes on, and its answer is dropped.
func (s *State) handleCancelCall(key currantloom.RequestKey) {
	j, ok := s.owner.jobs[key]
	if !ok {
		return
	}
	j.orphaned = true
	if j.conn == nil {
		j.pool.queue.remove(j)
		delete(s.owner.jobs, key)
	}
}

// handleRollback rolls back what is left of a transaction.
func (s *State) handleRollback(key currantloom.RequestKey) {
	if cn, ok := s.owner.pinned[key]; ok {
		s.unpin(cn)
		if cn.job == nil {
			cn.rollBack(s)
		} else {
			s.closeConn(cn, currantloom.ReasonConnectionLost)
		}
		return
	}
	j, ok := s.owner.jobs[key]
	if !ok {
		return
	}
	j.orphaned = true
	if j.conn == nil {
		j.pool.queue.remove(j)
		delete(s.owner.jobs, key)
		return
	}
	s.closeConn(j.conn, currantloom.ReasonConnectionLost)
}

func (s *State) unpin(cn *conn) {
	delete(s.owner.pinned, cn.transaction)
	cn.pool.pinned--
	cn.transaction = currantloom.RequestKey{}
	cn.mayWrite, cn.hasWritten = false, false
}

// handleInboundLinkClosed gives up the work of a node that is gone, and rolls its transactions back.
func (s *State) handleInboundLinkClosed(link LinkID) {
	for _, j := range s.jobsOf(link) {
		s.handleCancelCall(j.call.Key)
	}
	var keys []currantloom.RequestKey
	for key, cn := range s.owner.pinned {
		if cn.link == link {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b currantloom.RequestKey) int { return int(a.Number) - int(b.Number) })
	for _, key := range keys {
		s.handleRollback(key)
	}
}

func (s *State) jobsOf(link LinkID) []*job {
	var works []*job
	for _, j := range s.owner.jobs {
		if j.link == link {
			works = append(works, j)
		}
	}
	slices.SortFunc(works, func(a, b *job) int { return int(a.call.Key.Number) - int(b.call.Key.Number) })
	return works
}

// handleBlockWrites notes that a change of primary is about to start, or to end.
func (s *State) handleBlockWrites(m currantloom.BlockWrites) {
	g := s.groupOf(m.Service)
	g.writesBlockedUntil, g.commitsBlocked = s.now+m.Duration, m.BlockCommits
	s.log(Decision{Event: "hold", Service: m.Service, Age: m.Duration, Outcome: "held"})
}

// handlePrimaryChanged notes the outcome of a change of primary.
func (s *State) handlePrimaryChanged(m currantloom.PrimaryChanged) {
	g := s.groupOf(m.Service)
	g.writesBlockedUntil = 0
	if m.Term > g.term || g.primary == "" {
		g.term = max(g.term, m.Term)
		g.setPrimary(s, m.Upstream, "announced")
	}
}

// tickOwner probes, opens and closes connections, and ends work whose time is over.
func (s *State) tickOwner() {
	for _, name := range s.catalog.upstreamNames() {
		u := s.catalog.upstreams[name]
		if s.owner.pools[name] == nil && u.deletedAt == 0 && s.isPreferredOwner(u) {
			s.poolOf(u)
		}
	}
	for _, p := range s.owner.sortedPools() {
		p.tick(s)
	}
}
