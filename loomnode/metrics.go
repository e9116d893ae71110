package loomnode

import (
	"io"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
)

// reportInterval is how often counters are passed on to the reporter.
const reportInterval = time.Second

// timeBuckets cover a fast read up to the default deadline of long work.
var timeBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2500 * time.Millisecond, 10 * time.Second, time.Minute, 10 * time.Minute,
}

// sanitizer keeps the names of databases, servers and callers in label values as they are. The default one would report
// wheel-core-1 and wheel_core_1 as one series.
var sanitizer = tally.SanitizeOptions{
	NameCharacters: tally.ValidCharacters{
		Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters,
	},
	KeyCharacters: tally.ValidCharacters{
		Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters,
	},
	ValueCharacters: tally.ValidCharacters{
		Ranges: []tally.SanitizeRange{{' ', '~'}, {'\u00a0', '\U0010ffff'}},
	},
	ReplacementCharacter: '_',
}

// metrics counts what passes through the reducer: every event and effect is observed, under the node's lock, so no
// other code has to report anything.
type metrics struct {
	reporter tallyprom.Reporter
	scope    tally.Scope
	closer   io.Closer
	// labelled holds the scopes that were used, because making one costs more than a statement may.
	labelled map[labels]tally.Scope
	entries  map[currantloom.RequestKey]*entryMetric
	works    map[currantloom.RequestKey]*workMetric
}

// labels are those of a series; empty ones are reported as empty.
type labels struct {
	caller   currantloom.OrganisationName
	database currantloom.DatabaseName
	verdict  string
	class    string
}

type entryMetric struct {
	labels   labels
	at       time.Duration
	attempts int
}

type workMetric struct {
	labels  labels
	kind    currantloom.RequestKind
	at      time.Duration
	started time.Duration
}

// newMetrics returns metrics that count nothing until they are started.
func newMetrics() *metrics {
	return &metrics{
		scope: tally.NoopScope, labelled: make(map[labels]tally.Scope),
		entries: make(map[currantloom.RequestKey]*entryMetric), works: make(map[currantloom.RequestKey]*workMetric),
	}
}

// start begins to count and to report. It is called before the first event.
func (m *metrics) start() {
	m.reporter = tallyprom.NewReporter(tallyprom.Options{Registerer: prometheus.NewRegistry()})
	m.scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "currantloom", CachedReporter: m.reporter, Separator: tallyprom.DefaultSeparator,
		SanitizeOptions: &sanitizer, OmitCardinalityMetrics: true,
	}, reportInterval)
}

func (m *metrics) with(l labels) tally.Scope {
	s, ok := m.labelled[l]
	if !ok {
		s = m.scope.Tagged(map[string]string{
			"caller": string(l.caller), "database": string(l.database), "verdict": l.verdict, "class": l.class,
		})
		m.labelled[l] = s
	}
	return s
}

// event observes an input of the reducer before it is applied.
func (m *metrics) event(e loomcore.Event) {
	switch e := e.(type) {
	case loomcore.RequestArrived:
		m.entries[e.Request.Key] = &entryMetric{
			at: e.Now, labels: labels{caller: e.Request.Organisation, database: e.Request.Database},
		}
	case loomcore.AttemptArrived:
		m.works[e.Header.Key] = &workMetric{at: e.Now, kind: e.Header.Kind, labels: labels{
			caller: e.Header.Organisation, database: e.Header.Database, class: e.Header.Class.String(),
		}}
	case loomcore.RunFinished:
		if w, ok := m.works[e.Key]; ok {
			m.with(w.labels).Histogram("run_time", timeBuckets).RecordDuration(e.Now - w.started)
			delete(m.works, e.Key)
		}
	case loomcore.PeerFailed:
		m.scope.Counter("peer_failures").Inc(1)
	case loomcore.ControlFailed:
		m.scope.Counter("control_failures").Inc(1)
	case loomcore.StatusFailed:
		m.scope.Counter("poll_failures").Inc(1)
	}
}

// effect observes an output of the reducer.
func (m *metrics) effect(e loomcore.Effect, s *loomcore.State, now time.Duration) {
	switch e := e.(type) {
	case loomcore.Forward:
		m.forward(e)
	case loomcore.Respond:
		m.answer(e, now)
	case loomcore.Run:
		m.run(e, s, now)
	case loomcore.Reject:
		m.reject(e)
	case loomcore.Promote:
		m.scope.Counter("promotions").Inc(1)
	case loomcore.Decision:
		if e.Revision > 0 {
			m.scope.Gauge("rules_revision").Update(float64(e.Revision))
		}
	}
}

func (m *metrics) forward(e loomcore.Forward) {
	q, ok := m.entries[e.Header.Key.Request()]
	if !ok {
		return
	}
	q.attempts++
	q.labels.class = e.Header.Class.String()
	if q.attempts > 1 {
		m.with(q.labels).Counter("retries").Inc(1)
	}
}

func (m *metrics) answer(e loomcore.Respond, now time.Duration) {
	q, ok := m.entries[e.Key]
	if !ok {
		return
	}
	delete(m.entries, e.Key)
	q.labels.verdict = e.Trailer.Verdict.String()
	scope := m.with(q.labels)
	scope.Counter("requests").Inc(1)
	if e.Trailer.Verdict == currantloom.NotRun && !e.Trailer.ServerAnswered {
		scope.Counter("refusals").Inc(1)
	}
	scope.Histogram("request_time", timeBuckets).RecordDuration(now - q.at)
}

func (m *metrics) run(e loomcore.Run, s *loomcore.State, now time.Duration) {
	w, ok := m.works[e.Key]
	if !ok {
		return
	}
	w.started = now
	scope := m.with(w.labels)
	scope.Histogram("queue_wait", timeBuckets).RecordDuration(now - w.at)
	if w.kind != currantloom.ReadRequest {
		return
	}
	if s.IsPrimary(e.Upstream) {
		scope.Counter("primary_reads").Inc(1)
	} else {
		scope.Counter("replica_reads").Inc(1)
	}
}

// reject ends the observation of work that never ran; work that runs ends with WorkFinished.
func (m *metrics) reject(e loomcore.Reject) {
	w, ok := m.works[e.Key]
	if !ok || w.started > 0 {
		return
	}
	m.with(w.labels).Counter("work_refused").Inc(1)
	delete(m.works, e.Key)
}

// gauges sets the gauges of queues and connections from a report.
func (m *metrics) gauges(status currantloom.NodeStatus) {
	for _, d := range status.Databases {
		for _, v := range d.Upstreams {
			if !v.Owned {
				continue
			}
			scope := m.scope.Tagged(map[string]string{"database": string(d.Name), "server": string(v.Name)})
			scope.Gauge("connections").Update(float64(v.Connections))
			scope.Gauge("queue_running").Update(float64(v.Running))
			scope.Gauge("queue_waiting").Update(float64(v.Waiting))
		}
	}
}

func (m *metrics) close() {
	if m.closer != nil {
		_ = m.closer.Close()
	}
}
