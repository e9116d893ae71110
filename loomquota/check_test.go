package loomquota

import (
	"slices"
	"time"
)

// checkBound fails the test if more operations ran in any window than the limit allows. It returns the highest part of
// the allowed number that was reached.
func (sim *simulation) checkBound(allowed func(o *simulatedOrganisation, from, to time.Duration) float64) float64 {
	highest := 0.0
	for _, o := range sim.orgs {
		slices.Sort(o.runs)
		first := 0
		for last, at := range o.runs {
			for o.runs[first] <= at-sim.window.Length {
				first++
			}
			count := float64(last - first + 1)
			most := allowed(o, at-sim.window.Length, at)
			highest = max(highest, count/most)
			if count > most {
				sim.Errorf("%s: %.0f operations in the window before %v, at most %.1f are allowed", o.name, count, at, most)
				break
			}
		}
	}
	return highest
}

// constantBound is the bound of limits that do not change.
func (sim *simulation) constantBound(o *simulatedOrganisation, _, _ time.Duration) float64 {
	return (o.limit.PerSecond*sim.window.Length.Seconds()+o.limit.Burst)*(1+sim.window.Overage) + sim.window.Slack
}

// refusedShare returns the share of the operations that were refused within a time, of all organisations.
func (sim *simulation) refusedShare(from, to time.Duration) float64 {
	refused, asked := 0, 0
	within := func(times []time.Duration) int {
		n := 0
		for _, at := range times {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	for _, o := range sim.orgs {
		refused, asked = refused+within(o.refused), asked+within(o.asked)
	}
	return float64(refused) / float64(max(1, asked))
}

// waits returns the median, the 99th percentile and the longest wait for a token from a time on.
func (sim *simulation) waits(from time.Duration) (median, high, longest time.Duration) {
	var all []time.Duration
	for _, o := range sim.orgs {
		for _, w := range o.waits {
			if w.at >= from {
				all = append(all, w.duration)
			}
		}
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)*99/100], all[len(all)-1]
}
