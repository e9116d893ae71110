package loomcore

import (
	"strings"
	"time"

	"currantloom.example/currantloom"
)

// replicaEligibilityTimeout is how long a read waits for a replica to become eligible. Then it is refused, and the
// entry node sends it to the primary.
const replicaEligibilityTimeout = 50 * time.Millisecond

// runTimeMargin is the time reserved for a run before the deadline, as a multiple of the expected run time. 5% of
// exponentially distributed run times exceed three times their mean. An attempt that ends after its deadline takes
// capacity from attempts that would end in time.
const runTimeMargin = 3

// shortStallTimeout is the longest time without a byte from an upstream that runs a short request, after which the
// connection is given up. It exceeds the second for which an upstream may delay the report of a commit, and leaves half
// of the default deadline of 10 s for another attempt.
const shortStallTimeout = 5 * time.Second

// ownerState holds the attempts at the upstreams that this node owns.
type ownerState struct {
	attempts      map[currantloom.RequestKey]*attempt
	queues        map[currantloom.UpstreamName]*queue
	orderedQueues []*queue
	// pendingReads holds the reads that wait for a replica to become eligible, in the order of arrival.
	pendingReads []*attempt
	// confirming holds the attempts that wait for replicas to confirm their log position, in the order of their results.
	confirming   []*attempt
	transactions transactions
	runTimes     runTimeHistory
	commitWait   commitWaitEstimate
}

type attemptState uint8

const (
	// attemptPending: a read waits for a status that makes the replica eligible.
	attemptPending attemptState = iota
	// attemptQueued: the attempt waits for a slot.
	attemptQueued
	// attemptRunning: the upstream runs it.
	attemptRunning
	// attemptConfirming: the upstream returned a result; replicas are asked to confirm the log position.
	attemptConfirming
	// attemptAcknowledged: the withheld completion was forwarded; the run has not ended yet.
	attemptAcknowledged
	// attemptRejected: the withheld completion was rejected; the run has not ended yet.
	attemptRejected
)

// attempt is one attempt of a request at the owner of the upstream, or one statement of an open transaction.
type attempt struct {
	header   currantloom.RequestHeader
	state    attemptState
	deadline time.Duration
	// latestStart is the latest time at which the attempt can start and is expected to end before its deadline.
	latestStart   time.Duration
	inTransaction bool
	// holdsSlot says that the attempt occupies a slot.
	holdsSlot   bool
	transaction currantloom.RequestKey
	class       currantloom.RequestClass
	// classKnown says that the class comes from a rule or from the run times of the statement.
	classKnown bool
	statement  statementKey
	// cost is the expected run time.
	cost      time.Duration
	startedAt time.Duration
	// term is the newest known term when the attempt started. An upstream that reports another term for a write may have
	// been replaced during the run, and its position may then be that of an entry of the new primary.
	term currantloom.Term
	// confirmsTerm says that the upstream was asked to prove its term.
	confirmsTerm bool
	pendingUntil time.Duration
	cancelled    bool
	// atReplacedPrimary says that the run was cancelled because its upstream is no longer the primary.
	atReplacedPrimary bool
	result            currantloom.PostgresResult
	confirmation      confirmation
	// positionConfirmed says that a majority holds the log position of the result in the newest known term.
	positionConfirmed bool
}

// writes reports whether the attempt may write.
func (a *attempt) writes() bool { return a.header.Kind == currantloom.WriteRequest }

// mayRunAtReplica reports whether the attempt is a read that a replica may serve.
func (a *attempt) mayRunAtReplica() bool {
	return a.header.Kind == currantloom.ReadRequest && a.header.Token.Known() && a.header.MaxAge > 0
}

func (s *State) attemptArrived(e AttemptArrived) {
	o := &s.owner
	if o.attempts == nil {
		o.attempts = make(map[currantloom.RequestKey]*attempt)
		o.queues = make(map[currantloom.UpstreamName]*queue)
	}
	a := &attempt{
		header: e.Header, deadline: s.now + e.Header.Remaining, inTransaction: e.InTransaction, transaction: e.Transaction,
	}
	if _, ok := o.attempts[e.Header.Key]; ok {
		s.emitReject(a, currantloom.NotRun, currantloom.SQLStateCannotConnectNow, "an earlier attempt has not ended", 0)
		return
	}
	o.attempts[e.Header.Key] = a
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

// placeAttempt puts an attempt outside a transaction into the queue, once the upstream may serve it.
func (s *State) placeAttempt(q *queue, a *attempt) {
	code, reason := s.reasonToRefuse(q, a)
	if reason != "" {
		// The entry node may know a newer primary than this node. The poll lets the next attempt find it known.
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

// reasonToRefuse returns why the upstream must not run the attempt; the reason is empty if it may. A leaving primary
// still runs new attempts until the planned change blocks them, or until maxLeavingServiceTime has passed.
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

// recheckBeforeStart repeats the check of placeAttempt right before the start, since the attempt may have waited for a
// long time. It rejects an attempt that the upstream may no longer serve.
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

// recheckQueue rejects queued attempts that the upstream may no longer serve, because the primary changed or the
// upstream is leaving, and starts those that can start.
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

// recheckAttempts decides again on all waiting attempts.
func (s *State) recheckAttempts() {
	s.recheckPendingReads()
	for _, q := range s.owner.orderedQueues {
		s.recheckQueue(q)
	}
}

// recheckPendingReads decides again on the reads that wait for a replica.
func (s *State) recheckPendingReads() {
	o := &s.owner
	waiting := o.pendingReads
	o.pendingReads = nil
	for _, a := range waiting {
		if a.state != attemptPending || o.attempts[a.header.Key] != a {
			continue
		}
		q := o.queues[a.header.Upstream]
		answer := s.readEligibility(q.group, q.upstream, a.header.Token, a.header.MaxAge)
		_, reason := s.reasonToRefuse(q, a)
		switch {
		case reason == "" && answer == eligible:
			s.enqueue(q, a)
		case reason == "" && answer == pending && s.now < a.pendingUntil:
			o.pendingReads = append(o.pendingReads, a)
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

// stallTimeout returns the longest time without a byte from the upstream; zero means no limit. A request whose run time
// is unknown may be long in spite of its class, so it gets three quarters of its time: 7.5 s of the default deadline.
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

// needsTermConfirmation reports whether the upstream has to prove after the run that it is still the primary. That is
// so for a read, even one that accepts an age, since the data of a replaced primary may be of any age, and for the
// commit of a transaction, which may only have read.
func (a *attempt) needsTermConfirmation(g *group) bool {
	if g.primary != a.header.Upstream {
		return false
	}
	if a.inTransaction {
		return commitsTransaction(a.header.Statement)
	}
	return a.header.Kind == currantloom.ReadRequest
}

// commitsTransaction reports whether the statement is a commit.
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

// settleRun records the run time, and releases the connection or keeps it for an open transaction.
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

// observeRunTime records the run time of an attempt that has a result.
func (s *State) observeRunTime(q *queue, a *attempt) {
	took := s.now - a.startedAt
	s.owner.runTimes.observe(a.statement, took)
	if a.class == currantloom.ShortRequest && a.result.Term > 0 && (a.result.Wrote || a.confirmsTerm) {
		q.observeConfirmedRunTime(took)
	}
	q.fairQueue(a.class).adjustDeficit(a.header.Organisation, took-a.cost)
}

// completionTrailer returns the trailer of an attempt that ran. A write that was not acknowledged is reported as
// MayHaveRun.
func (s *State) completionTrailer(q *queue, a *attempt, r currantloom.PostgresResult) currantloom.ResponseTrailer {
	t := currantloom.ResponseTrailer{
		Verdict: r.Verdict, SQLState: r.Code, ResponseStarted: r.ResponseStarted, TransactionStatus: r.TransactionStatus,
		UpstreamAnswered: r.Err == nil,
	}
	if r.Err != nil {
		t.Reason = r.Err.Error()
	}
	if r.Verdict == currantloom.NotRun && r.Code == currantloom.SQLStateQueryCanceled && a.atReplacedPrimary {
		// The client has not cancelled the request, so the entry node tries it at the new primary.
		t.SQLState, t.Reason = currantloom.SQLStateCannotConnectNow, "server is not the primary"
	}
	if r.Wrote && a.state != attemptAcknowledged {
		t.Verdict, t.SQLState, t.UpstreamAnswered = currantloom.MayHaveRun, currantloom.SQLStateOutcomeUnknown, false
		t.Reason = "not acknowledged"
	}
	if a.positionConfirmed && t.UpstreamAnswered {
		t.Token = a.header.Token.Advance(a.header.Database, a.result.Position)
	}
	return s.addGroupState(q.group, t)
}

// attemptToCancel returns the attempt that a cancellation is for. If the key has no attempt number, it is the latest
// attempt of the request.
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
		// The upstream has returned a result; there is nothing left to cancel.
	}
}

// reject ends an attempt that has not started.
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

// addGroupState adds the term and the primary that this node knows of.
func (s *State) addGroupState(g *group, t currantloom.ResponseTrailer) currantloom.ResponseTrailer {
	if g != nil {
		t.Term, t.Primary = g.term, g.primary
	}
	return t
}

// tickOwner lets attempts, transactions and queues act on the passing of time.
func (s *State) tickOwner() {
	s.tickConfirming()
	s.tickTransactions()
	s.recheckPendingReads()
	for _, q := range s.owner.orderedQueues {
		s.tickQueue(q)
	}
}

// ownerIdle reports whether no attempt and no open transaction is left.
func (s *State) ownerIdle() bool {
	return len(s.owner.attempts) == 0 && len(s.owner.transactions.open) == 0
}
