package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// drainTimeout is how long a planned change waits for open transactions before it holds their statements too.
	drainTimeout = time.Second
	// freshReportsAfter is when the reports on open transactions are newer than the hold, between regions too.
	freshReportsAfter = 250 * time.Millisecond
	// blockWritesDuration bounds the hold of a change whose holder died.
	blockWritesDuration = 3 * time.Second
	// verifyTimeout bounds the wait for the answers of a primary that is checked. A carrier that cannot be reached must
	// not delay the change.
	verifyTimeout = 450 * time.Millisecond
	// commandTimeout bounds a command of a failover at one carrier.
	commandTimeout = 300 * time.Millisecond
	// stepTimeout is how long a step waits for the store or for replicas before it starts again.
	stepTimeout = 1500 * time.Millisecond
	// failoverRetryPause is the time before a failed change starts again.
	failoverRetryPause = 300 * time.Millisecond
	// minAckedWait is how long the VMs have to tell the newest commit that they saw acknowledged, a round trip between
	// regions; ackedLimit that of slow ones, which counts for logLostFor after a log was lost.
	minAckedWait  = 80 * time.Millisecond
	maxAckedWait  = 300 * time.Millisecond
	logLossWindow = 30 * time.Second
	// stallRetryPause is the time before commits without an answer start another change, if the last one was in vain.
	stallRetryPause = 3 * time.Second
	// resumeRetries bounds how often a replica is told to go on.
	resumeRetries = 20
)

// reasonCommitsStalled is the reason of a change whose primary answers but cannot commit.
const reasonCommitsStalled = "commits are not acknowledged"

// reasonLeaseLost is why a change ends at a node that may not go on with it.
const reasonLeaseLost = "duty lost"

type failoverStep uint8

const (
	// stepVerify: asks the primary, through several carriers, whether it still leads.
	stepVerify failoverStep = iota
	// stepDrain: new writes are held, and open transactions end.
	stepDrain
	// stepFence: a new fence is written.
	stepFence
	// stepPause: replicas stop receiving and report their logs.
	stepPause
	// stepOrder: the platform is asked.
	stepPromote
	// stepAwait: the new primary has to lead.
	stepAwaitPrimary
)

func (f failoverStep) String() string {
	return [...]string{"verify", "drain", "fence", "pause", "order", "await"}[f]
}

// failover is a change of primary under way.
type failover struct {
	group   *group
	step    failoverStep
	reason  string
	planned bool
	// startedAt is the start of the change, stepAt that of the step.
	startedAt, stepStartedAt time.Duration
	// epoch keeps answers of earlier steps apart.
	epoch uint64
	// pendingVerifications counts the verifications under way, leads says that one found the primary leading.
	pendingVerifications int
	primaryConfirmed     bool
	oldPrimary           currantloom.UpstreamName
	term                 currantloom.Term
	// statuses are the logs of the servers that stopped receiving, paused those that may have.
	statuses       map[currantloom.UpstreamName]currantloom.ReplicationStatus
	paused         map[currantloom.UpstreamName]bool
	commandPending map[currantloom.UpstreamName]bool
	candidate      currantloom.UpstreamName
	fence          uint64
	promotionID    uint64
	probePending   bool
	probedAt       time.Duration
	retryAt        time.Duration
}

// tickFailovers starts and continues changes of primary while this node holds the duty.
func (s *State) tickFailovers() {
	c := &s.coordinator
	if !c.isActing(s) {
		for _, g := range s.catalog.sortedGroups {
			if f := c.failovers[g.name]; f != nil {
				s.endFailover(f, reasonLeaseLost)
			}
		}
		return
	}
	for _, g := range s.catalog.sortedGroups {
		if f := c.failovers[g.name]; f != nil {
			s.tickFailover(f)
			continue
		}
		if reason, planned := s.failoverReason(g); reason != "" {
			s.startFailover(g, reason, planned)
		}
	}
}

func (s *State) startFailover(g *group, reason string, planned bool) {
	f := &failover{
		group: g, reason: reason, planned: planned, startedAt: s.now, oldPrimary: g.primary,
		statuses: make(map[currantloom.UpstreamName]currantloom.ReplicationStatus),
		paused:   make(map[currantloom.UpstreamName]bool), commandPending: make(map[currantloom.UpstreamName]bool),
	}
	s.coordinator.failovers[g.name] = f
	s.log(Decision{
		Event: "failover", Service: g.name, Upstream: f.oldPrimary, Version: s.coordinator.leaseKey.revision, Reason: reason,
		Age: s.now - g.primaryProvenAt, Outcome: "started",
	})
	switch {
	case planned:
		s.enterStep(f, stepDrain)
	case reason == reasonCommitsStalled:
		s.enterStep(f, stepFence)
	default:
		s.enterStep(f, stepVerify)
	}
}

// enterStep starts a step.
func (s *State) enterStep(f *failover, step failoverStep) {
	f.step, f.stepStartedAt = step, s.now
	f.epoch++
	s.log(Decision{
		Event: "failover", Service: f.group.name, Upstream: f.candidate, Age: s.now - f.startedAt, Version: f.fence,
		Reason: f.reason, Outcome: step.String(),
	})
	switch step {
	case stepVerify:
		s.verify(f)
	case stepDrain:
		s.broadcastBlockWrites(f, false)
	case stepFence:
		f.fence = 0
	case stepPause:
		s.pauseReplicas(f)
	case stepPromote:
		s.requestPromotion(f)
	}
}

func (s *State) tickFailover(f *failover) {
	if s.now < f.retryAt {
		return
	}
	switch f.step {
	case stepVerify:
		if f.pendingVerifications == 0 || s.now-f.stepStartedAt > verifyTimeout {
			s.concludeVerification(f)
		}
	case stepDrain:
		s.tickDrain(f)
	case stepFence:
		s.tickFence(f)
	case stepPause:
		s.tickPause(f)
	case stepPromote:
		if s.now-f.stepStartedAt > stepTimeout {
			// A replica that restarted is no longer paused, so the reports are asked for again.
			s.enterStep(f, stepPause)
		}
	case stepAwaitPrimary:
		s.tickAwaitPrimary(f)
	}
}

// verify asks every upstream that may lead, through two carriers each.
func (s *State) verify(f *failover) {
	f.primaryConfirmed = false
	for _, u := range f.group.upstreams {
		if f.oldPrimary != "" && u.Name != f.oldPrimary {
			continue
		}
		for _, vm := range s.verifiers(u) {
			f.pendingVerifications++
			epoch := f.epoch
			s.sendFailoverCall(u, vm, currantloom.CallVerifyPrimary, currantloom.Command{}, func(result currantloom.CallResult) {
				if f.epoch != epoch {
					return
				}
				f.pendingVerifications--
				f.primaryConfirmed = f.primaryConfirmed || result.Verdict == currantloom.Ran && result.Reply.Code == currantloom.ReplyOK
			})
		}
	}
}

// verifiers returns the VMs through which an upstream is asked: the first choices, and this node.
func (s *State) verifiers(u *upstream) []currantloom.VMName {
	const most = 2
	witnesses := []currantloom.VMName{s.config.Self}
	for _, vm := range s.ownerCandidates(u) {
		if len(witnesses) > most {
			break
		}
		if vm != s.config.Self && s.acceptsCalls(vm) {
			witnesses = append(witnesses, vm)
		}
	}
	return witnesses
}

// concludeVerification ends the change if the primary leads, and goes on otherwise.
func (s *State) concludeVerification(f *failover) {
	g := f.group
	switch {
	case f.primaryConfirmed || g.primary != "" && g.primary != f.oldPrimary:
		s.endFailover(f, "a primary leads")
	default:
		s.enterStep(f, stepFence)
	}
}

// broadcastBlockWrites asks all carriers to hold new writes, and with commits the open transactions as well.
func (s *State) broadcastBlockWrites(f *failover, commits bool) {
	hold := currantloom.BlockWrites{Service: f.group.name, Duration: blockWritesDuration, BlockCommits: commits}
	s.handleBlockWrites(hold)
	s.broadcast(hold)
}

func (s *State) broadcast(m currantloom.Message) {
	for _, peer := range s.members.sorted {
		if peer.alive {
			s.emit(Send{VM: peer.vm, Message: m})
		}
	}
}

// tickDrain waits until no transaction that may write is open at the primary.
func (s *State) tickDrain(f *failover) {
	u := f.group.find(f.oldPrimary)
	if u == nil || f.group.primary != f.oldPrimary {
		s.enterStep(f, stepFence)
		return
	}
	s.pingOwners(u)
	waited := s.now - f.stepStartedAt
	open := 0
	for _, r := range s.healthReports(u) {
		open += r.OpenWriteTransactions
	}
	if open == 0 && waited > freshReportsAfter || waited > drainTimeout {
		s.broadcastBlockWrites(f, true)
		s.enterStep(f, stepFence)
	}
}

// pingOwners asks the VMs that reported on the upstream again.
func (s *State) pingOwners(u *upstream) {
	for _, m := range s.members.sorted {
		reports := slices.ContainsFunc(m.healthReports, func(r currantloom.UpstreamHealth) bool { return r.Name == u.Name })
		if m.alive && !m.pongPending && reports {
			s.sendPing(m, "")
		}
	}
}

// tickFence writes a new fence, so that an order whose outcome is unknown cannot be carried out after the next one. An
// unreachable store leaves the old one, if no order under it is open.
func (s *State) tickFence(f *failover) {
	c := &s.coordinator
	switch {
	case f.fence == 0 && s.catalog.storeUnavailable:
		s.reuseFence(f)
	case f.fence == 0:
		if c.requestFence(s) {
			f.fence = c.leaseKey.revision
		} else if s.now-f.stepStartedAt > stepTimeout {
			s.reuseFence(f)
		}
	case c.leaseKey.revision > f.fence:
		f.fence = c.leaseKey.revision
		s.enterStep(f, stepPause)
	case c.leaseKey.pendingKind == pendingWrite && s.now-f.stepStartedAt <= stepTimeout:
	default:
		s.reuseFence(f)
	}
}

// reuseFence goes on under the fence that the node has, if that is safe.
func (s *State) reuseFence(f *failover) {
	c := &s.coordinator
	if s.hasPendingPromotion(f.group) || c.leaseKey.revision == 0 {
		s.enterStep(f, stepFence)
		f.retryAt = s.now + failoverRetryPause
		return
	}
	f.fence = c.leaseKey.revision
	s.enterStep(f, stepPause)
}

// pauseReplicas stops the replicas, so that no commit can be acknowledged that their reports lack.
func (s *State) pauseReplicas(f *failover) {
	f.term = max(f.term, f.group.term) + 1
	clear(f.statuses)
	for _, m := range s.members.sorted {
		if !m.suspected {
			s.sendPing(m, f.group.name)
		}
	}
	for _, u := range f.group.upstreams {
		if u.Name != f.oldPrimary {
			s.pauseReplica(f, u)
		}
	}
}

func (s *State) pauseReplica(f *failover, u *upstream) {
	f.paused[u.Name] = true
	s.sendReplicationCommand(f, u, currantloom.Command{Kind: currantloom.CommandPauseReplication, Term: f.term})
}

// sendReplicationCommand sends a command to an upstream, through the next carrier each time.
func (s *State) sendReplicationCommand(f *failover, u *upstream, command currantloom.Command) {
	if f.commandPending[u.Name] {
		return
	}
	vm, ok := s.ownerOf(u)
	if !ok {
		vm = s.config.Self
	}
	f.commandPending[u.Name] = true
	epoch := f.epoch
	s.sendFailoverCall(u, vm, currantloom.CallFailover, command, func(result currantloom.CallResult) {
		f.commandPending[u.Name] = false
		if result.Verdict != currantloom.Ran && result.Reason != currantloom.ReasonRefused {
			u.avoidOwnerUntil[vm] = s.now + avoidDuration
		}
		if f.epoch == epoch && result.Verdict == currantloom.Ran && result.Reply.Code == currantloom.ReplyOK {
			s.recordStatus(f, u, result.Reply)
		}
	})
}

// sendFailoverCall runs a command of a failover at an upstream.
func (s *State) sendFailoverCall(
	u *upstream, vm currantloom.VMName, mode currantloom.CallMode, command currantloom.Command,
	done func(currantloom.CallResult),
) {
	m := currantloom.Call{
		Key: s.nextKey(), Service: u.Service, Upstream: u.Name, Mode: mode, Command: command,
		Timeout: commandTimeout, QueueTimeout: commandTimeout,
	}
	s.sendCall(u, vm, m).onResult = done
}

// recordStatus takes the report of a server that stopped receiving.
func (s *State) recordStatus(f *failover, u *upstream, reply currantloom.Reply) {
	if reply.ReplicationStatus == nil {
		return
	}
	status := *reply.ReplicationStatus
	f.statuses[u.Name] = status
	f.term = max(f.term, status.Term)
	s.log(Decision{
		Event: "failover", Service: f.group.name, Upstream: u.Name, Position: status.Received, Version: uint64(status.Term),
		Age: s.now - f.startedAt, Outcome: "paused",
	})
	if status.Primary && status.Term > f.group.term {
		f.group.recordPrimary(s, u.Name, currantloom.NewLogPosition(status.Term, status.Received.Index()), s.now)
	}
}

// tickPause chooses the next primary once the reports show every acknowledged commit.
func (s *State) tickPause(f *failover) {
	missing := s.missingStatuses(f)
	if len(missing) == 0 && s.isAckedPositionKnown(f) {
		s.selectCandidate(f)
		return
	}
	for _, u := range missing {
		s.pauseReplica(f, u)
	}
	if old := f.group.find(f.oldPrimary); old != nil && f.reason != reasonCommitsStalled && s.now-f.stepStartedAt > stepTimeout/2 {
		// The log of the old primary holds every commit, so its report replaces that of an unreachable replica.
		s.sendReplicationCommand(f, old, currantloom.Command{Kind: currantloom.CommandStepDown, Term: f.term})
	}
	if _, ok := f.statuses[f.oldPrimary]; ok && f.oldPrimary != "" {
		s.selectCandidate(f)
		return
	}
	s.reviewPauseStep(f)
}

// isAckedPositionKnown reports whether the VMs had the time to tell the newest commit that they saw acknowledged. If a log was
// lost lately, that commit may stand in none of the logs that were reported, so every VM has to answer.
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

// reviewPauseStep checks now and then whether the old primary leads again, or another one does.
func (s *State) reviewPauseStep(f *failover) {
	if s.now-f.stepStartedAt < stepTimeout {
		return
	}
	f.stepStartedAt = s.now
	s.log(Decision{
		Event: "failover", Service: f.group.name, Age: s.now - f.startedAt, Reason: "a replica does not report",
		Outcome: "waiting",
	})
	if f.reason == reasonCommitsStalled {
		f.group.ignoreStallUntil = s.now + stallRetryPause
		s.endFailover(f, "a replica does not report")
		return
	}
	if f.group.primary != f.oldPrimary || s.now-f.group.primaryProvenAt < s.proofTimeout() && !f.planned {
		s.endFailover(f, "a primary leads")
	}
}

// endFailover lets the replicas go on and announces the primary.
func (s *State) endFailover(f *failover, reason string) {
	g := f.group
	delete(s.coordinator.failovers, g.name)
	f.epoch++
	s.log(Decision{
		Event: "failover", Service: g.name, Upstream: g.primary, Version: uint64(g.term), Reason: reason,
		Age: s.now - f.startedAt, Outcome: "ended",
	})
	g.writesBlockedUntil = 0
	if g.primary != "" {
		s.broadcast(currantloom.PrimaryChanged{Service: g.name, Upstream: g.primary, Term: g.term})
	}
	if reason == reasonLeaseLost || s.hasPendingPromotion(g) {
		// The next holder of the duty may have paused the replicas already. If not, it notices that commits hang.
		return
	}
	for _, u := range g.upstreams {
		if f.paused[u.Name] {
			s.resumeReplica(u, resumeRetries)
		}
	}
}

// resumeReplica lets a replica receive again. It is repeated until the replica answers, or another node may have paused
// the replica meanwhile.
func (s *State) resumeReplica(u *upstream, retries int) {
	vm, ok := s.ownerOf(u)
	if !ok {
		vm = s.config.Self
	}
	s.sendFailoverCall(u, vm, currantloom.CallFailover, currantloom.Command{Kind: currantloom.CommandResumeReplication},
		func(result currantloom.CallResult) {
			answered := result.Verdict == currantloom.Ran && result.Reply.Code == currantloom.ReplyOK
			current := s.catalog.upstreams[u.Name] == u && s.coordinator.failovers[u.Service] == nil
			if answered || retries == 0 || !current || !s.coordinator.isActing(s) {
				return
			}
			u.avoidOwnerUntil[vm] = s.now + avoidDuration
			s.resumeReplica(u, retries-1)
		})
}
