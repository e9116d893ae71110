package loomcore

import (
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestRequest checks routing, retries and verdicts at the entry node. Each script guards against the failure that its
// name excludes. The invariants in the names are those of docs/design.md, section 1.1.
func TestRequest(t *testing.T) {
	tests := []struct {
		name   string
		rules  string
		script string
	}{
		{name: "a write goes to the owner of the primary", script: `
			request 1 => forward 1 a@vm-1
			done 1 => answer 1 ran`},
		{name: "a read that accepts an age goes to the nearest replica", script: `
			request 1 read token=1/100 age=5s => forward 1 b@vm-2`},
		{name: "a read without a token goes to the primary", script: `request 1 read age=5s => forward 1 a@vm-1`},
		{name: "a rule gives the accepted age", rules: "read wheel max-age 5s # ops\n", script: `
			request 1 read token=1/100 => forward 1 b@vm-2`},
		{name: "a read that the replica refuses goes to the primary", script: `
			request 1 read token=1/100 age=5s => forward 1 b@vm-2
			done 1 verdict=not_run code=57P03 => forward 1 a@vm-1`},
		{name: "a misclassified write goes to the primary", script: `
			request 1 read token=1/100 age=5s => forward 1 b@vm-2
			done 1 verdict=not_run code=25006 => forward 1 a@vm-1
			done 1 attempt=2 verdict=may_have_run => answer 1 may_have_run 08007`},
		{name: "a leaving replica is not used", script: `
			leaving b =>
			request 1 read token=1/100 age=5s => forward 1 a@vm-1`},
		{name: "an unreachable replica is ejected", script: `
			request 1 read token=1/100 age=5s => forward 1 b@vm-2
			done 1 verdict=not_run code=08006 => forward 1 a@vm-1
			request 2 read token=1/100 age=5s => forward 2 a@vm-1
			wait 2s =>
			request 3 read token=1/100 age=5s => forward 3 b@vm-2`},
		{name: "an unknown database is refused", script: `request 1 database=tin => answer 1 not_run 22023`},
		{name: "a rule requires a request id", rules: "require-request-id wheel \"insert into orders\" # ops\n", script: `
			request 1 stmt=insert => forward 1 a@vm-1
			request 2 id=x => forward 2 a@vm-1`},
		{name: "a rule requires a request id for every statement of a request",
			rules: "require-request-id wheel \"insert\" # ops\n", script: `
			request 1 stmt=insert => answer 1 not_run 22023
			request 2 stmt=begin others=select,insert => answer 2 not_run 22023
			request 3 stmt=begin others=select,insert id=x => forward 3 a@vm-1`},
		{name: "after a link failure the next VM is used", script: `
			request 1 => forward 1 a@vm-1
			done 1 unsent verdict=not_run code=08006 => forward 1 a@vm-2
			done 1 attempt=2 unsent verdict=not_run code=08006 => forward 1 a@vm-3
			done 1 attempt=3 => answer 1 ran`},
		{name: "a VM that could not be reached is ejected for later requests", script: `
			request 1 => forward 1 a@vm-1
			done 1 unsent verdict=not_run code=08006 => forward 1 a@vm-2
			request 2 => forward 2 a@vm-2
			wait 2s =>
			request 3 => forward 3 a@vm-1`},
		{name: "at most 3 retries", script: `
			request 1 read => forward 1 a@vm-1
			done 1 verdict=may_have_run => forward 1 a@vm-2
			done 1 attempt=2 verdict=may_have_run => forward 1 a@vm-3
			done 1 attempt=3 verdict=may_have_run =>
			wait 50ms => forward 1 a@vm-1
			done 1 attempt=4 verdict=may_have_run => answer 1 may_have_run 08007 retry`},
		{name: "invariant 6: a write without request id is not repeated", script: `
			request 1 => forward 1 a@vm-1
			done 1 verdict=may_have_run code=08006 => answer 1 may_have_run 08007`},
		{name: "invariant 6: a write with a request id is repeated", script: `
			request 1 id=x => forward 1 a@vm-1
			done 1 verdict=may_have_run => forward 1 a@vm-2
			done 1 attempt=2 => answer 1 ran`},
		{name: "invariant 6: an id used with another statement is not repeated", script: `
			request 1 id=x => forward 1 a@vm-1
			done 1 verdict=not_run code=22023 => answer 1 not_run 22023`},
		{name: "invariant 5: an earlier attempt may have run", script: `
			request 1 id=x => forward 1 a@vm-1
			done 1 verdict=may_have_run => forward 1 a@vm-2
			done 1 attempt=2 verdict=not_run code=53300 retry=2s => answer 1 may_have_run 08007 retry`},
		{name: "invariant 5: an earlier attempt may have run, then the request is cancelled", script: `
			request 1 id=x deadline=30s => forward 1 a@vm-1
			done 1 verdict=may_have_run => forward 1 a@vm-2
			done 1 attempt=2 verdict=not_run code=57P03 =>
			cancel 1 => answer 1 may_have_run 08007`},
		{name: "a read whose response began is not repeated", script: `
			request 1 read => forward 1 a@vm-1
			done 1 verdict=may_have_run started => answer 1 may_have_run 08007`},
		{name: "a refusal with a time to retry is final", script: `
			request 1 => forward 1 a@vm-1
			done 1 verdict=not_run code=53300 retry=2s => answer 1 not_run 53300 retry`},
		{name: "a connection refused by the upstream is tried again later", script: `
			request 1 => forward 1 a@vm-1
			done 1 verdict=not_run code=53300 =>
			wait 50ms => forward 1 a@vm-1`},
		{name: "an owner that shuts down is ejected", script: `
			request 1 => forward 1 a@vm-1
			done 1 verdict=not_run code=57P01 => forward 1 a@vm-2
			request 2 => forward 2 a@vm-2`},
		{name: "a trailer redirects to the new primary", script: `
			request 1 => forward 1 a@vm-1
			done 1 verdict=not_run code=57P03 term=2 primary=b => forward 1 b@vm-2
			request 2 => forward 2 b@vm-2`},
		{name: "the owner of the new primary does not know the term yet", script: `
			request 1 => forward 1 a@vm-1
			done 1 verdict=not_run code=57P03 term=2 primary=b => forward 1 b@vm-2
			done 1 attempt=2 verdict=not_run code=57P03 =>
			request 2 => forward 2 b@vm-2
			wait 50ms => forward 1 b@vm-2
			done 1 attempt=3 verdict=not_run code=57P03 =>
			wait 50ms => forward 1 b@vm-2
			done 1 attempt=4 verdict=not_run code=57P03 =>
			wait 100ms => forward 1 a@vm-1`},
		{name: "without a primary one request at a time looks for it", script: `
			request 1 => forward 1 a@vm-1
			done 1 verdict=not_run code=57P03 =>
			request 2 =>
			wait 50ms =>
			wait 50ms => forward 1 a@vm-1
			done 1 attempt=2 verdict=not_run code=57P03 =>
			wait 100ms => forward 2 b@vm-2
			done 2 verdict=not_run code=57P03 term=2 primary=c => forward 2 c@vm-3, forward 1 c@vm-3`},
		{name: "the wait for a primary ends before the deadline", script: `
			request 1 deadline=1s => forward 1 a@vm-1
			done 1 verdict=not_run code=57P03 =>
			wait 50ms =>
			wait 50ms => forward 1 a@vm-1
			done 1 attempt=2 verdict=not_run code=57P03 =>
			request 2 deadline=200ms =>
			wait 50ms =>
			wait 50ms => forward 1 b@vm-2
			wait 50ms => answer 2 not_run 57P03 retry`},
		{name: "an owner cut off from the primary: the next VM, then the wait", script: `
			request 1 => forward 1 a@vm-1
			done 1 verdict=not_run code=08006 => forward 1 a@vm-2
			request 2 => forward 2 a@vm-2
			done 1 attempt=2 verdict=not_run code=08006 =>
			request 3 =>
			done 2 => answer 2 ran, forward 1 a@vm-2, forward 3 a@vm-2`},
		{name: "cancel of a forwarded request is repeated, because it may overtake the request", script: `
			request 1 read => forward 1 a@vm-1
			cancel 1 => cancelforward 1 vm-1
			wait 450ms =>
			wait 50ms => cancelforward 1 vm-1
			done 1 verdict=may_have_run => answer 1 may_have_run 08007
			cancel 1 =>
			wait 1s => `},
		{name: "a response to an earlier attempt is ignored", script: `
			request 1 read => forward 1 a@vm-1
			done 1 verdict=may_have_run => forward 1 a@vm-2
			done 1 attempt=1 =>
			done 1 attempt=2 => answer 1 ran
			done 1 attempt=2 => `},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { newScript(t, 2, 16, test.rules).run(test.script) })
	}
}

// TestRequiredRequestID guards against a statement that runs twice although a rule asks for a request id.
func TestRequiredRequestID(t *testing.T) {
	x := newScript(t, 2, 16, "require-request-id wheel \"insert into orders\" # ops\n")
	for i, id := range []string{"", "x"} {
		q := options(nil).request(currantloom.RequestKey{Number: uint64(i)})
		q.Statement, q.RequestID = "INSERT INTO orders VALUES (1)", id
		x.apply(RequestArrived{Stamp: x.stamp(), Request: q})
	}
	want := "answer 0 not_run 22023, forward 1 a@vm-1"
	if got := x.shown[0] + ", " + x.shown[1]; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestRetryBudget guards against retries that multiply the load of an outage: they are bounded to 10% of the requests
// plus 10 per second.
func TestRetryBudget(t *testing.T) {
	tests := []struct {
		name     string
		requests int
		seconds  int
		want     int
	}{
		{"at the start", 0, 0, 10},
		{"after requests", 300, 0, 40},
		{"after time", 0, 2, 30},
		{"at most 100", 5000, 100, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var b retryBudget
			b.replenish(time.Second)
			for range test.requests {
				b.earn(time.Second)
			}
			now := time.Second * time.Duration(1+test.seconds)
			got := 0
			for b.spend(now) {
				got++
			}
			if got != test.want {
				t.Errorf("got %d retries, want %d", got, test.want)
			}
		})
	}
}

// TestAttemptKey guards against attempts of a request that the owner cannot tell apart, and against a cancellation that
// reaches another attempt than the current one.
func TestAttemptKey(t *testing.T) {
	x := newScript(t, 2, 16, "")
	var got []int
	note := func(e Event) {
		for _, f := range x.state.Reduce(e) {
			switch f := f.(type) {
			case Forward:
				got = append(got, f.Header.Key.Attempt)
			case CancelForward:
				got = append(got, f.Key.Attempt)
			}
		}
	}
	key := scriptKey("1")
	note(RequestArrived{Stamp: x.stamp(), Request: options([]string{"read"}).request(key)})
	note(ForwardFinished{Stamp: x.stamp(), Key: key, Attempt: 1, Sent: true})
	note(RequestCancelled{Stamp: x.stamp(), Key: key})
	if want := []int{1, 2, 2}; !slices.Equal(got, want) {
		t.Errorf("got attempts %v in two forwards and a cancel, want %v", got, want)
	}
}

// TestRemainingOverLinks guards against an owner in another region that runs a request past its deadline, because the
// time on the link is not subtracted from the remaining time.
func TestRemainingOverLinks(t *testing.T) {
	x := newScript(t, 2, 16, "")
	x.status["c"] = currantloom.PostgresStatus{Role: currantloom.RolePrimary, Term: 2, GrantedTerm: 2}
	x.apply(StatusReceived{Stamp: x.stamp(), Upstream: "c", SentAt: x.now, Status: x.status["c"]})
	for _, e := range x.state.Reduce(RequestArrived{
		Stamp: x.stamp(), Request: options([]string{"deadline=1s"}).request(scriptKey("1")),
	}) {
		if f, ok := e.(Forward); ok && (f.VM != "vm-3" || f.Header.Remaining != 940*time.Millisecond) {
			t.Errorf("got %s left at %s, want 940ms at vm-3", f.Header.Remaining, f.VM)
		}
	}
}
