package loomcore_test

import (
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
)

// leavingGrace is how long an upstream may still get new requests after it was marked as leaving.
const leavingGrace = 7 * time.Second

// operation is one request of a session as the client sees it.
type operation struct {
	session *simulatedSession
	kind    currantloom.RequestKind
	write   int
	id      string
	maxAge  time.Duration
	// ackedBefore holds the writes acknowledged before the operation was issued.
	ackedBefore []int
	// ownAckedBefore holds the session's acknowledged writes before the operation was issued.
	ownAckedBefore []int
	// ranAt is when the owner started the read. The upstream may run it later, if it is paused or the network is slow. The
	// maximum age counts from the start at the owner.
	ranAt         time.Duration
	visibleWrites []int
	done          bool
}

// acknowledgement is a write that was reported to its session as committed.
type acknowledgement struct {
	write int
	at    time.Duration
}

// oracle records what clients were told and compares it with what the upstreams hold.
type oracle struct {
	operations map[currantloom.RequestKey]*operation
	acked      []acknowledgement
	notRun     map[int]bool
	primaries  map[currantloom.Term]currantloom.UpstreamName
	leavingAt  map[currantloom.UpstreamName]time.Duration
}

func newOracle() oracle {
	return oracle{
		operations: make(map[currantloom.RequestKey]*operation),
		notRun:     make(map[int]bool),
		primaries:  map[currantloom.Term]currantloom.UpstreamName{1: currantloom.UpstreamName(simulatedDatabase + "-a")},
		leavingAt:  make(map[currantloom.UpstreamName]time.Duration),
	}
}

func (o *oracle) writeOf(key currantloom.RequestKey) int { return o.operations[key.Request()].write }

// checkRunStart checks that a leaving upstream gets no new requests.
func (o *oracle) checkRunStart(sim *simulation, n *simulatedNode, e loomcore.Run) {
	sim.counts["run"]++
	o.operations[e.Key.Request()].ranAt = sim.now
	if at, ok := o.leavingAt[e.Upstream]; ok && sim.now > at+leavingGrace {
		sim.fail("%v: node %s starts request %s at upstream %s, leaving since %v", sim.now, n.name, e.Key, e.Upstream, at)
	}
}

// recordVisibleWrites records the writes that a read found at its upstream.
func (o *oracle) recordVisibleWrites(key currantloom.RequestKey, _ currantloom.ResponseTrailer, seen []int) {
	o.operations[key.Request()].visibleWrites = seen
}

// checkPromotion checks that a term has one primary, and that it holds every acknowledged write.
func (o *oracle) checkPromotion(sim *simulation, u *simulatedUpstream) {
	if other, ok := o.primaries[u.term]; ok && other != u.name {
		sim.fail("%v: upstreams %s and %s are both primary of term %d", sim.now, other, u.name, u.term)
	}
	if _, ok := o.primaries[u.term]; !ok {
		sim.counts["promotion"]++
	}
	o.primaries[u.term] = u.name
	counts := countWrites(u.log)
	for _, a := range o.acked {
		if counts[a.write] == 0 {
			sim.fail("%v: primary %s of term %d lacks the acknowledged write %d", sim.now, u.name, u.term, a.write)
		}
	}
}

func countWrites(log []logEntry) map[int]int {
	counts := make(map[int]int, len(log))
	for _, e := range log {
		if e.write > 0 {
			counts[e.write]++
		}
	}
	return counts
}

// checkAnswer checks the answer that a client gets.
func (o *oracle) checkAnswer(sim *simulation, key currantloom.RequestKey, t currantloom.ResponseTrailer) {
	op, ok := o.operations[key]
	if !ok || op.done {
		return
	}
	op.done = true
	op.session.endOperation(sim, op, t)
	sim.counts["answer "+op.kind.String()+" "+t.Verdict.String()]++
	if op.kind == currantloom.ReadRequest {
		o.checkRead(sim, key, op, t)
		return
	}
	switch {
	case t.Verdict == currantloom.Ran && t.UpstreamAnswered:
		o.acked = append(o.acked, acknowledgement{write: op.write, at: sim.now})
		op.session.acked = append(op.session.acked, op.write)
		if o.notRun[op.write] && op.id == "" {
			sim.fail("%v: write %d was reported both as not run and as committed", sim.now, op.write)
		}
	case t.Verdict == currantloom.NotRun && op.session.attempts == 1:
		o.notRun[op.write] = true
	}
}

// checkRead checks that a read shows the session's own acknowledged writes. It must also show every write that was
// acknowledged before it was issued or, if it accepts an age, longer ago than that age when it started to run.
func (o *oracle) checkRead(sim *simulation, key currantloom.RequestKey, op *operation, t currantloom.ResponseTrailer) {
	if t.Verdict != currantloom.Ran || !t.UpstreamAnswered {
		return
	}
	seen := make(map[int]bool, len(op.visibleWrites))
	for _, write := range op.visibleWrites {
		seen[write] = true
	}
	for _, write := range op.ownAckedBefore {
		if !seen[write] {
			sim.fail("%v: read %s does not show the session's own write %d", sim.now, key, write)
		}
	}
	if op.maxAge == 0 {
		for _, write := range op.ackedBefore {
			if !seen[write] {
				sim.fail("%v: read %s accepts no age and does not show write %d", sim.now, key, write)
			}
		}
		return
	}
	for _, a := range o.acked {
		if a.at <= op.ranAt-op.maxAge && !seen[a.write] {
			sim.fail("%v: read %s accepts age %v and does not show write %d of %v", sim.now, key, op.maxAge, a.write, a.at)
		}
	}
}

// checkEnd compares the log of the last primary with what the clients were told.
func (o *oracle) checkEnd(sim *simulation) {
	var last *simulatedUpstream
	for _, u := range sim.upstreams {
		if u.role == currantloom.RolePrimary && (last == nil || u.term > last.term) {
			last = u
		}
	}
	if last == nil {
		sim.fail("%v: no primary although all faults have stopped", sim.now)
		return
	}
	counts := countWrites(last.log)
	for write, n := range counts {
		if n > 1 {
			sim.fail("%v: write %d ran %d times", sim.now, write, n)
		}
		if o.notRun[write] {
			sim.fail("%v: write %d was reported as not run but is in the log", sim.now, write)
		}
	}
	for _, a := range o.acked {
		if counts[a.write] != 1 {
			sim.fail("%v: acknowledged write %d of %v is not in the log of %s: %+v", sim.now, a.write, a.at, last.name, last.log)
		}
	}
}
