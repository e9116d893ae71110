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

// reportInterval is the interval at which counters and gauges are reported.
const reportInterval = time.Second

// durationBuckets range from a fast read to the default deadline of long requests.
var durationBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2500 * time.Millisecond, 10 * time.Second, time.Minute, 10 * time.Minute,
}

// sanitizeOptions leaves the names of databases, upstreams and organisations in label values unchanged. The default
// options would report wheel-core-1 and wheel_core_1 as one series.
var sanitizeOptions = tally.SanitizeOptions{
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

// metrics derives all counters and histograms from the events and effects of the reducer, so no other code has to
// report anything. The observe methods and setGauges are called with the node's lock held.
type metrics struct {
	reporter tallyprom.Reporter
	scope    tally.Scope
	closer   io.Closer
	// scopes caches the tagged scopes, because creating one takes too long to be done for each statement.
	scopes map[labels]tally.Scope
	// databases are the configured databases, the only ones with series of their own: a client may connect with any name.
	databases map[currantloom.DatabaseName]bool
	requests  map[currantloom.RequestKey]*requestMetric
	attempts  map[currantloom.RequestKey]*attemptMetric
}

// unknownDatabase is the label of all databases that are not configured.
const unknownDatabase currantloom.DatabaseName = "unknown"

// labels are the labels of a series. Empty ones are reported as empty strings.
type labels struct {
	organisation currantloom.OrganisationName
	database     currantloom.DatabaseName
	verdict      string
	class        string
}

type requestMetric struct {
	labels    labels
	arrivedAt time.Duration
	attempts  int
}

type attemptMetric struct {
	labels    labels
	kind      currantloom.RequestKind
	arrivedAt time.Duration
	startedAt time.Duration
}

// newMetrics returns metrics that discard all values until start is called.
func newMetrics(databases ...currantloom.Database) *metrics {
	m := &metrics{
		scope: tally.NoopScope, scopes: make(map[labels]tally.Scope), databases: make(map[currantloom.DatabaseName]bool),
		requests: make(map[currantloom.RequestKey]*requestMetric), attempts: make(map[currantloom.RequestKey]*attemptMetric),
	}
	for _, d := range databases {
		m.databases[d.Name()] = true
	}
	return m
}

// databaseLabel returns the label of a database that a client or another node has named.
func (m *metrics) databaseLabel(name currantloom.DatabaseName) currantloom.DatabaseName {
	if m.databases[name] {
		return name
	}
	return unknownDatabase
}

// start starts counting and reporting. It must be called before the first event.
func (m *metrics) start() {
	m.reporter = tallyprom.NewReporter(tallyprom.Options{Registerer: prometheus.NewRegistry()})
	m.scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "currantloom", CachedReporter: m.reporter, Separator: tallyprom.DefaultSeparator,
		SanitizeOptions: &sanitizeOptions, OmitCardinalityMetrics: true,
	}, reportInterval)
}

func (m *metrics) taggedScope(l labels) tally.Scope {
	scope, ok := m.scopes[l]
	if !ok {
		scope = m.scope.Tagged(map[string]string{
			"caller": string(l.organisation), "database": string(l.database), "verdict": l.verdict, "class": l.class,
		})
		m.scopes[l] = scope
	}
	return scope
}

// observeEvent records an event before the reducer handles it.
func (m *metrics) observeEvent(e loomcore.Event) {
	switch e := e.(type) {
	case loomcore.RequestArrived:
		m.requests[e.Request.Key] = &requestMetric{
			arrivedAt: e.Now,
			labels: labels{
				organisation: e.Request.Organisation, database: m.databaseLabel(e.Request.Database),
			},
		}
	case loomcore.AttemptArrived:
		m.attempts[e.Header.Key] = &attemptMetric{arrivedAt: e.Now, kind: e.Header.Kind, labels: labels{
			organisation: e.Header.Organisation, database: m.databaseLabel(e.Header.Database),
			class: e.Header.Class.String(),
		}}
	case loomcore.RunFinished:
		if attempt, ok := m.attempts[e.Key]; ok {
			m.taggedScope(attempt.labels).Histogram("run_time", durationBuckets).RecordDuration(e.Now - attempt.startedAt)
			delete(m.attempts, e.Key)
		}
	case loomcore.PeerFailed:
		m.scope.Counter("peer_failures").Inc(1)
	case loomcore.ControlFailed:
		m.scope.Counter("control_failures").Inc(1)
	case loomcore.StatusFailed:
		m.scope.Counter("poll_failures").Inc(1)
	}
}

// observeEffect records an effect of the reducer.
func (m *metrics) observeEffect(e loomcore.Effect, state *loomcore.State, now time.Duration) {
	switch e := e.(type) {
	case loomcore.Forward:
		m.observeForward(e)
	case loomcore.Respond:
		m.observeRespond(e, now)
	case loomcore.Run:
		m.observeRun(e, state, now)
	case loomcore.Reject:
		m.observeReject(e)
	case loomcore.Promote:
		m.scope.Counter("promotions").Inc(1)
	case loomcore.Decision:
		if e.Revision > 0 {
			m.scope.Gauge("rules_revision").Update(float64(e.Revision))
		}
	}
}

func (m *metrics) observeForward(e loomcore.Forward) {
	request, ok := m.requests[e.Header.Key.Request()]
	if !ok {
		return
	}
	request.attempts++
	request.labels.class = e.Header.Class.String()
	if request.attempts > 1 {
		m.taggedScope(request.labels).Counter("retries").Inc(1)
	}
}

func (m *metrics) observeRespond(e loomcore.Respond, now time.Duration) {
	request, ok := m.requests[e.Key]
	if !ok {
		return
	}
	delete(m.requests, e.Key)
	request.labels.verdict = e.Trailer.Verdict.String()
	scope := m.taggedScope(request.labels)
	scope.Counter("requests").Inc(1)
	if e.Trailer.Verdict == currantloom.NotRun && !e.Trailer.UpstreamAnswered {
		scope.Counter("refusals").Inc(1)
	}
	scope.Histogram("request_time", durationBuckets).RecordDuration(now - request.arrivedAt)
}

func (m *metrics) observeRun(e loomcore.Run, state *loomcore.State, now time.Duration) {
	attempt, ok := m.attempts[e.Key]
	if !ok {
		return
	}
	attempt.startedAt = now
	scope := m.taggedScope(attempt.labels)
	scope.Histogram("queue_wait", durationBuckets).RecordDuration(now - attempt.arrivedAt)
	if attempt.kind != currantloom.ReadRequest {
		return
	}
	if state.IsPrimary(e.Upstream) {
		scope.Counter("primary_reads").Inc(1)
	} else {
		scope.Counter("replica_reads").Inc(1)
	}
}

// observeReject removes an attempt that never ran. An attempt that ran is removed on RunFinished.
func (m *metrics) observeReject(e loomcore.Reject) {
	attempt, ok := m.attempts[e.Key]
	if !ok || attempt.startedAt > 0 {
		return
	}
	m.taggedScope(attempt.labels).Counter("work_refused").Inc(1)
	delete(m.attempts, e.Key)
}

// setGauges sets the gauges of the queues and connections of the upstreams that this node owns.
func (m *metrics) setGauges(status currantloom.NodeStatus) {
	for _, database := range status.Databases {
		for _, upstream := range database.Upstreams {
			if !upstream.Owned {
				continue
			}
			scope := m.scope.Tagged(map[string]string{"database": string(database.Name), "server": string(upstream.Name)})
			scope.Gauge("connections").Update(float64(upstream.Connections))
			scope.Gauge("queue_running").Update(float64(upstream.Running))
			scope.Gauge("queue_waiting").Update(float64(upstream.Waiting))
		}
	}
}

func (m *metrics) close() {
	if m.closer != nil {
		_ = m.closer.Close()
	}
}
