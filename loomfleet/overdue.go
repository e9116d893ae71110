package loomfleet

import "time"

// This file decides which running jobs no longer occupy a slot.
//
// The load: an upstream runs statements whose answers are lost. Each such job would take one of its few slots until it
// times out, many run times later, and the queue would grow although the upstream has free slots.

const (
	// overdueRuns is how many average run times a job runs before its answer may count as lost, minOverdueTime is the
	// least time.
	overdueRuns    = 5
	minOverdueTime = 100 * time.Millisecond
	// lostReadTimeout is how long a read runs that is overdue, before it is given up so that it can run again.
	lostReadTimeout = 250 * time.Millisecond
)

// countOverdue counts the running jobs whose answer is probably lost, because they run for much longer than others. The
// upstream has run a job that started when they were overdue already, so it has a free slot, or it has at least
// answered a later command. Of the second kind at most as many as the upstream has slots count, because it may still
// run them.
func (p *pool) countOverdue(now time.Duration) int {
	limit := p.overdueAfter()
	lost, silent := 0, 0
	for _, cn := range p.conns {
		j := cn.job
		switch {
		case j == nil || !j.countsAsRunning || now-j.startedAt <= limit:
		case p.newestRun > j.startedAt+limit:
			lost++
		case p.newestAnswered > j.startedAt:
			silent++
		}
	}
	return lost + min(silent, p.slots())
}

// overdueAfter is how long a job runs before its answer may count as lost.
func (p *pool) overdueAfter() time.Duration { return max(minOverdueTime, overdueRuns*p.averageRunTime) }

// isLostRead reports whether the job is a read that can run again now, because its answer is lost.
func (p *pool) isLostRead(s *State, j *job) bool {
	running := s.now - j.startedAt
	return s.isEnabled(MechanismOverdueJobs) && j.isPlainRead() && running > max(lostReadTimeout, p.overdueAfter()) &&
		p.newestRun > j.startedAt+p.overdueAfter()
}

// occupied is the number of slots that this node's jobs occupy.
func (p *pool) occupied() int { return max(0, p.running-p.overdue) }

// maxRunning is the number of jobs that may run at the upstream at a time.
func (p *pool) maxRunning() int { return p.slots() + extraJobs + p.overdue }
