package loomfleet

import (
	"maps"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// voidSettleTime is how long a promotion that the platform carried out just before it was voided may take to show.
	voidSettleTime = 2 * time.Second
	// lateRequestTime is how long a request of an earlier holder of the failover lease may take to be carried out.
	lateRequestTime = 15 * time.Second
)

// promotionRequest is a request to the platform to promote an upstream.
type promotionRequest struct {
	id       uint64
	upstream currantloom.UpstreamName
	fence    currantloom.Fence
}

// promotions records the requests for promotion of a service that may still take effect. A request without an answer
// may be carried out seconds later, and then makes an upstream the primary that lacks the commits acknowledged since.
// Until it cannot any more, every acknowledged commit must be in the log of its upstream, so the replicas stay paused.
type promotions struct {
	// inFlight is the request whose answer is still expected, unanswered the last one that got none, accepted the last one
	// that the platform has accepted; it refuses every lower fence from then on. Each is zero if there is none.
	inFlight, unanswered, accepted promotionRequest
	acceptedAt                     time.Duration
	// announced is the upstream whose promotion a holder of the failover lease, this node or another, announced last;
	// empty if it is known that no request for it can take effect any more.
	announced   currantloom.UpstreamName
	announcedAt time.Duration
	// clearedAt is when that last became known.
	clearedAt time.Duration
}

func (c *coordinator) promotionsOf(service currantloom.ServiceName) *promotions {
	p, ok := c.promotions[service]
	if !ok {
		p = &promotions{}
		c.promotions[service] = p
	}
	return p
}

func (p *promotions) recordAnnounced(now time.Duration, upstream currantloom.UpstreamName) {
	if upstream != "" {
		p.announced, p.announcedAt = upstream, now
	}
}

// clearAnnounced records that no request for the announced promotion can take effect any more.
func (p *promotions) clearAnnounced(now time.Duration) { p.announced, p.clearedAt = "", now }

// isUnsettled reports whether a promotion that a holder announced may still take effect although another upstream
// leads. That holder may be gone, and this node does not know what became of its request.
func (p *promotions) isUnsettled(now time.Duration, primary currantloom.UpstreamName) bool {
	return p.announced != "" && p.announced != primary && now-p.announcedAt < lateRequestTime
}

// recordAnnounced records a promotion that another node has heard announced, unless this node has heard of a later one.
func (s *State) recordAnnounced(a currantloom.AnnouncedPromotion, askedAt time.Duration) {
	p := s.coordinator.promotionsOf(a.Service)
	if at := max(askedAt-a.Age, 1); p.announced == "" && at > p.clearedAt {
		p.announced, p.announcedAt = a.Upstream, at
	}
}

// announcedPromotions returns the promotions that this node has heard announced and that may not have taken effect.
func (s *State) announcedPromotions() []currantloom.AnnouncedPromotion {
	var announced []currantloom.AnnouncedPromotion
	for _, name := range slices.Sorted(maps.Keys(s.coordinator.promotions)) {
		g, ok := s.catalog.groups[name]
		if p := s.coordinator.promotions[name]; ok && p.isUnsettled(s.now, g.primary) {
			announced = append(announced, currantloom.AnnouncedPromotion{
				Service: name, Upstream: p.announced, Age: s.now - p.announcedAt,
			})
		}
	}
	return announced
}

func (p *promotions) recordSent(id uint64, upstream currantloom.UpstreamName, fence currantloom.Fence) {
	if p.inFlight.id != 0 {
		p.unanswered = p.inFlight
	}
	p.inFlight = promotionRequest{id: id, upstream: upstream, fence: fence}
}

// recordResult records the result of a request. That of an earlier request than the last one changes nothing: it counts
// as unanswered.
func (p *promotions) recordResult(now time.Duration, id uint64, result currantloom.PromoteResult) {
	if p.inFlight.id != id {
		return
	}
	switch result {
	case currantloom.PromoteAccepted:
		p.accepted, p.acceptedAt = p.inFlight, now
		if p.announced != p.inFlight.upstream {
			p.clearAnnounced(now)
		}
	case currantloom.PromoteRefused, currantloom.PromoteNotDone:
		if p.announced == p.inFlight.upstream && !p.unanswered.fence.After(p.accepted.fence) {
			p.clearAnnounced(now)
		}
	default:
		p.unanswered = p.inFlight
	}
	p.inFlight = promotionRequest{}
}

// target returns the upstream that a request may still promote; empty if none. For the present primary the platform
// changes nothing.
func (p *promotions) target(now time.Duration, primary currantloom.UpstreamName) currantloom.UpstreamName {
	switch {
	case p.inFlight.id != 0 && p.inFlight.upstream != primary:
		return p.inFlight.upstream
	case p.unanswered.fence.After(p.accepted.fence) && p.unanswered.upstream != primary:
		return p.unanswered.upstream
	case p.accepted.id != 0 && p.accepted.upstream != primary && now-p.acceptedAt <= promoteTimeout:
		return p.accepted.upstream
	default:
		return ""
	}
}

// hasPendingPromotion reports whether a promotion in the group may still take effect.
func (s *State) hasPendingPromotion(g *group) bool {
	p, ok := s.coordinator.promotions[g.name]
	return ok && p.target(s.now, g.primary) != ""
}

// isUnsettled reports whether a request of another holder, or of an earlier process of this node, may still change the
// primary of the group.
func (s *State) isUnsettled(g *group) bool {
	c := &s.coordinator
	p, ok := c.promotions[g.name]
	return c.record.isInherited(g.name) || ok && p.isUnsettled(s.now, g.primary)
}

// mustVoidPromotions reports whether a failover that leaves the primary as it is must first make sure that no earlier
// request takes effect: one of this node, or one of an earlier holder, which this node does not know of.
func (s *State) mustVoidPromotions(f *failover, reason string) bool {
	c, g := &s.coordinator, f.group
	if g.primary == "" || f.step == stepVoid {
		return false
	}
	unsettled := reason != reasonOtherPrimary && s.isUnsettled(g)
	if s.hasPendingPromotion(g) || unsettled {
		return true
	}
	// If another primary leads meanwhile, the request of the earlier holder is the one that has taken effect.
	tookOver := c.tookOverAt > 0 && s.now-c.tookOverAt < lateRequestTime && len(f.paused) > 0
	return tookOver && reason != reasonOtherPrimary && c.promotionsOf(g.name).accepted.id == 0
}

// voidPromotions ends a failover that leaves the primary as it is with a request to promote that same primary. The
// platform changes nothing for it, but refuses all earlier requests from then on. If the upstream does not lead, the
// request is a promotion like any other, so it is made only once the upstream has been seen to lead the newest term
// and no node acknowledges commits.
func (s *State) voidPromotions(f *failover, reason string) {
	f.voidReason, f.voidedAt = reason, 0
	f.oldPrimary = f.group.primary
	s.enterStep(f, stepVoid)
	s.broadcastBlockWrites(f, true, "")
	s.pauseReplicas(f)
	f.candidate, f.basis = f.group.primary, basisUnchanged
	s.requestVoid(f)
}

// requestVoid requests the promotion of the primary that stays once that is safe, and asks the upstream whether it
// leads until then.
func (s *State) requestVoid(f *failover) {
	if f.proof.leads(f.candidate) && f.commits.isComplete(s.now) {
		if s.coordinator.mayRequest(s, f.group.name) {
			s.requestPromotion(f)
		} else {
			s.coordinator.requestFence(s)
		}
		return
	}
	if u := f.group.find(f.candidate); u != nil {
		s.sendReplicationCommand(f, u, currantloom.Command{Kind: currantloom.CommandReplicationStatus})
	}
}

func (s *State) handleVoidResult(f *failover, result currantloom.PromoteResult) {
	switch result {
	case currantloom.PromoteAccepted:
		f.voidedAt = max(s.now, 1)
	case currantloom.PromoteRefused:
		s.enterStep(f, stepFence)
		f.retryAt = s.now + failoverRetryPause
	default:
		f.retryAt = s.now + failoverRetryPause
	}
}

// tickVoid ends the failover once no earlier request can take effect. One that has been carried out just before may
// make its upstream the primary meanwhile, and the request that voids it then makes the old one the primary again:
// writes stay blocked until both must have shown. If the primary is lost for longer, or does not prove to lead, the
// failover starts over.
func (s *State) tickVoid(f *failover) {
	g := f.group
	s.renewBlockWrites(f, "")
	switch {
	case f.voidedAt == 0 && s.now-f.stepStartedAt > stepTimeout && !f.proof.leads(f.candidate):
		s.enterStep(f, stepFence)
	case f.voidedAt == 0 && s.coordinator.promotionsOf(g.name).inFlight.id == 0:
		s.requestVoid(f)
	case f.voidedAt == 0 || s.now-f.voidedAt <= voidSettleTime:
	case g.primary == "":
		s.enterStep(f, stepFence)
	default:
		s.endFailover(f, f.voidReason)
	}
}
