package loommeasure

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	peakServiceTime = 20 * time.Millisecond
	peakDeadline    = 2 * time.Second
	timeBeforeRise  = 5 * time.Second
	riseTime        = 2 * time.Second
	peakDuration    = 10 * time.Second
	// baseLoad is the load before the peak as a fraction of the capacity; at the peak it is multiplied by peakFactor.
	baseLoad   = 0.6
	peakFactor = 5
	peakRules  = "class * short \"insert\" # measure\n"
)

// peakOrganisations have equal shares of the database. Only the load of the first one rises.
var peakOrganisations = []string{"steyr", "enns", "traun", "ager"}

// measureCapacity returns the statements per second that complete at the primary under saturation. Without the near
// replica, the only replica left is behind the link between regions.
func measureCapacity(d deployment, p policy, seed uint64, nearReplica bool) float64 {
	sim := newSimulation(d, p, seed, peakRules)
	if !nearReplica {
		sim.upstreams[sim.databases[0].Upstreams()[1].Name()].crash()
		sim.runUntil(sim.now + warmUpTime)
	}
	start, completed := sim.now, 0
	var issueNext func()
	issueNext = func() {
		q := sim.newWrite("steyr", sim.exponential(peakServiceTime))
		q.onResponse = func(*query, currantloom.ResponseTrailer, time.Duration) {
			if sim.now > start+time.Second {
				completed++
			}
			issueNext()
		}
		sim.issue(q)
	}
	for range 4 * d.slots {
		issueNext()
	}
	sim.runUntil(start + peakDuration + time.Second)
	return float64(completed) / peakDuration.Seconds()
}

// peakCount counts the statements of an organisation during the peak: those issued and those completed in time.
type peakCount struct{ issued, completed int }

// measurePeak measures goodput, refusals and shares while the load is peakFactor times the base load.
func measurePeak(d deployment, policy policy, seed uint64) []result {
	fullCapacity := measureCapacity(d, policyLoomcore, seed, true)
	reducedCapacity := measureCapacity(d, policy, seed, false)
	sim := newSimulation(d, policy, seed, peakRules)
	start := sim.now
	from, until := start+timeBeforeRise+riseTime, start+timeBeforeRise+riseTime+peakDuration
	counts := make([]peakCount, len(peakOrganisations))
	var refusals, late []time.Duration
	for i, organisation := range peakOrganisations {
		i, base := i, fullCapacity*baseLoad/float64(len(peakOrganisations))
		rate := constantRate(base)
		if i == 0 {
			rate = risingRate(base, fullCapacity*baseLoad*(peakFactor-1), start+timeBeforeRise)
		}
		sim.schedulePoissonArrivals(until, rate, func() {
			q := sim.newWrite(organisation, sim.exponential(peakServiceTime))
			q.request.Deadline = peakDeadline
			issuedAt := sim.now
			q.onResponse = func(_ *query, t currantloom.ResponseTrailer, latency time.Duration) {
				onTime := t.Verdict == currantloom.Ran && latency <= peakDeadline+2*d.clientLatency
				switch {
				case t.Verdict == currantloom.NotRun:
					refusals = append(refusals, latency)
				case !onTime:
					late = append(late, latency)
				}
				if onTime && sim.now >= from && sim.now < until {
					counts[i].completed++
				}
			}
			if issuedAt >= from {
				counts[i].issued++
			}
			sim.issue(q)
		})
	}
	sim.runUntil(until + 15*time.Second)
	return append(peakValues(counts, fullCapacity, refusals, late),
		result{"capacity without the near replica", "1/s", reducedCapacity})
}

// risingRate returns a rate that is base until the given time and then rises linearly by increase within riseTime.
func risingRate(base, increase float64, at time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now < at {
			return base
		}
		return base + increase*min(1, float64(now-at)/float64(riseTime))
	}
}

// fractionAbove returns the fraction of the values that exceed the limit.
func fractionAbove(values []time.Duration, limit time.Duration) float64 {
	above := 0
	for _, v := range values {
		if v > limit {
			above++
		}
	}
	return ratio(above, len(values))
}

func peakValues(counts []peakCount, capacity float64, refusals, late []time.Duration) []result {
	total, worstShare := 0, 1.0
	fairShare := capacity / float64(len(counts)) * peakDuration.Seconds()
	for _, c := range counts {
		total += c.completed
		worstShare = min(worstShare, float64(c.completed)/min(fairShare, float64(c.issued)))
	}
	return []result{
		{"capacity", "1/s", capacity},
		{"goodput at the peak, of capacity", "%", 100 * float64(total) / (capacity * peakDuration.Seconds())},
		{"worst caller, of its share or demand", "%", 100 * worstShare},
		{"time to a refusal, median", "ms", milliseconds(percentile(refusals, 0.5))},
		{"time to a refusal, p99", "ms", milliseconds(percentile(refusals, 0.99))},
		{"refusals after more than 100 ms", "%", 100 * fractionAbove(refusals, 100*time.Millisecond)},
		{"statements that ran after their deadline", "", float64(len(late))},
	}
}
