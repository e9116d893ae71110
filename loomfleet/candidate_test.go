package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// pausedFailover starts a failover whose replicas are paused, and which needs nothing but a record of the change.
func (f *fixture) pausedFailover(g *group) *failover {
	f.Helper()
	f.state.startFailover(g, "primary is quiet", false)
	fo := f.state.coordinator.failovers[testService]
	fo.commits = newCommitBlock(1, nil)
	f.state.enterStep(fo, stepPause)
	for _, name := range []currantloom.UpstreamName{"b", "c"} {
		fo.proof.record(g.find(name).Upstream, halt{log: replicaLog{term: 1, received: currantloom.NewLogPosition(1, 7)}})
	}
	f.now += minAckedWait + TickInterval
	f.state.now = f.now
	return fo
}

// TestFailoverWaitsForAckedPosition guards against the promotion of a replica that lacks an acknowledged commit. It
// comes about when the upstream that had received the commit has lost its log, and the VM that saw the acknowledgement
// answers its ping late.
func TestFailoverWaitsForAckedPosition(t *testing.T) {
	pausedFailover := func(t *testing.T, logLost bool) (*fixture, *failover) {
		f := newFixture(t)
		f.configure(currantloom.ReadLatest)
		f.state.coordinator.leaseKey.position = testStorePosition(11)
		f.addMember("vm-2")
		f.wait(pingInterval)
		f.answerPings()
		g := f.state.groupOf(testService)
		if logLost {
			f.reduce(CatalogChanged{Stamp: f.stamp(), Position: testStorePosition(30), Upstreams: []UpstreamChange{
				{Position: testStorePosition(30), Upstream: testUpstream("c", false).Upstream, Deleted: true},
			}})
			f.now += deletionGrace + TickInterval
			f.state.now = f.now
		}
		fo := f.pausedFailover(g)
		f.recordChange()
		f.state.tickPause(fo)
		return f, fo
	}
	t.Run("no log lost", func(t *testing.T) {
		if _, fo := pausedFailover(t, false); fo.step != stepPromote {
			t.Errorf("step %s after %s, want promote", fo.step, minAckedWait)
		}
	})
	t.Run("log lost", func(t *testing.T) {
		f, fo := pausedFailover(t, true)
		if fo.step != stepPause {
			t.Fatalf("step %s before the slow VM answered, want pause", fo.step)
		}
		f.reduce(MessageReceived{Stamp: f.stamp(), From: "vm-2", Message: currantloom.Pong{
			Number:         f.state.members.byName["vm-2"].pingNumber,
			AckedPositions: []currantloom.AckedPosition{{Service: testService, Position: currantloom.NewLogPosition(1, 8)}},
		}})
		f.state.tickPause(fo)
		if fo.step == stepPromote {
			t.Errorf("%s is to be promoted although it lacks the acknowledged commit", fo.candidate)
		}
	})
}

// TestPendingPromotion guards against resuming replicas while an accepted promotion has not taken effect: commits that
// they acknowledge in the meantime are missing in the new primary.
func TestPendingPromotion(t *testing.T) {
	awaitingPromotion := func(t *testing.T) (*fixture, *failover) {
		f := newFixture(t)
		f.configure(currantloom.ReadLatest)
		f.state.coordinator.leaseKey.position = testStorePosition(11)
		f.state.startFailover(f.state.groupOf(testService), "primary is quiet", false)
		f.recordChange()
		fo := f.state.coordinator.failovers[testService]
		fo.paused["b"], fo.paused["c"] = true, true
		fo.candidate = "b"
		f.state.enterStep(fo, stepPromote)
		f.reduce(PromoteAnswered{
			Stamp: f.stamp(), Service: testService, PromotionID: fo.promotionID, Result: currantloom.PromoteAccepted,
		})
		return f, fo
	}
	resumeCommands := func(f *fixture) int {
		count := 0
		for _, c := range f.state.requests.calls {
			if c.mode == currantloom.CallFailover {
				count++
			}
		}
		return count
	}
	t.Run("shutdown before it takes effect", func(t *testing.T) {
		f, fo := awaitingPromotion(t)
		f.state.endFailover(fo, "shutdown")
		if got := resumeCommands(f); got != 0 {
			t.Errorf("%d replicas are told to resume, want none", got)
		}
	})
	t.Run("a replica restarts before it takes effect", func(t *testing.T) {
		f, fo := awaitingPromotion(t)
		f.now += primaryProbeInterval
		f.state.now = f.now
		f.state.tickAwaitPrimary(fo)
		if !fo.commandPending["c"] || fo.commandPending["b"] {
			t.Errorf("commands pending at %v, want the other replica paused again, not the candidate", fo.commandPending)
		}
	})
	t.Run("it took effect", func(t *testing.T) {
		f, fo := awaitingPromotion(t)
		f.state.groupOf(testService).recordPrimary(f.state, "b", currantloom.NewLogPosition(2, 1), f.now)
		f.state.endFailover(fo, "promoted")
		if got := resumeCommands(f); got != 2 {
			t.Errorf("%d replicas are told to resume, want both", got)
		}
	})
}

// TestResumeWithoutLease guards against a node that has lost the failover lease and resumes replicas that the next
// holder paused.
func TestResumeWithoutLease(t *testing.T) {
	startedFailover := func(t *testing.T) (*fixture, *failover) {
		f := newFixture(t)
		f.configure(currantloom.ReadLatest)
		f.state.startFailover(f.state.groupOf(testService), reasonCommitsStalled, false)
		fo := f.state.coordinator.failovers[testService]
		fo.paused["b"] = true
		return f, fo
	}
	t.Run("when it loses the lease", func(t *testing.T) {
		f, fo := startedFailover(t)
		before := len(f.state.requests.calls)
		f.state.endFailover(fo, reasonLeaseLost)
		if got := len(f.state.requests.calls) - before; got != 0 {
			t.Errorf("%d commands after the lease was lost, want none", got)
		}
	})
	t.Run("writes stay blocked when it loses the lease", func(t *testing.T) {
		f, fo := startedFailover(t)
		f.addMember("vm-2")
		f.wait(pingInterval)
		f.answerPings()
		f.state.broadcastBlockWrites(fo, true, "b")
		f.state.effects = nil
		f.state.endFailover(fo, reasonLeaseLost)
		f.effects = append([]Effect(nil), f.state.effects...)
		for _, sent := range effectsOf[Send](f) {
			if announced, ok := sent.Message.(currantloom.PrimaryChanged); ok {
				t.Errorf("%+v lets writes go at all nodes", announced)
			}
		}
		if g := fo.group; g.writesBlockedUntil <= f.now {
			t.Error("writes are let go although a promotion may be pending")
		}
	})
	t.Run("when a command has failed", func(t *testing.T) {
		f, fo := startedFailover(t)
		f.state.endFailover(fo, "no candidate")
		for key := range f.state.requests.calls {
			f.state.handleCallResult(currantloom.CallResult{Key: key, Reason: currantloom.ReasonTimeout})
		}
		if got := len(f.state.requests.calls); got != 0 {
			t.Errorf("%d commands are repeated without the lease, want none", got)
		}
	})
}

// TestRepeatedPromotion guards against repeating a promotion with old statuses: a replica that has restarted is no
// longer paused, and may have acknowledged commits that the candidate lacks.
func TestRepeatedPromotion(t *testing.T) {
	for _, result := range []currantloom.PromoteResult{currantloom.PromoteNotDone, currantloom.PromoteUnknown} {
		t.Run(result.String(), func(t *testing.T) {
			f := newFixture(t)
			f.configure(currantloom.ReadLatest)
			f.state.coordinator.leaseKey.position = testStorePosition(11)
			f.state.startFailover(f.state.groupOf(testService), "primary is quiet", false)
			f.recordChange()
			fo := f.state.coordinator.failovers[testService]
			fo.candidate = "b"
			b := f.state.catalog.upstreams["b"].Upstream
			fo.proof.record(b, halt{log: replicaLog{term: 1, received: currantloom.NewLogPosition(1, 7)}})
			f.state.enterStep(fo, stepPromote)
			f.reduce(PromoteAnswered{Stamp: f.stamp(), Service: testService, PromotionID: fo.promotionID, Result: result})
			f.state.now += stepTimeout
			f.state.tickFailover(fo)
			if fo.step != stepPause || len(fo.proof.halts) != 0 {
				t.Errorf("step %s with %d paused replicas, want pause without any", fo.step, len(fo.proof.halts))
			}
		})
	}
}

// TestPauseWithOldTerm guards against a replica that ignores the pause, because its term is newer than this node knows,
// and whose status is taken for final although it still receives commits.
func TestPauseWithOldTerm(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	g := f.state.groupOf(testService)
	g.term = 2
	f.state.startFailover(g, reasonCommitsStalled, false)
	fo := f.state.coordinator.failovers[testService]
	f.state.enterStep(fo, stepPause)
	answer := func(name currantloom.UpstreamName, command, reported, held currantloom.Term) {
		pause := currantloom.Command{Kind: currantloom.CommandPauseReplication, Term: command}
		f.state.recordStatus(fo, g.find(name), pause, currantloom.Reply{
			ReplicationStatus: &currantloom.ReplicationStatus{
				Term: reported, Received: currantloom.NewLogPosition(reported, 7), Held: held,
			},
		}, f.now)
	}
	answer("b", 3, 2, 3)
	answer("c", 3, 3, 0)
	if len(fo.proof.halts) != 0 || fo.proof.term != 4 {
		t.Errorf("%d paused replicas and term %d after one reported term 3, want none and 4", len(fo.proof.halts),
			fo.proof.term)
	}
	answer("b", 4, 3, 4)
	answer("c", 4, 3, 4)
	if len(fo.proof.halts) != 2 {
		t.Errorf("%d paused replicas, want 2", len(fo.proof.halts))
	}
}

// TestOtherPrimaryEndsFailover guards against a failover that goes on after the request of another holder has replaced
// the primary: it pauses the replicas of the new primary and promotes one that lacks what was acknowledged since.
func TestOtherPrimaryEndsFailover(t *testing.T) {
	started := func(t *testing.T, step failoverStep) (*fixture, *group, *failover) {
		f := newFixture(t)
		f.configure(currantloom.ReadLatest)
		f.state.coordinator.leaseKey.position = testStorePosition(11)
		g := f.state.groupOf(testService)
		f.state.startFailover(g, "primary is draining", true)
		f.recordChange()
		fo := f.state.coordinator.failovers[testService]
		fo.candidate = "c"
		f.state.enterStep(fo, step)
		return f, g, fo
	}
	for _, step := range []failoverStep{stepVerify, stepDrain, stepFence, stepPause} {
		t.Run(step.String(), func(t *testing.T) {
			f, g, fo := started(t, step)
			g.setPrimary(f.state, "b", "reported")
			f.state.tickFailover(fo)
			if f.state.coordinator.failovers[testService] != nil {
				t.Errorf("the failover goes on in step %s", fo.step)
			}
		})
	}
	t.Run("a promotion is requested", func(t *testing.T) {
		f, g, fo := started(t, stepPromote)
		g.setPrimary(f.state, "b", "reported")
		f.state.now += primaryProbeInterval
		f.state.effects = nil
		f.state.tickFailover(fo)
		f.effects = append([]Effect(nil), f.state.effects...)
		if requests := effectsOf[Promote](f); fo.step != stepPromote || len(requests) != 0 {
			t.Errorf("step %s, requests %+v, want the request awaited that cannot be taken back", fo.step, requests)
		}
		if fo.oldPrimary != "b" || !fo.commandPending["b"] || fo.commandPending["c"] {
			t.Errorf("%q is to step down, commands pending at %v, want the new primary", fo.oldPrimary, fo.commandPending)
		}
	})
	t.Run("status of a primary", func(t *testing.T) {
		f, g, fo := started(t, stepPause)
		term := fo.proof.term
		f.state.recordStatus(fo, g.find("b"), currantloom.Command{Term: term}, currantloom.Reply{
			ReplicationStatus: &currantloom.ReplicationStatus{
				Primary: true, Term: term - 1, Received: currantloom.NewLogPosition(term-1, 7), Held: term,
			},
		}, f.now)
		if _, ok := fo.proof.haltOf(g.find("b").Upstream); ok {
			t.Error("an upstream that acts as primary counts as paused")
		}
	})
}

// TestIgnoredPause guards against a replica that ignores a pause because another upstream has led since, has not heard
// of that term itself, and still counts as paused: it goes on to acknowledge commits that the promoted upstream lacks.
func TestIgnoredPause(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	g := f.state.groupOf(testService)
	f.state.startFailover(g, reasonCommitsStalled, false)
	fo := f.state.coordinator.failovers[testService]
	f.state.enterStep(fo, stepPause)
	term := fo.proof.term
	pause := currantloom.Command{Kind: currantloom.CommandPauseReplication, Term: term}
	f.state.recordStatus(fo, g.find("c"), pause, currantloom.Reply{ReplicationStatus: &currantloom.ReplicationStatus{
		Term: term - 1, Received: currantloom.NewLogPosition(term-1, 7),
	}}, f.now)
	if _, ok := fo.proof.haltOf(g.find("c").Upstream); ok {
		t.Error("a replica that ignored the pause counts as paused")
	}
	if fo.proof.term <= term {
		t.Errorf("the next pause has term %d, which replicas ignore again", fo.proof.term)
	}
}

// replicationCommands returns the replication commands that are pending, by upstream.
func (f *fixture) replicationCommands() map[currantloom.UpstreamName]currantloom.CommandKind {
	pending := make(map[currantloom.UpstreamName]currantloom.CommandKind)
	for _, c := range f.state.requests.calls {
		if j := f.state.owner.jobs[c.key]; c.mode == currantloom.CallFailover && j != nil {
			pending[c.upstream.Name] = j.call.Command.Kind
		}
	}
	return pending
}

// TestPrimaryStepsDownFirst guards against a planned change that orders the promotion while the old primary still
// commits: a replica that nobody has paused may acknowledge commits that the promoted upstream lacks.
func TestPrimaryStepsDownFirst(t *testing.T) {
	started := func(t *testing.T) (*fixture, *failover) {
		f := newFixture(t)
		f.now = time.Second
		f.configure(currantloom.ReadLatest)
		lease := &f.state.coordinator.leaseKey
		lease.position, lease.validUntil, lease.renewAt = testStorePosition(11), time.Hour, time.Hour
		f.nameHolder()
		g := f.state.groupOf(testService)
		g.recordPrimary(f.state, "a", currantloom.NewLogPosition(1, 7), f.now)
		f.state.startFailover(g, "primary is draining", true)
		fo := f.state.coordinator.failovers[testService]
		f.state.enterStep(fo, stepPause)
		f.state.Reduce(Tick{Stamp: f.stamp()})
		return f, fo
	}
	answer := func(f *fixture, fo *failover, name currantloom.UpstreamName, status currantloom.ReplicationStatus) {
		u := f.state.catalog.upstreams[name]
		kind := f.replicationCommands()[name]
		fo.commandPending[name] = false
		f.state.recordStatus(fo, u, currantloom.Command{Kind: kind, Term: fo.proof.term},
			currantloom.Reply{ReplicationStatus: &status}, f.now)
		for key, c := range f.state.requests.calls {
			if c.mode == currantloom.CallFailover && c.upstream == u {
				delete(f.state.requests.calls, key)
			}
		}
		f.wait(TickInterval)
	}
	position := currantloom.NewLogPosition(1, 7)
	t.Run("it answers", func(t *testing.T) {
		f, fo := started(t)
		for _, want := range []currantloom.CommandKind{
			currantloom.CommandReplicationStatus, currantloom.CommandStepDown, currantloom.CommandPauseReplication,
		} {
			if got := f.replicationCommands(); len(got) != 1 || got["a"] != want {
				t.Fatalf("commands %v, want %s for the old primary alone", got, want)
			}
			answer(f, fo, "a", currantloom.ReplicationStatus{
				Primary: want == currantloom.CommandReplicationStatus, Term: 1, Received: position,
				Held: map[bool]currantloom.Term{true: 2}[want == currantloom.CommandPauseReplication],
			})
		}
		if got := f.replicationCommands(); len(got) != 2 || got["a"] != 0 {
			t.Errorf("commands %v after the primary has stepped down, want both replicas paused", got)
		}
	})
	t.Run("it is a replica already", func(t *testing.T) {
		f, fo := started(t)
		answer(f, fo, "a", currantloom.ReplicationStatus{Term: 1, Received: position})
		f.wait(TickInterval)
		if got := f.replicationCommands(); got["a"] != currantloom.CommandPauseReplication || len(got) != 3 {
			t.Errorf("commands %v, want all upstreams paused", got)
		}
	})
	t.Run("it does not answer", func(t *testing.T) {
		f, _ := started(t)
		f.wait(stepDownTimeout + 2*TickInterval)
		if got := f.replicationCommands(); got["b"] != currantloom.CommandPauseReplication {
			t.Errorf("commands %v after %s, want the replicas paused", got, stepDownTimeout)
		}
	})
}

// TestWritesBlockedUntilSuccessorLeads guards against writes that are let go while a promotion may still take effect,
// because another upstream than the promoted one leads or a late announcement arrives.
func TestWritesBlockedUntilSuccessorLeads(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	g := f.state.groupOf(testService)
	g.recordPrimary(f.state, "a", currantloom.NewLogPosition(2, 7), f.now)
	block := currantloom.BlockWrites{Service: testService, Duration: time.Second, BlockCommits: true, Successor: "c"}
	f.reduce(MessageReceived{Stamp: f.stamp(), From: "vm-2", Message: block})
	f.reduce(MessageReceived{Stamp: f.stamp(), From: "vm-3", Message: currantloom.PrimaryChanged{
		Service: testService, Upstream: "a", Term: 1,
	}})
	g.recordPrimary(f.state, "b", currantloom.NewLogPosition(3, 8), f.now)
	write := &job{call: currantloom.Call{Mode: currantloom.CallDirect, Command: currantloom.Command{Writes: true}}}
	if !f.state.poolOf(g.find("b")).isBlocked(f.state, write) {
		t.Error("writes run at an upstream that is about to be replaced")
	}
	g.recordPrimary(f.state, "c", currantloom.NewLogPosition(4, 8), f.now)
	if f.state.poolOf(g.find("c")).isBlocked(f.state, write) {
		t.Error("writes are blocked at the upstream that was promoted")
	}
}
