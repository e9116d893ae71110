package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// confirmLimit is how long replicas are asked to confirm a mark. The primary itself waits up to 1 s before it
	// reports too few confirmations.
	confirmLimit = time.Second
	// confirmInterval is the time between two questions to the same replica.
	confirmInterval = 50 * time.Millisecond
	// maxConfirmers is the number of replicas asked to confirm a mark.
	maxConfirmers = 2
)

// confirmation is the progress of asking replicas whether they hold a mark.
type confirmation struct {
	until time.Duration
	asked []confirmer
}

type confirmer struct {
	server    currantloom.UpstreamName
	askAt     time.Duration
	asking    bool
	confirmed bool
}

// workAnswered decides whether a withheld completion may pass: at once, after asking replicas, or not at all.
func (s *State) workAnswered(e RunAnswered) {
	w, ok := s.carrier.works[e.Key]
	if !ok || w.state != workRunning {
		return
	}
	q := s.carrier.queues[w.header.Upstream]
	g := q.group
	w.answer = e.Result
	s.observe(q, w)
	s.observeMark(q, e.Result)
	switch {
	case !e.Result.Wrote && !w.confirms:
		w.state = workAcknowledged
		s.emit(Acknowledge{Key: e.Key})
	case e.Result.Term < g.term || e.Result.Wrote && e.Result.Term != w.term:
		s.rejectAnswer(w, "the server's term is over")
	case !e.Result.Position.Covers(w.header.Token.Position()):
		s.rejectAnswer(w, "the server does not cover the session's token")
	case e.Result.ConfirmedCopies >= g.database.Majority():
		s.acknowledge(w)
	case e.Result.ConfirmedCopies < 1:
		s.rejectAnswer(w, "the server reported no mark")
	default:
		s.askReplicas(q, w)
	}
}

// acknowledge lets a completion pass that a majority holds at the newest known term.
func (s *State) acknowledge(w *work) {
	w.state = workAcknowledged
	w.proven = true
	s.emit(Acknowledge{Key: w.header.Key})
}

// rejectAnswer ends work whose completion must not pass. The slot and the connection are released when the run ends.
func (s *State) rejectAnswer(w *work, reason string) {
	w.state = workRejected
	s.emitReject(w, currantloom.MayHaveRun, currantloom.SQLStateOutcomeUnknown, reason, 0)
}

// askReplicas starts to ask the nearest replicas. The server runs nothing meanwhile, so the slot is released.
func (s *State) askReplicas(q *queue, w *work) {
	w.state = workConfirming
	w.confirmation.until = min(s.now+confirmLimit, w.deadline)
	for distance := 0; distance <= 2; distance++ {
		for _, server := range q.group.database.Upstreams() {
			if server.Name() == q.server || s.place.Distance(server.Location()) != distance {
				continue
			}
			if len(w.confirmation.asked) < maxConfirmers {
				w.confirmation.asked = append(w.confirmation.asked, confirmer{server: server.Name()})
			}
		}
	}
	q.releaseSlot(w)
	s.carrier.confirming = append(s.carrier.confirming, w)
	s.ask(w)
	s.admit(q.group, q)
}

// ask sends the questions that are due.
func (s *State) ask(w *work) {
	for i := range w.confirmation.asked {
		c := &w.confirmation.asked[i]
		if c.confirmed || c.asking || s.now < c.askAt {
			continue
		}
		c.asking = true
		c.askAt = s.now + confirmInterval
		s.emit(ConfirmPosition{Key: w.header.Key, Upstream: c.server})
	}
}

func (s *State) markConfirmed(e ConfirmPositionAnswered) {
	w, ok := s.carrier.works[e.Key]
	if !ok || w.state != workConfirming {
		return
	}
	g := s.carrier.queues[w.header.Upstream].group
	for i := range w.confirmation.asked {
		c := &w.confirmation.asked[i]
		if c.server != e.Upstream {
			continue
		}
		c.asking = false
		c.confirmed = !e.Failed && holdsMark(e.Status, w.answer)
	}
	switch {
	case w.answer.Term < g.term || !e.Failed && e.Status.GrantedTerm > w.answer.Term:
		s.rejectAnswer(w, "the server's term is over")
	case w.confirmation.count() >= g.database.Majority():
		s.acknowledge(w)
	}
}

// holdsMark reports whether a replica counts towards the majority: it holds the entry, follows the same term and has
// granted no newer one.
func holdsMark(status currantloom.PostgresStatus, answer currantloom.PostgresResult) bool {
	return status.Term == answer.Term && status.GrantedTerm <= answer.Term &&
		status.Position.Term() == answer.Position.Term() && status.Position.Covers(answer.Position)
}

// count returns the number of servers that hold the mark: the primary and the replicas that confirmed it. Replicas
// that the primary counted are not added, because they may be the same ones.
func (c *confirmation) count() int {
	n := 1
	for _, a := range c.asked {
		if a.confirmed {
			n++
		}
	}
	return n
}

// tickConfirming repeats questions and gives up at the deadline. Term changes learned elsewhere end the wait as well.
func (s *State) tickConfirming() {
	waiting := s.carrier.confirming
	s.carrier.confirming = nil
	for _, w := range waiting {
		if w.state != workConfirming || s.carrier.works[w.header.Key] != w {
			continue
		}
		switch {
		case w.answer.Term < s.servers[w.header.Upstream].term:
			s.rejectAnswer(w, "the server's term is over")
		case s.now >= w.confirmation.until:
			s.rejectAnswer(w, "not confirmed by a majority")
		default:
			s.carrier.confirming = append(s.carrier.confirming, w)
			s.ask(w)
		}
	}
}

// cancelReplaced cancels the work that runs at a replaced primary. It can no longer be acknowledged, and its callers
// would otherwise wait for its progress deadline.
func (s *State) cancelReplaced(g *group) {
	for _, server := range g.database.Upstreams() {
		q := s.carrier.queues[server.Name()]
		if q == nil || server.Name() == g.primary {
			continue
		}
		for _, w := range q.running {
			if w.state == workRunning && !w.cancelled && (w.writes() || w.confirms) {
				w.cancelled = true
				s.emit(CancelRun{Key: w.header.Key})
			}
		}
	}
}
