package loommeasure

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	readTime     = 30 * time.Second
	sessionCount = 60
	// readLag makes replicas too old for the sessions that accept 1 s or less.
	readLag   = 2 * time.Second
	shortWork = 5 * time.Millisecond
)

// acceptedAges are the ages that the sessions accept in turn. The smallest one is below the interval of the polls.
var acceptedAges = []time.Duration{5 * time.Second, time.Second, 300 * time.Millisecond}

// session is a client session of the measure of reads.
type session struct {
	world *world
	entry *node
	token currantloom.Token
	// editing sessions write and read what they wrote; the others mostly read.
	editing bool
	age     time.Duration
	step    int
	written int
	until   time.Duration
	counts  *readCounts
}

// readCounts counts reads: all and those served by replicas, for the two kinds of sessions.
type readCounts struct {
	browsing, browsingReplica int
	editing, editingReplica   int
	wrong, failed             int
}

// measureReads measures the share of reads that replicas serve, and checks that none is too old.
func measureReads(d deployment, p policy, seed uint64) []value {
	w := newWorld(d, p, seed, "")
	w.lag = readLag
	c := &readCounts{}
	before, statements := w.bytes, w.statements
	for i := range sessionCount {
		s := &session{
			world: w, entry: w.nodes[i%len(w.nodes)], editing: i%3 == 0, until: w.now + readTime, counts: c,
			age: acceptedAges[i/2%len(acceptedAges)],
		}
		if i%2 == 0 {
			s.token, _ = currantloom.ParseToken("none", w.list[0].Name())
		}
		w.after(w.exponential(100*time.Millisecond), s.next)
	}
	w.runUntil(w.now + readTime + 2*time.Second)
	count := float64(w.statements - statements)
	return []value{
		{"reads that accept an age, at replicas", "%", 100 * ratio(c.browsingReplica, c.browsing)},
		{"session reads after a write, at replicas", "%", 100 * ratio(c.editingReplica, c.editing)},
		{"reads too old or without own writes", "", float64(c.wrong)},
		{"failed statements", "", float64(c.failed)},
		{"link bytes per statement", "B", float64(w.bytes[trafficStatement]-before[trafficStatement]) / count},
		{"link bytes of control per second", "B", float64(w.bytes[trafficControl]-before[trafficControl]) /
			(readTime + 2*time.Second).Seconds()},
	}
}

func ratio(part, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}

// next issues the session's next statement.
func (s *session) next() {
	w := s.world
	if w.now >= s.until {
		return
	}
	s.step++
	writes := s.editing && s.step%4 == 1 || !s.editing && s.step%20 == 10
	q := w.read("steyr", shortWork)
	if writes {
		q = w.write("steyr", shortWork)
	}
	q.entry = s.entry
	q.request.Token = s.token
	q.request.MaxAge = s.age
	if w.policy == policyPrimaryReads || w.policy == policyNoToken && s.written > 0 {
		q.request.MaxAge = 0
	}
	q.done = s.done
	w.issue(q)
}

func (s *session) done(q *query, t currantloom.ResponseTrailer, took time.Duration) {
	w := s.world
	if t.Verdict != currantloom.Ran {
		s.counts.failed++
	} else {
		s.count(q, took)
	}
	if t.Token.Known() {
		s.token = t.Token
	}
	if q.request.Kind == currantloom.WriteRequest && t.Verdict == currantloom.Ran {
		s.written = max(s.written, int(t.Token.Position().Index()))
	}
	mean := 100 * time.Millisecond
	if s.editing {
		mean = 50 * time.Millisecond
	}
	w.after(w.exponential(mean), s.next)
}

// count counts a read and checks it: it must hold the session's own writes, and every entry that the primary had
// before the accepted age.
func (s *session) count(q *query, _ time.Duration) {
	if q.request.Kind != currantloom.ReadRequest {
		return
	}
	w, c := s.world, s.counts
	primary := w.primary(q.request.Database)
	atReplica := 0
	if q.ranOn != primary {
		atReplica = 1
	}
	if s.editing {
		c.editing++
		c.editingReplica += atReplica
	} else {
		c.browsing++
		c.browsingReplica += atReplica
	}
	old := q.held < len(primary.log) && primary.writtenAt(q.held) < q.ranAt-s.age
	if q.held < s.written || old {
		c.wrong++
	}
}
