package loomentry

import (
	"io"

	"currantloom.example/currantloom/loomwire"
)

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
	}
	return r.writer.WriteMessage(kind, length, body)
}

// Flush sends what is buffered.
func (r *response) Flush() error { return r.writer.Flush() }
