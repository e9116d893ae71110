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
	// readBufferSize is small because an idle session keeps its read buffer.
	readBufferSize = 2 << 10
	// writeTimeout is the time that a client has to receive one buffer of its response.
	writeTimeout = 30 * time.Second
	// lingerTimeout is the time that a client has to close the connection after its session has ended.
	lingerTimeout = time.Second
)

// Session serves one client connection.
type Session struct {
	server       *Server
	conn         net.Conn
	reader       *loomwire.Reader
	writer       *loomwire.Writer
	pid          uint32
	secret       [secretSize]byte
	organisation currantloom.OrganisationName
	database     currantloom.DatabaseName
	parameters   sessionParameters
	statements   preparedStatements
	link         currantloom.Link
	status       currantloom.TransactionStatus
	// transactionKind is the kind of the open transaction; transactionHasRequestID says that it has a request id.
	transactionKind         currantloom.RequestKind
	transactionHasRequestID bool

	mu         sync.Mutex
	busy       bool
	stopping   bool
	runningKey currantloom.RequestKey
}

// timeoutConn sets a deadline for each write to a client.
type timeoutConn struct{ net.Conn }

// Write writes p within writeTimeout.
func (c timeoutConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(p)
}

func newSession(s *Server, conn net.Conn) *Session {
	conn = timeoutConn{conn}
	return &Session{
		server: s, conn: conn, reader: loomwire.NewReaderSize(conn, readBufferSize), writer: loomwire.NewWriter(conn),
		status: currantloom.TransactionIdle,
	}
}

var (
	// errTerminated ends a session whose client sent Terminate or a CancelRequest.
	errTerminated = currantloom.ErrInput.New("client ended the connection")
	// errTruncatedMessage ends a session whose client received only a part of a message.
	errTruncatedMessage = currantloom.ErrInput.New("response was truncated in the middle of a message")
)

// serve runs the session until the client or the node ends it.
func (s *Session) serve(ctx context.Context) {
	defer func() { _ = s.conn.Close() }()
	defer s.releaseLink()
	err := s.startUp()
	for err == nil {
		err = s.serveRequest(ctx)
	}
	// Any other error is an error of the connection itself, on which nothing more can be sent.
	if errorx.IsOfType(err, currantloom.ErrRequest) {
		s.sendFatal(err)
		_ = s.writer.Flush()
		s.linger()
	}
}

// linger discards input until the client has closed the connection. Closing a TCP connection with unread bytes resets
// it, and the client could lose the error that was sent.
func (s *Session) linger() {
	if c, ok := s.conn.(timeoutConn).Conn.(*net.TCPConn); ok {
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
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
		_ = s.conn.SetReadDeadline(time.Now().Add(s.server.idleTransactionTimeout()))
	}
	p := &pipeline{session: s}
	if err := s.readRequest(p); err != nil {
		return s.readTimeoutError(err)
	}
	s.setBusy(true)
	err := s.runRequest(ctx, p)
	s.setBusy(s.status != currantloom.TransactionIdle)
	return err
}

// readTimeoutError translates an expired read deadline into the error that is sent to the client.
func (s *Session) readTimeoutError(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if s.status != currantloom.TransactionIdle {
		return currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateIdleInTransaction, 0,
			"transaction was idle for %s", s.server.idleTransactionTimeout())
	}
	return errShuttingDown()
}

func errShuttingDown() error {
	return currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateShuttingDown, time.Second,
		"node is shutting down")
}

// stopWhenIdle ends the session as soon as it has neither a request nor a transaction.
func (s *Session) stopWhenIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	if !s.busy {
		_ = s.conn.SetReadDeadline(time.Now())
	}
}

// setBusy records whether the session has a request or a transaction, which a shutdown does not interrupt.
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
	s.runningKey = key
}

// cancel cancels the request that runs now, if any. The key identifies it, so that a later request is not affected.
func (s *Session) cancel() {
	s.mu.Lock()
	key := s.runningKey
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
		return false, s.sendErrorEarly(p)
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

// sendErrorEarly sends the pipeline's error before its end, because a client that sends Flush waits for an answer.
func (s *Session) sendErrorEarly(p *pipeline) error {
	if !p.errorSent {
		p.errorSent = true
		s.sendRefusal(p.err)
	}
	return s.writer.Flush()
}

// add decodes a message and adds it to the pipeline.
func (p *pipeline) add(kind byte, body []byte) error {
	switch kind {
	case 'Q':
		return decodeAndAdd(body, &pgproto3.Query{}, p.query)
	case 'P':
		return decodeAndAdd(body, &pgproto3.Parse{}, p.parse)
	case 'B':
		return decodeAndAdd(body, &pgproto3.Bind{}, p.bind)
	case 'D':
		return decodeAndAdd(body, &pgproto3.Describe{}, p.describe)
	case 'E':
		return decodeAndAdd(body, &pgproto3.Execute{}, p.executePortal)
	case 'C':
		return decodeAndAdd(body, &pgproto3.Close{}, p.close)
	default:
		return protocolError("unexpected message of type %q", kind)
	}
}

func decodeAndAdd[M interface{ Decode([]byte) error }](body []byte, m M, add func(M) error) error {
	if err := m.Decode(body); err != nil {
		return protocolError("malformed message: %v", err)
	}
	return add(m)
}
