package loommodel_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"currantloom.example/currantloom/loommodel"
)

// TestRegistrationsReturnOneByOne guards against a node that starts as the store returns and takes the registrations
// that are back so far for all: it promoted a replica that had received nothing, beside a live primary.
func TestRegistrationsReturnOneByOne(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 27))
			sim := startSimulation(t, seed, loommodel.Options{Nodes: 3, Clients: 24, ThinkTime: 10 * time.Millisecond})
			sim.Run(3 * time.Second)
			replicas := replicasOf(sim, sim.Primary(0))
			sim.SlowReplication(replicas[seed%2], 1, true, 20*time.Second)
			sim.Run(time.Second)
			sim.SetStoreDown(true)
			for _, name := range sim.Upstreams() {
				sim.LapseRegistration(name)
			}
			started := 2 * time.Second
			for _, name := range sim.Nodes() {
				sim.RevokeLeases(name)
				sim.Kill(name, started+time.Duration(random.Int64N(int64(300*time.Millisecond))))
			}
			// Nodes start shortly before or after the return.
			sim.Run(started + time.Duration(random.Int64N(int64(time.Second))) - 200*time.Millisecond)
			sim.SetStoreDown(false)
			restoreRegistrations(sim, random)
			sim.Run(8 * time.Second)
			if promotions := sim.Stats().Promotions; promotions > 0 {
				t.Errorf("%d promotions beside a live primary", promotions)
			}
			assertNoViolations(t, sim)
			assertServing(t, sim)
		})
	}
}

// restoreRegistrations lets the upstreams register again in a random order within two seconds.
func restoreRegistrations(sim *loommodel.Simulation, random *rand.Rand) {
	names := sim.Upstreams()
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	const longest = 1900 * time.Millisecond
	passed := time.Duration(0)
	for i, name := range names {
		pause := time.Duration(random.Int64N(int64(longest-passed))) / time.Duration(len(names)-i)
		if i == len(names)-1 {
			pause = longest - passed
		}
		sim.Run(pause)
		passed += pause
		sim.RestoreRegistration(name)
	}
}
