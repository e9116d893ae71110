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

// cancelTimeout bounds a cancel request, and the time that an upstream has to answer a request whose context has ended.
const cancelTimeout = time.Second

// Conn is a connection to an upstream.
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
	// needsProbe says that the connection has to be probed before reuse.
	needsProbe bool
	// running says that a request is in progress. Cancel requests are sent only then, so they affect nothing else.
	running bool
	// pendingCancels is the number of cancel requests in progress; cancelsDone is closed when the last one ends.
	pendingCancels int
	cancelsDone    chan struct{}
	// stallTimeout is the longest time without a received byte. finalDeadline is the time at which the use of the
	// connection ends after its context has ended, zero before that.
	stallTimeout  time.Duration
	finalDeadline time.Time
}

func newConn(p *Pool, h *pgconn.HijackedConn) *Conn {
	c := &Conn{pool: p, conn: h.Conn, pid: h.PID, secret: h.SecretKey, status: currantloom.TransactionIdle}
	c.reader = loomwire.NewReader(deadlineReader{c})
	return c
}

func (c *Conn) close() { _ = c.conn.Close() }

// deadlineReader reads from a connection with the read deadline of its current use.
type deadlineReader struct{ conn *Conn }

// Read reads at least one byte, or fails at the deadline.
func (r deadlineReader) Read(p []byte) (int, error) {
	if err := r.conn.setDeadline(r.conn.conn.SetReadDeadline); err != nil {
		return 0, err
	}
	return r.conn.conn.Read(p)
}

// setDeadline sets the deadline of the next read or write. It holds the lock so that a deadline set by expire is not
// overwritten by a later one.
func (c *Conn) setDeadline(set func(time.Time) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := c.finalDeadline
	if deadline.IsZero() && c.stallTimeout > 0 {
		deadline = time.Now().Add(c.stallTimeout)
	}
	return set(deadline)
}

// beginUse begins a use of the connection and returns the function that ends it. When the context ends, the upstream
// gets a cancel request and has cancelTimeout to answer, so that the outcome is usually known and the connection stays
// usable.
func (c *Conn) beginUse(ctx context.Context, stallTimeout time.Duration) func() {
	c.mu.Lock()
	c.stallTimeout, c.finalDeadline, c.running = stallTimeout, time.Time{}, true
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
	c.finalDeadline = time.Now().Add(cancelTimeout)
	_ = c.conn.SetDeadline(c.finalDeadline)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = c.Cancel(ctx)
}

// markFailed keeps the connection from being used again.
func (c *Conn) markFailed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = true
}

// Cancel asks the upstream to cancel the request that runs on the connection, and waits until the upstream has closed
// the connection that the cancel request was sent on. Until then the connection is not used again, so the cancel
// request cannot affect a later request. If no request is running, Cancel does nothing.
func (c *Conn) Cancel(ctx context.Context) error {
	if !c.beginCancel() {
		return nil
	}
	return c.finishCancel(ctx)
}

// beginCancel reports whether a request is running. If so, the connection is not used again until finishCancel.
func (c *Conn) beginCancel() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.running {
		return false
	}
	if c.pendingCancels == 0 {
		c.cancelsDone = make(chan struct{})
	}
	c.pendingCancels++
	return true
}

func (c *Conn) finishCancel(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	err := c.sendCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.needsProbe = true
	if err != nil {
		// The upstream may still process the cancel request, when another request runs on the connection.
		c.failed = true
	}
	if c.pendingCancels--; c.pendingCancels == 0 {
		close(c.cancelsDone)
	}
	return err
}

func (c *Conn) sendCancel(ctx context.Context) error {
	failed := func(err error) error {
		return currantloom.ErrUnavailable.Wrap(err, "cancel at server %s", c.pool.upstream.Name())
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", c.pool.upstream.Address())
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

// awaitCancels waits for the cancel requests in progress; each is bounded by cancelTimeout.
func (c *Conn) awaitCancels() {
	c.mu.Lock()
	done := c.cancelsDone
	c.mu.Unlock()
	if done != nil {
		<-done
	}
}

// Release returns the connection to the pool if it is clean and closes it otherwise. It first waits for the cancel
// requests in progress.
func (c *Conn) Release() {
	c.awaitCancels()
	c.mu.Lock()
	failed := c.failed
	c.mu.Unlock()
	clean := !failed && c.status == currantloom.TransactionIdle && c.reader.Buffered() == 0
	c.pool.release(c, clean)
}

// isUsable reports whether an idle connection can run a request. It probes the connection if that is necessary.
func (c *Conn) isUsable(ctx context.Context) bool {
	if !c.hasNoInput() {
		return false
	}
	c.mu.Lock()
	probe := c.needsProbe || time.Since(c.idleSince) > probeAfterIdle
	c.needsProbe = false
	c.mu.Unlock()
	if !probe {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := c.query(ctx, encodeQuery(""))
	return err == nil
}

// hasNoInput reports, without waiting, whether the connection is open and the socket holds no unread bytes. An upstream
// that has ended or is shutting down has usually closed the connection or sent an error by then. Detecting that here
// avoids a request with an unknown outcome.
func (c *Conn) hasNoInput() bool {
	s, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noInput = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && noInput
}

// query sends messages that are answered by one ReadyForQuery, and returns the rows. It is used for control calls and
// probes. Any error other than an answer of the upstream makes the connection unusable.
func (c *Conn) query(ctx context.Context, messages []byte) ([][]string, error) {
	limit := probeTimeout
	if deadline, ok := ctx.Deadline(); ok {
		limit = time.Until(deadline)
	}
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Now()) })
	defer func() {
		if !stop() {
			c.markFailed()
		}
	}()
	c.mu.Lock()
	c.stallTimeout, c.finalDeadline = 0, time.Now().Add(limit)
	c.mu.Unlock()
	if _, err := c.conn.Write(messages); err != nil {
		c.markFailed()
		return nil, err
	}
	r, err := c.readResponse()
	if err != nil {
		c.markFailed()
		return nil, err
	}
	if r.upstreamError != nil {
		return nil, r.upstreamError
	}
	return r.rows, nil
}

// response is a decoded response up to ReadyForQuery, of messages that the pool itself has sent.
type response struct {
	rows          [][]string
	commandTag    string
	upstreamError *pgconn.PgError
	// position is the value of group_position, empty if the upstream reported none.
	position string
}

func (r *response) sqlState() currantloom.SQLState {
	if r.upstreamError == nil {
		return ""
	}
	return currantloom.SQLState(r.upstreamError.Code)
}

// readResponse reads and decodes messages up to ReadyForQuery without forwarding them.
func (c *Conn) readResponse() (response, error) {
	var r response
	for {
		kind, _, err := c.reader.Next()
		if err != nil {
			return r, err
		}
		switch kind {
		case 'Z', 'D', 'C', 'E', 'S':
		default:
			continue
		}
		body, err := c.reader.Body()
		if err != nil {
			return r, err
		}
		switch kind {
		case 'Z':
			return r, c.setStatus(body)
		case 'D':
			err = r.addRow(body)
		case 'C':
			r.commandTag, err = parseCommandTag(body)
		case 'E':
			err = r.setUpstreamError(body)
		case 'S':
			if name, value := parseStatusParameter(body); name == positionParameter {
				r.position = value
			}
		}
		if err != nil {
			return r, err
		}
	}
}

func (c *Conn) setStatus(body []byte) error {
	if len(body) != 1 {
		return currantloom.ErrInput.New("ReadyForQuery of %d bytes", len(body))
	}
	c.status = currantloom.TransactionStatus(body[0])
	return nil
}

func (r *response) addRow(body []byte) error {
	var m pgproto3.DataRow
	if err := m.Decode(body); err != nil {
		return err
	}
	var row []string
	for _, v := range m.Values {
		row = append(row, string(v))
	}
	r.rows = append(r.rows, row)
	return nil
}

func (r *response) setUpstreamError(body []byte) error {
	upstreamError, err := parseError(body)
	if err == nil && r.upstreamError == nil {
		r.upstreamError = upstreamError
	}
	return err
}

// parseError decodes an ErrorResponse. One that ends the connection is returned as the second result.
func parseError(body []byte) (*pgconn.PgError, error) {
	var m pgproto3.ErrorResponse
	if err := m.Decode(body); err != nil {
		return nil, err
	}
	upstreamError := pgconn.ErrorResponseToPgError(&m)
	if severity := m.SeverityUnlocalized; severity == "FATAL" || severity == "PANIC" {
		return nil, upstreamError
	}
	return upstreamError, nil
}

func parseCommandTag(body []byte) (string, error) {
	var m pgproto3.CommandComplete
	if err := m.Decode(body); err != nil {
		return "", err
	}
	return string(m.CommandTag), nil
}
