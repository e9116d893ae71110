package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// unreachableFailures is the number of failed polls in a row after which a server gets no new work.
	unreachableFailures = 2
	// primaryHeard is how recently a replica must have heard from the primary to prove that it is alive. Replicas
	// suspect a primary after 700 ms.
	primaryHeard = 700 * time.Millisecond
)

// unreachable reports whether this node's polls of the server fail.
func (g *group) unreachable(server currantloom.ServerName) bool {
	v := g.members[server]
	return v != nil && v.failures >= unreachableFailures
}

// primaryAlive reports whether a replica has heard from the primary lately, by a recent report.
func (s *State) primaryAlive(g *group) bool {
	for _, server := range g.database.Servers() {
		v := g.members[server.Name()]
		if server.Name() == g.primary || !v.known || v.failures > 0 {
			continue
		}
		if s.now-v.reportedAt+v.status.PrimarySilence < primaryHeard {
			return true
		}
	}
	return false
}

// noteFailure records what a run's failure says about the server.
func (s *State) noteFailure(q *queue, r currantloom.WorkResult) {
	switch {
	case r.Err == nil:
	case r.Code == currantloom.CodeTooManyConnections && r.Verdict == currantloom.NotRun:
		q.connectionRefused(s.now)
	case r.Code == currantloom.CodeConnectionFailure:
		q.group.members[q.server].failures++
	}
}
