package loomentry

import (
	"context"
	"net"
	"sync"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

const (
	defaultIdleTransactionTimeout = 10 * time.Second
	defaultStartupTimeout         = 10 * time.Second
)

// Server accepts client connections.
type Server struct {
	Gateway     currantloom.Gateway
	Credentials *Credentials
	// VM is the name of this node's VM; it determines the process ids that are reported to clients.
	VM currantloom.VMName
	// ForwardCancel forwards a CancelRequest that matches no session of this node to the node that reported its process
	// id. If it is nil, such a CancelRequest is ignored.
	ForwardCancel func(pid uint32, secret []byte)
	// IdleTransactionTimeout is the longest time that an open transaction may wait for its next request; zero means 10 s.
	IdleTransactionTimeout time.Duration
	// StartupTimeout bounds the time from the accepted connection to the end of the authentication; zero means 10 s.
	StartupTimeout time.Duration

	mu       sync.Mutex
	sessions map[uint32]*Session
	closed   bool
	wait     sync.WaitGroup
	lastPID  uint32
}

func (s *Server) idleTransactionTimeout() time.Duration {
	if s.IdleTransactionTimeout > 0 {
		return s.IdleTransactionTimeout
	}
	return defaultIdleTransactionTimeout
}

func (s *Server) startupTimeout() time.Duration {
	if s.StartupTimeout > 0 {
		return s.StartupTimeout
	}
	return defaultStartupTimeout
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	return loomwire.Accept(listener, func(conn net.Conn) {
		session := newSession(s, conn)
		if !s.add(session) {
			_ = conn.Close()
			return
		}
		go s.serveSession(session)
	})
}

func (s *Server) serveSession(session *Session) {
	defer s.remove(session)
	session.serve(context.Background())
}

func (s *Server) add(session *Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.sessions == nil {
		s.sessions = make(map[uint32]*Session)
	}
	session.pid = s.newPID()
	s.sessions[session.pid] = session
	s.wait.Add(1)
	return true
}

func (s *Server) remove(session *Session) {
	s.mu.Lock()
	delete(s.sessions, session.pid)
	s.mu.Unlock()
	s.wait.Done()
}

// CloseSessions closes the idle sessions at once, and the other present sessions when their request or transaction
// ends.
func (s *Server) CloseSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, session := range s.sessions {
		session.stopWhenIdle()
	}
}

// Close stops accepting sessions, closes the present ones as CloseSessions does and waits until they have ended.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.CloseSessions()
	s.wait.Wait()
	return nil
}
