package loomfleet

import (
	"cmp"
	"slices"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfair"
)

// queue holds the jobs that wait at a pool. Probes and failover calls come first; then statements of open transactions,
// because they hold a connection; then jobs with a lower priority number; then the oldest.
//
// The order is designed for overload, when for seconds more jobs arrive than the upstream can run. First come, first
// served would let every job wait until just after its latency target. Instead, jobs that can no longer meet their
// target run only when no other job can start. A job counts as late some time before its target, because under overload
// the queue starts jobs at the last moment at which they are not late, and only the average run time is known.
//
// Jobs of the same rank start in the order of their organisations' recent usage, so that an organisation that asks for
// more than its share delays only itself. Jobs of no organisation count as those of one.
type queue struct {
	waiting []*job
	// usage is the recent usage of the organisations.
	usage *loomfair.Usages
	// memory is the budget that waiting jobs hold a part of.
	memory *loomfair.Budget
}

func newQueue(memory *loomfair.Budget) queue {
	return queue{usage: loomfair.NewUsages(usageWindow), memory: memory}
}

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
	best, late := -1, -1
	for i, j := range q.waiting {
		if best >= 0 && jobRank(j) > jobRank(q.waiting[best]) {
			break
		}
		first := &best
		if j.isLate(now, run) {
			first = &late
		}
		if (*first < 0 || q.precedes(j, q.waiting[*first], now)) && canStart(j) {
			*first = i
		}
	}
	switch {
	case best >= 0:
		return q.take(best)
	case late >= 0:
		return q.take(late)
	default:
		return nil
	}
}

// precedes reports whether the job starts before another one that was queued earlier and is as late as it.
func (q *queue) precedes(j, earlier *job, now time.Duration) bool {
	if jobRank(j) < 0 || jobRank(j) != jobRank(earlier) {
		return false
	}
	return q.usage.Of(j.call.Organisation, now) < q.usage.Of(earlier.call.Organisation, now)
}

// countBefore counts the waiting jobs that start before a new one.
func (q *queue) countBefore(j *job, now, run time.Duration) int {
	count := 0
	for _, other := range q.waiting {
		if q.compare(other, j, now, run) <= 0 {
			count++
		}
	}
	return count
}

// inOrder returns the waiting jobs in the order in which they start.
func (q *queue) inOrder(now, run time.Duration) []*job {
	jobs := q.all()
	slices.SortStableFunc(jobs, func(a, b *job) int { return q.compare(a, b, now, run) })
	return jobs
}

// compare orders jobs by their start; jobs that it holds for equal start in the order of arrival.
func (q *queue) compare(a, b *job, now, run time.Duration) int {
	lateness := func(j *job) int {
		if j.isLate(now, run) {
			return 1
		}
		return 0
	}
	if c := cmp.Or(cmp.Compare(lateness(a), lateness(b)), cmp.Compare(jobRank(a), jobRank(b))); c != 0 {
		return c
	}
	if jobRank(a) < 0 {
		return 0
	}
	return cmp.Compare(q.usage.Of(a.call.Organisation, now), q.usage.Of(b.call.Organisation, now))
}

func (q *queue) take(i int) *job {
	j := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.release(j)
	return j
}

// release gives back the memory of a job that no longer waits.
func (q *queue) release(j *job) {
	if j.held > 0 {
		q.memory.Release(j.call.Organisation, j.held)
		j.held = 0
	}
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
	q.release(j)
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
