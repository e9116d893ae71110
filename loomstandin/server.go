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

// Options describe a server of a group. Zero values mean no limit and no delay.
type Options struct {
	// Listener accepts clients and replicas; its address names the server in its group.
	Listener net.Listener
	// Size is the number of servers of the group; zero means three.
	Size int
	// Bootstrap is the address of the first primary if the server belongs to a group that never ran before; without
	// it a server without a journal counts as one that lost its log.
	Bootstrap string
	// Journal is the file that keeps the log and the grants over a restart; empty keeps them in memory only.
	Journal string
	// Slots is the number of statements that run at a time; further ones wait.
	Slots int
	// MaxConns is the number of client connections; further ones are refused with 53300.
	MaxConns int
	// ConnectDelay is the time it takes to open a connection, StatementTime the time a statement uses its slot.
	ConnectDelay, StatementTime time.Duration
	// ApplyDelay is the time from the receipt of an entry at a replica until the replica applies it, NetworkDelay that of
	// messages from the primary to a replica.
	ApplyDelay, NetworkDelay time.Duration
}

// Server is one server of a database group.
type Server struct {
	options    Options
	member     *member
	slots      chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	pid        atomic.Uint32
	networkLag atomic.Int64
	stateTime  atomic.Int64
	cancelLag  atomic.Int64

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	sessions map[uint32]*session
	clients  int
	resumed  chan struct{}
	fault    CommitFault
}

// CommitFault is what happens to the connection at the next commit.
type CommitFault uint8

// A connection can be lost before the commit takes effect, or after it and before its answer.
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
	m.lag = o.ApplyDelay
	s := &Server{
		options: o, member: m, conns: make(map[net.Conn]struct{}), sessions: make(map[uint32]*session),
	}
	s.networkLag.Store(int64(o.NetworkDelay))
	s.stateTime.Store(int64(o.StatementTime))
	if o.Slots > 0 {
		s.slots = make(chan struct{}, o.Slots)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.goroutines.Go(s.accept)
	s.goroutines.Go(func() { s.followLoop(s.ctx) })
	s.goroutines.Go(func() { m.applyLoop(s.ctx) })
	return s, nil
}

// Address returns the address the server listens at.
func (s *Server) Address() string { return s.member.name }

// Close stops the server as a killed process would: open transactions are lost. It waits for the server's goroutines.
func (s *Server) Close() error {
	s.cancel()
	err := s.options.Listener.Close()
	s.CloseConnections()
	s.goroutines.Wait()
	s.member.journal.close()
	return err
}

// CloseConnections closes all connections of clients and replicas.
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

// SetApplyDelay changes the time after which a replica applies the entries that it receives from now on.
func (s *Server) SetApplyDelay(lag time.Duration) {
	s.member.mu.Lock()
	defer s.member.mu.Unlock()
	s.member.lag = lag
}

// SetNetworkDelay changes the delay of messages from the primary.
func (s *Server) SetNetworkDelay(delay time.Duration) { s.networkLag.Store(int64(delay)) }

// SetStatementTime changes the time a statement uses its slot.
func (s *Server) SetStatementTime(d time.Duration) { s.stateTime.Store(int64(d)) }

// SetCancelDelay changes the time after which a cancel request is processed.
func (s *Server) SetCancelDelay(d time.Duration) { s.cancelLag.Store(int64(d)) }

func (s *Server) delay() time.Duration { return time.Duration(s.networkLag.Load()) }

// Pause makes the server silent: it accepts connections and answers nothing until Resume.
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

// FailNextCommit makes the next commit that writes lose its connection.
func (s *Server) FailNextCommit(fault CommitFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *Server) takeFault() CommitFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.fault
	s.fault = NoFault
	return fault
}

// gate blocks while the server is paused.
func (s *Server) gate(ctx context.Context) error {
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

// pause waits for the duration and reports whether the context is still alive.
func (s *Server) pause(ctx context.Context, d time.Duration) bool {
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
		if err != nil || s.gate(ctx) != nil {
			return
		}
		switch m := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return
			}
			continue
		case *pgproto3.CancelRequest:
			if s.pause(ctx, time.Duration(s.cancelLag.Load())) {
				s.cancelSession(m)
			}
		case *pgproto3.StartupMessage:
			if _, ok := m.Parameters[replicationParameter]; ok {
				s.serveStream(ctx, b)
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

// serveClient opens a session if the connection limit allows it.
func (s *Server) serveClient(ctx context.Context, cancel context.CancelFunc, b *pgproto3.Backend) {
	s.mu.Lock()
	full := s.options.MaxConns > 0 && s.clients >= s.options.MaxConns
	if !full {
		s.clients++
	}
	s.mu.Unlock()
	if full {
		b.Send(&pgproto3.ErrorResponse{
			Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: "53300", Message: "too many connections",
		})
		_ = b.Flush()
		return
	}
	pid := s.pid.Add(1)
	// The key only has to differ from a wrong guess in a test.
	secret := binary.BigEndian.AppendUint32(nil, uint32(time.Now().UnixNano())^pid)
	session := newSession(s, b, pid, secret, cancel)
	s.mu.Lock()
	s.sessions[pid] = session
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.sessions, pid)
		s.clients--
	}()
	if !s.pause(ctx, s.options.ConnectDelay) {
		return
	}
	session.serve(ctx)
}

var errCanceled = newError("57014", "canceling statement due to user request")

// useSlot waits for a slot and returns the function that gives it back.
func (s *Server) useSlot(ctx context.Context) (func(), error) {
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

// asSQLError returns the error as one with a code.
func asSQLError(err error) *sqlError {
	var e *sqlError
	if errors.As(err, &e) {
		return e
	}
	return &sqlError{code: "XX000", message: err.Error()}
}
