package loomcore

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// retryDelay is the time before the next attempt of a request if nothing suggests that an immediate one would succeed.
	retryDelay = 50 * time.Millisecond
	// minAttemptTime is the time that an attempt is assumed to need. A request that has less time left is refused.
	minAttemptTime = 50 * time.Millisecond
	// retryAfterOutage is reported to the client if no upstream is available. A failover takes a few seconds.
	retryAfterOutage = time.Second
	// cancelInterval is the time between two messages that cancel the same request. The message is repeated because it
	// may arrive at the owner before the request, and the owner then ignores it.
	cancelInterval = 500 * time.Millisecond
)

// openRequests holds the requests that entered at this node and are not answered.
type openRequests struct {
	open map[currantloom.RequestKey]*openRequest
	// waiting holds the requests without an attempt in flight, in the order in which they began to wait. Some entries may
	// no longer wait.
	waiting      []*openRequest
	primaryHints map[currantloom.DatabaseName]*primaryHint
	ejected      map[ejection]time.Duration
	budget       retryBudget
	// cancelling holds the cancelled requests that have been forwarded.
	cancelling []*openRequest
}

// openRequest is one request between its arrival and its answer.
type openRequest struct {
	request  currantloom.Request
	class    currantloom.RequestClass
	deadline time.Duration
	// attempts counts the attempts, retries those that followed a failed one.
	attempts   int
	retries    int
	avoidedVMs map[currantloom.VMName]bool
	// primaryOnly says that a replica refused the read.
	primaryOnly   bool
	inFlight      bool
	vm            currantloom.VMName
	upstream      currantloom.UpstreamName
	retryAt       time.Duration
	awaitsPrimary bool
	awaitedEpoch  int
	cancelled     bool
	nextCancelAt  time.Duration
	// mayHaveRun says that the outcome of an earlier attempt is unknown.
	mayHaveRun bool
}

func (s *State) requestArrived(e RequestArrived) {
	q := &s.requests
	if q.open == nil {
		q.open = make(map[currantloom.RequestKey]*openRequest)
	}
	if _, ok := q.open[e.Request.Key]; ok {
		return
	}
	q.budget.earn(s.now)
	r := &openRequest{request: e.Request, avoidedVMs: make(map[currantloom.VMName]bool)}
	r.class, _ = s.rules.rules.Class(e.Request.Database, e.Request.Statement)
	limit := e.Request.Deadline
	if limit == 0 {
		limit = s.rules.rules.Deadline(e.Request.Database, e.Request.Organisation, r.class)
	}
	r.deadline = s.now + limit
	q.open[e.Request.Key] = r
	if _, ok := s.groups[e.Request.Database]; !ok {
		s.refuse(r, currantloom.SQLStateInvalidParameter, "unknown database", 0)
		return
	}
	if e.Request.RequestID == "" &&
		s.RequiresRequestID(e.Request.Database, e.Request.Statement, e.Request.OtherStatements...) {
		s.refuse(r, currantloom.SQLStateInvalidParameter, "a rule requires a request id for this statement", 0)
		return
	}
	s.route(r)
}

// RequiresRequestID reports whether a rule requires a request id for one of the statements.
func (s *State) RequiresRequestID(database currantloom.DatabaseName, first string, others ...string) bool {
	r := s.rules.rules
	return r.RequiresRequestID(database, first) ||
		slices.ContainsFunc(others, func(text string) bool { return r.RequiresRequestID(database, text) })
}

func (s *State) forwardFinished(e ForwardFinished) {
	r, ok := s.requests.open[e.Key.Request()]
	if !ok || !r.inFlight || r.attempts != e.Attempt {
		return
	}
	r.inFlight = false
	t := e.Trailer
	if !e.Sent {
		t.Verdict = currantloom.NotRun
	}
	if t.Verdict == currantloom.MayHaveRun {
		r.mayHaveRun = true
	}
	found := s.recordOutcome(r, t)
	next := s.nextStep(r, e.Sent, &t)
	if next != stepFinish && s.lacksTimeForAttempt(r) {
		next = stepFinish
		t.RetryAfter = retryAfterOutage
	}
	switch next {
	case stepFinish:
		s.finish(r, t)
	case stepRoute:
		s.route(r)
	case stepWait:
		s.retryLater(r)
	case stepAwaitPrimary:
		s.awaitPrimary(r)
	}
	if found {
		s.recheckRequests()
	}
}

// lacksTimeForAttempt reports whether the request has too little time left for an attempt.
func (s *State) lacksTimeForAttempt(r *openRequest) bool { return s.now+minAttemptTime >= r.deadline }

// retryLater routes the request again after retryDelay.
func (s *State) retryLater(r *openRequest) {
	r.awaitsPrimary = false
	r.retryAt = s.now + retryDelay
	s.addWaiting(r)
}

// addWaiting lets a request wait until recheckRequests routes it. It refuses the request if too little time is left.
func (s *State) addWaiting(r *openRequest) {
	if s.lacksTimeForAttempt(r) {
		s.refuse(r, currantloom.SQLStateCannotConnectNow, "no server available before the deadline", retryAfterOutage)
		return
	}
	s.requests.waiting = append(s.requests.waiting, r)
}

func (s *State) requestCancelled(e RequestCancelled) {
	r, ok := s.requests.open[e.Key]
	if !ok {
		return
	}
	if !r.inFlight {
		s.refuse(r, currantloom.SQLStateQueryCanceled, "cancelled before it was sent", 0)
		return
	}
	if !r.cancelled {
		r.cancelled = true
		s.requests.cancelling = append(s.requests.cancelling, r)
	}
	s.cancelForward(r)
}

func (s *State) cancelForward(r *openRequest) {
	r.nextCancelAt = s.now + cancelInterval
	s.emit(CancelForward{Key: r.attemptKey(), VM: r.vm})
}

func (s *State) refuse(r *openRequest, code currantloom.SQLState, reason string, retryAfter time.Duration) {
	s.finish(r, currantloom.ResponseTrailer{
		Verdict: currantloom.NotRun, SQLState: code, Reason: reason, RetryAfter: retryAfter,
	})
}

// finish answers the request. If an earlier attempt may have run, the verdict is never NotRun.
func (s *State) finish(r *openRequest, t currantloom.ResponseTrailer) {
	delete(s.requests.open, r.request.Key)
	if r.mayHaveRun && t.Verdict == currantloom.NotRun {
		t.Verdict = currantloom.MayHaveRun
	}
	if t.Verdict == currantloom.MayHaveRun && !t.UpstreamAnswered {
		t.SQLState = currantloom.SQLStateOutcomeUnknown
	}
	s.emit(Decision{
		Event: "answer", Key: r.request.Key, Organisation: r.request.Organisation, Upstream: r.upstream, VM: r.vm,
		Reason: t.Verdict.String() + " " + t.Reason,
	})
	s.emit(Respond{Key: r.request.Key, Trailer: t})
}

// isOpen reports whether the request has not been answered.
func (s *State) isOpen(r *openRequest) bool { return s.requests.open[r.request.Key] == r }

// tickRequests routes or refuses waiting requests, removes expired ejections and repeats cancellations.
func (s *State) tickRequests() {
	s.recheckRequests()
	q := &s.requests
	for key, until := range q.ejected {
		if until <= s.now {
			delete(q.ejected, key)
		}
	}
	cancelling := q.cancelling
	q.cancelling = nil
	for _, r := range cancelling {
		if !s.isOpen(r) {
			continue
		}
		q.cancelling = append(q.cancelling, r)
		if s.now >= r.nextCancelAt {
			s.cancelForward(r)
		}
	}
}

// recheckRequests routes the waiting requests that are due, and refuses those with too little time left.
func (s *State) recheckRequests() {
	waiting := s.requests.waiting
	s.requests.waiting = nil
	for _, r := range waiting {
		switch {
		case !s.isOpen(r) || r.inFlight:
		case s.lacksTimeForAttempt(r):
			s.addWaiting(r)
		case r.awaitsPrimary:
			s.recheckAwaitingPrimary(r)
		case s.now >= r.retryAt:
			s.route(r)
		default:
			s.requests.waiting = append(s.requests.waiting, r)
		}
	}
}
