package loomstandin

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Options configures a server of a group. Zero values mean no limit and no delay.
type Options struct {
	// Listener accepts connections of clients and replicas. Its address identifies the server in its group.
	Listener net.Listener
	// Size is the number of servers of the group; zero means three.
	Size int
	// Bootstrap is the address of the first primary of a new group. Without it, a server without a journal counts as
	// one that lost its log.
	Bootstrap string
	// Journal is the file that keeps the log and the grants across restarts. If it is empty, they are kept in memory.
	Journal string
	// Slots is the maximum number of statements that run at a time; further ones wait.
	Slots int
	// MaxConnections is the maximum number of client connections; further ones are refused with SQLSTATE 53300.
	MaxConnections int
	// ConnectDelay is the time that opening a connection takes, StatementTime the time that a statement occupies a slot.
	ConnectDelay, StatementTime time.Duration
	// ApplyDelay is the time from the receipt of an entry until a replica applies it, NetworkDelay the delay of messages
	// from the primary.
	ApplyDelay, NetworkDelay time.Duration
}

// Server is one server of a database group. It speaks the PostgreSQL protocol.
type Server struct {
	options       Options
	member        *member
	slots         chan struct{}
	ctx           context.Context
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
	lastPID       atomic.Uint32
	networkDelay  atomic.Int64
	statementTime atomic.Int64
	cancelDelay   atomic.Int64

	mu          sync.Mutex
	conns       map[net.Conn]struct{}
	sessions    map[uint32]*session
	clientCount int
	// resumed is closed at the end of a pause; nil if the server is not paused.
	resumed     chan struct{}
	commitFault CommitFault
}

// CommitFault selects whether the connection of the next commit is dropped.
type CommitFault uint8

// A connection can be dropped before the commit takes effect, or after it and before the response.
const (
	NoFault CommitFault = iota
	DropBeforeCommit
	DropAfterCommit
)

// Start starts a server.
func Start(o Options) (*Server, error) {
	if o.Size == 0 {
		o.Size = 3
	}
	m, err := newMember(o.Listener.Addr().String(), o.Size, o.Journal, o.Bootstrap)
	if err != nil {
		return nil, err
	}
	m.applyDelay = o.ApplyDelay
	s := &Server{
		options: o, member: m, conns: make(map[net.Conn]struct{}), sessions: make(map[uint32]*session),
	}
	s.networkDelay.Store(int64(o.NetworkDelay))
	s.statementTime.Store(int64(o.StatementTime))
	if o.Slots > 0 {
		s.slots = make(chan struct{}, o.Slots)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.goroutines.Go(s.accept)
	s.goroutines.Go(func() { s.replicationLoop(s.ctx) })
	s.goroutines.Go(func() { m.applyLoop(s.ctx) })
	return s, nil
}

// Address returns the address the server listens at.
func (s *Server) Address() string { return s.member.name }

// Close stops the server as if its process were killed: open transactions are lost. It waits for the server's
// goroutines.
func (s *Server) Close() error {
	s.cancel()
	err := s.options.Listener.Close()
	s.CloseConnections()
	s.goroutines.Wait()
	s.member.journal.close()
	return err
}

// CloseConnections closes all connections from clients and replicas.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
	for _, session := range s.sessions {
		session.cancel()
	}
}

// SetApplyDelay changes the apply delay of the entries that the server receives from now on as a replica.
func (s *Server) SetApplyDelay(delay time.Duration) {
	s.member.mu.Lock()
	defer s.member.mu.Unlock()
	s.member.applyDelay = delay
}

// SetNetworkDelay changes the delay of messages from the primary to this server.
func (s *Server) SetNetworkDelay(delay time.Duration) { s.networkDelay.Store(int64(delay)) }

// SetStatementTime changes the time that a statement occupies a slot.
func (s *Server) SetStatementTime(d time.Duration) { s.statementTime.Store(int64(d)) }

// SetCancelDelay changes the time after which a cancel request is processed.
func (s *Server) SetCancelDelay(d time.Duration) { s.cancelDelay.Store(int64(d)) }

func (s *Server) messageDelay() time.Duration { return time.Duration(s.networkDelay.Load()) }

// Pause makes the server unresponsive: it accepts connections and sends nothing until Resume.
func (s *Server) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed == nil {
		s.resumed = make(chan struct{})
	}
}

// Resume ends a pause.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
}

// FailNextCommit drops the connection of the next commit that writes, as the fault says.
func (s *Server) FailNextCommit(fault CommitFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitFault = fault
}

func (s *Server) takeCommitFault() CommitFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.commitFault
	s.commitFault = NoFault
	return fault
}

// awaitResumed blocks while the server is paused.
func (s *Server) awaitResumed(ctx context.Context) error {
	s.mu.Lock()
	resumed := s.resumed
	s.mu.Unlock()
	if resumed == nil {
		return ctx.Err()
	}
	select {
	case <-resumed:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sleep waits for the duration and returns false if the context ended before.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.options.Listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		s.goroutines.Go(func() { s.serve(conn) })
	}
}

func (s *Server) serve(conn net.Conn) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	if s.ctx.Err() != nil {
		return
	}
	b := pgproto3.NewBackend(conn, conn)
	for {
		message, err := b.ReceiveStartupMessage()
		if err != nil || s.awaitResumed(ctx) != nil {
			return
		}
		switch m := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return
			}
			continue
		case *pgproto3.CancelRequest:
			if s.sleep(ctx, time.Duration(s.cancelDelay.Load())) {
				s.cancelSession(m)
			}
		case *pgproto3.StartupMessage:
			if _, ok := m.Parameters[replicationParameter]; ok {
				s.serveReplication(ctx, b)
				return
			}
			s.serveClient(ctx, cancel, b)
		}
		return
	}
}

func (s *Server) cancelSession(m *pgproto3.CancelRequest) {
	s.mu.Lock()
	session := s.sessions[m.ProcessID]
	s.mu.Unlock()
	if session != nil && string(session.secret) == string(m.SecretKey) {
		session.cancelRequest()
	}
}

// serveClient runs a session, unless the connection limit is reached.
func (s *Server) serveClient(ctx context.Context, cancel context.CancelFunc, b *pgproto3.Backend) {
	s.mu.Lock()
	full := s.options.MaxConnections > 0 && s.clientCount >= s.options.MaxConnections
	if !full {
		s.clientCount++
	}
	s.mu.Unlock()
	if full {
		b.Send(&pgproto3.ErrorResponse{
			Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: "53300", Message: "too many connections",
		})
		_ = b.Flush()
		return
	}
	pid := s.lastPID.Add(1)
	// Not a secure key: it only has to differ from the wrong keys that tests send.
	secret := binary.BigEndian.AppendUint32(nil, uint32(time.Now().UnixNano())^pid)
	session := newSession(s, b, pid, secret, cancel)
	s.mu.Lock()
	s.sessions[pid] = session
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.sessions, pid)
		s.clientCount--
	}()
	if !s.sleep(ctx, s.options.ConnectDelay) {
		return
	}
	session.serve(ctx)
}

var errCanceled = newSQLError("57014", "canceling statement due to user request")

// acquireSlot waits for a slot and returns the function that releases it.
func (s *Server) acquireSlot(ctx context.Context) (func(), error) {
	if s.slots == nil {
		return func() {}, nil
	}
	select {
	case s.slots <- struct{}{}:
		return func() { <-s.slots }, nil
	case <-ctx.Done():
		return nil, errCanceled
	}
}

// toSQLError returns the error as an sqlError; an error without an SQLSTATE gets XX000.
func toSQLError(err error) *sqlError {
	var e *sqlError
	if errors.As(err, &e) {
		return e
	}
	return &sqlError{code: "XX000", message: err.Error()}
}
