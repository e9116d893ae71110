package loomquota

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// large is the first deployment of docs/organisations.md, small one in which the failures are combined.
func large(duration time.Duration) scenario {
	return scenario{
		nodes: 86, organisations: 85, seed: 1, rate: 700, skew: 1.2, use: 0.6, swing: 0.5, duration: duration,
	}
}

func small(duration time.Duration) scenario {
	return scenario{
		nodes: 24, organisations: 12, seed: 1, rate: 200, skew: 1.2, use: 0.6, swing: 0.5, duration: duration,
	}
}

// warmUp is the time in which buckets, which start empty, fill up.
const warmUp = 30 * time.Second

// failureStart is when the failures of the tests start.
const failureStart = 15 * time.Second

// TestNoRefusalsBelowLimit guards against refusals of operations below the limit, and against waits that exceed a round
// trip between regions.
func TestNoRefusalsBelowLimit(t *testing.T) {
	sim := newSimulation(t, large(50*time.Second)).run()
	sim.checkBound(sim.constantBound)
	median, high, longest := sim.waits(warmUp)
	t.Logf("waits for a token: median %v, 99%% %v, longest %v", median, high, longest)
	if refused := sim.refusedShare(warmUp, sim.duration); refused > 0 {
		t.Errorf("%.5f of the operations were refused", refused)
	}
	if roundTrip := 2 * 33 * time.Millisecond; longest > roundTrip {
		t.Errorf("an operation waited for %v, want at most a round trip, %v", longest, roundTrip)
	}
}

// failures are those of docs/organisations.md, section 5, and some more.
var failures = []struct {
	name  string
	start func(*simulation)
}{
	{"limiter killed", func(sim *simulation) { sim.kill(0, 2*time.Second) }},
	{"limiter killed for long", func(sim *simulation) { sim.kill(0, 20*time.Second) }},
	{"limiter cut off", func(sim *simulation) { sim.cutOff(1, 12*time.Second) }},
	{"limiter suspended", func(sim *simulation) { sim.pause(0, 3*time.Second) }},
	{"third of the nodes cut off from the others", func(sim *simulation) {
		sim.cutOff(len(sim.nodes)*35/100, 12*time.Second)
	}},
	{"third of the nodes cut off one by one", func(sim *simulation) {
		sim.cutOffEach(len(sim.nodes)*35/100, 12*time.Second)
	}},
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

// TestFailures guards against more operations than a limit allows under each failure, with demand below the limits. It
// prints the share of the operations that are refused.
func TestFailures(t *testing.T) {
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			sim := newSimulation(t, large(failureStart+14*time.Second))
			sim.after(failureStart, func() { f.start(sim) })
			sim.run()
			t.Logf("%.2f of the bound; refused: first 2 s %.4f, 12 s %.4f, after %.4f", sim.checkBound(sim.constantBound),
				sim.refusedShare(failureStart, failureStart+2*time.Second),
				sim.refusedShare(failureStart, failureStart+12*time.Second),
				sim.refusedShare(failureStart+12*time.Second, sim.duration))
		})
	}
}

// overload lets each organisation ask for 7.5 times its demand from about the given time on. Until then its bucket
// fills up.
func (sim *simulation) overload(at time.Duration) {
	for i, o := range sim.orgs {
		from := at + time.Duration(i%4-2)*time.Second
		o.factor = func(at time.Duration) float64 {
			if at < from {
				return 0.5
			}
			return 7.5
		}
	}
}

// TestFailuresAtLimit guards against more operations than a limit allows while organisations ask for much more than it,
// under any two failures that start within two seconds.
func TestFailuresAtLimit(t *testing.T) {
	highest := 0.0
	for i, first := range failures {
		for k, second := range failures[i:] {
			c := small(failureStart + 12*time.Second)
			c.seed = uint64(i*len(failures) + k)
			sim := newSimulation(t, c)
			sim.overload(failureStart)
			sim.after(failureStart, func() { first.start(sim) })
			sim.after(failureStart+time.Duration(k%5)*500*time.Millisecond, func() { second.start(sim) })
			part := sim.run().checkBound(sim.constantBound)
			highest = max(highest, part)
			if part > 1 {
				t.Errorf("%s, %s: %.2f of the bound", first.name, second.name, part)
			}
		}
	}
	t.Logf("at most %.2f of the bound", highest)
}

// TestBurstAlone guards against nodes that save their shares without bound while they go on alone.
func TestBurstAlone(t *testing.T) {
	sim := newSimulation(t, small(failureStart+20*time.Second))
	sim.overload(failureStart + 14*time.Second)
	sim.after(failureStart, func() { sim.cutOffEach(len(sim.nodes), 20*time.Second) })
	t.Logf("%.2f of the bound", sim.run().checkBound(sim.constantBound))
}

// TestLoweredLimit guards against operations beyond a lowered limit from one window after the change on.
func TestLoweredLimit(t *testing.T) {
	sim := newSimulation(t, small(30*time.Second))
	sim.overload(failureStart)
	old := make(map[currantloom.OrganisationName]currantloom.RateLimit)
	sim.after(failureStart, func() {
		for name, limit := range sim.limits {
			old[name] = limit
			lower := currantloom.RateLimit{PerSecond: limit.PerSecond / 5, Burst: limit.Burst / 5}
			sim.limits[name], sim.byName[name].limit = lower, lower
		}
		for _, n := range sim.nodes {
			n.entry.SetLimits(sim.limits)
			for _, l := range n.limiters {
				l.SetLimits(sim.now, sim.limits)
			}
		}
	})
	sim.run().checkBound(func(o *simulatedOrganisation, from, to time.Duration) float64 {
		before := *o
		before.limit = old[o.name]
		if from < failureStart+sim.window.Length {
			return sim.constantBound(&before, from, to)
		}
		return sim.constantBound(o, from, to)
	})
}
