package loomfleet

import (
	"strings"
	"testing"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomquota"
)

const (
	limitedOrganisation = currantloom.OrganisationName("linz")
	freeOrganisation    = currantloom.OrganisationName("graz")
)

// configureLimit applies a configuration with an organisation that has the limit and one without a limit.
func (f *fixture) configureLimit(version uint64, limit currantloom.RateLimit) {
	c := testConfiguration(version, currantloom.ReadLatest)
	c.Organisations = currantloom.NewOrganisations()
	c.Organisations.Add(
		currantloom.Organisation{Name: limitedOrganisation, Limit: limit}, currantloom.DigestKey("limited"))
	c.Organisations.Add(currantloom.Organisation{Name: freeOrganisation}, currantloom.DigestKey("free"))
	f.reduce(CatalogChanged{
		Stamp: f.stamp(), Snapshot: true, Position: testStorePosition(10), Configuration: c,
		Upstreams: []UpstreamChange{testUpstream("a", true), testUpstream("b", false), testUpstream("c", false)},
	})
}

// newLimitedFixture returns a node whose organisation has a limit, with sessions 1 to n of that organisation.
func newLimitedFixture(t *testing.T, limit currantloom.RateLimit, n int) *fixture {
	t.Helper()
	f := newFixture(t)
	f.now = time.Second
	f.configureLimit(1, limit)
	f.wait(time.Second)
	for i := range n {
		f.reduce(SessionOpened{Stamp: f.stamp(), Session: SessionID(i + 1), Startup: currantloom.Startup{
			Database: testDatabase, Key: currantloom.DigestKey("limited"),
		}})
	}
	return f
}

func (f *fixture) sendStatement(session SessionID, kind currantloom.StatementKind) {
	f.reduce(StatementReceived{Stamp: f.stamp(), Session: session, Statement: currantloom.Statement{
		ID: "s", Kind: kind, Text: "READ 1",
	}})
}

// request returns the pending request of a session; nil if there is none.
func (f *fixture) request(session SessionID) *request { return f.state.sessions[session].request }

// tokenMessages returns the requests and answers for tokens among the last effects, with the VMs that they are for.
func (f *fixture) tokenMessages() map[currantloom.VMName]currantloom.Message {
	messages := make(map[currantloom.VMName]currantloom.Message)
	for _, e := range f.effects {
		switch e := e.(type) {
		case Send:
			switch e.Message.(type) {
			case currantloom.TokenRequest, currantloom.TokenAnswer:
				messages[e.VM.Name()] = e.Message
			}
		case Respond:
			if _, ok := e.Message.(currantloom.TokenAnswer); ok {
				messages[""] = e.Message
			}
		}
	}
	return messages
}

// TestNoLimits guards against messages and state for limits in a deployment in which no organisation has one.
func TestNoLimits(t *testing.T) {
	f := newLimitedFixture(t, currantloom.RateLimit{}, 1)
	f.addMember("vm-2")
	f.sendStatement(1, currantloom.StatementRead)
	f.wait(3 * time.Second)
	if f.state.limits.entry != nil || len(f.tokenMessages()) > 0 {
		t.Errorf("a deployment without limits keeps state for them, or sends %v", f.tokenMessages())
	}
}

// TestLimit guards against a node that runs more operations than the limit allows, that answers the others with another
// code or without a time, or that refuses operations of an organisation without a limit.
func TestLimit(t *testing.T) {
	const sessions = 100
	f := newLimitedFixture(t, currantloom.RateLimit{PerSecond: 4, Burst: 4}, sessions)
	f.reduce(SessionOpened{Stamp: f.stamp(), Session: sessions + 1, Startup: currantloom.Startup{
		Database: testDatabase, Key: currantloom.DigestKey("free"),
	}})
	refused := 0
	var all []Effect
	for i := range SessionID(sessions) {
		f.sendStatement(i+1, currantloom.StatementRead)
		all = append(all, f.effects...)
	}
	f.wait(400 * time.Millisecond)
	f.effects = append(all, f.effects...)
	for i := range SessionID(sessions) {
		for _, reply := range f.repliesTo(i + 1) {
			if reply.Code != currantloom.ReplyBusy || !strings.HasPrefix(reply.Detail, "retry after ") {
				t.Errorf("answer %+v", reply)
			}
			refused++
		}
	}
	if running := sessions - refused; running < 4 || running > 6 {
		t.Errorf("%d operations run 1.4 s after the start of a limit of 4 a second, want 4 to 6", running)
	}
	f.sendStatement(sessions+1, currantloom.StatementRead)
	if r := f.request(sessions + 1); r == nil || r.attempt+len(f.state.requests.parked) == 0 {
		t.Errorf("the operation of an organisation without a limit did not start")
	}
}

// TestTokensOfTransaction guards against a transaction whose later statements need tokens of their own.
func TestTokensOfTransaction(t *testing.T) {
	f := newLimitedFixture(t, currantloom.RateLimit{PerSecond: 4, Burst: 4}, 1)
	f.addMember("vm-2")
	f.sendStatement(1, currantloom.StatementBegin)
	f.assertReply(1, currantloom.ReplyOK)
	f.sendStatement(1, currantloom.StatementRead)
	f.wait(400 * time.Millisecond)
	r := f.request(1)
	if r == nil || r.tokens.held != 1 {
		t.Fatalf("the first statement of the transaction has no token: %+v", r)
	}
	r.tokens.mayHaveRun = true
	sn := f.state.sessions[1]
	sn.transaction.opened, sn.transaction.upstream = true, f.state.catalog.upstreams["a"]
	sn.transaction.vm = "vm-2"
	f.state.finish(r, currantloom.Reply{TransactionStatus: currantloom.TransactionOpen}, nil)
	f.sendStatement(1, currantloom.StatementRead)
	if r := f.request(1); r == nil || r.tokens.waiting || r.tokens.held != 0 || r.attempt != 1 {
		t.Errorf("a later statement of the transaction: %+v, want it sent without a token", r)
	}
}

// TestEndOfWait guards against requests that wait for a token and outlive their client, the limit or the process.
func TestEndOfWait(t *testing.T) {
	waiting := func(t *testing.T) *fixture {
		f := newLimitedFixture(t, currantloom.RateLimit{PerSecond: 0.9, Burst: 1}, 1)
		f.sendStatement(1, currantloom.StatementWrite)
		if r := f.request(1); r == nil || !r.tokens.waiting || len(f.state.limits.waiting) != 1 {
			t.Fatalf("the request does not wait: %+v", r.tokens)
		}
		return f
	}
	t.Run("client leaves", func(t *testing.T) {
		f := waiting(t)
		f.reduce(SessionClosed{Stamp: f.stamp(), Session: 1})
		if len(f.state.limits.waiting) != 0 {
			t.Error("the request still waits")
		}
		f.wait(time.Second)
	})
	t.Run("limit removed", func(t *testing.T) {
		f := waiting(t)
		f.configureLimit(2, currantloom.RateLimit{})
		f.wait(TickInterval)
		if r := f.request(1); r == nil || r.tokens.waiting || r.attempt == 0 && !r.parked {
			t.Errorf("the request was not started: %+v", r)
		}
		f.state.finish(f.request(1), currantloom.Reply{}, nil)
	})
	t.Run("shutdown", func(t *testing.T) {
		f := waiting(t)
		f.reduce(ShutdownRequested{Stamp: f.stamp()})
		f.wait(TickInterval)
		f.state.answerRemaining()
		if len(f.state.limits.waiting) != 0 || f.request(1) != nil {
			t.Error("the request still waits")
		}
	})
	t.Run("no token in time", func(t *testing.T) {
		f := waiting(t)
		f.state.dropLimiters("test")
		f.wait(400 * time.Millisecond)
		f.assertReply(1, currantloom.ReplyBusy)
	})
}

// TestReturnedToken guards against tokens that are lost with operations that did not run, and against tokens that are
// returned although the operation may have run.
func TestReturnedToken(t *testing.T) {
	for _, c := range []struct {
		name       string
		mayHaveRun bool
		want       int
	}{{"did not run", false, 1}, {"may have run", true, 0}} {
		t.Run(c.name, func(t *testing.T) {
			f := newLimitedFixture(t, currantloom.RateLimit{PerSecond: 4, Burst: 4}, 1)
			f.sendStatement(1, currantloom.StatementRead)
			f.wait(400 * time.Millisecond)
			r := f.request(1)
			before := f.state.limits.entry.Tokens(limitedOrganisation)
			r.tokens.mayHaveRun, r.calls = c.mayHaveRun, nil
			f.state.finish(r, currantloom.Reply{Code: currantloom.ReplyBusy}, nil)
			if got := f.state.limits.entry.Tokens(limitedOrganisation) - before; got != c.want {
				t.Errorf("%d tokens were returned, want %d", got, c.want)
			}
		})
	}
}

// waitAnsweringPings advances the time like wait, and answers the pings to all VMs but one.
func (f *fixture) waitAnsweringPings(d time.Duration, silent currantloom.VMName) {
	var all []Effect
	for end := f.now + d; f.now < end; {
		f.wait(TickInterval)
		all = append(all, f.effects...)
		for _, m := range f.state.members.sorted {
			if m.pongPending && m.vm.Name() != silent {
				f.reduce(MessageReceived{
					Stamp: f.stamp(), From: m.vm.Name(), Message: currantloom.Pong{Number: m.pingNumber},
				})
			}
		}
	}
	f.effects = all
}

// TestLimiterChoice guards against requests that go on to a limiter that does not answer, is known not to answer, or
// shuts down.
func TestLimiterChoice(t *testing.T) {
	// fleet returns a node of three whose limiter is another VM, and the names of that one and of the next.
	fleet := func(t *testing.T) (f *fixture, first, second currantloom.VMName) {
		f = newLimitedFixture(t, currantloom.RateLimit{PerSecond: 4, Burst: 4}, 1)
		for _, vm := range []currantloom.VMName{"vm-2", "vm-3", "vm-4", "vm-5"} {
			f.addMember(vm)
		}
		f.state.limits.choices = make([]limiterChoice, 1)
		candidates := f.state.limiterCandidates(0)
		first, second = candidates[0], candidates[1]
		if first == testSelf || second == testSelf {
			t.Fatalf("the limiter is this node: %v", candidates)
		}
		f.sendStatement(1, currantloom.StatementRead)
		f.wait(TickInterval)
		if _, ok := f.tokenMessages()[first]; !ok {
			t.Fatalf("messages %v, want a request to %s", f.tokenMessages(), first)
		}
		return f, first, second
	}
	assertNext := func(t *testing.T, f *fixture, next currantloom.VMName) {
		t.Helper()
		if _, ok := f.tokenMessages()[next]; !ok || f.state.limits.entry.Limiter(0) != next {
			t.Errorf("messages %v, want a request to %s", f.tokenMessages(), next)
		}
	}
	t.Run("no answer", func(t *testing.T) {
		f, first, second := fleet(t)
		f.state.members.byName[first].pingSentAt = 0
		f.waitAnsweringPings(loomquota.UnansweredTime, first)
		assertNext(t, f, second)
		if !f.state.members.byName[first].pongPending {
			t.Errorf("%s was not pinged", first)
		}
	})
	t.Run("link failed", func(t *testing.T) {
		f, first, second := fleet(t)
		f.reduce(OutboundLinkFailed{Stamp: f.stamp(), VM: first, Sent: true})
		f.wait(TickInterval)
		assertNext(t, f, second)
	})
	t.Run("shuts down", func(t *testing.T) {
		f, first, second := fleet(t)
		f.reduce(MessageReceived{Stamp: f.stamp(), From: first, Link: 1, Message: currantloom.ShutdownNotice{}})
		f.wait(TickInterval)
		assertNext(t, f, second)
	})
}

// TestLimiterState guards against a limiter that goes on with buckets from before a pause, that answers while it shuts
// down, or that keeps state when nodes no longer ask it.
func TestLimiterState(t *testing.T) {
	ask := func(f *fixture, sent time.Duration) {
		f.reduce(MessageReceived{Stamp: f.stamp(), From: "vm-2", Link: 7, Message: currantloom.TokenRequest{
			Incarnation: 1, Shards: 2, Sent: sent, Fresh: true, Full: true,
			Demands: []currantloom.TokenDemand{{Organisation: limitedOrganisation, Waiting: 1}},
		}})
	}
	f := newLimitedFixture(t, currantloom.RateLimit{PerSecond: 4, Burst: 4}, 0)
	f.addMember("vm-2")
	f.wait(TickInterval)
	ask(f, time.Second)
	first, ok := f.tokenMessages()[""].(currantloom.TokenAnswer)
	if !ok || first.Asked != time.Second {
		t.Fatalf("answer %+v, want one to the request", first)
	}
	t.Run("pause", func(t *testing.T) {
		f.now += processPauseThreshold + time.Second
		ask(f, 2*time.Second)
		if next, ok := f.tokenMessages()[""].(currantloom.TokenAnswer); !ok || next.Epoch == first.Epoch {
			t.Errorf("answer %+v after a pause, want one of a new state", next)
		}
	})
	t.Run("not asked", func(t *testing.T) {
		f.wait(idleLimiterTime + time.Second)
		if len(f.state.limits.limiters) > 0 {
			t.Error("the limiter keeps its state")
		}
	})
	t.Run("shutdown", func(t *testing.T) {
		f.reduce(ShutdownRequested{Stamp: f.stamp()})
		ask(f, 3*time.Second)
		if got := f.tokenMessages(); len(got) > 0 {
			t.Errorf("a node that shuts down answers %v", got)
		}
	})
}
