package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	clientsPerNode = 8
	// stopTimeout covers the interval of the load balancer, the longest statement of the test and a reserve.
	stopTimeout = 15 * time.Second
)

// TestStopUnderLoad guards against a shutdown that loses requests. Every request must succeed or be reported as not
// run, and the rows at the primary must agree with both.
func TestStopUnderLoad(t *testing.T) {
	for _, stopped := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d of 2 nodes", stopped), func(t *testing.T) { testStopUnderLoad(t, stopped) })
	}
}

// startNodeProcesses starts two nodes as separate processes and returns them with their addresses for clients.
func startNodeProcesses(t *testing.T, upstreamAddresses []string) (nodes []*exec.Cmd, addresses []string) {
	t.Helper()
	dir, binaries := t.TempDir(), buildBinaries(t)
	ports := append(append([]string(nil), upstreamAddresses...), freePorts(t, 4)...)
	for i := range 2 {
		path := filepath.Join(dir, string(vmName(i))+".yaml")
		// More slots than long statements, so that other statements can run at the same time.
		settings := strings.Replace(staticSettings(string(vmName(i)), ports, i), "slots: 2", "slots: 8", 1)
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		nodes = append(nodes, startProcess(t, filepath.Join(binaries, "currantloom"), "serve", "--settings", path))
	}
	return nodes, ports[3:5]
}

func testStopUnderLoad(t *testing.T, stopped int) {
	upstreamAddresses, direct := startGroup(t)
	nodes, addresses := startNodeProcesses(t, upstreamAddresses)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var idle []*pgx.Conn
	l := &insertLoad{t: t, results: make(map[string]error)}
	var clients sync.WaitGroup
	for i := range stopped {
		address := addresses[i]
		idle = append(idle, connectWithToken(ctx, t, address, ""))
		long, transaction := connectWithToken(ctx, t, address, ""), connectWithToken(ctx, t, address, "")
		clients.Go(func() { l.runLong(ctx, long) })
		clients.Go(func() { l.runTransaction(ctx, transaction, fmt.Sprintf("tx-%d", i)) })
		for c := range clientsPerNode {
			clients.Go(func() { l.run(ctx, address, fmt.Sprintf("%d-%d", i, c)) })
		}
	}
	time.Sleep(time.Second)
	for i := range stopped {
		if err := nodes[i].Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	for i, conn := range idle {
		m, err := conn.PgConn().Frontend().Receive()
		if e, ok := m.(*pgproto3.ErrorResponse); !ok || e.Code != "57P01" {
			t.Errorf("got %v %v in the idle session of node %d, want 57P01", m, err, i)
		}
	}
	clients.Wait()
	for i := range stopped {
		exited := make(chan error, 1)
		go func() { exited <- nodes[i].Wait() }()
		select {
		case err := <-exited:
			if err != nil {
				t.Errorf("node %d: %v, want exit code 0", i, err)
			}
		case <-time.After(stopTimeout):
			t.Errorf("node %d did not end within %s", i, stopTimeout)
		}
	}
	if l.ran.Load() < 100 {
		t.Errorf("only %d requests ran, want at least 100", l.ran.Load())
	}
	l.check(direct)
	t.Logf("%d requests ran, %d were refused as not run", l.ran.Load(), l.refused.Load())
}

// insertLoad issues inserts and records their results.
type insertLoad struct {
	t *testing.T
	// mayHaveRun permits inserts whose outcome is unknown. A planned stop must not cause any.
	mayHaveRun   bool
	ran, refused atomic.Int64
	unknown      atomic.Int64

	mu      sync.Mutex
	results map[string]error
}

// run inserts rows over a connection. When the connection fails it opens another one, until the node accepts none or
// the context ends.
func (l *insertLoad) run(ctx context.Context, address, name string) {
	config := connectConfig(l.t, address)
	n := 0
	for ctx.Err() == nil {
		conn, err := pgx.ConnectConfig(ctx, config)
		if err != nil {
			return
		}
		for err == nil && ctx.Err() == nil {
			n++
			id := fmt.Sprintf("%s-%d", name, n)
			_, err = conn.Exec(context.WithoutCancel(ctx), "INSERT INTO orders VALUES ($1, $2)", id, "1")
			l.record(id, err)
			time.Sleep(3 * time.Millisecond)
		}
		_ = conn.Close(context.Background())
	}
}

// record stores the result of an insert, and fails the test if the result has no verdict that is permitted.
func (l *insertLoad) record(id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[id] = err
	if err == nil {
		l.ran.Add(1)
		return
	}
	var e *pgconn.PgError
	if l.mayHaveRun && errors.As(err, &e) && strings.Contains(e.Detail, "verdict=may_have_run") {
		delete(l.results, id)
		l.unknown.Add(1)
		return
	}
	l.refused.Add(1)
	if !errors.As(err, &e) || !strings.Contains(e.Detail, "verdict=not_run") {
		l.t.Errorf("insert %s was lost: %v", id, err)
	}
}

// check compares the results with the rows at the primary.
func (l *insertLoad) check(direct *pgx.Conn) {
	for id, err := range l.results {
		want := 1
		if err != nil {
			want = 0
		}
		if got := countOrders(l.t, direct, id); got != want {
			l.t.Errorf("insert %s: the primary holds %d rows, want %d after error %v", id, got, want, err)
		}
	}
}

func (l *insertLoad) runLong(ctx context.Context, conn *pgx.Conn) {
	if _, err := conn.Exec(ctx, "SELECT pg_sleep(5)"); err != nil {
		l.t.Errorf("long statement: %v", err)
	}
}

func (l *insertLoad) runTransaction(ctx context.Context, conn *pgx.Conn, id string) {
	tx, err := conn.Begin(ctx)
	for i := 0; err == nil && i < 6; i++ {
		_, err = tx.Exec(ctx, "SELECT pg_sleep(0.5)")
		time.Sleep(100 * time.Millisecond)
	}
	if err == nil {
		_, err = tx.Exec(ctx, "INSERT INTO orders VALUES ($1, $2)", id, "1")
	}
	if err == nil {
		err = tx.Commit(ctx)
	}
	if err != nil {
		l.t.Errorf("transaction over the stop: %v", err)
	}
	l.record(id, err)
}

// TestOwnerLost guards against wrong verdicts and requests without a response when either of two nodes is killed or
// paused under the load of the other node's clients. One of the two nodes owns the upstream and runs all requests.
func TestOwnerLost(t *testing.T) {
	for i := range 2 {
		for name, signal := range map[string]syscall.Signal{"killed": syscall.SIGKILL, "paused": syscall.SIGSTOP} {
			t.Run(fmt.Sprintf("%s %s", vmName(i), name), func(t *testing.T) {
				t.Parallel()
				testOwnerLost(t, i, signal)
			})
		}
	}
}

func testOwnerLost(t *testing.T, lost int, signal syscall.Signal) {
	upstreamAddresses, direct := startGroup(t)
	nodes, addresses := startNodeProcesses(t, upstreamAddresses)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_ = connectWithToken(ctx, t, addresses[lost], "").Close(ctx)
	_ = connectWithToken(ctx, t, addresses[1-lost], "").Close(ctx)
	l := &insertLoad{t: t, results: make(map[string]error), mayHaveRun: true}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for c := range clientsPerNode {
		clients.Go(func() { l.run(loadCtx, addresses[1-lost], fmt.Sprint(c)) })
	}
	time.Sleep(500 * time.Millisecond)
	if err := nodes[lost].Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
	// The other node notices a paused node after 5 s without an answer.
	time.Sleep(8 * time.Second)
	before := l.ran.Load()
	time.Sleep(time.Second)
	if l.ran.Load() == before {
		t.Error("no request ran after the other node was lost")
	}
	stopLoad()
	clients.Wait()
	l.check(direct)
	t.Logf("%d requests ran, %d did not, %d may have", l.ran.Load(), l.refused.Load(), l.unknown.Load())
}
