package loommodel_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"currantloom.example/currantloom/loommodel"
)

var (
	firstMinoritySeed = flag.Uint64("model.minority.seed", 0, "first seed of TestHolderInMinority")
	minoritySeedCount = flag.Int("model.minority.seeds", 24, "number of seeds of TestHolderInMinority")
)

// cutBetween partitions each component of one side from each of the other.
func cutBetween(sim *loommodel.Simulation, side, other []string) {
	for _, from := range side {
		for _, to := range other {
			sim.Partition(from, to, true)
		}
	}
}

// TestHolderInMinority guards against a holder of the failover lease that changes a primary which most nodes go on
// using: they are cut off from it and from the store, and give themselves commit leases.
func TestHolderInMinority(t *testing.T) {
	for i := range *minoritySeedCount {
		seed := *firstMinoritySeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 186))
			draw := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
			sim := startSimulation(t, seed, loommodel.Options{Nodes: 6, Clients: 48, ThinkTime: 10 * time.Millisecond})
			sim.Run(3 * time.Second)
			primary, holder := sim.Primary(0), sim.FailoverLeaseHolder()
			replicas := replicasOf(sim, primary)
			most, few := []string{primary}, []string{holder, "store", "cloud"}
			beside := random.IntN(3)
			for _, name := range sim.Nodes() {
				switch {
				case name == holder:
				case beside > 0:
					beside--
					few = append(few, name)
				default:
					most = append(most, name)
				}
			}
			few = append(few, replicas[0])
			if random.IntN(2) == 0 {
				most = append(most, replicas[1])
			} else {
				few = append(few, replicas[1])
			}
			cutBetween(sim, most, few)
			sim.Run(draw(3 * time.Second))
			started := sim.StartUnregisteredReplica(0, replicas[1])
			cutBetween(sim, []string{started}, few)
			sim.Run(3*time.Second + draw(4*time.Second))
			sim.Heal()
			sim.RestoreRegistration(started)
			sim.Run(10 * time.Second)
			assertNoViolations(t, sim)
			assertServing(t, sim)
		})
	}
}

// TestFailoverBesideLostNodes guards against a primary that is not replaced because most nodes are lost for good: they
// count as cut off until their registrations have lapsed.
func TestFailoverBesideLostNodes(t *testing.T) {
	const registrationTime = 12 * time.Second
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := startSimulation(t, seed, loommodel.Options{Nodes: 6, Clients: 24, ThinkTime: 20 * time.Millisecond})
			sim.Run(2 * time.Second)
			left := 2
			for _, name := range sim.Nodes() {
				if left == 0 || name == sim.FailoverLeaseHolder() {
					sim.PowerOff(name, time.Hour)
				} else {
					left--
				}
			}
			sim.Crash(sim.Primary(0), true, time.Hour)
			commits, gap := sim.Stats().Commits, time.Duration(0)
			const step, atMost = 50 * time.Millisecond, registrationTime + maxFailoverTime
			for ; gap <= atMost && sim.Stats().Commits == commits; gap += step {
				sim.Run(step)
			}
			t.Logf("no commit for %s", gap)
			if gap > atMost {
				t.Errorf("no commit for %s, want at most %s", gap, atMost)
			}
			assertNoViolations(t, sim)
		})
	}
}
