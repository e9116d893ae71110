package loommeasure

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	blockingTime  = 60 * time.Second
	blockingShort = 10 * time.Millisecond
	blockingLong  = 5 * time.Second
	// blockingLoad is the load of short work as a part of the capacity of all slots.
	blockingLoad  = 0.2
	blockingRules = "class * long \"call\" # measure\nclass * short \"insert\" # measure\n"
)

// measureBlocking measures how long short work waits at the carrier beside long work, and without it.
func measureBlocking(d deployment, p policy, seed uint64) []value {
	alone, _ := runBlocking(d, p, seed, false)
	beside, finished := runBlocking(d, p, seed, true)
	a, b := percentile(alone, 0.99), percentile(beside, 0.99)
	return []value{
		{"p99 wait of short work without long work", "ms", milliseconds(a)},
		{"p99 wait of short work beside long work", "ms", milliseconds(b)},
		{"ratio", "", float64(b) / float64(max(a, 100*time.Microsecond))},
		{"median wait of short work beside long work", "ms", milliseconds(percentile(beside, 0.5))},
		{"long statements finished", "", float64(finished)},
	}
}

// runBlocking returns the waits of short work, and the number of long statements that finished.
func runBlocking(d deployment, p policy, seed uint64, withLong bool) ([]time.Duration, int) {
	w := newWorld(d, p, seed, blockingRules)
	until := w.now + blockingTime
	var waits []time.Duration
	finished := 0
	rate := blockingLoad * float64(d.slots) / blockingShort.Seconds()
	w.arrivals(until, constant(rate), func() {
		q := w.write("steyr", w.exponential(blockingShort))
		q.done = func(q *query, t currantloom.ResponseTrailer, _ time.Duration) {
			if t.Verdict == currantloom.Ran {
				waits = append(waits, q.ranAt-q.queuedAt)
			}
		}
		w.issue(q)
	})
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		q := w.write("enns", blockingLong)
		q.request.Statement = "call batch_release"
		q.done = func(_ *query, t currantloom.ResponseTrailer, _ time.Duration) {
			if t.Verdict == currantloom.Ran {
				finished++
			}
			next()
		}
		w.issue(q)
	}
	for range 3 {
		if withLong {
			next()
		}
	}
	w.runUntil(until + 10*time.Second)
	return waits, finished
}
