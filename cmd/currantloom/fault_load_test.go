package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	faultClients    = 8
	statementLimit  = 15 * time.Second
	retryLimit      = 60 * time.Second
	acceptedAge     = 2 * time.Second
	ageReserve      = 500 * time.Millisecond
	connectInterval = 100 * time.Millisecond
)

// faultOutcome counts what the clients saw.
type faultOutcome struct {
	mu     sync.Mutex
	counts map[string]int
	wrong  []string
	// shared holds the rows acknowledged to any client, for reads that accept an age.
	shared []ackedRow
	lastOK time.Time
	gap    time.Duration
}

type ackedRow struct {
	id string
	at time.Time
}

func (o *faultOutcome) count(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[name]++
}

func (o *faultOutcome) fault(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wrong = append(o.wrong, fmt.Sprintf(format, args...))
}

// acknowledged records a committed row and the longest time without one.
func (o *faultOutcome) acknowledged(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if !o.lastOK.IsZero() {
		o.gap = max(o.gap, now.Sub(o.lastOK))
	}
	o.lastOK = now
	o.shared = append(o.shared, ackedRow{id: id, at: now})
	o.counts["write acknowledged"]++
}

// oldRow returns a row that was acknowledged longer ago than a read may be old.
func (o *faultOutcome) oldRow(random *rand.Rand) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	limit := time.Now().Add(-acceptedAge - ageReserve)
	n := 0
	for n < len(o.shared) && o.shared[n].at.Before(limit) {
		n++
	}
	if n == 0 {
		return ""
	}
	return o.shared[n-1-random.IntN(min(n, 20))].id
}

// faultClient is one application: it moves between nodes and carries its token.
type faultClient struct {
	name    string
	cluster *faultCluster
	outcome *faultOutcome
	random  *rand.Rand
	conn    *pgx.Conn
	token   string
	last    string
	next    int
	// applied is the number of increments of the client's counter that were acknowledged, unknown that of those
	// without an outcome.
	applied, unknown int
	notRun           []string
	committed        []string
}

// run issues operations until the context ends. An operation in progress ends first.
func (c *faultClient) run(ctx context.Context) {
	defer c.close()
	c.conn = c.connect(context.Background())
	if c.conn == nil {
		c.outcome.fault("%s: no connection at the start", c.name)
		return
	}
	if _, err := c.exec("INSERT INTO counters (id, n) VALUES ('" + c.name + "', 0)"); err != nil {
		c.outcome.fault("%s: counter: %v", c.name, err)
		return
	}
	for ctx.Err() == nil {
		if c.random.IntN(10) == 0 {
			c.close()
		}
		if c.conn == nil {
			if c.conn = c.connect(ctx); c.conn == nil {
				continue
			}
		}
		switch c.random.IntN(6) {
		case 0:
			c.insert()
		case 1, 2:
			c.increment(ctx)
		case 3:
			c.transact()
		case 4:
			c.readOwn()
		case 5:
			c.readAged()
		}
		time.Sleep(time.Duration(c.random.IntN(10)) * time.Millisecond)
	}
}

func (c *faultClient) close() {
	if c.conn == nil {
		return
	}
	if token := c.conn.PgConn().ParameterStatus("currantloom.token"); token != "" {
		c.token = token
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// connect opens a connection to some node, with the session's token.
func (c *faultClient) connect(ctx context.Context) *pgx.Conn {
	for range 200 {
		address := c.cluster.callers[c.random.IntN(len(c.cluster.callers))]
		config, err := pgx.ParseConfig("postgres://steyr.app:secret@" + address + "/wheel-core-1?sslmode=disable")
		if err != nil {
			c.outcome.fault("%s: %v", c.name, err)
			return nil
		}
		config.ConnectTimeout = time.Second
		if c.token != "" {
			config.RuntimeParams["currantloom.token"] = c.token
		}
		conn, err := pgx.ConnectConfig(ctx, config)
		if err == nil {
			return conn
		}
		if ctx.Err() != nil {
			return nil
		}
		time.Sleep(connectInterval)
	}
	return nil
}

// exec runs statements on the current connection. A connection that fails is closed.
func (c *faultClient) exec(statements ...string) (pgconn.CommandTag, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statementLimit)
	defer cancel()
	var tag pgconn.CommandTag
	for _, sql := range statements {
		var err error
		if tag, err = c.conn.Exec(ctx, sql); err != nil {
			c.countError(err)
			if c.conn.IsClosed() {
				c.close()
			}
			return tag, err
		}
	}
	if token := c.conn.PgConn().ParameterStatus("currantloom.token"); token != "" {
		c.token = token
	}
	return tag, nil
}

func (c *faultClient) countError(err error) {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		c.outcome.count("error " + e.Code + " " + verdictIn(err))
		return
	}
	c.outcome.count("error connection lost")
}

// verdictIn returns the verdict of an error, may_have_run if it has none.
func verdictIn(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) && strings.Contains(e.Detail, "verdict=not_run") {
		return "not_run"
	}
	return "may_have_run"
}

func (c *faultClient) newID() string {
	c.next++
	return fmt.Sprintf("%s-%d", c.name, c.next)
}

// insert writes a row without a request id and never repeats it.
func (c *faultClient) insert() {
	id := c.newID()
	_, err := c.exec("INSERT INTO orders (id, value) VALUES ('" + id + "', 'booked')")
	c.settle(err, id)
}

// settle records the outcome of a write of rows.
func (c *faultClient) settle(err error, ids ...string) {
	switch {
	case err == nil:
		for _, id := range ids {
			c.outcome.acknowledged(id)
			c.committed = append(c.committed, id)
			c.last = id
		}
	case verdictIn(err) == "not_run":
		c.notRun = append(c.notRun, ids...)
	}
}

// increment adds 1 to the client's counter with a request id, and retries until the outcome is known.
func (c *faultClient) increment(ctx context.Context) {
	id := c.newID()
	start := time.Now()
	for attempt := 0; time.Since(start) < retryLimit; attempt++ {
		if c.conn == nil {
			if c.conn = c.connect(context.Background()); c.conn == nil {
				break
			}
		}
		_, err := c.exec("SET currantloom.request_id = '"+id+"'",
			"UPDATE counters SET n = n + 1 WHERE id = '"+c.name+"'")
		if err == nil {
			c.applied++
			c.outcome.count("increment acknowledged")
			if attempt > 0 {
				c.outcome.count("increment acknowledged after a retry")
			}
			return
		}
		c.close()
		if ctx.Err() != nil && attempt > 20 {
			break
		}
		time.Sleep(connectInterval)
	}
	c.unknown++
	c.outcome.count("increment without an outcome")
}

// transact writes two rows in one transaction.
func (c *faultClient) transact() {
	first, second := c.newID(), c.newID()
	_, err := c.exec("BEGIN", "INSERT INTO orders (id, value) VALUES ('"+first+"', '"+second+"')",
		"INSERT INTO orders (id, value) VALUES ('"+second+"', '"+first+"')", "COMMIT")
	c.settle(err, first, second)
	if err != nil {
		c.close()
	}
}

// readOwn reads the client's last row; it accepts an age, so a replica may serve it.
func (c *faultClient) readOwn() {
	if c.last == "" {
		return
	}
	c.expectRow(c.last, "own write")
}

// readAged reads a row of another client that is older than the accepted age.
func (c *faultClient) readAged() {
	if id := c.outcome.oldRow(c.random); id != "" {
		c.expectRow(id, "row older than the accepted age")
	}
}

func (c *faultClient) expectRow(id, what string) {
	if _, err := c.exec("SET currantloom.max_age = '" + acceptedAge.String() + "'"); err != nil {
		return
	}
	tag, err := c.exec("SELECT value FROM orders WHERE id = '" + id + "'")
	if err != nil {
		return
	}
	c.outcome.count("read " + what)
	if tag.RowsAffected() != 1 {
		c.outcome.fault("%s: read with token %s misses %s %s", c.name, c.token, what, id)
	}
}

// runLoad starts the clients; the returned function waits for them.
func runLoad(
	ctx context.Context, t *testing.T, cluster *faultCluster, seed uint64,
) (*faultOutcome, func() []*faultClient) {
	t.Helper()
	outcome := &faultOutcome{counts: make(map[string]int)}
	var clients []*faultClient
	var wait sync.WaitGroup
	for i := range faultClients {
		c := &faultClient{
			name: fmt.Sprintf("client-%d", i), cluster: cluster, outcome: outcome,
			random: rand.New(rand.NewPCG(seed, uint64(i))),
		}
		clients = append(clients, c)
		wait.Go(func() { c.run(ctx) })
	}
	return outcome, func() []*faultClient {
		wait.Wait()
		return clients
	}
}
