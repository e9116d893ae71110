package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"pgregory.net/rapid"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomstandin"
)

const (
	// The rows of the table exceed the buffers between upstream and client, so that a closed connection often truncates
	// a row.
	tableRows, rowSize = 300, 1 << 10
	// roundTimeout limits what a client does in one round, recoveryTimeout the time without service after a fault.
	roundTimeout    = 8 * time.Second
	recoveryTimeout = 10 * time.Second
)

// clientRound is what one client does in a round. Its tag appears in every response that belongs to it.
type clientRound struct {
	client *fuzzClient
	kind   string
	tag    string
	// mayCancel is set if the round cancels a request of this client or sets a deadline for it.
	mayCancel bool
	failed    bool
}

type fuzzClient struct {
	organisation string
	node         int
	conn         *pgconn.PgConn
}

// insertTransaction is a transaction of this test. Its rows hold the number of the transaction in column n.
type insertTransaction struct {
	rows           int
	committed      bool
	outcomeUnknown bool
}

// responseCluster runs two nodes and a database group, with relays between clients and nodes, between the nodes, and in
// front of the primary.
type responseCluster struct {
	primaryRelay             *loomstandin.Relay
	clientRelays, linkRelays []*loomstandin.Relay
	direct                   *pgx.Conn
	clients                  []*fuzzClient
	tableIDs                 []string

	mu           sync.Mutex
	violations   []string
	transactions map[int]*insertTransaction
	lastNumber   int
	counts       map[string]int
}

func startResponseCluster(t *testing.T) *responseCluster {
	upstreamAddresses, direct := startGroup(t)
	rc := &responseCluster{direct: direct, transactions: make(map[int]*insertTransaction), counts: make(map[string]int)}
	relay := func(target string) *loomstandin.Relay {
		r := loomstandin.StartRelay(listen(t, 1)[0], target)
		t.Cleanup(func() { _ = r.Close() })
		return r
	}
	rc.primaryRelay = relay(upstreamAddresses[0])
	upstreamAddresses[0] = rc.primaryRelay.Address()
	_, addresses := startNodes(t, upstreamAddresses, func(l net.Listener) string {
		rc.linkRelays = append(rc.linkRelays, relay(l.Addr().String()))
		return rc.linkRelays[len(rc.linkRelays)-1].Address()
	})
	awaitPrimary(t, addresses)
	for i, address := range addresses {
		rc.clientRelays = append(rc.clientRelays, relay(address))
		for _, organisation := range []string{"steyr", "rival"} {
			rc.clients = append(rc.clients, &fuzzClient{organisation: organisation, node: i})
		}
	}
	for i := range tableRows {
		id := fmt.Sprintf("%04d%s", i, strings.Repeat("x", rowSize))
		rc.tableIDs = append(rc.tableIDs, id)
		if _, err := direct.Exec(t.Context(), "INSERT INTO orders VALUES ($1, '0')", id); err != nil {
			t.Fatal(err)
		}
	}
	return rc
}

// ensureConnected returns the client's connection. It opens a new one if there is none, if it is closed, or if it is in
// a transaction because the end of the transaction failed.
func (rc *responseCluster) ensureConnected(ctx context.Context, t *testing.T, c *fuzzClient) (*pgconn.PgConn, error) {
	if c.conn != nil {
		if !c.conn.IsClosed() && c.conn.TxStatus() == 'I' {
			return c.conn, nil
		}
		_ = c.conn.Close(ctx)
	}
	config := connectConfig(t, rc.clientRelays[c.node].Address())
	config.User = c.organisation
	var err error
	c.conn, err = pgconn.ConnectConfig(ctx, &config.Config)
	return c.conn, err
}

func (rc *responseCluster) addViolation(cr *clientRound, format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.violations = append(rc.violations, fmt.Sprintf("%s of %s at node %d, tag %s: ", cr.kind, cr.client.organisation,
		cr.client.node, cr.tag)+fmt.Sprintf(format, args...))
}

func (rc *responseCluster) count(name string) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.counts[name]++
}

// query runs a simple query and checks its results. If the query fails, the results before the error must be correct.
func (rc *responseCluster) query(ctx context.Context, cr *clientRound, sql string, want ...[]string) error {
	results, err := cr.client.conn.Exec(ctx, sql).ReadAll()
	for i, r := range results {
		if i >= len(want) {
			rc.addViolation(cr, "got result %d of a request with %d statements", i+1, len(want))
			break
		}
		rc.checkRows(cr, r, want[i])
	}
	if err == nil && len(results) != len(want) {
		rc.addViolation(cr, "got %d results without an error, want %d", len(results), len(want))
	}
	rc.checkError(cr, err)
	return err
}

func (rc *responseCluster) checkRows(cr *clientRound, r *pgconn.Result, want []string) {
	for i, row := range r.Rows {
		if i >= len(want) || len(row) != 1 || string(row[0]) != want[i] {
			rc.addViolation(cr, "got row %d %.80q, which is not one of this request", i+1, row)
			return
		}
	}
	if r.Err == nil && len(r.Rows) != len(want) {
		rc.addViolation(cr, "got %d rows without an error, want %d", len(r.Rows), len(want))
	}
}

// checkError checks that no cancel of another request reached this one.
func (rc *responseCluster) checkError(cr *clientRound, err error) {
	if err == nil {
		return
	}
	cr.failed = true
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		rc.count("answer " + refused.Code)
		if refused.Code == string(currantloom.SQLStateQueryCanceled) && !cr.mayCancel {
			rc.addViolation(cr, "got %v although neither the client nor its deadline cancelled it", err)
		}
		return
	}
	rc.count("client connection lost")
}

// clientRoundKinds are the operations of a client in a round.
var clientRoundKinds = map[string]func(*responseCluster, context.Context, *clientRound){
	"literal": func(rc *responseCluster, ctx context.Context, cr *clientRound) {
		for range 3 {
			_ = rc.query(ctx, cr, "SELECT '"+cr.tag+"'", []string{cr.tag})
		}
	},
	"large row": func(rc *responseCluster, ctx context.Context, cr *clientRound) {
		large := cr.tag + strings.Repeat("y", 300<<10) + cr.tag
		_ = rc.query(ctx, cr, "SELECT '"+large+"'", []string{large})
	},
	"many rows": func(rc *responseCluster, ctx context.Context, cr *clientRound) {
		sql := fmt.Sprintf("SELECT '%[1]s'; SELECT id FROM orders WHERE n = 0 ORDER BY id; SELECT '%[1]s'", cr.tag)
		_ = rc.query(ctx, cr, sql, []string{cr.tag}, rc.tableIDs, []string{cr.tag})
	},
	"sleep": func(rc *responseCluster, ctx context.Context, cr *clientRound) {
		_ = rc.query(ctx, cr, "SELECT pg_sleep(0.015); SELECT '"+cr.tag+"'", []string{""}, []string{cr.tag})
		_ = rc.query(ctx, cr, "SELECT '"+cr.tag+"'", []string{cr.tag})
	},
	"deadline": func(rc *responseCluster, ctx context.Context, cr *clientRound) {
		cr.mayCancel = true
		_ = rc.query(ctx, cr, "SET currantloom.deadline TO '20ms'", nil)
		_ = rc.query(ctx, cr, "SELECT pg_sleep(0.02); SELECT '"+cr.tag+"'", []string{""}, []string{cr.tag})
		_ = rc.query(ctx, cr, "RESET currantloom.deadline", nil)
		_ = rc.query(ctx, cr, "SELECT '"+cr.tag+"'", []string{cr.tag})
	},
	"pipeline":    func(rc *responseCluster, ctx context.Context, cr *clientRound) { rc.pipeline(ctx, cr, false) },
	"pipelines":   func(rc *responseCluster, ctx context.Context, cr *clientRound) { rc.pipeline(ctx, cr, true) },
	"insert":      func(rc *responseCluster, ctx context.Context, cr *clientRound) { rc.transaction(ctx, cr, "") },
	"commit":      func(rc *responseCluster, ctx context.Context, cr *clientRound) { rc.transaction(ctx, cr, "COMMIT") },
	"rollback":    func(rc *responseCluster, ctx context.Context, cr *clientRound) { rc.transaction(ctx, cr, "ROLLBACK") },
	"client gone": func(rc *responseCluster, ctx context.Context, cr *clientRound) { rc.transaction(ctx, cr, "gone") },
}

// pipeline sends four statements at once; the third one fails. With syncEach each statement is a request of its own, so
// the fourth one runs. Otherwise all of them are one request, which ends at the failure.
func (rc *responseCluster) pipeline(ctx context.Context, cr *clientRound, syncEach bool) {
	const statements, failing = 4, 2
	p := cr.client.conn.StartPipeline(ctx)
	for i := range statements {
		if i == failing {
			p.SendQueryParams("SELECT missing FROM orders", nil, nil, nil, nil)
		} else {
			p.SendQueryParams("SELECT $1", [][]byte{fmt.Appendf(nil, "%s-%d", cr.tag, i)}, nil, nil, nil)
		}
		if syncEach || i == statements-1 {
			if err := p.Sync(); err != nil {
				cr.failed = true
			}
		}
	}
	statement, syncs := 0, 0
	for !cr.client.conn.IsClosed() {
		results, err := p.GetResults()
		if results == nil && err == nil {
			break
		}
		var r *pgconn.Result
		switch results := results.(type) {
		case *pgconn.ResultReader:
			r = results.Read()
			err = r.Err
		case *pgconn.PipelineSync:
			syncs++
			statement = syncs
			continue
		}
		var refused *pgconn.PgError
		switch {
		case errors.As(err, &refused) && refused.Code == "42703":
			rc.count("pipeline with a failed statement")
			if statement != failing {
				rc.addViolation(cr, "got the error of statement %d at statement %d", failing+1, statement+1)
			}
		case err != nil:
			rc.checkError(cr, err)
		case statement == failing || statement >= statements || !syncEach && statement > failing:
			rc.addViolation(cr, "got a result for statement %d, which is not to run", statement+1)
		}
		if r != nil && statement != failing {
			rc.checkRows(cr, r, []string{fmt.Sprintf("%s-%d", cr.tag, statement)})
		}
		statement++
	}
	rc.checkError(cr, p.Close())
}

// transaction inserts rows that hold the number of the transaction, and expects to read exactly these rows. It ends
// with the given statement, or with the loss of the client's connection if end is "gone". If end is empty, it is a
// single INSERT statement.
func (rc *responseCluster) transaction(ctx context.Context, cr *clientRound, end string) {
	rc.mu.Lock()
	rc.lastNumber++
	n, record := rc.lastNumber, &insertTransaction{}
	rc.transactions[n] = record
	rc.mu.Unlock()
	insert := func(i int) error {
		return rc.query(ctx, cr, fmt.Sprintf("INSERT INTO orders VALUES ('%s-%d', %d)", cr.tag, i, n), nil)
	}
	if end == "" {
		record.rows = 1
		record.recordEnd(insert(0))
		return
	}
	record.rows = 2
	err := rc.query(ctx, cr, "BEGIN", nil)
	for i := 0; i < 2 && err == nil; i++ {
		err = insert(i)
	}
	if err == nil {
		sql := fmt.Sprintf("SELECT id FROM orders WHERE n = %d ORDER BY id", n)
		err = rc.query(ctx, cr, sql, []string{cr.tag + "-0", cr.tag + "-1"})
	}
	switch {
	case end == "gone" || err != nil && cr.client.conn.IsClosed():
		_ = cr.client.conn.Conn().Close()
	case err != nil:
		_ = rc.query(ctx, cr, "ROLLBACK", nil)
	case end == "COMMIT":
		record.recordEnd(rc.query(ctx, cr, end, nil))
	default:
		_ = rc.query(ctx, cr, end, nil)
	}
}

// recordEnd records whether the transaction is committed, according to the response to its last statement.
func (r *insertTransaction) recordEnd(err error) {
	var refused *pgconn.PgError
	r.committed = err == nil
	notRun := errors.As(err, &refused) && strings.Contains(refused.Detail, "verdict=not_run")
	r.outcomeUnknown = err != nil && !notRun
}

// checkTransactions compares the rows at the primary with the outcomes that the clients received.
func (rc *responseCluster) checkTransactions(t *rapid.T) {
	for _, n := range slices.Sorted(maps.Keys(rc.transactions)) {
		record := rc.transactions[n]
		var got int
		row := rc.direct.QueryRow(context.Background(), "SELECT count(*) FROM orders WHERE n = $1", fmt.Sprint(n))
		if err := row.Scan(&got); err != nil {
			t.Fatal(err)
		}
		if got != 0 && got != record.rows || !record.outcomeUnknown && (got > 0) != record.committed {
			t.Fatalf("transaction %d of %d rows, committed %v, unknown %v: the primary holds %d of them",
				n, record.rows, record.committed, record.outcomeUnknown, got)
		}
	}
	clear(rc.transactions)
}

// roundFaults are the faults of a round. Byte limits of the relays are cleared after the round.
var roundFaults = map[string]func(rc *responseCluster, cr *clientRound, bytes int){
	"none": func(*responseCluster, *clientRound, int) {},
	"cancel": func(_ *responseCluster, cr *clientRound, _ int) {
		_ = cr.client.conn.CancelRequest(context.Background())
	},
	"client connection closed": func(_ *responseCluster, cr *clientRound, _ int) { _ = cr.client.conn.Conn().Close() },
	"server response cut": func(rc *responseCluster, _ *clientRound, n int) {
		rc.primaryRelay.CloseAfterBytesToClient(n)
	},
	"server request cut": func(rc *responseCluster, _ *clientRound, n int) {
		rc.primaryRelay.CloseAfterBytesToServer(n / 100)
	},
	"link response cut": func(rc *responseCluster, _ *clientRound, n int) {
		rc.linkRelays[0].CloseAfterBytesToClient(n)
	},
	"link request cut": func(rc *responseCluster, _ *clientRound, n int) {
		rc.linkRelays[0].CloseAfterBytesToServer(n / 100)
	},
	"server silent":           func(rc *responseCluster, _ *clientRound, _ int) { stallBriefly(rc.primaryRelay) },
	"link silent":             func(rc *responseCluster, _ *clientRound, _ int) { stallBriefly(rc.linkRelays[0]) },
	"server connections lost": func(rc *responseCluster, _ *clientRound, _ int) { rc.primaryRelay.CloseConnections() },
	"carrier lost": func(rc *responseCluster, _ *clientRound, _ int) {
		for _, r := range []*loomstandin.Relay{rc.primaryRelay, rc.linkRelays[0], rc.clientRelays[0]} {
			r.CloseConnections()
		}
	},
	"entry node lost": func(rc *responseCluster, _ *clientRound, _ int) { rc.clientRelays[1].CloseConnections() },
}

// stallBriefly stops a relay from transmitting for 100 ms, which is longer than the requests of a round take.
func stallBriefly(r *loomstandin.Relay) {
	r.Stall(true)
	time.Sleep(100 * time.Millisecond)
	r.Stall(false)
}

// runRound runs an operation of each client concurrently, with at most one fault. It checks that each client receives
// only its own responses, during the round and in a request after it.
func (rc *responseCluster) runRound(t *testing.T, rt *rapid.T) {
	ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
	defer cancel()
	var clientRounds []*clientRound
	kinds := slices.Sorted(maps.Keys(clientRoundKinds))
	for _, c := range rc.clients {
		cr := &clientRound{client: c, kind: rapid.SampledFrom(kinds).Draw(rt, "exchange")}
		rc.lastNumber++
		cr.tag = fmt.Sprintf("t%d", rc.lastNumber)
		rc.awaitRecovery(t, rt, cr)
		clientRounds = append(clientRounds, cr)
	}
	fault := rapid.SampledFrom(slices.Sorted(maps.Keys(roundFaults))).Draw(rt, "fault")
	target := rapid.SampledFrom(clientRounds).Draw(rt, "target")
	delay := time.Duration(rapid.IntRange(0, 12_000).Draw(rt, "delay in us")) * time.Microsecond
	limit := rapid.IntRange(0, 400<<10).Draw(rt, "bytes")
	target.mayCancel = fault == "cancel"
	cuts := rc.primaryRelay.ClosedByLimit() + rc.linkRelays[0].ClosedByLimit()
	var running sync.WaitGroup
	for _, cr := range clientRounds {
		running.Go(func() { clientRoundKinds[cr.kind](rc, ctx, cr) })
	}
	time.Sleep(delay)
	roundFaults[fault](rc, target, limit)
	running.Wait()
	for _, r := range []*loomstandin.Relay{rc.primaryRelay, rc.linkRelays[0]} {
		r.CloseAfterBytesToClient(-1)
		r.CloseAfterBytesToServer(-1)
	}
	rc.count("round with " + fault)
	if rc.primaryRelay.ClosedByLimit()+rc.linkRelays[0].ClosedByLimit() > cuts {
		rc.count("round with " + fault + ", a connection was cut")
	}
	if slices.ContainsFunc(clientRounds, func(cr *clientRound) bool { return cr.failed }) {
		rc.count("round with " + fault + ", a request failed")
	}
	for _, cr := range clientRounds {
		rc.count("exchange " + cr.kind)
		rc.awaitRecovery(t, rt, cr)
	}
	if len(rc.violations) > 0 {
		rt.Fatalf("fault %s after %v:\n%s", fault, delay, strings.Join(rc.violations, "\n"))
	}
}

// awaitRecovery repeats a request of the client until it succeeds. Late responses and cancels must not reach the
// request.
func (rc *responseCluster) awaitRecovery(t *testing.T, rt *rapid.T, cr *clientRound) {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	after := &clientRound{
		client: cr.client, kind: "request after " + cr.kind, tag: cr.tag + "-after", mayCancel: cr.mayCancel,
	}
	var err error
	for ctx.Err() == nil {
		_, err = rc.ensureConnected(ctx, t, cr.client)
		if err == nil {
			err = rc.query(ctx, after, "SELECT '"+after.tag+"'", []string{after.tag})
		}
		if err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	rt.Fatalf("%s got no response at node %d within %v after the fault: %v; violations: %v",
		cr.client.organisation, cr.client.node, recoveryTimeout, err, rc.violations)
}

// TestFuzzResponses guards against violations of invariants 3 and 4 of docs/design.md, section 1.1, while connections
// are closed or stalled and requests are cancelled. 3: a transaction sees rows of another transaction, or an unfinished
// transaction leaves rows behind. 4: a response is incomplete without an error, or belongs to another request.
func TestFuzzResponses(t *testing.T) {
	rc := startResponseCluster(t)
	rapid.Check(t, func(rt *rapid.T) {
		rc.violations = nil
		rt.Repeat(map[string]func(*rapid.T){"round": func(rt *rapid.T) { rc.runRound(t, rt) }})
		rc.checkTransactions(rt)
	})
	for _, name := range slices.Sorted(maps.Keys(rc.counts)) {
		t.Logf("%s: %d", name, rc.counts[name])
	}
}
