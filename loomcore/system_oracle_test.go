package loomcore_test

import (
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
)

// leavingGrace is how long after its mark a leaving server may still get new work.
const leavingGrace = 7 * time.Second

// operation is one request of a session as the client sees it.
type operation struct {
	session *modelSession
	kind    currantloom.RequestKind
	write   int
	id      string
	maxAge  time.Duration
	// fresh holds the writes acknowledged before the operation was issued.
	fresh []int
	// own holds the session's acknowledged writes before the operation was issued.
	own []int
	// ranAt is when the carrier admitted the read. A server may run it later, if it is paused or the network is slow;
	// the accepted age counts from the admission.
	ranAt time.Duration
	seen  []int
	done  bool
}

// acknowledgement is a write that its session was told has committed.
type acknowledgement struct {
	write int
	at    time.Duration
}

// oracle knows what clients were told and compares it with what the servers hold.
type oracle struct {
	operations map[currantloom.RequestKey]*operation
	acked      []acknowledgement
	notRun     map[int]bool
	leaders    map[currantloom.Term]currantloom.UpstreamName
	leavingAt  map[currantloom.UpstreamName]time.Duration
}

func newOracle() oracle {
	return oracle{
		operations: make(map[currantloom.RequestKey]*operation),
		notRun:     make(map[int]bool),
		leaders:    map[currantloom.Term]currantloom.UpstreamName{1: currantloom.UpstreamName(worldDatabase + "-a")},
		leavingAt:  make(map[currantloom.UpstreamName]time.Duration),
	}
}

func (o *oracle) writeOf(key currantloom.RequestKey) int { return o.operations[key.Request()].write }

// started checks that a leaving server gets no new work.
func (o *oracle) started(w *world, n *modelNode, e loomcore.Run) {
	w.counts["run"]++
	o.operations[e.Key.Request()].ranAt = w.now
	if at, ok := o.leavingAt[e.Upstream]; ok && w.now > at+leavingGrace {
		w.fail("%v: node %s starts work %s at server %s, leaving since %v", w.now, n.name, e.Key, e.Upstream, at)
	}
}

func (o *oracle) received(key currantloom.RequestKey, _ currantloom.ResponseTrailer, seen []int) {
	o.operations[key.Request()].seen = seen
}

// led checks that a term has one primary, and that it holds every acknowledged write.
func (o *oracle) led(w *world, m *modelServer) {
	if other, ok := o.leaders[m.term]; ok && other != m.name {
		w.fail("%v: servers %s and %s are both primary of term %d", w.now, other, m.name, m.term)
	}
	if _, ok := o.leaders[m.term]; !ok {
		w.counts["promotion"]++
	}
	o.leaders[m.term] = m.name
	held := writesOf(m.log)
	for _, a := range o.acked {
		if held[a.write] == 0 {
			w.fail("%v: primary %s of term %d lacks the acknowledged write %d", w.now, m.name, m.term, a.write)
		}
	}
}

func writesOf(log []logEntry) map[int]int {
	held := make(map[int]int, len(log))
	for _, e := range log {
		if e.write > 0 {
			held[e.write]++
		}
	}
	return held
}

// answered checks the answer that a client gets.
func (o *oracle) answered(w *world, key currantloom.RequestKey, t currantloom.ResponseTrailer) {
	op, ok := o.operations[key]
	if !ok || op.done {
		return
	}
	op.done = true
	op.session.finished(w, op, t)
	w.counts["answer "+op.kind.String()+" "+t.Verdict.String()]++
	if op.kind == currantloom.ReadRequest {
		o.checkRead(w, key, op, t)
		return
	}
	switch {
	case t.Verdict == currantloom.Ran && t.ServerAnswered:
		o.acked = append(o.acked, acknowledgement{write: op.write, at: w.now})
		op.session.acked = append(op.session.acked, op.write)
		if o.notRun[op.write] && op.id == "" {
			w.fail("%v: write %d was reported both as not run and as committed", w.now, op.write)
		}
	case t.Verdict == currantloom.NotRun && op.session.attempts == 1:
		o.notRun[op.write] = true
	}
}

func (o *oracle) checkRead(w *world, key currantloom.RequestKey, op *operation, t currantloom.ResponseTrailer) {
	if t.Verdict != currantloom.Ran || !t.ServerAnswered {
		return
	}
	seen := make(map[int]bool, len(op.seen))
	for _, write := range op.seen {
		seen[write] = true
	}
	for _, write := range op.own {
		if !seen[write] {
			w.fail("%v: read %s does not show the session's own write %d", w.now, key, write)
		}
	}
	if op.maxAge == 0 {
		for _, write := range op.fresh {
			if !seen[write] {
				w.fail("%v: read %s accepts no age and does not show write %d", w.now, key, write)
			}
		}
		return
	}
	for _, a := range o.acked {
		if a.at <= op.ranAt-op.maxAge && !seen[a.write] {
			w.fail("%v: read %s accepts age %v and does not show write %d of %v", w.now, key, op.maxAge, a.write, a.at)
		}
	}
}

// checkEnd compares the log of the last primary with what the clients were told.
func (o *oracle) checkEnd(w *world) {
	var last *modelServer
	for _, m := range w.servers {
		if m.role == currantloom.RolePrimary && (last == nil || m.term > last.term) {
			last = m
		}
	}
	if last == nil {
		w.fail("%v: no primary although all faults have stopped", w.now)
		return
	}
	held := writesOf(last.log)
	for write, n := range held {
		if n > 1 {
			w.fail("%v: write %d ran %d times", w.now, write, n)
		}
		if o.notRun[write] {
			w.fail("%v: write %d was reported as not run but is in the log", w.now, write)
		}
	}
	for _, a := range o.acked {
		if held[a.write] != 1 {
			w.fail("%v: acknowledged write %d of %v is not in the log of %s: %+v", w.now, a.write, a.at, last.name, last.log)
		}
	}
}
