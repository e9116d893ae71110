package loomcore_test

import (
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
)

// forward carries a request to its carrier and the trailer back.
func (n *modelNode) forward(e loomcore.Forward) {
	w, carrier, done := n.world, n.world.node(e.VM), false
	finish := func(sent bool, t currantloom.ResponseTrailer) {
		if done {
			return
		}
		done = true
		n.submit(func(s loomcore.Stamp) loomcore.Event {
			return loomcore.ForwardFinished{Stamp: s, Key: e.Header.Key, Attempt: e.Attempt, Sent: sent, Trailer: t}
		})
	}
	if carrier.dead {
		w.after(w.delay(), func() { finish(false, notSent()) })
		return
	}
	life := carrier.life
	w.after(w.delay(), func() {
		if carrier.life != life || carrier.dead {
			finish(true, linkLost())
			return
		}
		if n.side == carrier.side {
			carrier.accept(e.Header, func(t currantloom.ResponseTrailer, seen []int) {
				w.after(w.delay(), func() {
					if n.side == carrier.side {
						w.oracle.received(e.Header.Key, t, seen)
						finish(true, t)
					}
				})
			})
		}
		carrier.onDeath(life, func() { finish(true, linkLost()) })
	})
	w.after(e.Header.Remaining+linkGrace, func() { finish(true, linkLost()) })
}

// onDeath polls for the end of a node's life, as a broken connection would show it.
func (n *modelNode) onDeath(life int, run func()) {
	n.world.after(50*time.Millisecond, func() {
		if n.dead || n.life != life {
			run()
			return
		}
		if n.world.now < 10*time.Minute && len(n.works) > 0 {
			n.onDeath(life, run)
		}
	})
}

func notSent() currantloom.ResponseTrailer {
	return currantloom.ResponseTrailer{
		Verdict: currantloom.NotRun, SQLState: currantloom.SQLStateConnectionFailure, Reason: "refused",
	}
}

func linkLost() currantloom.ResponseTrailer {
	return currantloom.ResponseTrailer{SQLState: currantloom.SQLStateConnectionFailure, Reason: "link lost"}
}

// accept takes a request as its carrier.
func (n *modelNode) accept(h currantloom.RequestHeader, answer func(currantloom.ResponseTrailer, []int)) {
	n.deliver(func() {
		if n.works[h.Key] != nil {
			// The entry node retried on the same carrier while the first attempt still runs.
			answer(currantloom.ResponseTrailer{Verdict: currantloom.NotRun, SQLState: currantloom.SQLStateCannotConnectNow}, nil)
			return
		}
		work := &modelWork{header: h}
		work.answer = func(t currantloom.ResponseTrailer) { answer(t, work.seen) }
		n.works[h.Key] = work
		n.submit(func(s loomcore.Stamp) loomcore.Event { return loomcore.AttemptArrived{Stamp: s, Header: h} })
	})
}

func (n *modelNode) cancel(e loomcore.CancelForward) {
	w, carrier := n.world, n.world.node(e.VM)
	w.after(w.delay(), func() {
		if carrier.side == n.side {
			carrier.submit(func(s loomcore.Stamp) loomcore.Event { return loomcore.AttemptCancelled{Stamp: s, Key: e.Key} })
		}
	})
}

// decide passes a decision of the core on to work that waits for it, or ends work that did not start.
func (n *modelNode) decide(key currantloom.RequestKey, accepted bool, t currantloom.ResponseTrailer) {
	work := n.works[key]
	switch {
	case work == nil:
	case work.withheld != nil:
		withheld := work.withheld
		work.withheld = nil
		withheld(accepted, t)
	case !accepted:
		n.finishWork(key, t)
	}
}

func (n *modelNode) finishWork(key currantloom.RequestKey, t currantloom.ResponseTrailer) {
	work := n.works[key]
	if work == nil {
		return
	}
	delete(n.works, key)
	work.answer(t)
}

// run runs work at a server. The server may run it late, after the node has given up.
func (n *modelNode) run(e loomcore.Run) {
	w, m, work := n.world, n.world.server(e.Upstream), n.works[e.Key]
	w.oracle.started(w, n, e)
	done, life := false, n.life
	end := func(r currantloom.PostgresResult) {
		if done || n.life != life {
			return
		}
		done = true
		n.submit(func(s loomcore.Stamp) loomcore.Event { return loomcore.RunFinished{Stamp: s, Key: e.Key, Result: r} })
	}
	if m.dead {
		w.after(w.delay(), func() { end(runFailed(currantloom.NotRun)) })
		return
	}
	limit := e.Timeout
	if e.StallTimeout > 0 {
		limit = min(limit, e.StallTimeout)
	}
	w.after(limit, func() { end(runFailed(currantloom.MayHaveRun)) })
	w.after(w.delay(), func() { n.serve(m, work, e, end, func() bool { return done }) })
}

func runFailed(v currantloom.Verdict) currantloom.PostgresResult {
	return currantloom.PostgresResult{
		Verdict: v, Code: currantloom.SQLStateConnectionFailure,
		Err: currantloom.NewRequestError(v, currantloom.SQLStateConnectionFailure, 0, "connection lost"),
	}
}

// serve executes the work at the server once it is up, unpaused and connected.
func (n *modelNode) serve(
	m *modelServer, work *modelWork, e loomcore.Run, end func(currantloom.PostgresResult), done func() bool,
) {
	w := n.world
	switch {
	case m.dead:
		end(runFailed(currantloom.MayHaveRun))
	case m.side != n.side:
		// The request is lost in the network; the node notices at its deadline.
	case m.paused:
		w.after(20*time.Millisecond, func() { n.serve(m, work, e, end, done) })
	case work.header.Kind == currantloom.ReadRequest:
		n.serveRead(m, work, e, end)
	case m.role != currantloom.RolePrimary:
		w.after(w.delay(), func() {
			end(currantloom.PostgresResult{
				Verdict: currantloom.NotRun, Code: currantloom.SQLStateReadOnly, Term: m.term, Position: m.mark(),
			})
		})
	default:
		n.serveWrite(m, work, end)
	}
}

func (n *modelNode) serveRead(m *modelServer, work *modelWork, e loomcore.Run, end func(currantloom.PostgresResult)) {
	w := n.world
	work.seen = make([]int, 0, len(m.log))
	for _, entry := range m.log {
		work.seen = append(work.seen, entry.write)
	}
	result := currantloom.PostgresResult{Verdict: currantloom.Ran, Term: m.term, Position: m.mark(), ConfirmedCopies: 1}
	if !e.ConfirmTerm {
		w.after(w.delay(), func() {
			if m.side == n.side {
				end(result)
			}
		})
		return
	}
	term, position := m.term, len(m.log)
	n.awaitMajority(m, term, position, w.now+confirmWait, func(confirmed int) {
		result.ConfirmedCopies = confirmed
		n.withhold(m, work, result, end)
	})
}

func (n *modelNode) serveWrite(m *modelServer, work *modelWork, end func(currantloom.PostgresResult)) {
	w := n.world
	if m.find(work.header.RequestID) == 0 {
		m.log = append(m.log, logEntry{
			term: m.term, write: w.oracle.writeOf(work.header.Key), requestID: work.header.RequestID, at: w.now,
		})
	}
	// The entry of a recorded request id may be of an older term, which a majority alone does not make final. As D6
	// says, the primary's last entry is confirmed, which is one of its own term.
	position := len(m.log)
	term, mark := m.term, m.mark()
	n.awaitMajority(m, term, position, w.now+confirmWait, func(confirmed int) {
		n.withhold(m, work, currantloom.PostgresResult{
			Verdict: currantloom.Ran, Term: m.term, Position: mark, ConfirmedCopies: confirmed, Wrote: true,
		}, end)
	})
}

// awaitMajority reports how many servers hold the primary's entry at its term, at once for a majority.
func (n *modelNode) awaitMajority(
	m *modelServer, term currantloom.Term, position int, until time.Duration, report func(int),
) {
	w := n.world
	if m.dead || len(m.log) < position {
		return
	}
	confirmed := 1
	for _, r := range w.servers {
		follows := r != m && !r.dead && r.side == m.side && r.role == currantloom.RoleReplica && r.term == term
		if follows && (position == 0 || len(m.log) >= position && r.holds(position, m.log[position-1])) {
			confirmed++
		}
	}
	if m.paused || m.role != currantloom.RolePrimary || m.term != term {
		confirmed = 1
	}
	if confirmed >= 2 || w.now >= until {
		report(confirmed)
		return
	}
	w.after(5*time.Millisecond, func() { n.awaitMajority(m, term, position, until, report) })
}

// withhold brings the answer to the core and ends the work with its decision.
func (n *modelNode) withhold(
	m *modelServer, work *modelWork, r currantloom.PostgresResult, end func(currantloom.PostgresResult),
) {
	w := n.world
	key := work.header.Key
	w.after(w.delay(), func() {
		if m.side != n.side || m.dead {
			return
		}
		n.deliver(func() {
			work.withheld = func(accepted bool, t currantloom.ResponseTrailer) {
				if !accepted {
					r.Verdict, r.Code = t.Verdict, t.SQLState
					r.Err = currantloom.NewRequestError(t.Verdict, t.SQLState, t.RetryAfter, "%s", t.Reason)
				}
				end(r)
			}
			n.submit(func(s loomcore.Stamp) loomcore.Event {
				return loomcore.RunAnswered{Stamp: s, Key: key, Result: r}
			})
		})
	})
}
