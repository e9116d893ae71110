package loomcore

import "currantloom.example/currantloom"

// RequestConnections returns the number of connections to each upstream that requests may use. The others are for
// control calls.
func RequestConnections(d currantloom.Database) int {
	return max(1, d.Connections()-reservedControlConnections)
}

// unreachable reports whether this node's polls of the upstream fail.
func (g *group) unreachable(upstream currantloom.UpstreamName) bool {
	if g.view == nil {
		return false
	}
	v, ok := g.view.upstreams[upstream]
	return ok && v.unreachable()
}

// primaryAlive reports whether a replica has heard from the primary recently, according to a recent status.
func (s *State) primaryAlive(g *group) bool {
	for _, upstream := range g.database.Upstreams() {
		v := g.view.upstreams[upstream.Name()]
		if upstream.Name() != g.primary && v.reachable(s.now) && v.hearsPrimary(g.term) {
			return true
		}
	}
	return false
}

// recordFailure records what the failure of a run says about the upstream.
func (s *State) recordFailure(q *queue, r currantloom.PostgresResult) {
	switch {
	case r.Err == nil:
	case r.Code == currantloom.SQLStateTooManyConnections && r.Verdict == currantloom.NotRun:
		q.connectionRefused(s.now)
	case r.Code == currantloom.SQLStateConnectionFailure:
		s.requestFailed(q.group, q.upstream, r.ConnectionRefused)
	}
}

// observePosition records the position that the upstream reported with a result.
func (s *State) observePosition(q *queue, r currantloom.PostgresResult) {
	if r.Err == nil && r.Term > 0 {
		q.group.observePosition(q.upstream, r.Term, r.Position, s.now)
	}
}
