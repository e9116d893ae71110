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
	firstLeavingSeed = flag.Uint64("model.leaving.seed", 0, "first seed of TestLeftReplicaBesideCutOffPrimary")
	leavingSeedCount = flag.Int("model.leaving.seeds", 24, "number of seeds of TestLeftReplicaBesideCutOffPrimary")
)

// TestLeftReplicaBesideCutOffPrimary guards against a promotion that takes a replica which has left after a drain for
// one whose log does not matter: it had confirmed commits of the primary, which is cut off, and the nodes that
// acknowledged them are cut off too.
func TestLeftReplicaBesideCutOffPrimary(t *testing.T) {
	for i := range *leavingSeedCount {
		seed := *firstLeavingSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 348))
			draw := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
			sim := startSimulation(t, seed, loommodel.Options{Nodes: 6, Clients: 48, ThinkTime: 10 * time.Millisecond})
			primary, holder := sim.Primary(0), sim.FailoverLeaseHolder()
			replicas := replicasOf(sim, primary)
			leaving := sim.StartReplica(0, primary)
			sim.Run(3 * time.Second)
			sim.Drain(leaving, time.Hour)
			sim.Run(2 * time.Second)
			side, other := []string{primary, leaving}, append([]string{holder, "store", "cloud"}, replicas...)
			for _, name := range sim.Nodes() {
				switch {
				case name == holder:
				case len(side) < 5:
					side = append(side, name)
				default:
					other = append(other, name)
				}
			}
			cutBetween(sim, side, other)
			sim.Run(300*time.Millisecond + draw(1500*time.Millisecond))
			sim.LapseRegistration(leaving)
			sim.Crash(leaving, false, time.Hour)
			sim.Run(3*time.Second + draw(3*time.Second))
			sim.Heal()
			sim.Run(15 * time.Second)
			assertNoViolations(t, sim)
			assertServing(t, sim)
		})
	}
}
