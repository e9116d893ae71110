package loomfleet

import (
	"maps"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// drainTimeout is how long a planned failover waits for open transactions before it blocks their statements too.
	drainTimeout = time.Second
	// freshReportsAfter is the time after which the reports on open transactions are newer than the blocking of writes,
	// also between regions.
	freshReportsAfter = 250 * time.Millisecond
	// blockWritesDuration bounds how long writes stay blocked if the holder of the failover lease dies;
	// blockWritesInterval is the time after which the holder blocks them again.
	blockWritesDuration = 3 * time.Second
	blockWritesInterval = time.Second
	// stepDownTimeout bounds the wait for a primary that is asked to step down: three commands, each a round trip
	// between regions.
	stepDownTimeout = 500 * time.Millisecond
	// candidateWait is how long after the primary has stepped down a better candidate is waited for: a round trip between
	// regions.
	candidateWait = 100 * time.Millisecond
	// verifyTimeout bounds the verification of a primary. An owner that cannot be reached must not delay the failover.
	verifyTimeout = 300 * time.Millisecond
	// confirmTimeout bounds it if several nodes have failed to connect to the primary: two round trips between regions.
	confirmTimeout = 150 * time.Millisecond
	// commandTimeout bounds the queueing and, separately, the execution of a failover command at an owner.
	commandTimeout = 300 * time.Millisecond
	// stepTimeout is how long a step waits for the store or for replicas before it is repeated.
	stepTimeout = 1500 * time.Millisecond
	// failoverRetryPause is the pause before a failed step is retried.
	failoverRetryPause = 300 * time.Millisecond
	// minAckedWait is how long the failover waits for the VMs to report the newest commit that they saw acknowledged: a
	// round trip between regions. maxAckedWait is the limit for slow VMs, which are waited for if a log was lost within
	// logLossWindow.
	minAckedWait  = 80 * time.Millisecond
	maxAckedWait  = 300 * time.Millisecond
	logLossWindow = 30 * time.Second
	// stallRetryPause is the pause before stalled commits start another failover after one that could not promote a
	// replica.
	stallRetryPause = 3 * time.Second
	// resumeRetries bounds how often a replica is told to resume replication.
	resumeRetries = 20
)

// reasonCommitsStalled is the reason of a failover whose primary is reachable but does not answer commits.
const reasonCommitsStalled = "commits are not acknowledged"

// reasonUnsettled is the reason of a failover because the request of an earlier holder may still take effect.
const reasonUnsettled = "a promotion of an earlier holder may take effect"

// reasonLeaseLost is the reason for ending a failover at a node that no longer holds the failover lease.
const reasonLeaseLost = "failover lease lost"

// reasonShutdown is the reason for ending a failover at a node that shuts down.
const reasonShutdown = "shutdown"

// reasonPromoted is the reason for ending a failover whose candidate leads.
const reasonPromoted = "promoted"

// reasonOtherPrimary is the reason for ending a failover because another node has changed the primary meanwhile.
const reasonOtherPrimary = "another upstream leads"

type failoverStep uint8

const (
	// stepVerify: ask the primary, through several VMs, whether it is still the primary.
	stepVerify failoverStep = iota
	// stepCheck: check whether the replicas of a primary that does not answer commits receive its log.
	stepCheck
	// stepDrain: block new writes and wait for open transactions to end.
	stepDrain
	// stepFence: write a new fence.
	stepFence
	// stepPause: pause replication at the replicas and collect their log positions.
	stepPause
	// stepPromote: ask the platform to promote the candidate.
	stepPromote
	// stepAwaitPrimary: wait until the candidate acts as primary.
	stepAwaitPrimary
	// stepVoid: make sure that no earlier request for promotion takes effect.
	stepVoid
)

func (f failoverStep) String() string {
	return [...]string{"verify", "check", "drain", "fence", "pause", "order", "await", "void"}[f]
}

// failover is a failover or a planned change of primary in progress.
type failover struct {
	group   *group
	step    failoverStep
	reason  string
	planned bool
	// startedAt is the start of the failover, stepStartedAt that of the current step.
	startedAt, stepStartedAt time.Duration
	// epoch increases with each step, so that answers to earlier steps are ignored.
	epoch uint64
	// pendingVerifications counts the verifications in progress. primaryConfirmed says that one of them found an
	// upstream acting as primary.
	pendingVerifications int
	primaryConfirmed     bool
	check                replicationCheck
	oldPrimary           currantloom.UpstreamName
	proof                promotionProof
	// paused holds the upstreams that may have been paused, commandPending those with an unanswered replication command.
	paused         map[currantloom.UpstreamName]bool
	commandPending map[currantloom.UpstreamName]bool
	// candidate is the upstream to be promoted, basis is what makes its promotion safe.
	// promotedLog is the end of its log.
	candidate   currantloom.UpstreamName
	basis       promotionBasis
	promotedLog currantloom.LogPosition
	// commits says which nodes may still acknowledge commits.
	commits     commitBlock
	fence       currantloom.StorePosition
	promotionID uint64
	// voidReason is why the failover leaves the primary as it is, voidedAt is when earlier requests were voided.
	voidReason   string
	voidedAt     time.Duration
	probePending bool
	probedAt     time.Duration
	retryAt      time.Duration
	// stepDownAt is when the old primary was first asked to step down; zero if it was not. haltedAt is when the upstreams
	// were last halted again, blockedAt when writes were last blocked.
	stepDownAt, haltedAt, blockedAt time.Duration
}

// tickFailovers starts and continues failovers while this node holds the failover lease.
func (s *State) tickFailovers() {
	c := &s.coordinator
	if !c.isActing(s) {
		s.endFailovers(reasonLeaseLost)
		return
	}
	for _, g := range s.catalog.sortedGroups {
		if f := c.failovers[g.name]; f != nil {
			s.tickFailover(f)
			continue
		}
		if s.shutdown.requested {
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
		paused: make(map[currantloom.UpstreamName]bool), commandPending: make(map[currantloom.UpstreamName]bool),
	}
	s.coordinator.failovers[g.name] = f
	s.log(Decision{
		Event: "failover", Service: g.name, Upstream: f.oldPrimary, Age: s.now - g.primaryProvenAt, Reason: reason,
		Version: s.coordinator.leaseKey.position.Revision(), Outcome: "started",
	})
	switch {
	case reason == reasonUnsettled:
		// A commit that is acknowledged from now on may be missing at the upstream of that request.
		s.broadcastBlockWrites(f, true, "")
		s.enterStep(f, stepFence)
	case planned:
		s.enterStep(f, stepDrain)
	case reason == reasonCommitsStalled && s.canCheckReplication(f):
		s.enterStep(f, stepCheck)
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
		Event: "failover", Service: f.group.name, Upstream: f.candidate, Age: s.now - f.startedAt,
		Version: f.fence.Revision(), Reason: f.reason, Outcome: step.String(),
	})
	switch step {
	case stepVerify:
		s.verify(f)
	case stepCheck:
		s.startReplicationCheck(f)
	case stepDrain:
		s.broadcastBlockWrites(f, false, "")
	case stepFence:
		f.fence = currantloom.StorePosition{}
		if !f.commits.hasBegun() {
			s.broadcastBlockWrites(f, true, "")
		}
	case stepPause:
		f.stepDownAt = 0
		s.pauseReplicas(f)
	case stepPromote:
		s.broadcastBlockWrites(f, true, f.candidate)
		s.requestPromotion(f)
	}
}

func (s *State) tickFailover(f *failover) {
	if f.isReplacedByOther() && s.handleOtherPrimary(f) {
		return
	}
	s.renewUnsettledBlock(f)
	if s.now < f.retryAt {
		return
	}
	switch f.step {
	case stepVerify:
		if s.isVerificationOver(f) {
			s.concludeVerification(f)
		}
	case stepCheck:
		s.tickReplicationCheck(f)
	case stepDrain:
		s.tickDrain(f)
	case stepFence:
		s.tickFence(f)
	case stepPause:
		s.tickPause(f)
	case stepPromote:
		s.keepHalted(f)
		if s.now-f.stepStartedAt > stepTimeout {
			// A replica that restarted is no longer paused, so the statuses are collected again.
			s.enterStep(f, stepPause)
		}
	case stepAwaitPrimary:
		s.tickAwaitPrimary(f)
	case stepVoid:
		s.tickVoid(f)
	}
}

// broadcastBlockWrites asks all nodes to block new writes and, with commits, the statements of open transactions, until
// the successor leads.
func (s *State) broadcastBlockWrites(f *failover, commits bool, successor currantloom.UpstreamName) {
	message := currantloom.BlockWrites{
		Service: f.group.name, Duration: blockWritesDuration, BlockCommits: commits, Successor: successor,
	}
	f.blockedAt = s.now
	if commits {
		s.beginCommitBlock(f)
		message.Number = f.commits.number
	}
	if f.planned {
		message.CommitTimeout = commitTimeout
	}
	s.handleBlockWrites(0, message)
	s.broadcast(message)
	for _, vm := range slices.Sorted(maps.Keys(f.commits.leases)) {
		if m, ok := s.members.byName[vm]; ok && !m.alive {
			s.emit(Send{VM: m.vm, Message: message})
		}
	}
}

// beginCommitBlock records which nodes may acknowledge commits when a change begins to block them.
func (s *State) beginCommitBlock(f *failover) {
	if !f.commits.hasBegun() {
		f.commits = newCommitBlock(s.nextKey().Number, s.outstandingLeases())
	}
}

// repeatBlockWrites asks a node that answers and has not confirmed that commits are blocked again to block them.
func (s *State) repeatBlockWrites(m *member) {
	for _, g := range s.catalog.sortedGroups {
		f := s.coordinator.failovers[g.name]
		if f == nil || !f.commits.awaits(m.vm.Name()) {
			continue
		}
		s.emit(Send{VM: m.vm, Message: currantloom.BlockWrites{
			Service: g.name, Duration: blockWritesDuration, BlockCommits: true, Successor: f.announcedCandidate(),
			Number: f.commits.number,
		}})
	}
}

// announcedCandidate returns the upstream whose promotion was requested; empty if none was.
func (f *failover) announcedCandidate() currantloom.UpstreamName {
	if f.step == stepPromote || f.step == stepAwaitPrimary {
		return f.candidate
	}
	return ""
}

// renewBlockWrites blocks writes again before the last blocking ends.
func (s *State) renewBlockWrites(f *failover, successor currantloom.UpstreamName) {
	if s.now-f.blockedAt >= blockWritesInterval {
		s.broadcastBlockWrites(f, true, successor)
	}
}

// renewUnsettledBlock keeps writes blocked while the request of an earlier holder may take effect and this node has not
// requested a promotion that replaces it.
func (s *State) renewUnsettledBlock(f *failover) {
	c := &s.coordinator
	unsettled := c.record.isInherited(f.group.name) ||
		c.promotionsOf(f.group.name).isUnsettled(s.now, f.oldPrimary)
	if f.reason == reasonUnsettled && f.step < stepPromote && unsettled {
		s.renewBlockWrites(f, "")
	}
}

// broadcast sends a message to all live members.
func (s *State) broadcast(m currantloom.Message) {
	for _, peer := range s.members.sorted {
		if peer.alive {
			s.emit(Send{VM: peer.vm, Message: m})
		}
	}
}

// tickDrain waits until no read-write transaction is open at the primary, or drainTimeout has passed.
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
		s.broadcastBlockWrites(f, true, "")
		s.enterStep(f, stepFence)
	}
}

// pingOwners pings the VMs that reported on the upstream.
func (s *State) pingOwners(u *upstream) {
	for _, m := range s.members.sorted {
		usesUpstream := slices.ContainsFunc(m.healthReports, func(r currantloom.UpstreamHealth) bool {
			return r.Name == u.Name
		})
		if m.alive && !m.pongPending && usesUpstream {
			s.sendPing(m, "")
		}
	}
}

// tickFence writes the key of the failover lease again: this proves that the node still holds it, and gives its
// requests a higher fence than those of earlier holders. If the store is unreachable, the old position is used.
func (s *State) tickFence(f *failover) {
	c := &s.coordinator
	switch {
	case f.fence.IsZero() && s.catalog.storeUnavailable:
		s.reuseFence(f)
	case f.fence.IsZero():
		if c.requestFence(s) {
			f.fence = c.leaseKey.position
		} else if s.now-f.stepStartedAt > stepTimeout {
			s.reuseFence(f)
		}
	case c.leaseKey.position.After(f.fence):
		f.fence = c.leaseKey.position
		s.enterStep(f, stepPause)
	case c.leaseKey.pendingKind == pendingWrite && s.now-f.stepStartedAt <= stepTimeout:
	default:
		s.reuseFence(f)
	}
}

// reuseFence continues with the key as the node wrote it last.
func (s *State) reuseFence(f *failover) {
	c := &s.coordinator
	if c.leaseKey.position.IsZero() {
		s.enterStep(f, stepFence)
		f.retryAt = s.now + failoverRetryPause
		return
	}
	f.fence = c.leaseKey.position
	s.enterStep(f, stepPause)
}

// sendFailoverCall sends a call of a failover to an upstream through a VM.
func (s *State) sendFailoverCall(
	u *upstream, vm currantloom.VMName, mode currantloom.CallMode, command currantloom.Command,
	onResult func(currantloom.CallResult),
) {
	m := currantloom.Call{
		Key: s.nextKey(), Service: u.Service, Upstream: u.Name, Mode: mode, Command: command,
		Timeout: commandTimeout, QueueTimeout: commandTimeout,
	}
	s.sendCall(u, vm, m).onResult = onResult
}
