package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

// endFailover announces the primary and resumes replication at the paused replicas, after earlier requests for
// promotion were voided.
func (s *State) endFailover(f *failover, reason string) {
	g := f.group
	if reason != reasonLeaseLost && reason != reasonShutdown && s.mustVoidPromotions(f, reason) {
		s.voidPromotions(f, reason)
		return
	}
	delete(s.coordinator.failovers, g.name)
	f.epoch++
	s.log(Decision{
		Event: "failover", Service: g.name, Upstream: g.primary, Version: uint64(g.term), Reason: reason,
		Age: s.now - f.startedAt, Outcome: "ended",
	})
	pending := s.coordinator.promotionsOf(g.name)
	unsettled := s.isUnsettled(g)
	if reason == reasonLeaseLost || reason == reasonShutdown && (s.hasPendingPromotion(g) || unsettled) {
		// The next holder of the failover lease may be changing the primary: it alone says when writes and replicas go on.
		// If it is not, the blocking runs out, and it notices the stalled commits.
		return
	}
	g.writesBlockedUntil = 0
	if !unsettled {
		pending.clearAnnounced(s.now)
	}
	if g.primary != "" {
		changed := currantloom.PrimaryChanged{Service: g.name, Upstream: g.primary, Term: g.term}
		if reason == reasonPromoted {
			changed.Log = f.promotedLog
		}
		s.recordPromotedLog(g, changed.Term, changed.Log)
		s.broadcast(changed)
	}
	if s.hasPendingPromotion(g) {
		// It needs the replicas paused.
		return
	}
	for _, u := range g.upstreams {
		if f.paused[u.Name] {
			s.resumeReplica(u, resumeRetries)
		}
	}
}

// endFailovers ends all failovers for a reason of this node.
func (s *State) endFailovers(reason string) {
	for _, g := range s.catalog.sortedGroups {
		if f := s.coordinator.failovers[g.name]; f != nil {
			s.endFailover(f, reason)
		}
	}
}

// hasTouchedUpstreams reports whether the failover may have paused replicas, made the primary step down, or requested a
// promotion.
func (f *failover) hasTouchedUpstreams() bool { return len(f.paused) > 0 || f.stepDownAt > 0 }

// isReplacedByOther reports whether an upstream leads that is neither the primary that the failover is to replace nor
// the one that it promotes: a request of another holder of the failover lease has taken effect.
func (f *failover) isReplacedByOther() bool {
	leader := f.group.primary
	if leader == "" || leader == f.oldPrimary {
		return false
	}
	return f.step <= stepPause || f.step < stepVoid && leader != f.candidate
}

// handleOtherPrimary ends a failover whose primary was replaced by another holder, or came back under another name, and
// reports whether it did. What it knows of the replicas is out of date: they may have received from the new primary.
// Once a promotion was requested, it goes on: the request cannot be taken back, so the new primary has to step down.
func (s *State) handleOtherPrimary(f *failover) bool {
	f.oldPrimary = f.group.primary
	if f.step > stepPause {
		return false
	}
	s.endFailover(f, reasonOtherPrimary)
	return true
}

// resumeReplica resumes replication at a replica. It retries until the replica confirms, but not once another node may
// have paused it again.
func (s *State) resumeReplica(u *upstream, retries int) {
	vm, ok := s.ownerOf(u)
	if !ok {
		vm = s.config.Self
	}
	s.log(Decision{Event: "resume", Service: u.Service, Upstream: u.Name, VM: vm, Outcome: "requested"})
	sentAt, process := s.now, u.Upstream
	s.groupOf(u.Service).resumptions.recordSent(process)
	s.sendFailoverCall(u, vm, currantloom.CallFailover, currantloom.Command{Kind: currantloom.CommandResumeReplication},
		func(result currantloom.CallResult) {
			confirmed := result.Verdict == currantloom.Ran && result.Reply.Code == currantloom.ReplyOK
			current := s.catalog.upstreams[u.Name] == u && s.coordinator.failovers[u.Service] == nil
			s.groupOf(u.Service).resumptions.recordResult(process, result.Verdict, s.now)
			s.logResumptionResult(u, vm, result, sentAt)
			if confirmed || retries == 0 || !current || !s.coordinator.isActing(s) {
				return
			}
			u.avoidOwnerUntil[vm] = s.now + avoidDuration
			s.resumeReplica(u, retries-1)
		})
}

// logResumptionResult logs the answer to a resumption, or that it got none: it may then still be carried out.
func (s *State) logResumptionResult(
	u *upstream, vm currantloom.VMName, result currantloom.CallResult, sentAt time.Duration,
) {
	d := Decision{
		Event: "resume", Service: u.Service, Upstream: u.Name, VM: vm, Age: s.now - sentAt,
		Reason: result.Reason.String(), Outcome: result.Verdict.String(),
	}
	if status := result.Reply.ReplicationStatus; status != nil {
		d.Position, d.Version = status.Received, uint64(status.Term)
	}
	s.log(d)
}
