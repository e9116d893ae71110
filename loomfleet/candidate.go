package loomfleet

import "cmp"

// missingStatuses returns the replicas whose log positions still have to be reported. Removed upstreams are skipped,
// because their logs are gone too. It returns nil if the missing statuses are no more than maxMissingStatuses.
func (s *State) missingStatuses(f *failover) []*upstream {
	var missing []*upstream
	for _, u := range f.group.upstreams {
		if u.Name == f.oldPrimary || u.isRemoved(s) {
			continue
		}
		if _, ok := f.statuses[u.Name]; !ok {
			missing = append(missing, u)
		}
	}
	if len(missing) <= s.maxMissingStatuses(f.group) {
		return nil
	}
	return missing
}

// maxMissingStatuses is the number of replicas whose log positions need not be known, because with several synchronous
// replicas at least one of the others holds every acknowledged commit.
func (s *State) maxMissingStatuses(g *group) int { return max(0, s.service(g.name).SyncReplicas-1) }

// isRemoved reports whether the upstream's registration has been missing for longer than deletionGrace. Its log then
// counts as lost.
func (u *upstream) isRemoved(s *State) bool {
	return u.deletedAt > 0 && s.now-u.deletedAt > deletionGrace
}

// selectCandidate selects the upstream with the longest log and requests its promotion, if that log covers every
// acknowledged commit.
func (s *State) selectCandidate(f *failover) {
	var best *upstream
	for _, u := range f.group.upstreams {
		if _, ok := f.statuses[u.Name]; ok && (best == nil || s.compareCandidates(f, u, best) < 0) {
			best = u
		}
	}
	switch {
	case best == nil:
		f.retryAt = s.now + failoverRetryPause
		return
	case !f.statuses[best.Name].Received.Covers(f.group.ackedPosition) || best.Name == f.oldPrimary:
		s.handleNoCandidate(f, best)
		return
	}
	f.candidate = best.Name
	s.enterStep(f, stepPromote)
}

// handleNoCandidate promotes the old primary again if it has stepped down. Otherwise it ends a failover that is
// planned or was started because commits stalled, and retries any other.
func (s *State) handleNoCandidate(f *failover, best *upstream) {
	s.log(Decision{
		Event: "failover", Service: f.group.name, Upstream: best.Name, Position: f.group.ackedPosition,
		Age: s.now - f.startedAt, Reason: "no replica holds every acknowledged commit", Outcome: "waiting",
	})
	if _, steppedDown := f.statuses[f.oldPrimary]; steppedDown {
		f.candidate = f.oldPrimary
		s.enterStep(f, stepPromote)
		return
	}
	if f.reason == reasonCommitsStalled || f.planned {
		f.group.ignoreStallUntil = s.now + stallRetryPause
		s.endFailover(f, "no candidate")
		return
	}
	f.retryAt = s.now + failoverRetryPause
	clear(f.statuses)
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
		f.statuses[b.Name].Received.Compare(f.statuses[a.Name].Received),
		cmp.Compare(requested(b), requested(a)),
		cmp.Compare(terminating(a), terminating(b)),
		cmp.Compare(s.config.Location.Distance(a.Location), s.config.Location.Distance(b.Location)),
		cmp.Compare(a.Name, b.Name),
	)
}
