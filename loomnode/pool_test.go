package loomnode

import (
	"context"
	"io"
	"testing"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
	"currantloom.example/currantloom/loomstandin"
)

// TestControlConnectionsAreReserved guards against requests that take the connections of an upstream that are reserved
// for control calls.
func TestControlConnectionsAreReserved(t *testing.T) {
	listener := listen(t)
	group, err := loomstandin.StartGroup(loomstandin.Options{}, listener)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = group.Close() }()
	upstream := currantloom.NewPostgresUpstream("a", "db", listener.Addr().String(), currantloom.Location{})
	n := New(Config{
		Reducer: loomcore.Config{Self: "vm-1", Databases: []currantloom.Database{
			currantloom.NewDatabase("db", 1, 5, []currantloom.PostgresUpstream{upstream}),
		}},
		LogOutput: io.Discard,
	})
	conn, err := n.pools["a"].Acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	second, err := n.pools["a"].Acquire(ctx)
	if err == nil {
		second.Release()
		t.Error("got a second connection, want 1 of the upstream's 5 connections for requests")
	}
	conn.Release()
	_ = n.pools["a"].Close()
}
