package loommodel_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"currantloom.example/currantloom/loommodel"
)

var (
	firstOverlapSeed = flag.Uint64("overlap.seed", 1, "first seed of TestOverlappingChanges")
	overlapSeedCount = flag.Int("overlap.seeds", 10, "number of seeds of TestOverlappingChanges")
)

const (
	// overlapTime is the time of a run in which events happen, overlapSettleTime that in which late promotions take effect
	// and all upstreams are back.
	overlapTime       = 9 * time.Second
	overlapSettleTime = 6 * time.Second
	// overlapDrainTime is how long a drained upstream goes on.
	overlapDrainTime = 5 * time.Second
)

// overlapEvent is an event of a drawn run.
type overlapEvent struct {
	at   time.Duration
	kind string
	run  func()
}

// overlapDraw draws the events of a run. The targets are drawn when the event happens.
type overlapDraw struct {
	sim    *loommodel.Simulation
	random *rand.Rand
	events []overlapEvent
	// played describes the events that have happened.
	played []string
}

func (d *overlapDraw) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.random.Int64N(int64(high-low)))
}

func (d *overlapDraw) pick(names []string) string { return names[d.random.IntN(len(names))] }

// primary returns the primary, or any upstream if there is none.
func (d *overlapDraw) primary() string {
	if primary := d.sim.Primary(0); primary != "" {
		return primary
	}
	return d.pick(d.sim.Upstreams())
}

func (d *overlapDraw) add(at time.Duration, kind string, run func()) {
	d.events = append(d.events, overlapEvent{at: at, kind: kind, run: run})
}

// addChange adds a change of primary.
func (d *overlapDraw) addChange(at time.Duration) {
	down := d.between(100*time.Millisecond, 5*time.Second)
	switch d.random.IntN(5) {
	case 0, 1:
		d.add(at, "drain primary", func() { d.sim.Drain(d.primary(), overlapDrainTime) })
	case 2:
		d.add(at, "crash primary", func() { d.sim.Crash(d.primary(), false, down) })
	case 3:
		d.add(at, "hang primary", func() { d.sim.Crash(d.primary(), true, down) })
	default:
		d.addReturn(at, down, d.primary)
	}
}

// addReturn adds a crash of an upstream that returns under a new id.
func (d *overlapDraw) addReturn(at, down time.Duration, target func() string) {
	name := ""
	d.add(at, "crash for new id", func() {
		name = target()
		d.sim.Crash(name, false, time.Minute)
	})
	d.add(at+down, "return under new id", func() { d.sim.ReturnUnderNewID(name) })
}

// addDisturbance adds an event beside the changes.
func (d *overlapDraw) addDisturbance(at time.Duration) {
	lasts := d.between(100*time.Millisecond, 4*time.Second)
	switch d.random.IntN(6) {
	case 0, 1:
		d.addNodeEvent(at, lasts)
	case 2:
		d.addCut(at, lasts)
	case 3:
		d.add(at, "late promotions", func() { d.sim.DelayPromotions(50) })
		d.add(at+lasts, "prompt promotions", func() { d.sim.DelayPromotions(0) })
	case 4:
		d.add(at, "store down", func() { d.sim.SetStoreDown(true) })
		d.add(at+lasts, "store up", func() { d.sim.SetStoreDown(false) })
	default:
		d.addReplicaEvent(at, lasts)
	}
}

// drawNode draws the holder of the failover lease or any node.
func (d *overlapDraw) drawNode() string {
	if holder := d.sim.FailoverLeaseHolder(); holder != "" && d.random.IntN(2) == 0 {
		return holder
	}
	return d.pick(d.sim.Nodes())
}

func (d *overlapDraw) addNodeEvent(at, lasts time.Duration) {
	switch d.random.IntN(4) {
	case 0:
		d.add(at, "stop node", func() { d.sim.Stop(d.drawNode(), lasts/4) })
	case 1:
		d.add(at, "kill node", func() { d.sim.Kill(d.drawNode(), lasts/2) })
	case 2:
		d.add(at, "freeze node", func() { d.sim.Pause(d.drawNode(), lasts) })
	default:
		d.add(at, "power off node", func() { d.sim.PowerOff(d.drawNode(), lasts) })
	}
}

func (d *overlapDraw) drawUpstream() string {
	if primary := d.sim.Primary(0); primary != "" && d.random.IntN(2) == 0 {
		return primary
	}
	return d.pick(d.sim.Upstreams())
}

// addCut adds a cut between two components.
func (d *overlapDraw) addCut(at, lasts time.Duration) {
	bidirectional, kind := d.random.IntN(2) == 0, d.random.IntN(5)
	d.add(at, fmt.Sprintf("cut %d", kind), func() {
		var from, to string
		switch kind {
		case 0:
			from, to = d.drawNode(), d.drawUpstream()
		case 1:
			from, to = d.drawUpstream(), d.drawNode()
		case 2:
			from, to = d.drawNode(), d.pick(d.sim.Nodes())
		case 3:
			from, to = d.drawNode(), "store"
		default:
			from, to = d.drawUpstream(), d.pick(d.sim.Upstreams())
		}
		if from != to {
			d.sim.PartitionFor(from, to, bidirectional, lasts)
		}
	})
}

func (d *overlapDraw) addReplicaEvent(at, lasts time.Duration) {
	replica := func() string { return d.pick(replicasOf(d.sim, d.sim.Primary(0))) }
	switch d.random.IntN(4) {
	case 0:
		d.add(at, "restart replica", func() { d.sim.Crash(replica(), false, lasts/8) })
	case 1:
		d.addReturn(at, lasts, replica)
	case 2:
		d.add(at, "lag replica", func() { d.sim.SlowReplication(replica(), 50, false, lasts) })
	default:
		d.add(at, "stop replication", func() { d.sim.SlowReplication(replica(), 1, true, lasts) })
	}
}

// addShortRestart adds a restart of a replica, which ends its pause.
func (d *overlapDraw) addShortRestart(at time.Duration) {
	down := d.between(10*time.Millisecond, 200*time.Millisecond)
	d.add(at, "short restart of a replica", func() {
		d.sim.Crash(d.pick(replicasOf(d.sim, d.sim.Primary(0))), false, down)
	})
}

// addIsolation adds a cut of a node from all other nodes. It still reaches the upstreams and the store.
func (d *overlapDraw) addIsolation(at, lasts time.Duration) {
	d.add(at, "isolate node", func() {
		isolated := nodeWithoutLease(d.sim)
		for _, name := range d.sim.Nodes() {
			if name != isolated {
				d.sim.PartitionFor(isolated, name, true, lasts)
			}
		}
	})
}

// play runs the events in the order of their times until the given time.
func (d *overlapDraw) play(until time.Duration) {
	slices.SortStableFunc(d.events, func(a, b overlapEvent) int { return cmp.Compare(a.at, b.at) })
	now := time.Duration(0)
	for _, e := range d.events {
		d.sim.Run(e.at - now)
		now = e.at
		e.run()
		d.played = append(d.played, fmt.Sprintf("%s %s", startupTime+now, e.kind))
	}
	if until > now {
		d.sim.Run(until - now)
	}
}

// drawOverlappingChanges draws two changes of primary that overlap, and around them restarts of replicas, an isolated
// node and up to five other events.
func drawOverlappingChanges(sim *loommodel.Simulation, seed uint64) *overlapDraw {
	d := &overlapDraw{sim: sim, random: rand.New(rand.NewPCG(seed, seed+1))}
	first := d.between(500*time.Millisecond, 1500*time.Millisecond)
	second := first + d.between(50*time.Millisecond, 2500*time.Millisecond)
	d.addChange(first)
	d.addChange(second)
	d.addShortRestart(first + d.between(0, 1500*time.Millisecond))
	d.addShortRestart(second + d.between(0, 1500*time.Millisecond))
	if d.random.IntN(2) == 0 {
		d.addIsolation(first-500*time.Millisecond, d.between(2*time.Second, 6*time.Second))
	}
	for range 1 + d.random.IntN(5) {
		d.addDisturbance(d.between(max(0, first-time.Second), second+2*time.Second))
	}
	return d
}

// playOverlappingChanges plays the changes of a seed.
func playOverlappingChanges(t *testing.T, seed uint64) {
	t.Helper()
	sim := startSimulation(t, seed, loommodel.Options{
		Nodes: 3 + int(seed%3), Clients: 40, ThinkTime: 10 * time.Millisecond,
	})
	d := drawOverlappingChanges(sim, seed)
	d.play(overlapTime)
	sim.Heal()
	sim.SetStoreDown(false)
	sim.DelayPromotions(0)
	sim.Run(overlapSettleTime)
	assertNoViolations(t, sim)
	assertServing(t, sim)
	t.Logf("%d promotions: %s", sim.Stats().Promotions, strings.Join(d.played, "; "))
}

// TestReturnedPrimaryBesideIsolatedNode guards against a node that was isolated when writes were blocked, and that goes
// on acknowledging commits of the old primary, which is back under a new id while its successor is being promoted.
func TestReturnedPrimaryBesideIsolatedNode(t *testing.T) {
	const foundSeed = 1260
	playOverlappingChanges(t, foundSeed)
}

// TestOverlappingChanges guards against acknowledged commits that are lost when a primary is changed again while the
// change before is still going on, beside failures of nodes, upstreams, the network and the store.
func TestOverlappingChanges(t *testing.T) {
	for i := range *overlapSeedCount {
		seed := *firstOverlapSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playOverlappingChanges(t, seed)
		})
	}
}
