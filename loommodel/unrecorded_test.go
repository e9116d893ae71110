package loommodel_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
	"currantloom.example/currantloom/loommodel"
)

var (
	firstUnrecordedSeed = flag.Uint64("model.unrecorded.seed", 0, "first seed of TestUnrecordedChange")
	unrecordedSeedCount = flag.Int("model.unrecorded.seeds", 24, "number of seeds of TestUnrecordedChange")
)

// runUntilDecision runs the simulation until a node has logged a decision of the event with the outcome, and reports
// whether one did before the limit.
func runUntilDecision(sim *loommodel.Simulation, limit time.Duration, event, outcome string) bool {
	found := false
	trace := sim.Trace
	sim.Trace = func(at time.Duration, vm currantloom.VMName, d loomfleet.Decision) {
		if trace != nil {
			trace(at, vm, d)
		}
		found = found || d.Event == event && d.Outcome == outcome
	}
	const step = 5 * time.Millisecond
	for waited := time.Duration(0); waited < limit && !found; waited += step {
		sim.Run(step)
	}
	sim.Trace = trace
	return found
}

// TestUnrecordedChange guards against a promotion that is carried out although all processes that knew of its request
// have ended: the store refused the record of the change when it began, and the change went on without one.
func TestUnrecordedChange(t *testing.T) {
	for i := range *unrecordedSeedCount {
		seed := *firstUnrecordedSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 12))
			draw := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
			sim := startSimulation(t, seed, loommodel.Options{Nodes: 4, Clients: 24, ThinkTime: 10 * time.Millisecond})
			sim.Run(2 * time.Second)
			primary := sim.Primary(0)
			sim.DelayPromotions(100)
			sim.Crash(primary, true, 7*time.Second)
			if random.IntN(2) == 0 {
				sim.Crash(replicasOf(sim, primary)[seed%2], true, 7*time.Second)
			}
			if !runUntilDecision(sim, 5*time.Second, "failover", "fence") {
				t.Fatal("no failover began to write its fence")
			}
			sim.SetStoreDown(true)
			sim.Run(300*time.Millisecond + draw(900*time.Millisecond))
			sim.SetStoreDown(false)
			if !runUntilDecision(sim, 12*time.Second, "order", "requested") {
				t.Fatal("no promotion was requested")
			}
			sim.Run(draw(200 * time.Millisecond))
			killAllNodes(sim, random)
			sim.DelayPromotions(0)
			sim.Run(20 * time.Second)
			assertNoViolations(t, sim)
			assertServing(t, sim)
		})
	}
}

// TestUnrecordedOutage guards against the same when the store is down for all from before the request until all
// processes have ended, so that the change cannot be recorded.
func TestUnrecordedOutage(t *testing.T) {
	for i := range *unrecordedSeedCount {
		seed := *firstUnrecordedSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 13))
			sim := startSimulation(t, seed, loommodel.Options{Nodes: 4, Clients: 24, ThinkTime: 10 * time.Millisecond})
			sim.Run(2 * time.Second)
			primary := sim.Primary(0)
			sim.Crash(replicasOf(sim, primary)[seed%2], true, 10*time.Second)
			sim.Run(6500 * time.Millisecond)
			sim.DelayPromotions(100)
			sim.SetStoreDown(true)
			sim.Run(300 * time.Millisecond)
			sim.Crash(primary, true, 2500*time.Millisecond+time.Duration(random.Int64N(int64(1500*time.Millisecond))))
			if !runUntilDecision(sim, 8*time.Second, "order", "requested") {
				t.Fatal("no promotion was requested")
			}
			killAllNodes(sim, random)
			sim.DelayPromotions(0)
			sim.Run(time.Second)
			sim.SetStoreDown(false)
			sim.Run(20 * time.Second)
			assertNoViolations(t, sim)
			assertServing(t, sim)
		})
	}
}
