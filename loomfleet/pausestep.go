package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// pauseReplicas starts to halt the upstreams, so that no later commit can be acknowledged without being in the logs
// that the promotion is judged by. A primary that is to be replaced as planned steps down first: its replicas then
// receive its last commits before they are paused.
func (s *State) pauseReplicas(f *failover) {
	f.proof.restart(f.group.term)
	for _, m := range s.members.sorted {
		if !m.suspected {
			s.sendPing(m, f.group.name)
		}
	}
	if f.planned && f.step == stepPause && s.awaitsStepDown(f) {
		return
	}
	for _, u := range f.group.upstreams {
		if u.Name != f.oldPrimary {
			s.pauseReplica(f, u)
		}
	}
}

// awaitsStepDown asks the old primary to step down, and reports whether that may still succeed within stepDownTimeout.
func (s *State) awaitsStepDown(f *failover) bool {
	u := f.group.find(f.oldPrimary)
	if u == nil {
		return false
	}
	if _, ok := f.proof.finalLog(u.Upstream); ok {
		return false
	}
	s.stepDown(f, u)
	return s.now-f.stepDownAt < stepDownTimeout
}

// keepHalted halts the upstreams again while a promotion is awaited. A replica that restarts is no longer paused, a new
// one never was, and the old primary may come back: together they could acknowledge commits that the candidate lacks.
func (s *State) keepHalted(f *failover) {
	s.renewBlockWrites(f, f.candidate)
	if s.now-f.haltedAt < primaryProbeInterval {
		return
	}
	f.haltedAt = s.now
	for _, u := range f.group.upstreams {
		switch u.Name {
		case f.candidate:
		case f.oldPrimary:
			s.stepDown(f, u)
		default:
			s.pauseReplica(f, u)
		}
	}
}

func (s *State) pauseReplica(f *failover, u *upstream) {
	f.paused[u.Name] = true
	s.sendReplicationCommand(f, u, currantloom.Command{Kind: currantloom.CommandPauseReplication, Term: f.proof.term})
}

// stepDown makes the old primary a replica, so that its log is final.
func (s *State) stepDown(f *failover, u *upstream) {
	if _, ok := f.proof.finalLog(u.Upstream); ok {
		return
	}
	if f.stepDownAt == 0 {
		f.stepDownAt = max(s.now, 1)
	}
	command := f.proof.stepDownCommand(u.Upstream)
	if command.Kind == currantloom.CommandPauseReplication {
		f.paused[u.Name] = true
	}
	s.sendReplicationCommand(f, u, command)
}

// sendReplicationCommand sends a command to an upstream. After a failure the VM is avoided, so that the next command
// goes through another one.
func (s *State) sendReplicationCommand(f *failover, u *upstream, command currantloom.Command) {
	if f.commandPending[u.Name] {
		return
	}
	vm, ok := s.ownerOf(u)
	if !ok {
		vm = s.config.Self
	}
	f.commandPending[u.Name] = true
	epoch, sentAt := f.epoch, s.now
	s.sendFailoverCall(u, vm, currantloom.CallFailover, command, func(result currantloom.CallResult) {
		f.commandPending[u.Name] = false
		if result.Verdict != currantloom.Ran && result.Reason != currantloom.ReasonRefused {
			u.avoidOwnerUntil[vm] = s.now + avoidDuration
		}
		if f.epoch != epoch || result.Verdict != currantloom.Ran || result.Reply.Code != currantloom.ReplyOK {
			return
		}
		s.recordStatus(f, u, command, result.Reply, sentAt)
		if f.stepDownAt > 0 && u.Name == f.oldPrimary {
			s.stepDown(f, u)
		}
	})
}

// recordStatus records what the answer to a replication command that was sent at a time shows.
func (s *State) recordStatus(
	f *failover, u *upstream, command currantloom.Command, reply currantloom.Reply, sentAt time.Duration,
) {
	if reply.ReplicationStatus == nil {
		return
	}
	status := *reply.ReplicationStatus
	outcome := f.proof.observe(u.Upstream, command, status, s.now)
	s.log(Decision{
		Event: "failover", Service: f.group.name, Upstream: u.Name, Position: status.Received, Version: uint64(status.Term),
		Age: s.now - f.startedAt, Outcome: outcome.String(),
	})
	if outcome == haltPaused || outcome == haltResumed {
		f.group.recordLog(replicaLog{term: status.Term, received: status.Received})
	}
	if status.Primary && (status.Term > f.group.term || f.group.primary == "") {
		f.group.recordPrimary(s, u.Name, currantloom.NewLogPosition(status.Term, status.Received.Index()), sentAt)
	}
	if u.Name == f.oldPrimary && outcome == haltNoEvidence && !f.proof.hasLed(u.Upstream) {
		// An earlier change has made it step down: its log counts like that of any other replica.
		f.oldPrimary = ""
		f.group.recordNotPrimary(s, u.Name)
	}
}

// tickPause requests the promotion of a candidate once it is shown to lose no acknowledged commit.
func (s *State) tickPause(f *failover) {
	if f.planned && s.awaitsStepDown(f) {
		return
	}
	c := s.judgedCase(f)
	s.pauseDoubtful(f, c)
	for _, missing := range f.proof.missing(c) {
		s.pauseReplica(f, s.catalog.upstreams[missing.Name])
	}
	if f.reason != reasonCommitsStalled && s.now-f.stepStartedAt > stepTimeout/2 {
		// The old primary's log holds every commit, so it replaces that of an unreachable replica.
		s.awaitsStepDown(f)
	}
	if !s.isAckedPositionKnown(f) {
		return
	}
	candidate, basis := s.selectCandidate(f, c)
	switch {
	case basis == basisSteppedDown && s.mayFindBetterCandidate(f, c):
	case (basis.isSafe() || basis == basisNotBlocked) && f.reason == reasonCommitsStalled && s.awaitsStepDown(f):
		// The primary answers, so it can be stopped before its successor is chosen for good.
	case basis.isSafe() && !s.coordinator.mayRequest(s, f.group.name):
		s.coordinator.requestFence(s)
		s.reviewPauseStep(f, basisUnrecorded)
	case basis.isSafe():
		f.candidate, f.basis, f.promotedLog = candidate.Name, basis, f.proof.halts[candidate.Name].log.received
		s.logEvidence(f)
		s.enterStep(f, stepPromote)
	case basis == basisLacksCommit:
		s.handleNoCandidate(f, candidate)
	default:
		s.reviewPauseStep(f, basis)
	}
}

// logEvidence logs the halts that the promotion is judged by.
func (s *State) logEvidence(f *failover) {
	for _, u := range f.group.upstreams {
		if h, ok := f.proof.haltOf(u.Upstream); ok {
			s.log(Decision{
				Event: "order", Service: f.group.name, Upstream: u.Name, Position: h.log.received, Version: uint64(h.term),
				Age: s.now - h.at, Outcome: "evidence",
			})
		}
	}
}

// pauseDoubtful pauses the replicas again that may still resume, to detect whether they have received since.
func (s *State) pauseDoubtful(f *failover, c promotionCase) {
	if s.now-max(f.haltedAt, f.stepStartedAt) < primaryProbeInterval {
		return
	}
	f.haltedAt = s.now
	for _, u := range f.group.upstreams {
		if u.Name != f.oldPrimary && slices.Contains(c.doubtful, u.Name) {
			s.pauseReplica(f, u)
		}
	}
}

// mayFindBetterCandidate reports whether replicas may still report that are preferred to those that have.
func (s *State) mayFindBetterCandidate(f *failover, c promotionCase) bool {
	final, ok := f.proof.finalLog(c.primary)
	return ok && s.now-final.at < candidateWait && len(f.proof.missing(c)) > 0
}

// isAckedPositionKnown reports whether the VMs had enough time to report the newest commit that they saw acknowledged.
// If a log was lost lately, that commit may be missing in all reported logs, so every VM has to answer, for at most
// maxAckedWait.
func (s *State) isAckedPositionKnown(f *failover) bool {
	waited, lostAt := s.now-f.stepStartedAt, f.group.logLostAt
	switch {
	case waited < minAckedWait:
		return false
	case lostAt == 0 || s.now-lostAt > logLossWindow || waited >= maxAckedWait:
		return true
	}
	return !slices.ContainsFunc(s.members.sorted, func(m *member) bool {
		return m.pongPending && !m.suspected && m.pingSentAt >= f.stepStartedAt
	})
}

// reviewPauseStep ends a failover that could request no promotion within stepTimeout if it was started because commits
// stalled, or if the old primary of an unplanned failover is proven again.
func (s *State) reviewPauseStep(f *failover, basis promotionBasis) {
	if s.now-f.stepStartedAt < stepTimeout {
		return
	}
	f.stepStartedAt = s.now
	s.log(Decision{
		Event: "failover", Service: f.group.name, Age: s.now - f.startedAt, Reason: string(basis), Outcome: "waiting",
	})
	switch {
	case basis == basisMayResume && s.now-f.startedAt <= maxDoubtWait+haltConfirmTime:
		// It counts as halted soon.
	case f.reason == reasonCommitsStalled:
		f.group.ignoreStallUntil = s.now + stallRetryPause
		s.endFailover(f, string(basis))
	case f.group.primary != "" && s.now-f.group.primaryProvenAt < s.proofTimeout() && !f.planned:
		s.endFailover(f, "a primary is active")
	}
}
