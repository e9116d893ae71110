package loommodel_test

import (
	"fmt"
	"testing"
	"time"

	"currantloom.example/currantloom/loommodel"
)

// TestUnreachedNode guards against the loss of commits that a node which the holder can't reach saw acknowledged: the
// primary crashes together with the one replica that received them, and only the replica without them is left.
func TestUnreachedNode(t *testing.T) {
	for _, seed := range []uint64{6, 7} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := startSimulation(t, seed, loommodel.Options{Nodes: 4, Clients: 32, ThinkTime: 10 * time.Millisecond})
			sim.Run(time.Second)
			cutOff := nodeWithoutLease(sim)
			for _, name := range sim.Nodes() {
				if name != cutOff {
					sim.Partition(cutOff, name, true)
				}
			}
			primary := sim.Primary(0)
			replicas := replicasOf(sim, primary)
			received, lacking := replicas[seed%2], replicas[1-seed%2]
			sim.Run(time.Second)
			sim.SlowReplication(lacking, 1, true, 20*time.Second)
			sim.Run(300 * time.Millisecond)
			sim.Crash(received, false, 10*time.Second)
			sim.Run(time.Duration(seed%4) * 20 * time.Millisecond)
			sim.Crash(primary, false, 10*time.Second)
			sim.Run(16 * time.Second)
			sim.Heal()
			sim.Run(10 * time.Second)
			assertNoViolations(t, sim)
		})
	}
}
