package loomserver

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

// cancelLimit bounds a cancel request, and the time that a server has to answer a request whose context has ended.
const cancelLimit = time.Second

// Conn is one connection to a database server.
type Conn struct {
	pool      *Pool
	conn      net.Conn
	reader    *loomwire.Reader
	pid       uint32
	secret    []byte
	idleSince time.Time
	readOnly  bool
	status    currantloom.TransactionStatus

	mu sync.Mutex
	// failed says that the connection must not be used again.
	failed bool
	// suspect says that the connection has to be probed before reuse.
	suspect bool
	// running says that a request is at the server, so that a cancel can hit nothing else.
	running bool
	// cancels is the number of cancel requests under way; cancelled is closed when the last one ends.
	cancels   int
	cancelled chan struct{}
	// progress is the longest time without a byte; expired is the time at which a use ends whose context is done.
	progress time.Duration
	expired  time.Time
}

func newConn(p *Pool, h *pgconn.HijackedConn) *Conn {
	c := &Conn{pool: p, conn: h.Conn, pid: h.PID, secret: h.SecretKey, status: currantloom.TransactionIdle}
	c.reader = loomwire.NewReader(connReader{c})
	return c
}

func (c *Conn) close() { _ = c.conn.Close() }

// connReader reads from the connection with the deadlines of its use.
type connReader struct{ c *Conn }

// Read reads at least one byte or fails when the use makes no progress.
func (r connReader) Read(p []byte) (int, error) {
	if err := r.c.setDeadline(r.c.conn.SetReadDeadline); err != nil {
		return 0, err
	}
	return r.c.conn.Read(p)
}

// setDeadline sets the deadline of the next step. It excludes expire, which must not be overwritten by a later one.
func (c *Conn) setDeadline(set func(time.Time) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := c.expired
	if deadline.IsZero() && c.progress > 0 {
		deadline = time.Now().Add(c.progress)
	}
	return set(deadline)
}

// start begins a use of the connection and returns the function that ends it. When the context ends, the server gets
// a cancel request and a short time to answer, so that the outcome is usually known and the connection stays usable.
func (c *Conn) start(ctx context.Context, progress time.Duration) func() {
	c.mu.Lock()
	c.progress, c.expired, c.running = progress, time.Time{}, true
	c.mu.Unlock()
	expiry := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(expiry)
		c.expire()
	})
	return func() {
		c.mu.Lock()
		c.running = false
		c.mu.Unlock()
		if !stop() {
			<-expiry
		}
	}
}

func (c *Conn) expire() {
	c.mu.Lock()
	c.expired = time.Now().Add(cancelLimit)
	_ = c.conn.SetDeadline(c.expired)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), cancelLimit)
	defer cancel()
	_ = c.Cancel(ctx)
}

// fail marks the connection as unusable.
func (c *Conn) fail() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = true
}

// Cancel asks the server to cancel what runs on the connection and waits until the server has closed the connection
// that carried the request. Until then the connection is not used again, so the cancel cannot hit later work. Without
// a request at the server it does nothing.
func (c *Conn) Cancel(ctx context.Context) error {
	if !c.beginCancel() {
		return nil
	}
	return c.finishCancel(ctx)
}

// beginCancel keeps the connection from being used again until finishCancel, if a request is at the server.
func (c *Conn) beginCancel() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.running {
		return false
	}
	if c.cancels == 0 {
		c.cancelled = make(chan struct{})
	}
	c.cancels++
	return true
}

func (c *Conn) finishCancel(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, cancelLimit)
	defer stop()
	err := c.sendCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspect = true
	if err != nil {
		// The server may still process the request, whatever runs on the connection by then.
		c.failed = true
	}
	if c.cancels--; c.cancels == 0 {
		close(c.cancelled)
	}
	return err
}

func (c *Conn) sendCancel(ctx context.Context) error {
	failed := func(err error) error {
		return currantloom.ErrUnavailable.Wrap(err, "cancel at server %s", c.pool.server.Name())
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", c.pool.server.Address())
	if err != nil {
		return failed(err)
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	m := pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}
	encoded, err := m.Encode(nil)
	if err != nil {
		return failed(err)
	}
	if _, err := conn.Write(encoded); err != nil {
		return failed(err)
	}
	if _, err := conn.Read(make([]byte, 1)); ctx.Err() != nil {
		return failed(err)
	}
	return nil
}

// awaitCancels waits for the cancel requests under way; each is bounded by cancelLimit.
func (c *Conn) awaitCancels() {
	c.mu.Lock()
	cancelled := c.cancelled
	c.mu.Unlock()
	if cancelled != nil {
		<-cancelled
	}
}

// Release returns the connection to the pool if it is clean and closes it otherwise. It waits for a cancel request
// that is under way.
func (c *Conn) Release() {
	c.awaitCancels()
	c.mu.Lock()
	failed := c.failed
	c.mu.Unlock()
	clean := !failed && c.status == currantloom.TransactionIdle && c.reader.Buffered() == 0
	c.pool.release(c, clean)
}

// usable reports whether an idle connection can take a request.
func (c *Conn) usable(ctx context.Context) bool {
	if !c.quiet() {
		return false
	}
	c.mu.Lock()
	probe := c.suspect || time.Since(c.idleSince) > idleLimit
	c.suspect = false
	c.mu.Unlock()
	if !probe {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	_, err := c.query(ctx, queryMessage(""))
	return err == nil
}

// quiet reports whether the connection is open and holds no unread bytes, without waiting. A server that is gone or
// shutting down has usually said so by then, which saves a request from an unknown outcome.
func (c *Conn) quiet() bool {
	s, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// query sends messages that end in one ReadyForQuery and returns the rows. It is used for control calls and probes.
// Any error makes the connection unusable.
func (c *Conn) query(ctx context.Context, messages []byte) ([][]string, error) {
	limit := probeLimit
	if deadline, ok := ctx.Deadline(); ok {
		limit = time.Until(deadline)
	}
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Now()) })
	defer func() {
		if !stop() {
			c.fail()
		}
	}()
	c.mu.Lock()
	c.progress, c.expired = 0, time.Now().Add(limit)
	c.mu.Unlock()
	if _, err := c.conn.Write(messages); err != nil {
		c.fail()
		return nil, err
	}
	s, err := c.readSegment()
	if err != nil {
		c.fail()
		return nil, err
	}
	if s.failure != nil {
		return nil, s.failure
	}
	return s.rows, nil
}

// segment is an answer that the pool reads itself, up to ReadyForQuery.
type segment struct {
	rows    [][]string
	tag     string
	failure *pgconn.PgError
	// position is the value of group_position, empty if the server reported none.
	position string
}

func (s *segment) code() currantloom.SQLState {
	if s.failure == nil {
		return ""
	}
	return currantloom.SQLState(s.failure.Code)
}

// readSegment reads messages up to ReadyForQuery without passing them on.
func (c *Conn) readSegment() (segment, error) {
	var s segment
	for {
		kind, _, err := c.reader.Next()
		if err != nil {
			return s, err
		}
		switch kind {
		case 'Z', 'D', 'C', 'E', 'S':
		default:
			continue
		}
		body, err := c.reader.Body()
		if err != nil {
			return s, err
		}
		switch kind {
		case 'Z':
			return s, c.ready(body)
		case 'D':
			err = s.addRow(body)
		case 'C':
			s.tag, err = commandTag(body)
		case 'E':
			err = s.setFailure(body)
		case 'S':
			if name, value := parseStatusParameter(body); name == positionParameter {
				s.position = value
			}
		}
		if err != nil {
			return s, err
		}
	}
}

func (c *Conn) ready(body []byte) error {
	if len(body) != 1 {
		return currantloom.ErrInput.New("ReadyForQuery of %d bytes", len(body))
	}
	c.status = currantloom.TransactionStatus(body[0])
	return nil
}

func (s *segment) addRow(body []byte) error {
	var m pgproto3.DataRow
	if err := m.Decode(body); err != nil {
		return err
	}
	var row []string
	for _, v := range m.Values {
		row = append(row, string(v))
	}
	s.rows = append(s.rows, row)
	return nil
}

func (s *segment) setFailure(body []byte) error {
	failure, err := parseError(body)
	if err == nil && s.failure == nil {
		s.failure = failure
	}
	return err
}

// parseError reads an ErrorResponse. One that ends the connection is returned as the error.
func parseError(body []byte) (*pgconn.PgError, error) {
	var m pgproto3.ErrorResponse
	if err := m.Decode(body); err != nil {
		return nil, err
	}
	failure := pgconn.ErrorResponseToPgError(&m)
	if severity := m.SeverityUnlocalized; severity == "FATAL" || severity == "PANIC" {
		return nil, failure
	}
	return failure, nil
}

func commandTag(body []byte) (string, error) {
	var m pgproto3.CommandComplete
	if err := m.Decode(body); err != nil {
		return "", err
	}
	return string(m.CommandTag), nil
}
