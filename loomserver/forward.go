package loomserver

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"currantloom.example/currantloom"
)

const (
	// lengthSize is the size of the length field of an encoded message, whose value includes the field itself.
	lengthSize = 4
	// headerSize is the size of the type and length fields.
	headerSize = 1 + lengthSize
)

// forwardResponse forwards the response to the client's messages, without its ReadyForQuery.
func (r *requestRun) forwardResponse() error {
	reader := r.conn.reader
	for {
		kind, length, err := reader.Next()
		if err != nil {
			return err
		}
		if kind != 'Z' {
			if err := r.forwardMessage(kind, length); err != nil {
				return err
			}
			continue
		}
		body, err := reader.Body()
		if err == nil {
			err = r.conn.setStatus(body)
		}
		if err != nil {
			return err
		}
		return r.endResponse()
	}
}

// endResponse handles the end of the response. A read-only refusal outside of a transaction proves that nothing ran;
// otherwise the refusal or the buffered messages are forwarded.
func (r *requestRun) endResponse() error {
	if r.readOnlyRefusal != nil {
		if r.conn.status == currantloom.TransactionIdle {
			r.endWithError(currantloom.NotRun, currantloom.SQLStateReadOnly,
				"server %s refuses writes", r.conn.pool.upstream.Name())
			return nil
		}
		return r.forward('E', r.readOnlyRefusal)
	}
	if r.withheldCompletion == nil {
		return r.flushBuffered()
	}
	return nil
}

// checkReadOnlyRefusal asks an upstream that has refused a write whether it is the primary. If it is, the statement
// itself has raised the error, which is then the answer to it.
func (r *requestRun) checkReadOnlyRefusal() error {
	if r.readOnlyRefusal == nil || r.result.Err == nil || r.request.ReadOnly || !r.upstreamAcceptsWrites() {
		return nil
	}
	r.result.Err, r.result.Verdict = nil, currantloom.Ran
	return r.forward('E', r.readOnlyRefusal)
}

// upstreamAcceptsWrites reports whether the upstream says that it is a primary that has granted no newer term. If it
// does not answer, the connection must not be used again.
func (r *requestRun) upstreamAcceptsWrites() bool {
	responses, err := r.roundTrip(encodeQuery(statusSQL), 1)
	if err != nil {
		r.conn.markFailed()
		return false
	}
	rows := responses[0].rows
	if len(rows) != 1 || len(rows[0]) != statusColumns {
		return false
	}
	status := parsePostgresStatus(rows[0])
	return status.Role == currantloom.RolePrimary && status.GrantedTerm == status.Term
}

// forwardMessage forwards one message, or buffers it. The last CommandComplete is withheld if the request asks for it
// or its id is recorded.
func (r *requestRun) forwardMessage(kind byte, length int) error {
	reader := r.conn.reader
	switch kind {
	case 'S', 'C', 'E':
		body, err := reader.Body()
		if err != nil {
			return err
		}
		return r.forwardDecoded(kind, body)
	case 'A':
		// LISTEN is not supported, so a notification has no receiver.
		return nil
	case 'G', 'W':
		return currantloom.ErrInput.New("server %s started a COPY", r.conn.pool.upstream.Name())
	case '1', '2', '3', 't', 'n', 'T', 'I', 's', 'N':
		// These messages are buffered because a read-only refusal may follow. After a withheld completion they join it,
		// so that it stays withheld, for example when the portal is closed after it.
		target := &r.buffered
		if r.withheldCompletion != nil {
			target = &r.withheldCompletion
		}
		if (r.withheldCompletion != nil && kind != 'T' || !r.result.ResponseStarted) &&
			len(*target)+length < maxBuffered {
			body, err := reader.Body()
			*target = appendMessage(*target, kind, body)
			return err
		}
	}
	if err := r.flush(); err != nil {
		return err
	}
	return r.writeMessage(kind, length, reader)
}

func (r *requestRun) forwardDecoded(kind byte, body []byte) error {
	switch kind {
	case 'S':
		if name, value := parseStatusParameter(body); name == positionParameter {
			r.parsePosition(value, !r.request.ReadOnly)
		}
		return nil
	case 'E':
		return r.forwardUpstreamError(body)
	}
	tag, err := parseCommandTag(body)
	if err != nil {
		return err
	}
	r.commandTags = append(r.commandTags, tag)
	if err := r.flushWithheldCompletion(); err != nil {
		return err
	}
	if r.request.WithholdCompletion || r.recordsRequestID {
		r.withheldCompletion = appendMessage(nil, 'C', body)
		return nil
	}
	return r.forward('C', body)
}

func (r *requestRun) forwardUpstreamError(body []byte) error {
	upstreamError, err := parseError(body)
	if err != nil {
		return err
	}
	r.result.Code = currantloom.SQLState(upstreamError.Code)
	if r.result.Code == currantloom.SQLStateReadOnly && r.wasIdle && !r.result.ResponseStarted &&
		r.withheldCompletion == nil {
		r.buffered, r.readOnlyRefusal = nil, body
		return nil
	}
	return r.forward('E', body)
}

// forward forwards one message, after the buffered and withheld ones.
func (r *requestRun) forward(kind byte, body []byte) error {
	if err := r.flush(); err != nil {
		return err
	}
	return r.writeMessage(kind, len(body), bytes.NewReader(body))
}

// flush forwards the buffered and withheld messages.
func (r *requestRun) flush() error {
	if err := r.flushWithheldCompletion(); err != nil {
		return err
	}
	return r.flushBuffered()
}

func (r *requestRun) flushBuffered() error {
	buffered := r.buffered
	r.buffered = nil
	return r.forwardEncoded(buffered)
}

func (r *requestRun) flushWithheldCompletion() error {
	if r.withheldCompletion == nil {
		return nil
	}
	if err := r.flushBuffered(); err != nil {
		return err
	}
	completion := r.withheldCompletion
	r.withheldCompletion = nil
	return r.forwardEncoded(completion)
}

// forwardEncoded forwards encoded messages. They were encoded by this package, so their lengths need no check.
func (r *requestRun) forwardEncoded(messages []byte) error {
	for len(messages) > 0 {
		length := int(binary.BigEndian.Uint32(messages[1:]))
		if err := r.writeMessage(messages[0], length-lengthSize, bytes.NewReader(messages[headerSize:1+length])); err != nil {
			return err
		}
		messages = messages[1+length:]
	}
	return nil
}

// bodyReader records a read error of the forwarded body, to distinguish it from an error of the response writer.
type bodyReader struct {
	io.Reader
	readErr error
}

// Read reads from the body and records any error other than io.EOF.
func (s *bodyReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.readErr = err
	}
	return n, err
}

func (r *requestRun) writeMessage(kind byte, length int, body io.Reader) error {
	r.result.ResponseStarted = true
	tracked := &bodyReader{Reader: body}
	err := r.out.WriteMessage(kind, length, tracked)
	if err != nil && tracked.readErr == nil {
		return responseWriteError{err}
	}
	return err
}
