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
	// manyRows of rowSize bytes exceed the buffers between server and client, so that a cut often hits a row.
	manyRows, rowSize = 300, 1 << 10
	// exchangeLimit bounds what a client does in one round, and recoveryLimit the time without service after a fault.
	exchangeLimit = 8 * time.Second
	recoveryLimit = 10 * time.Second
)

// exchange is one use of a client in a round. Its tag appears in every response that belongs to it.
type exchange struct {
	client *fuzzClient
	kind   string
	tag    string
	// mayCancel says that a cancel or a deadline of this client is part of the round.
	mayCancel bool
	failed    bool
}

type fuzzClient struct {
	caller string
	node   int
	conn   *pgconn.PgConn
}

// written is a transaction of this test; its rows carry its number in column n.
type written struct {
	rows      int
	committed bool
	unknown   bool
}

// responseWorld runs two nodes with relays on all paths: client to node, node to node, carrier to primary.
type responseWorld struct {
	server         *loomstandin.Relay
	callers, links []*loomstandin.Relay
	direct         *pgx.Conn
	clients        []*fuzzClient
	table          []string

	mu           sync.Mutex
	violations   []string
	transactions map[int]*written
	number       int
	counts       map[string]int
}

func newResponseWorld(t *testing.T) *responseWorld {
	servers, direct := startGroup(t)
	w := &responseWorld{direct: direct, transactions: make(map[int]*written), counts: make(map[string]int)}
	relay := func(target string) *loomstandin.Relay {
		r := loomstandin.StartRelay(listen(t, 1)[0], target)
		t.Cleanup(func() { _ = r.Close() })
		return r
	}
	w.server = relay(servers[0])
	servers[0] = w.server.Address()
	_, addresses := startNodes(t, servers, func(l net.Listener) string {
		w.links = append(w.links, relay(l.Addr().String()))
		return w.links[len(w.links)-1].Address()
	})
	awaitPrimary(t, addresses)
	for i, address := range addresses {
		w.callers = append(w.callers, relay(address))
		for _, caller := range []string{"steyr", "rival"} {
			w.clients = append(w.clients, &fuzzClient{caller: caller, node: i})
		}
	}
	for i := range manyRows {
		id := fmt.Sprintf("%04d%s", i, strings.Repeat("x", rowSize))
		w.table = append(w.table, id)
		if _, err := direct.Exec(t.Context(), "INSERT INTO orders VALUES ($1, '0')", id); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

// connected returns the client's connection and opens one if there is none, or if it still has a transaction, whose end
// failed.
func (w *responseWorld) connected(ctx context.Context, t *testing.T, c *fuzzClient) (*pgconn.PgConn, error) {
	if c.conn != nil {
		if !c.conn.IsClosed() && c.conn.TxStatus() == 'I' {
			return c.conn, nil
		}
		_ = c.conn.Close(ctx)
	}
	config := connectConfig(t, w.callers[c.node].Address())
	config.User = c.caller
	var err error
	c.conn, err = pgconn.ConnectConfig(ctx, &config.Config)
	return c.conn, err
}

func (w *responseWorld) violate(e *exchange, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf("%s of %s at node %d, tag %s: ", e.kind, e.client.caller,
		e.client.node, e.tag)+fmt.Sprintf(format, args...))
}

func (w *responseWorld) count(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[name]++
}

// query runs a simple query and checks that its results are the wanted ones: all of them, or those before an error.
func (w *responseWorld) query(ctx context.Context, e *exchange, sql string, want ...[]string) error {
	results, err := e.client.conn.Exec(ctx, sql).ReadAll()
	for i, r := range results {
		if i >= len(want) {
			w.violate(e, "got result %d of a request with %d statements", i+1, len(want))
			break
		}
		w.checkRows(e, r, want[i])
	}
	if err == nil && len(results) != len(want) {
		w.violate(e, "got %d results without an error, want %d", len(results), len(want))
	}
	w.checkError(e, err)
	return err
}

func (w *responseWorld) checkRows(e *exchange, r *pgconn.Result, want []string) {
	for i, row := range r.Rows {
		if i >= len(want) || len(row) != 1 || string(row[0]) != want[i] {
			w.violate(e, "got row %d %.80q, which is not one of this request", i+1, row)
			return
		}
	}
	if r.Err == nil && len(r.Rows) != len(want) {
		w.violate(e, "got %d rows without an error, want %d", len(r.Rows), len(want))
	}
}

// checkError checks that nobody else's cancel hit the request.
func (w *responseWorld) checkError(e *exchange, err error) {
	if err == nil {
		return
	}
	e.failed = true
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		w.count("answer " + refused.Code)
		if refused.Code == string(currantloom.SQLStateQueryCanceled) && !e.mayCancel {
			w.violate(e, "got %v although neither the client nor its deadline cancelled it", err)
		}
		return
	}
	w.count("client connection lost")
}

// exchangeKinds are the uses of a client. A transaction ends in one of four ways.
var exchangeKinds = map[string]func(*responseWorld, context.Context, *exchange){
	"literal": func(w *responseWorld, ctx context.Context, e *exchange) {
		for range 3 {
			_ = w.query(ctx, e, "SELECT '"+e.tag+"'", []string{e.tag})
		}
	},
	"large row": func(w *responseWorld, ctx context.Context, e *exchange) {
		large := e.tag + strings.Repeat("y", 300<<10) + e.tag
		_ = w.query(ctx, e, "SELECT '"+large+"'", []string{large})
	},
	"many rows": func(w *responseWorld, ctx context.Context, e *exchange) {
		sql := fmt.Sprintf("SELECT '%[1]s'; SELECT id FROM orders WHERE n = 0 ORDER BY id; SELECT '%[1]s'", e.tag)
		_ = w.query(ctx, e, sql, []string{e.tag}, w.table, []string{e.tag})
	},
	"sleep": func(w *responseWorld, ctx context.Context, e *exchange) {
		_ = w.query(ctx, e, "SELECT pg_sleep(0.015); SELECT '"+e.tag+"'", []string{""}, []string{e.tag})
		_ = w.query(ctx, e, "SELECT '"+e.tag+"'", []string{e.tag})
	},
	"deadline": func(w *responseWorld, ctx context.Context, e *exchange) {
		e.mayCancel = true
		_ = w.query(ctx, e, "SET currantloom.deadline TO '20ms'", nil)
		_ = w.query(ctx, e, "SELECT pg_sleep(0.02); SELECT '"+e.tag+"'", []string{""}, []string{e.tag})
		_ = w.query(ctx, e, "RESET currantloom.deadline", nil)
		_ = w.query(ctx, e, "SELECT '"+e.tag+"'", []string{e.tag})
	},
	"pipeline":    func(w *responseWorld, ctx context.Context, e *exchange) { w.pipeline(ctx, e, false) },
	"pipelines":   func(w *responseWorld, ctx context.Context, e *exchange) { w.pipeline(ctx, e, true) },
	"insert":      func(w *responseWorld, ctx context.Context, e *exchange) { w.transaction(ctx, e, "") },
	"commit":      func(w *responseWorld, ctx context.Context, e *exchange) { w.transaction(ctx, e, "COMMIT") },
	"rollback":    func(w *responseWorld, ctx context.Context, e *exchange) { w.transaction(ctx, e, "ROLLBACK") },
	"client gone": func(w *responseWorld, ctx context.Context, e *exchange) { w.transaction(ctx, e, "gone") },
}

// pipeline sends four statements at once, of which the third one fails. They are one request, or one each.
func (w *responseWorld) pipeline(ctx context.Context, e *exchange, syncEach bool) {
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
				w.violate(e, "got the error of statement %d at statement %d", failing+1, at+1)
			}
		case err != nil:
			w.checkError(e, err)
		case at == failing || at >= statements || !syncEach && at > failing:
			w.violate(e, "got a result for statement %d, which is not to run", at+1)
		}
		if r != nil && at != failing {
			w.checkRows(e, r, []string{fmt.Sprintf("%s-%d", e.tag, at)})
		}
		at++
	}
	w.checkError(e, p.Close())
}

// transaction inserts rows of its own number and expects to see exactly these.
func (w *responseWorld) transaction(ctx context.Context, e *exchange, end string) {
	w.mu.Lock()
	w.number++
	n, record := w.number, &written{}
	w.transactions[n] = record
	w.mu.Unlock()
	insert := func(i int) error {
		return w.query(ctx, e, fmt.Sprintf("INSERT INTO orders VALUES ('%s-%d', %d)", e.tag, i, n), nil)
	}
	if end == "" {
		record.rows = 1
		record.end(insert(0))
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
		record.end(w.query(ctx, e, end, nil))
	default:
		_ = w.query(ctx, e, end, nil)
	}
}

// end notes how the transaction ended, by the answer to its end.
func (r *written) end(err error) {
	var refused *pgconn.PgError
	r.committed = err == nil
	notRun := errors.As(err, &refused) && strings.Contains(refused.Detail, "verdict=not_run")
	r.unknown = err != nil && !notRun
}

// checkTransactions compares the rows at the primary with what the clients were told.
func (w *responseWorld) checkTransactions(t *rapid.T) {
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

// faults are what may happen during a round. Limits of bytes are cleared after the round.
var faults = map[string]func(w *responseWorld, e *exchange, bytes int){
	"none": func(*responseWorld, *exchange, int) {},
	"cancel": func(_ *responseWorld, e *exchange, _ int) {
		_ = e.client.conn.CancelRequest(context.Background())
	},
	"client connection closed": func(_ *responseWorld, e *exchange, _ int) { _ = e.client.conn.Conn().Close() },
	"server response cut":      func(w *responseWorld, _ *exchange, n int) { w.server.CloseAfterBytesToClient(n) },
	"server request cut":       func(w *responseWorld, _ *exchange, n int) { w.server.CloseAfterBytesToServer(n / 100) },
	"link response cut":        func(w *responseWorld, _ *exchange, n int) { w.links[0].CloseAfterBytesToClient(n) },
	"link request cut":         func(w *responseWorld, _ *exchange, n int) { w.links[0].CloseAfterBytesToServer(n / 100) },
	"server silent":            func(w *responseWorld, _ *exchange, _ int) { silence(w.server) },
	"link silent":              func(w *responseWorld, _ *exchange, _ int) { silence(w.links[0]) },
	"server connections lost":  func(w *responseWorld, _ *exchange, _ int) { w.server.CloseConnections() },
	"carrier lost": func(w *responseWorld, _ *exchange, _ int) {
		for _, r := range []*loomstandin.Relay{w.server, w.links[0], w.callers[0]} {
			r.CloseConnections()
		}
	},
	"entry node lost": func(w *responseWorld, _ *exchange, _ int) { w.callers[1].CloseConnections() },
}

// silence keeps a path silent for longer than the requests of a round take.
func silence(r *loomstandin.Relay) {
	r.Stall(true)
	time.Sleep(100 * time.Millisecond)
	r.Stall(false)
}

// round lets all clients work at once, with at most one fault, and checks that each of them gets its own responses
// then and afterwards.
func (w *responseWorld) round(t *testing.T, rt *rapid.T) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeLimit)
	defer cancel()
	var exchanges []*exchange
	kinds := slices.Sorted(maps.Keys(exchangeKinds))
	for _, c := range w.clients {
		e := &exchange{client: c, kind: rapid.SampledFrom(kinds).Draw(rt, "exchange")}
		w.number++
		e.tag = fmt.Sprintf("t%d", w.number)
		w.recover(t, rt, e)
		exchanges = append(exchanges, e)
	}
	fault := rapid.SampledFrom(slices.Sorted(maps.Keys(faults))).Draw(rt, "fault")
	target := rapid.SampledFrom(exchanges).Draw(rt, "target")
	delay := time.Duration(rapid.IntRange(0, 12_000).Draw(rt, "delay in us")) * time.Microsecond
	limit := rapid.IntRange(0, 400<<10).Draw(rt, "bytes")
	target.mayCancel = fault == "cancel"
	cuts := w.server.ClosedByLimit() + w.links[0].ClosedByLimit()
	var running sync.WaitGroup
	for _, e := range exchanges {
		running.Go(func() { exchangeKinds[e.kind](w, ctx, e) })
	}
	time.Sleep(delay)
	faults[fault](w, target, limit)
	running.Wait()
	for _, r := range []*loomstandin.Relay{w.server, w.links[0]} {
		r.CloseAfterBytesToClient(-1)
		r.CloseAfterBytesToServer(-1)
	}
	w.count("round with " + fault)
	if w.server.ClosedByLimit()+w.links[0].ClosedByLimit() > cuts {
		w.count("round with " + fault + ", a connection was cut")
	}
	if slices.ContainsFunc(exchanges, func(e *exchange) bool { return e.failed }) {
		w.count("round with " + fault + ", a request failed")
	}
	for _, e := range exchanges {
		w.count("exchange " + e.kind)
		w.recover(t, rt, e)
	}
	if len(w.violations) > 0 {
		rt.Fatalf("fault %s after %v:\n%s", fault, delay, strings.Join(w.violations, "\n"))
	}
}

// recover runs a request of the client until one succeeds. Late responses and cancels must not reach it.
func (w *responseWorld) recover(t *testing.T, rt *rapid.T, e *exchange) {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryLimit)
	defer cancel()
	after := &exchange{client: e.client, kind: "request after " + e.kind, tag: e.tag + "-after", mayCancel: e.mayCancel}
	var err error
	for ctx.Err() == nil {
		_, err = w.connected(ctx, t, e.client)
		if err == nil {
			err = w.query(ctx, after, "SELECT '"+after.tag+"'", []string{after.tag})
		}
		if err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	rt.Fatalf("%s got no response at node %d within %v after the fault: %v; violations: %v",
		e.client.caller, e.client.node, recoveryLimit, err, w.violations)
}

// TestFuzzResponses guards invariants 3 and 4 of the design page: rows of one transaction in another one or left behind
// by an unfinished one, and responses that are incomplete or belong to another request, while connections are cut, go
// silent or are cancelled.
func TestFuzzResponses(t *testing.T) {
	w := newResponseWorld(t)
	rapid.Check(t, func(rt *rapid.T) {
		w.violations = nil
		rt.Repeat(map[string]func(*rapid.T){"round": func(rt *rapid.T) { w.round(t, rt) }})
		w.checkTransactions(rt)
	})
	for _, name := range slices.Sorted(maps.Keys(w.counts)) {
		t.Logf("%s: %d", name, w.counts[name])
	}
}
