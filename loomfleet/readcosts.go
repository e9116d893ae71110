package loomfleet

import (
	"math"
	"time"

	"currantloom.example/currantloom"
)

const (
	// loadTTL is how long a reported wait is used. Older knowledge of a queue says nothing.
	loadTTL = 3 * time.Second
	// fillCost is the cost of an upstream whose slots are just taken, as a share of the run time: it spreads work over
	// idle upstreams at the same distance, and is too small to send any away.
	fillCost = 0.25
	// failedAttemptTime is the time that a failed attempt takes beside its wait, before the read is sent elsewhere;
	// lostAttemptTime that of an attempt without an answer: the timeout of common routes.
	failedAttemptTime, lostAttemptTime = 20 * time.Millisecond, 800 * time.Millisecond
	// maxRetriedShare bounds the share of failures in the expected number of attempts.
	maxRetriedShare = 0.9
	// failedOpeningCost is the cost of a transaction that certainly fails: its client has to begin again.
	failedOpeningCost = time.Second
	// silenceRuns and silenceWaits are how many run times and reported waits an owner may owe an answer before the excess
	// counts as a cost: one run in a thousand takes ten times the mean.
	silenceRuns, silenceWaits = 5, 2
)

// readCosts are the components of the cost of a read at an upstream: the time until it is expected to complete, and
// prices in the same unit.
type readCosts struct {
	// distance, role, lag and state are the prices of the way, of the primary, of a replica behind the required position,
	// and of an upstream that is terminating or has let a read of this node time out.
	distance, role, lag, state time.Duration
	// wait is the expected wait, run the expected run time, repeats the time that failed attempts take.
	wait, run, repeats time.Duration
	// failure is the price of an error that the client sees; silence that of an owner that does not answer.
	failure, silence time.Duration
}

func (r readCosts) total() time.Duration { return r.fixed() + r.wait + r.results() }

// fixed is the part that does not depend on the load or on earlier results.
func (r readCosts) fixed() time.Duration { return r.distance + r.role + r.lag + r.state }

// results is the part that follows from the results of earlier work.
func (r readCosts) results() time.Duration { return r.run + r.repeats + r.failure + r.silence }

// setVariableCosts sets the costs that depend on the reported load. The known wait is multiplied by waitFactor.
// Failures count as far as they exceed those that all candidates have in common.
func (c *candidate) setVariableCosts(common currantloom.UpstreamLoad, waitFactor float64) {
	fresh := math.Exp(-float64(c.age) / float64(workMemory))
	failed := float64(max(0, c.load.FailurePercent-common.FailurePercent)) / 100 * fresh
	lost := float64(max(0, c.load.LostPercent-common.LostPercent)) / 100 * fresh
	repeated := min(failed+lost, maxRetriedShare)
	wait := float64(c.expectedWait()) * waitFactor
	attempt := wait + failed*float64(failedAttemptTime) + lost*float64(lostAttemptTime)
	c.cost.wait = time.Duration(wait)
	c.cost.repeats = time.Duration(attempt/(1-repeated) - wait)
	c.cost.run = c.runTime()
	if c.kind == currantloom.WorkOpening {
		c.cost.failure = time.Duration((failed + lost) * float64(failedOpeningCost))
	}
	c.cost.silence = max(0, c.silence-silenceRuns*c.runTime()-silenceWaits*c.load.wait)
}

// runTime is the expected run time of the read.
func (c *candidate) runTime() time.Duration {
	if run := c.load.RunTimes[c.kind]; run > 0 {
		return run
	}
	return initialRunTime
}

// expectedWait is the wait that the owner reported, with the calls that this node has sent since.
func (c *candidate) expectedWait() time.Duration {
	if !c.known || c.age > loadTTL {
		return 0
	}
	run := c.runTime()
	jobs, slots := c.load.Jobs+c.load.sentSince, max(1, c.slots)
	wait := c.load.wait
	if jobs > slots {
		perJob := run / time.Duration(slots)
		wait = max(time.Duration(jobs-slots)*perJob, wait+time.Duration(c.load.sentSince)*perJob)
	}
	fill := min(1, float64(jobs)/float64(slots))
	return wait + time.Duration(fillCost*fill*fill*float64(run))
}
