package loomstandin

import (
	"context"
	"fmt"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushSize is the number of buffered bytes after which rows are sent.
const flushSize = 32 << 10

// session serves one client connection.
type session struct {
	server   *Server
	backend  *pgproto3.Backend
	pid      uint32
	secret   []byte
	cancel   context.CancelFunc
	prepared map[string]*prepared
	portals  map[string]*portal
	readOnly bool
	settings map[string]string
	tx       *transaction
	failed   bool
	// skipping drops extended-protocol messages after an error, up to Sync.
	skipping bool
	// pending is an Execute whose successor is not known yet: followed by Sync it commits in the same step.
	pending  *portal
	report   *pendingReport
	buffered int

	mu            sync.Mutex
	request       context.Context
	requestCancel context.CancelFunc
}

// pendingReport is the group_position to be reported before ReadyForQuery.
type pendingReport struct {
	position, epoch int
	waits           bool
	read            report
}

func newSession(s *Server, b *pgproto3.Backend, pid uint32, secret []byte, cancel context.CancelFunc) *session {
	return &session{
		server: s, backend: b, pid: pid, secret: secret, cancel: cancel, prepared: make(map[string]*prepared),
		portals: make(map[string]*portal), settings: make(map[string]string),
	}
}

// cancelRequest cancels the request that runs now, if any.
func (s *session) cancelRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requestCancel != nil {
		s.requestCancel()
	}
}

// startRequest returns the context of the current request, which a CancelRequest ends.
func (s *session) startRequest(ctx context.Context) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requestCancel == nil {
		s.request, s.requestCancel = context.WithCancel(ctx)
	}
	return s.request
}

func (s *session) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requestCancel != nil {
		s.requestCancel()
		s.request, s.requestCancel = nil, nil
	}
}

// serve runs the session until its connection ends; an open transaction is rolled back.
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
		if err != nil || s.server.gate(ctx) != nil {
			return
		}
		if err := s.handle(ctx, message); err != nil {
			return
		}
	}
}

// handle serves one message; an error ends the connection.
func (s *session) handle(ctx context.Context, message pgproto3.FrontendMessage) error {
	if _, ok := message.(*pgproto3.Terminate); ok {
		return errLost
	}
	request := s.startRequest(ctx)
	if q, ok := message.(*pgproto3.Query); ok {
		s.skipping = false
		if err := s.check(s.simple(request, q.String)); err != nil {
			return err
		}
		return s.ready(ctx)
	}
	if _, ok := message.(*pgproto3.Sync); ok {
		if err := s.check(s.sync(request)); err != nil {
			return err
		}
		s.skipping = false
		return s.ready(ctx)
	}
	if s.skipping {
		return nil
	}
	err := s.executePending(request, false)
	if err == nil {
		err = s.extended(request, message)
	}
	if err != nil {
		s.skipping = true
	}
	return s.check(err)
}

// check reports an error of a statement to the client; only the loss of the connection ends the session.
func (s *session) check(err error) error {
	if err == nil || isLost(err) {
		return err
	}
	e := asSQLError(err)
	s.send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: e.code, Message: e.message})
	s.report = nil
	if s.tx != nil && s.tx.implicit {
		s.tx.rollback()
		s.tx = nil
	}
	s.failed = s.tx != nil
	return nil
}

func (s *session) status() byte {
	switch {
	case s.failed:
		return 'E'
	case s.tx != nil:
		return 'T'
	default:
		return 'I'
	}
}

// ready ends a request: it reports the position and sends ReadyForQuery.
func (s *session) ready(ctx context.Context) error {
	s.endRequest()
	if s.report != nil && s.status() == 'I' {
		r := s.report.read
		if s.report.waits {
			r, _ = s.server.member.confirm(ctx, s.report.position, s.report.epoch, false)
		}
		value := fmt.Sprintf("%d/%d/%d/%d", r.term, r.logTerm, r.position, r.confirmed)
		s.send(&pgproto3.ParameterStatus{Name: "group_position", Value: value})
	}
	s.report = nil
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.status()})
	return s.flush(ctx)
}

func (s *session) send(m pgproto3.BackendMessage) { s.backend.Send(m) }

func (s *session) flush(ctx context.Context) error {
	s.buffered = 0
	if err := s.server.gate(ctx); err != nil {
		return errLost
	}
	if err := s.backend.Flush(); err != nil {
		return errLost
	}
	return nil
}

// simple runs the statements of a simple query; without BEGIN they are one transaction.
func (s *session) simple(ctx context.Context, sql string) error {
	statements, err := parse(sql)
	if err != nil {
		return err
	}
	for i, statement := range statements {
		r, err := s.perform(ctx, statement, nil, i == len(statements)-1)
		if err != nil {
			return err
		}
		if statement.kind == kindEmpty {
			s.send(&pgproto3.EmptyQueryResponse{})
			continue
		}
		if r.columns != nil {
			s.send(describe(r.columns, r.integers, nil))
		}
		if err := s.sendRows(ctx, &r, nil); err != nil {
			return err
		}
		s.send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	}
	return s.endImplicit()
}

// endImplicit commits an implicit transaction that the last statement did not end.
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
	// A commit that fails, or whose connection is lost before it, still has to give its locks back.
	defer tx.rollback()
	wrote := len(tx.changes) > 0
	err := s.atCommit(wrote, tx.commit)
	if err == nil {
		s.noteCommit(tx.end, wrote || !tx.readOnly && !tx.implicit)
	}
	return err
}

// atCommit runs a step that commits, with the fault that was asked for.
func (s *session) atCommit(writes bool, step func() error) error {
	if !writes {
		return step()
	}
	fault := s.server.takeFault()
	if fault == DropBeforeCommit {
		return errLost
	}
	err := step()
	if err == nil && fault == DropAfterCommit {
		return errLost
	}
	return err
}

// noteCommit arranges the report. A commit without changes waits too, because its snapshot may hold entries that no
// other server has yet.
func (s *session) noteCommit(position int, waits bool) {
	m := s.server.member
	m.mu.Lock()
	defer m.mu.Unlock()
	s.report = &pendingReport{position: position, epoch: m.epoch, waits: waits && m.leading, read: m.reportAt(position)}
}

func (s *session) sendRows(ctx context.Context, r *result, formats []int16) error {
	if r.stream != nil {
		return r.stream(func(row []*string) error { return s.sendRow(ctx, row, r.integers, formats) })
	}
	for _, row := range r.rows {
		if err := s.sendRow(ctx, row, r.integers, formats); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) sendRow(ctx context.Context, row []*string, integers []bool, formats []int16) error {
	values := make([][]byte, len(row))
	for i, v := range row {
		if v != nil {
			values[i] = encodeValue(*v, integers[i] && formatOf(formats, i) == pgproto3.BinaryFormat)
			s.buffered += len(values[i])
		}
	}
	s.send(&pgproto3.DataRow{Values: values})
	s.buffered += 16
	if s.buffered < flushSize {
		return nil
	}
	if ctx.Err() != nil {
		return errCanceled
	}
	return s.flush(ctx)
}
