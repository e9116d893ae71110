package loomfleet

import (
	"maps"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// balancerDelay is how long the load balancer may still send connections to a node that is not ready.
	balancerDelay = 2300 * time.Millisecond
	// stopMargin is kept before the end of the grace period.
	stopMargin = 500 * time.Millisecond
)

// stopping is the graceful shutdown.
type stopping struct {
	requested bool
	at        time.Duration
	refusing  bool
	stopped   bool
}

func (s *State) stopRequested() {
	if s.stop.requested {
		return
	}
	s.stop.requested, s.stop.at = true, s.now
	s.members.epoch++
	s.log(Decision{Event: "stop", Outcome: "requested"})
	s.emit(SetReady{Ready: false})
	s.broadcast(currantloom.ShutdownNotice{})
	for _, g := range s.catalog.ordered {
		if f := s.duty.failovers[g.name]; f != nil {
			s.endFailover(f, "shutdown")
		}
	}
	s.duty.lead.release(s)
	s.duty.member.release(s)
}

// tickStop closes sessions between their transactions, then ends what is left.
func (s *State) tickStop() {
	if !s.stop.requested || s.stop.stopped {
		return
	}
	since := s.now - s.stop.at
	if since >= balancerDelay && !s.stop.refusing {
		s.stop.refusing = true
		s.emit(StopAccepting{})
	}
	if since >= balancerDelay {
		s.closeIdleSessions(since >= s.config.GracePeriod/2)
	}
	busy := len(s.sessions) > 0 || len(s.carrier.works) > 0 || len(s.carrier.pinned) > 0
	if s.stop.refusing && !busy || since >= s.config.GracePeriod-stopMargin {
		s.stop.stopped = true
		s.answerLeft()
		s.log(Decision{Event: "stop", Age: since, Outcome: "stopped"})
		s.emit(ShutdownFinished{})
	}
}

// answerLeft answers the statements whose answers the process cannot wait for any more.
func (s *State) answerLeft() {
	for _, id := range slices.Sorted(maps.Keys(s.sessions)) {
		if r := s.sessions[id].request; r != nil {
			s.finish(r, r.replyAtEnd(), nil)
		}
	}
}

// replyAtEnd says what is known of a request without an answer at the end of the process, whose transactions are rolled
// back.
func (r *request) replyAtEnd() currantloom.Reply {
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

// closeAnswered closes a session of a node that is shutting down with the answer that it gets, because its client would
// send the next statement at once.
func (s *State) closeAnswered(sn *session) {
	if s.stop.refusing && sn.status == currantloom.TransactionIdle {
		delete(s.sessions, sn.id)
		s.emit(CloseSession{Session: sn.id})
	}
}

// closeIdleSessions closes sessions that wait for nothing. Open transactions have half of the grace period.
func (s *State) closeIdleSessions(transactions bool) {
	for id, sn := range s.sessions {
		if sn.request != nil || sn.status != currantloom.TransactionIdle && !transactions {
			continue
		}
		s.endTransaction(sn)
		delete(s.sessions, id)
		s.emit(CloseSession{Session: id})
	}
}
