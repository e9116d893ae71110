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

// rollbackTimeout bounds the rollback of a transaction that the session aborts.
const rollbackTimeout = 2 * time.Second

// runRequest runs a request after all its messages have been read.
func (s *Session) runRequest(ctx context.Context, p *pipeline) error {
	p.validate()
	if p.err != nil {
		return s.refuseRequest(ctx, p)
	}
	if !p.hasRemote {
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
	watch := s.watchClient(r.Key, cancel)
	out := &responseForwarder{writer: s.writer, statements: &s.statements, changes: p.changes, key: r.Key}
	t := s.send(ctx, r, p, out)
	watch.stop()
	s.setRunning(currantloom.RequestKey{})
	return s.finishRequest(p, r, t, out)
}

// checkRequestID refuses a statement in an open transaction if a rule requires a request id for it and the transaction
// has none. The gateway checks all other requests.
func (s *Session) checkRequestID(p *pipeline) error {
	if s.link == nil || s.transactionHasRequestID || !p.executesStatement {
		return nil
	}
	if !s.server.Gateway.RequiresRequestID(s.database, append([]string{p.statement}, p.otherStatements...)) {
		return nil
	}
	return currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateInvalidParameter, 0,
		"a rule requires a request id for this statement, which its transaction does not have")
}

// send runs the request on the link of the open transaction, or through the gateway if there is none.
func (s *Session) send(
	ctx context.Context, r currantloom.Request, p *pipeline, out *responseForwarder,
) currantloom.ResponseTrailer {
	if s.link != nil {
		return s.link.Run(ctx, linkHeader(r), p.body, out)
	}
	t, link := s.server.Gateway.Execute(ctx, r, p.body, out)
	s.link = link
	s.transactionKind, s.transactionHasRequestID = r.Kind, r.RequestID != ""
	return t
}

// linkHeader returns the header of a request in an open transaction. The owner of the upstream knows the fields that it
// leaves empty.
func linkHeader(r currantloom.Request) currantloom.RequestHeader {
	return currantloom.RequestHeader{
		Key: r.Key, Organisation: r.Organisation, Database: r.Database, Kind: r.Kind, Statement: r.Statement, Token: r.Token,
		MaxAge: r.MaxAge, Remaining: r.Deadline,
	}
}

func (s *Session) newRequest(p *pipeline) currantloom.Request {
	r := currantloom.Request{
		Key: s.server.Gateway.NextRequestKey(), Organisation: s.organisation, Database: s.database, Kind: p.kind(),
		Statement: p.statement, OtherStatements: p.otherStatements, Token: s.parameters.token, MaxAge: s.parameters.maxAge,
		Deadline: s.parameters.requestDeadline(), OpensTransaction: p.leavesTransactionOpen(),
	}
	if p.executesStatement && s.status == currantloom.TransactionIdle {
		r.RequestID = s.parameters.requestID
		s.parameters.requestID = ""
	}
	return r
}

// finishRequest sends the error of a request that the upstream did not answer, the session's new token, and
// ReadyForQuery.
func (s *Session) finishRequest(
	p *pipeline, r currantloom.Request, t currantloom.ResponseTrailer, out *responseForwarder,
) error {
	if s.writer.Truncated() {
		// The client waits for the rest of a message that cannot be completed, so nothing may follow.
		return errTruncatedMessage
	}
	if !t.UpstreamAnswered && !out.failed {
		s.sendError(t.SQLState, t.Reason, requestDetail(t.Verdict, t.RetryAfter, r.Key))
	}
	if t.Token.Known() && t.Token != s.parameters.token {
		s.parameters.token = t.Token
		if err := s.writer.Send(&pgproto3.ParameterStatus{Name: parameterToken, Value: t.Token.String()}); err != nil {
			return err
		}
	}
	s.updateTransactionStatus(p, t)
	return s.sendReady()
}

// updateTransactionStatus sets the transaction status after a request. A transaction whose link is lost is reported as
// failed until the client ends it, so that later statements of the transaction do not run on their own.
func (s *Session) updateTransactionStatus(p *pipeline, t currantloom.ResponseTrailer) {
	lost := !t.UpstreamAnswered && p.leavesTransactionOpen()
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

// hasAbortedTransaction reports whether the session's transaction has lost its link or was aborted, and the client has
// not ended it yet.
func (s *Session) hasAbortedTransaction() bool {
	return s.status == currantloom.TransactionFailed && s.link == nil
}

// refuseRequest answers a request that the session refuses. Like any error, a refusal fails an open transaction.
func (s *Session) refuseRequest(ctx context.Context, p *pipeline) error {
	if !p.errorSent {
		s.sendRefusal(p.err)
	}
	s.parameters.requestID = ""
	if s.status != currantloom.TransactionIdle && s.link != nil {
		s.abortTransaction(ctx)
	}
	return s.sendReady()
}

// abortTransaction rolls back the open transaction and releases its link.
func (s *Session) abortTransaction(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rollbackTimeout)
	defer cancel()
	body, err := (&pgproto3.Query{String: "ROLLBACK"}).Encode(nil)
	if err == nil {
		s.link.Run(ctx, currantloom.RequestHeader{
			Key: s.server.Gateway.NextRequestKey(), Organisation: s.organisation, Database: s.database, Kind: s.transactionKind,
			Statement: "ROLLBACK", Remaining: rollbackTimeout,
		}, body, discardWriter{})
	}
	s.releaseLink()
	s.status = currantloom.TransactionFailed
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{}

func (discardWriter) WriteMessage(_ byte, length int, body io.Reader) error {
	if length == 0 {
		return nil
	}
	_, err := io.CopyN(io.Discard, body, int64(length))
	return err
}

func (discardWriter) Flush() error { return nil }

func (s *Session) sendReady() error {
	if err := s.writer.Send(&pgproto3.ReadyForQuery{TxStatus: byte(s.status)}); err != nil {
		return err
	}
	return s.writer.Flush()
}

// sendRefusal sends the error of a request that was not sent to an upstream.
func (s *Session) sendRefusal(err error) {
	s.sendError(currantloom.SQLStateOf(err), errorMessage(err), verdictDetail(err))
}

func (s *Session) sendError(code currantloom.SQLState, message, detail string) {
	s.sendIgnoringError(&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: string(code), Message: message, Detail: detail,
	})
}

// sendFatal sends the error that ends the connection.
func (s *Session) sendFatal(err error) {
	s.sendIgnoringError(&pgproto3.ErrorResponse{
		Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: string(currantloom.SQLStateOf(err)),
		Message: errorMessage(err), Detail: verdictDetail(err),
	})
}

func (s *Session) sendIgnoringError(m loomwire.Encoder) { _ = s.writer.Send(m) }

func verdictDetail(err error) string {
	return fmt.Sprintf("verdict=%s retry_after_ms=%d", currantloom.VerdictOf(err),
		currantloom.RetryAfterOf(err).Milliseconds())
}

func requestDetail(v currantloom.Verdict, retryAfter time.Duration, key currantloom.RequestKey) string {
	return fmt.Sprintf("verdict=%s retry_after_ms=%d request=%s", v, retryAfter.Milliseconds(), key)
}
