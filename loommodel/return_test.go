package loommodel_test

import (
	"fmt"
	"testing"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
	"currantloom.example/currantloom/loommodel"
)

// runUntilPromotionAccepted runs the simulation until the platform has accepted a promotion, and reports whether it did
// before the limit.
func runUntilPromotionAccepted(sim *loommodel.Simulation, limit time.Duration) bool {
	accepted := false
	trace := sim.Trace
	sim.Trace = func(at time.Duration, vm currantloom.VMName, d loomfleet.Decision) {
		if trace != nil {
			trace(at, vm, d)
		}
		accepted = accepted || d.Event == "order" && d.Outcome == currantloom.PromoteAccepted.String()
	}
	const step = 5 * time.Millisecond
	for waited := time.Duration(0); waited < limit && !accepted; waited += step {
		sim.Run(step)
	}
	sim.Trace = trace
	return accepted
}

// TestReturnUnderNewID guards against a promotion that is undone because the crashed primary came back under a new id
// while the promotion was on its way, and was taken for a primary that another node had promoted.
func TestReturnUnderNewID(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := startSimulation(t, seed, loommodel.Options{Nodes: 4, Clients: 40, ThinkTime: 10 * time.Millisecond})
			sim.Run(time.Second)
			primary := sim.Primary(0)
			sim.Crash(primary, false, time.Minute)
			if !runUntilPromotionAccepted(sim, maxFailoverTime) {
				t.Fatal("no promotion was accepted")
			}
			sim.Run(time.Duration(seed) * 40 * time.Millisecond)
			returned := sim.ReturnUnderNewID(primary)
			sim.Run(6 * time.Second)
			if leader := sim.Primary(0); leader == returned || sim.Stats().Promotions != 1 {
				t.Errorf("%s leads after %d promotions, want another upstream than %s after one", leader,
					sim.Stats().Promotions, returned)
			}
			assertNoViolations(t, sim)
			assertServing(t, sim)
		})
	}
}
