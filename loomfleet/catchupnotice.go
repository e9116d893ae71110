package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// This file decides which nodes are told of the positions of replicas that are behind.
//
// The load: many nodes send reads to one service whose replicas are behind. If each found out by itself how far the
// replicas have come, most reads would be sent in vain. Therefore the owner of a replica tells the owner of the primary
// whenever the replica has advanced, and that owner tells the nodes whose waiting reads the replica can serve now.
// Answers of the owners carry the positions as well.

// laggingReportTime is how long the position of a replica is still passed on after it was behind, so that all nodes
// learn that it has caught up.
const laggingReportTime = time.Second

// laggingIn returns the positions of the replicas of the group that are behind or were lately.
func (s *State) laggingIn(g *group) []currantloom.UpstreamPosition {
	var positions []currantloom.UpstreamPosition
	for _, u := range g.upstreams {
		if s.isReported(u) {
			positions = append(positions, s.reportPosition(u))
		}
	}
	return positions
}

// isReported reports whether the position of the upstream is passed on: it is a replica that is behind or was lately.
func (s *State) isReported(u *upstream) bool {
	if u.group.lags(u) {
		u.laggedAt = max(s.now, 1)
	}
	known := !u.position.IsZero() && s.now-u.positionAt <= positionTTL
	return known && u.laggedAt > 0 && s.now-u.laggedAt <= laggingReportTime
}

func (s *State) reportPosition(u *upstream) currantloom.UpstreamPosition {
	return currantloom.UpstreamPosition{Upstream: u.Name, Position: u.position, Age: s.now - u.positionAt}
}

// observePositions records the positions of upstreams that another node reports.
func (s *State) observePositions(reported []currantloom.UpstreamPosition) {
	for _, p := range reported {
		if u, ok := s.catalog.upstreams[p.Upstream]; ok {
			u.observePosition(p.Position, s.now-max(0, p.Age))
		}
	}
}

// notifyCatchUp tells other nodes that replicas have advanced: for the pool of a replica the owner of the primary, for
// that of the primary the nodes whose queued reads a replica has come to cover.
func (p *pool) notifyCatchUp(s *State) {
	switch u := p.upstream; {
	case !s.isEnabled(MechanismCatchUp):
	case u.Name == u.group.primary:
		p.notifyWaitingReads(s)
	case s.isReported(u) && u.position.Compare(p.announced) > 0:
		p.announced = u.position
		p.notifyPrimaryOwner(s)
	}
}

// notifyPrimaryOwner tells the owner of the primary the position of this pool's replica.
func (p *pool) notifyPrimaryOwner(s *State) {
	primary := p.upstream.group.find(p.upstream.group.primary)
	if primary == nil {
		return
	}
	if vm, ok := s.currentOwner(primary); ok && vm != s.config.Self {
		s.emit(Send{VM: s.vmOf(vm), Message: currantloom.ReplicaPositions{
			Positions: []currantloom.UpstreamPosition{s.reportPosition(p.upstream)},
		}})
	}
}

// notifyWaitingReads tells the nodes whose queued reads a replica has come to cover since the last notice.
func (p *pool) notifyWaitingReads(s *State) {
	for _, u := range p.upstream.group.upstreams {
		if u == p.upstream || u.position.Compare(u.announced) <= 0 || !s.isReported(u) {
			continue
		}
		for _, link := range p.linksWithReadsBetween(u.announced, u.position) {
			s.emit(Respond{Link: link, Message: currantloom.ReplicaPositions{
				Positions: []currantloom.UpstreamPosition{s.reportPosition(u)},
			}})
		}
		u.announced = u.position
	}
}

// linksWithReadsBetween returns the links over which reads came that wait in the queue and must see a position after
// the first and at most the second.
func (p *pool) linksWithReadsBetween(after, upTo currantloom.LogPosition) []LinkID {
	var links []LinkID
	for _, j := range p.queue.waiting {
		if j.link == 0 || j.required.position.IsZero() || j.required.position.Compare(after) <= 0 ||
			!upTo.Covers(j.required.position) {
			continue
		}
		if !slices.Contains(links, j.link) {
			links = append(links, j.link)
		}
	}
	return links
}
