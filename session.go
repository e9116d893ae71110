package currantloom

import "time"

// Startup is what a client says of itself at the start of its session.
type Startup struct {
	Database DatabaseName
	// Key is the digest of the client's API key; zero if it gave none.
	Key KeyDigest
}

// Session is the connection of a client: it reads statements and writes replies.
type Session interface {
	// Startup returns the startup of the client.
	Startup() (Startup, error)
	// Next returns the client's next statement.
	Next() (Statement, error)
	// WriteReply writes the reply to the startup or to the last statement.
	WriteReply(Reply) error
	// End tells the client that its session ends, and why. A statement that was on its way is answered with the same
	// reply and is not returned by Next. End returns after that, when the client has closed the session, or after the
	// wait time.
	End(reply Reply, wait time.Duration) error
	// SetReadDeadline bounds Startup and Next, SetWriteDeadline bounds WriteReply. The zero time means no bound.
	SetReadDeadline(at time.Time) error
	SetWriteDeadline(at time.Time) error
	Close() error
}

// SessionListener accepts client sessions.
type SessionListener interface {
	Accept() (Session, error)
	Close() error
}
