package currantloom

import "time"

// Session is the client's side of one session.
type Session interface {
	// Startup returns the database that the client asks for.
	Startup() (DatabaseName, error)
	// Next returns the client's next statement.
	Next() (Statement, error)
	// Answer writes the reply to the startup or to the last statement.
	Answer(Reply) error
	// SetReadDeadline bounds Startup and Next, SetWriteDeadline bounds Answer. The zero time means no bound.
	SetReadDeadline(at time.Time) error
	SetWriteDeadline(at time.Time) error
	Close() error
}

// SessionListener accepts sessions of clients.
type SessionListener interface {
	Accept() (Session, error)
	Close() error
}
