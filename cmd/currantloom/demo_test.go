package main

import (
	"context"
	"testing"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loompeer"
	"currantloom.example/currantloom/loomstore"
)

// TestRulesMovePrimaries guards against "primary" and "leave" rules that are in effect but do not move the primary.
func TestRulesMovePrimaries(t *testing.T) {
	d := &demo{}
	defer func() { _ = d.close() }()
	if err := d.start(true); err != nil {
		t.Fatal(err)
	}
	address := d.platform.Address()
	const text = "primary wheel-core-1 wheel-core-1-b # x\nleave wheel-core-2-a # x\n"
	if out, err := applyText(t.Context(), t, loomstore.NewRulesStore(address), address, text); err != nil {
		t.Fatal(out, err)
	}
	client := &loompeer.ControlClient{}
	defer func() { _ = client.Close() }()
	// A leaving primary is replaced within 5 s; the rest of the timeout is for a busy machine.
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

// primaryOf returns the upstream that reports to be the primary of the database with the index.
func primaryOf(s currantloom.NodeStatus, database int) currantloom.UpstreamName {
	for _, v := range s.Databases[database].Upstreams {
		if v.Polled && v.Status.Role == currantloom.RolePrimary {
			return v.Name
		}
	}
	return ""
}
