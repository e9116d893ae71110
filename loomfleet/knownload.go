package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

// maxReportedTime and maxReportedJobs bound what a report can say, so that a wrong one cannot overflow a cost.
const (
	maxReportedTime = time.Minute
	maxReportedJobs = 100_000
)

// knownLoad is what an entry node knows of the load of an upstream: the last report of its owner, and the node's own
// calls.
type knownLoad struct {
	currantloom.UpstreamLoad
	// owner is the VM whose report this is; empty before the first report. at is when the report arrived or, if it may
	// have waited for this node, the earliest time at which it was made.
	owner currantloom.VMName
	at    time.Duration
	wait  time.Duration
	// pending is the number of unanswered calls of this node, sentSince that of the calls since the report.
	pending, sentSince int
	// unansweredSince is since when the upstream's owner has not answered although it had a call of this node.
	unansweredSince time.Duration
}

// recordSent records a call of this node to the upstream.
func (k *knownLoad) recordSent(now time.Duration) {
	if k.pending == 0 {
		k.unansweredSince = now
	}
	k.pending++
	k.sentSince++
}

// recordEnded records the end of a call of this node, with or without an answer.
func (k *knownLoad) recordEnded() { k.pending = max(0, k.pending-1) }

// recordReport records a report of the upstream's owner, unless a newer one is known. Run times that the report does
// not have are kept.
func (k *knownLoad) recordReport(
	owner currantloom.VMName, wait time.Duration, l currantloom.UpstreamLoad, at time.Duration,
) {
	if k.owner != owner {
		k.UpstreamLoad, k.owner, k.at = currantloom.UpstreamLoad{}, owner, 0
	}
	if at < k.at {
		return
	}
	for kind, known := range k.RunTimes {
		if l.RunTimes[kind] <= 0 {
			l.RunTimes[kind] = known
		}
		l.RunTimes[kind] = min(l.RunTimes[kind], maxReportedTime)
	}
	l.Jobs = min(max(0, l.Jobs), maxReportedJobs)
	l.FailurePercent, l.LostPercent = min(max(0, l.FailurePercent), 100), min(max(0, l.LostPercent), 100)
	k.UpstreamLoad, k.at, k.wait, k.sentSince = l, at, min(max(0, wait), maxReportedTime), 0
}

// recordCallLoad records the end of a call and the load that its answer reports.
func (s *State) recordCallLoad(c *call, result currantloom.CallResult) {
	k := &c.upstream.load
	k.recordEnded()
	if result.Reason == currantloom.ReasonLinkFailed || s.now >= c.timeoutAt {
		return
	}
	k.unansweredSince = s.now
	if reportsLoad(result.Reason) {
		k.recordReport(c.vm, result.QueueWait, result.Load, s.reportTime(c.sentAt))
	}
}

// reportsLoad reports whether an answer with the reason carries the load of the upstream. An owner that does not take a
// call into its queue reports none.
func reportsLoad(r currantloom.CallFailureReason) bool {
	switch r {
	case currantloom.ReasonUnknownUpstream, currantloom.ReasonShuttingDown, currantloom.ReasonNoSample,
		currantloom.ReasonNoTransaction:
		return false
	default:
		return true
	}
}

// recordPongLoad records the load that a pong reports, if its sender is the VM that this node calls for the upstream.
// Other VMs may still use the upstream, but know only their own queue.
func (s *State) recordPongLoad(
	u *upstream, from currantloom.VMName, r currantloom.UpstreamHealth, askedAt time.Duration,
) {
	if owner, ok := s.currentOwner(u); ok && owner == from {
		u.load.recordReport(from, r.QueueWait, r.Load, s.reportTime(askedAt))
	}
}

// reportTime returns the time to which the report in an answer belongs. If this process was paused since the question,
// the answer may have waited for it, so it counts as no newer than the question.
func (s *State) reportTime(askedAt time.Duration) time.Duration {
	if askedAt < s.resumedAt {
		return askedAt
	}
	return s.now
}

// currentOwner returns the first VM that may get calls for the upstream. Unlike ownerOf it pings no VM.
func (s *State) currentOwner(u *upstream) (currantloom.VMName, bool) {
	for _, vm := range s.ownerCandidates(u) {
		if u.avoidOwnerUntil[vm] <= s.now && s.acceptsCalls(vm) {
			return vm, true
		}
	}
	return "", false
}
