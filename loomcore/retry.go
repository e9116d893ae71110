package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// maxRetries bounds the retries of one request.
	maxRetries = 3
	// A retry costs retryCost units. Each request adds the cost of a tenth of a retry to the budget, and each second adds
	// the cost of 10 retries. The budget holds at most 100 retries.
	retryCost        = 1000
	creditPerRequest = retryCost / 10
	creditPerSecond  = 10 * retryCost
	maxBudget        = 100 * retryCost
)

// retryBudget bounds the retries of a node to 10% of recent requests plus 10 per second, so that retries do not add
// much load during an outage. The zero value starts with the credit of one second.
type retryBudget struct {
	spent   int64
	updated time.Duration
	started bool
}

func (b *retryBudget) replenish(now time.Duration) {
	if !b.started {
		b.started = true
		b.updated = now
		b.spent = maxBudget - creditPerSecond
		return
	}
	b.spent -= int64(now-b.updated) * creditPerSecond / int64(time.Second)
	b.spent = max(b.spent, 0)
	b.updated = now
}

// earn adds the credit of a request.
func (b *retryBudget) earn(now time.Duration) {
	b.replenish(now)
	b.spent = max(b.spent-creditPerRequest, 0)
}

// spend takes the cost of a retry. It returns false if the budget is used up.
func (b *retryBudget) spend(now time.Duration) bool {
	b.replenish(now)
	if b.spent+retryCost > maxBudget {
		return false
	}
	b.spent += retryCost
	return true
}

// step is the next action on a request after an attempt.
type step uint8

const (
	// stepFinish: answer the request.
	stepFinish step = iota
	// stepRoute: route it again at once.
	stepRoute
	// stepWait: route it again after a short wait.
	stepWait
	// stepAwaitPrimary: wait for a primary.
	stepAwaitPrimary
)

// nextStep decides what follows an attempt. It changes the trailer if no retry is allowed.
func (s *State) nextStep(r *openRequest, sent bool, t *currantloom.ResponseTrailer) step {
	if t.UpstreamAnswered || t.ResponseStarted || t.Verdict == currantloom.Ran || r.cancelled {
		return stepFinish
	}
	if t.Verdict == currantloom.MayHaveRun {
		if r.request.Kind != currantloom.ReadRequest && r.request.RequestID == "" {
			return stepFinish
		}
		r.avoidedVMs[r.vm] = true
		return s.spendRetry(r, t, stepRoute)
	}
	if !sent {
		r.avoidedVMs[r.vm] = true
		s.eject(ejection{vm: r.vm})
		return s.spendRetry(r, t, stepRoute)
	}
	if t.RetryAfter > 0 {
		return stepFinish
	}
	return s.stepAfterRefusal(r, t)
}

// stepAfterRefusal decides by the SQLSTATE what follows a refusal. Refusals that say where to send the request instead
// cost nothing of the retry budget.
func (s *State) stepAfterRefusal(r *openRequest, t *currantloom.ResponseTrailer) step {
	g := s.groups[r.request.Database]
	atReplica := r.upstream != g.primary && s.mayUseReplica(r)
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
		r.avoidedVMs[r.vm] = true
		s.eject(ejection{vm: r.vm})
		return s.countRetry(r, t, stepRoute)
	case currantloom.SQLStateTooManyConnections:
		return s.spendRetry(r, t, stepWait)
	case currantloom.SQLStateConnectionFailure:
		if atReplica {
			s.eject(ejection{upstream: r.upstream})
			return s.countRetry(r, t, stepRoute)
		}
		return s.stepAfterUnreachable(r)
	default:
		return stepFinish
	}
}

// redirect sends the request to the primary that the trailer named. If the owner of that primary does not know the
// term yet, the request is tried again after a delay. Without a known primary it waits for one.
func (s *State) redirect(g *group, r *openRequest, t *currantloom.ResponseTrailer) step {
	if g.primary == "" || r.retries >= maxRetries || s.primaryHintOf(g).missing {
		return stepAwaitPrimary
	}
	if g.primary != r.upstream {
		r.retries++
		return stepRoute
	}
	if t.Term < g.term {
		r.retries++
		return stepWait
	}
	return stepAwaitPrimary
}

// stepAfterUnreachable tries the next VM once, since only this VM may be cut off from the primary, then waits for a
// primary.
func (s *State) stepAfterUnreachable(r *openRequest) step {
	first := !s.isEjected(ejection{vm: r.vm, upstream: r.upstream}) && len(r.avoidedVMs) == 0
	r.avoidedVMs[r.vm] = true
	s.eject(ejection{vm: r.vm, upstream: r.upstream})
	if first && r.retries < maxRetries && s.requests.budget.spend(s.now) {
		r.retries++
		return stepRoute
	}
	return stepAwaitPrimary
}

// countRetry returns the step if the request has a retry left.
func (s *State) countRetry(r *openRequest, t *currantloom.ResponseTrailer, next step) step {
	if r.retries >= maxRetries {
		t.RetryAfter = retryAfterOutage
		return stepFinish
	}
	r.retries++
	return next
}

// spendRetry returns the step if the request has a retry left and the budget of the node allows one.
func (s *State) spendRetry(r *openRequest, t *currantloom.ResponseTrailer, next step) step {
	if r.retries < maxRetries && !s.requests.budget.spend(s.now) {
		t.Reason += " (retry budget used up)"
		t.RetryAfter = retryAfterOutage
		return stepFinish
	}
	return s.countRetry(r, t, next)
}

// recordOutcome records what the result of an attempt says about the primary and its owner. It reports whether a
// primary was found, so that the requests that wait for one may continue.
func (s *State) recordOutcome(r *openRequest, t currantloom.ResponseTrailer) bool {
	g := s.groups[r.request.Database]
	epoch := s.primaryHintOf(g).epoch
	g.learnTerm(t.Term, t.Primary)
	if t.UpstreamAnswered || t.Verdict == currantloom.Ran || t.RetryAfter > 0 {
		delete(s.requests.ejected, ejection{vm: r.vm})
		delete(s.requests.ejected, ejection{vm: r.vm, upstream: r.upstream})
		if r.upstream == g.primary {
			s.primaryHintOf(g).markFound()
		}
	}
	return s.primaryHintOf(g).epoch != epoch
}
