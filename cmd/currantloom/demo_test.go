package main

import (
	"context"
	"testing"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loompeer"
	"currantloom.example/currantloom/loomstore"
)

// TestRulesMovePrimaries guards against rules primary and leave that are in force but have no effect.
func TestRulesMovePrimaries(t *testing.T) {
	d := &demo{}
	defer func() { _ = d.close() }()
	if err := d.start(true); err != nil {
		t.Fatal(err)
	}
	address := d.platform.Address()
	const text = "primary wheel-core-1 wheel-core-1-b # x\nleave wheel-core-2-a # x\n"
	if out, err := applyText(t.Context(), t, loomstore.New(address), address, text); err != nil {
		t.Fatal(out, err)
	}
	client := &loompeer.ControlClient{}
	defer func() { _ = client.Close() }()
	// A leaving primary is replaced 5 s after the mark at the latest; the rest is for a busy machine.
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	for {
		status, err := client.Status(ctx, d.nodeConfigs[0].ControlListener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		first, second := primaryOf(status, 0), primaryOf(status, 1)
		if first == "wheel-core-1-b" && second != "" && second != "wheel-core-2-a" {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// primaryOf returns the server that reports to be primary of the database at the index.
func primaryOf(s currantloom.NodeStatus, database int) currantloom.UpstreamName {
	for _, v := range s.Databases[database].Upstreams {
		if v.Polled && v.Status.Role == currantloom.RolePrimary {
			return v.Name
		}
	}
	return ""
}
