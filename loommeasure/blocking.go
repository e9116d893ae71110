package loommeasure

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	blockingDuration = 60 * time.Second
	shortServiceTime = 10 * time.Millisecond
	longServiceTime  = 5 * time.Second
	// shortLoad is the load of short statements as a fraction of the capacity of all slots.
	shortLoad     = 0.2
	blockingRules = "class * long \"call\" # measure\nclass * short \"insert\" # measure\n"
)

// measureBlocking measures how long short statements wait at the owner with and without concurrent long statements.
func measureBlocking(d deployment, p policy, seed uint64) []result {
	waitsAlone, _ := runBlocking(d, p, seed, false)
	waitsBeside, finished := runBlocking(d, p, seed, true)
	p99Alone, p99Beside := percentile(waitsAlone, 0.99), percentile(waitsBeside, 0.99)
	return []result{
		{"p99 wait of short work without long work", "ms", milliseconds(p99Alone)},
		{"p99 wait of short work beside long work", "ms", milliseconds(p99Beside)},
		{"ratio", "", float64(p99Beside) / float64(max(p99Alone, 100*time.Microsecond))},
		{"median wait of short work beside long work", "ms", milliseconds(percentile(waitsBeside, 0.5))},
		{"long statements finished", "", float64(finished)},
	}
}

// runBlocking returns the queue waits of short statements and the number of long statements that finished.
func runBlocking(d deployment, p policy, seed uint64, withLong bool) ([]time.Duration, int) {
	sim := newSimulation(d, p, seed, blockingRules)
	end := sim.now + blockingDuration
	var waits []time.Duration
	finished := 0
	rate := shortLoad * float64(d.slots) / shortServiceTime.Seconds()
	sim.schedulePoissonArrivals(end, constantRate(rate), func() {
		q := sim.newWrite("steyr", sim.exponential(shortServiceTime))
		q.onResponse = func(q *query, t currantloom.ResponseTrailer, _ time.Duration) {
			if t.Verdict == currantloom.Ran {
				waits = append(waits, q.startedAt-q.queuedAt)
			}
		}
		sim.issue(q)
	})
	var issueLong func()
	issueLong = func() {
		if sim.now >= end {
			return
		}
		q := sim.newWrite("enns", longServiceTime)
		q.request.Statement = "call batch_release"
		q.onResponse = func(_ *query, t currantloom.ResponseTrailer, _ time.Duration) {
			if t.Verdict == currantloom.Ran {
				finished++
			}
			issueLong()
		}
		sim.issue(q)
	}
	for range 3 {
		if withLong {
			issueLong()
		}
	}
	sim.runUntil(end + 10*time.Second)
	return waits, finished
}
