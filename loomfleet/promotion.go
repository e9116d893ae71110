package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// promoteTimeout is how long the new primary may take to act as primary after the promotion was accepted.
	promoteTimeout = 4 * time.Second
	// primaryProbeInterval is the time between two probes of the new primary.
	primaryProbeInterval = 120 * time.Millisecond
)

// requestPromotion asks the platform to promote the candidate.
func (s *State) requestPromotion(f *failover) {
	c := &s.coordinator
	c.lastPromotionID++
	f.promotionID = c.lastPromotionID
	c.pendingPromotions[f.group.name] = pendingPromotion{fence: f.fence, upstream: f.candidate, sentAt: s.now}
	s.emit(Promote{Service: f.group.name, Upstream: f.candidate, Fence: f.fence, PromotionID: f.promotionID})
}

// hasPendingPromotion reports whether a promotion in the group may still take effect. Until it does, every acknowledged
// commit must be in the log of its upstream, so the replicas stay paused. A newer fence makes the platform refuse a
// promotion, but not one that it accepted before; that one counts as pending for promoteTimeout.
func (s *State) hasPendingPromotion(g *group) bool {
	c := &s.coordinator
	pending, ok := c.pendingPromotions[g.name]
	if ok && (g.primary == pending.upstream ||
		c.leaseKey.position.After(pending.fence) && s.now-pending.sentAt > promoteTimeout) {
		delete(c.pendingPromotions, g.name)
		ok = false
	}
	return ok
}

func (s *State) handlePromoteAnswered(e PromoteAnswered) {
	f := s.coordinator.failovers[e.Service]
	s.log(Decision{
		Event: "order", Service: e.Service, Version: e.PromotionID, Outcome: e.Result.String(),
	})
	if f == nil || f.promotionID != e.PromotionID || f.step != stepPromote {
		return
	}
	switch e.Result {
	case currantloom.PromoteAccepted:
		s.enterStep(f, stepAwaitPrimary)
	case currantloom.PromoteRefused:
		s.enterStep(f, stepFence)
		f.retryAt = s.now + failoverRetryPause
	case currantloom.PromoteNotDone:
		delete(s.coordinator.pendingPromotions, e.Service)
		f.stepStartedAt = s.now - stepTimeout + failoverRetryPause
	default:
		s.enterStep(f, stepPause)
	}
}

// tickAwaitPrimary probes the candidate until it acts as primary.
func (s *State) tickAwaitPrimary(f *failover) {
	g := f.group
	u := g.find(f.candidate)
	switch {
	case u == nil:
		s.enterStep(f, stepFence)
		return
	case g.primary == f.candidate && g.primaryProvenAt > f.stepStartedAt:
		s.endFailover(f, "promoted")
		return
	case s.now-f.stepStartedAt > promoteTimeout:
		s.enterStep(f, stepFence)
		return
	}
	if f.probePending || s.now-f.probedAt < primaryProbeInterval {
		return
	}
	vm, ok := s.ownerOf(u)
	if !ok {
		return
	}
	f.probePending, f.probedAt = true, s.now
	sentAt := s.now
	s.sendFailoverCall(u, vm, currantloom.CallVerifyPrimary, currantloom.Command{}, func(result currantloom.CallResult) {
		f.probePending = false
		switch {
		case result.Verdict != currantloom.Ran:
			u.avoidOwnerUntil[vm] = s.now + avoidDuration
		case result.Reply.Code == currantloom.ReplyOK:
			g.recordPrimary(s, f.candidate, result.Reply.Position, sentAt)
		}
	})
}
