package loomentry

import (
	"io"

	"github.com/jackc/pgx/v5/pgproto3"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

// maxErrorSize bounds the size of an upstream's ErrorResponse, in bytes. A longer one is treated as malformed.
const maxErrorSize = 64 << 10

// Types of backend messages that the session interprets.
const (
	messageParseComplete = '1'
	messageCloseComplete = '3'
	messageError         = 'E'
)

// responseForwarder forwards an upstream's response to the client. It removes the answers to inserted messages and
// updates the session's prepared statements according to the upstream's answers.
type responseForwarder struct {
	writer     *loomwire.Writer
	statements *preparedStatements
	changes    []statementChange
	key        currantloom.RequestKey
	// failed says that an ErrorResponse was forwarded.
	failed bool
}

// WriteMessage forwards one message.
func (r *responseForwarder) WriteMessage(kind byte, length int, body io.Reader) error {
	switch kind {
	case messageParseComplete, messageCloseComplete:
		if len(r.changes) > 0 {
			c := r.changes[0]
			r.changes = r.changes[1:]
			c.apply(r.statements)
			if c.insertedParse {
				return nil
			}
		}
	case messageError:
		r.failed = true
		return r.writeError(length, body)
	}
	return r.writer.WriteMessage(kind, length, body)
}

// writeError forwards an upstream's error and adds the verdict: the request ran, and its outcome is this error.
func (r *responseForwarder) writeError(length int, body io.Reader) error {
	encoded := make([]byte, min(length, maxErrorSize))
	if _, err := io.ReadFull(body, encoded); err != nil {
		return err
	}
	var m pgproto3.ErrorResponse
	if err := m.Decode(encoded); err != nil {
		return protocolError("error of a server: %v", err)
	}
	if m.Detail != "" {
		m.Detail += "\n"
	}
	m.Detail += requestDetail(currantloom.Ran, 0, r.key)
	return r.writer.Send(&m)
}

// Flush sends the buffered messages.
func (r *responseForwarder) Flush() error { return r.writer.Flush() }
