package loommeasure

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// schedulePoissonArrivals calls issue as a Poisson process of rate(now) events per second, until the given time.
func (sim *simulation) schedulePoissonArrivals(
	until time.Duration, rate func(now time.Duration) float64, issue func(),
) {
	// Thinning: candidates arrive at maxRate and are accepted with probability rate/maxRate.
	const maxRate = 4000.0
	var nextCandidate func()
	nextCandidate = func() {
		if sim.now >= until {
			return
		}
		if sim.random.Float64() < rate(sim.now)/maxRate {
			issue()
		}
		sim.after(sim.exponential(time.Second/maxRate), nextCandidate)
	}
	nextCandidate()
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// exponential returns a random duration of the exponential distribution with the given mean.
func (sim *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(sim.random.ExpFloat64() * float64(mean))
}

// randomNode returns the entry node that the load balancer chooses, with equal probability.
func (sim *simulation) randomNode() *node { return sim.nodes[sim.random.IntN(len(sim.nodes))] }

// newRead returns a read of the first database that uses a slot of an upstream for the given time.
func (sim *simulation) newRead(organisation string, serviceTime time.Duration) *query {
	q := sim.newWrite(organisation, serviceTime)
	q.request.Kind, q.request.Statement = currantloom.ReadRequest, "select s"
	return q
}

// newWrite returns a write to the first database that uses a slot of the primary for the given time.
func (sim *simulation) newWrite(organisation string, serviceTime time.Duration) *query {
	return &query{entry: sim.randomNode(), serviceTime: serviceTime, request: currantloom.Request{
		Organisation: currantloom.OrganisationName(organisation), Database: sim.databases[0].Name(), Statement: "insert s",
	}}
}

// percentile returns the value below which the given fraction of the values lies; zero if there are no values.
func percentile(values []time.Duration, fraction float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
