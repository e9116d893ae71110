package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// drainTransactions is how long a planned change waits for open transactions before it holds their statements too.
	drainTransactions = time.Second
	// drainReports is when the reports on open transactions are newer than the hold, between regions too.
	drainReports = 250 * time.Millisecond
	// holdFor bounds the hold of a change whose holder died.
	holdFor = 3 * time.Second
	// verifyTimeout bounds the wait for the answers of a primary that is checked. A carrier that cannot be reached must
	// not delay the change.
	verifyTimeout = 450 * time.Millisecond
	// controlTimeout bounds a command of a failover at one carrier.
	controlTimeout = 300 * time.Millisecond
	// stepTimeout is how long a step waits for the store or for replicas before it starts again.
	stepTimeout = 1500 * time.Millisecond
	// retryPause is the time before a failed change starts again.
	retryPause = 300 * time.Millisecond
	// ackedWait is how long the VMs have to tell the newest commit that they saw acknowledged, a round trip between
	// regions; ackedLimit that of slow ones, which counts for logLostFor after a log was lost.
	ackedWait  = 80 * time.Millisecond
	ackedLimit = 300 * time.Millisecond
	logLostFor = 30 * time.Second
	// stuckPause is the time before commits without an answer start another change, if the last one was in vain.
	stuckPause = 3 * time.Second
	// resumeRetries bounds how often a replica is told to go on.
	resumeRetries = 20
)

// reasonStuck is the reason of a change whose primary answers but cannot commit.
const reasonStuck = "commits are not acknowledged"

// reasonDutyLost is why a change ends at a node that may not go on with it.
const reasonDutyLost = "duty lost"

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
	stepOrder
	// stepAwait: the new primary has to lead.
	stepAwait
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
	// began is the start of the change, stepAt that of the step.
	began, stepAt time.Duration
	// epoch keeps answers of earlier steps apart.
	epoch uint64
	// asked counts the verifications under way, leads says that one found the primary leading.
	asked int
	leads bool
	old   currantloom.UpstreamName
	term  currantloom.Term
	// reports are the logs of the servers that stopped receiving, paused those that may have.
	reports   map[currantloom.UpstreamName]currantloom.ReplicationStatus
	paused    map[currantloom.UpstreamName]bool
	busy      map[currantloom.UpstreamName]bool
	candidate currantloom.UpstreamName
	fence     uint64
	order     uint64
	probing   bool
	probedAt  time.Duration
	retryAt   time.Duration
}

// tickFailovers starts and continues changes of primary while this node holds the duty.
func (s *State) tickFailovers() {
	d := &s.duty
	if !d.isActing(s) {
		for _, g := range s.catalog.ordered {
			if f := d.failovers[g.name]; f != nil {
				s.endFailover(f, reasonDutyLost)
			}
		}
		return
	}
	for _, g := range s.catalog.ordered {
		if f := d.failovers[g.name]; f != nil {
			s.tickFailover(f)
			continue
		}
		if reason, planned := s.needsFailover(g); reason != "" {
			s.startFailover(g, reason, planned)
		}
	}
}

func (s *State) startFailover(g *group, reason string, planned bool) {
	f := &failover{
		group: g, reason: reason, planned: planned, began: s.now, old: g.leader,
		reports: make(map[currantloom.UpstreamName]currantloom.ReplicationStatus),
		paused:  make(map[currantloom.UpstreamName]bool), busy: make(map[currantloom.UpstreamName]bool),
	}
	s.duty.failovers[g.name] = f
	s.log(Decision{
		Event: "failover", Service: g.name, Upstream: f.old, Version: s.duty.lead.revision, Reason: reason,
		Age: s.now - g.leaderAt, Outcome: "started",
	})
	switch {
	case planned:
		s.enter(f, stepDrain)
	case reason == reasonStuck:
		s.enter(f, stepFence)
	default:
		s.enter(f, stepVerify)
	}
}

// enter starts a step.
func (s *State) enter(f *failover, step failoverStep) {
	f.step, f.stepAt = step, s.now
	f.epoch++
	s.log(Decision{
		Event: "failover", Service: f.group.name, Upstream: f.candidate, Age: s.now - f.began, Version: f.fence,
		Reason: f.reason, Outcome: step.String(),
	})
	switch step {
	case stepVerify:
		s.verify(f)
	case stepDrain:
		s.broadcastHold(f, false)
	case stepFence:
		f.fence = 0
	case stepPause:
		s.pauseReplicas(f)
	case stepOrder:
		s.sendOrder(f)
	}
}

func (s *State) tickFailover(f *failover) {
	if s.now < f.retryAt {
		return
	}
	switch f.step {
	case stepVerify:
		if f.asked == 0 || s.now-f.stepAt > verifyTimeout {
			s.verified(f)
		}
	case stepDrain:
		s.tickDrain(f)
	case stepFence:
		s.tickFence(f)
	case stepPause:
		s.tickPause(f)
	case stepOrder:
		if s.now-f.stepAt > stepTimeout {
			// A replica that restarted is no longer paused, so the reports are asked for again.
			s.enter(f, stepPause)
		}
	case stepAwait:
		s.tickAwait(f)
	}
}

// verify asks every upstream that may lead, through two carriers each.
func (s *State) verify(f *failover) {
	f.leads = false
	for _, u := range f.group.upstreams {
		if f.old != "" && u.Name != f.old {
			continue
		}
		for _, vm := range s.witnesses(u) {
			f.asked++
			epoch := f.epoch
			s.control(u, vm, currantloom.CallVerifyPrimary, currantloom.Command{}, func(a currantloom.CallResult) {
				if f.epoch != epoch {
					return
				}
				f.asked--
				f.leads = f.leads || a.Verdict == currantloom.Ran && a.Reply.Code == currantloom.ReplyOK
			})
		}
	}
}

// witnesses returns the VMs through which an upstream is asked: the first choices, and this node.
func (s *State) witnesses(u *upstream) []currantloom.VMName {
	const most = 2
	witnesses := []currantloom.VMName{s.config.Self}
	for _, vm := range s.carriers(u) {
		if len(witnesses) > most {
			break
		}
		if vm != s.config.Self && s.isCarrier(vm) {
			witnesses = append(witnesses, vm)
		}
	}
	return witnesses
}

// verified ends the change if the primary leads, and goes on otherwise.
func (s *State) verified(f *failover) {
	g := f.group
	switch {
	case f.leads || g.leader != "" && g.leader != f.old:
		s.endFailover(f, "a primary leads")
	default:
		s.enter(f, stepFence)
	}
}

// broadcastHold asks all carriers to hold new writes, and with commits the open transactions as well.
func (s *State) broadcastHold(f *failover, commits bool) {
	hold := currantloom.BlockWrites{Service: f.group.name, Duration: holdFor, BlockCommits: commits}
	s.held(hold)
	s.broadcast(hold)
}

func (s *State) broadcast(m currantloom.Message) {
	for _, known := range s.members.ordered {
		if known.alive {
			s.emit(Send{VM: known.vm, Message: m})
		}
	}
}

// tickDrain waits until no transaction that may write is open at the primary.
func (s *State) tickDrain(f *failover) {
	u := f.group.find(f.old)
	if u == nil || f.group.leader != f.old {
		s.enter(f, stepFence)
		return
	}
	s.pingCarriers(u)
	waited := s.now - f.stepAt
	open := 0
	for _, r := range s.reportsOn(u) {
		open += r.OpenWriteTransactions
	}
	if open == 0 && waited > drainReports || waited > drainTransactions {
		s.broadcastHold(f, true)
		s.enter(f, stepFence)
	}
}

// pingCarriers asks the VMs that reported on the upstream again.
func (s *State) pingCarriers(u *upstream) {
	for _, m := range s.members.ordered {
		reports := slices.ContainsFunc(m.reports, func(r currantloom.UpstreamHealth) bool { return r.Name == u.Name })
		if m.alive && !m.waiting && reports {
			s.sendPing(m, "")
		}
	}
}

// tickFence writes a new fence, so that an order whose outcome is unknown cannot be carried out after the next one. An
// unreachable store leaves the old one, if no order under it is open.
func (s *State) tickFence(f *failover) {
	d := &s.duty
	switch {
	case f.fence == 0 && s.catalog.lost:
		s.keepFence(f)
	case f.fence == 0:
		if d.newFence(s) {
			f.fence = d.lead.revision
		} else if s.now-f.stepAt > stepTimeout {
			s.keepFence(f)
		}
	case d.lead.revision > f.fence:
		f.fence = d.lead.revision
		s.enter(f, stepPause)
	case d.lead.pendingKind == pendingWrite && s.now-f.stepAt <= stepTimeout:
	default:
		s.keepFence(f)
	}
}

// keepFence goes on under the fence that the node has, if that is safe.
func (s *State) keepFence(f *failover) {
	d := &s.duty
	if s.hasOpenOrder(f.group) || d.lead.revision == 0 {
		s.enter(f, stepFence)
		f.retryAt = s.now + retryPause
		return
	}
	f.fence = d.lead.revision
	s.enter(f, stepPause)
}

// pauseReplicas stops the replicas, so that no commit can be acknowledged that their reports lack.
func (s *State) pauseReplicas(f *failover) {
	f.term = max(f.term, f.group.term) + 1
	clear(f.reports)
	for _, m := range s.members.ordered {
		if !m.suspected {
			s.sendPing(m, f.group.name)
		}
	}
	for _, u := range f.group.upstreams {
		if u.Name != f.old {
			s.pause(f, u)
		}
	}
}

func (s *State) pause(f *failover, u *upstream) {
	f.paused[u.Name] = true
	s.ask(f, u, currantloom.Command{Kind: currantloom.CommandPauseReplication, Term: f.term})
}

// ask sends a command to an upstream, through the next carrier each time.
func (s *State) ask(f *failover, u *upstream, command currantloom.Command) {
	if f.busy[u.Name] {
		return
	}
	vm, ok := s.carrierOf(u)
	if !ok {
		vm = s.config.Self
	}
	f.busy[u.Name] = true
	epoch := f.epoch
	s.control(u, vm, currantloom.CallFailover, command, func(a currantloom.CallResult) {
		f.busy[u.Name] = false
		if a.Verdict != currantloom.Ran && a.Reason != currantloom.ReasonRefused {
			u.avoid[vm] = s.now + avoidFor
		}
		if f.epoch == epoch && a.Verdict == currantloom.Ran && a.Reply.Code == currantloom.ReplyOK {
			s.reported(f, u, a.Reply)
		}
	})
}

// control runs a command of a failover at an upstream.
func (s *State) control(
	u *upstream, vm currantloom.VMName, mode currantloom.CallMode, command currantloom.Command,
	done func(currantloom.CallResult),
) {
	m := currantloom.Call{
		Key: s.nextKey(), Service: u.Service, Upstream: u.Name, Mode: mode, Command: command,
		Timeout: controlTimeout, QueueTimeout: controlTimeout,
	}
	s.sendCall(u, vm, m).done = done
}

// reported takes the report of a server that stopped receiving.
func (s *State) reported(f *failover, u *upstream, reply currantloom.Reply) {
	if reply.ReplicationStatus == nil {
		return
	}
	status := *reply.ReplicationStatus
	f.reports[u.Name] = status
	f.term = max(f.term, status.Term)
	s.log(Decision{
		Event: "failover", Service: f.group.name, Upstream: u.Name, Position: status.Received, Version: uint64(status.Term),
		Age: s.now - f.began, Outcome: "paused",
	})
	if status.Primary && status.Term > f.group.term {
		f.group.lead(s, u.Name, currantloom.NewLogPosition(status.Term, status.Received.Index()), s.now)
	}
}

// tickPause chooses the next primary once the reports show every acknowledged commit.
func (s *State) tickPause(f *failover) {
	missing := s.missingReports(f)
	if len(missing) == 0 && s.knowsAcked(f) {
		s.chooseNext(f)
		return
	}
	for _, u := range missing {
		s.pause(f, u)
	}
	if old := f.group.find(f.old); old != nil && f.reason != reasonStuck && s.now-f.stepAt > stepTimeout/2 {
		// The log of the old primary holds every commit, so its report replaces that of an unreachable replica.
		s.ask(f, old, currantloom.Command{Kind: currantloom.CommandStepDown, Term: f.term})
	}
	if _, ok := f.reports[f.old]; ok && f.old != "" {
		s.chooseNext(f)
		return
	}
	s.retryPause(f)
}

// knowsAcked reports whether the VMs had the time to tell the newest commit that they saw acknowledged. If a log was
// lost lately, that commit may stand in none of the logs that were reported, so every VM has to answer.
func (s *State) knowsAcked(f *failover) bool {
	waited, lostAt := s.now-f.stepAt, f.group.logLostAt
	switch {
	case waited < ackedWait:
		return false
	case lostAt == 0 || s.now-lostAt > logLostFor || waited >= ackedLimit:
		return true
	}
	return !slices.ContainsFunc(s.members.ordered, func(m *member) bool {
		return m.waiting && !m.suspected && m.pingSentAt >= f.stepAt
	})
}

// retryPause checks now and then whether the old primary leads again, or another one does.
func (s *State) retryPause(f *failover) {
	if s.now-f.stepAt < stepTimeout {
		return
	}
	f.stepAt = s.now
	s.log(Decision{
		Event: "failover", Service: f.group.name, Age: s.now - f.began, Reason: "a replica does not report",
		Outcome: "waiting",
	})
	if f.reason == reasonStuck {
		f.group.stuckUntil = s.now + stuckPause
		s.endFailover(f, "a replica does not report")
		return
	}
	if f.group.leader != f.old || s.now-f.group.leaderAt < s.quietLimit() && !f.planned {
		s.endFailover(f, "a primary leads")
	}
}

// endFailover lets the replicas go on and announces the primary.
func (s *State) endFailover(f *failover, reason string) {
	g := f.group
	delete(s.duty.failovers, g.name)
	f.epoch++
	s.log(Decision{
		Event: "failover", Service: g.name, Upstream: g.leader, Version: uint64(g.term), Reason: reason,
		Age: s.now - f.began, Outcome: "ended",
	})
	g.heldUntil = 0
	if g.leader != "" {
		s.broadcast(currantloom.PrimaryChanged{Service: g.name, Upstream: g.leader, Term: g.term})
	}
	if reason == reasonDutyLost || s.hasOpenOrder(g) {
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
	vm, ok := s.carrierOf(u)
	if !ok {
		vm = s.config.Self
	}
	s.control(u, vm, currantloom.CallFailover, currantloom.Command{Kind: currantloom.CommandResumeReplication},
		func(a currantloom.CallResult) {
			answered := a.Verdict == currantloom.Ran && a.Reply.Code == currantloom.ReplyOK
			known := s.catalog.upstreams[u.Name] == u && s.duty.failovers[u.Service] == nil
			if answered || retries == 0 || !known || !s.duty.isActing(s) {
				return
			}
			u.avoid[vm] = s.now + avoidFor
			s.resumeReplica(u, retries-1)
		})
}
