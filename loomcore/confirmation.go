package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// confirmTimeout is how long replicas are asked to confirm a log position. The primary itself waits up to 1 s before
	// it reports too few copies.
	confirmTimeout = time.Second
	// confirmInterval is the least time between two requests for confirmation to the same replica.
	confirmInterval = 50 * time.Millisecond
	// maxConfirmingReplicas is the number of replicas that are asked to confirm a log position.
	maxConfirmingReplicas = 2
)

// confirmation is the progress of asking replicas whether they hold a log position.
type confirmation struct {
	deadline time.Duration
	replicas []replicaConfirmation
}

type replicaConfirmation struct {
	upstream        currantloom.UpstreamName
	nextRequestAt   time.Duration
	requestInFlight bool
	confirmed       bool
}

// runAnswered decides on a withheld completion: it is forwarded at once, after asking replicas, or not at all.
func (s *State) runAnswered(e RunAnswered) {
	a, ok := s.owner.attempts[e.Key]
	if !ok || a.state != attemptRunning {
		return
	}
	q := s.owner.queues[a.header.Upstream]
	g := q.group
	a.result = e.Result
	s.observeRunTime(q, a)
	s.observePosition(q, e.Result)
	switch {
	case !e.Result.Wrote && !a.confirmsTerm:
		a.state = attemptAcknowledged
		s.emit(Acknowledge{Key: e.Key})
	case e.Result.Term < g.term || e.Result.Wrote && e.Result.Term != a.term:
		s.rejectCompletion(a, "the server's term is over")
	case !e.Result.Position.Covers(a.header.Token.Position()):
		s.rejectCompletion(a, "the server does not cover the session's token")
	case e.Result.ConfirmedCopies >= g.database.Majority():
		s.acknowledge(a)
	case e.Result.ConfirmedCopies < 1:
		s.rejectCompletion(a, "the server reported no mark")
	default:
		s.startConfirmation(q, a)
	}
}

// acknowledge forwards a completion whose log position a majority holds in the newest known term.
func (s *State) acknowledge(a *attempt) {
	a.state = attemptAcknowledged
	a.positionConfirmed = true
	s.emit(Acknowledge{Key: a.header.Key})
}

// rejectCompletion ends an attempt whose completion must not be forwarded. The slot, if still held, and the connection
// are released when the run ends.
func (s *State) rejectCompletion(a *attempt, reason string) {
	a.state = attemptRejected
	s.emitReject(a, currantloom.MayHaveRun, currantloom.SQLStateOutcomeUnknown, reason, 0)
}

// startConfirmation asks the nearest replicas to confirm the log position. The upstream runs nothing for the attempt
// meanwhile, so the slot is released.
func (s *State) startConfirmation(q *queue, a *attempt) {
	a.state = attemptConfirming
	a.confirmation.deadline = min(s.now+confirmTimeout, a.deadline)
	for distance := 0; distance <= 2; distance++ {
		for _, upstream := range q.group.database.Upstreams() {
			if upstream.Name() == q.upstream || s.location.Distance(upstream.Location()) != distance {
				continue
			}
			if len(a.confirmation.replicas) < maxConfirmingReplicas {
				a.confirmation.replicas = append(a.confirmation.replicas, replicaConfirmation{upstream: upstream.Name()})
			}
		}
	}
	q.releaseSlot(a)
	s.owner.confirming = append(s.owner.confirming, a)
	s.requestConfirmations(a)
	s.admit(q.group, q)
}

// requestConfirmations asks the replicas that are due and have not confirmed.
func (s *State) requestConfirmations(a *attempt) {
	for i := range a.confirmation.replicas {
		c := &a.confirmation.replicas[i]
		if c.confirmed || c.requestInFlight || s.now < c.nextRequestAt {
			continue
		}
		c.requestInFlight = true
		c.nextRequestAt = s.now + confirmInterval
		s.emit(ConfirmPosition{Key: a.header.Key, Upstream: c.upstream})
	}
}

func (s *State) confirmPositionAnswered(e ConfirmPositionAnswered) {
	a, ok := s.owner.attempts[e.Key]
	if !ok || a.state != attemptConfirming {
		return
	}
	g := s.owner.queues[a.header.Upstream].group
	for i := range a.confirmation.replicas {
		c := &a.confirmation.replicas[i]
		if c.upstream != e.Upstream {
			continue
		}
		c.requestInFlight = false
		c.confirmed = !e.Failed && holdsPosition(e.Status, a.result)
	}
	switch {
	case a.result.Term < g.term || !e.Failed && e.Status.GrantedTerm > a.result.Term:
		s.rejectCompletion(a, "the server's term is over")
	case a.confirmation.copies() >= g.database.Majority():
		s.acknowledge(a)
	}
}

// holdsPosition reports whether a replica counts towards the majority: it holds the log entry of the result, is in the
// same term and has granted no newer one.
func holdsPosition(status currantloom.PostgresStatus, result currantloom.PostgresResult) bool {
	return status.Term == result.Term && status.GrantedTerm <= result.Term &&
		status.Position.Term() == result.Position.Term() && status.Position.Covers(result.Position)
}

// copies returns the number of upstreams that hold the log position: the primary and the replicas that confirmed it.
// Replicas that the primary counted are not added, because they may be the same ones.
func (c *confirmation) copies() int {
	n := 1
	for _, r := range c.replicas {
		if r.confirmed {
			n++
		}
	}
	return n
}

// tickConfirming repeats requests for confirmation and gives up at the deadline, or once a newer term is known.
func (s *State) tickConfirming() {
	waiting := s.owner.confirming
	s.owner.confirming = nil
	for _, a := range waiting {
		if a.state != attemptConfirming || s.owner.attempts[a.header.Key] != a {
			continue
		}
		switch {
		case a.result.Term < s.groupsByUpstream[a.header.Upstream].term:
			s.rejectCompletion(a, "the server's term is over")
		case s.now >= a.confirmation.deadline:
			s.rejectCompletion(a, "not confirmed by a majority")
		default:
			s.owner.confirming = append(s.owner.confirming, a)
			s.requestConfirmations(a)
		}
	}
}

// cancelAtReplacedPrimary cancels the runs at replaced primaries. They can no longer be acknowledged, and their clients
// would otherwise wait for the stall timeout.
func (s *State) cancelAtReplacedPrimary(g *group) {
	for _, upstream := range g.database.Upstreams() {
		q := s.owner.queues[upstream.Name()]
		if q == nil || upstream.Name() == g.primary {
			continue
		}
		for _, a := range q.running {
			if a.state == attemptRunning && !a.cancelled && (a.writes() || a.confirmsTerm) {
				a.cancelled, a.atReplacedPrimary = true, true
				s.emit(CancelRun{Key: a.header.Key})
			}
		}
	}
}
