package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// maxQueuedSize bounds the size of the jobs that wait at this node, in bytes: the smallest VMs have 184 MB.
	maxQueuedSize = 8 << 20
	// jobOverhead is the size of a job without its texts, so that the bound on the size is one on the number as well.
	jobOverhead = 1 << 10
	// certainWaitPercent is the part of the expected wait that counts as certain, because run times change within
	// seconds.
	certainWaitPercent = 67
)

// expectedWaitOf is the expected time that a new job would spend in the queue. It counts only the jobs that start
// before it: counting all made an owner refuse urgent work because of less urgent work that waited.
func (p *pool) expectedWaitOf(s *State, j *job) time.Duration {
	return p.waitBehind(p.queue.countBefore(j, s.now, p.averageRunTime))
}

// startsTooLate reports whether a job with the expected wait certainly does not start within the time.
func startsTooLate(wait, within time.Duration) bool { return wait*certainWaitPercent/100 > within }

// waitBehind is the expected wait of a job behind a number of others. It is zero while a slot is free.
func (p *pool) waitBehind(others int) time.Duration {
	ahead := others + p.occupied() - p.slots() + 1
	if p.occupied() < p.slots() || ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * p.averageRunTime / time.Duration(p.slots())
}

// rejectUnservable rejects the queued jobs that can no longer start in time because of those before them. They are the
// least urgent ones, of the organisations furthest beyond their share. A job that will only miss its latency target
// stays queued, see docs/design/overload.md.
func (p *pool) rejectUnservable(s *State) {
	if p.occupied() < p.slots() {
		return
	}
	ahead := 0
	for _, j := range p.queue.inOrder(s.now, p.averageRunTime) {
		wait := p.waitBehind(ahead)
		if jobRank(j) < 0 || !startsTooLate(wait, j.startBy-s.now) {
			ahead++
			continue
		}
		p.queue.remove(j)
		s.rejectForWait(j, wait, "expected wait")
	}
}

// holdMemory reserves memory for a job that is about to wait. If its organisation's share is used up, less urgent jobs
// are rejected for it, the last in the order first. It reports false if the job itself has to be rejected.
func (p *pool) holdMemory(s *State, j *job) bool {
	if jobRank(j) < 0 {
		return true
	}
	budget, size := s.owner.memory, j.size()
	for !budget.Take(j.call.Organisation, size) {
		last := p.lastAfter(s, j)
		if last == nil {
			return false
		}
		p.queue.remove(last)
		s.rejectForWait(last, p.expectedWait(s.now), "memory")
	}
	j.held = size
	return true
}

// lastAfter returns the job that starts last of those that are less urgent than the new one; nil if there is none.
func (p *pool) lastAfter(s *State, j *job) *job {
	for _, other := range slices.Backward(p.queue.inOrder(s.now, p.averageRunTime)) {
		if jobRank(other) > jobRank(j) {
			return other
		}
	}
	return nil
}

// size is the memory that a waiting job needs, in bytes.
func (j *job) size() int {
	size := jobOverhead + len(j.call.Command.Text) + len(j.call.Command.Argument) + len(j.call.Prepared.Definition)
	for _, setting := range j.call.Settings {
		size += len(setting.Name) + len(setting.Value)
	}
	return size
}

// rejectForWait rejects a job that would have to wait for too long, and says when it is worth trying again.
func (s *State) rejectForWait(j *job, wait time.Duration, reason string) {
	j.pool.upstream.refusals.record(j.call.Organisation, wait, reason)
	s.finishJob(j, currantloom.CallResult{
		Verdict: currantloom.NotRun, Reason: currantloom.ReasonQueueWait, RetryAfter: wait,
	})
}

// holdRequestMemory reserves memory for a request until it is answered. Statements of open transactions are always
// accepted, because they hold a connection.
func (s *State) holdRequestMemory(r *request) bool {
	if r.purpose == purposeInTransaction || r.purpose == purposeCommit {
		return true
	}
	size := jobOverhead + len(r.statement.Text) + len(r.statement.Parameters)
	if !s.requests.memory.Take(r.organisation, size) {
		return false
	}
	r.held = size
	return true
}

// releaseMemory gives back the memory of a request that has ended.
func (s *State) releaseMemory(r *request) {
	if r.held > 0 {
		s.requests.memory.Release(r.organisation, r.held)
		r.held = 0
	}
}
