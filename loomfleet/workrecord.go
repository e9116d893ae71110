package loomfleet

import (
	"math"
	"time"

	"currantloom.example/currantloom"
)

const (
	// workMemory is the time constant with which results of work are forgotten: long enough for the 13 results a second
	// of a probed upstream to tell a share of failures, short enough for an upstream that recovers to return in seconds.
	workMemory = 2 * time.Second
	// priorSuccesses is the number of successes that are assumed beside the observed results, so that one failure of an
	// upstream with little work does not count as its share.
	priorSuccesses = 4
	// runTimeWeight is the weight of a new run time in the moving average.
	runTimeWeight = 1.0 / 16
)

// workRecord is what the owner of an upstream has learnt from the results of its work there.
type workRecord struct {
	runTimes  [currantloom.WorkKinds]time.Duration
	updatedAt [currantloom.WorkKinds]time.Duration
	// succeeded, failed and lost count results, decayed up to decayedAt.
	succeeded, failed, lost float64
	decayedAt               time.Duration
}

// recordWork records the result of a job. Results that say nothing about the upstream, such as a full queue, and those
// of a time in which this process was paused are left out.
func (s *State) recordWork(j *job, result currantloom.CallResult) {
	if j.call.Mode >= currantloom.CallVerifyPrimary || s.resumedAt > 0 && j.arrivedAt <= s.resumedAt {
		return
	}
	w := &j.pool.work
	w.decay(s.now)
	kind := j.call.WorkKind()
	switch {
	case result.Verdict == currantloom.Ran && result.Reply.Code == currantloom.ReplyOK:
		w.succeeded++
		w.recordRunTime(kind, s.now-j.startedAt, s.now)
	case isLost(result):
		w.lost++
	case isUpstreamError(kind, result):
		w.failed++
	}
}

// recordRunTime updates the average. After a time without work a new run time weighs more, so that a few probes show
// that the upstream has changed.
func (w *workRecord) recordRunTime(kind currantloom.WorkKind, took, now time.Duration) {
	weight := max(runTimeWeight, 1-math.Exp(-float64(now-w.updatedAt[kind])/float64(workMemory)))
	if w.runTimes[kind] == 0 {
		weight = 1
	}
	w.runTimes[kind] = max(1, w.runTimes[kind]+time.Duration(weight*float64(took-w.runTimes[kind])))
	w.updatedAt[kind] = now
}

// isLost reports whether the upstream did not answer in time.
func isLost(result currantloom.CallResult) bool {
	switch result.Reason {
	case currantloom.ReasonTimeout:
		return true
	default:
		return result.Reply.Code == currantloom.ReplyTimeout
	}
}

// isUpstreamError reports whether the upstream failed at once. Errors of writes and commits are left out: they may be
// the client's, and only the primary gets any.
func isUpstreamError(kind currantloom.WorkKind, result currantloom.CallResult) bool {
	switch result.Reason {
	case currantloom.ReasonUnreachable, currantloom.ReasonConnectionLost:
		return true
	case currantloom.ReasonNone, currantloom.ReasonRefused:
	default:
		return false
	}
	if result.Reply.Oversized {
		return false
	}
	switch result.Reply.Code {
	case currantloom.ReplyBusy:
		return true
	case currantloom.ReplyFailed, currantloom.ReplyOther:
		return kind == currantloom.WorkRead || kind == currantloom.WorkOpening
	default:
		return false
	}
}

func (w *workRecord) decay(now time.Duration) {
	keep := math.Exp(-float64(now-w.decayedAt) / float64(workMemory))
	w.succeeded, w.failed, w.lost, w.decayedAt = w.succeeded*keep, w.failed*keep, w.lost*keep, now
}

// percent returns the part of the recent results as a percentage.
func (w *workRecord) percent(part float64) int {
	return int(100 * part / (w.succeeded + w.failed + w.lost + priorSuccesses))
}

// load returns the load of the upstream and the results of its work.
func (p *pool) load() currantloom.UpstreamLoad {
	return currantloom.UpstreamLoad{
		Jobs: p.queue.len() + p.running, RunTimes: p.work.runTimes, FailurePercent: p.work.percent(p.work.failed),
		LostPercent: p.work.percent(p.work.lost),
	}
}
