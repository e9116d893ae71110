package loomfleet

import (
	"cmp"
	"slices"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfair"
)

const (
	// maxRequestWait is how long a request waits for an upstream, queued or parked: a change of primary takes 2 to 3 s.
	maxRequestWait = 3500 * time.Millisecond
	// maxOutageWait is how long after the loss of a primary requests are still parked to wait for the next one.
	maxOutageWait = 5 * time.Second
	// parkedRetryInterval is how often a parked request is retried if the primary does not change.
	parkedRetryInterval = 60 * time.Millisecond
	// maxFastAttempts is the number of attempts without a pause between them.
	maxFastAttempts = 4
	// maxLostReads is the number of connections that may end during the attempts of a read. maxLostOpenings is that of a
	// write before it was sent and of the first statement of a transaction, whose clients can repeat them. A statement
	// that upstreams answer by ending the connection would otherwise end connections until its deadline.
	maxLostReads    = 3
	maxLostOpenings = 2
	// defaultTimeout bounds a statement whose route has no timeout.
	defaultTimeout = 2 * time.Second
)

// purpose is the role of a request's statement.
type purpose uint8

const (
	purposeRead purpose = iota
	purposeWrite
	// purposeOpenTransaction is the first statement of a transaction, purposeInTransaction a later one.
	purposeOpenTransaction
	purposeInTransaction
	purposeCommit
	// purposeEmptyCommit commits a transaction that has run no statement.
	purposeEmptyCommit
)

// request is a statement that needs an upstream.
type request struct {
	session   *session
	statement currantloom.Statement
	route     currantloom.Route
	// organisation is the organisation that the statement runs for; empty for none.
	organisation currantloom.OrganisationName
	group        *group
	purpose      purpose
	// hasWritten says that the request writes, or that its transaction has sent a write.
	hasWritten bool
	arrivedAt  time.Duration
	attempt    int
	// lostConns counts the attempts whose connection ended.
	lostConns int
	calls     []*call
	// avoidUntil holds the upstreams that are avoided after a failed attempt, and until when.
	avoidUntil map[currantloom.UpstreamName]time.Duration
	// parked says that the request waits for an upstream, until retryAt or until the group's epoch changes.
	parked bool
	epoch  uint64
	// sentEpoch is the group's epoch at the last attempt.
	sentEpoch uint64
	// held is the part of the budget for unanswered requests that it holds.
	held        int
	retryAt     time.Duration
	hedged      bool
	tokens      tokens
	lastFailure currantloom.CallFailureReason
	finished    bool
	// withdrawnBy says why a configuration withdrew the request; empty if none did. A withdrawn request makes no further
	// attempt.
	withdrawnBy string
}

// requests holds the unanswered requests and calls.
type requests struct {
	parked      []*request
	calls       map[currantloom.RequestKey]*call
	hedgeCredit int
	// retryCredits bounds the repeated attempts of each organisation, memory the size of its unanswered requests.
	retryCredits map[currantloom.OrganisationName]*retryCredit
	memory       *loomfair.Budget
	refusals     refusalStats
}

func (r *requests) init() {
	r.calls = make(map[currantloom.RequestKey]*call)
	r.retryCredits = make(map[currantloom.OrganisationName]*retryCredit)
	r.memory = loomfair.NewBudget(maxQueuedSize)
}

// startRequest creates a request for a statement and dispatches it.
func (s *State) startRequest(
	sn *session, st currantloom.Statement, route currantloom.Route, organisation currantloom.OrganisationName, p purpose,
) {
	r := &request{
		session: sn, statement: st, route: route, organisation: organisation, group: s.groupOf(route.Service), purpose: p,
		hasWritten: p == purposeWrite || sn.transaction != nil && sn.transaction.hasWritten,
		arrivedAt:  s.now,
		avoidUntil: make(map[currantloom.UpstreamName]time.Duration),
	}
	if r.route.Timeout <= 0 {
		r.route.Timeout = defaultTimeout
	}
	sn.request = r
	r.group.usedAt = s.now
	s.requests.hedgeCredit = min(s.requests.hedgeCredit+hedgeShare, maxHedgeCredit)
	s.earnRetry(organisation)
	if !s.holdRequestMemory(r) {
		s.requests.refusals.record(organisation, 0, "memory")
		s.giveUp(r, 0)
		return
	}
	s.startOperation(r)
}

// dispatch sends the next attempt, or parks the request if there is no upstream for it.
func (s *State) dispatch(r *request) {
	switch {
	case r.finished:
		return
	case r.withdrawnBy != "":
		s.finishWithdrawn(r)
		return
	}
	if r.purpose == purposeInTransaction || r.purpose == purposeCommit {
		t := r.session.transaction
		s.sendAttempt(r, target{upstream: t.upstream, vm: t.vm, mode: currantloom.CallInTransaction})
		return
	}
	t, ok := s.selectTarget(r)
	if !ok || r.attempt >= maxFastAttempts {
		s.park(r)
		return
	}
	if wait, refused := t.upstream.reportedWait(s, r); refused {
		s.refuseForOwner(r, t, wait)
		return
	}
	if !s.takeRetry(r) {
		s.park(r)
		return
	}
	s.sendAttempt(r, t)
}

// sendAttempt sends a call for the request.
func (s *State) sendAttempt(r *request, t target) {
	s.chargeAttempt(r)
	r.attempt++
	r.sentEpoch = r.group.epoch
	command := r.command()
	timeout := r.route.Timeout
	wait := max(0, r.giveUpAt()-s.now)
	m := currantloom.Call{
		Key: s.nextKey(), Service: r.group.name, Upstream: t.upstream.Name, Mode: t.mode,
		Organisation: r.organisation, Command: command,
		Settings: r.session.sortedSettings(), Timeout: timeout, QueueTimeout: wait,
		LatencyBudget:          max(0, r.arrivedAt+r.route.LatencyTarget-s.now),
		Priority:               r.route.Priority,
		IdleTransactionTimeout: s.idleTransactionTimeout(), MinPosition: t.minPosition, MaxAge: t.maxAge,
		AgePosition: t.agePosition,
	}
	if command.Kind == currantloom.CommandExecute {
		m.Prepared = r.session.prepared[r.statement.Name]
	}
	if t.mode == currantloom.CallInTransaction {
		m.Transaction = r.session.transaction.key
	}
	if t.probe {
		t.upstream.catchUpProbedAt = s.now
	}
	c := s.sendCall(t.upstream, t.vm, m)
	c.request = r
	r.calls = append(r.calls, c)
}

// command returns the command for the upstream. The owner of the upstream names the prepared statement.
func (r *request) command() currantloom.Command {
	if r.statement.Kind != currantloom.StatementExecute {
		return currantloom.Command{
			Kind: currantloom.CommandStatement, ID: r.statement.ID, Text: r.statement.Text,
			Writes:  r.statement.Kind == currantloom.StatementWrite,
			Commits: r.statement.Kind == currantloom.StatementCommit,
		}
	}
	return currantloom.Command{
		Kind: currantloom.CommandExecute, ID: r.statement.ID, Argument: r.statement.Parameters,
		Writes: r.session.prepared[r.statement.Name].Writes,
	}
}

// needsPrimary reports whether only the primary may run the request.
func (r *request) needsPrimary() bool {
	switch r.purpose {
	case purposeWrite:
		return true
	case purposeRead:
		return r.route.ReadPolicy == currantloom.ReadLatest
	default:
		t := r.session.transaction
		return t == nil || !t.readOnly || r.route.ReadPolicy == currantloom.ReadLatest
	}
}

// finish answers the client and cancels the request's other calls.
func (s *State) finish(r *request, reply currantloom.Reply, c *call) {
	r.finished = true
	s.releaseTokens(r)
	s.releaseMemory(r)
	sn := r.session
	sn.request, sn.lastActivityAt = nil, s.now
	for _, other := range r.calls {
		s.cancelCall(other)
	}
	r.calls = nil
	s.updateTransaction(r, reply)
	reply.TransactionStatus = sn.status
	s.logRequest(r, reply, c)
	if s.sessions[sn.id] == sn {
		s.emit(ReplyToSession{Session: sn.id, Reply: reply})
		s.closeAfterReply(sn)
		s.endIfRevoked(r)
	}
}

// updateTransaction updates the transaction of the session after an answer.
func (s *State) updateTransaction(r *request, reply currantloom.Reply) {
	sn := r.session
	switch r.purpose {
	case purposeRead, purposeWrite:
	case purposeCommit, purposeEmptyCommit:
		if sn.transaction != nil && reply.TransactionStatus == currantloom.TransactionIdle &&
			reply.Code == currantloom.ReplyOK {
			sn.transaction.opened = false
		}
		s.endTransaction(sn)
	default:
		if reply.Code != currantloom.ReplyOK {
			s.failTransaction(sn)
		}
	}
}

// abandon ends a request whose client has disconnected.
func (s *State) abandon(r *request) {
	r.finished = true
	s.releaseTokens(r)
	s.releaseMemory(r)
	for _, c := range r.calls {
		s.cancelCall(c)
		if opensTransaction(c.mode) {
			s.sendRollback(c.vm, c.key)
		}
	}
	r.calls = nil
}

// tickRequests ends calls that have timed out and hedges slow reads.
func (s *State) tickRequests() {
	var late, timedOut []*call
	for _, c := range s.requests.calls {
		switch waited := s.now - c.sentAt; {
		case s.now >= c.timeoutAt:
			timedOut = append(timedOut, c)
		case waited >= min(hedgeAfter, pingAfterSilence):
			late = append(late, c)
		}
	}
	bySequence := func(a, b *call) int { return cmp.Compare(a.key.Number, b.key.Number) }
	slices.SortFunc(late, bySequence)
	for _, c := range late {
		s.handleLateCall(c)
	}
	slices.SortFunc(timedOut, bySequence)
	for _, c := range timedOut {
		s.handleCallResult(currantloom.CallResult{Key: c.key, Reason: currantloom.ReasonTimeout})
	}
	s.tickCatchUp()
	s.retryParkedRequests()
	s.requests.refusals.logDue(s, "", "")
}

// handleLateCall pings the VM of a call that is late, and sends a late read to a second upstream.
func (s *State) handleLateCall(c *call) {
	waited := s.now - c.sentAt
	switch {
	case c.request != nil && waited >= hedgeAfter:
		s.pingIfDue(c.vm)
		s.hedge(c, hedgeOfLateCall)
	case waited >= pingAfterSilence:
		s.pingIfDue(c.vm)
	}
}
