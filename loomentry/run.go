package loomentry

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

// abandonLimit bounds the rollback of a transaction that the session gives up.
const abandonLimit = 2 * time.Second

// runRequest runs a request whose messages were all read.
func (s *Session) runRequest(ctx context.Context, p *pipeline) error {
	p.finish()
	if p.err != nil {
		return s.refuseRequest(ctx, p)
	}
	if !p.remote {
		return s.runLocally(p)
	}
	if err := s.checkRequestID(p); err != nil {
		p.fail(err)
		return s.refuseRequest(ctx, p)
	}
	r := s.newRequest(p)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setRunning(r.Key)
	w := s.watch(r.Key, cancel)
	out := &response{writer: s.writer, statements: &s.statements, changes: p.changes, key: r.Key}
	t := s.send(ctx, r, p, out)
	w.stop()
	s.setRunning(currantloom.RequestKey{})
	return s.finishRequest(p, r, t, out)
}

// checkRequestID refuses a statement inside a transaction that needs a request id, if the transaction has none. Other
// requests are checked by the gateway.
func (s *Session) checkRequestID(p *pipeline) error {
	if s.link == nil || s.identified || !p.executes {
		return nil
	}
	if !s.server.Gateway.RequiresRequestID(s.database, append([]string{p.statement}, p.others...)) {
		return nil
	}
	return currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateInvalidParameter, 0,
		"a rule requires a request id for this statement, which its transaction does not have")
}

// send runs the request on the transaction's link, or gives it to the gateway.
func (s *Session) send(
	ctx context.Context, r currantloom.Request, p *pipeline, out *response,
) currantloom.ResponseTrailer {
	if s.link != nil {
		return s.link.Run(ctx, headerOf(r), p.body, out)
	}
	t, link := s.server.Gateway.Execute(ctx, r, p.body, out)
	s.link = link
	s.kind, s.identified = r.Kind, r.RequestID != ""
	return t
}

// headerOf describes a request that continues a transaction; its carrier knows the rest.
func headerOf(r currantloom.Request) currantloom.RequestHeader {
	return currantloom.RequestHeader{
		Key: r.Key, Organisation: r.Organisation, Database: r.Database, Kind: r.Kind, Statement: r.Statement, Token: r.Token,
		MaxAge: r.MaxAge, Remaining: r.Deadline,
	}
}

func (s *Session) newRequest(p *pipeline) currantloom.Request {
	r := currantloom.Request{
		Key: s.server.Gateway.NextRequestKey(), Organisation: s.caller, Database: s.database, Kind: p.kind(),
		Statement: p.statement, OtherStatements: p.others, Token: s.parameters.token, MaxAge: s.parameters.maxAge,
		Deadline: s.parameters.limit(), OpensTransaction: p.leavesOpen(),
	}
	if p.executes && s.status == currantloom.TransactionIdle {
		r.RequestID = s.parameters.requestID
		s.parameters.requestID = ""
	}
	return r
}

// finishRequest reports the outcome of a request and the session's new token.
func (s *Session) finishRequest(
	p *pipeline, r currantloom.Request, t currantloom.ResponseTrailer, out *response,
) error {
	if s.writer.Truncated() {
		// The client waits for the rest of a message that cannot be completed; nothing may follow it.
		return errBroken
	}
	if !t.ServerAnswered && !out.failed {
		s.sendError(t.SQLState, t.Reason, detail(t.Verdict, t.RetryAfter, r.Key))
	}
	if t.Token.Known() && t.Token != s.parameters.token {
		s.parameters.token = t.Token
		if err := s.writer.Send(&pgproto3.ParameterStatus{Name: parameterToken, Value: t.Token.String()}); err != nil {
			return err
		}
	}
	s.setStatus(p, t)
	return s.ready()
}

// setStatus takes the transaction status over. A transaction whose link is lost is reported as failed until the
// client ends it, so that later statements of the transaction do not run on their own.
func (s *Session) setStatus(p *pipeline, t currantloom.ResponseTrailer) {
	lost := !t.ServerAnswered && p.leavesOpen()
	switch {
	case t.TransactionStatus == currantloom.TransactionOpen || t.TransactionStatus == currantloom.TransactionFailed:
		s.status = t.TransactionStatus
	case lost:
		s.status = currantloom.TransactionFailed
		s.releaseLink()
	default:
		s.status = currantloom.TransactionIdle
		s.releaseLink()
	}
}

// isAbandoned reports whether the session's transaction was given up and waits for the client to end it.
func (s *Session) isAbandoned() bool {
	return s.status == currantloom.TransactionFailed && s.link == nil
}

// refuseRequest answers a request that the session refuses. Like any error it fails an open transaction.
func (s *Session) refuseRequest(ctx context.Context, p *pipeline) error {
	if !p.reported {
		s.refuse(p.err)
	}
	s.parameters.requestID = ""
	if s.status != currantloom.TransactionIdle && s.link != nil {
		s.abandon(ctx)
	}
	return s.ready()
}

// abandon rolls an open transaction back and releases its connection.
func (s *Session) abandon(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, abandonLimit)
	defer cancel()
	body, err := (&pgproto3.Query{String: "ROLLBACK"}).Encode(nil)
	if err == nil {
		s.link.Run(ctx, currantloom.RequestHeader{
			Key: s.server.Gateway.NextRequestKey(), Organisation: s.caller, Database: s.database, Kind: s.kind,
			Statement: "ROLLBACK", Remaining: abandonLimit,
		}, body, discard{})
	}
	s.releaseLink()
	s.status = currantloom.TransactionFailed
}

// discard is a response that nobody reads.
type discard struct{}

func (discard) WriteMessage(_ byte, length int, body io.Reader) error {
	if length == 0 {
		return nil
	}
	_, err := io.CopyN(io.Discard, body, int64(length))
	return err
}

func (discard) Flush() error { return nil }

func (s *Session) ready() error {
	if err := s.writer.Send(&pgproto3.ReadyForQuery{TxStatus: byte(s.status)}); err != nil {
		return err
	}
	return s.writer.Flush()
}

// refuse sends the error of a request that was not sent to a server.
func (s *Session) refuse(err error) {
	s.sendError(currantloom.SQLStateOf(err), messageOf(err), verdictDetail(err))
}

func (s *Session) sendError(code currantloom.SQLState, message, detail string) {
	s.sendResponse(&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: string(code), Message: message, Detail: detail,
	})
}

// sendFatal writes the error that ends the connection.
func (s *Session) sendFatal(err error) {
	s.sendResponse(&pgproto3.ErrorResponse{
		Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: string(currantloom.SQLStateOf(err)),
		Message: messageOf(err), Detail: verdictDetail(err),
	})
}

func (s *Session) sendResponse(m loomwire.Encoder) { _ = s.writer.Send(m) }

func verdictDetail(err error) string {
	return fmt.Sprintf("verdict=%s retry_after_ms=%d", currantloom.VerdictOf(err),
		currantloom.RetryAfterOf(err).Milliseconds())
}

func detail(v currantloom.Verdict, retryAfter time.Duration, key currantloom.RequestKey) string {
	return fmt.Sprintf("verdict=%s retry_after_ms=%d request=%s", v, retryAfter.Milliseconds(), key)
}
