package loomcore

import "currantloom.example/currantloom"

// load counts the attempts and transactions at an upstream.
type load struct {
	running int
	// longLived counts what a planned change waits for before it blocks writes: running long requests and open
	// transactions.
	longLived int
}

// loadOf counts the attempts at the upstream that have started and not ended, and its open transactions. Attempts that
// wait for replicas to confirm their log position count, because a change of the term would leave their outcome
// unknown.
func (s *State) loadOf(upstream currantloom.UpstreamName) load {
	var l load
	for _, a := range s.owner.attempts {
		if !a.holdsSlot && a.state < attemptRunning || a.header.Upstream != upstream {
			continue
		}
		l.running++
		if a.inTransaction || a.header.OpensTransaction || a.header.Class == currantloom.LongRequest ||
			a.class == currantloom.LongRequest {
			l.longLived++
		}
	}
	for _, tx := range s.owner.transactions.ordered {
		if tx.queue.upstream == upstream {
			l.longLived++
		}
	}
	return l
}
