package loomfleet

import (
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// drainTestTimeout is the drain timeout of the nodes of these tests.
const drainTestTimeout = 7 * time.Second

// newDrainFixture returns a node with the drain timeout of these tests that runs for a second already.
func newDrainFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	f.now = time.Second
	f.state.config.DrainTimeout = drainTestTimeout
	return f
}

// draining returns the registration of an upstream that drains.
func draining(name currantloom.UpstreamName, primary bool) UpstreamChange {
	change := testUpstream(name, primary)
	change.Position, change.Upstream.Draining = testStorePosition(30), true
	return change
}

func (f *fixture) apply(changes ...UpstreamChange) {
	f.reduce(CatalogChanged{Stamp: f.stamp(), Position: testStorePosition(30), Upstreams: changes})
}

// connect opens a connection to the upstream that is ready for a call.
func (f *fixture) connect(name currantloom.UpstreamName) {
	f.Helper()
	p := f.state.poolOf(f.state.catalog.upstreams[name])
	p.openConn(f.state, "")
	cn := p.conns[len(p.conns)-1]
	reply := currantloom.Reply{Position: currantloom.NewLogPosition(1, 1)}
	f.reduce(ConnOpened{Stamp: f.stamp(), Conn: cn.id, Reply: reply})
}

// testCallKey is the key of the call of fixture.call.
var testCallKey = currantloom.RequestKey{VM: "vm-2", Number: 1}

// call sends the call of another node to the upstream b to this node.
func (f *fixture) call(mode currantloom.CallMode) {
	f.reduce(MessageReceived{Stamp: f.stamp(), From: "vm-2", Link: 1, Message: currantloom.Call{
		Key: testCallKey, Service: testService, Upstream: "b", Mode: mode,
		Command: currantloom.Command{Kind: currantloom.CommandStatement, ID: "s", Text: "READ 1"},
		Timeout: time.Second, QueueTimeout: maxRequestWait, LatencyBudget: time.Second,
	}})
}

// assertRefused checks whether the last effects answer the call with ReasonDrained, as not run.
func (f *fixture) assertRefused(want bool) {
	f.Helper()
	got := slices.ContainsFunc(f.effects, func(e Effect) bool {
		answer, ok := e.(Respond)
		result, isResult := answer.Message.(currantloom.CallResult)
		return ok && isResult && result.Key == testCallKey && result.Verdict == currantloom.NotRun &&
			result.Reason == currantloom.ReasonDrained
	})
	if got != want {
		f.Errorf("call refused because of the drain: %t, want %t", got, want)
	}
}

// assertSent checks whether the last effects send a statement to an upstream.
func (f *fixture) assertSent(want bool) {
	f.Helper()
	got := slices.ContainsFunc(f.effects, func(e Effect) bool {
		sent, ok := e.(SendCommands)
		return ok && slices.ContainsFunc(sent.Commands, func(c currantloom.Command) bool {
			return c.Kind == currantloom.CommandStatement
		})
	})
	if got != want {
		f.Errorf("statement sent: %t, want %t", got, want)
	}
}

// TestOwnerRefusesDrained guards against an owner that sends new work to an upstream whose drain has lasted too long,
// because the entry node learnt of the drain late.
func TestOwnerRefusesDrained(t *testing.T) {
	ownerOfDraining := func(t *testing.T, since time.Duration) *fixture {
		f := newDrainFixture(t)
		f.configure(currantloom.ReadBoundedStaleness)
		f.apply(draining("b", false))
		f.now += since
		f.connect("b")
		return f
	}
	const deadline = drainTestTimeout - drainMargin
	t.Run("before the deadline", func(t *testing.T) {
		f := ownerOfDraining(t, deadline-TickInterval)
		f.call(currantloom.CallDirect)
		f.assertRefused(false)
		f.assertSent(true)
	})
	t.Run("after the deadline", func(t *testing.T) {
		f := ownerOfDraining(t, deadline)
		f.call(currantloom.CallDirect)
		f.assertRefused(true)
		f.assertSent(false)
	})
	t.Run("verification", func(t *testing.T) {
		f := ownerOfDraining(t, deadline)
		f.call(currantloom.CallVerifyPrimary)
		f.assertRefused(false)
	})
	t.Run("queued before the deadline", func(t *testing.T) {
		f := ownerOfDraining(t, deadline-4*TickInterval)
		p := f.state.owner.pools["b"]
		p.running = p.maxRunning()
		f.call(currantloom.CallDirect)
		f.assertSent(false)
		p.running = 0
		f.now += 4 * TickInterval
		f.connect("b")
		f.assertSent(false)
		f.wait(TickInterval)
		f.assertRefused(true)
		f.assertSent(false)
	})
}

// TestDrainedAnswerDoesNotSpin guards against an entry node that repeats a request at once and without end when the
// owner of its only upstream refuses it.
func TestDrainedAnswerDoesNotSpin(t *testing.T) {
	f := newDrainFixture(t)
	f.configure(currantloom.ReadLatest)
	f.openSession(1)
	f.reduce(StatementReceived{Stamp: f.stamp(), Session: 1, Statement: currantloom.Statement{
		ID: "s1", Kind: currantloom.StatementWrite, Text: "WRITE 1",
	}})
	r := f.state.sessions[1].request
	attempts := 0
	for f.now < 5*time.Second && !r.finished {
		if len(r.calls) > 0 {
			attempts++
			f.state.deferCall(func() {
				f.state.handleCallResult(currantloom.CallResult{
					Key: r.calls[0].key, Verdict: currantloom.NotRun, Reason: currantloom.ReasonDrained,
				})
			})
		}
		f.wait(TickInterval)
	}
	if !r.finished || attempts == 0 || attempts > 8 {
		t.Errorf("%d attempts, finished: %t; want 1 to 8 and an end", attempts, r.finished)
	}
}
