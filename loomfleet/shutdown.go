package loomfleet

import (
	"maps"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// loadBalancerDelay is how long the load balancer may still send connections to a node that is not ready.
	loadBalancerDelay = 2300 * time.Millisecond
	// shutdownMargin is subtracted from the grace period.
	shutdownMargin = 500 * time.Millisecond
)

// shutdown is the state of the graceful shutdown.
type shutdown struct {
	requested       bool
	requestedAt     time.Duration
	closingSessions bool
	finished        bool
}

func (s *State) handleShutdownRequested() {
	if s.shutdown.requested {
		return
	}
	s.shutdown.requested, s.shutdown.requestedAt = true, s.now
	s.members.epoch++
	s.log(Decision{Event: "stop", Outcome: "requested"})
	s.emit(SetReady{Ready: false})
	s.broadcast(currantloom.ShutdownNotice{})
	for _, g := range s.catalog.sortedGroups {
		if f := s.coordinator.failovers[g.name]; f != nil && !f.hasTouchedUpstreams() {
			s.endFailover(f, reasonShutdown)
		}
	}
	s.releaseIdleLease()
	member := &s.coordinator.memberKey
	member.release(s, member.deleteTxn())
}

// releaseIdleLease gives the failover lease back while this node shuts down, once none of its failovers is in progress.
// An accepted promotion takes effect only after a while, and the next holder does not know of it. If no other node can
// take the lease over, this one keeps it until it ends, so that its open transactions can commit.
func (s *State) releaseIdleLease() {
	c := &s.coordinator
	isNeeded := len(c.failovers) > 0 || !s.shutdown.finished && !s.hasSuccessor()
	if !isNeeded && !c.leaseKey.position.IsZero() {
		s.coordinator.releaseLeaseKey(s)
	}
}

// hasSuccessor reports whether another node answers that is not about to end.
func (s *State) hasSuccessor() bool {
	return slices.ContainsFunc(s.members.sorted, func(m *member) bool { return m.alive && !m.shuttingDown })
}

// tickShutdown closes sessions between their transactions, and finishes once none is left or the grace period is nearly
// over.
func (s *State) tickShutdown() {
	if !s.shutdown.requested || s.shutdown.finished {
		return
	}
	elapsed := s.now - s.shutdown.requestedAt
	if elapsed >= loadBalancerDelay {
		s.shutdown.closingSessions = true
		s.closeIdleSessions(elapsed >= s.config.GracePeriod/2)
	}
	s.releaseIdleLease()
	busy := len(s.sessions) > 0 || len(s.owner.jobs) > 0 || len(s.owner.pinned) > 0 || len(s.coordinator.failovers) > 0
	if s.shutdown.closingSessions && !busy || elapsed >= s.config.GracePeriod-shutdownMargin {
		s.shutdown.finished = true
		s.answerRemaining()
		s.endFailovers(reasonShutdown)
		s.releaseIdleLease()
		s.log(Decision{Event: "stop", Age: elapsed, Outcome: "stopped"})
		s.emit(ShutdownFinished{})
	}
}

// answerRemaining answers the statements that are still pending at the end of the grace period.
func (s *State) answerRemaining() {
	for _, id := range slices.Sorted(maps.Keys(s.sessions)) {
		if r := s.sessions[id].request; r != nil {
			s.finish(r, r.shutdownReply(), nil)
		}
	}
}

// shutdownReply returns the answer to a request that is pending when the process ends. Open transactions are rolled
// back then.
func (r *request) shutdownReply() currantloom.Reply {
	const reason = "shutdown"
	switch {
	case r.purpose == purposeRead || len(r.calls) == 0 && r.purpose == purposeWrite:
		return currantloom.Reply{Code: currantloom.ReplyBusy, Detail: "retry after 0 ms"}
	case len(r.calls) > 0 && (r.purpose == purposeWrite || r.purpose == purposeCommit):
		return currantloom.Reply{Code: currantloom.ReplyInDoubt, Detail: reason}
	default:
		return currantloom.Reply{Code: currantloom.ReplyAborted, Detail: reason}
	}
}

// closeAfterReply closes the session of a client that has just been answered, because the client would send its next
// statement at once.
func (s *State) closeAfterReply(sn *session) {
	if s.shutdown.closingSessions && sn.status == currantloom.TransactionIdle {
		delete(s.sessions, sn.id)
		s.emit(CloseSession{Session: sn.id, Reply: shutdownNotice(sn)})
	}
}

// closeIdleSessions closes sessions without a pending statement. Those with an open transaction are closed only if
// transactions is set, after half of the grace period.
func (s *State) closeIdleSessions(transactions bool) {
	closing := s.sessionsWhere(func(sn *session) bool {
		return sn.request == nil && (sn.status == currantloom.TransactionIdle || transactions)
	})
	for _, sn := range closing {
		notice := shutdownNotice(sn)
		s.endTransaction(sn)
		delete(s.sessions, sn.id)
		s.emit(CloseSession{Session: sn.id, Reply: notice})
	}
}

// shutdownNotice returns the reply that tells an idle client that its session ends. Nothing of an open transaction is
// kept, and a statement that is on its way does not run.
func shutdownNotice(sn *session) currantloom.Reply {
	if sn.status != currantloom.TransactionIdle {
		return currantloom.Reply{
			Code: currantloom.ReplyAborted, Detail: reasonShutdown, TransactionStatus: currantloom.TransactionFailed,
		}
	}
	return currantloom.Reply{
		Code: currantloom.ReplyBusy, Detail: "shutdown, retry after 0 ms", TransactionStatus: currantloom.TransactionIdle,
	}
}
