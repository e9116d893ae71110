package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// queue holds the jobs that wait at a pool. Probes and failover calls come first; then statements of open transactions,
// because they hold a connection; then jobs with a lower priority number; then the oldest.
//
// The order is designed for overload, when for seconds more jobs arrive than the upstream can run. First come, first
// served would let every job wait until just after its latency target. Instead, jobs that can no longer meet their
// target run only when no other job can start. A job counts as late some time before its target, because under overload
// the queue starts jobs at the last moment at which they are not late, and only the average run time is known.
type queue struct{ waiting []*job }

func (q *queue) len() int { return len(q.waiting) }

// all returns a copy of the waiting jobs, so the caller may change the queue while iterating.
func (q *queue) all() []*job { return slices.Clone(q.waiting) }

// add inserts a job behind the jobs of the same rank.
func (q *queue) add(j *job) {
	at := len(q.waiting)
	for at > 0 && jobRank(j) < jobRank(q.waiting[at-1]) {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, j)
}

// jobRank is the rank of a job; the lowest starts first.
func jobRank(j *job) int {
	switch {
	case j.call.Mode >= currantloom.CallVerifyPrimary:
		return -2
	case j.conn != nil:
		return -1
	default:
		return j.call.Priority
	}
}

// isLate reports whether the job is expected to miss its latency target, given the expected run time.
func (j *job) isLate(now, run time.Duration) bool {
	return jobRank(j) >= 0 && now+run > j.latestFinish()
}

const (
	// The latency budget divided by statementReserveDivisor, or by transactionReserveDivisor for a call that opens a
	// transaction, is reserved for a longer run and the way back and, in a transaction, for its other statements.
	statementReserveDivisor, transactionReserveDivisor = 4, 2
)

// latestFinish is when the job has to finish, by the expected run time, to meet its latency target with the reserve
// left.
func (j *job) latestFinish() time.Duration {
	reserve := j.call.LatencyBudget / statementReserveDivisor
	if opensTransaction(j.call.Mode) {
		reserve = j.call.LatencyBudget / transactionReserveDivisor
	}
	return j.latencyTargetAt - reserve
}

// next removes and returns the first job that can start. A late job is returned only if no other can start.
func (q *queue) next(now, run time.Duration, canStart func(*job) bool) *job {
	late := -1
	for i, j := range q.waiting {
		if j.isLate(now, run) {
			if late < 0 && canStart(j) {
				late = i
			}
			continue
		}
		if canStart(j) {
			return q.take(i)
		}
	}
	if late >= 0 {
		return q.take(late)
	}
	return nil
}

func (q *queue) take(i int) *job {
	j := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return j
}

// countInTime counts the jobs that are not late.
func (q *queue) countInTime(now, run time.Duration) int {
	count := 0
	for _, j := range q.waiting {
		if !j.isLate(now, run) {
			count++
		}
	}
	return count
}

func (q *queue) remove(j *job) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *job) bool { return other == j })
}

// countUnpinned counts the jobs that need a connection.
func (q *queue) countUnpinned() int {
	count := 0
	for _, j := range q.waiting {
		if j.conn == nil {
			count++
		}
	}
	return count
}
