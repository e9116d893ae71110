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
	// positionParameter is the parameter in which a server reports "term/log term/position/confirmed".
	positionParameter = "group_position"
	// maxHeld bounds the messages that are held back because a refusal may still follow.
	maxHeld = 64 << 10
	// maxInlineWrite is the size up to which messages are written before the answer is read. A longer write could
	// wait for the server while the server waits for its answer to be read, so it runs beside the reading.
	maxInlineWrite = 32 << 10

	confirmSQL = "SELECT * FROM group_confirm()"
)

// run is one use of a connection. Segments of messages are sent at once; each ends with ReadyForQuery: an optional
// switch of the read-only mode, the caller's body, and an optional confirmation of the term.
type run struct {
	conn   *Conn
	work   currantloom.PostgresRequest
	out    currantloom.ResponseWriter
	result currantloom.PostgresResult
	// wasIdle says that no transaction was open at the start.
	wasIdle bool
	// held are encoded messages that precede the first row or completion. A read-only refusal after them drops them,
	// so the request can run elsewhere.
	held []byte
	// withheld is the last CommandComplete, encoded, with the messages after it that carry no data.
	withheld []byte
	// refusal is the body of the read-only refusal that dropped the held messages.
	refusal []byte
	// records says that the run records a request id, so every last completion is withheld.
	records bool
	tags    []string
	writing chan writeEnd
	// outcome replaces the response of the server: encoded messages that report a recorded outcome.
	outcome []byte
}

// writeEnd is the end of a write: the bytes that were written.
type writeEnd struct {
	n   int
	err error
}

// callerError is an error of the response writer, not of the server.
type callerError struct{ err error }

func (e callerError) Error() string { return "pass the response on: " + e.err.Error() }
func (e callerError) Unwrap() error { return e.err }

// Run sends the work and passes the response on.
func (c *Conn) Run(
	ctx context.Context, w currantloom.PostgresRequest, out currantloom.ResponseWriter,
) currantloom.PostgresResult {
	c.awaitCancels()
	r := &run{conn: c, work: w, out: out, wasIdle: c.status == currantloom.TransactionIdle}
	c.mu.Lock()
	failed := c.failed
	c.mu.Unlock()
	if failed {
		r.end(currantloom.NotRun, currantloom.SQLStateConnectionFailure,
			"connection to server %s is lost", c.pool.server.Name())
		return r.result
	}
	end := c.start(ctx, w.StallTimeout)
	if err := r.talk(); err != nil {
		r.fail(err)
	}
	end()
	if r.result.Err == nil {
		r.finish()
	}
	r.result.TransactionStatus = c.status
	return r.result
}

// end ends the run with an error that is not an answer of the server.
func (r *run) end(verdict currantloom.Verdict, code currantloom.SQLState, format string, args ...any) {
	r.result.Verdict, r.result.Code = verdict, code
	r.result.Err = currantloom.NewRequestError(verdict, code, 0, format, args...)
}

// fail ends the run because the connection or the caller is lost. NotRun needs proof that no byte of the body was
// written.
func (r *run) fail(err error) {
	c := r.conn
	c.fail()
	verdict, code := currantloom.MayHaveRun, currantloom.SQLStateOutcomeUnknown
	var unsent notSent
	if errors.As(err, &unsent) {
		verdict, code = currantloom.NotRun, currantloom.SQLStateConnectionFailure
	}
	if r.writing != nil {
		// Closing the connection ends the write; what it wrote by then decides.
		c.close()
		if w := <-r.writing; w.n == 0 && w.err != nil {
			verdict, code = currantloom.NotRun, currantloom.SQLStateConnectionFailure
		}
		r.writing = nil
	}
	c.mu.Lock()
	expired := !c.expired.IsZero()
	c.mu.Unlock()
	var caller callerError
	switch {
	case errors.As(err, &caller):
	case expired:
		err = fmt.Errorf("no answer after the request's deadline: %w", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = fmt.Errorf("no byte for %v: %w", r.work.StallTimeout, err)
		c.pool.purge()
	default:
		c.pool.purge()
	}
	r.end(verdict, code, "connection to server %s: %v", c.pool.server.Name(), err)
}

// notSent says that no byte of the body was written.
type notSent struct{ error }

// talk exchanges the messages with the server. An error means that the connection is in an unknown state.
func (r *run) talk() error {
	if r.work.RequestID != "" && !r.work.ReadOnly && r.wasIdle {
		messages, err := splitBody(r.work.Body)
		if err != nil {
			return notSent{err}
		}
		if executes(messages) {
			return r.talkRecorded(messages)
		}
	}
	var rest []byte
	if r.work.ConfirmTerm {
		rest = queryMessage(confirmSQL)
	}
	if err := r.send(nil, rest); err != nil {
		return err
	}
	if err := r.relayBody(); err != nil {
		return err
	}
	if !r.work.ConfirmTerm {
		return r.awaitWrite()
	}
	s, err := r.conn.readSegment()
	if err != nil {
		return err
	}
	r.readConfirmation(&s)
	return r.awaitWrite()
}

// send writes the switch of the read-only mode if it is needed, the messages before the body, the body and the
// messages after it, and reads the answer to the switch.
func (r *run) send(before, after []byte) error {
	c := r.conn
	var message []byte
	switchMode := r.wasIdle && c.readOnly != r.work.ReadOnly
	if switchMode {
		message = append(message, queryMessage(readOnlyStatement(r.work.ReadOnly))...)
	}
	message = append(message, before...)
	prefix := len(message)
	message = append(message, r.work.Body...)
	message = append(message, after...)
	if err := r.write(prefix, message); err != nil {
		return err
	}
	if !switchMode {
		return nil
	}
	s, err := c.readSegment()
	if err == nil && s.failure != nil {
		err = s.failure
	}
	if err == nil {
		c.readOnly = r.work.ReadOnly
	}
	return err
}

func readOnlyStatement(on bool) string {
	if on {
		return "SET default_transaction_read_only = on"
	}
	return "SET default_transaction_read_only = off"
}

// write writes a message whose first bytes, the prefix, do not belong to the body.
func (r *run) write(prefix int, message []byte) error {
	c := r.conn
	if err := c.setDeadline(c.conn.SetWriteDeadline); err != nil {
		return notSent{err}
	}
	step := func() writeEnd {
		n, err := c.conn.Write(message)
		return writeEnd{max(0, n-prefix), err}
	}
	if len(message) > maxInlineWrite {
		r.writing = make(chan writeEnd, 1)
		go func() {
			w := step()
			if w.err != nil {
				c.close()
			}
			r.writing <- w
		}()
		return nil
	}
	w := step()
	if w.err != nil && w.n == 0 {
		return notSent{w.err}
	}
	return w.err
}

// awaitWrite waits for a write that runs beside the reading. The server has answered, so it has read everything or
// refused to.
func (r *run) awaitWrite() error {
	if r.writing == nil {
		return nil
	}
	w := <-r.writing
	r.writing = nil
	return w.err
}

// parsePosition reads the report "term/log term/position/confirmed".
func (r *run) parsePosition(value string, wrote bool) {
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

// readConfirmation reads the answer to group_confirm: term, log term, position, number of servers. A server that is
// no longer the primary refuses; then nothing is confirmed.
func (r *run) readConfirmation(s *segment) {
	r.result.ConfirmedCopies = 0
	if s.failure == nil && len(s.rows) == 1 && len(s.rows[0]) == 4 {
		r.parsePosition(strings.Join(s.rows[0], "/"), r.result.Wrote)
	}
}

// finish decides on the withheld completion, after the server has answered.
func (r *run) finish() {
	r.result.Verdict = currantloom.Ran
	if r.withheld == nil && r.outcome == nil {
		return
	}
	if r.work.Accept != nil {
		if err := r.work.Accept(r.result); err != nil {
			r.result.Verdict, r.result.Code, r.result.Err = currantloom.VerdictOf(err), currantloom.SQLStateOf(err), err
			return
		}
	}
	if r.outcome != nil {
		r.held, r.withheld = r.outcome, nil
	}
	if err := r.flush(); err != nil {
		r.fail(err)
	}
}

// asFailure returns an answer of the server as an error, nil if it succeeded.
func asFailure(f *pgconn.PgError) error {
	if f == nil {
		return nil
	}
	return f
}
