package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// promoteTimeout is how long after the order the new primary may take to lead.
	promoteTimeout = 4 * time.Second
	// probeInterval is the time between two probes of the new primary.
	probeInterval = 120 * time.Millisecond
)

// sendOrder asks the platform to promote the candidate.
func (s *State) sendOrder(f *failover) {
	d := &s.duty
	d.orders++
	f.order = d.orders
	d.open[f.group.name] = order{fence: f.fence, upstream: f.candidate, sentAt: s.now}
	s.emit(Promote{Service: f.group.name, Upstream: f.candidate, Fence: f.fence, PromotionID: f.order})
}

// hasOpenOrder reports whether an order for the group may still take effect. An accepted one does so later: until then
// its upstream has to hold every commit that is acknowledged, so the replicas stay paused. A newer fence makes an order
// void, unless it was accepted before.
func (s *State) hasOpenOrder(g *group) bool {
	d := &s.duty
	o, ok := d.open[g.name]
	if ok && (g.leader == o.upstream || d.lead.revision > o.fence && s.now-o.sentAt > promoteTimeout) {
		delete(d.open, g.name)
		ok = false
	}
	return ok
}

func (s *State) promoteAnswered(e PromoteAnswered) {
	f := s.duty.failovers[e.Service]
	s.log(Decision{
		Event: "order", Service: e.Service, Version: e.PromotionID, Outcome: e.Result.String(),
	})
	if f == nil || f.order != e.PromotionID || f.step != stepOrder {
		return
	}
	switch e.Result {
	case currantloom.PromoteAccepted:
		s.enter(f, stepAwait)
	case currantloom.PromoteRefused:
		s.enter(f, stepFence)
		f.retryAt = s.now + retryPause
	case currantloom.PromoteNotDone:
		delete(s.duty.open, e.Service)
		f.stepAt = s.now - stepTimeout + retryPause
	default:
		s.enter(f, stepPause)
	}
}

// tickAwait probes the candidate until it leads.
func (s *State) tickAwait(f *failover) {
	g := f.group
	u := g.find(f.candidate)
	switch {
	case u == nil:
		s.enter(f, stepFence)
		return
	case g.leader == f.candidate && g.leaderAt > f.stepAt:
		s.endFailover(f, "promoted")
		return
	case s.now-f.stepAt > promoteTimeout:
		s.enter(f, stepFence)
		return
	}
	if f.probing || s.now-f.probedAt < probeInterval {
		return
	}
	vm, ok := s.carrierOf(u)
	if !ok {
		return
	}
	f.probing, f.probedAt = true, s.now
	sentAt := s.now
	s.control(u, vm, currantloom.CallVerifyPrimary, currantloom.Command{}, func(a currantloom.CallResult) {
		f.probing = false
		switch {
		case a.Verdict != currantloom.Ran:
			u.avoid[vm] = s.now + avoidFor
		case a.Reply.Code == currantloom.ReplyOK:
			g.lead(s, f.candidate, a.Reply.Position, sentAt)
		}
	})
}
