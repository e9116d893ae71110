package loomcore_test

import (
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
)

// forward brings a request to the owner and the trailer back.
func (n *simulatedNode) forward(e loomcore.Forward) {
	sim, owner, done := n.sim, n.sim.node(e.VM), false
	finish := func(sent bool, t currantloom.ResponseTrailer) {
		if done {
			return
		}
		done = true
		n.submit(func(s loomcore.Stamp) loomcore.Event {
			return loomcore.ForwardFinished{Stamp: s, Key: e.Header.Key, Attempt: e.Attempt, Sent: sent, Trailer: t}
		})
	}
	if owner.dead {
		sim.after(sim.delay(), func() { finish(false, notSent()) })
		return
	}
	incarnation := owner.incarnation
	sim.after(sim.delay(), func() {
		if owner.incarnation != incarnation || owner.dead {
			finish(true, linkLost())
			return
		}
		if n.partitionSide == owner.partitionSide {
			owner.acceptRequest(e.Header, func(t currantloom.ResponseTrailer, seen []int) {
				sim.after(sim.delay(), func() {
					if n.partitionSide == owner.partitionSide {
						sim.oracle.recordVisibleWrites(e.Header.Key, t, seen)
						finish(true, t)
					}
				})
			})
		}
		owner.onDeath(incarnation, func() { finish(true, linkLost()) })
	})
	sim.after(e.Header.Remaining+linkGrace, func() { finish(true, linkLost()) })
}

// onDeath calls run when the node has died or restarted, as a broken connection would show it. It polls for this.
func (n *simulatedNode) onDeath(incarnation int, run func()) {
	n.sim.after(50*time.Millisecond, func() {
		if n.dead || n.incarnation != incarnation {
			run()
			return
		}
		if n.sim.now < 10*time.Minute && len(n.attempts) > 0 {
			n.onDeath(incarnation, run)
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

// acceptRequest takes a request as the owner of its upstream.
func (n *simulatedNode) acceptRequest(h currantloom.RequestHeader, answer func(currantloom.ResponseTrailer, []int)) {
	n.deliver(func() {
		if n.attempts[h.Key] != nil {
			// The entry node retried at the same owner while the first attempt still runs.
			answer(currantloom.ResponseTrailer{Verdict: currantloom.NotRun, SQLState: currantloom.SQLStateCannotConnectNow}, nil)
			return
		}
		attempt := &simulatedAttempt{header: h}
		attempt.respond = func(t currantloom.ResponseTrailer) { answer(t, attempt.visibleWrites) }
		n.attempts[h.Key] = attempt
		n.submit(func(s loomcore.Stamp) loomcore.Event { return loomcore.AttemptArrived{Stamp: s, Header: h} })
	})
}

func (n *simulatedNode) cancelForward(e loomcore.CancelForward) {
	sim, owner := n.sim, n.sim.node(e.VM)
	sim.after(sim.delay(), func() {
		if owner.partitionSide == n.partitionSide {
			owner.submit(func(s loomcore.Stamp) loomcore.Event { return loomcore.AttemptCancelled{Stamp: s, Key: e.Key} })
		}
	})
}

// applyDecision gives a decision of the reducer to an attempt that waits for it, or ends an attempt that did not start.
func (n *simulatedNode) applyDecision(key currantloom.RequestKey, accepted bool, t currantloom.ResponseTrailer) {
	attempt := n.attempts[key]
	switch {
	case attempt == nil:
	case attempt.decideCompletion != nil:
		decideCompletion := attempt.decideCompletion
		attempt.decideCompletion = nil
		decideCompletion(accepted, t)
	case !accepted:
		n.finishAttempt(key, t)
	}
}

func (n *simulatedNode) finishAttempt(key currantloom.RequestKey, t currantloom.ResponseTrailer) {
	attempt := n.attempts[key]
	if attempt == nil {
		return
	}
	delete(n.attempts, key)
	attempt.respond(t)
}

// runAttempt runs an attempt at an upstream. The upstream may run it late, after the node has given up.
func (n *simulatedNode) runAttempt(e loomcore.Run) {
	sim, u, attempt := n.sim, n.sim.upstream(e.Upstream), n.attempts[e.Key]
	sim.oracle.checkRunStart(sim, n, e)
	done, incarnation := false, n.incarnation
	end := func(r currantloom.PostgresResult) {
		if done || n.incarnation != incarnation {
			return
		}
		done = true
		n.submit(func(s loomcore.Stamp) loomcore.Event { return loomcore.RunFinished{Stamp: s, Key: e.Key, Result: r} })
	}
	if u.dead {
		sim.after(sim.delay(), func() { end(runFailed(currantloom.NotRun)) })
		return
	}
	limit := e.Timeout
	if e.StallTimeout > 0 {
		limit = min(limit, e.StallTimeout)
	}
	sim.after(limit, func() { end(runFailed(currantloom.MayHaveRun)) })
	sim.after(sim.delay(), func() { n.serve(u, attempt, e, end, func() bool { return done }) })
}

func runFailed(v currantloom.Verdict) currantloom.PostgresResult {
	return currantloom.PostgresResult{
		Verdict: v, Code: currantloom.SQLStateConnectionFailure,
		Err: currantloom.NewRequestError(v, currantloom.SQLStateConnectionFailure, 0, "connection lost"),
	}
}

// serve executes the attempt at the upstream once the upstream is up, not paused and connected.
func (n *simulatedNode) serve(
	u *simulatedUpstream, attempt *simulatedAttempt, e loomcore.Run,
	end func(currantloom.PostgresResult), done func() bool,
) {
	sim := n.sim
	switch {
	case u.dead:
		end(runFailed(currantloom.MayHaveRun))
	case u.partitionSide != n.partitionSide:
		// The request is lost in the network; the node notices at its deadline.
	case u.paused:
		sim.after(20*time.Millisecond, func() { n.serve(u, attempt, e, end, done) })
	case attempt.header.Kind == currantloom.ReadRequest:
		n.serveRead(u, attempt, e, end)
	case u.role != currantloom.RolePrimary:
		sim.after(sim.delay(), func() {
			end(currantloom.PostgresResult{
				Verdict: currantloom.NotRun, Code: currantloom.SQLStateReadOnly, Term: u.term, Position: u.position(),
			})
		})
	default:
		n.serveWrite(u, attempt, end)
	}
}

func (n *simulatedNode) serveRead(
	u *simulatedUpstream, attempt *simulatedAttempt, e loomcore.Run, end func(currantloom.PostgresResult),
) {
	sim := n.sim
	attempt.visibleWrites = make([]int, 0, len(u.log))
	for _, entry := range u.log {
		attempt.visibleWrites = append(attempt.visibleWrites, entry.write)
	}
	result := currantloom.PostgresResult{
		Verdict: currantloom.Ran, Term: u.term, Position: u.position(), ConfirmedCopies: 1,
	}
	if !e.ConfirmTerm {
		sim.after(sim.delay(), func() {
			if u.partitionSide == n.partitionSide {
				end(result)
			}
		})
		return
	}
	term, index := u.term, len(u.log)
	n.awaitMajority(u, term, index, sim.now+confirmWait, func(confirmed int) {
		result.ConfirmedCopies = confirmed
		n.withholdCompletion(u, attempt, result, end)
	})
}

func (n *simulatedNode) serveWrite(
	u *simulatedUpstream, attempt *simulatedAttempt, end func(currantloom.PostgresResult),
) {
	sim := n.sim
	if u.indexOfRequestID(attempt.header.RequestID) == 0 {
		u.log = append(u.log, logEntry{
			term: u.term, write: sim.oracle.writeOf(attempt.header.Key), requestID: attempt.header.RequestID, at: sim.now,
		})
	}
	// The entry of a recorded request id may be of an older term, and a majority alone does not make such an entry final.
	// As assumption D6 (docs/design.md, section 3) says, the last entry of the primary is confirmed instead, which is one
	// of its own term.
	index := len(u.log)
	term, lastPosition := u.term, u.position()
	n.awaitMajority(u, term, index, sim.now+confirmWait, func(confirmed int) {
		n.withholdCompletion(u, attempt, currantloom.PostgresResult{
			Verdict: currantloom.Ran, Term: u.term, Position: lastPosition, ConfirmedCopies: confirmed, Wrote: true,
		}, end)
	})
}

// awaitMajority reports how many upstreams hold the primary's entry in its term: as soon as a majority does, or when
// the time is over.
func (n *simulatedNode) awaitMajority(
	u *simulatedUpstream, term currantloom.Term, index int, until time.Duration, report func(int),
) {
	sim := n.sim
	if u.dead || len(u.log) < index {
		return
	}
	confirmed := 1
	for _, r := range sim.upstreams {
		follows := r != u && !r.dead && r.partitionSide == u.partitionSide &&
			r.role == currantloom.RoleReplica && r.term == term
		if follows && (index == 0 || len(u.log) >= index && r.hasEntry(index, u.log[index-1])) {
			confirmed++
		}
	}
	if u.paused || u.role != currantloom.RolePrimary || u.term != term {
		confirmed = 1
	}
	if confirmed >= 2 || sim.now >= until {
		report(confirmed)
		return
	}
	sim.after(5*time.Millisecond, func() { n.awaitMajority(u, term, index, until, report) })
}

// withholdCompletion gives the result to the reducer and ends the attempt with its decision.
func (n *simulatedNode) withholdCompletion(
	u *simulatedUpstream, attempt *simulatedAttempt, r currantloom.PostgresResult, end func(currantloom.PostgresResult),
) {
	sim := n.sim
	key := attempt.header.Key
	sim.after(sim.delay(), func() {
		if u.partitionSide != n.partitionSide || u.dead {
			return
		}
		n.deliver(func() {
			attempt.decideCompletion = func(accepted bool, t currantloom.ResponseTrailer) {
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
