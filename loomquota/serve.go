package loomquota

import (
	"math"
	"slices"
	"time"
)

const (
	// urgentPart is the part of the burst that only operations of priority 0 may use.
	urgentPart = 0.1
	// answerMargin is subtracted from the time that an operation may still wait: the way of the answer between regions.
	answerMargin = 40 * time.Millisecond
	// The times that a refusal may name.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// serve grants tokens to waiting operations in the order in which the nodes asked, the urgent ones first. It refuses
// those that the rate cannot serve in time.
func (a *account) serve(now time.Duration) {
	a.pending = slices.DeleteFunc(a.pending, func(e *entry) bool {
		if now-e.waitingSince > maxWait {
			e.waiting, e.urgent = 0, 0
		}
		return e.waiting == 0
	})
	if len(a.pending) == 0 {
		return
	}
	ahead := 0
	for _, e := range a.pending {
		e.urgent -= a.serveSome(e, e.urgent, ahead, 0, now)
		ahead += e.urgent
	}
	reserve := urgentPart * a.budget.burst
	for _, e := range a.pending {
		a.serveSome(e, e.waiting-e.urgent, ahead, reserve, now)
		ahead += e.waiting - e.urgent
	}
	a.pending = slices.DeleteFunc(a.pending, func(e *entry) bool { return e.waiting == 0 })
}

// serveSome grants tokens to some operations of an entry while the level exceeds the reserve and none are ahead. It
// refuses those that would have to wait for too long, but not before a new limiter has had the time to hear from the
// nodes. It returns the number of operations that were granted or refused.
func (a *account) serveSome(e *entry, count, ahead int, reserve float64, now time.Duration) int {
	if count == 0 {
		return 0
	}
	available := max(0, a.level-reserve)
	granted, refused := 0, 0
	if ahead == 0 {
		granted = min(count, int(available))
		a.change(e, func() { e.tokens += granted })
		a.level -= float64(granted)
		available -= float64(granted)
	}
	left := count - granted
	rate := a.budget.rateOf(uint32(a.entitled))
	patience := max(0, maxWait-answerMargin-(now-e.waitingSince)).Seconds()
	shortage := float64(ahead+left) - available
	if now-a.startedAt > maxWait {
		refused = min(left, max(0, int(math.Ceil(shortage-rate*patience))))
	}
	if refused > 0 {
		e.refused += refused
		e.retryAfter = retryAfter(shortage, rate)
	}
	e.waiting -= granted + refused
	return granted + refused
}

// retryAfter returns the time in which the rate provides the tokens.
func retryAfter(tokens, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	d := time.Duration(min(tokens/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	return min(max(d, minRetryAfter), maxRetryAfter)
}
