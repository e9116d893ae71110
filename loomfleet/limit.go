package loomfleet

import (
	"fmt"
	"maps"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomquota"
)

// limits holds the rate limits of organisations: what this node needs as an entry node and, if nodes have asked it for
// tokens, as a limiter. Without an organisation that has a limit, it holds nothing.
type limits struct {
	// entry is nil if no organisation has a limit.
	entry *loomquota.Entry
	// configuration is the one that the limits were taken from.
	configuration *currantloom.Configuration
	byName        map[currantloom.OrganisationName]currantloom.RateLimit
	// waiting holds the requests that wait for a token.
	waiting map[loomquota.Operation]*request
	// flushing says that the requests for tokens are sent at the end of this event.
	flushing bool
	choices  []limiterChoice
	// avoidUntil holds the VMs that have left requests for tokens unanswered, and until when they are not chosen.
	avoidUntil map[currantloom.VMName]time.Duration
	// limiters are the shards whose limiter this node is.
	limiters []*limiterShard
}

// tokens is what a request has of its organisation's limit.
type tokens struct {
	// waiting says that the request waits for a token as the operation. held is the number of tokens that it has: one for
	// itself and one for each hedge and each repeated attempt.
	waiting   bool
	operation loomquota.Operation
	held      int
	// refused says that the limit refused the request.
	refused bool
	// mayHaveRun says that an attempt has run or may have.
	mayHaveRun bool
}

// updateLimits applies the limits of the configuration in effect.
func (s *State) updateLimits() {
	l, c := &s.limits, s.catalog.configuration
	if l.configuration == c {
		return
	}
	l.configuration = c
	next := c.Organisations.Limits()
	if maps.Equal(next, l.byName) {
		return
	}
	l.byName = next
	if l.entry == nil {
		if len(next) == 0 {
			return
		}
		l.entry = loomquota.NewEntry(s.config.Quota, s.config.Incarnation)
		l.waiting = make(map[loomquota.Operation]*request)
		l.avoidUntil = make(map[currantloom.VMName]time.Duration)
		l.entry.Advance(s.now, s.random)
		l.entry.SetRegistered(s.registeredCount())
	}
	l.entry.Advance(s.now, s.random)
	l.entry.SetLimits(next)
	s.applyTokenDecisions()
	for _, shard := range l.limiters {
		shard.limiter.SetLimits(s.now, next)
	}
	if len(next) == 0 {
		s.dropLimiters("no limits")
		*l = limits{configuration: c, byName: next}
	}
}

// registeredCount returns the number of VMs that may hold shares of limits, this one included.
func (s *State) registeredCount() int { return len(s.members.sorted) + 1 }

// startOperation dispatches a request once it has a token, if its organisation has a limit. The statements of a
// transaction after the first one need none.
func (s *State) startOperation(r *request) {
	s.updateLimits()
	l := &s.limits
	if l.entry == nil || l.byName[r.organisation].IsZero() || r.purpose == purposeInTransaction ||
		r.purpose == purposeCommit {
		s.dispatch(r)
		return
	}
	l.entry.Advance(s.now, s.random)
	r.tokens.operation = loomquota.Operation(s.nextNumber())
	d := l.entry.Take(r.organisation, r.tokens.operation, r.route.Priority == 0)
	if d.Outcome == loomquota.Waiting {
		r.tokens.waiting = true
		l.waiting[r.tokens.operation] = r
	} else {
		s.applyTokenDecision(r, d, false)
	}
	s.flushTokenRequests()
}

// applyTokenDecisions dispatches or refuses the requests for which there is a decision.
func (s *State) applyTokenDecisions() {
	l := &s.limits
	for _, d := range l.entry.Decisions() {
		r, ok := l.waiting[d.Operation]
		if !ok {
			continue
		}
		delete(l.waiting, d.Operation)
		r.tokens.waiting = false
		s.applyTokenDecision(r, d, true)
	}
}

// applyTokenDecision dispatches or refuses a request. Tokens that a node holds are used without a log line.
func (s *State) applyTokenDecision(r *request, d loomquota.Decision, waited bool) {
	outcome := "granted"
	switch d.Outcome {
	case loomquota.Refused:
		outcome = "refused"
	case loomquota.GrantedAlone:
		outcome = "alone"
	}
	if waited || d.Outcome != loomquota.Granted {
		s.log(Decision{
			Event: "limit", Request: r.statement.ID, Session: r.session.id, Organisation: r.organisation,
			Tokens: s.limits.entry.Tokens(r.organisation), Age: d.Age, Version: s.configurationVersion(), Outcome: outcome,
			Routine: true,
		})
	}
	if d.Outcome == loomquota.Refused {
		r.tokens.refused = true
		s.finish(r, currantloom.Reply{
			Code: currantloom.ReplyBusy, Detail: fmt.Sprintf("retry after %d ms", d.RetryAfter.Milliseconds()),
		}, nil)
		return
	}
	r.tokens.held = 1
	s.dispatch(r)
}

// chargeAttempt takes a token for another attempt of an operation that may have run. Without a token the attempt counts
// against the next ones.
func (s *State) chargeAttempt(r *request) {
	if r.tokens.held == 0 || !r.tokens.mayHaveRun || s.limits.entry == nil {
		return
	}
	s.limits.entry.Advance(s.now, s.random)
	s.limits.entry.Repeat(r.organisation)
	r.tokens.held++
	s.flushTokenRequests()
}

// takeHedgeToken takes a token for a second attempt of a read at the same time. It reports false if there is none.
func (s *State) takeHedgeToken(r *request) bool {
	if r.tokens.held == 0 || s.limits.entry == nil {
		return true
	}
	s.limits.entry.Advance(s.now, s.random)
	if !s.limits.entry.TakeHeld(r.organisation) {
		return false
	}
	r.tokens.held++
	return true
}

// releaseTokens ends the use of a request's tokens when it is answered or abandoned. Tokens of operations that
// certainly did not run are returned.
func (s *State) releaseTokens(r *request) {
	l := &s.limits
	if l.entry == nil || !r.tokens.waiting && r.tokens.held == 0 {
		return
	}
	l.entry.Advance(s.now, s.random)
	if r.tokens.waiting {
		l.entry.Leave(r.organisation, r.tokens.operation)
		delete(l.waiting, r.tokens.operation)
		r.tokens.waiting = false
	}
	for ; r.tokens.held > 0; r.tokens.held-- {
		if r.tokens.mayHaveRun || len(r.calls) > 0 {
			l.entry.Done(r.organisation)
		} else {
			l.entry.Return(r.organisation)
		}
	}
	s.deferCall(s.applyTokenDecisionsIfAny)
}

// applyTokenDecisionsIfAny applies the decisions that returned tokens have led to.
func (s *State) applyTokenDecisionsIfAny() {
	if s.limits.entry != nil {
		s.applyTokenDecisions()
	}
}

// flushTokenRequests sends the requests for tokens that are due, at the end of the event.
func (s *State) flushTokenRequests() {
	if s.limits.flushing {
		return
	}
	s.limits.flushing = true
	s.deferCall(func() {
		l := &s.limits
		l.flushing = false
		if l.entry == nil {
			return
		}
		for _, r := range l.entry.Requests() {
			if r.VM == s.config.Self {
				s.deferCall(func() { s.handleTokenRequest(s.config.Self, 0, r.Message) })
				continue
			}
			s.emit(Send{VM: s.vmOf(r.VM), Message: r.Message})
		}
	})
}

// handleTokenAnswer handles the answer of a limiter.
func (s *State) handleTokenAnswer(from currantloom.VMName, m currantloom.TokenAnswer) {
	l := &s.limits
	if l.entry == nil {
		return
	}
	l.entry.Advance(s.now, s.random)
	l.entry.HandleAnswer(from, m)
	s.applyTokenDecisions()
	s.flushTokenRequests()
}

// tickLimits ends waits that have lasted too long, chooses the limiters and sends the requests that are due.
func (s *State) tickLimits() {
	if s.catalog.configuration == nil {
		return
	}
	s.updateLimits()
	l := &s.limits
	if l.entry == nil {
		return
	}
	l.entry.Advance(s.now, s.random)
	l.entry.SetRegistered(s.registeredCount())
	s.chooseLimiters()
	l.entry.Tick()
	s.applyTokenDecisions()
	s.flushTokenRequests()
	s.tickLimiters()
}
