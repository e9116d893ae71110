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
	rows      int
	committed bool
	unknown   bool
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
	servers, direct := startGroup(t)
	w := &responseCluster{direct: direct, transactions: make(map[int]*insertTransaction), counts: make(map[string]int)}
	relay := func(target string) *loomstandin.Relay {
		r := loomstandin.StartRelay(listen(t, 1)[0], target)
		t.Cleanup(func() { _ = r.Close() })
		return r
	}
	w.primaryRelay = relay(servers[0])
	servers[0] = w.primaryRelay.Address()
	_, addresses := startNodes(t, servers, func(l net.Listener) string {
		w.linkRelays = append(w.linkRelays, relay(l.Addr().String()))
		return w.linkRelays[len(w.linkRelays)-1].Address()
	})
	awaitPrimary(t, addresses)
	for i, address := range addresses {
		w.clientRelays = append(w.clientRelays, relay(address))
		for _, caller := range []string{"steyr", "rival"} {
			w.clients = append(w.clients, &fuzzClient{organisation: caller, node: i})
		}
	}
	for i := range tableRows {
		id := fmt.Sprintf("%04d%s", i, strings.Repeat("x", rowSize))
		w.tableIDs = append(w.tableIDs, id)
		if _, err := direct.Exec(t.Context(), "INSERT INTO orders VALUES ($1, '0')", id); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

// ensureConnected returns the client's connection. It opens a new one if there is none, if it is closed, or if it is in
// a transaction because the end of the transaction failed.
func (w *responseCluster) ensureConnected(ctx context.Context, t *testing.T, c *fuzzClient) (*pgconn.PgConn, error) {
	if c.conn != nil {
		if !c.conn.IsClosed() && c.conn.TxStatus() == 'I' {
			return c.conn, nil
		}
		_ = c.conn.Close(ctx)
	}
	config := connectConfig(t, w.clientRelays[c.node].Address())
	config.User = c.organisation
	var err error
	c.conn, err = pgconn.ConnectConfig(ctx, &config.Config)
	return c.conn, err
}

func (w *responseCluster) addViolation(e *clientRound, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf("%s of %s at node %d, tag %s: ", e.kind, e.client.organisation,
		e.client.node, e.tag)+fmt.Sprintf(format, args...))
}

func (w *responseCluster) count(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[name]++
}

// query runs a simple query and checks its results. If the query fails, the results before the error must be correct.
func (w *responseCluster) query(ctx context.Context, e *clientRound, sql string, want ...[]string) error {
	results, err := e.client.conn.Exec(ctx, sql).ReadAll()
	for i, r := range results {
		if i >= len(want) {
			w.addViolation(e, "got result %d of a request with %d statements", i+1, len(want))
			break
		}
		w.checkRows(e, r, want[i])
	}
	if err == nil && len(results) != len(want) {
		w.addViolation(e, "got %d results without an error, want %d", len(results), len(want))
	}
	w.checkError(e, err)
	return err
}

func (w *responseCluster) checkRows(e *clientRound, r *pgconn.Result, want []string) {
	for i, row := range r.Rows {
		if i >= len(want) || len(row) != 1 || string(row[0]) != want[i] {
			w.addViolation(e, "got row %d %.80q, which is not one of this request", i+1, row)
			return
		}
	}
	if r.Err == nil && len(r.Rows) != len(want) {
		w.addViolation(e, "got %d rows without an error, want %d", len(r.Rows), len(want))
	}
}

// checkError checks that no cancel of another request reached this one.
func (w *responseCluster) checkError(e *clientRound, err error) {
	if err == nil {
		return
	}
	e.failed = true
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		w.count("answer " + refused.Code)
		if refused.Code == string(currantloom.SQLStateQueryCanceled) && !e.mayCancel {
			w.addViolation(e, "got %v although neither the client nor its deadline cancelled it", err)
		}
		return
	}
	w.count("client connection lost")
}

// clientRoundKinds are the operations of a client in a round.
var clientRoundKinds = map[string]func(*responseCluster, context.Context, *clientRound){
	"literal": func(w *responseCluster, ctx context.Context, e *clientRound) {
		for range 3 {
			_ = w.query(ctx, e, "SELECT '"+e.tag+"'", []string{e.tag})
		}
	},
	"large row": func(w *responseCluster, ctx context.Context, e *clientRound) {
		large := e.tag + strings.Repeat("y", 300<<10) + e.tag
		_ = w.query(ctx, e, "SELECT '"+large+"'", []string{large})
	},
	"many rows": func(w *responseCluster, ctx context.Context, e *clientRound) {
		sql := fmt.Sprintf("SELECT '%[1]s'; SELECT id FROM orders WHERE n = 0 ORDER BY id; SELECT '%[1]s'", e.tag)
		_ = w.query(ctx, e, sql, []string{e.tag}, w.tableIDs, []string{e.tag})
	},
	"sleep": func(w *responseCluster, ctx context.Context, e *clientRound) {
		_ = w.query(ctx, e, "SELECT pg_sleep(0.015); SELECT '"+e.tag+"'", []string{""}, []string{e.tag})
		_ = w.query(ctx, e, "SELECT '"+e.tag+"'", []string{e.tag})
	},
	"deadline": func(w *responseCluster, ctx context.Context, e *clientRound) {
		e.mayCancel = true
		_ = w.query(ctx, e, "SET currantloom.deadline TO '20ms'", nil)
		_ = w.query(ctx, e, "SELECT pg_sleep(0.02); SELECT '"+e.tag+"'", []string{""}, []string{e.tag})
		_ = w.query(ctx, e, "RESET currantloom.deadline", nil)
		_ = w.query(ctx, e, "SELECT '"+e.tag+"'", []string{e.tag})
	},
	"pipeline":    func(w *responseCluster, ctx context.Context, e *clientRound) { w.pipeline(ctx, e, false) },
	"pipelines":   func(w *responseCluster, ctx context.Context, e *clientRound) { w.pipeline(ctx, e, true) },
	"insert":      func(w *responseCluster, ctx context.Context, e *clientRound) { w.transaction(ctx, e, "") },
	"commit":      func(w *responseCluster, ctx context.Context, e *clientRound) { w.transaction(ctx, e, "COMMIT") },
	"rollback":    func(w *responseCluster, ctx context.Context, e *clientRound) { w.transaction(ctx, e, "ROLLBACK") },
	"client gone": func(w *responseCluster, ctx context.Context, e *clientRound) { w.transaction(ctx, e, "gone") },
}

// pipeline sends four statements at once; the third one fails. With syncEach each statement is a request of its own, so
// the fourth one runs. Otherwise all of them are one request, which ends at the failure.
func (w *responseCluster) pipeline(ctx context.Context, e *clientRound, syncEach bool) {
	const statements, failing = 4, 2
	p := e.client.conn.StartPipeline(ctx)
	for i := range statements {
		if i == failing {
			p.SendQueryParams("SELECT missing FROM orders", nil, nil, nil, nil)
		} else {
			p.SendQueryParams("SELECT $1", [][]byte{fmt.Appendf(nil, "%s-%d", e.tag, i)}, nil, nil, nil)
		}
		if syncEach || i == statements-1 {
			if err := p.Sync(); err != nil {
				e.failed = true
			}
		}
	}
	at, syncs := 0, 0
	for !e.client.conn.IsClosed() {
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
			at = syncs
			continue
		}
		var refused *pgconn.PgError
		switch {
		case errors.As(err, &refused) && refused.Code == "42703":
			w.count("pipeline with a failed statement")
			if at != failing {
				w.addViolation(e, "got the error of statement %d at statement %d", failing+1, at+1)
			}
		case err != nil:
			w.checkError(e, err)
		case at == failing || at >= statements || !syncEach && at > failing:
			w.addViolation(e, "got a result for statement %d, which is not to run", at+1)
		}
		if r != nil && at != failing {
			w.checkRows(e, r, []string{fmt.Sprintf("%s-%d", e.tag, at)})
		}
		at++
	}
	w.checkError(e, p.Close())
}

// transaction inserts rows that hold the number of the transaction, and expects to read exactly these rows. It ends
// with the given statement, or with the loss of the client's connection if end is "gone". If end is empty, it is a
// single INSERT statement.
func (w *responseCluster) transaction(ctx context.Context, e *clientRound, end string) {
	w.mu.Lock()
	w.lastNumber++
	n, record := w.lastNumber, &insertTransaction{}
	w.transactions[n] = record
	w.mu.Unlock()
	insert := func(i int) error {
		return w.query(ctx, e, fmt.Sprintf("INSERT INTO orders VALUES ('%s-%d', %d)", e.tag, i, n), nil)
	}
	if end == "" {
		record.rows = 1
		record.recordEnd(insert(0))
		return
	}
	record.rows = 2
	err := w.query(ctx, e, "BEGIN", nil)
	for i := 0; i < 2 && err == nil; i++ {
		err = insert(i)
	}
	if err == nil {
		sql := fmt.Sprintf("SELECT id FROM orders WHERE n = %d ORDER BY id", n)
		err = w.query(ctx, e, sql, []string{e.tag + "-0", e.tag + "-1"})
	}
	switch {
	case end == "gone" || err != nil && e.client.conn.IsClosed():
		_ = e.client.conn.Conn().Close()
	case err != nil:
		_ = w.query(ctx, e, "ROLLBACK", nil)
	case end == "COMMIT":
		record.recordEnd(w.query(ctx, e, end, nil))
	default:
		_ = w.query(ctx, e, end, nil)
	}
}

// recordEnd records whether the transaction is committed, according to the response to its last statement.
func (r *insertTransaction) recordEnd(err error) {
	var refused *pgconn.PgError
	r.committed = err == nil
	notRun := errors.As(err, &refused) && strings.Contains(refused.Detail, "verdict=not_run")
	r.unknown = err != nil && !notRun
}

// checkTransactions compares the rows at the primary with the outcomes that the clients received.
func (w *responseCluster) checkTransactions(t *rapid.T) {
	for _, n := range slices.Sorted(maps.Keys(w.transactions)) {
		record := w.transactions[n]
		var got int
		row := w.direct.QueryRow(context.Background(), "SELECT count(*) FROM orders WHERE n = $1", fmt.Sprint(n))
		if err := row.Scan(&got); err != nil {
			t.Fatal(err)
		}
		if got != 0 && got != record.rows || !record.unknown && (got > 0) != record.committed {
			t.Fatalf("transaction %d of %d rows, committed %v, unknown %v: the primary holds %d of them",
				n, record.rows, record.committed, record.unknown, got)
		}
	}
	clear(w.transactions)
}

// roundFaults are the faults of a round. Byte limits of the relays are cleared after the round.
var roundFaults = map[string]func(w *responseCluster, e *clientRound, bytes int){
	"none": func(*responseCluster, *clientRound, int) {},
	"cancel": func(_ *responseCluster, e *clientRound, _ int) {
		_ = e.client.conn.CancelRequest(context.Background())
	},
	"client connection closed": func(_ *responseCluster, e *clientRound, _ int) { _ = e.client.conn.Conn().Close() },
	"server response cut": func(w *responseCluster, _ *clientRound, n int) {
		w.primaryRelay.CloseAfterBytesToClient(n)
	},
	"server request cut": func(w *responseCluster, _ *clientRound, n int) {
		w.primaryRelay.CloseAfterBytesToServer(n / 100)
	},
	"link response cut": func(w *responseCluster, _ *clientRound, n int) {
		w.linkRelays[0].CloseAfterBytesToClient(n)
	},
	"link request cut": func(w *responseCluster, _ *clientRound, n int) {
		w.linkRelays[0].CloseAfterBytesToServer(n / 100)
	},
	"server silent":           func(w *responseCluster, _ *clientRound, _ int) { stallBriefly(w.primaryRelay) },
	"link silent":             func(w *responseCluster, _ *clientRound, _ int) { stallBriefly(w.linkRelays[0]) },
	"server connections lost": func(w *responseCluster, _ *clientRound, _ int) { w.primaryRelay.CloseConnections() },
	"carrier lost": func(w *responseCluster, _ *clientRound, _ int) {
		for _, r := range []*loomstandin.Relay{w.primaryRelay, w.linkRelays[0], w.clientRelays[0]} {
			r.CloseConnections()
		}
	},
	"entry node lost": func(w *responseCluster, _ *clientRound, _ int) { w.clientRelays[1].CloseConnections() },
}

// stallBriefly stops a relay from transmitting for 100 ms, which is longer than the requests of a round take.
func stallBriefly(r *loomstandin.Relay) {
	r.Stall(true)
	time.Sleep(100 * time.Millisecond)
	r.Stall(false)
}

// runRound runs an operation of each client concurrently, with at most one fault. It checks that each client receives
// only its own responses, during the round and in a request after it.
func (w *responseCluster) runRound(t *testing.T, rt *rapid.T) {
	ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
	defer cancel()
	var exchanges []*clientRound
	kinds := slices.Sorted(maps.Keys(clientRoundKinds))
	for _, c := range w.clients {
		e := &clientRound{client: c, kind: rapid.SampledFrom(kinds).Draw(rt, "exchange")}
		w.lastNumber++
		e.tag = fmt.Sprintf("t%d", w.lastNumber)
		w.awaitRecovery(t, rt, e)
		exchanges = append(exchanges, e)
	}
	fault := rapid.SampledFrom(slices.Sorted(maps.Keys(roundFaults))).Draw(rt, "fault")
	target := rapid.SampledFrom(exchanges).Draw(rt, "target")
	delay := time.Duration(rapid.IntRange(0, 12_000).Draw(rt, "delay in us")) * time.Microsecond
	limit := rapid.IntRange(0, 400<<10).Draw(rt, "bytes")
	target.mayCancel = fault == "cancel"
	cuts := w.primaryRelay.ClosedByLimit() + w.linkRelays[0].ClosedByLimit()
	var running sync.WaitGroup
	for _, e := range exchanges {
		running.Go(func() { clientRoundKinds[e.kind](w, ctx, e) })
	}
	time.Sleep(delay)
	roundFaults[fault](w, target, limit)
	running.Wait()
	for _, r := range []*loomstandin.Relay{w.primaryRelay, w.linkRelays[0]} {
		r.CloseAfterBytesToClient(-1)
		r.CloseAfterBytesToServer(-1)
	}
	w.count("round with " + fault)
	if w.primaryRelay.ClosedByLimit()+w.linkRelays[0].ClosedByLimit() > cuts {
		w.count("round with " + fault + ", a connection was cut")
	}
	if slices.ContainsFunc(exchanges, func(e *clientRound) bool { return e.failed }) {
		w.count("round with " + fault + ", a request failed")
	}
	for _, e := range exchanges {
		w.count("exchange " + e.kind)
		w.awaitRecovery(t, rt, e)
	}
	if len(w.violations) > 0 {
		rt.Fatalf("fault %s after %v:\n%s", fault, delay, strings.Join(w.violations, "\n"))
	}
}

// awaitRecovery repeats a request of the client until it succeeds. Late responses and cancels must not reach the
// request.
func (w *responseCluster) awaitRecovery(t *testing.T, rt *rapid.T, e *clientRound) {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	after := &clientRound{client: e.client, kind: "request after " + e.kind, tag: e.tag + "-after", mayCancel: e.mayCancel}
	var err error
	for ctx.Err() == nil {
		_, err = w.ensureConnected(ctx, t, e.client)
		if err == nil {
			err = w.query(ctx, after, "SELECT '"+after.tag+"'", []string{after.tag})
		}
		if err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	rt.Fatalf("%s got no response at node %d within %v after the fault: %v; violations: %v",
		e.client.organisation, e.client.node, recoveryTimeout, err, w.violations)
}

// TestFuzzResponses guards against violations of invariants 3 and 4 of the design page while connections are closed or
// stalled and requests are cancelled. 3: a transaction sees rows of another transaction, or an unfinished transaction
// leaves rows behind. 4: a response is incomplete without an error, or belongs to another request.
func TestFuzzResponses(t *testing.T) {
	w := startResponseCluster(t)
	rapid.Check(t, func(rt *rapid.T) {
		w.violations = nil
		rt.Repeat(map[string]func(*rapid.T){"round": func(rt *rapid.T) { w.runRound(t, rt) }})
		w.checkTransactions(rt)
	})
	for _, name := range slices.Sorted(maps.Keys(w.counts)) {
		t.Logf("%s: %d", name, w.counts[name])
	}
}
