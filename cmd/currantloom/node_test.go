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

// awaitPrimary waits until the nodes have learned of the primary.
func awaitPrimary(t testing.TB, addresses []string) {
	t.Helper()
	for _, address := range addresses {
		conn := dial(t, address)
		if _, err := conn.Exec(context.Background(), "select 1"); err != nil {
			t.Fatal(err)
		}
	}
}

// TestTwoNodes guards against statements that work only through the node that carries the server.
func TestTwoNodes(t *testing.T) {
	group, servers := startFakeGroup(t)
	_, addresses := startNodes(t, 2, servers)
	awaitPrimary(t, addresses)
	for i, address := range addresses {
		t.Run(string(vmName(i)), func(t *testing.T) {
			conn := dial(t, address)
			for range 3 {
				var value string
				if err := conn.QueryRow(t.Context(), "select $1", "x").Scan(&value); err != nil {
					t.Fatal(err)
				}
			}
			id := fmt.Sprintf("tx-%d", i)
			tx, err := conn.Begin(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := tx.Exec(t.Context(), "insert into orders values ('"+id+"')"); err != nil {
				t.Error(err)
			}
			if group.count(id) != 0 {
				t.Error("the insert is visible before the commit")
			}
			if err := tx.Commit(t.Context()); err != nil || group.count(id) != 1 {
				t.Errorf("commit: %v, inserted %d times", err, group.count(id))
			}
			cancelRunning(t, conn, "select sleep(20000)")
			if _, err := conn.Begin(t.Context()); err != nil {
				t.Fatal(err)
			}
			cancelRunning(t, conn, "select sleep(20001)")
			leaveRunning(t, group, address)
		})
	}
}

// cancelRunning runs a long statement and cancels it by a CancelRequest.
func cancelRunning(t *testing.T, conn *pgx.Conn, sql string) {
	t.Helper()
	start := time.Now()
	time.AfterFunc(100*time.Millisecond, func() { _ = conn.PgConn().CancelRequest(context.Background()) })
	_, err := conn.Exec(t.Context(), sql)
	var e *pgconn.PgError
	if !errors.As(err, &e) || e.Code != string(currantloom.CodeQueryCanceled) || time.Since(start) > 3*time.Second {
		t.Errorf("%s: got %v after %s, want 57014 soon", sql, err, time.Since(start))
	}
}

// leaveRunning closes a client connection while its statement runs and expects a cancel at the server.
func leaveRunning(t *testing.T, group *fakeGroup, address string) {
	t.Helper()
	before := group.cancelCount()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, _ = dial(t, address).Exec(ctx, "select sleep(20002)")
	for end := time.Now().Add(3 * time.Second); group.cancelCount() == before; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Error("the statement of a client that is gone was not cancelled")
			return
		}
	}
}

// TestNodeStop guards against goroutines and connections that outlive a node, and against requests that it cuts off.
func TestNodeStop(t *testing.T) {
	group, servers := startFakeGroup(t)
	before := goleak.IgnoreCurrent()
	t.Run("stop", func(t *testing.T) {
		nodes, addresses := startNodes(t, 2, servers)
		awaitPrimary(t, addresses)
		var wait sync.WaitGroup
		for i, address := range addresses {
			conn := dial(t, address)
			wait.Go(func() {
				id := fmt.Sprintf("long-%d", i)
				_, err := conn.Exec(context.Background(), "begin; select sleep(500); insert into orders values ('"+id+"')")
				if err == nil {
					_, err = conn.Exec(context.Background(), "commit")
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
		if n := group.count(fmt.Sprintf("long-%d", i)); n != 1 {
			t.Errorf("transaction through node %d was committed %d times, want once", i, n)
		}
	}
	goleak.VerifyNone(t, before)
}
