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
			s.hedge(c)
		}
	}
}

// hedge sends a read to a second upstream as well; the first answer counts.
func (s *State) hedge(c *call) {
	r := c.request
	if r.purpose != purposeRead || r.hedged || s.requests.hedgeCredit < 100 {
		return
	}
	r.avoidUntil[c.upstream.Name] = s.now + avoidDuration
	next, ok := s.selectTarget(r)
	if !ok || next.upstream == c.upstream || !s.takeRetry(r) {
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
