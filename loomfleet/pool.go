package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// spareRuns is the work sent to an upstream beyond its slots, so that no slot is idle between two runs.
	spareRuns = 1
	// initialRun is the expected time of a run before one was seen.
	initialRun = 15 * time.Millisecond
	// redialAfter is the time between two attempts to connect to an upstream that failed.
	redialAfter = 250 * time.Millisecond
	// fullAfter is how long no new connection is opened after the upstream refused one.
	fullAfter = 500 * time.Millisecond
	// warmConnections are opened before there is work.
	warmConnections = 2
	// probeConnections are left for probes and commands while work has all others.
	probeConnections = 1
	// surplusAfter is how long a connection may be idle while others are too. Few connections leave room for the node
	// that takes over: an upstream counts those of a VM without power for some seconds.
	surplusAfter = 2 * time.Second
	// busyRetries is how often a statement of a transaction that the upstream has no slot for is sent again, busyPause
	// the time between.
	busyRetries = 6
	busyPause   = 30 * time.Millisecond
)

// pool holds this node's connections to one upstream, and the work that waits for them.
type pool struct {
	upstream *upstream
	conns    []*conn
	queue    queue
	// running counts the work that occupies a slot, pinned the connections of transactions.
	running, pinned int
	// run is the moving average of the time of a run.
	run time.Duration
	// heardAt is when the upstream last answered, failedAt when it last failed; down says that it failed since. Until the
	// first answer, heardAt is when the pool was made.
	heardAt, failedAt time.Duration
	answered, down    bool
	fullUntil         time.Duration
	usedAt            time.Duration
	probe             *conn
	probeSentAt       time.Duration
	// unanswered counts the commits without an answer since the last one with an answer; the first was sent at stuckAt.
	unanswered int
	stuckAt    time.Duration
	// reported says that the holder of the duty was told of a failure that lasts.
	reported bool
}

// poolOf returns the pool of an upstream, made on first use.
func (s *State) poolOf(u *upstream) *pool {
	if p, ok := s.carrier.pools[u.Name]; ok {
		return p
	}
	p := &pool{upstream: u, run: initialRun, usedAt: s.now, heardAt: s.now}
	s.carrier.pools[u.Name] = p
	return p
}

// closePool ends all connections to an upstream.
func (s *State) closePool(name currantloom.UpstreamName) {
	p, ok := s.carrier.pools[name]
	if !ok {
		return
	}
	p.refuseQueue(s, currantloom.ReasonUnreachable)
	for _, cn := range slices.Clone(p.conns) {
		s.closeConn(cn, currantloom.ReasonConnectionLost)
	}
	delete(s.carrier.pools, name)
}

// limit is the number of connections that this node may hold.
func (p *pool) limit(s *State) int {
	all := s.service(p.upstream.Service).Connections
	return max(1, all-min(reservedConnections, all/4))
}

func (p *pool) slots() int { return max(1, p.upstream.Slots) }

// expectedWait is the time that new work would spend in the queue.
func (p *pool) expectedWait(now time.Duration) time.Duration {
	ahead := p.queue.inTime(now, p.run) + p.running - p.slots() + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * p.run / time.Duration(p.slots())
}

// isUp reports whether the upstream answered lately.
func (p *pool) isUp(s *State) bool {
	return p.answered && !p.down && s.now-p.heardAt < silentAfter+probeAfter
}

// isInUse reports whether this node is the carrier, or has work at the upstream.
func (p *pool) isInUse(s *State) bool {
	return s.now-p.usedAt < handoverAfter || p.pinned > 0 || p.running > 0 || s.carriesNow(p.upstream)
}

func (p *pool) isStuck(s *State) bool {
	return p.unanswered >= stuckCommits && s.now-p.stuckAt > stuckAfter
}

func (p *pool) report(s *State) currantloom.UpstreamHealth {
	open := 0
	for _, cn := range p.conns {
		if cn.writes {
			open++
		}
	}
	return currantloom.UpstreamHealth{
		Name: p.upstream.Name, Service: p.upstream.Service, Reachable: p.isUp(s), ConnectFailed: p.down,
		CommitsStalled:        p.isStuck(s),
		OpenWriteTransactions: open, QueueWait: p.expectedWait(s.now), Position: p.upstream.mark,
	}
}

// enqueue puts work into the queue, or refuses what cannot be served in time.
func (p *pool) enqueue(s *State, w *work) {
	p.usedAt = s.now
	switch {
	case p.down && s.now-p.failedAt < redialAfter:
		s.answerNotRun(w, currantloom.ReasonUnreachable)
		return
	case w.call.Mode < currantloom.CallVerifyPrimary && p.expectedWait(s.now) > w.call.QueueTimeout:
		s.answerNotRun(w, currantloom.ReasonQueueWait)
		return
	}
	p.queue.add(w)
	p.admit(s)
}

func (p *pool) enqueuePinned(s *State, w *work) {
	p.usedAt = s.now
	p.queue.add(w)
	p.admit(s)
}

// isHeld reports whether a change of primary holds the work back.
func (p *pool) isHeld(s *State, w *work) bool {
	g := p.upstream.group
	if s.now >= g.heldUntil || g.leader != p.upstream.Name {
		return false
	}
	switch w.call.Mode {
	case currantloom.CallBegin, currantloom.CallPrimaryRead:
		return true
	case currantloom.CallDirect:
		return w.isSingleWrite()
	case currantloom.CallInTransaction:
		return g.holdsCommits && w.conn.writes
	default:
		return false
	}
}

// admit starts waiting work while slots and connections are free.
func (p *pool) admit(s *State) {
	for {
		w := p.queue.next(s.now, p.run, func(w *work) bool { return p.canStart(s, w) })
		if w == nil {
			break
		}
		cn := w.conn
		if cn == nil {
			cn = p.take(w)
		}
		cn.start(s, w)
	}
	p.openForQueue(s)
}

// canStart reports whether slots, connections and the group let the work start now.
func (p *pool) canStart(s *State, w *work) bool {
	if w.startedAt > s.now {
		return false
	}
	if w.call.Mode >= currantloom.CallVerifyPrimary {
		return p.idle() != nil
	}
	if p.isHeld(s, w) || p.running >= p.slots()+spareRuns {
		return false
	}
	return w.conn != nil || p.idle() != nil
}

// idle returns the idle connection that was used last.
func (p *pool) idle() *conn {
	var best *conn
	for _, cn := range p.conns {
		if cn.isIdle() && (best == nil || cn.idleSince > best.idleSince) {
			best = cn
		}
	}
	return best
}

// take returns an idle connection, if possible one that has the values of the work's session.
func (p *pool) take(w *work) *conn {
	for _, cn := range p.conns {
		if cn.isIdle() && cn.matches(w.call) {
			return cn
		}
	}
	return p.idle()
}

// openForQueue opens connections for work that waits for one.
//
// The load that it answers is a herd: after an outage hundreds of statements wait at once. A connection for each would
// occupy the slots of the upstream for seconds, as its opening takes one, and could not be used.
func (p *pool) openForQueue(s *State) {
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
	usable := p.slots() + spareRuns + probeConnections
	wanted := min(p.queue.unpinned()-opening-idle, usable-free, max(1, p.slots()/2)-opening)
	if s.carriesNow(p.upstream) && len(p.conns) < warmConnections {
		wanted = max(wanted, 1)
	}
	for ; wanted > 0 && len(p.conns) < p.limit(s) && s.now >= p.fullUntil; wanted-- {
		if p.down && (opening > 0 || s.now-p.failedAt < redialAfter) {
			return
		}
		p.open(s)
		opening++
	}
}

func (p *pool) open(s *State) {
	cn := &conn{
		id: ConnID(s.nextNumber()), pool: p, state: connOpening, openedAt: s.now,
		values: make(map[string]string), prepared: make(map[string]bool),
	}
	p.conns = append(p.conns, cn)
	s.carrier.conns[cn.id] = cn
	s.emit(OpenConn{Conn: cn.id, Upstream: p.upstream.Upstream})
}

// failed notes that the upstream cannot be reached.
func (p *pool) failed(s *State, reason string) {
	if !p.down {
		s.log(Decision{
			Event: "upstream", Upstream: p.upstream.Name, Service: p.upstream.Service, Reason: reason,
			Age: s.now - p.heardAt, Outcome: "unreachable",
		})
	}
	p.down, p.failedAt = true, s.now
	p.refuseQueue(s, currantloom.ReasonUnreachable)
}

// heard notes an answer of the upstream.
func (p *pool) heard(s *State) {
	if p.down {
		s.log(Decision{
			Event: "upstream", Upstream: p.upstream.Name, Service: p.upstream.Service, Age: s.now - p.heardAt,
			Outcome: "reachable",
		})
	}
	p.answered, p.down, p.heardAt = true, false, s.now
}

func (p *pool) refuseQueue(s *State, reason currantloom.CallFailureReason) {
	for _, w := range p.queue.all() {
		if w.conn == nil {
			p.queue.remove(w)
			s.answerNotRun(w, reason)
		}
	}
}

// tick refuses late work, probes the upstream and hands connections over.
func (p *pool) tick(s *State) {
	for _, w := range p.queue.all() {
		p.review(s, w)
	}
	for _, cn := range slices.Clone(p.conns) {
		cn.tick(s)
	}
	p.reportFailure(s)
	if p.isInUse(s) {
		p.probeQuiet(s)
		p.trim(s)
	} else {
		p.handOver(s)
	}
	p.admit(s)
}

// review refuses work that waits and cannot be served here any more.
func (p *pool) review(s *State, w *work) {
	g := p.upstream.group
	switch {
	case s.now >= w.startBy:
		p.queue.remove(w)
		s.answerLate(w)
	case w.conn == nil && w.needsPrimary() && g.leader != "" && g.leader != p.upstream.Name:
		p.queue.remove(w)
		s.answerNotRun(w, currantloom.ReasonWritesBlocked)
	}
}

// answerLate refuses work whose time in the queue is over. A transaction whose statement was refused is rolled back.
func (s *State) answerLate(w *work) {
	if w.conn != nil {
		cn := w.conn
		cn.work = nil
		s.unpin(cn)
		s.answerNotRun(w, currantloom.ReasonQueueWait)
		cn.rollBack(s)
		return
	}
	s.answerNotRun(w, currantloom.ReasonQueueWait)
}

// probeQuiet asks an upstream that was not heard, or whose lead was not proven lately, on an idle connection.
func (p *pool) probeQuiet(s *State) {
	quiet := s.now-p.heardAt > probeAfter
	if g := p.upstream.group; g.leader == p.upstream.Name && s.now-g.leaderAt > probeAfter {
		quiet = true
	}
	if !quiet || p.probe != nil {
		return
	}
	if cn := p.idle(); cn != nil {
		p.probe, p.probeSentAt = cn, s.now
		cn.sendProbe(s)
	}
}

// trim closes the connection that was idle for longest, if the others are enough.
func (p *pool) trim(s *State) {
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
	if idle > warmConnections && s.now-oldest.idleSince > surplusAfter {
		s.closeConn(oldest, currantloom.ReasonConnectionLost)
	}
}

// handOver closes idle connections of an upstream that another node carries.
func (p *pool) handOver(s *State) {
	for _, cn := range slices.Clone(p.conns) {
		if cn.isIdle() {
			s.closeConn(cn, currantloom.ReasonConnectionLost)
		}
	}
	if len(p.conns) == 0 && p.queue.len() == 0 {
		delete(s.carrier.pools, p.upstream.Name)
	}
}

// observe updates the expected time of a run.
func (p *pool) observe(took time.Duration) { p.run += (took - p.run) / 8 }

// commitUnanswered notes a commit without an answer.
func (p *pool) commitUnanswered(sentAt time.Duration) {
	if p.unanswered == 0 {
		p.stuckAt = sentAt
	}
	p.unanswered++
}

// commitAnswered notes that the primary can commit.
func (p *pool) commitAnswered() { p.unanswered = 0 }
