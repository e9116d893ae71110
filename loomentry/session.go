package loomentry

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/joomcode/errorx"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

const (
	// readAhead is the size of a session's read buffer; an idle session keeps it.
	readAhead = 2 << 10
	// writeLimit is the time a client has to take one buffer of its response.
	writeLimit = 30 * time.Second
	// lingerLimit is how long a client may take to notice that its session has ended.
	lingerLimit = time.Second
)

// Session serves one client connection.
type Session struct {
	server     *Server
	conn       net.Conn
	reader     *loomwire.Reader
	writer     *loomwire.Writer
	pid        uint32
	secret     [secretSize]byte
	caller     currantloom.OrganisationName
	database   currantloom.DatabaseName
	parameters parameters
	statements statements
	link       currantloom.Link
	status     currantloom.TransactionStatus
	// kind is the kind of the open transaction; identified says that it has a request id.
	kind       currantloom.RequestKind
	identified bool

	mu       sync.Mutex
	busy     bool
	stopping bool
	running  currantloom.RequestKey
}

// clientConn gives each write to a client a time limit.
type clientConn struct{ net.Conn }

// Write sends p within the time limit.
func (c clientConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeLimit))
	return c.Conn.Write(p)
}

func newSession(s *Server, conn net.Conn) *Session {
	conn = clientConn{conn}
	return &Session{
		server: s, conn: conn, reader: loomwire.NewReaderSize(conn, readAhead), writer: loomwire.NewWriter(conn),
		status: currantloom.TransactionIdle,
	}
}

var (
	// errTerminated ends a session whose client sent Terminate, or that carried a CancelRequest.
	errTerminated = currantloom.ErrInput.New("client ended the connection")
	// errBroken ends a session whose client received a part of a message.
	errBroken = currantloom.ErrInput.New("response was cut off in the middle of a message")
)

// serve runs the session until the client or the node ends it.
func (s *Session) serve(ctx context.Context) {
	defer func() { _ = s.conn.Close() }()
	defer s.releaseLink()
	err := s.start()
	for err == nil {
		err = s.serveRequest(ctx)
	}
	// Any other error comes from the connection itself, where nothing can be sent.
	if errorx.IsOfType(err, currantloom.ErrRequest) {
		s.sendFatal(err)
		_ = s.writer.Flush()
		s.linger()
	}
}

// linger reads on until the client has closed the connection. Closing it with unread bytes would reset it, and the
// client could lose the error it was sent.
func (s *Session) linger() {
	if c, ok := s.conn.(clientConn).Conn.(*net.TCPConn); ok {
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(lingerLimit))
		_, _ = io.Copy(io.Discard, c)
	}
}

func (s *Session) releaseLink() {
	if s.link != nil {
		s.link.Release()
		s.link = nil
	}
}

// serveRequest reads and runs one request.
func (s *Session) serveRequest(ctx context.Context) error {
	if s.status != currantloom.TransactionIdle {
		_ = s.conn.SetReadDeadline(time.Now().Add(s.server.idleInTransaction()))
	}
	p := &pipeline{session: s}
	if err := s.readRequest(p); err != nil {
		return s.readError(err)
	}
	s.setBusy(true)
	err := s.runRequest(ctx, p)
	s.setBusy(s.status != currantloom.TransactionIdle)
	return err
}

// readError turns the end of a read limit into the error that the client sees.
func (s *Session) readError(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if s.status != currantloom.TransactionIdle {
		return currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateIdleInTransaction, 0,
			"transaction was idle for %s", s.server.idleInTransaction())
	}
	return errShuttingDown()
}

func errShuttingDown() error {
	return currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateShuttingDown, time.Second,
		"node is shutting down")
}

// stopWhenIdle makes the session end as soon as it has no request and no transaction.
func (s *Session) stopWhenIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	if !s.busy {
		_ = s.conn.SetReadDeadline(time.Now())
	}
}

// setBusy says whether the session has a request or a transaction, which a shutdown does not interrupt.
func (s *Session) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	if s.stopping && !busy {
		_ = s.conn.SetReadDeadline(time.Now())
		return
	}
	_ = s.conn.SetReadDeadline(time.Time{})
}

func (s *Session) setRunning(key currantloom.RequestKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = key
}

// cancel gives up the request that runs now, if any. The lock keeps it from hitting a later one.
func (s *Session) cancel() {
	s.mu.Lock()
	key := s.running
	s.mu.Unlock()
	if key != (currantloom.RequestKey{}) {
		s.server.Gateway.Cancel(key)
	}
}

// readRequest reads messages up to a Query or a Sync.
func (s *Session) readRequest(p *pipeline) error {
	for {
		kind, _, err := s.reader.Next()
		if err != nil {
			return err
		}
		done, err := s.readMessage(p, kind)
		if done || err != nil {
			return err
		}
	}
}

// readMessage reads one message and reports whether it ends the request. After an error the rest of a pipeline is
// skipped.
func (s *Session) readMessage(p *pipeline, kind byte) (done bool, err error) {
	switch kind {
	case 'X':
		return true, errTerminated
	case 'S':
		return true, p.append(&pgproto3.Sync{})
	}
	if p.failed() {
		return false, nil
	}
	switch kind {
	case 'H':
		p.fail(unsupported("Flush message is not supported"))
		return false, s.reportEarly(p)
	case 'F':
		p.fail(unsupported("FunctionCall message is not supported"))
		return true, nil
	case 'd', 'c', 'f':
		// PostgreSQL ignores copy messages outside a COPY.
		return false, nil
	}
	body, err := s.reader.Body()
	if err != nil {
		return true, err
	}
	return kind == 'Q', p.add(kind, body)
}

// reportEarly sends an error before the end of the pipeline, because the client of a Flush waits for it.
func (s *Session) reportEarly(p *pipeline) error {
	if !p.reported {
		p.reported = true
		s.refuse(p.err)
	}
	return s.writer.Flush()
}

// add decodes one message and adds it to the pipeline.
func (p *pipeline) add(kind byte, body []byte) error {
	switch kind {
	case 'Q':
		return decoded(body, &pgproto3.Query{}, p.query)
	case 'P':
		return decoded(body, &pgproto3.Parse{}, p.parse)
	case 'B':
		return decoded(body, &pgproto3.Bind{}, p.bind)
	case 'D':
		return decoded(body, &pgproto3.Describe{}, p.describe)
	case 'E':
		return decoded(body, &pgproto3.Execute{}, p.executePortal)
	case 'C':
		return decoded(body, &pgproto3.Close{}, p.close)
	default:
		return protocolError("unexpected message of type %q", kind)
	}
}

func decoded[M interface{ Decode([]byte) error }](body []byte, m M, add func(M) error) error {
	if err := m.Decode(body); err != nil {
		return protocolError("malformed message: %v", err)
	}
	return add(m)
}
