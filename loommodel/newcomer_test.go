package loommodel_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"currantloom.example/currantloom/loommodel"
)

// TestNewcomerBesideCutOffPrimary guards against clients that are told of commits which the next primary lacks: the
// primary and a node are cut off from the others, and a replica that starts during the change of primary receives.
func TestNewcomerBesideCutOffPrimary(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 132))
			sim := startSimulation(t, seed, loommodel.Options{Nodes: 4, Clients: 32, ThinkTime: 10 * time.Millisecond})
			sim.Run(3 * time.Second)
			primary, beside := sim.Primary(0), nodeWithoutLease(sim)
			replicas := replicasOf(sim, primary)
			cutOffWith(sim, primary, beside, replicas)
			sim.Run(600*time.Millisecond + time.Duration(random.Int64N(int64(1500*time.Millisecond))))
			sim.StartReplica(0, replicas[random.IntN(len(replicas))])
			sim.Run(3 * time.Second)
			sim.Heal()
			sim.Run(8 * time.Second)
			assertNoViolations(t, sim)
			assertServing(t, sim)
		})
	}
}

// cutOffWith cuts an upstream and a node off from all replicas and all other nodes.
func cutOffWith(sim *loommodel.Simulation, primary, beside string, replicas []string) {
	for _, name := range replicas {
		sim.Partition(primary, name, true)
	}
	for _, name := range sim.Nodes() {
		if name != beside {
			sim.Partition(primary, name, true)
			sim.Partition(beside, name, true)
		}
	}
}
