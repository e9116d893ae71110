package loommeasure

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// arrivals issues statements at random times, rate(now) per second on average, until the given time.
func (w *world) arrivals(until time.Duration, rate func(now time.Duration) float64, issue func()) {
	// Thinning: candidates come at a rate that bounds the wanted one.
	const bound = 4000.0
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		if w.random.Float64() < rate(w.now)/bound {
			issue()
		}
		w.after(w.exponential(time.Second/bound), next)
	}
	next()
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// exponential returns a random duration with the given mean.
func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}

// anyNode returns the entry node that the load balancer picks.
func (w *world) anyNode() *node { return w.nodes[w.random.IntN(len(w.nodes))] }

// read and write return statements of a caller that take the given time at a server.
func (w *world) read(caller string, work time.Duration) *query {
	q := w.write(caller, work)
	q.request.Kind, q.request.Statement = currantloom.ReadRequest, "select s"
	return q
}

func (w *world) write(caller string, work time.Duration) *query {
	return &query{entry: w.anyNode(), work: work, request: currantloom.Request{
		Organisation: currantloom.OrganisationName(caller), Database: w.list[0].Name(), Statement: "insert s",
	}}
}

// percentile returns the value below which the given part of the values lies; zero if there are none.
func percentile(values []time.Duration, part float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
