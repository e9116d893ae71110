package loommeasure

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	readsDuration = 30 * time.Second
	sessionCount  = 60
	// readsReplicaLag exceeds the ages of 1 s and less that some sessions accept.
	readsReplicaLag  = 2 * time.Second
	readsServiceTime = 5 * time.Millisecond
)

// acceptedReadAges are the maximum ages of reads; sessions use them in turn. The smallest one is below the interval of
// the polls.
var acceptedReadAges = []time.Duration{5 * time.Second, time.Second, 300 * time.Millisecond}

// session is a client session that issues reads and writes.
type session struct {
	sim   *simulation
	entry *node
	token currantloom.Token
	// editing sessions write with one statement in 4, other sessions with one in 20.
	editing         bool
	maxAge          time.Duration
	statementNumber int
	lastWritten     int
	end             time.Duration
	counts          *readCounts
}

// readCounts counts reads, in total and at replicas, of editing and of browsing sessions. stale counts reads that were
// too old or missed the session's own write, failed all statements that did not run.
type readCounts struct {
	browsing, browsingReplica int
	editing, editingReplica   int
	stale, failed             int
}

// measureReads measures the fraction of reads that replicas serve and counts stale reads.
func measureReads(d deployment, p policy, seed uint64) []result {
	sim := newSimulation(d, p, seed, "")
	sim.maxReplicaLag = readsReplicaLag
	counts := &readCounts{}
	bytesBefore, statements := sim.bytes, sim.statementCount
	for i := range sessionCount {
		s := &session{
			sim: sim, entry: sim.nodes[i%len(sim.nodes)], editing: i%3 == 0, end: sim.now + readsDuration, counts: counts,
			maxAge: acceptedReadAges[i/2%len(acceptedReadAges)],
		}
		if i%2 == 0 {
			s.token, _ = currantloom.ParseToken("none", sim.databases[0].Name())
		}
		sim.after(sim.exponential(100*time.Millisecond), s.issueNext)
	}
	sim.runUntil(sim.now + readsDuration + 2*time.Second)
	count := float64(sim.statementCount - statements)
	return []result{
		{"reads that accept an age, at replicas", "%", 100 * ratio(counts.browsingReplica, counts.browsing)},
		{"session reads after a write, at replicas", "%", 100 * ratio(counts.editingReplica, counts.editing)},
		{"reads too old or without own writes", "", float64(counts.stale)},
		{"failed statements", "", float64(counts.failed)},
		{"link bytes per statement", "B", float64(sim.bytes[trafficStatement]-bytesBefore[trafficStatement]) / count},
		{"link bytes of control per second", "B", float64(sim.bytes[trafficControl]-bytesBefore[trafficControl]) /
			(readsDuration + 2*time.Second).Seconds()},
	}
}

func ratio(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// issueNext issues the session's next statement.
func (s *session) issueNext() {
	sim := s.sim
	if sim.now >= s.end {
		return
	}
	s.statementNumber++
	isWrite := s.editing && s.statementNumber%4 == 1 || !s.editing && s.statementNumber%20 == 10
	q := sim.newRead("steyr", readsServiceTime)
	if isWrite {
		q = sim.newWrite("steyr", readsServiceTime)
	}
	q.entry = s.entry
	q.request.Token = s.token
	q.request.MaxAge = s.maxAge
	if sim.policy == policyPrimaryReads || sim.policy == policyNoToken && s.lastWritten > 0 {
		q.request.MaxAge = 0
	}
	q.onResponse = s.recordResponse
	sim.issue(q)
}

func (s *session) recordResponse(q *query, t currantloom.ResponseTrailer, latency time.Duration) {
	sim := s.sim
	if t.Verdict != currantloom.Ran {
		s.counts.failed++
	} else {
		s.recordRead(q, latency)
	}
	if t.Token.Known() {
		s.token = t.Token
	}
	if q.request.Kind == currantloom.WriteRequest && t.Verdict == currantloom.Ran {
		s.lastWritten = max(s.lastWritten, int(t.Token.Position().Index()))
	}
	mean := 100 * time.Millisecond
	if s.editing {
		mean = 50 * time.Millisecond
	}
	sim.after(sim.exponential(mean), s.issueNext)
}

// recordRead counts a read and checks the log that it ran on. The log must contain the session's last write and every
// entry that was older than the accepted age when the read started.
func (s *session) recordRead(q *query, _ time.Duration) {
	if q.request.Kind != currantloom.ReadRequest {
		return
	}
	sim, counts := s.sim, s.counts
	primary := sim.primary(q.request.Database)
	atReplica := 0
	if q.servedBy != primary {
		atReplica = 1
	}
	if s.editing {
		counts.editing++
		counts.editingReplica += atReplica
	} else {
		counts.browsing++
		counts.browsingReplica += atReplica
	}
	tooOld := q.logLength < len(primary.log) && primary.writtenAt(q.logLength) < q.startedAt-s.maxAge
	if q.logLength < s.lastWritten || tooOld {
		counts.stale++
	}
}
