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
	faultClients     = 8
	statementTimeout = 15 * time.Second
	retryTimeout     = 60 * time.Second
	acceptedReadAge  = 2 * time.Second
	readAgeMargin    = 500 * time.Millisecond
	connectInterval  = 100 * time.Millisecond
)

// loadResult collects what the clients observe: counts of events, violations of guarantees, and the longest time
// without an acknowledged write.
type loadResult struct {
	mu         sync.Mutex
	counts     map[string]int
	violations []string
	// acknowledgedRows holds the rows acknowledged to any client, in that order, for reads that accept an age.
	acknowledgedRows   []acknowledgedRow
	lastAcknowledgedAt time.Time
	longestGap         time.Duration
}

type acknowledgedRow struct {
	id             string
	acknowledgedAt time.Time
}

func (r *loadResult) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

func (r *loadResult) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// recordAcknowledged records a committed row and updates the longest time without one.
func (r *loadResult) recordAcknowledged(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.lastAcknowledgedAt.IsZero() {
		r.longestGap = max(r.longestGap, now.Sub(r.lastAcknowledgedAt))
	}
	r.lastAcknowledgedAt = now
	r.acknowledgedRows = append(r.acknowledgedRows, acknowledgedRow{id: id, acknowledgedAt: now})
	r.counts["write acknowledged"]++
}

// oldRow returns a recent row that every read must find: it was acknowledged longer ago than the accepted age of reads
// and a margin. The id is empty if there is none.
func (r *loadResult) oldRow(random *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	cutoff := time.Now().Add(-acceptedReadAge - readAgeMargin)
	n := 0
	for n < len(r.acknowledgedRows) && r.acknowledgedRows[n].acknowledgedAt.Before(cutoff) {
		n++
	}
	if n == 0 {
		return ""
	}
	return r.acknowledgedRows[n-1-random.IntN(min(n, 20))].id
}

// faultClient is an application that reconnects to other nodes and keeps its session token.
type faultClient struct {
	name       string
	cluster    *faultCluster
	result     *loadResult
	random     *rand.Rand
	conn       *pgx.Conn
	token      string
	lastRow    string
	lastNumber int
	// Numbers of increments of the client's counter that were acknowledged and that have an unknown outcome.
	acknowledgedIncrements, unknownIncrements int
	notRun                                    []string
	committed                                 []string
}

// run issues operations until the context ends. It completes an operation in progress.
func (c *faultClient) run(ctx context.Context) {
	defer c.close()
	c.conn = c.connect(context.Background())
	if c.conn == nil {
		c.result.addViolation("%s: no connection at the start", c.name)
		return
	}
	if _, err := c.exec("INSERT INTO counters (id, n) VALUES ('" + c.name + "', 0)"); err != nil {
		c.result.addViolation("%s: counter: %v", c.name, err)
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
			c.insertPair()
		case 4:
			c.readOwnWrite()
		case 5:
			c.readOldRow()
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

// connect opens a connection to a random node with the session's token. It returns nil if the context ends or after 200
// attempts.
func (c *faultClient) connect(ctx context.Context) *pgx.Conn {
	for range 200 {
		address := c.cluster.clientAddresses[c.random.IntN(len(c.cluster.clientAddresses))]
		config, err := pgx.ParseConfig("postgres://steyr.app:secret@" + address + "/wheel-core-1?sslmode=disable")
		if err != nil {
			c.result.addViolation("%s: %v", c.name, err)
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

// exec runs statements on the current connection up to the first error, and stores the session's token. It closes a
// connection that has failed.
func (c *faultClient) exec(statements ...string) (pgconn.CommandTag, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
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
		c.result.count("error " + e.Code + " " + verdictOf(err))
		return
	}
	c.result.count("error connection lost")
}

// verdictOf returns the verdict of an error; an error without a verdict means may_have_run.
func verdictOf(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) && strings.Contains(e.Detail, "verdict=not_run") {
		return "not_run"
	}
	return "may_have_run"
}

func (c *faultClient) newID() string {
	c.lastNumber++
	return fmt.Sprintf("%s-%d", c.name, c.lastNumber)
}

// insert writes a row without a request id and does not retry.
func (c *faultClient) insert() {
	id := c.newID()
	_, err := c.exec("INSERT INTO orders (id, value) VALUES ('" + id + "', 'booked')")
	c.recordWrite(err, id)
}

// recordWrite records the outcome of writing the rows.
func (c *faultClient) recordWrite(err error, ids ...string) {
	switch {
	case err == nil:
		for _, id := range ids {
			c.result.recordAcknowledged(id)
			c.committed = append(c.committed, id)
			c.lastRow = id
		}
	case verdictOf(err) == "not_run":
		c.notRun = append(c.notRun, ids...)
	}
}

// increment adds 1 to the client's counter with a request id. It retries with the same id until the outcome is known.
func (c *faultClient) increment(ctx context.Context) {
	id := c.newID()
	start := time.Now()
	for attempt := 0; time.Since(start) < retryTimeout; attempt++ {
		if c.conn == nil {
			if c.conn = c.connect(context.Background()); c.conn == nil {
				break
			}
		}
		_, err := c.exec("SET currantloom.request_id = '"+id+"'",
			"UPDATE counters SET n = n + 1 WHERE id = '"+c.name+"'")
		if err == nil {
			c.acknowledgedIncrements++
			c.result.count("increment acknowledged")
			if attempt > 0 {
				c.result.count("increment acknowledged after a retry")
			}
			return
		}
		c.close()
		if ctx.Err() != nil && attempt > 20 {
			break
		}
		time.Sleep(connectInterval)
	}
	c.unknownIncrements++
	c.result.count("increment without an outcome")
}

// insertPair writes two rows in one transaction. Each row holds the id of the other.
func (c *faultClient) insertPair() {
	first, second := c.newID(), c.newID()
	_, err := c.exec("BEGIN", "INSERT INTO orders (id, value) VALUES ('"+first+"', '"+second+"')",
		"INSERT INTO orders (id, value) VALUES ('"+second+"', '"+first+"')", "COMMIT")
	c.recordWrite(err, first, second)
	if err != nil {
		c.close()
	}
}

// readOwnWrite reads the row that the client wrote last. The read accepts an age, so a replica may serve it.
func (c *faultClient) readOwnWrite() {
	if c.lastRow == "" {
		return
	}
	c.expectRow(c.lastRow, "own write")
}

// readOldRow reads a row of any client that was acknowledged before the accepted age.
func (c *faultClient) readOldRow() {
	if id := c.result.oldRow(c.random); id != "" {
		c.expectRow(id, "row older than the accepted age")
	}
}

func (c *faultClient) expectRow(id, description string) {
	if _, err := c.exec("SET currantloom.max_age = '" + acceptedReadAge.String() + "'"); err != nil {
		return
	}
	tag, err := c.exec("SELECT value FROM orders WHERE id = '" + id + "'")
	if err != nil {
		return
	}
	c.result.count("read " + description)
	if tag.RowsAffected() != 1 {
		c.result.addViolation("%s: read with token %s misses %s %s", c.name, c.token, description, id)
	}
}

// startLoad starts the clients. The returned function waits until they have stopped.
func startLoad(
	ctx context.Context, t *testing.T, cluster *faultCluster, seed uint64,
) (*loadResult, func() []*faultClient) {
	t.Helper()
	result := &loadResult{counts: make(map[string]int)}
	var clients []*faultClient
	var wait sync.WaitGroup
	for i := range faultClients {
		c := &faultClient{
			name: fmt.Sprintf("client-%d", i), cluster: cluster, result: result,
			random: rand.New(rand.NewPCG(seed, uint64(i))),
		}
		clients = append(clients, c)
		wait.Go(func() { c.run(ctx) })
	}
	return result, func() []*faultClient {
		wait.Wait()
		return clients
	}
}
