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
	insertRequestSQL = "INSERT INTO currantloom_requests (caller, request_id, digest, tag, recorded_at) " +
		"VALUES ($1, $2, $3, $4, $5)"
	updateRequestSQL = "UPDATE currantloom_requests SET tag = $1 WHERE caller = $2 AND request_id = $3"
	selectRequestSQL = "SELECT digest, tag FROM currantloom_requests WHERE caller = $1 AND request_id = $2"
	// transactionDigest is the recorded digest of interactive transactions, whose statements are not known at BEGIN.
	transactionDigest = "transaction"
)

// executesStatement reports whether the messages execute a statement, rather than only prepare or describe one.
func executesStatement(messages []message) bool {
	for _, m := range messages {
		if m.kind == 'Q' || m.kind == 'E' {
			return true
		}
	}
	return false
}

// exchangeRecorded runs a body with a request id. The id is inserted before the body in the same transaction: if the id
// is already recorded, the insert fails and with it the rest of the transaction.
func (r *requestRun) exchangeRecorded(messages []message) error {
	texts := statementTexts(messages)
	if len(texts) == 1 && (firstKeyword(texts[0]) == "begin" || firstKeyword(texts[0]) == "start") {
		return r.exchangeRecordedBegin()
	}
	for _, text := range texts {
		if controlsTransaction(text) {
			r.endWithError(currantloom.NotRun, currantloom.SQLStateUnsupported,
				"%s inside a request with a request id", firstKeyword(text))
			return nil
		}
	}
	digest := bodyDigest(r.request.Body)
	insert, err := r.encodeInsert(digest)
	if err != nil {
		return r.refuse(err)
	}
	r.recordsRequestID = true
	if err := r.send(append(encodeQuery("BEGIN"), insert...), nil); err != nil {
		return err
	}
	if _, err := r.conn.readResponse(); err != nil {
		return err
	}
	insertResponse, err := r.conn.readResponse()
	if err != nil {
		return err
	}
	if insertResponse.upstreamError != nil {
		return r.handleInsertError(&insertResponse, messages, digest)
	}
	if err := r.forwardResponse(); err != nil {
		return err
	}
	if err := r.awaitWrite(); err != nil {
		return err
	}
	if r.conn.status != currantloom.TransactionOpen {
		r.withheldCompletion = nil
		return r.rollback()
	}
	return r.commit()
}

func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}

func (r *requestRun) encodeInsert(digest string) ([]byte, error) {
	now := strconv.FormatInt(time.Now().Unix(), 10)
	return encodeExtendedQuery(insertRequestSQL, string(r.request.Organisation), r.request.RequestID, digest, "", now)
}

// roundTrip sends messages and reads the given number of responses.
func (r *requestRun) roundTrip(messages []byte, count int) ([]response, error) {
	c := r.conn
	if err := c.setDeadline(c.conn.SetWriteDeadline); err != nil {
		return nil, err
	}
	if _, err := c.conn.Write(messages); err != nil {
		return nil, err
	}
	responses := make([]response, count)
	for i := range responses {
		var err error
		if responses[i], err = c.readResponse(); err != nil {
			return nil, err
		}
	}
	return responses, nil
}

func (r *requestRun) rollback() error {
	responses, err := r.roundTrip(encodeQuery("ROLLBACK"), 1)
	if err == nil {
		err = errorOrNil(responses[0].upstreamError)
	}
	return err
}

// commit records the command tags and commits the transaction. The withheld completion is forwarded only after that.
func (r *requestRun) commit() error {
	update, err := encodeExtendedQuery(
		updateRequestSQL, strings.Join(r.commandTags, "\n"), string(r.request.Organisation), r.request.RequestID)
	if err != nil {
		return err
	}
	responses, err := r.roundTrip(append(update, encodeQuery("COMMIT")...), 2)
	if err != nil {
		return err
	}
	upstreamError := responses[0].upstreamError
	if upstreamError == nil {
		upstreamError = responses[1].upstreamError
	}
	switch {
	case upstreamError != nil:
		// The upstream has rolled back the transaction, which is the outcome of the request.
		r.withheldCompletion, r.result.Wrote = nil, false
		r.result.Code = currantloom.SQLState(upstreamError.Code)
		return r.forwardError(upstreamError.Code, upstreamError.Message)
	case responses[1].commandTag != "COMMIT":
		return currantloom.ErrInput.New("server answered COMMIT with %q", responses[1].commandTag)
	}
	r.parsePosition(responses[1].position, true)
	return nil
}

func (r *requestRun) forwardError(code, text string) error {
	encoded, err := (&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: text,
	}).Encode(nil)
	if err != nil {
		return err
	}
	return r.forward('E', encoded[5:])
}

// handleInsertError handles a failed insert of the request id. Either the id is already recorded, and the recorded
// outcome is reported, or the upstream refused the insert and with it the body.
func (r *requestRun) handleInsertError(insertResponse *response, messages []message, digest string) error {
	// The response to the body says only that the transaction has failed.
	if _, err := r.conn.readResponse(); err != nil {
		return err
	}
	if err := r.awaitWrite(); err != nil {
		return err
	}
	if insertResponse.sqlState() != currantloom.SQLStateUniqueViolation {
		return r.endWithInsertError(insertResponse.upstreamError)
	}
	lookup, err := encodeExtendedQuery(selectRequestSQL, string(r.request.Organisation), r.request.RequestID)
	if err != nil {
		return err
	}
	responses, err := r.roundTrip(append(append(encodeQuery("ROLLBACK"), lookup...), encodeQuery(confirmSQL)...), 3)
	if err != nil {
		return err
	}
	recorded := responses[1].rows
	switch {
	case len(recorded) != 1:
		r.endWithError(currantloom.MayHaveRun, currantloom.SQLStateOutcomeUnknown, "recorded request id is gone")
	case recorded[0][0] != digest:
		r.endWithError(currantloom.NotRun, currantloom.SQLStateInvalidParameter,
			"request id %q was used for another statement", r.request.RequestID)
	default:
		r.result.Wrote = true
		r.readConfirmation(&responses[2])
		r.recordedResponse, err = encodeRecordedResponse(messages, strings.Split(recorded[0][1], "\n"))
	}
	return err
}

// endWithInsertError ends the run after the upstream refused to insert the request id; the body has had no effect.
func (r *requestRun) endWithInsertError(insertError *pgconn.PgError) error {
	r.endWithError(currantloom.NotRun, currantloom.SQLState(insertError.Code), "record request id on server %s: %s",
		r.conn.pool.upstream.Name(), insertError.Message)
	return r.rollback()
}

// encodeRecordedResponse encodes the response to the messages of a request that an earlier attempt has committed:
// completions without rows.
func encodeRecordedResponse(messages []message, tags []string) ([]byte, error) {
	var replies []pgproto3.BackendMessage
	complete := func() {
		if len(tags) > 0 {
			replies = append(replies, &pgproto3.CommandComplete{CommandTag: []byte(tags[0])})
			tags = tags[1:]
		}
	}
	for _, m := range messages {
		switch m.kind {
		case 'P':
			replies = append(replies, &pgproto3.ParseComplete{})
		case 'B':
			replies = append(replies, &pgproto3.BindComplete{})
		case 'C':
			replies = append(replies, &pgproto3.CloseComplete{})
		case 'D':
			if len(m.body) > 0 && m.body[0] == 'S' {
				replies = append(replies, &pgproto3.ParameterDescription{})
			}
			replies = append(replies, &pgproto3.NoData{})
		case 'E':
			complete()
		case 'Q':
			for len(tags) > 0 {
				complete()
			}
		}
	}
	var encoded []byte
	for _, m := range replies {
		var err error
		if encoded, err = m.Encode(encoded); err != nil {
			return nil, err
		}
	}
	return encoded, nil
}

// exchangeRecordedBegin begins an interactive transaction and inserts the request id directly after BEGIN.
func (r *requestRun) exchangeRecordedBegin() error {
	insert, err := r.encodeInsert(transactionDigest)
	if err != nil {
		return r.refuse(err)
	}
	r.recordsRequestID = true
	if err := r.send(nil, insert); err != nil {
		return err
	}
	if err := r.forwardResponse(); err != nil {
		return err
	}
	insertResponse, err := r.conn.readResponse()
	if err != nil || insertResponse.upstreamError == nil {
		return err
	}
	r.buffered, r.withheldCompletion = nil, nil
	if insertResponse.sqlState() != currantloom.SQLStateUniqueViolation {
		return r.endWithInsertError(insertResponse.upstreamError)
	}
	responses, err := r.roundTrip(append(encodeQuery("ROLLBACK"), encodeQuery(confirmSQL)...), 2)
	if err != nil {
		return err
	}
	r.result.Wrote = true
	r.readConfirmation(&responses[1])
	r.result.Code = currantloom.SQLStateUniqueViolation
	r.recordedResponse, err = (&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: string(currantloom.SQLStateUniqueViolation),
		Message: "the transaction with request id \"" + r.request.RequestID + "\" has been committed",
	}).Encode(nil)
	return err
}

// appendMessage appends an encoded message.
func appendMessage(to []byte, kind byte, body []byte) []byte {
	to = append(to, kind)
	to = binary.BigEndian.AppendUint32(to, uint32(len(body)+4))
	return append(to, body...)
}
