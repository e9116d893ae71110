package loommodel_test

import (
	"testing"
	"time"

	"currantloom.example/currantloom/loommodel"
)

// TestConnectionLimit guards against nodes that together open more connections than an upstream accepts. Each case
// moves the ownership of upstreams while their connections are in use or still counted.
func TestConnectionLimit(t *testing.T) {
	for name, fault := range map[string]func(sim *loommodel.Simulation, node string){
		"none": func(*loommodel.Simulation, string) {},
		"power lost, back at once": func(sim *loommodel.Simulation, node string) {
			sim.PowerOff(node, 500*time.Millisecond)
		},
		"power lost, back later": func(sim *loommodel.Simulation, node string) { sim.PowerOff(node, 8*time.Second) },
		"process killed":         func(sim *loommodel.Simulation, node string) { sim.Kill(node, time.Second) },
		"suspended":              func(sim *loommodel.Simulation, node string) { sim.Pause(node, 4*time.Second) },
		"shut down":              func(sim *loommodel.Simulation, node string) { sim.Stop(node, time.Second) },
		"cut from the other nodes": func(sim *loommodel.Simulation, node string) {
			for _, other := range sim.Nodes() {
				sim.Partition(node, other, true)
			}
		},
		"cut from the upstreams": func(sim *loommodel.Simulation, node string) {
			for _, u := range sim.Upstreams() {
				sim.Partition(node, u, true)
			}
		},
		"registrations lost": func(sim *loommodel.Simulation, _ string) {
			for _, node := range sim.Nodes() {
				sim.RevokeLeases(node)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				sim := startSimulation(t, seed, loommodel.Options{Nodes: 6, Clients: 96, ThinkTime: 30 * time.Millisecond})
				for _, node := range sim.Nodes()[:4] {
					fault(sim, node)
					sim.Run(5 * time.Second)
					sim.Heal()
					sim.Run(3 * time.Second)
				}
				assertNoViolations(t, sim)
				assertServing(t, sim)
				if got := sim.Stats().ConnectionsRefused; got > 0 {
					t.Errorf("seed %d: %d connections over the limit", seed, got)
				}
			}
		})
	}
}
