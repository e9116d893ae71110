package loomcore

import "currantloom.example/currantloom"

// RequestConnections returns the number of connections to each server that work may use; the others are for control.
func RequestConnections(d currantloom.Database) int {
	return max(1, d.Connections()-controlConnections)
}

// unreachable reports whether this node's polls of the server fail.
func (g *group) unreachable(server currantloom.UpstreamName) bool {
	if g.view == nil {
		return false
	}
	v, ok := g.view.members[server]
	return ok && v.unreachable()
}

// primaryAlive reports whether a replica has heard from the primary lately, by a recent report.
func (s *State) primaryAlive(g *group) bool {
	for _, server := range g.database.Upstreams() {
		v := g.view.members[server.Name()]
		if server.Name() != g.primary && v.reachable(s.now) && v.hearsPrimary(g.term) {
			return true
		}
	}
	return false
}

// noteFailure records what a run's failure says about the server. The failure of a connection counts as a failed poll.
func (s *State) noteFailure(q *queue, r currantloom.PostgresResult) {
	switch {
	case r.Err == nil:
	case r.Code == currantloom.SQLStateTooManyConnections && r.Verdict == currantloom.NotRun:
		q.connectionRefused(s.now)
	case r.Code == currantloom.SQLStateConnectionFailure:
		s.serverFailed(q.group, q.server, r.ConnectionRefused)
	}
}

// observeMark takes over the position that the server reported with a response.
func (s *State) observeMark(q *queue, r currantloom.PostgresResult) {
	if r.Err == nil && r.Term > 0 {
		q.group.observe(q.server, r.Term, r.Position, s.now)
	}
}
