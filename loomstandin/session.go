package loomstandin

import (
	"context"
	"fmt"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushThreshold is the number of buffered bytes at which rows are sent.
const flushThreshold = 32 << 10

// session serves one client connection.
type session struct {
	server     *Server
	backend    *pgproto3.Backend
	pid        uint32
	secret     []byte
	cancel     context.CancelFunc
	prepared   map[string]*prepared
	portals    map[string]*portal
	readOnly   bool
	parameters map[string]string
	tx         *transaction
	// txFailed says that a statement of the open transaction failed.
	txFailed bool
	// skipToSync says that extended-protocol messages are dropped up to the next Sync, after an error.
	skipToSync bool
	// pendingExecute is an Execute message that waits for the next one: if that is Sync, the statement commits in the
	// same step.
	pendingExecute *portal
	pendingReport  *pendingReport
	bufferedBytes  int

	mu sync.Mutex
	// requestContext and requestCancel belong to the current request; nil between requests.
	requestContext context.Context
	requestCancel  context.CancelFunc
}

// pendingReport is the group_position to report before ReadyForQuery.
type pendingReport struct {
	index, roleEpoch int
	// awaitMajority says that the report waits until a majority has confirmed the index. Otherwise position is reported.
	awaitMajority bool
	position      positionReport
}

func newSession(s *Server, b *pgproto3.Backend, pid uint32, secret []byte, cancel context.CancelFunc) *session {
	return &session{
		server: s, backend: b, pid: pid, secret: secret, cancel: cancel, prepared: make(map[string]*prepared),
		portals: make(map[string]*portal), parameters: make(map[string]string),
	}
}

// cancelRequest cancels the current request, if there is one.
func (s *session) cancelRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requestCancel != nil {
		s.requestCancel()
	}
}

// startRequest returns the context of the current request. A CancelRequest message cancels it.
func (s *session) startRequest(ctx context.Context) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requestCancel == nil {
		s.requestContext, s.requestCancel = context.WithCancel(ctx)
	}
	return s.requestContext
}

func (s *session) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requestCancel != nil {
		s.requestCancel()
		s.requestContext, s.requestCancel = nil, nil
	}
}

// serve runs the session until its connection ends, and then rolls back an open transaction.
func (s *session) serve(ctx context.Context) {
	defer func() {
		s.endRequest()
		if s.tx != nil {
			s.tx.rollback()
		}
	}()
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.0 (loomstandin)"}, {"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"},
	} {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if s.flush(ctx) != nil {
		return
	}
	for {
		message, err := s.backend.Receive()
		if err != nil || s.server.awaitResumed(ctx) != nil {
			return
		}
		if err := s.handle(ctx, message); err != nil {
			return
		}
	}
}

// handle handles one message. An error ends the session.
func (s *session) handle(ctx context.Context, message pgproto3.FrontendMessage) error {
	if _, ok := message.(*pgproto3.Terminate); ok {
		return errConnectionLost
	}
	requestCtx := s.startRequest(ctx)
	if q, ok := message.(*pgproto3.Query); ok {
		s.skipToSync = false
		if err := s.reportError(s.simpleQuery(requestCtx, q.String)); err != nil {
			return err
		}
		return s.finishRequest(ctx)
	}
	if _, ok := message.(*pgproto3.Sync); ok {
		if err := s.reportError(s.sync(requestCtx)); err != nil {
			return err
		}
		s.skipToSync = false
		return s.finishRequest(ctx)
	}
	if s.skipToSync {
		return nil
	}
	err := s.executePending(requestCtx, false)
	if err == nil {
		err = s.extendedMessage(requestCtx, message)
	}
	if err != nil {
		s.skipToSync = true
	}
	return s.reportError(err)
}

// reportError reports the error of a statement to the client. It returns only the loss of the connection, which ends
// the session.
func (s *session) reportError(err error) error {
	if err == nil || isConnectionLost(err) {
		return err
	}
	e := toSQLError(err)
	s.send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: e.code, Message: e.message})
	s.pendingReport = nil
	if s.tx != nil && s.tx.implicit {
		s.tx.rollback()
		s.tx = nil
	}
	s.txFailed = s.tx != nil
	return nil
}

func (s *session) transactionStatus() byte {
	switch {
	case s.txFailed:
		return 'E'
	case s.tx != nil:
		return 'T'
	default:
		return 'I'
	}
}

// finishRequest ends a request: it sends the pending position report and ReadyForQuery.
func (s *session) finishRequest(ctx context.Context) error {
	s.endRequest()
	if s.pendingReport != nil && s.transactionStatus() == 'I' {
		r := s.pendingReport.position
		if s.pendingReport.awaitMajority {
			r, _ = s.server.member.confirm(ctx, s.pendingReport.index, s.pendingReport.roleEpoch, false)
		}
		value := fmt.Sprintf("%d/%d/%d/%d", r.term, r.logTerm, r.index, r.confirmed)
		s.send(&pgproto3.ParameterStatus{Name: "group_position", Value: value})
	}
	s.pendingReport = nil
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.transactionStatus()})
	return s.flush(ctx)
}

func (s *session) send(m pgproto3.BackendMessage) { s.backend.Send(m) }

func (s *session) flush(ctx context.Context) error {
	s.bufferedBytes = 0
	if err := s.server.awaitResumed(ctx); err != nil {
		return errConnectionLost
	}
	if err := s.backend.Flush(); err != nil {
		return errConnectionLost
	}
	return nil
}

// simpleQuery runs the statements of a simple query. Without BEGIN they form one implicit transaction.
func (s *session) simpleQuery(ctx context.Context, sql string) error {
	statements, err := parse(sql)
	if err != nil {
		return err
	}
	for i, statement := range statements {
		r, err := s.execute(ctx, statement, nil, i == len(statements)-1)
		if err != nil {
			return err
		}
		if statement.kind == kindEmpty {
			s.send(&pgproto3.EmptyQueryResponse{})
			continue
		}
		if r.columns != nil {
			s.send(rowDescription(r.columns, r.integers, nil))
		}
		if err := s.sendRows(ctx, &r, nil); err != nil {
			return err
		}
		s.send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	}
	return s.endImplicit()
}

// endImplicit commits the implicit transaction if the last statement did not end it.
func (s *session) endImplicit() error {
	if s.tx == nil || !s.tx.implicit {
		return nil
	}
	return s.commit()
}

// commit ends the current transaction.
func (s *session) commit() error {
	tx := s.tx
	s.tx = nil
	// A commit that fails, or that a fault prevents, still has to release its locks.
	defer tx.rollback()
	wrote := len(tx.changes) > 0
	err := s.withCommitFault(wrote, tx.commit)
	if err == nil {
		s.reportCommit(tx.endIndex, wrote || !tx.readOnly && !tx.implicit)
	}
	return err
}

// withCommitFault runs a step that commits, and injects the commit fault that is set if the step writes.
func (s *session) withCommitFault(writes bool, step func() error) error {
	if !writes {
		return step()
	}
	fault := s.server.takeCommitFault()
	if fault == DropBeforeCommit {
		return errConnectionLost
	}
	err := step()
	if err == nil && fault == DropAfterCommit {
		return errConnectionLost
	}
	return err
}

// reportCommit schedules the position report of a commit. With awaitMajority, the report waits for a majority if the
// server is the primary. A read-write transaction without changes waits as well, because its snapshot may hold entries
// that no other server has yet.
func (s *session) reportCommit(index int, awaitMajority bool) {
	m := s.server.member
	m.mu.Lock()
	defer m.mu.Unlock()
	s.pendingReport = &pendingReport{
		index: index, roleEpoch: m.roleEpoch, awaitMajority: awaitMajority && m.isPrimary, position: m.positionAt(index),
	}
}

func (s *session) sendRows(ctx context.Context, r *result, formats []int16) error {
	if r.streamRows != nil {
		return r.streamRows(func(row []*string) error { return s.sendRow(ctx, row, r.integers, formats) })
	}
	for _, row := range r.rows {
		if err := s.sendRow(ctx, row, r.integers, formats); err != nil {
			return err
		}
	}
	return nil
}

// sendRow sends a row, and flushes the buffer if it has reached flushThreshold.
func (s *session) sendRow(ctx context.Context, row []*string, integers []bool, formats []int16) error {
	values := make([][]byte, len(row))
	for i, v := range row {
		if v != nil {
			values[i] = encodeValue(*v, integers[i] && formatOf(formats, i) == pgproto3.BinaryFormat)
			s.bufferedBytes += len(values[i])
		}
	}
	s.send(&pgproto3.DataRow{Values: values})
	s.bufferedBytes += 16
	if s.bufferedBytes < flushThreshold {
		return nil
	}
	if ctx.Err() != nil {
		return errCanceled
	}
	return s.flush(ctx)
}
