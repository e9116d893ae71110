package loomentry

import (
	"io"

	"github.com/jackc/pgx/v5/pgproto3"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

// maxError bounds the size of an error of a server, in bytes. A longer one is malformed.
const maxError = 64 << 10

// Types of backend messages that the session interprets.
const (
	messageParseComplete = '1'
	messageCloseComplete = '3'
	messageError         = 'E'
)

// response passes a server's response on to the client. It removes the answers to inserted messages and keeps the
// session's prepared statements in step with the server's answers.
type response struct {
	writer     *loomwire.Writer
	statements *statements
	changes    []change
	key        currantloom.RequestKey
	// failed says that an ErrorResponse was passed on.
	failed bool
}

// WriteMessage passes one message on.
func (r *response) WriteMessage(kind byte, length int, body io.Reader) error {
	switch kind {
	case messageParseComplete, messageCloseComplete:
		if len(r.changes) > 0 {
			c := r.changes[0]
			r.changes = r.changes[1:]
			c.apply(r.statements)
			if c.inserted {
				return nil
			}
		}
	case messageError:
		r.failed = true
		return r.writeError(length, body)
	}
	return r.writer.WriteMessage(kind, length, body)
}

// writeError passes a server's error on and adds the verdict: the request ran, and its outcome is this error.
func (r *response) writeError(length int, body io.Reader) error {
	encoded := make([]byte, min(length, maxError))
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
	m.Detail += detail(currantloom.Ran, 0, r.key)
	return r.writer.Send(&m)
}

// Flush sends what is buffered.
func (r *response) Flush() error { return r.writer.Flush() }
