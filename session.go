package currantloom

// SessionListener accepts sessions of clients.
type SessionListener interface {
	Accept() (Session, error)
	Close() error
}
