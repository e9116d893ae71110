package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// maxHeldTime bounds how long a successful commit waits until it may be acknowledged: a change of primary takes 2 to
// 3 s.
const maxHeldTime = maxRequestWait

// heldCommit is a commit that the primary has answered with success while this node had no commit lease. It is
// acknowledged once the node holds a lease again and the commit is shown to be in the primary's log.
type heldCommit struct {
	job    *job
	reply  currantloom.Reply
	heldAt time.Duration
	// inLog says that the log with which the next primary was promoted has the commit.
	inLog bool
}

// leaderProof is the newest proof of who leads: the upstream acted as primary of the term after the given time.
type leaderProof struct {
	upstream currantloom.UpstreamName
	term     currantloom.Term
	at       time.Duration
}

func (l *leaderProof) observe(name currantloom.UpstreamName, term currantloom.Term, at time.Duration) {
	switch {
	case term > l.term:
		*l = leaderProof{upstream: name, term: term, at: at}
	case term == l.term && name == l.upstream:
		l.at = max(l.at, at)
	}
}

// finishCommit acknowledges a successful commit, or holds it until that is allowed.
func (s *State) finishCommit(j *job, reply currantloom.Reply) {
	g := j.pool.upstream.group
	if g.lease.covers(s.now, j.startedAt) {
		s.acknowledge(j, reply)
		return
	}
	g.held = append(g.held, &heldCommit{job: j, reply: reply, heldAt: s.now})
	s.logCommit(j, reply, 0, "no lease", "held")
}

func (s *State) acknowledge(j *job, reply currantloom.Reply) {
	j.pool.upstream.group.recordAcked(reply.Position)
	s.finishJob(j, currantloom.CallResult{Verdict: currantloom.Ran, Reply: reply})
}

func (s *State) logCommit(j *job, reply currantloom.Reply, waited time.Duration, reason, outcome string) {
	s.log(Decision{
		Event: "commit", Request: j.call.Command.ID, Service: j.call.Service, Upstream: j.call.Upstream,
		Position: reply.Position, Age: waited, Reason: reason, Outcome: outcome,
	})
}

// settleHeldCommits acknowledges the held commits of a group that may be acknowledged now.
func (s *State) settleHeldCommits(g *group) {
	s.endHeldCommits(g, func(h *heldCommit) bool {
		if !g.mayAcknowledge(h, s.now) {
			return false
		}
		s.logCommit(h.job, h.reply, s.now-h.heldAt, "lease", "acknowledged")
		s.acknowledge(h.job, h.reply)
		return true
	})
}

// mayAcknowledge reports whether this node holds a lease, and the commit is in the log of the primary: the next one was
// promoted with it, or its own primary was proven to lead the same term since the node got the lease.
func (g *group) mayAcknowledge(h *heldCommit, now time.Duration) bool {
	if !g.lease.isHeld(now) {
		return false
	}
	stillLeads := g.leader.upstream == h.job.call.Upstream && g.leader.term == h.reply.Position.Term() &&
		g.leader.at >= g.lease.since
	return h.inLog || stillLeads || g.lease.covers(now, h.job.startedAt)
}

// recordPromotedLog records the log with which the primary of a term was promoted. What an earlier primary committed
// and this log lacks may be lost.
func (s *State) recordPromotedLog(g *group, term currantloom.Term, log currantloom.LogPosition) {
	s.endHeldCommits(g, func(h *heldCommit) bool {
		position := h.reply.Position
		switch {
		case position.Term() >= term:
			return false
		case position.Term() == log.Term() && log.Covers(position):
			h.inLog = true
			return false
		}
		s.failHeldCommit(h, "primary changed")
		return true
	})
	s.settleHeldCommits(g)
}

// failHeldCommit reports that a commit may have taken effect.
func (s *State) failHeldCommit(h *heldCommit, reason string) {
	s.logCommit(h.job, h.reply, s.now-h.heldAt, reason, "in_doubt")
	s.finishJob(h.job, currantloom.CallResult{Verdict: currantloom.MayHaveRun, Reason: currantloom.ReasonNoLease})
}

// endHeldCommits calls end for each held commit, and forgets those that it has ended.
func (s *State) endHeldCommits(g *group, end func(*heldCommit) bool) {
	held := g.held
	g.held = nil
	g.held = append(slices.DeleteFunc(held, end), g.held...)
}

// tickHeldCommits settles held commits, and those that have waited for too long.
func (s *State) tickHeldCommits() {
	for _, g := range s.catalog.sortedGroups {
		if len(g.held) > 0 {
			s.settleHeldCommits(g)
			s.endHeldCommits(g, func(h *heldCommit) bool {
				if s.now-h.heldAt < maxHeldTime {
					return false
				}
				s.failHeldCommit(h, "no lease")
				return true
			})
		}
		s.answerBlock(g)
	}
}
