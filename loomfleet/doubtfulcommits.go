package loomfleet

import "time"

// This file decides how many commits run at a primary whose last commits got no answer.
//
// The load: a primary is cut off from its replicas while many users write. Each commit then waits for a replica and
// keeps a slot, so after a moment no slot is left for reads, and every write that was sent is in doubt. Therefore only
// so many commits run as show whether the primary can commit. The others wait, and can still be refused or run at the
// next primary.

// minDoubtfulTime is the least time after which an unanswered commit is doubtful: with replicas in another region a
// commit takes a round trip of 60 ms.
const minDoubtfulTime = 150 * time.Millisecond

// commits reports whether the job commits writes, for which the primary needs a replica.
func (j *job) commits() bool { return j.isAutocommitWrite() || j.call.Command.Commits }

// mayCommit reports whether another commit may start.
func (p *pool) mayCommit(s *State) bool {
	if !s.isEnabled(MechanismDoubtfulCommits) {
		return true
	}
	running, doubtful := 0, p.stall.unanswered > 0
	for _, cn := range p.conns {
		if j := cn.job; j != nil && j.sent && j.commits() {
			running++
			overdue := s.now-j.startedAt > p.doubtfulAfter()
			doubtful = doubtful || overdue && p.newestCommit < j.startedAt
		}
	}
	return !doubtful || running < max(1, min(minStalledCommits, p.slots()-1))
}
