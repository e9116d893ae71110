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

// assertUsable checks whether the upstream gets new work.
func (f *fixture) assertUsable(name currantloom.UpstreamName, want bool) {
	f.Helper()
	f.state.now = f.now
	if got := f.state.catalog.upstreams[name].isUsable(f.state); got != want {
		f.Errorf("upstream %s usable at %s: %t, want %t", name, f.now, got, want)
	}
}

// tellDrain answers the pending ping to the other node with the age of a drain.
func (f *fixture) tellDrain(drain currantloom.UpstreamDrain) {
	f.Helper()
	f.reduce(MessageReceived{Stamp: f.stamp(), From: "vm-2", Message: currantloom.Pong{
		Number: f.state.members.byName["vm-2"].pingNumber, Drains: []currantloom.UpstreamDrain{drain},
	}})
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

// TestDrainCountsFromEarliestNode guards against a node that counts a drain from the time at which it learnt of it or
// started, while other nodes have known it for longer.
func TestDrainCountsFromEarliestNode(t *testing.T) {
	const age = 4 * time.Second
	told := currantloom.UpstreamDrain{Upstream: "b", Incarnation: 1, Age: age}
	late := func(t *testing.T) *fixture {
		f := newDrainFixture(t)
		f.configure(currantloom.ReadBoundedStaleness)
		f.addMember("vm-2")
		f.apply(draining("b", false))
		f.wait(pingInterval)
		return f
	}
	t.Run("learnt late", func(t *testing.T) {
		f := late(t)
		asked := f.state.members.byName["vm-2"].pingSentAt
		f.tellDrain(told)
		f.now = asked - age + drainTestTimeout - drainMargin
		f.assertUsable("b", false)
	})
	t.Run("learnt later by the other node", func(t *testing.T) {
		f := late(t)
		f.tellDrain(currantloom.UpstreamDrain{Upstream: "b", Incarnation: 1, Age: time.Millisecond})
		f.now = time.Second + drainTestTimeout - drainMargin
		f.assertUsable("b", false)
	})
	t.Run("of another process", func(t *testing.T) {
		f := late(t)
		f.tellDrain(currantloom.UpstreamDrain{Upstream: "b", Incarnation: 2, Age: time.Hour})
		f.assertUsable("b", true)
	})
	t.Run("told what was seen only", func(t *testing.T) {
		f := late(t)
		f.tellDrain(told)
		f.now = 2 * time.Second
		f.state.now = f.now
		want := []currantloom.UpstreamDrain{{Upstream: "b", Incarnation: 1, Age: time.Second}}
		if got := f.state.buildPong(currantloom.Ping{}).Drains; !slices.Equal(got, want) {
			t.Errorf("told %+v, want %+v: an age that is passed on grows with each message", got, want)
		}
	})
}

// TestDrainFoundAtStart guards against a process that starts while an upstream drains and uses it as if the drain had
// just begun.
func TestDrainFoundAtStart(t *testing.T) {
	start := func(t *testing.T, primary bool) *fixture {
		f := newDrainFixture(t)
		f.now = TickInterval
		name := currantloom.UpstreamName("b")
		if primary {
			name = "a"
		}
		f.reduce(CatalogChanged{
			Stamp: f.stamp(), Snapshot: true, Position: testStorePosition(10),
			Configuration: testConfiguration(1, currantloom.ReadBoundedStaleness),
			Upstreams:     []UpstreamChange{testUpstream("c", false), draining(name, primary)},
			Members: []MemberChange{{
				VM:          currantloom.NewVM("vm-2", testLocation, "10.0.0.2:1", "", currantloom.VMLive),
				Incarnation: 1, Position: testStorePosition(6),
			}},
		})
		f.wait(pingInterval + TickInterval)
		return f
	}
	t.Run("replica", func(t *testing.T) { start(t, false).assertUsable("b", false) })
	t.Run("replica, nobody tells", func(t *testing.T) {
		f := start(t, false)
		f.wait(2 * suspectAfter)
		f.assertUsable("b", false)
	})
	t.Run("primary", func(t *testing.T) { start(t, true).assertUsable("a", false) })
	t.Run("primary, nobody tells", func(t *testing.T) {
		f := start(t, true)
		f.wait(suspectAfter)
		f.assertUsable("a", true)
	})
	for _, c := range []struct {
		name   string
		age    time.Duration
		usable bool
	}{
		{"told that it began lately", 2 * time.Second, true},
		{"told that it began long ago", 10 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, true)
			f.tellDrain(currantloom.UpstreamDrain{Upstream: "a", Incarnation: 1, Age: c.age})
			f.assertUsable("a", c.usable)
			if !f.state.catalog.upstreams["a"].isTerminating() {
				t.Error("the upstream does not count as draining any more")
			}
		})
	}
	t.Run("not passed on", func(t *testing.T) {
		f := start(t, false)
		if got := f.state.buildPong(currantloom.Ping{}).Drains; len(got) > 0 {
			t.Errorf("told %+v, but when the drain began is not known", got)
		}
	})
}
