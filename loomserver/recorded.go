package loomserver

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"currantloom.example/currantloom"
)

const (
	insertRequest = "INSERT INTO currantloom_requests (caller, request_id, digest, tag, recorded_at) " +
		"VALUES ($1, $2, $3, $4, $5)"
	updateRequest = "UPDATE currantloom_requests SET tag = $1 WHERE caller = $2 AND request_id = $3"
	selectRequest = "SELECT digest, tag FROM currantloom_requests WHERE caller = $1 AND request_id = $2"
	// transactionDigest is recorded for interactive transactions, whose statements are not known at BEGIN.
	transactionDigest = "transaction"
)

// executes reports whether the messages run a statement; others only prepare or describe one and have no effect.
func executes(messages []message) bool {
	for _, m := range messages {
		if m.kind == 'Q' || m.kind == 'E' {
			return true
		}
	}
	return false
}

// talkRecorded runs a body with a request id. The id is inserted in the transaction of the body, before it: if the id
// is there already, the insert fails and with it the rest of the transaction.
func (r *run) talkRecorded(messages []message) error {
	texts := statements(messages)
	if len(texts) == 1 && (keyword(texts[0]) == "begin" || keyword(texts[0]) == "start") {
		return r.talkBegin()
	}
	for _, text := range texts {
		if controlsTransaction(text) {
			r.end(currantloom.NotRun, currantloom.SQLStateUnsupported, "%s inside a request with a request id", keyword(text))
			return nil
		}
	}
	digest := digestOf(r.work.Body)
	insert, err := r.insertMessages(digest)
	if err != nil {
		return notSent{err}
	}
	r.records = true
	if err := r.send(append(queryMessage("BEGIN"), insert...), nil); err != nil {
		return err
	}
	if _, err := r.conn.readSegment(); err != nil {
		return err
	}
	s, err := r.conn.readSegment()
	if err != nil {
		return err
	}
	if s.failure != nil {
		return r.refusedInsert(&s, messages, digest)
	}
	if err := r.relayBody(); err != nil {
		return err
	}
	if err := r.awaitWrite(); err != nil {
		return err
	}
	if r.conn.status != currantloom.TransactionOpen {
		r.withheld = nil
		return r.rollBack()
	}
	return r.commit()
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}

func (r *run) insertMessages(digest string) ([]byte, error) {
	now := strconv.FormatInt(time.Now().Unix(), 10)
	return executeMessages(insertRequest, string(r.work.Organisation), r.work.RequestID, digest, "", now)
}

// exchange sends messages and reads the given number of answers.
func (r *run) exchange(messages []byte, answers int) ([]segment, error) {
	c := r.conn
	if err := c.setDeadline(c.conn.SetWriteDeadline); err != nil {
		return nil, err
	}
	if _, err := c.conn.Write(messages); err != nil {
		return nil, err
	}
	segments := make([]segment, answers)
	for i := range segments {
		var err error
		if segments[i], err = c.readSegment(); err != nil {
			return nil, err
		}
	}
	return segments, nil
}

func (r *run) rollBack() error {
	s, err := r.exchange(queryMessage("ROLLBACK"), 1)
	if err == nil {
		err = asFailure(s[0].failure)
	}
	return err
}

// commit records the command tags and commits. The withheld completion is passed on only after it.
func (r *run) commit() error {
	update, err := executeMessages(
		updateRequest, strings.Join(r.tags, "\n"), string(r.work.Organisation), r.work.RequestID)
	if err != nil {
		return err
	}
	s, err := r.exchange(append(update, queryMessage("COMMIT")...), 2)
	if err != nil {
		return err
	}
	failure := s[0].failure
	if failure == nil {
		failure = s[1].failure
	}
	switch {
	case failure != nil:
		// The server has rolled the transaction back, which is the outcome of the request.
		r.withheld, r.result.Wrote = nil, false
		r.result.Code = currantloom.SQLState(failure.Code)
		return r.passFailure(failure.Code, failure.Message)
	case s[1].tag != "COMMIT":
		return currantloom.ErrInput.New("server answered COMMIT with %q", s[1].tag)
	}
	r.parsePosition(s[1].position, true)
	return nil
}

func (r *run) passFailure(code, text string) error {
	encoded, err := (&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: text,
	}).Encode(nil)
	if err != nil {
		return err
	}
	return r.pass('E', encoded[5:])
}

// refusedInsert handles an id that could not be inserted: it is recorded already, or the server refused the insert and
// with it the body.
func (r *run) refusedInsert(s *segment, messages []message, digest string) error {
	// The body's answer is only that the transaction has failed.
	if _, err := r.conn.readSegment(); err != nil {
		return err
	}
	if err := r.awaitWrite(); err != nil {
		return err
	}
	if s.code() != currantloom.SQLStateUniqueViolation {
		return r.endUnrecorded(s.failure)
	}
	lookup, err := executeMessages(selectRequest, string(r.work.Organisation), r.work.RequestID)
	if err != nil {
		return err
	}
	answers, err := r.exchange(append(append(queryMessage("ROLLBACK"), lookup...), queryMessage(confirmSQL)...), 3)
	if err != nil {
		return err
	}
	found := answers[1].rows
	switch {
	case len(found) != 1:
		r.end(currantloom.MayHaveRun, currantloom.SQLStateOutcomeUnknown, "recorded request id is gone")
	case found[0][0] != digest:
		r.end(currantloom.NotRun, currantloom.SQLStateInvalidParameter, "request id %q was used for another statement",
			r.work.RequestID)
	default:
		r.result.Wrote = true
		r.readConfirmation(&answers[2])
		r.outcome, err = outcomeMessages(messages, strings.Split(found[0][1], "\n"))
	}
	return err
}

// endUnrecorded ends a run whose request id the server refused to insert, so that nothing of the body took effect.
func (r *run) endUnrecorded(failure *pgconn.PgError) error {
	r.end(currantloom.NotRun, currantloom.SQLState(failure.Code), "record request id on server %s: %s",
		r.conn.pool.server.Name(), failure.Message)
	return r.rollBack()
}

// outcomeMessages encodes the response to the messages of a request that ran before: completions without rows.
func outcomeMessages(messages []message, tags []string) ([]byte, error) {
	var response []pgproto3.BackendMessage
	complete := func() {
		if len(tags) > 0 {
			response = append(response, &pgproto3.CommandComplete{CommandTag: []byte(tags[0])})
			tags = tags[1:]
		}
	}
	for _, m := range messages {
		switch m.kind {
		case 'P':
			response = append(response, &pgproto3.ParseComplete{})
		case 'B':
			response = append(response, &pgproto3.BindComplete{})
		case 'C':
			response = append(response, &pgproto3.CloseComplete{})
		case 'D':
			if len(m.content) > 0 && m.content[0] == 'S' {
				response = append(response, &pgproto3.ParameterDescription{})
			}
			response = append(response, &pgproto3.NoData{})
		case 'E':
			complete()
		case 'Q':
			for len(tags) > 0 {
				complete()
			}
		}
	}
	var encoded []byte
	for _, m := range response {
		var err error
		if encoded, err = m.Encode(encoded); err != nil {
			return nil, err
		}
	}
	return encoded, nil
}

// talkBegin begins an interactive transaction and inserts the request id right after BEGIN.
func (r *run) talkBegin() error {
	insert, err := r.insertMessages(transactionDigest)
	if err != nil {
		return notSent{err}
	}
	r.records = true
	if err := r.send(nil, insert); err != nil {
		return err
	}
	if err := r.relayBody(); err != nil {
		return err
	}
	s, err := r.conn.readSegment()
	if err != nil || s.failure == nil {
		return err
	}
	r.held, r.withheld = nil, nil
	if s.code() != currantloom.SQLStateUniqueViolation {
		return r.endUnrecorded(s.failure)
	}
	answers, err := r.exchange(append(queryMessage("ROLLBACK"), queryMessage(confirmSQL)...), 2)
	if err != nil {
		return err
	}
	r.result.Wrote = true
	r.readConfirmation(&answers[1])
	r.result.Code = currantloom.SQLStateUniqueViolation
	r.outcome, err = (&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: string(currantloom.SQLStateUniqueViolation),
		Message: "the transaction with request id \"" + r.work.RequestID + "\" has been committed",
	}).Encode(nil)
	return err
}

// appendMessage encodes a message.
func appendMessage(to []byte, kind byte, body []byte) []byte {
	to = append(to, kind)
	to = binary.BigEndian.AppendUint32(to, uint32(len(body)+4))
	return append(to, body...)
}
