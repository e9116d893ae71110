package loomfleet

import "cmp"

// missingStatuses returns the replicas whose logs are not known. Those that are gone took theirs with them. With more
// synchronous replicas, fewer reports are enough.
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

// maxMissingStatuses is the number of replicas whose logs need not be known, because others hold what they acknowledged.
func (s *State) maxMissingStatuses(g *group) int { return max(0, s.service(g.name).SyncReplicas-1) }

// isRemoved reports whether the upstream counts as gone together with its log.
func (u *upstream) isRemoved(s *State) bool {
	return u.deletedAt > 0 && s.now-u.deletedAt > deletionGrace
}

// selectCandidate picks the server with the longest log, which holds every acknowledged commit.
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
	if s.hasPendingPromotion(f.group) && s.coordinator.pendingPromotions[f.group.name].upstream != best.Name {
		// Only a new fence keeps the earlier order from taking effect after this one.
		s.enterStep(f, stepFence)
		f.retryAt = s.now + failoverRetryPause
		return
	}
	f.candidate = best.Name
	s.enterStep(f, stepPromote)
}

// handleNoCandidate leaves the primary in place if it still works, and otherwise waits for a server that holds every
// acknowledged commit.
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

// compareCandidates orders candidates: the longest log first, then those that stay, then the nearest to this node.
func (s *State) compareCandidates(f *failover, a, b *upstream) int {
	leaving := func(u *upstream) int {
		if u.isTerminating() {
			return 1
		}
		return 0
	}
	return cmp.Or(
		f.statuses[b.Name].Received.Compare(f.statuses[a.Name].Received),
		cmp.Compare(leaving(a), leaving(b)),
		cmp.Compare(s.config.Location.Distance(a.Location), s.config.Location.Distance(b.Location)),
		cmp.Compare(a.Name, b.Name),
	)
}
