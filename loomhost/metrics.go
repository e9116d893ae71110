package loomhost

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"currantloom.example/currantloom/loomfleet"
)

// reportInterval is how often counters are passed on to the reporter.
const reportInterval = time.Second

// latencyBuckets cover a fast read up to the longest deadline of a client.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2500 * time.Millisecond, 10 * time.Second,
}

// metrics counts the decisions of the reducer by event and outcome, and the latency of statements.
type metrics struct {
	reporter tallyprom.Reporter
	scope    tally.Scope
	closer   io.Closer
	// counters and latencies hold the series in use, because looking one up by its labels costs more.
	counters  map[series]tally.Counter
	latencies map[string]tally.Histogram
}

// series are the labels of a counter.
type series struct{ event, outcome, reason string }

func newMetrics() *metrics {
	m := &metrics{counters: make(map[series]tally.Counter), latencies: make(map[string]tally.Histogram)}
	m.reporter = tallyprom.NewReporter(tallyprom.Options{Registerer: prometheus.NewRegistry()})
	m.scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "currantloom", CachedReporter: m.reporter, Separator: tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return m
}

// run passes counters on until the context ends.
func (m *metrics) run(ctx context.Context) error {
	<-ctx.Done()
	return m.closer.Close()
}

func (m *metrics) handler() http.Handler { return m.reporter.HTTPHandler() }

// decision counts a decision. The node's lock is held.
func (m *metrics) decision(d loomfleet.Decision) {
	key := series{event: d.Event, outcome: d.Outcome}
	if d.Event == "statement" {
		key.reason = d.Reason
		m.latency(d.Outcome).RecordDuration(d.Age)
	}
	c, ok := m.counters[key]
	if !ok {
		c = m.scope.Tagged(map[string]string{
			"event": key.event, "outcome": key.outcome, "reason": key.reason,
		}).Counter("decisions")
		m.counters[key] = c
	}
	c.Inc(1)
}

func (m *metrics) latency(outcome string) tally.Histogram {
	h, ok := m.latencies[outcome]
	if !ok {
		h = m.scope.Tagged(map[string]string{"outcome": outcome}).Histogram("statement_time", latencyBuckets)
		m.latencies[outcome] = h
	}
	return h
}
