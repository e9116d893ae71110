package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// extraJobs is the work sent to an upstream beyond its slots, so that no slot is idle between two runs.
	extraJobs = 1
	// initialRunTime is the expected time of a run before one was seen.
	initialRunTime = 15 * time.Millisecond
	// reconnectPause is the time between two attempts to connect to an upstream that failed.
	reconnectPause = 250 * time.Millisecond
	// connLimitPause is how long no new connection is opened after the upstream refused one.
	connLimitPause = 500 * time.Millisecond
	// warmConnections are opened before there is work.
	warmConnections = 2
	// probeConnections are left for probes and commands while work has all others.
	probeConnections = 1
	// surplusIdleTimeout is how long a connection may be idle while others are too. Few connections leave room for the node
	// that takes over: an upstream counts those of a VM without power for some seconds.
	surplusIdleTimeout = 2 * time.Second
	// busyRetries is how often a statement of a transaction that the upstream has no slot for is sent again, busyPause
	// the time between.
	busyRetries    = 6
	busyRetryPause = 30 * time.Millisecond
)

// pool holds this node's connections to one upstream, and the work that waits for them.
type pool struct {
	upstream *upstream
	conns    []*conn
	queue    queue
	// running counts the work that occupies a slot, pinned the connections of transactions.
	running, pinned int
	// averageRunTime is the moving average of the time of a run.
	averageRunTime time.Duration
	// heardAt is when the upstream last answered, failedAt when it last failed; down says that it failed since. Until the
	// first answer, heardAt is when the pool was made.
	heardAt, failedAt        time.Duration
	hasAnswered, unreachable bool
	connLimitUntil           time.Duration
	usedAt                   time.Duration
	probeConn                *conn
	probeSentAt              time.Duration
	// unansweredCommits counts the commits without an answer since the last one with an answer; the first was sent at stuckAt.
	unansweredCommits int
	firstUnansweredAt time.Duration
	// failureReported says that the holder of the duty was told of a failure that lasts.
	failureReported bool
}

// poolOf returns the pool of an upstream, made on first use.
func (s *State) poolOf(u *upstream) *pool {
	if p, ok := s.owner.pools[u.Name]; ok {
		return p
	}
	p := &pool{upstream: u, averageRunTime: initialRunTime, usedAt: s.now, heardAt: s.now}
	s.owner.pools[u.Name] = p
	return p
}

// closePool ends all connections to an upstream.
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

// limit is the number of connections that this node may hold.
func (p *pool) limit(s *State) int {
	all := s.service(p.upstream.Service).Connections
	return max(1, all-min(reservedConnections, all/4))
}

func (p *pool) slots() int { return max(1, p.upstream.Slots) }

// expectedWait is the time that new work would spend in the queue.
func (p *pool) expectedWait(now time.Duration) time.Duration {
	ahead := p.queue.countInTime(now, p.averageRunTime) + p.running - p.slots() + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * p.averageRunTime / time.Duration(p.slots())
}

// isReachable reports whether the upstream answered lately.
func (p *pool) isReachable(s *State) bool {
	return p.hasAnswered && !p.unreachable && s.now-p.heardAt < answerTimeout+probeAfterSilence
}

// isInUse reports whether this node is the carrier, or has work at the upstream.
func (p *pool) isInUse(s *State) bool {
	return s.now-p.usedAt < handoverDelay || p.pinned > 0 || p.running > 0 || s.isPreferredOwner(p.upstream)
}

func (p *pool) areCommitsStalled(s *State) bool {
	return p.unansweredCommits >= minStalledCommits && s.now-p.firstUnansweredAt > commitStallTimeout
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
		CommitsStalled:        p.areCommitsStalled(s),
		OpenWriteTransactions: open, QueueWait: p.expectedWait(s.now), Position: p.upstream.position,
	}
}

// enqueue puts work into the queue, or refuses what cannot be served in time.
func (p *pool) enqueue(s *State, j *job) {
	p.usedAt = s.now
	switch {
	case p.unreachable && s.now-p.failedAt < reconnectPause:
		s.rejectJob(j, currantloom.ReasonUnreachable)
		return
	case j.call.Mode < currantloom.CallVerifyPrimary && p.expectedWait(s.now) > j.call.QueueTimeout:
		s.rejectJob(j, currantloom.ReasonQueueWait)
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

// isBlocked reports whether a change of primary holds the work back.
func (p *pool) isBlocked(s *State, j *job) bool {
	g := p.upstream.group
	if s.now >= g.writesBlockedUntil || g.primary != p.upstream.Name {
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

// startJobs starts waiting work while slots and connections are free.
func (p *pool) startJobs(s *State) {
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

// canStart reports whether slots, connections and the group let the work start now.
func (p *pool) canStart(s *State, j *job) bool {
	if j.startedAt > s.now {
		return false
	}
	if j.call.Mode >= currantloom.CallVerifyPrimary {
		return p.idleConn() != nil
	}
	if p.isBlocked(s, j) || p.running >= p.slots()+extraJobs {
		return false
	}
	return j.conn != nil || p.idleConn() != nil
}

// idleConn returns the idle connection that was used last.
func (p *pool) idleConn() *conn {
	var best *conn
	for _, cn := range p.conns {
		if cn.isIdle() && (best == nil || cn.idleSince > best.idleSince) {
			best = cn
		}
	}
	return best
}

// takeConn returns an idle connection, if possible one that has the values of the work's session.
func (p *pool) takeConn(j *job) *conn {
	for _, cn := range p.conns {
		if cn.isIdle() && cn.matches(j.call) {
			return cn
		}
	}
	return p.idleConn()
}

// openConnsForQueue opens connections for work that waits for one.
//
// The load that it answers is a herd: after an outage hundreds of statements wait at once. A connection for each would
// occupy the slots of the upstream for seconds, as its opening takes one, and could not be used.
func (p *pool) openConnsForQueue(s *State) {
	opening, idle, free := 0, 0, 0
	for _, cn := range p.conns {
		switch {
		case cn.state == connOpening:
			opening++
		case cn.isIdle():
			idle++
		}
		if cn.transaction == (currantloom.RequestKey{}) {
			free++
		}
	}
	usable := p.slots() + extraJobs + probeConnections
	wanted := min(p.queue.countUnpinned()-opening-idle, usable-free, max(1, p.slots()/2)-opening)
	if s.isPreferredOwner(p.upstream) && len(p.conns) < warmConnections {
		wanted = max(wanted, 1)
	}
	for ; wanted > 0 && len(p.conns) < p.limit(s) && s.now >= p.connLimitUntil; wanted-- {
		if p.unreachable && (opening > 0 || s.now-p.failedAt < reconnectPause) {
			return
		}
		p.openConn(s)
		opening++
	}
}

func (p *pool) openConn(s *State) {
	cn := &conn{
		id: ConnID(s.nextNumber()), pool: p, state: connOpening, openedAt: s.now,
		settings: make(map[string]string), prepared: make(map[string]bool),
	}
	p.conns = append(p.conns, cn)
	s.owner.conns[cn.id] = cn
	s.emit(OpenConn{Conn: cn.id, Upstream: p.upstream.Upstream})
}

// markUnreachable notes that the upstream cannot be reached.
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

// markReachable notes an answer of the upstream.
func (p *pool) markReachable(s *State) {
	if p.unreachable {
		s.log(Decision{
			Event: "upstream", Upstream: p.upstream.Name, Service: p.upstream.Service, Age: s.now - p.heardAt,
			Outcome: "reachable",
		})
	}
	p.hasAnswered, p.unreachable, p.heardAt = true, false, s.now
}

func (p *pool) rejectQueue(s *State, reason currantloom.CallFailureReason) {
	for _, j := range p.queue.all() {
		if j.conn == nil {
			p.queue.remove(j)
			s.rejectJob(j, reason)
		}
	}
}

// tick refuses late work, probes the upstream and hands connections over.
func (p *pool) tick(s *State) {
	for _, j := range p.queue.all() {
		p.rejectIfUnservable(s, j)
	}
	for _, cn := range slices.Clone(p.conns) {
		cn.tick(s)
	}
	p.reportFailure(s)
	if p.isInUse(s) {
		p.probeIfSilent(s)
		p.closeSurplusConn(s)
	} else {
		p.closeIdleConns(s)
	}
	p.startJobs(s)
}

// rejectIfUnservable refuses work that waits and cannot be served here any more.
func (p *pool) rejectIfUnservable(s *State, j *job) {
	g := p.upstream.group
	switch {
	case s.now >= j.startBy:
		p.queue.remove(j)
		s.rejectExpired(j)
	case j.conn == nil && j.needsPrimary() && g.primary != "" && g.primary != p.upstream.Name:
		p.queue.remove(j)
		s.rejectJob(j, currantloom.ReasonWritesBlocked)
	}
}

// rejectExpired refuses work whose time in the queue is over. A transaction whose statement was refused is rolled back.
func (s *State) rejectExpired(j *job) {
	if j.conn != nil {
		cn := j.conn
		cn.job = nil
		s.unpin(cn)
		s.rejectJob(j, currantloom.ReasonQueueWait)
		cn.rollBack(s)
		return
	}
	s.rejectJob(j, currantloom.ReasonQueueWait)
}

// probeIfSilent asks an upstream that was not heard, or whose lead was not proven lately, on an idle connection.
func (p *pool) probeIfSilent(s *State) {
	quiet := s.now-p.heardAt > probeAfterSilence
	if g := p.upstream.group; g.primary == p.upstream.Name && s.now-g.primaryProvenAt > probeAfterSilence {
		quiet = true
	}
	if !quiet || p.probeConn != nil {
		return
	}
	if cn := p.idleConn(); cn != nil {
		p.probeConn, p.probeSentAt = cn, s.now
		cn.sendProbe(s)
	}
}

// closeSurplusConn closes the connection that was idle for longest, if the others are enough.
func (p *pool) closeSurplusConn(s *State) {
	var oldest *conn
	idle := 0
	for _, cn := range p.conns {
		if !cn.isIdle() {
			continue
		}
		idle++
		if oldest == nil || cn.idleSince < oldest.idleSince {
			oldest = cn
		}
	}
	if idle > warmConnections && s.now-oldest.idleSince > surplusIdleTimeout {
		s.closeConn(oldest, currantloom.ReasonConnectionLost)
	}
}

// closeIdleConns closes idle connections of an upstream that another node carries.
func (p *pool) closeIdleConns(s *State) {
	for _, cn := range slices.Clone(p.conns) {
		if cn.isIdle() {
			s.closeConn(cn, currantloom.ReasonConnectionLost)
		}
	}
	if len(p.conns) == 0 && p.queue.len() == 0 {
		delete(s.owner.pools, p.upstream.Name)
	}
}

// recordRunTime updates the expected time of a run.
func (p *pool) recordRunTime(took time.Duration) { p.averageRunTime += (took - p.averageRunTime) / 8 }

// recordCommitUnanswered notes a commit without an answer.
func (p *pool) recordCommitUnanswered(sentAt time.Duration) {
	if p.unansweredCommits == 0 {
		p.firstUnansweredAt = sentAt
	}
	p.unansweredCommits++
}

// recordCommitAnswered notes that the primary can commit.
func (p *pool) recordCommitAnswered() { p.unansweredCommits = 0 }
