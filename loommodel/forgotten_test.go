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
	firstForgottenSeed = flag.Uint64("model.forgotten.seed", 0, "first seed of TestForgottenCommits")
	forgottenSeedCount = flag.Int("model.forgotten.seeds", 24, "number of seeds of TestForgottenCommits")
)

// killAllNodes ends the processes of all nodes, each for a random time.
func killAllNodes(sim *loommodel.Simulation, random *rand.Rand) {
	for _, name := range sim.Nodes() {
		sim.Kill(name, 300*time.Millisecond+time.Duration(random.Int64N(int64(time.Second))))
	}
}

// TestForgottenCommits guards against the promotion of a replica that lacks commits which only processes that have
// ended had acknowledged: the primary and the replica that received them are dark, all processes are killed, and the
// new ones take the commits that they do not know of for commits that do not exist.
func TestForgottenCommits(t *testing.T) {
	for i := range *forgottenSeedCount {
		seed := *firstForgottenSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 63))
			draw := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
			sim := startSimulation(t, seed, loommodel.Options{Nodes: 4, Clients: 32, ThinkTime: 10 * time.Millisecond})
			sim.Run(3 * time.Second)
			primary := sim.Primary(0)
			replicas := replicasOf(sim, primary)
			lacking, received := replicas[seed%2], replicas[1-seed%2]
			sim.SlowReplication(lacking, 1, true, 7*time.Second)
			sim.Run(200*time.Millisecond + draw(2*time.Second))
			dark := 5*time.Second + draw(2*time.Second)
			sim.Crash(received, true, dark)
			sim.Run(draw(300 * time.Millisecond))
			sim.Crash(primary, true, dark)
			sim.Run(draw(4 * time.Second))
			killAllNodes(sim, random)
			sim.Run(16 * time.Second)
			assertNoViolations(t, sim)
			assertServing(t, sim)
		})
	}
}

// recoveryTime is the time within which clients must be served again after all machines are back.
const recoveryTime = 12 * time.Second

// TestRecoveryWithoutReturn guards against a service that stays without a primary because two of its three upstreams,
// which may have held commits that nobody remembers, are lost for good.
func TestRecoveryWithoutReturn(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 64))
			sim := startSimulation(t, seed, loommodel.Options{Nodes: 4, Clients: 24, ThinkTime: 20 * time.Millisecond})
			sim.Run(2 * time.Second)
			primary := sim.Primary(0)
			replicas := replicasOf(sim, primary)
			sim.Crash(replicas[seed%2], true, time.Hour)
			sim.Crash(primary, true, time.Hour)
			sim.Run(time.Duration(random.Int64N(int64(4 * time.Second))))
			killAllNodes(sim, random)
			sim.Run(1300 * time.Millisecond)
			const step = 50 * time.Millisecond
			want, waited := replicas[1-seed%2], time.Duration(0)
			for ; waited < recoveryTime && sim.Primary(0) != want; waited += step {
				sim.Run(step)
			}
			t.Logf("a primary leads %s after all nodes are back", waited)
			if got := sim.Primary(0); got != want {
				t.Errorf("%q leads %s after all nodes are back, want %s", got, recoveryTime, want)
			}
		})
	}
}
