package loomfleet

import (
	"cmp"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// session is a client's connection to this node.
type session struct {
	id       SessionID
	database currantloom.DatabaseName
	key      currantloom.KeyDigest
	status   currantloom.TransactionStatus
	settings map[string]string
	prepared map[string]currantloom.PreparedStatement
	// keptSize is the size of the settings and prepared statements with their names, in bytes.
	keptSize int
	// commits are the newest commits of the session, one for each service that it has written to.
	commits     []sessionCommit
	transaction *transaction
	// request is the session's unanswered statement.
	request        *request
	lastActivityAt time.Duration
	// revocation says why the newest configuration ended an operation of the session, or the session.
	revocation revocation
}

// transaction is what the entry node knows about an open transaction. It is opened at an upstream by its first
// statement.
type transaction struct {
	route        currantloom.Route
	organisation currantloom.OrganisationName
	readOnly     bool
	// hasWritten says that the client has sent a write in it.
	hasWritten bool
	opened     bool
	key        currantloom.RequestKey
	upstream   *upstream
	vm         currantloom.VMName
	// endedBy says why this node ended the transaction before its client did; empty if it did not. The client's next
	// statements are answered that nothing of the transaction is kept.
	endedBy string
}

// maxStartupWait is how long a session waits for the first configuration; clients wait 2 s.
const maxStartupWait = 1500 * time.Millisecond

// startup is a session that waits for the first configuration.
type startup struct {
	event     SessionOpened
	arrivedAt time.Duration
}

// handleSessionOpened answers the startup of a client. Before the first configuration no route is known, and before the
// first commit lease no write can be answered, so the client has to wait.
func (s *State) handleSessionOpened(e SessionOpened) {
	if s.shutdown.closingSessions {
		s.emit(ReplyToSession{Session: e.Session, Reply: currantloom.Reply{
			Code: currantloom.ReplyBusy, Detail: "shutdown, retry after 0 ms", TransactionStatus: currantloom.TransactionIdle,
		}})
		s.emit(CloseSession{Session: e.Session})
		return
	}
	if s.catalog.configuration == nil || s.awaitsFirstLease() {
		s.startups = append(s.startups, startup{event: e, arrivedAt: s.now})
		return
	}
	s.startSession(e)
}

// processStartups answers the waiting sessions once there is a configuration and the first commit lease, and closes
// those that have waited too long for a configuration.
func (s *State) processStartups() {
	waiting := s.startups
	s.startups = nil
	for _, st := range waiting {
		switch {
		case s.catalog.configuration != nil && (!s.awaitsFirstLease() || s.now-st.arrivedAt > maxStartupWait):
			s.startSession(st.event)
		case s.catalog.configuration == nil && s.now-st.arrivedAt > maxStartupWait:
			s.log(Decision{
				Event: "session", Session: st.event.Session, Age: s.now - st.arrivedAt, Reason: "no configuration",
				Outcome: "busy",
			})
			s.emit(ReplyToSession{Session: st.event.Session, Reply: currantloom.Reply{
				Code: currantloom.ReplyBusy, Detail: "retry after 1000 ms", TransactionStatus: currantloom.TransactionIdle,
			}})
			s.emit(CloseSession{Session: st.event.Session})
		default:
			s.startups = append(s.startups, st)
		}
	}
}

func (s *State) startSession(e SessionOpened) {
	route, ok := s.route(e.Database)
	if !ok {
		s.refuseSession(e, currantloom.ReplyNoDatabase, s.describeUnknownDatabase(e.Database), "no_route")
		return
	}
	if _, ok := s.authorise(e.Key, route); !ok {
		reason := describeRefusal(e.Key) + " for " + string(e.Database)
		s.refuseSession(e, currantloom.ReplyNotAuthorised, reason, outcomeAuthFailed)
		return
	}
	s.sessions[e.Session] = &session{
		id: e.Session, database: e.Database, key: e.Key, status: currantloom.TransactionIdle, lastActivityAt: s.now,
		settings: make(map[string]string), prepared: make(map[string]currantloom.PreparedStatement),
	}
	s.emit(ReplyToSession{Session: e.Session, Reply: currantloom.Reply{TransactionStatus: currantloom.TransactionIdle}})
}

// refuseSession answers a startup with an error and closes the session.
func (s *State) refuseSession(e SessionOpened, code currantloom.ReplyCode, reason, outcome string) {
	detail := string(e.Database)
	if code == currantloom.ReplyNotAuthorised {
		detail = reason
	}
	s.log(Decision{
		Event: "session", Session: e.Session, Version: s.configurationVersion(), Reason: reason, Outcome: outcome,
	})
	s.emit(ReplyToSession{Session: e.Session, Reply: currantloom.Reply{
		Code: code, Detail: detail, TransactionStatus: currantloom.TransactionIdle,
	}})
	s.emit(CloseSession{Session: e.Session})
}

// configurationVersion returns the version of the configuration in effect, 0 without one.
func (s *State) configurationVersion() uint64 {
	if c := s.catalog.configuration; c != nil {
		return c.Version
	}
	return 0
}

func (s *State) handleSessionClosed(id SessionID) {
	s.startups = slices.DeleteFunc(s.startups, func(st startup) bool { return st.event.Session == id })
	delete(s.revoked, id)
	sn, ok := s.sessions[id]
	if !ok {
		return
	}
	delete(s.sessions, id)
	if sn.request != nil {
		s.abandon(sn.request)
	}
	s.endTransaction(sn)
}

// handleStatement answers a statement that needs no upstream, and starts a request for any other.
func (s *State) handleStatement(e StatementReceived) {
	sn, ok := s.sessions[e.Session]
	if !ok {
		s.refuseOnClosedSession(e)
		return
	}
	if sn.request != nil {
		return
	}
	sn.lastActivityAt = s.now
	st := e.Statement
	if sn.status == currantloom.TransactionFailed && !endsTransaction(st.Kind) {
		s.refuseInFailedTransaction(sn, st)
		return
	}
	switch st.Kind {
	case currantloom.StatementSet:
		s.replyKept(sn, st, sn.keepSetting(st.Name, st.Argument))
	case currantloom.StatementPrepare:
		p := currantloom.PreparedStatement{Writes: st.Writes, Definition: st.Argument}
		s.replyKept(sn, st, sn.keepPrepared(st.Name, p))
	case currantloom.StatementDeallocate:
		sn.dropPrepared(st.Name)
		s.replyOK(sn)
	case currantloom.StatementBegin, currantloom.StatementBeginRead:
		s.begin(sn, st)
	case currantloom.StatementRollback:
		s.endTransaction(sn)
		s.replyOK(sn)
	case currantloom.StatementCommit:
		s.commit(sn, st)
	case currantloom.StatementRead, currantloom.StatementWrite, currantloom.StatementExecute:
		s.execute(sn, st)
	default:
		s.refuse(sn, st, currantloom.ReplyMalformed, cmp.Or(st.Defect, "unknown statement"))
	}
}

// refuseInFailedTransaction answers a statement of a failed transaction that does not end it.
func (s *State) refuseInFailedTransaction(sn *session, st currantloom.Statement) {
	if t := sn.transaction; t != nil && t.endedBy != "" {
		s.refuse(sn, st, currantloom.ReplyAborted, t.endedBy)
		return
	}
	s.refuse(sn, st, currantloom.ReplyMalformed, "the transaction has failed")
}

// refuseOnClosedSession answers a statement that was read while its session was being closed.
func (s *State) refuseOnClosedSession(e StatementReceived) {
	reply, revoked := s.revoked[e.Session]
	if !revoked {
		reply = currantloom.Reply{
			Code: currantloom.ReplyBusy, Detail: "retry after 0 ms", TransactionStatus: currantloom.TransactionIdle,
		}
	}
	s.log(Decision{
		Event: "statement", Request: e.Statement.ID, Session: e.Session, Reason: "session is closed",
		Outcome: reply.Code.String(),
	})
	s.emit(ReplyToSession{Session: e.Session, Reply: reply})
	s.emit(CloseSession{Session: e.Session})
}

func endsTransaction(kind currantloom.StatementKind) bool {
	return kind == currantloom.StatementRollback || kind == currantloom.StatementCommit
}

// replyOK answers a statement that the proxy runs itself.
func (s *State) replyOK(sn *session) {
	s.emit(ReplyToSession{Session: sn.id, Reply: currantloom.Reply{TransactionStatus: sn.status}})
}

// refuse answers a statement that is not run. The reason is a fixed text, because the metrics have a series for each.
// If a transaction is open, it fails.
func (s *State) refuse(sn *session, st currantloom.Statement, code currantloom.ReplyCode, reason string) {
	s.refuseNamed(sn, st, code, reason, reason)
}

// refuseNamed is like refuse, but the reply shows a detail that the client may have chosen.
func (s *State) refuseNamed(
	sn *session, st currantloom.Statement, code currantloom.ReplyCode, reason, detail string,
) {
	s.log(Decision{
		Event: "statement", Request: st.ID, Session: sn.id, Version: s.configurationVersion(), Reason: reason,
		Outcome: code.String(),
	})
	if sn.status == currantloom.TransactionOpen {
		s.failTransaction(sn)
	}
	s.emit(ReplyToSession{
		Session: sn.id, Reply: currantloom.Reply{Code: code, Detail: detail, TransactionStatus: sn.status},
	})
}

func (s *State) begin(sn *session, st currantloom.Statement) {
	if sn.status != currantloom.TransactionIdle {
		s.refuse(sn, st, currantloom.ReplyMalformed, "a transaction is open")
		return
	}
	route, organisation, ok := s.routeOf(sn, st)
	if !ok {
		return
	}
	sn.status = currantloom.TransactionOpen
	sn.transaction = &transaction{
		route: route, organisation: organisation, readOnly: st.Kind == currantloom.StatementBeginRead,
	}
	s.groupOf(route.Service).usedAt = s.now
	s.replyOK(sn)
}

func (s *State) commit(sn *session, st currantloom.Statement) {
	switch {
	case sn.status == currantloom.TransactionFailed:
		s.endTransaction(sn)
		s.refuse(sn, st, currantloom.ReplyAborted, "the transaction had failed and is rolled back")
	case sn.transaction == nil:
		s.refuse(sn, st, currantloom.ReplyMalformed, "no transaction is open")
	case !s.mayRunFor(sn.transaction.organisation):
		s.endTransaction(sn)
		s.refuse(sn, st, currantloom.ReplyAborted, reasonUnproven)
	case sn.transaction.opened:
		s.startRequest(sn, st, sn.transaction.route, sn.transaction.organisation, purposeCommit)
	default:
		s.startRequest(sn, st, sn.transaction.route, sn.transaction.organisation, purposeEmptyCommit)
	}
}

// routeOf returns the route of a new operation and the organisation that it runs for. If there is none, it refuses the
// statement and reports false.
func (s *State) routeOf(
	sn *session, st currantloom.Statement,
) (currantloom.Route, currantloom.OrganisationName, bool) {
	route, ok := s.route(sn.database)
	if !ok {
		s.refuseNamed(sn, st, currantloom.ReplyNoDatabase, "no route", string(sn.database))
		return route, "", false
	}
	organisation, ok := s.authorise(sn.key, route)
	switch {
	case !ok:
		s.refuse(sn, st, currantloom.ReplyNotAuthorised, describeRefusal(sn.key))
	case !s.mayRunFor(organisation):
		s.refuse(sn, st, currantloom.ReplyNotAuthorised, reasonUnproven)
		return route, "", false
	}
	return route, organisation, ok
}

// execute starts a request for a read, a write or a prepared statement.
func (s *State) execute(sn *session, st currantloom.Statement) {
	writes := st.Kind == currantloom.StatementWrite
	if st.Kind == currantloom.StatementExecute {
		p, ok := sn.prepared[st.Name]
		if !ok {
			s.refuseNamed(sn, st, currantloom.ReplyNoStatement, "unknown prepared statement", st.Name)
			return
		}
		writes = p.Writes
	}
	if t := sn.transaction; t != nil {
		t.hasWritten = t.hasWritten || writes
		switch {
		case !s.mayRunFor(t.organisation):
			s.refuse(sn, st, currantloom.ReplyAborted, reasonUnproven)
		case t.readOnly && writes:
			s.refuse(sn, st, currantloom.ReplyNotPrimary, "the transaction only reads")
		case t.opened:
			s.startRequest(sn, st, t.route, t.organisation, purposeInTransaction)
		default:
			s.startRequest(sn, st, t.route, t.organisation, purposeOpenTransaction)
		}
		return
	}
	route, organisation, ok := s.routeOf(sn, st)
	switch {
	case !ok:
	case writes:
		s.startRequest(sn, st, route, organisation, purposeWrite)
	default:
		s.startRequest(sn, st, route, organisation, purposeRead)
	}
}

// failTransaction rolls the transaction back at its upstream; the client still has to end it.
func (s *State) failTransaction(sn *session) {
	t := sn.transaction
	s.endTransaction(sn)
	sn.transaction, sn.status = t, currantloom.TransactionFailed
	if t != nil {
		t.opened = false
	}
}

// endTransaction ends the session's transaction, and rolls it back if it is open at an upstream.
func (s *State) endTransaction(sn *session) {
	t := sn.transaction
	sn.transaction, sn.status = nil, currantloom.TransactionIdle
	if t != nil && t.opened {
		s.sendRollback(t.vm, t.key)
	}
}

// sendRollback tells an owner to roll a transaction back.
func (s *State) sendRollback(vm currantloom.VMName, key currantloom.RequestKey) {
	if vm == s.config.Self {
		s.deferCall(func() { s.handleRollback(key) })
		return
	}
	s.emit(Send{VM: s.vmOf(vm), Message: currantloom.RollbackTransaction{Transaction: key}})
}

// sessionsWhere returns the sessions that the function selects, in the order in which they were opened.
func (s *State) sessionsWhere(selects func(*session) bool) []*session {
	var selected []*session
	for _, sn := range s.sessions {
		if selects(sn) {
			selected = append(selected, sn)
		}
	}
	slices.SortFunc(selected, func(a, b *session) int { return cmp.Compare(a.id, b.id) })
	return selected
}

// tickSessions rolls back transactions that have been idle for too long, so that their connections can be reused.
func (s *State) tickSessions() {
	s.processStartups()
	limit := s.idleTransactionTimeout()
	idle := s.sessionsWhere(func(sn *session) bool {
		return sn.transaction != nil && sn.transaction.opened && sn.request == nil && s.now-sn.lastActivityAt >= limit
	})
	for _, sn := range idle {
		t := sn.transaction
		s.log(Decision{
			Event: "transaction", Session: sn.id, Service: t.route.Service, Upstream: t.upstream.Name,
			Age: s.now - sn.lastActivityAt, Reason: "idle", Outcome: "rolled_back",
		})
		s.failTransaction(sn)
	}
}

// sortedSettings returns the session's settings sorted by name.
func (sn *session) sortedSettings() []currantloom.SessionSetting {
	settings := make([]currantloom.SessionSetting, 0, len(sn.settings))
	for name, value := range sn.settings {
		settings = append(settings, currantloom.SessionSetting{Name: name, Value: value})
	}
	slices.SortFunc(settings, func(a, b currantloom.SessionSetting) int { return cmp.Compare(a.Name, b.Name) })
	return settings
}
