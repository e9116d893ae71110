package loomfleet

import (
	"flag"
	"testing"
	"time"
)

var fleetSeeds = flag.Uint64("fleet.seeds", 1, "number of seeds of each load that the balance is measured with")

// measureLoad runs a load for two waves with each seed.
func measureLoad(l fleetLoad, balanced bool) fleetFigures {
	var sum fleetFigures
	l.config = func(c *Config) { c.BalanceReads = balanced }
	for seed := range *fleetSeeds {
		f := newTestFleet(seed+1, l)
		f.run(3*time.Second + 2*l.period)
		sum.add(f.result)
	}
	return sum
}

// TestEvenLoad guards against queues beside free slots: nodes that know the same load of some time ago must not all
// choose the same upstream, and work must leave an upstream that is slow. The share of time with a queue over 100 ms
// beside a free slot has to fall to a third of that of the choice by the last reported queue, without a longer p99,
// more late requests, more messages or more calls between regions.
func TestEvenLoad(t *testing.T) {
	for layout, oneRegion := range map[string]bool{"one region": true, "two regions": false} {
		t.Run(layout, func(t *testing.T) {
			t.Parallel()
			var before, after fleetFigures
			for _, sc := range fleetScenarios(oneRegion) {
				b, a := measureLoad(sc.load, false), measureLoad(sc.load, true)
				t.Logf("%-17s last report %s\n%45s %s", sc.name, &b, "balanced", &a)
				before.add(b)
				after.add(a)
			}
			if before.unevenShare() == 0 || after.unevenShare() > before.unevenShare()/3 {
				t.Errorf("queue beside a free slot for %.2f%% of the time, want a third of %.2f%% at most",
					after.unevenShare(), before.unevenShare())
			}
			if after.quantile(0.99) > before.quantile(0.99) || after.lateShare() > before.lateShare() {
				t.Errorf("p99 %s and %.3f%% late, before %s and %.3f%%", after.quantile(0.99), after.lateShare(),
					before.quantile(0.99), before.lateShare())
			}
			if after.perRequest(after.messages) > before.perRequest(before.messages) ||
				after.perRequest(after.crossed) > before.perRequest(before.crossed) {
				t.Errorf("%.3f messages and %.3f calls between regions for each request, before %.3f and %.3f",
					after.perRequest(after.messages), after.perRequest(after.crossed),
					before.perRequest(before.messages), before.perRequest(before.crossed))
			}
		})
	}
}
