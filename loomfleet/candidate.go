package loomfleet

import (
	"cmp"
	"slices"
)

// promotionCase returns what the promotion of a candidate is judged against. Removed upstreams are left out, because
// their logs are gone too.
func (s *State) promotionCase(f *failover) promotionCase {
	c := promotionCase{
		now: s.now, acked: f.group.ackedPosition, maxMissing: s.maxMissingStatuses(f.group),
		mayAcknowledge:   !f.commits.isComplete(s.now),
		mayLackUpstreams: s.catalog.mayLackRegistrations(s.now), isOutnumbered: s.isOutnumbered(),
		unreported: s.unreportedCommits(f), samples: f.group.samples,
		longest: f.group.longestLog, minLogs: s.minKnownLogs(f.group),
	}
	for _, u := range f.group.upstreams {
		switch {
		case u.Name == f.oldPrimary:
			c.primary = u.Upstream
		case !u.isRemoved(s) || isHalted(f, u):
			c.others = append(c.others, u.Upstream)
		case u.isSilent(s):
			c.silent = append(c.silent, u.Upstream)
		}
	}
	return c
}

// isHalted reports whether the upstream has answered a pause of the failover, which shows that it is alive.
func isHalted(f *failover, u *upstream) bool {
	_, ok := f.proof.haltOf(u.Upstream)
	return ok
}

// maxMissingStatuses is the number of replicas whose log positions need not be known, because with several synchronous
// replicas at least one of the others holds every acknowledged commit. If a log was lost within logLossWindow, it may
// have been one of those, so all others have to be known.
func (s *State) maxMissingStatuses(g *group) int {
	if g.logLostAt > 0 && s.now-g.logLostAt <= logLossWindow {
		return 0
	}
	return max(0, s.service(g.name).SyncReplicas-1)
}

// isRemoved reports whether the upstream's registration has been missing for longer than deletionGrace, and no node
// reaches the upstream. Its log then counts as lost. Time in which the store is unavailable does not count, because
// upstreams cannot register again.
func (u *upstream) isRemoved(s *State) bool {
	return u.missingFor(s) > deletionGrace && !s.isReportedReachable(u)
}

// selectCandidate returns the first upstream in the order of preference whose promotion is shown to be safe. If there
// is none, it returns the replica with the longest log and what is missing for it. A primary that has stepped down is
// promoted again if no other upstream has its log.
func (s *State) selectCandidate(f *failover, c promotionCase) (*upstream, promotionBasis) {
	var candidates []*upstream
	for _, other := range c.others {
		if _, ok := f.proof.haltOf(other); ok {
			candidates = append(candidates, s.catalog.upstreams[other.Name])
		}
	}
	slices.SortFunc(candidates, func(a, b *upstream) int { return s.compareCandidates(f, a, b) })
	first, basis := (*upstream)(nil), basisNotHalted
	for i, u := range candidates {
		judged := f.proof.judge(c, u.Upstream)
		if judged.isSafe() {
			return u, judged
		}
		if i == 0 {
			first, basis = u, judged
		}
	}
	if old := f.group.find(f.oldPrimary); old != nil && basis != basisNewcomers {
		if judged := f.proof.judge(c, c.primary); judged.isSafe() {
			return old, judged
		}
	}
	return first, basis
}

// handleNoCandidate ends a failover that is planned or was started because commits stalled, and retries any other.
func (s *State) handleNoCandidate(f *failover, best *upstream) {
	s.log(Decision{
		Event: "failover", Service: f.group.name, Upstream: best.Name, Position: f.group.ackedPosition,
		Age: s.now - f.startedAt, Reason: "no replica holds every acknowledged commit", Outcome: "waiting",
	})
	if f.reason == reasonCommitsStalled || f.planned {
		f.group.ignoreStallUntil = s.now + stallRetryPause
		s.endFailover(f, "no candidate")
		return
	}
	f.retryAt = s.now + failoverRetryPause
	f.proof.restart(f.group.term)
}

// compareCandidates orders candidates: the longest log first, then the one that an earlier request may still promote,
// then upstreams that are not terminating, then the nearest to this node.
func (s *State) compareCandidates(f *failover, a, b *upstream) int {
	target := s.coordinator.promotionsOf(f.group.name).target(s.now, f.group.primary)
	requested := func(u *upstream) int {
		if u.Name == target {
			return 1
		}
		return 0
	}
	terminating := func(u *upstream) int {
		if u.isTerminating() {
			return 1
		}
		return 0
	}
	return cmp.Or(
		f.proof.halts[b.Name].log.compare(f.proof.halts[a.Name].log),
		cmp.Compare(requested(b), requested(a)),
		cmp.Compare(terminating(a), terminating(b)),
		cmp.Compare(s.config.Location.Distance(a.Location), s.config.Location.Distance(b.Location)),
		cmp.Compare(a.Name, b.Name),
	)
}
