package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

// This file decides when unanswered commits raise the suspicion that a primary has lost its replicas.
//
// The load: a client sends a statement that the upstream answers by ending the connection, or leaves while its commit
// runs. Neither says anything about the primary, so only silence counts. A statement that the upstream never answers
// looks the same as lost replicas; replicationcheck.go tells them apart before anything is done.

const (
	// commitStallTimeout is how long commits may go unanswered, with none answered in between, before the replication of
	// the primary is checked.
	commitStallTimeout = 900*time.Millisecond - replicationCheckTimeout
	// minStalledCommits is the minimum number of unanswered commits for that.
	minStalledCommits = 2
	// stallMemory is how long an unanswered commit counts if no other one follows.
	stallMemory = 10 * time.Second
)

// commitStall counts the commits to which an upstream was silent, since it last answered one.
type commitStall struct {
	unanswered int
	// firstSentAt and lastSentAt are when the first and the last of them were sent.
	firstSentAt, lastSentAt time.Duration
}

// recordUnanswered records a commit that the upstream left unanswered.
func (c *commitStall) recordUnanswered(sentAt time.Duration) {
	if c.unanswered == 0 || sentAt-c.lastSentAt > stallMemory {
		c.unanswered, c.firstSentAt = 0, sentAt
	}
	c.unanswered++
	c.lastSentAt = max(c.lastSentAt, sentAt)
}

// recordAnswered records that the primary can commit.
func (c *commitStall) recordAnswered() { *c = commitStall{} }

// isStalled reports whether several commits were left unanswered lately, the first one commitStallTimeout ago.
func (c *commitStall) isStalled(now time.Duration) bool {
	return c.unanswered >= minStalledCommits && now-c.firstSentAt > commitStallTimeout && now-c.lastSentAt <= stallMemory
}

// recordCommitEnd records the end of a connection whose commit has no answer. Unless the commit timed out, it counts
// only if the upstream was silent for longer than a commit may take.
func (p *pool) recordCommitEnd(now time.Duration, j *job, reason currantloom.CallFailureReason) {
	if reason == currantloom.ReasonTimeout || now-j.startedAt >= p.doubtfulAfter() {
		p.stall.recordUnanswered(j.startedAt)
	}
}

// doubtfulAfter is how long a commit may go unanswered before the next ones are held back.
func (p *pool) doubtfulAfter() time.Duration { return max(minDoubtfulTime, p.overdueAfter()) }
