package loomfleet

import (
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// shutDownWith starts the shutdown of a node, sends it a statement of the kind, and waits.
func shutDownWith(t *testing.T, kind currantloom.StatementKind, duration time.Duration) *fixture {
	t.Helper()
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	f.state.config.GracePeriod = 6 * time.Second
	f.reduce(ShutdownRequested{Stamp: f.stamp()})
	f.wait(loadBalancerDelay - 2*TickInterval)
	f.openSession(1)
	f.reduce(StatementReceived{Stamp: f.stamp(), Session: 1, Statement: currantloom.Statement{
		ID: "s1", Kind: kind, Text: "1",
	}})
	r := f.state.sessions[1].request
	r.route.Timeout = time.Minute
	r.arrivedAt = f.now + time.Minute // so the request is not given up because of its age
	f.wait(duration)
	return f
}

func (f *fixture) indexOf(match func(Effect) bool) int { return slices.IndexFunc(f.effects, match) }

func isReply(e Effect) bool            { _, ok := e.(ReplyToSession); return ok }
func isClose(e Effect) bool            { _, ok := e.(CloseSession); return ok }
func isShutdownFinished(e Effect) bool { _, ok := e.(ShutdownFinished); return ok }

// TestShutdownAnswersPendingStatement guards against a connection that is closed without an answer, because its
// statement takes longer than the grace period.
func TestShutdownAnswersPendingStatement(t *testing.T) {
	f := shutDownWith(t, currantloom.StatementWrite, 6*time.Second)
	answered, stopped := f.indexOf(isReply), f.indexOf(isShutdownFinished)
	if answered < 0 || stopped < 0 || answered > stopped {
		t.Errorf("reply at effect %d, end of the shutdown at %d; want the reply first", answered, stopped)
	}
}

// TestShutdownClosesAnsweredSession guards against a client that keeps its session until the process ends, because it
// sends the next statement right after each answer.
func TestShutdownClosesAnsweredSession(t *testing.T) {
	f := shutDownWith(t, currantloom.StatementWrite, 4*TickInterval)
	f.state.deferCall(func() { f.state.finish(f.state.sessions[1].request, currantloom.Reply{}, nil) })
	f.reduce(Tick{Stamp: f.stamp()})
	answered, closed := f.indexOf(isReply), f.indexOf(isClose)
	if answered < 0 || closed < answered {
		t.Errorf("reply at effect %d, close at %d; want the close after the reply", answered, closed)
	}
}

// TestShutdownReply guards against an answer that says that a statement was not run although it may have run.
func TestShutdownReply(t *testing.T) {
	pending := []*call{{}}
	for _, c := range []struct {
		name    string
		request request
		want    currantloom.ReplyCode
	}{
		{"pending read", request{purpose: purposeRead, calls: pending}, currantloom.ReplyBusy},
		{"parked write", request{purpose: purposeWrite}, currantloom.ReplyBusy},
		{"pending write", request{purpose: purposeWrite, calls: pending}, currantloom.ReplyInDoubt},
		{"pending commit", request{purpose: purposeCommit, calls: pending}, currantloom.ReplyInDoubt},
		{"statement of a transaction", request{purpose: purposeInTransaction, calls: pending}, currantloom.ReplyAborted},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.request.shutdownReply().Code; got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

// TestShutdownDuringPromotion guards against a holder of the failover lease that gives it back while a promotion that
// it requested may still take effect: the next holder does not know of the request and starts a change of its own.
func TestShutdownDuringPromotion(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	f.holdLease()
	f.addMember("vm-2")
	f.wait(pingInterval)
	f.answerPings()
	g := f.state.groupOf(testService)
	f.state.startFailover(g, "primary is draining", true)
	fo := f.state.coordinator.failovers[testService]
	fo.paused["b"], fo.candidate = true, "b"
	f.state.enterStep(fo, stepPromote)
	f.reduce(PromoteAnswered{
		Stamp: f.stamp(), Service: testService, PromotionID: fo.promotionID, Result: currantloom.PromoteAccepted,
	})
	f.reduce(ShutdownRequested{Stamp: f.stamp()})
	f.wait(10 * TickInterval)
	if f.state.coordinator.failovers[testService] != fo || f.state.coordinator.leaseKey.position.IsZero() {
		t.Fatal("the lease was given back before the promotion could take effect")
	}
	g.recordPrimary(f.state, "b", currantloom.NewLogPosition(2, 1), f.now)
	f.wait(2 * TickInterval)
	released := f.indexOf(func(e Effect) bool {
		commit, ok := e.(StoreCommit)
		return ok && commit.Txn.Kind == RegistrationFailoverLease && commit.Txn.Delete
	})
	if released < 0 || f.state.coordinator.failovers[testService] != nil {
		t.Error("the lease was not given back after the promotion took effect")
	}
}

// TestShutdownBeforePause guards against a node that keeps the failover lease while it stops although its failover has
// not done anything yet.
func TestShutdownBeforePause(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	f.holdLease()
	f.addMember("vm-2")
	f.wait(pingInterval)
	f.answerPings()
	f.state.startFailover(f.state.groupOf(testService), "primary is draining", true)
	f.reduce(ShutdownRequested{Stamp: f.stamp()})
	if !f.state.coordinator.leaseKey.position.IsZero() {
		t.Error("the lease is kept for a failover that has touched no upstream")
	}
}

// TestShutdownWithoutSuccessor guards against a commit of an open transaction that nobody may acknowledge any more,
// because the only node has given the failover lease back.
func TestShutdownWithoutSuccessor(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	f.holdLease()
	f.state.sessions[1] = &session{id: 1, status: currantloom.TransactionOpen}
	f.reduce(ShutdownRequested{Stamp: f.stamp()})
	f.wait(f.state.config.GracePeriod/2 - time.Second)
	if c := f.state.coordinator; c.leaseKey.position.IsZero() {
		t.Error("the lease was given back while a transaction was open")
	}
	f.wait(f.state.config.GracePeriod)
	if c := f.state.coordinator; !c.leaseKey.position.IsZero() {
		t.Error("the lease was not given back at the end")
	}
}
