package loommodel_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom/loommodel"
)

var (
	firstSilenceSeed = flag.Uint64("model.silence.seed", 180, "first seed of TestSilenceIsNoEvidence")
	silenceSeedCount = flag.Int("model.silence.seeds", 40, "number of seeds of TestSilenceIsNoEvidence")
)

// timedEvent is something that happens at a time of a drawn day.
type timedEvent struct {
	at  time.Duration
	run func()
}

// silenceDraw draws clusters of losses after which something that was said or written is not heard of.
type silenceDraw struct {
	*rand.Rand
	sim    *loommodel.Simulation
	events []timedEvent
}

func (d *silenceDraw) duration(least, most time.Duration) time.Duration {
	return least + time.Duration(d.Int64N(int64(most-least)))
}

func (d *silenceDraw) add(at time.Duration, run func()) {
	d.events = append(d.events, timedEvent{at: at, run: run})
}

// replica returns a replica of the service as it is when an event happens.
func (d *silenceDraw) replica() string {
	replicas := replicasOf(d.sim, d.sim.Primary(0))
	return replicas[d.IntN(len(replicas))]
}

// cut cuts the fleet in two for a time, the store on one side and the primary mostly on the other.
func (d *silenceDraw) cut(last time.Duration) {
	sides := [2][]string{{"store", "cloud"}, nil}
	for _, name := range append(d.sim.Nodes(), d.sim.Upstreams()...) {
		side := d.IntN(2)
		if name == d.sim.Primary(0) && d.IntN(4) > 0 {
			side = 1
		}
		sides[side] = append(sides[side], name)
	}
	for _, from := range sides[0] {
		for _, to := range sides[1] {
			d.sim.PartitionFor(from, to, true, last)
		}
	}
}

// addCluster adds losses that overlap around a time.
func (d *silenceDraw) addCluster(around time.Duration) {
	sim := d.sim
	for range 3 + d.IntN(3) {
		at, last := around+d.duration(0, 2500*time.Millisecond), d.duration(2*time.Second, 7*time.Second)
		switch d.IntN(9) {
		case 0, 1:
			d.add(at, func() { d.cut(last) })
		case 2, 3:
			d.add(at, func() { sim.Crash(sim.Primary(0), true, last) })
		case 4:
			d.add(at, func() { sim.Crash(d.replica(), true, last) })
		case 5:
			d.add(at, func() { sim.SlowReplication(d.replica(), 1, true, last) })
		case 6:
			d.add(at+time.Second, func() { killAllNodes(sim, d.Rand) })
		case 7:
			d.add(at, func() { sim.SetStoreDown(true) })
			d.add(at+last/3, func() { sim.SetStoreDown(false) })
		case 8:
			d.add(at, func() { sim.DelayPromotions(60) })
			d.add(at+last, func() { sim.DelayPromotions(0) })
		}
	}
}

// play lets the events happen in their order.
func (d *silenceDraw) play() {
	slices.SortStableFunc(d.events, func(a, b timedEvent) int { return cmp.Compare(a.at, b.at) })
	now := time.Duration(0)
	for _, e := range d.events {
		d.sim.Run(e.at - now)
		now = e.at
		e.run()
	}
}

// TestSilenceIsNoEvidence guards against a loss of commits in any order of cuts, outages of the store, late requests,
// dark upstreams and lost processes: each time something that is not heard of was taken for something that is not
// there.
func TestSilenceIsNoEvidence(t *testing.T) {
	for i := range *silenceSeedCount {
		seed := *firstSilenceSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := startSimulation(t, seed, loommodel.Options{Nodes: 5, Clients: 40, ThinkTime: 10 * time.Millisecond})
			d := &silenceDraw{Rand: rand.New(rand.NewPCG(seed, 630)), sim: sim}
			d.addCluster(2 * time.Second)
			d.addCluster(14 * time.Second)
			d.play()
			sim.Run(25 * time.Second)
			assertNoViolations(t, sim)
			assertServing(t, sim)
		})
	}
}
