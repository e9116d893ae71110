package loomfleet

import "currantloom.example/currantloom"

// Reasons why a configuration ends a session or an operation, in logs and in replies.
const (
	reasonKeyWithdrawn = "key withdrawn"
	reasonKeyMoved     = "key moved to another organisation"
	reasonKeyUnknown   = "key unknown"
	reasonRoutePrivate = "route became private"
)

// revocation says why a session may not go on, for the log and the notice. Organisation is the one that held the key.
type revocation struct {
	organisation currantloom.OrganisationName
	reason       string
}

// mayStay reports whether the configuration in effect accepts the session. A session whose route was removed stays: its
// next operation is answered that the database does not exist, which takes precedence.
func (s *State) mayStay(sn *session) bool {
	route, ok := s.route(sn.database)
	if !ok {
		return true
	}
	_, ok = s.authorise(sn.key, route)
	return ok
}

// mayContinue reports whether the configuration in effect still allows an operation of the session that runs for the
// organisation: the organisation holds the session's key or, if the operation belongs to none, the route is public. A
// route that was removed counts as it was when the operation began.
func (s *State) mayContinue(
	sn *session, route currantloom.Route, organisation currantloom.OrganisationName,
) bool {
	if !s.hasOrganisations() {
		return true
	}
	if organisation != "" {
		holder, _ := s.catalog.configuration.Organisations.Holder(sn.key)
		return holder == organisation
	}
	if current, ok := s.route(sn.database); ok {
		route = current
	}
	return route.Public
}

// mayOperationContinue reports whether the session has no operation in progress, or one that may continue.
func (s *State) mayOperationContinue(sn *session) bool {
	switch {
	case sn.request != nil:
		return s.mayContinue(sn, sn.request.route, sn.request.organisation)
	case sn.status == currantloom.TransactionOpen:
		return s.mayContinue(sn, sn.transaction.route, sn.transaction.organisation)
	default:
		return true
	}
}

// revokeSessions ends the sessions and operations that the configuration in effect no longer allows. It looks at each
// session once; only those that are affected cost more than two lookups.
func (s *State) revokeSessions(old *currantloom.Configuration) {
	if old == nil || !s.hasOrganisations() {
		return
	}
	affected := s.sessionsWhere(func(sn *session) bool { return !s.mayStay(sn) || !s.mayOperationContinue(sn) })
	for _, sn := range affected {
		s.revoke(sn, old)
	}
}

// revoke ends the operation of a session and, unless the session may stay, the session: at once or, if a statement
// is unanswered, with its answer.
func (s *State) revoke(sn *session, old *currantloom.Configuration) {
	next := revocationOf(sn.key, old, s.catalog.configuration)
	if r := sn.request; r != nil && r.withdrawnBy != "" {
		// An earlier configuration withdrew the statement. This one is the reason for the end of the session only if it took
		// the key.
		if next.organisation != "" {
			sn.revocation = next
		}
		return
	}
	sn.revocation = next
	switch {
	case sn.request != nil:
		s.withdrawRequest(sn.request, sn.revocation.reason)
	case s.mayStay(sn):
		s.endMovedTransaction(sn)
	default:
		s.endRevokedSession(sn)
	}
}

// revocationOf returns the reason for which the new configuration revokes what the old one allowed a client with the
// key.
func revocationOf(key currantloom.KeyDigest, old, next *currantloom.Configuration) revocation {
	holder, held := old.Organisations.Holder(key)
	nextHolder, holds := next.Organisations.Holder(key)
	switch {
	case held && !holds:
		return revocation{organisation: holder, reason: reasonKeyWithdrawn}
	case held && holder != nextHolder:
		return revocation{organisation: holder, reason: reasonKeyMoved}
	case old.Organisations.Enabled():
		return revocation{organisation: holder, reason: reasonRoutePrivate}
	default:
		return revocation{reason: reasonKeyUnknown}
	}
}

// endMovedTransaction rolls back the open transaction of a session that stays.
func (s *State) endMovedTransaction(sn *session) {
	t := sn.transaction
	s.log(Decision{
		Event: "transaction", Session: sn.id, Organisation: t.organisation, Service: t.route.Service,
		Version: s.configurationVersion(), Reason: sn.revocation.reason, Outcome: "rolled_back",
	})
	t.endedBy = sn.revocation.reason
	s.failTransaction(sn)
}

// endRevokedSession rolls back the session's transaction and closes the session with a notice. The notice of a session
// in a transaction says that nothing of the transaction is kept, because it also answers a commit that is on its way.
func (s *State) endRevokedSession(sn *session) {
	reason := sn.revocation.reason
	notice := currantloom.Reply{
		Code: currantloom.ReplyNotAuthorised, Detail: reason, TransactionStatus: currantloom.TransactionIdle,
	}
	if sn.status != currantloom.TransactionIdle {
		notice.Code, notice.TransactionStatus = currantloom.ReplyAborted, currantloom.TransactionFailed
	}
	s.endTransaction(sn)
	delete(s.sessions, sn.id)
	s.revoked[sn.id] = notice
	s.log(Decision{
		Event: "session", Session: sn.id, Organisation: sn.revocation.organisation, Version: s.configurationVersion(),
		Reason: reason, Outcome: outcomeAuthFailed,
	})
	s.emit(CloseSession{Session: sn.id, Reply: notice})
}

// endIfRevoked closes the session after the answer to a withdrawn request, unless it may stay.
func (s *State) endIfRevoked(r *request) {
	if sn := r.session; r.withdrawnBy != "" && s.sessions[sn.id] == sn && !s.mayStay(sn) {
		s.endRevokedSession(sn)
	}
}

// withdrawRequest ends a request that the configuration in effect no longer allows. A statement of a transaction is
// answered at once, because the transaction is rolled back whatever becomes of the statement. Any other statement, a
// commit included, is withdrawn from the queues of the owners, which report whether it was sent; its answer says what
// is known of it.
func (s *State) withdrawRequest(r *request, reason string) {
	r.withdrawnBy = reason
	switch {
	case r.purpose == purposeOpenTransaction || r.purpose == purposeInTransaction:
		s.abandon(r)
		s.finishWithdrawn(r)
	case len(r.calls) == 0:
		s.finishWithdrawn(r)
	default:
		for _, c := range r.calls {
			s.withdrawCall(c)
		}
	}
}

// finishWithdrawn answers a withdrawn request of which nothing is kept.
func (s *State) finishWithdrawn(r *request) {
	if t := r.session.transaction; t != nil {
		t.endedBy = r.withdrawnBy
	}
	s.finish(r, currantloom.Reply{Code: currantloom.ReplyAborted, Detail: r.withdrawnBy}, nil)
}

// withdrawCall cancels a call if its owner has not started it yet. The result says whether it was.
func (s *State) withdrawCall(c *call) {
	if c.vm == s.config.Self {
		s.deferCall(func() { s.handleWithdrawal(c.key) })
		return
	}
	s.emit(Send{VM: s.vmOf(c.vm), Message: currantloom.CancelCall{Key: c.key, ReportResult: true}})
}

// handleWithdrawal rejects a job whose command was not sent yet. Any other job continues and reports its result. A job
// that is not known has reported its result already.
func (s *State) handleWithdrawal(key currantloom.RequestKey) {
	j, ok := s.owner.jobs[key]
	if !ok {
		return
	}
	cn := j.conn
	switch {
	case cn == nil:
		j.pool.queue.remove(j)
		s.rejectJob(j, currantloom.ReasonCancelled)
	case j.call.Mode == currantloom.CallInTransaction && !j.sent:
		j.pool.queue.remove(j)
		s.detachJob(cn)
		s.unpin(cn)
		s.rejectJob(j, currantloom.ReasonCancelled)
		cn.rollBack(s)
	}
}
