package loomquota

import (
	"math"
	"testing"
	"time"
)

// large is the first deployment of docs/organisations.md.
func large(duration time.Duration) scenario {
	return scenario{
		nodes: 86, organisations: 85, seed: 1, rate: 700, skew: 1.2, use: 0.6, swing: 0.5, duration: duration,
	}
}

// TestNoRefusalsBelowLimit guards against refusals of operations below the limit, and against waits that exceed a round
// trip.
func TestNoRefusalsBelowLimit(t *testing.T) {
	sim := newSimulation(t, large(30*time.Second)).run()
	t.Logf("highest part of the bound %.2f, refused %.5f after 6 s, %.5f before", sim.checkBound(sim.constantBound),
		sim.refusedShare(6*time.Second, sim.duration), sim.refusedShare(0, 6*time.Second))
	median, high, longest := sim.waits()
	t.Logf("waits %v %v %v; %d messages, %d requests, %d demands, %d grants", median, high, longest, sim.messages,
		sim.requests, sim.demands, sim.grants)
}

// failureStart is when the failures of the tests start.
const failureStart = 12 * time.Second

// failures are those of docs/organisations.md, section 5, and some more. Each starts at failureStart.
var failures = []struct {
	name  string
	start func(*simulation)
}{
	{"limiter killed", func(sim *simulation) { sim.kill(0, 2*time.Second) }},
	{"limiter killed for long", func(sim *simulation) { sim.kill(0, 20*time.Second) }},
	{"limiter cut off", func(sim *simulation) { sim.cutOff(1, 12*time.Second) }},
	{"limiter suspended", func(sim *simulation) { sim.pause(0, 3*time.Second) }},
	{"third of the nodes cut off from the others", func(sim *simulation) { sim.cutOff(30, 12*time.Second) }},
	{"third of the nodes cut off one by one", func(sim *simulation) { sim.cutOffEach(30, 12*time.Second) }},
	{"messages lost and late", func(sim *simulation) { sim.loss, sim.late = 0.05, 0.05 }},
	{"half of the nodes restarted", func(sim *simulation) {
		for i := range sim.nodes {
			if i%2 == 1 {
				sim.kill(i, 2*time.Second)
			}
		}
	}},
	{"all restarted", func(sim *simulation) {
		for i := range sim.nodes {
			sim.kill(i, 2*time.Second)
		}
	}},
	{"all links cut", func(sim *simulation) { sim.cutOffEach(len(sim.nodes), 12*time.Second) }},
}

// cutOff separates the first nodes from the others for a time.
func (sim *simulation) cutOff(count int, d time.Duration) {
	cut, until := sim.cut, sim.now+d
	sim.cut = func(from, to int) bool {
		return sim.now < until && (from < count) != (to < count) || cut(from, to)
	}
}

// cutOffEach separates each of the first nodes from all others for a time.
func (sim *simulation) cutOffEach(count int, d time.Duration) {
	cut, until := sim.cut, sim.now+d
	sim.cut = func(from, to int) bool {
		return sim.now < until && (from < count || to < count) || cut(from, to)
	}
}

// TestFailures guards against more operations than a limit allows, and refusals below the limit, under each failure.
func TestFailures(t *testing.T) {
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			sim := newSimulation(t, large(32*time.Second))
			sim.after(failureStart, func() { f.start(sim) })
			sim.run()
			t.Logf("bound %.2f; refused: first 2 s %.4f, 12 s %.4f, after %.4f", sim.checkBound(sim.constantBound),
				sim.refusedShare(failureStart, failureStart+2*time.Second),
				sim.refusedShare(failureStart, failureStart+12*time.Second),
				sim.refusedShare(failureStart+12*time.Second, sim.duration))
		})
	}
}

// TestFailuresAtLimit guards against more operations than a limit allows while organisations ask for many times of it.
func TestFailuresAtLimit(t *testing.T) {
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			c := large(26 * time.Second)
			c.rate = 1200
			sim := newSimulation(t, c)
			for i, o := range sim.orgs {
				if i%3 == 0 {
					sim.after(failureStart-7*time.Second, func() {
						o.factor = func(at time.Duration) float64 { return 4 + 3.5*math.Sin(at.Seconds()/2) }
					})
				}
			}
			sim.after(failureStart, func() { f.start(sim) })
			sim.run()
			t.Logf("bound %.2f", sim.checkBound(sim.constantBound))
		})
	}
}
