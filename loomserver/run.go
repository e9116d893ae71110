package loomserver

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"currantloom.example/currantloom"
)

const (
	// positionParameter is the status parameter in which an upstream reports "term/log term/position/confirmed".
	positionParameter = "group_position"
	// maxBuffered bounds the messages, in bytes, that are buffered because a read-only refusal may still follow.
	maxBuffered = 64 << 10
	// maxInlineWrite is the size up to which messages are written before the response is read. A longer write runs
	// concurrently with the reading, because it could wait for the upstream while the upstream waits for its response
	// to be read.
	maxInlineWrite = 32 << 10

	confirmSQL = "SELECT * FROM group_confirm()"
)

// requestRun runs one request on a connection. It sends up to three groups of messages at once and each is answered up
// to a ReadyForQuery: a switch of the read-only mode if needed, the client's body, and a confirmation of the term if
// requested.
type requestRun struct {
	conn    *Conn
	request currantloom.PostgresRequest
	out     currantloom.ResponseWriter
	result  currantloom.PostgresResult
	// wasIdle says that no transaction was open before the request.
	wasIdle bool
	// buffered holds the encoded messages before the first row or completion. A read-only refusal after them discards
	// them, so the request can run at another upstream.
	buffered []byte
	// withheldCompletion is the last CommandComplete, encoded, with the messages after it that hold no data.
	withheldCompletion []byte
	// readOnlyRefusal is the body of the read-only refusal that discarded the buffered messages.
	readOnlyRefusal []byte
	// recordsRequestID says that the request's id is recorded, so the last completion is withheld until the commit.
	recordsRequestID bool
	commandTags      []string
	pendingWrite     chan writeResult
	// recordedResponse replaces the upstream's response: encoded messages that report the outcome of an earlier run.
	recordedResponse []byte
}

// writeResult is the result of a write: the number of bytes of the body that were written, and the error.
type writeResult struct {
	n   int
	err error
}

// responseWriteError is an error of the response writer, not of the upstream.
type responseWriteError struct{ err error }

func (e responseWriteError) Error() string { return "pass the response on: " + e.err.Error() }
func (e responseWriteError) Unwrap() error { return e.err }

// Run sends the request and forwards the response.
func (c *Conn) Run(
	ctx context.Context, request currantloom.PostgresRequest, out currantloom.ResponseWriter,
) currantloom.PostgresResult {
	c.awaitCancels()
	r := &requestRun{conn: c, request: request, out: out, wasIdle: c.status == currantloom.TransactionIdle}
	c.mu.Lock()
	failed := c.failed
	c.mu.Unlock()
	if failed {
		r.endWithError(currantloom.NotRun, currantloom.SQLStateConnectionFailure,
			"connection to server %s is lost", c.pool.upstream.Name())
		return r.result
	}
	end := c.beginUse(ctx, request.StallTimeout)
	if err := r.exchange(); err != nil {
		r.failConnection(err)
	}
	end()
	if r.result.Err == nil {
		r.deliverCompletion()
	}
	r.result.TransactionStatus = c.status
	return r.result
}

// endWithError sets the result to an error that is not an answer of the upstream.
func (r *requestRun) endWithError(verdict currantloom.Verdict, code currantloom.SQLState, format string, args ...any) {
	r.result.Verdict, r.result.Code = verdict, code
	r.result.Err = currantloom.NewRequestError(verdict, code, 0, format, args...)
}

// failConnection ends the run because the connection or the response writer has failed. The verdict is NotRun only if
// no byte of the body was written.
func (r *requestRun) failConnection(err error) {
	c := r.conn
	c.markFailed()
	// With the connection, its transaction has ended.
	c.status = currantloom.TransactionIdle
	verdict, code := currantloom.MayHaveRun, currantloom.SQLStateOutcomeUnknown
	var notSent notSentError
	if errors.As(err, &notSent) {
		verdict, code = currantloom.NotRun, currantloom.SQLStateConnectionFailure
	}
	if r.pendingWrite != nil {
		// Closing the connection ends the write; the number of bytes written by then decides the verdict.
		c.close()
		if written := <-r.pendingWrite; written.n == 0 && written.err != nil {
			verdict, code = currantloom.NotRun, currantloom.SQLStateConnectionFailure
		}
		r.pendingWrite = nil
	}
	c.mu.Lock()
	expired := !c.finalDeadline.IsZero()
	c.mu.Unlock()
	var writeErr responseWriteError
	switch {
	case errors.As(err, &writeErr):
	case expired:
		err = fmt.Errorf("no answer after the request's deadline: %w", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = fmt.Errorf("no byte for %v: %w", r.request.StallTimeout, err)
		c.pool.closeIdle()
	default:
		// The upstream may be gone, or it has ended this connection alone, because of the statement that ran.
		c.pool.probeIdle()
	}
	r.endWithError(verdict, code, "connection to server %s: %v", c.pool.upstream.Name(), err)
}

// notSentError is an error that occurred before any byte of the body was written.
type notSentError struct{ error }

// exchange sends the request's messages and forwards the response. An error means that the state of the connection is
// unknown.
func (r *requestRun) exchange() error {
	if r.request.RequestID != "" && !r.request.ReadOnly && r.wasIdle {
		messages, err := splitMessages(r.request.Body)
		if err != nil {
			return r.refuse(err)
		}
		if executesStatement(messages) {
			return r.exchangeRecorded(messages)
		}
	}
	var rest []byte
	if r.request.ConfirmTerm {
		rest = encodeQuery(confirmSQL)
	}
	if err := r.send(nil, rest); err != nil {
		return err
	}
	if err := r.forwardResponse(); err != nil {
		return err
	}
	if !r.request.ConfirmTerm {
		if err := r.awaitWrite(); err != nil {
			return err
		}
		return r.checkReadOnlyRefusal()
	}
	confirmation, err := r.conn.readResponse()
	if err != nil {
		return err
	}
	r.readConfirmation(&confirmation)
	return r.awaitWrite()
}

// refuse ends a request that cannot be sent, for a reason that is not the connection's.
func (r *requestRun) refuse(err error) error {
	r.endWithError(currantloom.NotRun, currantloom.SQLStateInvalidParameter, "%v", err)
	return nil
}

// send writes the switch of the read-only mode if it is needed, the messages before the body, the body and the
// messages after it, and reads the response to the switch.
func (r *requestRun) send(before, after []byte) error {
	c := r.conn
	var message []byte
	switchMode := r.wasIdle && c.readOnly != r.request.ReadOnly
	if switchMode {
		message = append(message, encodeQuery(readOnlyStatement(r.request.ReadOnly))...)
	}
	message = append(message, before...)
	prefix := len(message)
	message = append(message, r.request.Body...)
	message = append(message, after...)
	if err := r.write(prefix, message); err != nil {
		return err
	}
	if !switchMode {
		return nil
	}
	modeResponse, err := c.readResponse()
	if err == nil && modeResponse.upstreamError != nil {
		err = modeResponse.upstreamError
	}
	if err == nil {
		c.readOnly = r.request.ReadOnly
	}
	return err
}

func readOnlyStatement(on bool) string {
	if on {
		return "SET default_transaction_read_only = on"
	}
	return "SET default_transaction_read_only = off"
}

// write writes messages whose first bytes, the prefix, do not belong to the body.
func (r *requestRun) write(prefix int, message []byte) error {
	c := r.conn
	if err := c.setDeadline(c.conn.SetWriteDeadline); err != nil {
		return notSentError{err}
	}
	writeAll := func() writeResult {
		n, err := c.conn.Write(message)
		return writeResult{max(0, n-prefix), err}
	}
	if len(message) > maxInlineWrite {
		r.pendingWrite = make(chan writeResult, 1)
		go func() {
			result := writeAll()
			if result.err != nil {
				c.close()
			}
			r.pendingWrite <- result
		}()
		return nil
	}
	result := writeAll()
	if result.err != nil && result.n == 0 {
		return notSentError{result.err}
	}
	return result.err
}

// awaitWrite waits for the end of a concurrent write. It is called after the upstream has answered, so the upstream has
// read all messages or will read no more.
func (r *requestRun) awaitWrite() error {
	if r.pendingWrite == nil {
		return nil
	}
	result := <-r.pendingWrite
	r.pendingWrite = nil
	return result.err
}

// parsePosition parses a report of the form "term/log term/position/confirmed".
func (r *requestRun) parsePosition(value string, wrote bool) {
	parts := strings.Split(value, "/")
	if len(parts) != 4 {
		return
	}
	r.result.Wrote = wrote
	r.result.Term = currantloom.Term(parseUint(parts[0]))
	r.result.Position = currantloom.NewLogPosition(
		currantloom.Term(parseUint(parts[1])), currantloom.LogIndex(parseUint(parts[2])))
	r.result.ConfirmedCopies = int(parseUint(parts[3]))
}

// readConfirmation evaluates the response to group_confirm: term, log term, log index, number of upstreams that
// confirm. An upstream that is no longer the primary answers with an error; then nothing is confirmed.
func (r *requestRun) readConfirmation(confirmation *response) {
	r.result.ConfirmedCopies = 0
	if confirmation.upstreamError == nil && len(confirmation.rows) == 1 && len(confirmation.rows[0]) == 4 {
		r.parsePosition(strings.Join(confirmation.rows[0], "/"), r.result.Wrote)
	}
}

// deliverCompletion forwards the withheld completion or the recorded response, unless the request's Accept function
// refuses the result.
func (r *requestRun) deliverCompletion() {
	r.result.Verdict = currantloom.Ran
	if r.withheldCompletion == nil && r.recordedResponse == nil {
		return
	}
	if r.request.Accept != nil {
		if err := r.request.Accept(r.result); err != nil {
			r.result.Verdict, r.result.Code, r.result.Err = currantloom.VerdictOf(err), currantloom.SQLStateOf(err), err
			return
		}
	}
	if r.recordedResponse != nil {
		r.buffered, r.withheldCompletion = r.recordedResponse, nil
	}
	if err := r.flush(); err != nil {
		r.failConnection(err)
	}
}

// errorOrNil converts the error of a response, so that a nil pointer becomes a nil error.
func errorOrNil(err *pgconn.PgError) error {
	if err == nil {
		return nil
	}
	return err
}
