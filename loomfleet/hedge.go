package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// hedgeAfter is how long a read may be unanswered before it is also sent to a second upstream.
	hedgeAfter = 300 * time.Millisecond
	// hedgeShare is the percentage of requests that may be hedged: each request adds it to the credit, and a hedge costs
	// 100. maxHedgeCredit limits the unused credit: 2000 allows 20 hedges in a burst.
	hedgeShare, maxHedgeCredit = 10, 2000
)

// hedgeCalls hedges the unanswered reads at a VM that has become suspected.
func (s *State) hedgeCalls(vm currantloom.VMName) {
	for _, c := range s.callsTo(vm) {
		if c.request != nil {
			s.hedge(c, hedgeOfLostCall)
		}
	}
}

// hedgeReason says why a read is sent to a second upstream.
type hedgeReason uint8

const (
	// hedgeOfLateCall: the call has been unanswered for long, and may still be running.
	hedgeOfLateCall hedgeReason = iota
	// hedgeOfLostCall: the owner of the upstream does not answer.
	hedgeOfLostCall
)

// hedge sends a read to a second upstream as well; the first answer counts.
func (s *State) hedge(c *call, reason hedgeReason) {
	r := c.request
	if r.purpose != purposeRead || r.hedged || r.withdrawnBy != "" || s.requests.hedgeCredit < 100 {
		return
	}
	r.avoidUntil[c.upstream.Name] = s.now + avoidDuration
	next, ok := s.selectTarget(r)
	if !ok || next.upstream == c.upstream || s.config.BalanceReads && !s.mayHedgeAt(next, c, reason) {
		return
	}
	if !s.takeRetry(r) || !s.takeHedgeToken(r) {
		return
	}
	r.hedged = true
	s.requests.hedgeCredit -= 100
	s.deferCall(func() {
		if !r.finished {
			s.sendAttempt(r, next)
		}
	})
}

// mayHedgeAt reports whether a hedge takes no room from other work: the second upstream has a free slot as far as this
// node knows, or the first call takes none because its owner has answered nothing since it was sent.
func (s *State) mayHedgeAt(t target, first *call, reason hedgeReason) bool {
	if reason == hedgeOfLostCall || first.upstream.load.unansweredSince <= first.sentAt {
		return true
	}
	c := candidate{upstream: t.upstream, vm: t.vm, slots: max(1, t.upstream.Slots)}
	s.setKnowledge(&c)
	return c.hasFreeSlot()
}

// hasFreeSlot reports whether the upstream has a free slot as far as this node knows.
func (c *candidate) hasFreeSlot() bool {
	return c.known && c.age <= loadTTL && c.load.Jobs+c.load.sentSince < c.slots
}
