package loommodel_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom/loommodel"
)

var (
	restoreNodes = flag.Int("model.restore.nodes", 8, "number of nodes of TestRestoreTime")
	restoreSeed  = flag.Uint64("model.restore.seed", 0, "first seed of TestRestoreTime")
	restoreSeeds = flag.Int("model.restore.seeds", 10, "number of seeds of TestRestoreTime")
)

// maxRestoreTime is the longest accepted time from the return of the store to an accepted promotion: the time to live
// of the failover lease, 2 s, and 1 s more.
const maxRestoreTime = 3 * time.Second

// TestRestoreTime guards against a fleet that cannot change primaries for long after the store came back from a copy. A
// primary crashes in the moment of the return. It logs the distribution for docs/CAPACITY.md.
func TestRestoreTime(t *testing.T) {
	const (
		age  = 2 * time.Second
		down = time.Second
		step = 20 * time.Millisecond
	)
	var times []time.Duration
	for i := range *restoreSeeds {
		seed := *restoreSeed + uint64(i)
		sim := startSimulation(t, seed, loommodel.Options{Nodes: *restoreNodes, Clients: 24})
		sim.Run(3 * time.Second)
		sim.RestoreStore(age, down)
		sim.Run(down)
		sim.Crash(sim.Primary(0), false, 20*time.Second)
		took := time.Duration(0)
		for before := sim.Stats().Promotions; sim.Stats().Promotions == before && took < 3*maxRestoreTime; took += step {
			sim.Run(step)
		}
		times = append(times, took-loommodel.PromotionTime)
		if accepted := times[len(times)-1]; accepted > maxRestoreTime {
			t.Errorf("seed %d: promotion accepted %s after the return of the store, want at most %s", seed, accepted,
				maxRestoreTime)
		}
		assertNoViolations(t, sim)
	}
	slices.Sort(times)
	t.Logf("%d nodes, %d seeds: median %s, longest %s", *restoreNodes, *restoreSeeds, times[len(times)/2],
		times[len(times)-1])
}
