package loomcore

import (
	"strings"
	"time"

	"currantloom.example/currantloom"
)

// replicaEligibilityTimeout is how long a read waits for a replica to become eligible before it goes to the primary.
const replicaEligibilityTimeout = 50 * time.Millisecond

// runTimeMargin times the expected run time is kept free before the deadline: 5% of exponentially distributed run times
// exceed three times their mean, and work that ends after its deadline takes capacity from work that would not.
const runTimeMargin = 3

// shortStallTimeout is the longest time without a byte from a server that runs short work, after which its connection
// counts as silent. It exceeds the second for which a server may delay the report of a commit, and leaves half of the
// default deadline of 10 s for another attempt.
const shortStallTimeout = 5 * time.Second

// ownerState holds the work at the servers that this node carries.
type ownerState struct {
	attempts      map[currantloom.RequestKey]*attempt
	queues        map[currantloom.UpstreamName]*queue
	orderedQueues []*queue
	// pendingReads holds reads that wait for a replica to become eligible, in the order of arrival.
	pendingReads []*attempt
	// confirming holds work that waits for replicas to confirm its mark, in the order of the server's answers.
	confirming   []*attempt
	transactions transactions
	runTimes     runTimeHistory
	commitWait   commitWaitEstimate
}

type attemptState uint8

const (
	// workPending: a read waits for a report that makes the replica eligible.
	attemptPending attemptState = iota
	// workWaiting: in the queue.
	attemptQueued
	// workRunning: the server runs it.
	attemptRunning
	// workConfirming: the server answered; replicas are asked to confirm the mark.
	attemptConfirming
	// workAcknowledged: the withheld completion passed; the run has not ended yet.
	attemptAcknowledged
	// workRejected: the withheld completion was rejected; the run has not ended yet.
	attemptRejected
)

// attempt is one request at its carrier.
type attempt struct {
	header   currantloom.RequestHeader
	state    attemptState
	deadline time.Duration
	// latestStart is the latest time at which the work can start and still end before its deadline.
	latestStart   time.Duration
	inTransaction bool
	// holdsSlot says that the work occupies a slot.
	holdsSlot   bool
	transaction currantloom.RequestKey
	class       currantloom.RequestClass
	// classKnown says that a rule or the history gave the class.
	classKnown bool
	statement  statementKey
	// cost is the expected run time.
	cost      time.Duration
	startedAt time.Duration
	// term is the newest known term when the work started. A server that reports another one for a write may have
	// been replaced in between, and its position may then be that of an entry of the new primary.
	term currantloom.Term
	// confirmsTerm says that the server was asked to prove its term.
	confirmsTerm bool
	pendingUntil time.Duration
	cancelled    bool
	result       currantloom.PostgresResult
	confirmation confirmation
	// positionConfirmed says that a majority holds the mark of the answer at the newest known term.
	positionConfirmed bool
}

// writes reports whether the work may write.
func (a *attempt) writes() bool { return a.header.Kind == currantloom.WriteRequest }

// mayRunAtReplica reports whether the work is a read that a replica may serve.
func (a *attempt) mayRunAtReplica() bool {
	return a.header.Kind == currantloom.ReadRequest && a.header.Token.Known() && a.header.MaxAge > 0
}

func (s *State) attemptArrived(e AttemptArrived) {
	c := &s.owner
	if c.attempts == nil {
		c.attempts = make(map[currantloom.RequestKey]*attempt)
		c.queues = make(map[currantloom.UpstreamName]*queue)
	}
	a := &attempt{
		header: e.Header, deadline: s.now + e.Header.Remaining, inTransaction: e.InTransaction, transaction: e.Transaction,
	}
	if _, ok := c.attempts[e.Header.Key]; ok {
		s.emitReject(a, currantloom.NotRun, currantloom.SQLStateCannotConnectNow, "an earlier attempt has not ended", 0)
		return
	}
	c.attempts[e.Header.Key] = a
	g, ok := s.groupsByUpstream[e.Header.Upstream]
	if !ok {
		s.reject(a, currantloom.SQLStateCannotConnectNow, "unknown server", 0)
		return
	}
	s.ensureView(g)
	s.classify(a)
	a.latestStart = a.deadline - min(runTimeMargin*a.cost, e.Header.Remaining/2)
	q := s.queueOf(g, e.Header.Upstream)
	switch {
	case e.Header.Remaining <= 0:
		s.refuseLate(q, a)
	case e.InTransaction:
		s.continueTransaction(q, a)
	case s.shutdown.requested:
		s.reject(a, currantloom.SQLStateShuttingDown, "carrier is shutting down", 0)
	default:
		s.placeAttempt(q, a)
	}
}

// placeAttempt puts work outside a transaction into the queue, once the server may serve it.
func (s *State) placeAttempt(q *queue, a *attempt) {
	code, reason := s.reasonToRefuse(q, a)
	if reason != "" {
		// The entry node may know a newer primary than this node; the next attempt shall find it known.
		s.pollNow(q.group.view.upstreams[q.upstream])
		s.reject(a, code, reason, 0)
		return
	}
	if !a.mayRunAtReplica() || q.group.primary == q.upstream {
		s.enqueue(q, a)
		return
	}
	switch s.readEligibility(q.group, q.upstream, a.header.Token, a.header.MaxAge) {
	case eligible:
		s.enqueue(q, a)
	case pending:
		a.state = attemptPending
		a.pendingUntil = min(s.now+replicaEligibilityTimeout, a.deadline)
		s.owner.pendingReads = append(s.owner.pendingReads, a)
	default:
		s.reject(a, currantloom.SQLStateCannotConnectNow, "replica does not cover the read", 0)
	}
}

// reasonToRefuse returns why the server gets no new work of this kind; the reason is empty if it does. A leaving primary
// still gets work until the planned change holds it, or until the time to drain it is over.
func (s *State) reasonToRefuse(q *queue, a *attempt) (code currantloom.SQLState, reason string) {
	g := q.group
	isPrimary := g.primary == q.upstream
	switch {
	case s.isLeaving(q.upstream) && (!isPrimary || s.leavingServiceTimeOver(g)):
		return currantloom.SQLStateCannotConnectNow, "server is leaving"
	case !isPrimary && !a.mayRunAtReplica():
		return currantloom.SQLStateCannotConnectNow, "server is not the primary"
	case !g.unreachable(q.upstream):
		return "", ""
	case isPrimary && !s.primaryAlive(g):
		return currantloom.SQLStateCannotConnectNow, "no primary"
	default:
		return currantloom.SQLStateConnectionFailure, "carrier cannot reach the server"
	}
}

// recheckBeforeStart repeats the decision on placement right before the work starts, since it may have waited for long. It
// rejects work that the server may no longer serve.
func (s *State) recheckBeforeStart(q *queue, a *attempt) bool {
	code, reason := s.reasonToRefuse(q, a)
	if reason == "" && a.mayRunAtReplica() && q.group.primary != q.upstream &&
		s.readEligibility(q.group, q.upstream, a.header.Token, a.header.MaxAge) != eligible {
		code, reason = currantloom.SQLStateCannotConnectNow, "replica no longer covers the read"
	}
	if reason != "" {
		s.reject(a, code, reason, 0)
	}
	return reason == ""
}

// recheckQueue rejects waiting work that the server may no longer serve, because the primary changed or a server is
// leaving, and starts what can start.
func (s *State) recheckQueue(q *queue) {
	for _, fq := range []*fairQueue{&q.long, &q.short} {
		fq.each(func(a *attempt) {
			if code, reason := s.reasonToRefuse(q, a); reason != "" && !a.inTransaction {
				s.reject(a, code, reason, 0)
			}
		})
	}
	s.admit(q.group, q)
}

// recheckAttempts applies what an event of another part changed for waiting work.
func (s *State) recheckAttempts() {
	s.recheckPendingReads()
	for _, q := range s.owner.orderedQueues {
		s.recheckQueue(q)
	}
}

// recheckPendingReads decides again on reads that wait for a replica.
func (s *State) recheckPendingReads() {
	c := &s.owner
	waiting := c.pendingReads
	c.pendingReads = nil
	for _, a := range waiting {
		if a.state != attemptPending || c.attempts[a.header.Key] != a {
			continue
		}
		q := c.queues[a.header.Upstream]
		answer := s.readEligibility(q.group, q.upstream, a.header.Token, a.header.MaxAge)
		_, reason := s.reasonToRefuse(q, a)
		switch {
		case reason == "" && answer == eligible:
			s.enqueue(q, a)
		case reason == "" && answer == pending && s.now < a.pendingUntil:
			c.pendingReads = append(c.pendingReads, a)
		default:
			s.reject(a, currantloom.SQLStateCannotConnectNow, "replica does not cover the read in time", 0)
		}
	}
}

func (s *State) runEffect(g *group, a *attempt) Run {
	h := a.header
	read := h.Kind == currantloom.ReadRequest
	a.confirmsTerm = a.needsTermConfirmation(g)
	return Run{
		Key: h.Key, Upstream: h.Upstream, ReadOnly: read, ConfirmTerm: a.confirmsTerm,
		WithholdCompletion: !read || a.confirmsTerm, Timeout: a.deadline - s.now, StallTimeout: a.stallTimeout(s.now),
	}
}

// stallTimeout returns the longest time without a byte from the server. Work whose run time is unknown may be long in spite
// of its class, so it gets three quarters of its time: 7.5 s of the default deadline.
func (a *attempt) stallTimeout(now time.Duration) time.Duration {
	switch {
	case a.class == currantloom.LongRequest:
		return 0
	case a.classKnown:
		return shortStallTimeout
	default:
		return max(shortStallTimeout, (a.deadline-now)*3/4)
	}
}

// needsTermConfirmation reports whether the server has to prove that it is still the primary after it has run the work: for a
// read, whether or not it accepts an age, since a primary that was replaced may be of any age, and for the end of a
// transaction, which may have read only.
func (a *attempt) needsTermConfirmation(g *group) bool {
	if g.primary != a.header.Upstream {
		return false
	}
	if a.inTransaction {
		return commitsTransaction(a.header.Statement)
	}
	return a.header.Kind == currantloom.ReadRequest
}

// commitsTransaction reports whether the statement commits a transaction.
func commitsTransaction(statement string) bool {
	fields := strings.Fields(strings.TrimRight(statement, "; \t\r\n"))
	return len(fields) > 0 && (strings.EqualFold(fields[0], "commit") || strings.EqualFold(fields[0], "end"))
}

func (s *State) runFinished(e RunFinished) {
	a, ok := s.owner.attempts[e.Key]
	if !ok || a.state < attemptRunning {
		return
	}
	delete(s.owner.attempts, e.Key)
	q := s.owner.queues[a.header.Upstream]
	q.releaseSlot(a)
	s.settleRun(q, a, e.Result)
	s.observePosition(q, e.Result)
	s.recordFailure(q, e.Result)
	if a.state != attemptRejected {
		s.emit(Complete{Key: e.Key, Trailer: s.completionTrailer(q, a, e.Result)})
	}
	s.admit(q.group, q)
}

// settleRun settles what the work cost and what becomes of its connection.
func (s *State) settleRun(q *queue, a *attempt, r currantloom.PostgresResult) {
	if a.state == attemptRunning && r.Verdict != currantloom.NotRun {
		s.observeRunTime(q, a)
	}
	open := r.TransactionStatus == currantloom.TransactionOpen || r.TransactionStatus == currantloom.TransactionFailed
	if a.inTransaction {
		s.transactionStatementEnded(a.transaction, r.TransactionStatus)
		return
	}
	if a.header.OpensTransaction {
		q.openingTransactions--
	}
	if open {
		s.openTransaction(q, a, r.TransactionStatus)
		return
	}
	q.releaseConnection(a.header.Organisation)
}

// observeRunTime records the run time of work that the server has answered.
func (s *State) observeRunTime(q *queue, a *attempt) {
	took := s.now - a.startedAt
	s.owner.runTimes.observe(a.statement, took)
	if a.class == currantloom.ShortRequest && a.result.Term > 0 && (a.result.Wrote || a.confirmsTerm) {
		q.observeConfirmedRunTime(took)
	}
	q.fairQueue(a.class).adjustDeficit(a.header.Organisation, took-a.cost)
}

// completionTrailer returns the trailer of work that ran. A write that was not acknowledged must not be reported as run.
func (s *State) completionTrailer(q *queue, a *attempt, r currantloom.PostgresResult) currantloom.ResponseTrailer {
	t := currantloom.ResponseTrailer{
		Verdict: r.Verdict, SQLState: r.Code, ResponseStarted: r.ResponseStarted, TransactionStatus: r.TransactionStatus,
		ServerAnswered: r.Err == nil,
	}
	if r.Err != nil {
		t.Reason = r.Err.Error()
	}
	if r.Wrote && a.state != attemptAcknowledged {
		t.Verdict, t.SQLState, t.ServerAnswered = currantloom.MayHaveRun, currantloom.SQLStateOutcomeUnknown, false
		t.Reason = "not acknowledged"
	}
	if a.positionConfirmed && t.ServerAnswered {
		t.Token = a.header.Token.Advance(a.header.Database, a.result.Position)
	}
	return s.addGroupState(q.group, t)
}

// attemptToCancel returns the work that a cancel is for; without an attempt it is the latest one.
func (s *State) attemptToCancel(key currantloom.RequestKey) (*attempt, bool) {
	found, ok := s.owner.attempts[key]
	if ok || key.Attempt != 0 {
		return found, ok
	}
	for k, a := range s.owner.attempts {
		if k.Request() == key && (found == nil || k.Attempt > found.header.Key.Attempt) {
			found = a
		}
	}
	return found, found != nil
}

func (s *State) attemptCancelled(e AttemptCancelled) {
	a, ok := s.attemptToCancel(e.Key)
	if !ok || a.cancelled {
		return
	}
	switch a.state {
	case attemptPending, attemptQueued:
		s.reject(a, currantloom.SQLStateQueryCanceled, "cancelled before it ran", 0)
	case attemptRunning:
		a.cancelled = true
		s.emit(CancelRun{Key: a.header.Key})
	default:
		// The server has answered; there is nothing left to cancel.
	}
}

// reject ends work that has not started.
func (s *State) reject(a *attempt, code currantloom.SQLState, reason string, retryAfter time.Duration) {
	delete(s.owner.attempts, a.header.Key)
	if a.state == attemptQueued {
		s.owner.queues[a.header.Upstream].fairQueue(a.class).remove(a)
	}
	if a.inTransaction {
		s.transactionStatementEnded(a.transaction, 0)
	}
	s.emitReject(a, currantloom.NotRun, code, reason, retryAfter)
}

func (s *State) emitReject(
	a *attempt, verdict currantloom.Verdict, code currantloom.SQLState, reason string, retryAfter time.Duration,
) {
	h := a.header
	s.emit(Decision{
		Event: "reject", Key: h.Key, Organisation: h.Organisation, Upstream: h.Upstream, VM: s.self, Reason: reason,
	})
	t := currantloom.ResponseTrailer{Verdict: verdict, SQLState: code, Reason: reason, RetryAfter: retryAfter}
	if a.inTransaction && s.owner.transactions.isOpen(a.transaction) {
		t.TransactionStatus = s.owner.transactions.statusOf(a.transaction)
	}
	s.emit(Reject{Key: h.Key, Trailer: s.addGroupState(s.groupsByUpstream[h.Upstream], t)})
}

// addGroupState adds what this node knows of the group.
func (s *State) addGroupState(g *group, t currantloom.ResponseTrailer) currantloom.ResponseTrailer {
	if g != nil {
		t.Term, t.Primary = g.term, g.primary
	}
	return t
}

// tickOwner acts on the passing of time.
func (s *State) tickOwner() {
	s.tickConfirming()
	s.tickTransactions()
	s.recheckPendingReads()
	for _, q := range s.owner.orderedQueues {
		s.tickQueue(q)
	}
}

// ownerIdle reports whether no work and no transaction is left.
func (s *State) ownerIdle() bool {
	return len(s.owner.attempts) == 0 && len(s.owner.transactions.open) == 0
}
