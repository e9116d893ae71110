package loomserver

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/joomcode/errorx"

	"currantloom.example/currantloom"
)

const (
	// probeAfterIdle is the idle time after which a connection is probed before use, because it may be silently dead.
	probeAfterIdle = 5 * time.Second
	// probeTimeout bounds a probe; a connection that does not answer within it is closed.
	probeTimeout = 500 * time.Millisecond
	// connectTimeout bounds the opening of a connection. It is far above the 25 ms that the slowest upstreams take.
	connectTimeout = 2 * time.Second
)

// runtimeParameters are the parameters of all connections. Sessions rely on those that change how texts are read: the
// classification of statements on standard_conforming_strings, and a client on the values that loomentry reports to it.
var runtimeParameters = map[string]string{
	"application_name": "currantloom", "client_encoding": "UTF8", "DateStyle": "ISO, MDY", "TimeZone": "UTC",
	"standard_conforming_strings": "on", "extra_float_digits": "1",
}

// Pool holds the connections to one upstream.
type Pool struct {
	upstream currantloom.PostgresUpstream
	user     string
	password string
	// permits is a semaphore with one element for each connection in use; nil means no limit. A connection is opened
	// only when none is idle, so idle connections need no permit.
	permits chan struct{}

	configOnce sync.Once
	config     *pgconn.Config
	configErr  error

	mu          sync.Mutex
	idle        []*Conn
	controlConn *Conn
	closed      bool
	inUse       sync.WaitGroup
}

// Option configures a pool.
type Option func(*Pool)

// WithMaxConnections bounds the connections for requests; control calls use additional ones. Acquire waits when all are
// in use. Without a positive limit only the upstream's own limit applies.
func WithMaxConnections(connections int) Option {
	return func(p *Pool) {
		if connections > 0 {
			p.permits = make(chan struct{}, connections)
		}
	}
}

// NewPool returns a pool without connections; they are opened on demand.
func NewPool(upstream currantloom.PostgresUpstream, user, password string, options ...Option) *Pool {
	p := &Pool{upstream: upstream, user: user, password: password}
	for _, o := range options {
		o(p)
	}
	return p
}

var connectionRefusedProperty = errorx.RegisterProperty("refused")

// IsConnectionRefused reports whether the error says that the upstream's address refused a TCP connection, which means
// that no process listens there. It is false for an upstream that answers with an error.
func IsConnectionRefused(err error) bool {
	refused, ok := errorx.ExtractProperty(err, connectionRefusedProperty)
	return ok && refused.(bool)
}

// parseConfig prepares the connection configuration. It is called once, because pgconn.ParseConfig reads the
// environment.
func (p *Pool) parseConfig() {
	config, err := pgconn.ParseConfig("postgres://" + p.upstream.Address() + "/?sslmode=disable")
	if err != nil {
		p.configErr = currantloom.ErrInput.Wrap(err, "address of server %s", p.upstream.Name())
		return
	}
	config.User, config.Password, config.Database = p.user, p.password, string(p.upstream.Database())
	// Only the settings count; the PG* environment variables may be for other databases.
	config.Fallbacks, config.RuntimeParams = nil, maps.Clone(runtimeParameters)
	config.ValidateConnect, config.AfterConnect = nil, nil
	dialer := net.Dialer{Timeout: connectTimeout}
	config.DialFunc = dialer.DialContext
	p.config = config
}

// connect opens a connection. A connection error has the verdict NotRun. If the context of the caller ends first, the
// error has the code of a cancelled request, because it says nothing about the upstream.
func (p *Pool) connect(ctx context.Context) (*Conn, error) {
	p.configOnce.Do(p.parseConfig)
	if p.configErr != nil {
		return nil, p.configErr
	}
	connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := pgconn.ConnectConfig(connectCtx, p.config.Copy())
	if err != nil && hasEnded(ctx) {
		return nil, currantloom.WrapRequestError(err, currantloom.NotRun, currantloom.SQLStateQueryCanceled, 0,
			"cancelled while connecting to server %s", p.upstream.Name())
	}
	if err != nil {
		return nil, p.connectError(err)
	}
	h, err := raw.Hijack()
	if err != nil {
		return nil, p.connectError(err)
	}
	return newConn(p, h), nil
}

func (p *Pool) connectError(err error) error {
	code := currantloom.SQLStateConnectionFailure
	var upstreamError *pgconn.PgError
	if errors.As(err, &upstreamError) {
		code = currantloom.SQLState(upstreamError.Code)
	}
	result := currantloom.WrapRequestError(err, currantloom.NotRun, code, time.Second, "connect to server %s",
		p.upstream.Name())
	return errorx.Cast(result).WithProperty(connectionRefusedProperty, errors.Is(err, syscall.ECONNREFUSED))
}

// Acquire returns an idle connection that passes the check of isUsable, or opens one. An error means that nothing was
// sent.
func (p *Pool) Acquire(ctx context.Context) (currantloom.PostgresConn, error) {
	if err := p.acquirePermit(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.releasePermit()
		return nil, currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateShuttingDown, 0, "pool is closed")
	}
	p.inUse.Add(1)
	p.mu.Unlock()
	for !hasEnded(ctx) {
		c := p.takeIdle()
		if c == nil {
			break
		}
		if c.isUsable(ctx) {
			return &acquiredConn{Conn: c}, nil
		}
		p.dropUnusable(ctx, c)
	}
	c, err := p.connect(ctx)
	if err != nil {
		p.releasePermit()
		p.inUse.Done()
		return nil, err
	}
	return &acquiredConn{Conn: c}, nil
}

// dropUnusable closes a connection that did not pass the check of isUsable. The others are closed too if it did not
// answer a probe in time, because the cause has probably affected them.
func (p *Pool) dropUnusable(ctx context.Context, c *Conn) {
	endedByUpstream := !c.hasNoInput()
	c.close()
	switch {
	case endedByUpstream:
		p.probeIdle()
	case !hasEnded(ctx):
		p.closeIdle()
	}
}

func (p *Pool) acquirePermit(ctx context.Context) error {
	if p.permits == nil {
		return nil
	}
	select {
	case p.permits <- struct{}{}:
		return nil
	case <-ctx.Done():
		return currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateTooManyConnections, time.Second,
			"all %d connections to server %s are in use", cap(p.permits), p.upstream.Name())
	}
}

func (p *Pool) releasePermit() {
	if p.permits != nil {
		<-p.permits
	}
}

// takeIdle removes and returns the most recently used idle connection, nil if there is none.
func (p *Pool) takeIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// hasEnded reports whether the context has ended, or its deadline has passed: a connection with the same deadline may
// fail before the context ends.
func hasEnded(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// probeIdle has the idle connections probed before their next use.
func (p *Pool) probeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.mu.Lock()
		c.needsProbe = true
		c.mu.Unlock()
	}
}

// closeIdle closes the idle connections.
func (p *Pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// release returns a connection to the pool if it is clean, and closes it otherwise.
func (p *Pool) release(c *Conn, clean bool) {
	defer p.inUse.Done()
	defer p.releasePermit()
	p.mu.Lock()
	defer p.mu.Unlock()
	if clean && !p.closed {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
		return
	}
	c.close()
}

// Close closes the idle connections and waits until the connections in use are released.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	controlConn := p.controlConn
	p.controlConn = nil
	p.mu.Unlock()
	p.closeIdle()
	if controlConn != nil {
		controlConn.close()
	}
	p.inUse.Wait()
	return nil
}
