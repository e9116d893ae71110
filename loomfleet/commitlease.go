package loomfleet

import "time"

// This file holds the rule that lets a change of primary rely on what clients were told.
//
// A node acknowledges a commit only under a commit lease, which it gets from the holder of the failover lease with
// the answer to a ping. The holder requests a promotion only once every node to which it may have given a lease has
// confirmed that it acknowledges no more, or the lease has run out, and it gives none until the change is over. So a
// promotion loses nothing if the candidate's log covers every commit that was acknowledged before, whatever upstreams
// start, return or receive meanwhile. The lease is counted from the time of asking, by a clock that includes
// suspensions of the VM: a node that was frozen, or is cut off, has none.

// commitLeaseDuration is the time to live of a commit lease. A failover waits for that long if a node is silent; for
// the rest of the time until a dead holder is replaced, commits are not acknowledged.
const commitLeaseDuration = 1200 * time.Millisecond

// commitLease is the permission of a node to acknowledge the commits of a service. The zero value is no permission.
type commitLease struct {
	// since is the start of the time for which the lease has been held without a gap, until is its end.
	since, until time.Duration
	// blockedAt is when the holder of the failover lease last blocked commits, blocked that no new one may start.
	blockedAt time.Duration
	blocked   bool
}

// renew extends the lease to a time by an answer of the holder of the failover lease to a question that was sent at
// askedAt. An answer to an earlier question than the last blocking does not count. It reports whether commits may start
// again.
func (l *commitLease) renew(now, askedAt, until time.Duration) bool {
	if l.blockedAt > 0 && askedAt <= l.blockedAt || until <= now {
		return false
	}
	before := l.mayStart(now)
	if !l.isHeld(now) {
		l.since = askedAt
	}
	l.until, l.blocked = max(l.until, until), false
	return !before
}

// isHeld reports whether commits may be acknowledged.
func (l *commitLease) isHeld(now time.Duration) bool { return now < l.until }

// mayStart reports whether commits may be sent to the primary.
func (l *commitLease) mayStart(now time.Duration) bool { return l.isHeld(now) && !l.blocked }

// covers reports whether a commit that was sent at a time may be acknowledged now. During a gap in the lease the
// primary may have been replaced, so a commit from before it needs more evidence.
func (l *commitLease) covers(now, sentAt time.Duration) bool {
	return l.isHeld(now) && sentAt >= l.since
}

// block lets no further commit start.
func (l *commitLease) block(now time.Duration) { l.blockedAt, l.blocked = max(now, 1), true }

// revoke ends the lease.
func (l *commitLease) revoke() { l.until = 0 }
