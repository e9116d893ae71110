package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfair"
)

const (
	// probeAfterSilence is how long an owned upstream may send nothing before it is probed.
	probeAfterSilence = 250 * time.Millisecond
	// answerTimeout bounds the wait for a new connection and for the reply to BEGIN; both may wait for a slot of the
	// upstream.
	answerTimeout = 600 * time.Millisecond
	// probeTimeout bounds the wait for the reply to a probe. It is shorter than answerTimeout because a probe needs no
	// slot and the owner is near the upstream.
	probeTimeout = 350 * time.Millisecond
	// handoverDelay is how long a node that is no longer the preferred owner keeps its idle connections.
	handoverDelay = 2 * time.Second
)

// ownerState holds the connections of this node to upstreams, and the calls that it runs on them.
type ownerState struct {
	pools map[currantloom.UpstreamName]*pool
	conns map[ConnID]*conn
	jobs  map[currantloom.RequestKey]*job
	// pinned holds the connections of open transactions, by the key of the call that opened the transaction.
	pinned map[currantloom.RequestKey]*conn
	// memory bounds the size of the waiting jobs of organisations.
	memory *loomfair.Budget
	// earlierConnsUntil is the time until which upstreams may count connections of an earlier process of this node.
	earlierConnsUntil time.Duration
	// policy decides about the connections of organisations.
	policy connPolicy
}

func (o *ownerState) init() {
	o.pools = make(map[currantloom.UpstreamName]*pool)
	o.conns = make(map[ConnID]*conn)
	o.jobs = make(map[currantloom.RequestKey]*job)
	o.pinned = make(map[currantloom.RequestKey]*conn)
	o.memory = loomfair.NewBudget(maxQueuedSize)
	o.policy = connPolicy{lookahead: lookaheadShare}
}

// job is a call at the owner of its upstream.
type job struct {
	call currantloom.Call
	link LinkID
	pool *pool
	conn *conn
	// startBy is when the job is rejected if it is still queued, deadline is when its execution times out.
	startBy, deadline time.Duration
	// latencyTargetAt is when the route's latency target is missed.
	latencyTargetAt time.Duration
	startedAt       time.Duration
	// required is the position that the upstream's log must cover, and when it was sampled.
	required  sample
	arrivedAt time.Duration
	// sent says that the command was sent to the upstream, awaitsSetup that it waits for the replies to its setup.
	sent, awaitsSetup bool
	// countsAsRunning says that the job is counted in the pool's running jobs.
	countsAsRunning bool
	// charged is the slot time that its organisation was charged with when it started.
	charged time.Duration
	// held is the part of the budget for waiting jobs that it holds.
	held    int
	retries int
	// refusedSetup is the reply with which the upstream refused a setting or the prepared statement of the job; its code
	// is ReplyOK if it refused none.
	refusedSetup currantloom.Reply
	// orphaned says that nobody waits for the result.
	orphaned bool
}

// isAutocommitWrite reports whether the job is a write outside a transaction.
func (j *job) isAutocommitWrite() bool {
	return j.call.Mode == currantloom.CallDirect && j.call.Command.Writes
}

// isPlainRead reports whether the job is a read outside a transaction.
func (j *job) isPlainRead() bool {
	return j.call.Mode == currantloom.CallDirect && !j.call.Command.Writes || j.call.Mode == currantloom.CallPrimaryRead
}

// needsPrimary reports whether only the primary may run the job.
func (j *job) needsPrimary() bool {
	switch j.call.Mode {
	case currantloom.CallBegin, currantloom.CallPrimaryRead:
		return true
	default:
		return j.isAutocommitWrite()
	}
}

// provesPrimary reports whether a successful reply proves that the upstream is the primary and can commit. A
// transaction that wrote nothing commits on a replica too, so its commit proves nothing.
func (j *job) provesPrimary() bool {
	return j.isAutocommitWrite() || j.call.Command.Commits && j.conn != nil && j.conn.hasWritten
}

func (s *State) handleCall(link LinkID, m currantloom.Call) {
	j := &job{
		call: m, link: link, startBy: s.now + m.QueueTimeout, latencyTargetAt: s.now + m.LatencyBudget, arrivedAt: s.now,
	}
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
	case s.shutdown.requested && m.Mode < currantloom.CallVerifyPrimary && link != 0:
		s.rejectJob(j, currantloom.ReasonShuttingDown)
		return
	case opensWork(m.Mode) && u.isDrained(s):
		s.rejectJob(j, currantloom.ReasonDrained)
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

// setRequired sets the position that the upstream's log must cover for a read: every commit that was acknowledged
// earlier than MaxAge before the call's arrival, and the session's own commits. The call arrives later than the
// statement, so this is at least as strict as the client's limit. The position of the entry node is used if it is lower
// or the only one. It reports false if none is known.
func (s *State) setRequired(j *job, g *group) bool {
	required, ok := g.oldestSampleSince(s.now - j.call.MaxAge + ageMargin)
	if known := j.call.AgePosition; !known.IsZero() && (!ok || required.position.Compare(known) > 0) {
		required, ok = sample{position: known, takenAt: s.now - j.call.MaxAge}, true
	}
	if !ok {
		return false
	}
	if j.call.MinPosition.Compare(required.position) > 0 {
		required.position = j.call.MinPosition
	}
	j.required = required
	if j.call.Mode == currantloom.CallDirect {
		j.call.Command.MinPosition = required.position
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

// finishJob ends a job and sends its result to the entry node.
func (s *State) finishJob(j *job, result currantloom.CallResult) {
	delete(s.owner.jobs, j.call.Key)
	if j.orphaned {
		return
	}
	result.Key = j.call.Key
	if j.pool != nil {
		result.QueueWait = j.pool.expectedWait(s.now)
		s.recordWork(j, result)
		result.Load = j.pool.load().Only(j.call.WorkKind())
		result.Sample = s.newestSampleOf(j.pool.upstream.group)
		result.Lagging = s.laggingIn(j.pool.upstream.group)
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

// rejectJob ends a job whose command was not run.
func (s *State) rejectJob(j *job, reason currantloom.CallFailureReason) {
	s.finishJob(j, currantloom.CallResult{Verdict: currantloom.NotRun, Reason: reason})
}

// newestSampleOf returns the newest sample of the group in the form that is sent to other nodes. It is empty if the
// primary is unknown or the sample is of an older term.
func (s *State) newestSampleOf(g *group) currantloom.PositionSample {
	newest, ok := g.newestSample()
	if !ok || g.primary == "" || newest.position.Term() < g.term {
		return currantloom.PositionSample{}
	}
	return currantloom.PositionSample{
		Service: g.name, Upstream: g.primary, Position: newest.position, Age: s.now - newest.takenAt,
	}
}

// primarySamples returns the samples of the groups whose primary this node is connected to.
func (o *ownerState) primarySamples(s *State) []currantloom.PositionSample {
	var samples []currantloom.PositionSample
	for _, g := range s.catalog.sortedGroups {
		if p, ok := o.pools[g.primary]; ok && p.isReachable(s) {
			if newest := s.newestSampleOf(g); newest.Upstream != "" {
				samples = append(samples, newest)
			}
		}
	}
	return samples
}

// healthReports returns the state of the upstreams that this node uses.
func (o *ownerState) healthReports(s *State) []currantloom.UpstreamHealth {
	var reports []currantloom.UpstreamHealth
	for _, p := range o.sortedPools() {
		if !p.isInUse(s) || p.upstream.deletedAt > 0 && !p.isReachable(s) {
			continue
		}
		reports = append(reports, p.health(s))
	}
	return reports
}

// sortedPools returns the pools sorted by name, so that the order of effects is deterministic.
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

// handleCancelCall removes a queued job. A running job continues and its result is dropped.
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

// handleRollback rolls back a transaction, or the call that opens it.
func (s *State) handleRollback(key currantloom.RequestKey) {
	if cn, ok := s.owner.pinned[key]; ok {
		if cn.job != nil && cn.job.sent && cn.job.call.Command.Commits {
			// Whether it commits is decided at the upstream; closing the connection would hide the answer.
			cn.job.orphaned = true
			return
		}
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

// unpin detaches the connection from its transaction. It does not roll the transaction back. hasWritten stays as it is,
// because the commit of the transaction may still run.
func (s *State) unpin(cn *conn) {
	delete(s.owner.pinned, cn.transaction)
	cn.pool.pinned--
	cn.transaction = currantloom.RequestKey{}
	cn.mayWrite = false
}

// handleInboundLinkClosed cancels the calls that came over the link and rolls back their transactions.
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
	var jobs []*job
	for _, j := range s.owner.jobs {
		if j.link == link {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return int(a.call.Key.Number) - int(b.call.Key.Number) })
	return jobs
}

// handleBlockWrites blocks writes of a service because its primary is about to change. The link is that on which the
// message arrived; zero if it is of this node.
func (s *State) handleBlockWrites(link LinkID, m currantloom.BlockWrites) {
	g := s.groupOf(m.Service)
	g.writesBlockedUntil, g.commitsBlocked, g.successor = s.now+m.Duration, m.BlockCommits, m.Successor
	s.coordinator.promotionsOf(m.Service).recordAnnounced(s.now, m.Successor)
	s.log(Decision{Event: "hold", Service: m.Service, Age: m.Duration, Outcome: "held"})
	if m.BlockCommits {
		g.lease.block(s.now)
		g.commitsEndAt = s.now + m.CommitTimeout
		g.blockAnswers = append(g.blockAnswers, blockAnswer{link: link, number: m.Number})
		s.answerBlock(g)
	}
}

// handlePrimaryChanged ends the blocking of writes and takes over the announced primary if its term is newer. An
// announcement of an earlier term is late if another upstream is being promoted since.
func (s *State) handlePrimaryChanged(from currantloom.VMName, m currantloom.PrimaryChanged) {
	g := s.groupOf(m.Service)
	s.recordPromotedLog(g, m.Term, m.Log)
	if holder, ok := s.members.byName[from]; ok {
		// Its answer lets this node acknowledge commits again.
		s.sendPing(holder, "")
	}
	if m.Term < g.term && g.successor != "" && g.successor != m.Upstream {
		return
	}
	g.writesBlockedUntil = 0
	s.coordinator.promotionsOf(m.Service).clearAnnounced(s.now)
	if m.Term > g.term || g.primary == "" {
		g.term = max(g.term, m.Term)
		g.setPrimary(s, m.Upstream, "announced")
	}
}

// tickOwner probes upstreams, opens and closes connections, and ends jobs that have timed out.
func (s *State) tickOwner() {
	for _, name := range s.catalog.upstreamNames() {
		u := s.catalog.upstreams[name]
		if s.owner.pools[name] == nil && s.isPreferredOwner(u) {
			s.poolOf(u)
		}
	}
	for _, p := range s.owner.sortedPools() {
		p.tick(s)
	}
	for _, name := range s.catalog.upstreamNames() {
		u := s.catalog.upstreams[name]
		u.refusals.logDue(s, u.Service, name)
	}
}
