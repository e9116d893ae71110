package loomcore

import "currantloom.example/currantloom"

// load counts the work at a server.
type load struct {
	running int
	// longLived counts the running work that a planned change waits for before it holds writes: long work and
	// interactive transactions.
	longLived int
}

// loadOf counts the work at the server that has started and not ended. Work that waits for replicas to confirm its mark
// counts, because a change of the term would leave its outcome unknown.
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
