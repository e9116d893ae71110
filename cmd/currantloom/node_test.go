package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/goleak"

	"currantloom.example/currantloom"
)

func dial(t testing.TB, address string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.ConnectConfig(context.Background(), connectConfig(t, address))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// awaitPrimary waits until each node knows the primary and runs a statement.
func awaitPrimary(t testing.TB, addresses []string) {
	t.Helper()
	for _, address := range addresses {
		conn := dial(t, address)
		if _, err := conn.Exec(context.Background(), "SELECT 1"); err != nil {
			t.Fatal(err)
		}
	}
}

// TestTwoNodes guards against statements, transactions and cancels that work only through the node that owns the
// upstream, and against statements of closed connections that keep using slots.
func TestTwoNodes(t *testing.T) {
	upstreamAddresses, direct := startGroup(t)
	_, addresses := startNodes(t, upstreamAddresses)
	awaitPrimary(t, addresses)
	if _, err := direct.Exec(t.Context(), "INSERT INTO orders VALUES ('seed', 1)"); err != nil {
		t.Fatal(err)
	}
	for i, address := range addresses {
		t.Run(string(vmName(i)), func(t *testing.T) {
			conn := dial(t, address)
			for range 3 {
				var value string
				if err := conn.QueryRow(t.Context(), "SELECT id FROM orders WHERE id = $1", "seed").Scan(&value); err != nil {
					t.Fatal(err)
				}
			}
			id := fmt.Sprintf("tx-%d", i)
			tx, err := conn.Begin(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := tx.Exec(t.Context(), "INSERT INTO orders VALUES ($1, $2)", id, "1"); err != nil {
				t.Error(err)
			}
			if countOrders(t, direct, id) != 0 {
				t.Error("the insert is visible before the commit")
			}
			if err := tx.Commit(t.Context()); err != nil || countOrders(t, direct, id) != 1 {
				t.Errorf("commit: %v, want the row at the primary", err)
			}
			checkCancel(t, conn, "SELECT pg_sleep(20)")
			if _, err := conn.Begin(t.Context()); err != nil {
				t.Fatal(err)
			}
			checkCancel(t, conn, "SELECT pg_sleep(20)")
			checkSlotsFreedOnDisconnect(t, direct, address)
		})
	}
}

// checkCancel runs a long statement, cancels it with a CancelRequest and expects the error within 3 s.
func checkCancel(t *testing.T, conn *pgx.Conn, sql string) {
	t.Helper()
	start := time.Now()
	time.AfterFunc(100*time.Millisecond, func() { _ = conn.PgConn().CancelRequest(context.Background()) })
	_, err := conn.Exec(t.Context(), sql)
	var e *pgconn.PgError
	if !errors.As(err, &e) || e.Code != string(currantloom.SQLStateQueryCanceled) || time.Since(start) > 3*time.Second {
		t.Errorf("%s: got %v after %s, want 57014 soon", sql, err, time.Since(start))
	}
}

// checkSlotsFreedOnDisconnect closes client connections while their statements use all slots of the upstream, and
// expects a slot to be free within 1.5 s.
func checkSlotsFreedOnDisconnect(t *testing.T, direct *pgx.Conn, address string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	var clients sync.WaitGroup
	for range upstreamSlots {
		conn := dial(t, address)
		clients.Go(func() { _, _ = conn.Exec(ctx, "SELECT pg_sleep(20)") })
	}
	clients.Wait()
	start := time.Now()
	if _, err := direct.Exec(t.Context(), "SELECT pg_sleep(0)"); err != nil || time.Since(start) > 1500*time.Millisecond {
		t.Errorf("statements of closed client connections held the slots for %s (%v)", time.Since(start), err)
	}
}

// awaitReplicas waits until the log of each replica is as long as that of the primary, the first address. Then the
// goroutines of all replication streams exist, and a list of goroutines that is taken afterwards includes them.
func awaitReplicas(t *testing.T, addresses []string) {
	t.Helper()
	want := logEnd(t, dial(t, addresses[0]))
	for _, address := range addresses[1:] {
		conn := dial(t, address)
		for deadline := time.Now().Add(3 * time.Second); logEnd(t, conn) != want; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("replica %s lacks the primary's entry %s after 3 s", address, want)
			}
		}
	}
}

// logEnd returns the log position that a server of the group reports.
func logEnd(t *testing.T, conn *pgx.Conn) string {
	t.Helper()
	results, err := conn.PgConn().Exec(context.Background(), "SELECT * FROM group_status()").ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	row := results[0].Rows[0]
	return string(row[3]) + "/" + string(row[4])
}

// TestNodeStop guards against goroutines and connections that remain after a node has stopped, and against transactions
// that the stop interrupts.
func TestNodeStop(t *testing.T) {
	upstreamAddresses, direct := startGroup(t)
	awaitReplicas(t, upstreamAddresses)
	before := goleak.IgnoreCurrent()
	t.Run("stop", func(t *testing.T) {
		nodes, addresses := startNodes(t, upstreamAddresses)
		awaitPrimary(t, addresses)
		var wait sync.WaitGroup
		for i, address := range addresses {
			conn := dial(t, address)
			wait.Go(func() {
				id := fmt.Sprintf("long-%d", i)
				_, err := conn.Exec(context.Background(), "BEGIN; SELECT pg_sleep(0.5); INSERT INTO orders VALUES ('"+id+"', 1)")
				if err == nil {
					_, err = conn.Exec(context.Background(), "COMMIT")
				}
				if err != nil {
					t.Errorf("transaction over the stop of node %d: %v", i, err)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		for _, node := range nodes {
			wait.Go(func() { _ = node.Close() })
		}
		wait.Wait()
	})
	for i := range 2 {
		if n := countOrders(t, direct, fmt.Sprintf("long-%d", i)); n != 1 {
			t.Errorf("transaction through node %d was committed %d times, want once", i, n)
		}
	}
	goleak.VerifyNone(t, before)
}
