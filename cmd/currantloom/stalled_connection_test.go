package main

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomstandin"
)

// TestStalledUpstreamConnection guards against a write that waits for its whole deadline of 10 s when the connections
// to the upstream stop transmitting, and against a verdict other than "may have run" for it.
func TestStalledUpstreamConnection(t *testing.T) {
	upstreamAddresses, _ := startGroup(t)
	relay := loomstandin.StartRelay(listen(t, 1)[0], upstreamAddresses[0])
	t.Cleanup(func() { _ = relay.Close() })
	_, addresses := startNodes(t, append([]string{relay.Address()}, upstreamAddresses[1:]...))
	conn := dial(t, addresses[0])
	if _, err := conn.Exec(t.Context(), "INSERT INTO orders VALUES ('a', 1)"); err != nil {
		t.Fatal(err)
	}
	relay.Stall(true)
	start := time.Now()
	_, err := conn.Exec(context.Background(), "INSERT INTO orders VALUES ('b', 1)")
	var e *pgconn.PgError
	if !errors.As(err, &e) || e.Code != string(currantloom.SQLStateOutcomeUnknown) || time.Since(start) > 7*time.Second {
		t.Errorf("write over a stalled connection: got %v after %s, want 08007 after 5 s", err, time.Since(start))
	}
	if _, err := conn.Exec(t.Context(), "INSERT INTO orders VALUES ('c', 1)"); err != nil {
		t.Errorf("write after the stalled one: %v", err)
	}
}
