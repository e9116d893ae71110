package loomcore

import "currantloom.example/currantloom"

// load counts the work at a server.
type load struct {
	running int
	// lasting counts the running work that a planned change waits for before it holds writes: long work and
	// interactive transactions.
	lasting int
}

// loadOf counts the work at the server that has started and not ended. Work that waits for replicas to confirm its mark
// counts, because a change of the term would leave its outcome unknown.
func (s *State) loadOf(server currantloom.UpstreamName) load {
	var l load
	for _, w := range s.carrier.works {
		if !w.running && w.state < workRunning || w.header.Upstream != server {
			continue
		}
		l.running++
		if w.pinned || w.header.OpensTransaction || w.header.Class == currantloom.LongRequest ||
			w.class == currantloom.LongRequest {
			l.lasting++
		}
	}
	for _, x := range s.carrier.transactions.ordered {
		if x.queue.server == server {
			l.lasting++
		}
	}
	return l
}
