package loomcore

import (
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestShutdownAwaitsRequests guards against a node that ends while one of its requests is in flight.
func TestShutdownAwaitsRequests(t *testing.T) {
	vm := currantloom.NewVM("vm-1", simulatedDatabase().Upstreams()[0].Location(), "", "", currantloom.VMLive)
	s := New(Config{Self: vm.Name(), Location: vm.Location(), Databases: []currantloom.Database{simulatedDatabase()}})
	key := currantloom.RequestKey{VM: vm.Name(), Number: 1}
	stops := func(now time.Duration, events ...Event) bool {
		for _, e := range events {
			s.Reduce(e)
		}
		return slices.Contains(s.Reduce(Tick{Stamp{Now: now}}), Effect(ShutdownFinished{}))
	}
	if stops(time.Second, VMsReceived{Set: currantloom.VMSet{VMs: []currantloom.VM{vm}}}, RequestArrived{
		Request: currantloom.Request{Key: key, Database: testDatabase},
	}, ShutdownRequested{}) {
		t.Error("the node stops while a request runs")
	}
	if !stops(2*time.Second, ForwardFinished{Key: key, Attempt: 1, Sent: true, Trailer: currantloom.ResponseTrailer{
		Verdict: currantloom.Ran, UpstreamAnswered: true,
	}}) {
		t.Error("the node does not stop after its last request")
	}
}
