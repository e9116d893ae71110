package loomfleet

import "cmp"

// missingReports returns the replicas whose logs are not known. Those that are gone took theirs with them. With more
// synchronous replicas, fewer reports are enough.
func (s *State) missingReports(f *failover) []*upstream {
	var missing []*upstream
	for _, u := range f.group.upstreams {
		if u.Name == f.old || u.isLost(s) {
			continue
		}
		if _, ok := f.reports[u.Name]; !ok {
			missing = append(missing, u)
		}
	}
	if len(missing) <= s.spareReports(f.group) {
		return nil
	}
	return missing
}

// spareReports is the number of replicas whose logs need not be known, because others hold what they acknowledged.
func (s *State) spareReports(g *group) int { return max(0, s.service(g.name).SyncReplicas-1) }

// isLost reports whether the upstream counts as gone together with its log.
func (u *upstream) isLost(s *State) bool { return u.goneAt > 0 && s.now-u.goneAt > lapseGrace }

// chooseNext picks the server with the longest log, which holds every acknowledged commit.
func (s *State) chooseNext(f *failover) {
	var best *upstream
	for _, u := range f.group.upstreams {
		if _, ok := f.reports[u.Name]; ok && (best == nil || s.compareCandidates(f, u, best) < 0) {
			best = u
		}
	}
	switch {
	case best == nil:
		f.retryAt = s.now + retryPause
		return
	case !f.reports[best.Name].Received.Covers(f.group.acked) || best.Name == f.old:
		s.noCandidate(f, best)
		return
	}
	if s.hasOpenOrder(f.group) && s.duty.open[f.group.name].upstream != best.Name {
		// Only a new fence keeps the earlier order from taking effect after this one.
		s.enter(f, stepFence)
		f.retryAt = s.now + retryPause
		return
	}
	f.candidate = best.Name
	s.enter(f, stepOrder)
}

// noCandidate leaves the primary in place if it still works, and otherwise waits for a server that holds every
// acknowledged commit.
func (s *State) noCandidate(f *failover, best *upstream) {
	s.log(Decision{
		Event: "failover", Service: f.group.name, Upstream: best.Name, Position: f.group.acked,
		Age: s.now - f.began, Reason: "no replica holds every acknowledged commit", Outcome: "waiting",
	})
	if _, steppedDown := f.reports[f.old]; steppedDown {
		f.candidate = f.old
		s.enter(f, stepOrder)
		return
	}
	if f.reason == reasonStuck || f.planned {
		f.group.stuckUntil = s.now + stuckPause
		s.endFailover(f, "no candidate")
		return
	}
	f.retryAt = s.now + retryPause
	clear(f.reports)
}

// compareCandidates orders candidates: the longest log first, then those that stay, then the nearest to this node.
func (s *State) compareCandidates(f *failover, a, b *upstream) int {
	leaving := func(u *upstream) int {
		if u.isLeaving() {
			return 1
		}
		return 0
	}
	return cmp.Or(
		f.reports[b.Name].Received.Compare(f.reports[a.Name].Received),
		cmp.Compare(leaving(a), leaving(b)),
		cmp.Compare(s.config.Location.Distance(a.Location), s.config.Location.Distance(b.Location)),
		cmp.Compare(a.Name, b.Name),
	)
}
