package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// hedgeAfter is when a read without an answer is sent to a second upstream.
	hedgeAfter = 300 * time.Millisecond
	// hedgeShare is the share of requests that may be hedged, in percent, and maxHedges what may be saved up.
	hedgeShare, maxHedges = 10, 2000
)

// hedgeCalls hedges the reads that a suspected VM has not answered.
func (s *State) hedgeCalls(vm currantloom.VMName) {
	for _, c := range s.callsTo(vm) {
		if c.request != nil {
			s.hedge(c)
		}
	}
}

// hedge makes a second attempt of a read at another upstream; the first answer counts.
func (s *State) hedge(c *call) {
	r := c.request
	if r.purpose != purposeRead || r.hedged || s.requests.hedgeCredit < 100 {
		return
	}
	r.avoidUntil[c.upstream.Name] = s.now + avoidDuration
	next, ok := s.selectTarget(r)
	if !ok || next.upstream == c.upstream {
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
