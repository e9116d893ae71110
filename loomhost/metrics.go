package loomhost

import (
	"context"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"currantloom.example/currantloom/loomfleet"
)

// reportInterval is the time between two updates of the reported counters.
const reportInterval = time.Second

// latencyBuckets range from the latency of a fast read to the longest deadline of a client.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2500 * time.Millisecond, 10 * time.Second,
}

const (
	// maxStatementReasons bounds the reasons of statements with series of their own, and exceeds the number of fixed texts
	// of the reducer. A series is never dropped, so a text that a client can choose must not become a label.
	maxStatementReasons = 128
	// otherReason is the label of all further reasons.
	otherReason = "other"
)

// metrics counts the decisions of the reducer by event and outcome, and records the latency of statements.
type metrics struct {
	reporter tallyprom.Reporter
	scope    tally.Scope
	closer   io.Closer
	// counters and latencies cache the series in use, because a lookup by labels in the scope is slower.
	counters  map[counterLabels]tally.Counter
	latencies map[string]tally.Histogram
	// reasons are the reasons of statements with series of their own.
	reasons map[string]bool
	queues  *queueCollector
}

// counterLabels are the labels of a counter.
type counterLabels struct{ event, outcome, reason string }

func newMetrics() *metrics {
	m := &metrics{
		counters: make(map[counterLabels]tally.Counter), latencies: make(map[string]tally.Histogram),
		reasons: make(map[string]bool), queues: newQueueCollector(),
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(m.queues)
	m.reporter = tallyprom.NewReporter(tallyprom.Options{Registerer: registry})
	m.scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "currantloom", CachedReporter: m.reporter, Separator: tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return m
}

// run waits for the end of the context and then stops the reporting of counters.
func (m *metrics) run(ctx context.Context) error {
	<-ctx.Done()
	return m.closer.Close()
}

func (m *metrics) handler() http.Handler { return m.reporter.HTTPHandler() }

// countDecision counts a decision. The node's lock is held.
func (m *metrics) countDecision(d loomfleet.Decision) {
	key := counterLabels{event: d.Event, outcome: d.Outcome}
	if d.Event == "statement" {
		key.reason = m.reasonLabel(d.Reason)
		m.latencyHistogram(d.Outcome).RecordDuration(d.Age)
	}
	c, ok := m.counters[key]
	if !ok {
		c = m.scope.Tagged(map[string]string{
			"event": key.event, "outcome": key.outcome, "reason": key.reason,
		}).Counter("decisions")
		m.counters[key] = c
	}
	if d.Event != "queue" {
		c.Inc(1)
		return
	}
	m.countQueue(d, c)
}

// countQueue counts all refusals that a sampled line stands for, and reports the load of a queue.
func (m *metrics) countQueue(d loomfleet.Decision, c tally.Counter) {
	if d.Outcome != "waiting" {
		c.Inc(int64(d.Count))
		return
	}
	m.queues.update(string(d.Upstream), queueLoad{expectedWait: d.Age, waitingJobs: d.Count, updatedAt: time.Now()})
}

// reasonLabel returns the label for the reason of a statement.
func (m *metrics) reasonLabel(reason string) string {
	if m.reasons[reason] {
		return reason
	}
	if len(m.reasons) >= maxStatementReasons || !utf8.ValidString(reason) {
		return otherReason
	}
	m.reasons[reason] = true
	return reason
}

func (m *metrics) latencyHistogram(outcome string) tally.Histogram {
	h, ok := m.latencies[outcome]
	if !ok {
		h = m.scope.Tagged(map[string]string{"outcome": outcome}).Histogram("statement_time", latencyBuckets)
		m.latencies[outcome] = h
	}
	return h
}
