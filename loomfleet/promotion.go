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

// requestPromotion asks the platform to promote the candidate. Each request has a higher fence than the ones before, so
// that the platform refuses those that it has not carried out yet.
func (s *State) requestPromotion(f *failover) {
	c := &s.coordinator
	if !c.mayRequest(s, f.group.name) {
		s.enterStep(f, stepFence)
		return
	}
	fence, ok := c.nextFence()
	if !ok {
		s.enterStep(f, stepFence)
		return
	}
	c.lastPromotionID++
	f.promotionID = c.lastPromotionID
	c.promotionsOf(f.group.name).recordSent(f.promotionID, f.candidate, fence)
	s.log(Decision{
		Event: "order", Service: f.group.name, Upstream: f.candidate, Position: f.proof.halts[f.candidate].log.received,
		Version: f.promotionID, Reason: string(f.basis), Outcome: "requested",
	})
	s.emit(Promote{Service: f.group.name, Upstream: f.candidate, Fence: fence, PromotionID: f.promotionID})
}

// nextFence returns the fence of the next request. It reports false if the key of the failover lease must be written
// first.
func (c *coordinator) nextFence() (currantloom.Fence, bool) {
	position := c.leaseKey.position
	order := uint8(1)
	if c.lastFence.Position() == position {
		if c.lastFence.Order() == currantloom.MaxFenceOrder {
			return currantloom.Fence{}, false
		}
		order = c.lastFence.Order() + 1
	}
	c.lastFence = currantloom.NewFence(position, order)
	return c.lastFence, !position.IsZero()
}

func (s *State) handlePromoteAnswered(e PromoteAnswered) {
	f := s.coordinator.failovers[e.Service]
	s.log(Decision{
		Event: "order", Service: e.Service, Version: e.PromotionID, Outcome: e.Result.String(),
	})
	s.coordinator.promotionsOf(e.Service).recordResult(s.now, e.PromotionID, e.Result)
	if e.Result == currantloom.PromoteAccepted {
		s.coordinator.settle(e.Service)
	}
	if f == nil || f.promotionID != e.PromotionID {
		return
	}
	switch f.step {
	case stepPromote:
		s.handlePromoteResult(f, e.Result)
	case stepVoid:
		s.handleVoidResult(f, e.Result)
	}
}

func (s *State) handlePromoteResult(f *failover, result currantloom.PromoteResult) {
	switch result {
	case currantloom.PromoteAccepted:
		s.enterStep(f, stepAwaitPrimary)
	case currantloom.PromoteRefused:
		s.enterStep(f, stepFence)
		f.retryAt = s.now + failoverRetryPause
	case currantloom.PromoteNotDone:
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
		s.endFailover(f, reasonPromoted)
		return
	case s.now-f.stepStartedAt > promoteTimeout:
		s.enterStep(f, stepFence)
		return
	}
	s.keepHalted(f)
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
