package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// queue holds the work that waits at a pool. Statements of open transactions come first, because they hold a
// connection, then the work with the lower priority number, then what came first.
//
// The load that it answers is a crest: for seconds more work arrives than the upstream can run. First come, first
// served would then let everybody wait until just after the latency that the operators want. Instead, work that can no
// longer meet it steps behind the work that can, and runs when there is time for it. What starts has a reserve left,
// because the queue hands work out at the last moment that counts as in time, and only the average run is known.
type queue struct{ waiting []*job }

func (q *queue) len() int { return len(q.waiting) }

// all returns the waiting work; the queue may change while the caller walks through it.
func (q *queue) all() []*job { return slices.Clone(q.waiting) }

// add puts work behind the work of its rank.
func (q *queue) add(j *job) {
	at := len(q.waiting)
	for at > 0 && jobRank(j) < jobRank(q.waiting[at-1]) {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, j)
}

// jobRank orders work; the lowest starts first.
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

// isLate reports whether the work cannot end within the wanted latency any more, with the expected time of a run.
func (j *job) isLate(now, run time.Duration) bool {
	return jobRank(j) >= 0 && now+run > j.latestFinish()
}

const (
	// statementReserve and transactionReserve are the parts of the wanted latency, one in so many, that are left for a
	// long run and the way back, and for the other statements of a transaction.
	statementReserve, transactionReserve = 4, 2
)

// latestFinish is when the work has to be about to end for the answer to arrive within the wanted latency.
func (j *job) latestFinish() time.Duration {
	reserve := j.call.LatencyBudget / statementReserve
	if opensTransaction(j.call.Mode) {
		reserve = j.call.LatencyBudget / transactionReserve
	}
	return j.latencyTargetAt - reserve
}

// next takes the first work out of the queue that can start, late work only if nothing else can.
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

// countInTime counts the work that is not late.
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

// countUnpinned counts the work that needs a connection.
func (q *queue) countUnpinned() int {
	count := 0
	for _, j := range q.waiting {
		if j.conn == nil {
			count++
		}
	}
	return count
}
