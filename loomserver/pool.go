package loomserver

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/joomcode/errorx"

	"currantloom.example/currantloom"
)

const (
	// idleLimit is the age after which an idle connection is probed, because it may have gone silent.
	idleLimit = 5 * time.Second
	// probeLimit bounds a probe; a connection that does not answer within it is closed.
	probeLimit = 500 * time.Millisecond
	// connectLimit bounds the opening of a connection. It is far above the 25 ms that the slowest servers take.
	connectLimit = 2 * time.Second
)

// Pool holds the connections to one database server.
type Pool struct {
	server   currantloom.PostgresUpstream
	user     string
	password string
	// places holds one element for each connection in use; nil means no limit. A connection is opened only when none
	// is idle, so the idle ones need no place of their own.
	places chan struct{}

	configOnce sync.Once
	config     *pgconn.Config
	configErr  error

	mu      sync.Mutex
	idle    []*Conn
	control *Conn
	closed  bool
	inUse   sync.WaitGroup
}

// Option changes a pool.
type Option func(*Pool)

// WithMaxConnections bounds the connections for requests; control calls use further ones. Acquire waits when all are in use.
// Without a positive limit only the server's limit applies.
func WithMaxConnections(connections int) Option {
	return func(p *Pool) {
		if connections > 0 {
			p.places = make(chan struct{}, connections)
		}
	}
}

// NewPool returns a pool without connections; they are opened on demand.
func NewPool(server currantloom.PostgresUpstream, user, password string, options ...Option) *Pool {
	p := &Pool{server: server, user: user, password: password}
	for _, o := range options {
		o(p)
	}
	return p
}

var refusedProperty = errorx.RegisterProperty("refused")

// IsConnectionRefused reports whether the error says that the upstream's address refused a TCP connection, which means
// that no process listens there. It is false for an upstream that answers with an error.
func IsConnectionRefused(err error) bool {
	refused, ok := errorx.ExtractProperty(err, refusedProperty)
	return ok && refused.(bool)
}

// parseConfig prepares the configuration once, since it reads the environment.
func (p *Pool) parseConfig() {
	config, err := pgconn.ParseConfig("postgres://" + p.server.Address() + "/?sslmode=disable")
	if err != nil {
		p.configErr = currantloom.ErrInput.Wrap(err, "address of server %s", p.server.Name())
		return
	}
	config.User, config.Password, config.Database = p.user, p.password, string(p.server.Database())
	// Only the settings decide, not what the environment says about other databases.
	config.Fallbacks, config.RuntimeParams = nil, map[string]string{"application_name": "currantloom"}
	config.ValidateConnect, config.AfterConnect = nil, nil
	dialer := net.Dialer{Timeout: connectLimit}
	config.DialFunc = dialer.DialContext
	p.config = config
}

// connect opens a connection; an error carries the verdict NotRun.
func (p *Pool) connect(ctx context.Context) (*Conn, error) {
	p.configOnce.Do(p.parseConfig)
	if p.configErr != nil {
		return nil, p.configErr
	}
	ctx, cancel := context.WithTimeout(ctx, connectLimit)
	defer cancel()
	raw, err := pgconn.ConnectConfig(ctx, p.config.Copy())
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
	var answer *pgconn.PgError
	if errors.As(err, &answer) {
		code = currantloom.SQLState(answer.Code)
	}
	result := currantloom.WrapRequestError(err, currantloom.NotRun, code, time.Second, "connect to server %s",
		p.server.Name())
	return errorx.Cast(result).WithProperty(refusedProperty, errors.Is(err, syscall.ECONNREFUSED))
}

// Acquire returns an idle connection that is known to be alive, or opens one. An error means that nothing was sent.
func (p *Pool) Acquire(ctx context.Context) (currantloom.PostgresConn, error) {
	if err := p.takePlace(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.givePlace()
		return nil, currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateShuttingDown, 0, "pool is closed")
	}
	p.inUse.Add(1)
	p.mu.Unlock()
	for {
		c := p.takeIdle()
		if c == nil {
			break
		}
		if c.usable(ctx) {
			return &lease{Conn: c}, nil
		}
		// What ended this connection has probably ended the others.
		c.close()
		p.purge()
	}
	c, err := p.connect(ctx)
	if err != nil {
		p.givePlace()
		p.inUse.Done()
		return nil, err
	}
	return &lease{Conn: c}, nil
}

func (p *Pool) takePlace(ctx context.Context) error {
	if p.places == nil {
		return nil
	}
	select {
	case p.places <- struct{}{}:
		return nil
	case <-ctx.Done():
		return currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateTooManyConnections, time.Second,
			"all %d connections to server %s are in use", cap(p.places), p.server.Name())
	}
}

func (p *Pool) givePlace() {
	if p.places != nil {
		<-p.places
	}
}

// takeIdle returns the connection that was used last, nil if there is none.
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

// purge closes the idle connections.
func (p *Pool) purge() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// release takes a connection back; a connection that is not clean is closed.
func (p *Pool) release(c *Conn, clean bool) {
	defer p.inUse.Done()
	defer p.givePlace()
	p.mu.Lock()
	defer p.mu.Unlock()
	if clean && !p.closed {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
		return
	}
	c.close()
}

// Close closes the idle connections and waits until those in use are released.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	control := p.control
	p.control = nil
	p.mu.Unlock()
	p.purge()
	if control != nil {
		control.close()
	}
	p.inUse.Wait()
	return nil
}
