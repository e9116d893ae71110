package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// extraJobs is the number of jobs sent to an upstream beyond its slots, so that no slot is idle between two jobs.
	extraJobs = 1
	// initialRunTime is the assumed run time of a job before one was observed.
	initialRunTime = 15 * time.Millisecond
	// reconnectPause is the pause before the next connection attempt to an unreachable upstream.
	reconnectPause = 250 * time.Millisecond
	// connLimitPause is how long no connection is opened after the upstream refused one because of its connection limit.
	connLimitPause = 500 * time.Millisecond
	// warmConnections is the number of connections that are opened in advance and kept open.
	warmConnections = 2
	// probeConnections are reserved for probes and failover commands when jobs use all others.
	probeConnections = 1
	// surplusIdleTimeout is how long a surplus connection may be idle. Unused connections must not exhaust the
	// upstream's limit, because a node that takes over needs some: an upstream still counts those of a VM that lost
	// power for some seconds.
	surplusIdleTimeout = 2 * time.Second
	// busyRetries is how often a statement of a transaction is sent again if the upstream has no free slot for it,
	// busyRetryPause is the pause between these attempts.
	busyRetries    = 6
	busyRetryPause = 30 * time.Millisecond
)

// pool holds this node's connections to one upstream, and the jobs that wait for them.
type pool struct {
	upstream *upstream
	conns    []*conn
	queue    queue
	// running counts the jobs that occupy a slot, pinned the connections of open transactions.
	running, pinned int
	// overdue counts the running jobs whose answer is probably lost. newestAnswered is when the newest command was sent
	// that the upstream has answered, newestRun is the newest start of a job that it has run.
	overdue                   int
	newestAnswered, newestRun time.Duration
	// announced is the position of this pool's replica that the owner of the primary was told last.
	announced currantloom.LogPosition
	// averageRunTime is the moving average of the jobs' run time.
	averageRunTime time.Duration
	// acceptedSettings are settings that the upstream has accepted.
	acceptedSettings map[currantloom.SessionSetting]bool
	work             workRecord
	// heardAt is when the upstream last answered or, before its first answer, when the pool was created. failedAt is
	// when it last failed; unreachable says that it has not answered since.
	heardAt, failedAt        time.Duration
	hasAnswered, unreachable bool
	connLimitUntil           time.Duration
	share                    connShare
	costs                    connCosts
	usedAt                   time.Duration
	probeConn                *conn
	probeSentAt              time.Duration
	stall                    commitStall
	// newestCommit is the newest start of a commit that the primary has answered.
	newestCommit time.Duration
	// loadLoggedAt is when the load of the queue was last logged, loadReported says that jobs were waiting then.
	loadLoggedAt time.Duration
	loadReported bool
	// failureReported says that the holder of the failover lease was told of the current failure.
	failureReported bool
}

// poolOf returns the pool of an upstream and creates it on first use.
func (s *State) poolOf(u *upstream) *pool {
	if p, ok := s.owner.pools[u.Name]; ok {
		return p
	}
	p := &pool{
		upstream: u, averageRunTime: initialRunTime, usedAt: s.now, heardAt: s.now, queue: newQueue(s.owner.memory),
	}
	s.owner.pools[u.Name] = p
	return p
}

// closePool closes all connections to an upstream.
func (s *State) closePool(name currantloom.UpstreamName) {
	p, ok := s.owner.pools[name]
	if !ok {
		return
	}
	p.rejectQueue(s, currantloom.ReasonUnreachable)
	for _, cn := range slices.Clone(p.conns) {
		s.closeConn(cn, currantloom.ReasonConnectionLost)
	}
	delete(s.owner.pools, name)
}

func (p *pool) slots() int { return max(1, p.upstream.Slots) }

// expectedWait is the expected time that a new job would spend in the queue.
func (p *pool) expectedWait(now time.Duration) time.Duration {
	ahead := p.queue.countInTime(now, p.averageRunTime) + p.occupied() - p.slots() + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * p.averageRunTime / time.Duration(p.slots())
}

// isReachable reports whether the upstream answered lately.
func (p *pool) isReachable(s *State) bool {
	return p.hasAnswered && !p.unreachable && s.now-p.heardAt < answerTimeout+probeAfterSilence
}

// isInUse reports whether this node is the preferred owner or uses the upstream.
func (p *pool) isInUse(s *State) bool {
	return s.now-p.usedAt < handoverDelay || p.pinned > 0 || p.running > 0 || s.isPreferredOwner(p.upstream)
}

func (p *pool) health(s *State) currantloom.UpstreamHealth {
	open := 0
	for _, cn := range p.conns {
		if cn.mayWrite {
			open++
		}
	}
	return currantloom.UpstreamHealth{
		Name: p.upstream.Name, Service: p.upstream.Service, Reachable: p.isReachable(s), ConnectFailed: p.unreachable,
		CommitsStalled:        p.stall.isStalled(s.now),
		OpenWriteTransactions: open, QueueWait: p.expectedWait(s.now), Position: p.upstream.position,
		Load: p.load(),
	}
}

// enqueue adds a job to the queue, or rejects it if it cannot be served in time.
func (p *pool) enqueue(s *State, j *job) {
	p.usedAt = s.now
	switch {
	case p.unreachable && s.now-p.failedAt < reconnectPause:
		s.rejectJob(j, currantloom.ReasonUnreachable)
		return
	case j.call.Mode >= currantloom.CallVerifyPrimary:
	case startsTooLate(p.expectedWaitOf(s, j), j.call.QueueTimeout):
		s.rejectForWait(j, p.expectedWaitOf(s, j), "expected wait")
		return
	case !p.holdMemory(s, j):
		s.rejectForWait(j, p.expectedWaitOf(s, j), "memory")
		return
	}
	p.queue.add(j)
	p.startJobs(s)
}

func (p *pool) enqueueInTransaction(s *State, j *job) {
	p.usedAt = s.now
	p.queue.add(j)
	p.startJobs(s)
}

// isBlocked reports whether the job must wait because of a change of primary.
func (p *pool) isBlocked(s *State, j *job) bool {
	g := p.upstream.group
	if s.now >= g.writesBlockedUntil || g.primary != p.upstream.Name || g.successor == p.upstream.Name {
		return false
	}
	switch j.call.Mode {
	case currantloom.CallBegin, currantloom.CallPrimaryRead:
		return true
	case currantloom.CallDirect:
		return j.isAutocommitWrite()
	case currantloom.CallInTransaction:
		return g.commitsBlocked && j.conn.mayWrite
	default:
		return false
	}
}

// startJobs starts queued jobs while slots and connections are free.
func (p *pool) startJobs(s *State) {
	if s.isEnabled(MechanismOverdueJobs) {
		p.overdue = p.countOverdue(s.now)
	}
	for {
		j := p.queue.next(s.now, p.averageRunTime, func(j *job) bool { return p.canStart(s, j) })
		if j == nil {
			break
		}
		cn := j.conn
		if cn == nil {
			cn = p.takeConn(j)
		}
		cn.start(s, j)
	}
	p.openConnsForQueue(s)
}

// canStart reports whether a slot and a connection are free for the job and it is not blocked.
func (p *pool) canStart(s *State, j *job) bool {
	if j.startedAt > s.now || j.opensWork() && p.upstream.isDrained(s) {
		return false
	}
	if j.call.Mode >= currantloom.CallVerifyPrimary {
		return p.idleConn() != nil
	}
	if p.isBlocked(s, j) || p.running >= p.maxRunning() {
		return false
	}
	if j.provesPrimary() && !p.upstream.group.lease.mayStart(s.now) {
		return false
	}
	if opensTransaction(j.call.Mode) && !p.hasConnForTransaction(s) || j.commits() && !p.mayCommit(s) {
		return false
	}
	return j.conn != nil || p.idleConnOf(j.call.Organisation) != nil
}

// markUnreachable records that the upstream cannot be reached, and rejects the queued jobs.
func (p *pool) markUnreachable(s *State, reason string) {
	if !p.unreachable {
		s.log(Decision{
			Event: "upstream", Upstream: p.upstream.Name, Service: p.upstream.Service, Reason: reason,
			Age: s.now - p.heardAt, Outcome: "unreachable",
		})
	}
	p.unreachable, p.failedAt = true, s.now
	p.rejectQueue(s, currantloom.ReasonUnreachable)
}

// markReachable records that the upstream has answered.
func (p *pool) markReachable(s *State) {
	if p.unreachable {
		s.log(Decision{
			Event: "upstream", Upstream: p.upstream.Name, Service: p.upstream.Service, Age: s.now - p.heardAt,
			Outcome: "reachable",
		})
	}
	p.hasAnswered, p.unreachable, p.heardAt = true, false, s.now
}

// rejectQueue rejects the queued jobs, except statements of open transactions.
func (p *pool) rejectQueue(s *State, reason currantloom.CallFailureReason) {
	for _, j := range p.queue.all() {
		if j.conn == nil {
			p.queue.remove(j)
			s.rejectJob(j, reason)
		}
	}
}

// tick rejects late jobs, probes the upstream, and closes connections that are not needed.
func (p *pool) tick(s *State) {
	p.forgetIdleUsage(s)
	for _, j := range p.queue.all() {
		p.rejectIfUnservable(s, j)
	}
	p.rejectUnservable(s)
	p.logLoad(s)
	for _, cn := range slices.Clone(p.conns) {
		cn.tick(s)
	}
	p.reportFailure(s)
	p.notifyCatchUp(s)
	if p.isInUse(s) {
		p.probeIfSilent(s)
		p.closeBeyondShare(s)
		p.closeSurplusConn(s)
	} else {
		p.closeIdleConns(s)
	}
	p.startJobs(s)
}

// rejectIfUnservable rejects a queued job that has waited too long, needs the primary at an upstream that no longer is,
// or is new work at an upstream that takes none any more.
func (p *pool) rejectIfUnservable(s *State, j *job) {
	g := p.upstream.group
	switch {
	case s.now >= j.startBy:
		p.queue.remove(j)
		s.rejectExpired(j)
	case j.conn == nil && j.needsPrimary() && g.primary != "" && g.primary != p.upstream.Name:
		p.queue.remove(j)
		s.rejectJob(j, currantloom.ReasonWritesBlocked)
	case j.opensWork() && p.upstream.isDrained(s):
		p.queue.remove(j)
		s.rejectJob(j, currantloom.ReasonDrained)
	case j.conn == nil && j.needsPrimary() && j.call.Mode != currantloom.CallPrimaryRead && s.lacksCommitLease():
		p.queue.remove(j)
		s.rejectJob(j, currantloom.ReasonNoLease)
	}
}

// rejectExpired rejects a job that was queued for too long. If it is a statement of a transaction, the transaction is
// rolled back.
func (s *State) rejectExpired(j *job) {
	if j.conn != nil {
		cn := j.conn
		s.detachJob(cn)
		s.unpin(cn)
		s.rejectJob(j, currantloom.ReasonQueueWait)
		cn.rollBack(s)
		return
	}
	s.rejectForWait(j, j.pool.expectedWait(s.now), "waited")
}

// probeIfSilent probes an upstream on an idle connection if it has sent nothing lately, or if it is the primary and was
// not proven lately.
func (p *pool) probeIfSilent(s *State) {
	silent := s.now-p.heardAt > p.probeInterval()
	if g := p.upstream.group; g.primary == p.upstream.Name && s.now-g.primaryProvenAt > probeAfterSilence {
		silent = true
	}
	if !silent || p.probeConn != nil {
		return
	}
	if cn := p.idleConn(); cn != nil {
		p.probeConn, p.probeSentAt = cn, s.now
		cn.sendProbe(s)
	}
}

// probeInterval is how long the upstream may send nothing before it is probed.
func (p *pool) probeInterval() time.Duration {
	if p.upstream.group.lags(p.upstream) {
		return laggingProbeInterval
	}
	return probeAfterSilence
}

// recordRunTime updates the average run time.
func (p *pool) recordRunTime(took time.Duration) { p.averageRunTime += (took - p.averageRunTime) / 8 }
