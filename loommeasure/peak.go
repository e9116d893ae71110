package loommeasure

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	peakWork     = 20 * time.Millisecond
	peakDeadline = 2 * time.Second
	peakBefore   = 5 * time.Second
	peakRise     = 2 * time.Second
	peakHold     = 10 * time.Second
	// baseLoad is the load before the swing as a part of the capacity; the swing multiplies it by peakFactor.
	baseLoad   = 0.6
	peakFactor = 5
	peakRules  = "class * short \"insert\" # measure\n"
)

// peakCallers share the database equally; the first one causes the swing.
var peakCallers = []string{"steyr", "enns", "traun", "ager"}

// capacity returns the statements per second that the primary completes if there is always one waiting, with all
// replicas or with the one behind the link between regions only.
func capacity(d deployment, p policy, seed uint64, nearReplica bool) float64 {
	w := newWorld(d, p, seed, peakRules)
	if !nearReplica {
		w.servers[w.list[0].Upstreams()[1].Name()].stop()
		w.runUntil(w.now + settleTime)
	}
	start, completed := w.now, 0
	var next func()
	next = func() {
		q := w.write("steyr", w.exponential(peakWork))
		q.done = func(*query, currantloom.ResponseTrailer, time.Duration) {
			if w.now > start+time.Second {
				completed++
			}
			next()
		}
		w.issue(q)
	}
	for range 4 * d.slots {
		next()
	}
	w.runUntil(start + peakHold + time.Second)
	return float64(completed) / peakHold.Seconds()
}

// peakCount counts what became of a caller's statements during the hold.
type peakCount struct{ issued, completed int }

// measurePeak measures goodput, refusals and shares while the load is five times as high.
func measurePeak(d deployment, p policy, seed uint64) []value {
	full := capacity(d, policyCore, seed, true)
	reduced := capacity(d, p, seed, false)
	w := newWorld(d, p, seed, peakRules)
	start := w.now
	from, until := start+peakBefore+peakRise, start+peakBefore+peakRise+peakHold
	counts := make([]peakCount, len(peakCallers))
	var refusals, late []time.Duration
	for i, caller := range peakCallers {
		i, base := i, full*baseLoad/float64(len(peakCallers))
		rate := constant(base)
		if i == 0 {
			rate = swing(base, full*baseLoad*(peakFactor-1), start+peakBefore)
		}
		w.arrivals(until, rate, func() {
			q := w.write(caller, w.exponential(peakWork))
			q.request.Deadline = peakDeadline
			issuedAt := w.now
			q.done = func(_ *query, t currantloom.ResponseTrailer, took time.Duration) {
				ok := t.Verdict == currantloom.Ran && took <= peakDeadline+2*d.clientTime
				switch {
				case t.Verdict == currantloom.NotRun:
					refusals = append(refusals, took)
				case !ok:
					late = append(late, took)
				}
				if ok && w.now >= from && w.now < until {
					counts[i].completed++
				}
			}
			if issuedAt >= from {
				counts[i].issued++
			}
			w.issue(q)
		})
	}
	w.runUntil(until + 15*time.Second)
	return append(peakValues(counts, full, refusals, late),
		value{"capacity without the near replica", "1/s", reduced})
}

// swing returns a rate that rises from base by rise within peakRise.
func swing(base, rise float64, at time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now < at {
			return base
		}
		return base + rise*min(1, float64(now-at)/float64(peakRise))
	}
}

// partAbove returns the part of the values that exceed the limit.
func partAbove(values []time.Duration, limit time.Duration) float64 {
	above := 0
	for _, v := range values {
		if v > limit {
			above++
		}
	}
	return ratio(above, len(values))
}

func peakValues(counts []peakCount, full float64, refusals, late []time.Duration) []value {
	total, worst := 0, 1.0
	fair := full / float64(len(counts)) * peakHold.Seconds()
	for _, c := range counts {
		total += c.completed
		worst = min(worst, float64(c.completed)/min(fair, float64(c.issued)))
	}
	return []value{
		{"capacity", "1/s", full},
		{"goodput at the peak, of capacity", "%", 100 * float64(total) / (full * peakHold.Seconds())},
		{"worst caller, of its share or demand", "%", 100 * worst},
		{"time to a refusal, median", "ms", milliseconds(percentile(refusals, 0.5))},
		{"time to a refusal, p99", "ms", milliseconds(percentile(refusals, 0.99))},
		{"refusals after more than 100 ms", "%", 100 * partAbove(refusals, 100*time.Millisecond)},
		{"statements that ran after their deadline", "", float64(len(late))},
	}
}
