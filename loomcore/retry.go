package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// maxRetries bounds the retries of one request.
	maxRetries = 3
	// A retry costs retryCost units. Each request earns a tenth of that and each second that of 10 retries; the budget
	// holds at most 100 retries.
	retryCost       = 1000
	earnedByRequest = retryCost / 10
	earnedBySecond  = 10 * retryCost
	maxBudget       = 100 * retryCost
)

// retryBudget bounds the retries of a node to 10% of recent requests plus 10 per second, so that an outage is not
// amplified. The zero value holds what a second earns.
type retryBudget struct {
	spent   int64
	updated time.Duration
	started bool
}

func (b *retryBudget) advance(now time.Duration) {
	if !b.started {
		b.started = true
		b.updated = now
		b.spent = maxBudget - earnedBySecond
		return
	}
	b.spent -= int64(now-b.updated) * earnedBySecond / int64(time.Second)
	b.spent = max(b.spent, 0)
	b.updated = now
}

// earn adds what a request earns.
func (b *retryBudget) earn(now time.Duration) {
	b.advance(now)
	b.spent = max(b.spent-earnedByRequest, 0)
}

// spend takes the cost of a retry; it reports false if the budget is used up.
func (b *retryBudget) spend(now time.Duration) bool {
	b.advance(now)
	if b.spent+retryCost > maxBudget {
		return false
	}
	b.spent += retryCost
	return true
}

// step is what follows an attempt.
type step uint8

const (
	// stepFinish: answer the request.
	stepFinish step = iota
	// stepRoute: route it again at once.
	stepRoute
	// stepWait: route it again after a short wait.
	stepWait
	// stepPark: wait for a primary.
	stepPark
)

// nextStep decides what follows an attempt. It changes the trailer if the retry budget is used up.
func (s *State) nextStep(r *request, sent bool, t *currantloom.ResponseTrailer) step {
	if t.ServerAnswered || t.ResponseStarted || t.Verdict == currantloom.Ran || r.cancelled {
		return stepFinish
	}
	if t.Verdict == currantloom.MayHaveRun {
		if r.request.Kind != currantloom.ReadRequest && r.request.RequestID == "" {
			return stepFinish
		}
		r.avoid[r.vm] = true
		return s.retry(r, t, stepRoute)
	}
	if !sent {
		r.avoid[r.vm] = true
		s.passOver(passedOver{vm: r.vm})
		return s.retry(r, t, stepRoute)
	}
	if t.RetryAfter > 0 {
		return stepFinish
	}
	return s.stepAfterRefusal(r, t)
}

// stepAfterRefusal decides what follows a refusal by the code. Refusals that tell where to send the request instead
// take nothing from the budget.
func (s *State) stepAfterRefusal(r *request, t *currantloom.ResponseTrailer) step {
	g := s.groups[r.request.Database]
	atReplica := r.server != g.primary && s.usesReplica(r)
	switch t.SQLState {
	case currantloom.SQLStateReadOnly:
		if r.request.Kind == currantloom.ReadRequest {
			r.request.Kind = currantloom.WriteRequest
			if r.mayHaveRun && r.request.RequestID == "" {
				return stepFinish
			}
			return stepRoute
		}
		return s.redirect(g, r, t)
	case currantloom.SQLStateCannotConnectNow:
		if atReplica {
			r.primaryOnly = true
			return stepRoute
		}
		return s.redirect(g, r, t)
	case currantloom.SQLStateShuttingDown:
		r.avoid[r.vm] = true
		s.passOver(passedOver{vm: r.vm})
		return s.count(r, t, stepRoute)
	case currantloom.SQLStateTooManyConnections:
		return s.retry(r, t, stepWait)
	case currantloom.SQLStateConnectionFailure:
		if atReplica {
			s.passOver(passedOver{server: r.server})
			return s.count(r, t, stepRoute)
		}
		return s.stepAfterUnreachable(r)
	default:
		return stepFinish
	}
}

// redirect sends the request to the primary that the trailer named. If the carrier of that primary does not know the
// term yet, the request is tried again a little later; without a known primary it waits for one.
func (s *State) redirect(g *group, r *request, t *currantloom.ResponseTrailer) step {
	if g.primary == "" || r.retries >= maxRetries || s.hintOf(g).absent {
		return stepPark
	}
	if g.primary != r.server {
		r.retries++
		return stepRoute
	}
	if t.Term < g.term {
		r.retries++
		return stepWait
	}
	return stepPark
}

// stepAfterUnreachable tries the next VM once, since only this one may be cut off from the primary, then waits.
func (s *State) stepAfterUnreachable(r *request) step {
	first := !s.isPassedOver(passedOver{vm: r.vm, server: r.server}) && len(r.avoid) == 0
	r.avoid[r.vm] = true
	s.passOver(passedOver{vm: r.vm, server: r.server})
	if first && r.retries < maxRetries && s.requests.budget.spend(s.now) {
		r.retries++
		return stepRoute
	}
	return stepPark
}

// count allows the step if the request has a retry left.
func (s *State) count(r *request, t *currantloom.ResponseTrailer, next step) step {
	if r.retries >= maxRetries {
		t.RetryAfter = retryAfterOutage
		return stepFinish
	}
	r.retries++
	return next
}

// retry allows the step if the request has a retry left and the budget of the node allows one.
func (s *State) retry(r *request, t *currantloom.ResponseTrailer, next step) step {
	if r.retries < maxRetries && !s.requests.budget.spend(s.now) {
		t.Reason += " (retry budget used up)"
		t.RetryAfter = retryAfterOutage
		return stepFinish
	}
	return s.count(r, t, next)
}

// noteOutcome records what an attempt says about the primary and its carrier. It reports whether requests that wait for
// a primary may go on.
func (s *State) noteOutcome(r *request, t currantloom.ResponseTrailer) bool {
	g := s.groups[r.request.Database]
	epoch := s.hintOf(g).epoch
	g.learn(t.Term, t.Primary)
	if t.ServerAnswered || t.Verdict == currantloom.Ran || t.RetryAfter > 0 {
		delete(s.requests.passed, passedOver{vm: r.vm})
		delete(s.requests.passed, passedOver{vm: r.vm, server: r.server})
		if r.server == g.primary {
			s.hintOf(g).found()
		}
	}
	return s.hintOf(g).epoch != epoch
}
