package loomfleet

import (
	"cmp"

	"currantloom.example/currantloom"
)

// handleRan forwards the upstream's reply to the client.
func (s *State) handleRan(r *request, c *call, result currantloom.CallResult) {
	r.tokens.mayHaveRun = true
	reply, sn := result.Reply, r.session
	if r.purpose == purposeRead && reply.Code != currantloom.ReplyOK && s.retryRead(r, c) {
		return
	}
	if opensTransaction(c.mode) && reply.TransactionStatus != currantloom.TransactionIdle {
		t := sn.transaction
		t.opened, t.key, t.upstream, t.vm = true, c.key, c.upstream, c.vm
	}
	if reply.Code == currantloom.ReplyOK && (r.purpose == purposeWrite || r.purpose == purposeCommit) {
		if r.hasWritten {
			r.group.recordAcked(reply.Position)
		}
		sn.recordCommit(r.group, sample{position: reply.Position, takenAt: s.now})
	}
	s.finish(r, reply, c)
}

// retryRead retries a read that failed at one upstream. It reports whether another attempt is pending.
func (s *State) retryRead(r *request, c *call) bool {
	r.avoidUntil[c.upstream.Name] = s.now + avoidDuration
	if len(r.calls) > 0 {
		return true
	}
	if r.attempt >= maxFastAttempts || r.withdrawnBy != "" {
		return false
	}
	next, ok := s.selectTarget(r)
	if !ok || next.upstream == c.upstream || !s.takeRetry(r) {
		return false
	}
	s.sendAttempt(r, next)
	return true
}

// handleNotRun tries another upstream or owner.
func (s *State) handleNotRun(r *request, c *call, result currantloom.CallResult) {
	u := c.upstream
	switch result.Reason {
	case currantloom.ReasonRefused, currantloom.ReasonSetupRefused:
		s.recordRefusal(r, c, result)
	case currantloom.ReasonQueueWait:
		r.avoidUntil[u.Name] = s.now + avoidDuration
		u.recordRefusalReport(s, r, result.RetryAfter)
	case currantloom.ReasonNoSample, currantloom.ReasonTimeout, currantloom.ReasonWritesBlocked:
		r.avoidUntil[u.Name] = s.now + parkedRetryInterval
	case currantloom.ReasonConnectionLost:
		r.lostConns++
		r.avoidUntil[u.Name] = s.now + parkedRetryInterval
	case currantloom.ReasonUnreachable, currantloom.ReasonNoLease:
		u.avoidOwnerUntil[c.vm] = s.now + avoidDuration
		r.avoidUntil[u.Name] = s.now + parkedRetryInterval
	case currantloom.ReasonUnknownUpstream, currantloom.ReasonShuttingDown, currantloom.ReasonLinkFailed:
		u.avoidOwnerUntil[c.vm] = s.now + avoidDuration/4
	case currantloom.ReasonDrained:
		r.avoidUntil[u.Name] = s.now + avoidDuration/4
	}
	switch {
	case len(r.calls) > 0:
	case r.withdrawnBy != "":
		s.finishWithdrawn(r)
	case r.purpose == purposeInTransaction || r.purpose == purposeCommit:
		s.finishLostTransaction(r, result)
	case r.hasLostConns():
		s.finishLostConns(r)
	case result.Reason == currantloom.ReasonNoLease && s.lacksCommitLease():
		// A retry reaches another node.
		s.giveUp(r, 0)
	case result.Reason == currantloom.ReasonSetupRefused && !result.Reply.Code.IsNotRun():
		s.finishRefusedSetup(r, result)
	case result.Reason == currantloom.ReasonQueueWait && !s.hasAlternative(r) && !s.awaitsReplica(r):
		s.giveUp(r, cmp.Or(result.RetryAfter, result.QueueWait))
	default:
		s.dispatch(r)
	}
}

// finishLostTransaction answers a statement of a transaction that has ended. If it is the commit, it never reached an
// upstream.
func (s *State) finishLostTransaction(r *request, result currantloom.CallResult) {
	s.finish(r, currantloom.Reply{Code: lostTransactionCode(result), Detail: result.Reason.String()}, nil)
}

// lostTransactionCode returns the code for a statement whose transaction has ended. The upstream's own code is passed
// on, but for one: a statement that the session holds is not unknown because a connection has lost it.
func lostTransactionCode(result currantloom.CallResult) currantloom.ReplyCode {
	code := result.Reply.Code
	switch {
	case code == currantloom.ReplyNoStatement:
		return currantloom.ReplyAborted
	case result.Reason == currantloom.ReasonRefused,
		result.Reason == currantloom.ReasonSetupRefused && code == currantloom.ReplyMalformed:
		return code
	default:
		return currantloom.ReplyAborted
	}
}

// recordRefusal records why an upstream refused, and avoids that upstream for a while.
func (s *State) recordRefusal(r *request, c *call, result currantloom.CallResult) {
	until := s.now + parkedRetryInterval
	switch result.Reply.Code {
	case currantloom.ReplyNotPrimary:
		r.group.recordNotPrimary(s, c.upstream.Name)
	case currantloom.ReplyLagging:
		c.upstream.recordLagging(c.requiredAge, c.sentAt)
		r.group.lag.recordRejectedRead(c.upstream, sample{position: c.requiredPosition, takenAt: c.sentAt - c.requiredAge})
	case currantloom.ReplyMisrouted:
		until = s.now + avoidDuration
	}
	r.avoidUntil[c.upstream.Name] = until
}

// hasAlternative reports whether there is an upstream that the request need not avoid.
func (s *State) hasAlternative(r *request) bool {
	t, ok := s.selectTarget(r)
	return ok && r.avoidUntil[t.upstream.Name] <= s.now
}

// reasonConnsEnded is the reason for giving up a request whose attempts have lost too many connections.
const reasonConnsEnded = "upstreams end the connection"

// hasLostConns reports whether the request's attempts have lost too many connections.
func (r *request) hasLostConns() bool {
	switch r.purpose {
	case purposeRead:
		return r.lostConns >= maxLostReads
	case purposeOpenTransaction, purposeEmptyCommit, purposeWrite:
		return r.lostConns >= maxLostOpenings
	default:
		return false
	}
}

// finishLostConns gives up a request whose attempts have lost too many connections. Nothing of a transaction is kept.
func (s *State) finishLostConns(r *request) {
	code := currantloom.ReplyAborted
	if r.purpose == purposeRead {
		code = currantloom.ReplyFailed
	}
	s.finish(r, currantloom.Reply{Code: code, Detail: reasonConnsEnded}, nil)
}

// handleMayHaveRun handles an attempt without an answer. The effects of a transaction that was not committed are rolled
// back; a write outside a transaction and a commit are in doubt.
func (s *State) handleMayHaveRun(r *request, c *call, result currantloom.CallResult) {
	r.tokens.mayHaveRun = true
	r.avoidUntil[c.upstream.Name] = s.now + avoidDuration
	if result.Reason == currantloom.ReasonTimeout && r.purpose == purposeRead {
		c.upstream.slowUntil = s.now + avoidDuration
	}
	if result.Reason == currantloom.ReasonConnectionLost {
		r.lostConns++
	}
	switch r.purpose {
	case purposeRead:
		if len(r.calls) > 0 {
			return
		}
		if r.hasLostConns() {
			s.finishLostConns(r)
		} else {
			s.allowSameUpstream(r, c.upstream)
			s.dispatch(r)
		}
	case purposeOpenTransaction, purposeEmptyCommit:
		s.sendRollback(c.vm, c.key)
		if r.hasLostConns() {
			s.finishLostConns(r)
			return
		}
		s.dispatch(r)
	case purposeInTransaction:
		s.finish(r, currantloom.Reply{Code: currantloom.ReplyAborted, Detail: result.Reason.String()}, nil)
	default:
		s.finish(r, currantloom.Reply{Code: currantloom.ReplyInDoubt, Detail: result.Reason.String()}, nil)
	}
}

// allowSameUpstream lets a read whose answer was lost run at the same upstream again if no other can serve it.
func (s *State) allowSameUpstream(r *request, u *upstream) {
	if _, ok := s.selectTarget(r); !ok && s.isEnabled(MechanismOverdueJobs) {
		r.avoidUntil[u.Name] = s.now
	}
}
