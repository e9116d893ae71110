package loomcore

import (
	"strings"
	"time"

	"currantloom.example/currantloom"
)

// replicaWait is how long a read waits for a replica to become eligible before it goes to the primary.
const replicaWait = 50 * time.Millisecond

// runMargin times the expected run time is kept free before the deadline: 5% of exponentially distributed run times
// exceed three times their mean, and work that ends after its deadline takes capacity from work that would not.
const runMargin = 3

// progressLimit is the longest time without a byte from a server that runs short work, after which its connection
// counts as silent. It exceeds the second for which a server may delay the report of a commit, and leaves half of the
// default deadline of 10 s for another attempt.
const progressLimit = 5 * time.Second

// carrier holds the work at the servers that this node carries.
type carrier struct {
	works   map[currantloom.RequestKey]*work
	queues  map[currantloom.UpstreamName]*queue
	ordered []*queue
	// pending holds reads that wait for a replica to become eligible, in the order of arrival.
	pending []*work
	// confirming holds work that waits for replicas to confirm its mark, in the order of the server's answers.
	confirming   []*work
	transactions transactions
	history      history
	commitWait   commitWait
}

type workState uint8

const (
	// workPending: a read waits for a report that makes the replica eligible.
	workPending workState = iota
	// workWaiting: in the queue.
	workWaiting
	// workRunning: the server runs it.
	workRunning
	// workConfirming: the server answered; replicas are asked to confirm the mark.
	workConfirming
	// workAcknowledged: the withheld completion passed; the run has not ended yet.
	workAcknowledged
	// workRejected: the withheld completion was rejected; the run has not ended yet.
	workRejected
)

// work is one request at its carrier.
type work struct {
	header   currantloom.RequestHeader
	state    workState
	deadline time.Duration
	// startBy is the latest time at which the work can start and still end before its deadline.
	startBy time.Duration
	pinned  bool
	// running says that the work occupies a slot.
	running     bool
	transaction currantloom.RequestKey
	class       currantloom.RequestClass
	// expected says that a rule or the history gave the class.
	expected  bool
	statement statementKey
	// cost is the expected run time.
	cost      time.Duration
	startedAt time.Duration
	// term is the newest known term when the work started. A server that reports another one for a write may have
	// been replaced in between, and its position may then be that of an entry of the new primary.
	term currantloom.Term
	// confirms says that the server was asked to prove its term.
	confirms     bool
	pendingUntil time.Duration
	cancelled    bool
	answer       currantloom.PostgresResult
	confirmation confirmation
	// proven says that a majority holds the mark of the answer at the newest known term.
	proven bool
}

// writes reports whether the work may write.
func (w *work) writes() bool { return w.header.Kind == currantloom.WriteRequest }

// acceptsAge reports whether the work is a read that a replica may serve.
func (w *work) acceptsAge() bool {
	return w.header.Kind == currantloom.ReadRequest && w.header.Token.Known() && w.header.MaxAge > 0
}

func (s *State) workArrived(e AttemptArrived) {
	c := &s.carrier
	if c.works == nil {
		c.works = make(map[currantloom.RequestKey]*work)
		c.queues = make(map[currantloom.UpstreamName]*queue)
	}
	w := &work{
		header: e.Header, deadline: s.now + e.Header.Remaining, pinned: e.InTransaction, transaction: e.Transaction,
	}
	if _, ok := c.works[e.Header.Key]; ok {
		s.emitReject(w, currantloom.NotRun, currantloom.SQLStateCannotConnectNow, "an earlier attempt has not ended", 0)
		return
	}
	c.works[e.Header.Key] = w
	g, ok := s.servers[e.Header.Upstream]
	if !ok {
		s.reject(w, currantloom.SQLStateCannotConnectNow, "unknown server", 0)
		return
	}
	s.use(g)
	s.classify(w)
	w.startBy = w.deadline - min(runMargin*w.cost, e.Header.Remaining/2)
	q := s.queueOf(g, e.Header.Upstream)
	switch {
	case e.Header.Remaining <= 0:
		s.refuseLate(q, w)
	case e.InTransaction:
		s.continueTransaction(q, w)
	case s.stop.requested:
		s.reject(w, currantloom.SQLStateShuttingDown, "carrier is shutting down", 0)
	default:
		s.placeWork(q, w)
	}
}

// placeWork puts work outside a transaction into the queue, once the server may serve it.
func (s *State) placeWork(q *queue, w *work) {
	code, reason := s.obstacle(q, w)
	if reason != "" {
		// The entry node may know a newer primary than this node; the next attempt shall find it known.
		s.pollNow(q.group.view.members[q.server])
		s.reject(w, code, reason, 0)
		return
	}
	if !w.acceptsAge() || q.group.primary == q.server {
		s.enqueue(q, w)
		return
	}
	switch s.readEligibility(q.group, q.server, w.header.Token, w.header.MaxAge) {
	case eligible:
		s.enqueue(q, w)
	case pending:
		w.state = workPending
		w.pendingUntil = min(s.now+replicaWait, w.deadline)
		s.carrier.pending = append(s.carrier.pending, w)
	default:
		s.reject(w, currantloom.SQLStateCannotConnectNow, "replica does not cover the read", 0)
	}
}

// obstacle returns why the server gets no new work of this kind; the reason is empty if it does. A leaving primary
// still gets work until the planned change holds it, or until the time to drain it is over.
func (s *State) obstacle(q *queue, w *work) (code currantloom.SQLState, reason string) {
	g := q.group
	isPrimary := g.primary == q.server
	switch {
	case s.isLeaving(q.server) && (!isPrimary || s.drainExpired(g)):
		return currantloom.SQLStateCannotConnectNow, "server is leaving"
	case !isPrimary && !w.acceptsAge():
		return currantloom.SQLStateCannotConnectNow, "server is not the primary"
	case !g.unreachable(q.server):
		return "", ""
	case isPrimary && !s.primaryAlive(g):
		return currantloom.SQLStateCannotConnectNow, "no primary"
	default:
		return currantloom.SQLStateConnectionFailure, "carrier cannot reach the server"
	}
}

// stillEligible repeats the decision on placement right before the work starts, since it may have waited for long. It
// rejects work that the server may no longer serve.
func (s *State) stillEligible(q *queue, w *work) bool {
	code, reason := s.obstacle(q, w)
	if reason == "" && w.acceptsAge() && q.group.primary != q.server &&
		s.readEligibility(q.group, q.server, w.header.Token, w.header.MaxAge) != eligible {
		code, reason = currantloom.SQLStateCannotConnectNow, "replica no longer covers the read"
	}
	if reason != "" {
		s.reject(w, code, reason, 0)
	}
	return reason == ""
}

// reviewQueue rejects waiting work that the server may no longer serve, because the primary changed or a server is
// leaving, and starts what can start.
func (s *State) reviewQueue(q *queue) {
	for _, sh := range []*share{&q.long, &q.short} {
		sh.each(func(w *work) {
			if code, reason := s.obstacle(q, w); reason != "" && !w.pinned {
				s.reject(w, code, reason, 0)
			}
		})
	}
	s.admit(q.group, q)
}

// reviewCarrier applies what an event of another part changed for waiting work.
func (s *State) reviewCarrier() {
	s.reviewPending()
	for _, q := range s.carrier.ordered {
		s.reviewQueue(q)
	}
}

// reviewPending decides again on reads that wait for a replica.
func (s *State) reviewPending() {
	c := &s.carrier
	waiting := c.pending
	c.pending = nil
	for _, w := range waiting {
		if w.state != workPending || c.works[w.header.Key] != w {
			continue
		}
		q := c.queues[w.header.Upstream]
		answer := s.readEligibility(q.group, q.server, w.header.Token, w.header.MaxAge)
		_, reason := s.obstacle(q, w)
		switch {
		case reason == "" && answer == eligible:
			s.enqueue(q, w)
		case reason == "" && answer == pending && s.now < w.pendingUntil:
			c.pending = append(c.pending, w)
		default:
			s.reject(w, currantloom.SQLStateCannotConnectNow, "replica does not cover the read in time", 0)
		}
	}
}

func (s *State) runOf(g *group, w *work) Run {
	h := w.header
	read := h.Kind == currantloom.ReadRequest
	w.confirms = w.confirmsTerm(g)
	return Run{
		Key: h.Key, Upstream: h.Upstream, ReadOnly: read, ConfirmTerm: w.confirms,
		WithholdCompletion: !read || w.confirms, Timeout: w.deadline - s.now, StallTimeout: w.progress(s.now),
	}
}

// progress returns the longest time without a byte from the server. Work whose run time is unknown may be long in spite
// of its class, so it gets three quarters of its time: 7.5 s of the default deadline.
func (w *work) progress(now time.Duration) time.Duration {
	switch {
	case w.class == currantloom.LongRequest:
		return 0
	case w.expected:
		return progressLimit
	default:
		return max(progressLimit, (w.deadline-now)*3/4)
	}
}

// confirmsTerm reports whether the server has to prove that it is still the primary after it has run the work: for a
// read, whether or not it accepts an age, since a primary that was replaced may be of any age, and for the end of a
// transaction, which may have read only.
func (w *work) confirmsTerm(g *group) bool {
	if g.primary != w.header.Upstream {
		return false
	}
	if w.pinned {
		return endsTransaction(w.header.Statement)
	}
	return w.header.Kind == currantloom.ReadRequest
}

// endsTransaction reports whether the statement commits a transaction.
func endsTransaction(statement string) bool {
	fields := strings.Fields(strings.TrimRight(statement, "; \t\r\n"))
	return len(fields) > 0 && (strings.EqualFold(fields[0], "commit") || strings.EqualFold(fields[0], "end"))
}

func (s *State) workFinished(e RunFinished) {
	w, ok := s.carrier.works[e.Key]
	if !ok || w.state < workRunning {
		return
	}
	delete(s.carrier.works, e.Key)
	q := s.carrier.queues[w.header.Upstream]
	q.releaseSlot(w)
	s.endRun(q, w, e.Result)
	s.observeMark(q, e.Result)
	s.noteFailure(q, e.Result)
	if w.state != workRejected {
		s.emit(Complete{Key: e.Key, Trailer: s.completion(q, w, e.Result)})
	}
	s.admit(q.group, q)
}

// endRun settles what the work cost and what becomes of its connection.
func (s *State) endRun(q *queue, w *work, r currantloom.PostgresResult) {
	if w.state == workRunning && r.Verdict != currantloom.NotRun {
		s.observe(q, w)
	}
	open := r.TransactionStatus == currantloom.TransactionOpen || r.TransactionStatus == currantloom.TransactionFailed
	if w.pinned {
		s.transactionIdle(w.transaction, r.TransactionStatus)
		return
	}
	if w.header.OpensTransaction {
		q.beginning--
	}
	if open {
		s.openTransaction(q, w, r.TransactionStatus)
		return
	}
	q.releaseConnection(w.header.Organisation)
}

// observe records the run time of work that the server has answered.
func (s *State) observe(q *queue, w *work) {
	took := s.now - w.startedAt
	s.carrier.history.observe(w.statement, took)
	if w.class == currantloom.ShortRequest && w.answer.Term > 0 && (w.answer.Wrote || w.confirms) {
		q.observeConfirmed(took)
	}
	q.share(w.class).settle(w.header.Organisation, took-w.cost)
}

// completion returns the trailer of work that ran. A write that was not acknowledged must not be reported as run.
func (s *State) completion(q *queue, w *work, r currantloom.PostgresResult) currantloom.ResponseTrailer {
	t := currantloom.ResponseTrailer{
		Verdict: r.Verdict, SQLState: r.Code, ResponseStarted: r.ResponseStarted, TransactionStatus: r.TransactionStatus,
		ServerAnswered: r.Err == nil,
	}
	if r.Err != nil {
		t.Reason = r.Err.Error()
	}
	if r.Wrote && w.state != workAcknowledged {
		t.Verdict, t.SQLState, t.ServerAnswered = currantloom.MayHaveRun, currantloom.SQLStateOutcomeUnknown, false
		t.Reason = "not acknowledged"
	}
	if w.proven && t.ServerAnswered {
		t.Token = w.header.Token.Advance(w.header.Database, w.answer.Position)
	}
	return s.trailer(q.group, t)
}

// cancelled returns the work that a cancel is for; without an attempt it is the latest one.
func (s *State) cancelled(key currantloom.RequestKey) (*work, bool) {
	found, ok := s.carrier.works[key]
	if ok || key.Attempt != 0 {
		return found, ok
	}
	for k, w := range s.carrier.works {
		if k.Request() == key && (found == nil || k.Attempt > found.header.Key.Attempt) {
			found = w
		}
	}
	return found, found != nil
}

func (s *State) workCancelled(e AttemptCancelled) {
	w, ok := s.cancelled(e.Key)
	if !ok || w.cancelled {
		return
	}
	switch w.state {
	case workPending, workWaiting:
		s.reject(w, currantloom.SQLStateQueryCanceled, "cancelled before it ran", 0)
	case workRunning:
		w.cancelled = true
		s.emit(CancelRun{Key: w.header.Key})
	default:
		// The server has answered; there is nothing left to cancel.
	}
}

// reject ends work that has not started.
func (s *State) reject(w *work, code currantloom.SQLState, reason string, retryAfter time.Duration) {
	delete(s.carrier.works, w.header.Key)
	if w.state == workWaiting {
		s.carrier.queues[w.header.Upstream].share(w.class).remove(w)
	}
	if w.pinned {
		s.transactionIdle(w.transaction, 0)
	}
	s.emitReject(w, currantloom.NotRun, code, reason, retryAfter)
}

func (s *State) emitReject(
	w *work, verdict currantloom.Verdict, code currantloom.SQLState, reason string, retryAfter time.Duration,
) {
	h := w.header
	s.emit(Decision{
		Event: "reject", Key: h.Key, Organisation: h.Organisation, Upstream: h.Upstream, VM: s.self, Reason: reason,
	})
	t := currantloom.ResponseTrailer{Verdict: verdict, SQLState: code, Reason: reason, RetryAfter: retryAfter}
	if w.pinned && s.carrier.transactions.holds(w.transaction) {
		t.TransactionStatus = s.carrier.transactions.statusOf(w.transaction)
	}
	s.emit(Reject{Key: h.Key, Trailer: s.trailer(s.servers[h.Upstream], t)})
}

// trailer adds what this node knows of the group.
func (s *State) trailer(g *group, t currantloom.ResponseTrailer) currantloom.ResponseTrailer {
	if g != nil {
		t.Term, t.Primary = g.term, g.primary
	}
	return t
}

// tickCarrier acts on the passing of time.
func (s *State) tickCarrier() {
	s.tickConfirming()
	s.tickTransactions()
	s.reviewPending()
	for _, q := range s.carrier.ordered {
		s.tickQueue(q)
	}
}

// carrierIdle reports whether no work and no transaction is left.
func (s *State) carrierIdle() bool {
	return len(s.carrier.works) == 0 && len(s.carrier.transactions.open) == 0
}
