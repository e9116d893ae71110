package loomcore

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomrules"
)

// leave marks a server as leaving in the VM list of all nodes but those given.
func (w *world) leave(server currantloom.UpstreamName, without ...*worldNode) {
	for _, n := range w.nodes {
		n.state.membership.leavingUpstreams[server] = true
		for _, other := range without {
			n.state.membership.leavingUpstreams[server] = n.state.membership.leavingUpstreams[server] && n != other
		}
	}
}

// TestLeavingPrimary guards against a leaving primary that gets work after 5 s, and against a change that interrupts
// writes for longer than 250 ms although all work ended.
func TestLeavingPrimary(t *testing.T) {
	for _, c := range []struct {
		name string
		work *attempt
		// ends is when the work ends after the mark; zero if it does not.
		ends       time.Duration
		least      time.Duration
		most       time.Duration
		mostOutage time.Duration
		// idle says that a transaction stays open without a statement.
		idle bool
	}{
		{"no work", nil, 0, 0, 400 * time.Millisecond, 250 * time.Millisecond, false},
		{"short work ends within the hold", &attempt{holdsSlot: true}, ms(100), 0, ms(500), 250 * time.Millisecond, false},
		{"long work ends in time", &attempt{holdsSlot: true, header: currantloom.RequestHeader{Class: currantloom.LongRequest}},
			2 * time.Second, 2 * time.Second, ms(2500), 250 * time.Millisecond, false},
		{"transaction ends in time", &attempt{holdsSlot: true, inTransaction: true}, time.Second, time.Second, ms(1500), ms(250), false},
		{"work does not end", &attempt{holdsSlot: true, header: currantloom.RequestHeader{Class: currantloom.LongRequest}},
			0, 3 * time.Second, 5 * time.Second, 500 * time.Millisecond, false},
		{"transaction stays idle", nil, 0, 4 * time.Second, 5 * time.Second, 500 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(1, 5, t.Fatalf)
			w.run(3 * time.Second)
			n := w.carrierIn(serverA)
			if c.idle {
				x := &transaction{queue: &queue{upstream: serverA}}
				n.state.owner.transactions.ordered = []*transaction{x}
			}
			if c.work != nil {
				c.work.header.Upstream = serverA
				n.state.owner.attempts = map[currantloom.RequestKey]*attempt{{}: c.work}
			}
			if c.ends > 0 {
				w.after(c.ends, func() { clear(n.state.owner.attempts) })
			}
			w.leave(serverA)
			g := n.state.groups[testDatabase]
			start, outage := w.now, time.Duration(0)
			for w.primaryName() != serverB {
				held := g.blocksWrites()
				if c.work != nil && w.now-start == TickInterval && !g.blocksLong() {
					t.Error("new long work does not wait while running work finishes")
				}
				w.run(time.Millisecond)
				if held {
					outage += time.Millisecond
				}
				if w.now-start > 10*time.Second {
					t.Fatalf("the leaving primary was not replaced; decisions: %+v", w.decisions)
				}
			}
			checkBetween(t, "time to the change", w.now-start, c.least, c.most)
			checkBetween(t, "time with held writes", outage, 0, c.mostOutage)
			if g.blocksWrites() {
				t.Error("writes are still held after the change")
			}
		})
	}
}

// rule puts a rules file into effect on all nodes.
func (w *world) rule(text string) {
	rules, err := loomrules.Parse(text + "\n")
	if err != nil {
		w.fail("rules: %v", err)
	}
	for _, n := range w.nodes {
		w.deliver(n, RulesReceived{
			Stamp: w.stamp(), Document: currantloom.NewRulesDocument(1, "1", text), Rules: rules,
		})
	}
}

// runWhile runs as long as the condition holds, but no longer than the limit.
func (w *world) runWhile(limit time.Duration, condition func() bool) {
	for end := w.now + limit; condition() && w.now < end; {
		w.run(time.Millisecond)
	}
}

func checkBetween(t *testing.T, what string, got, least, most time.Duration) {
	t.Helper()
	t.Logf("%s: %v", what, got)
	if got < least || got > most {
		t.Errorf("got %s %v, want %v to %v", what, got, least, most)
	}
}

// TestLeavingServerListsDisagree guards against a leaving primary that stays because only some VM lists show it: the
// list of its carrier decides, and the others accept the new primary.
func TestLeavingServerListsDisagree(t *testing.T) {
	w := newWorld(1, 5, t.Fatalf)
	w.run(3 * time.Second)
	n := w.carrierIn(serverA)
	w.leave(serverA, n)
	w.run(6 * time.Second)
	if name := w.primaryName(); name != serverA {
		t.Fatalf("got primary %q, want no change before the carrier knows", name)
	}
	n.state.membership.leavingUpstreams[serverA] = true
	w.run(5 * time.Second)
	if name := w.primaryName(); name != serverB {
		t.Errorf("got primary %q, want %s", name, serverB)
	}
}

// TestNoServerTakesOver guards against a leaving primary that is replaced by a server that is leaving too.
func TestNoServerTakesOver(t *testing.T) {
	w := newWorld(1, 5, t.Fatalf)
	w.run(3 * time.Second)
	for _, m := range w.servers {
		w.leave(m.name)
	}
	w.run(10 * time.Second)
	if name := w.primaryName(); name != serverA {
		t.Errorf("got primary %q, want %s to stay", name, serverA)
	}
	if term := w.server(serverA).term; term != 1 {
		t.Errorf("got term %d, want no change of primary", term)
	}
}

// TestHoldEndsWithoutChange guards against writes that stay held when the target falls behind or the proposal fails.
func TestHoldEndsWithoutChange(t *testing.T) {
	for _, c := range []struct {
		name  string
		drop  func(Effect) bool
		fault func(*world)
	}{
		{"proposal without answers", func(e Effect) bool { _, ok := e.(RaiseTerm); return ok }, func(*world) {}},
		{"lead without an answer", func(e Effect) bool { _, ok := e.(Promote); return ok }, func(*world) {}},
		{"primary stops", nil, func(w *world) { w.server(serverA).refuses = true }},
		{"target stops", nil, func(w *world) { w.server(serverB).refuses = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(1, 5, t.Fatalf)
			w.run(3 * time.Second)
			n := w.carrierIn(serverA)
			w.leave(serverA)
			w.runWhile(5*time.Second, func() bool { return !n.state.groups[testDatabase].blocksWrites() })
			w.drop = c.drop
			c.fault(w)
			held := w.now
			w.runWhile(5*time.Second, func() bool { return n.state.groups[testDatabase].blocksWrites() })
			checkBetween(t, "hold", w.now-held, 0, ms(1300))
			w.drop = nil
			w.awaitPrimary(serverA)
		})
	}
}

// TestTargetBehind guards against long work that waits for a replica that stays behind, and against a change that holds
// writes for it.
func TestTargetBehind(t *testing.T) {
	t.Run("named by a rule", func(t *testing.T) {
		w := newWorld(1, 5, t.Fatalf)
		w.server(serverC).behind = true
		w.run(5 * time.Second)
		w.rule("primary wheel-core-1 wheel-core-1-c # op")
		g := w.carrierIn(serverA).state.groups[testDatabase]
		for range 600 {
			w.run(10 * time.Millisecond)
			if g.blocksLong() || g.blocksWrites() {
				t.Fatalf("at %v: work waits for a replica that is behind", w.now)
			}
		}
		w.server(serverC).behind = false
		w.run(7 * time.Second)
		if name := w.primaryName(); name != serverC {
			t.Errorf("got primary %q after the replica caught up, want %s", name, serverC)
		}
	})
	t.Run("nearest to a leaving primary", func(t *testing.T) {
		w := newWorld(1, 5, t.Fatalf)
		w.server(serverB).behind = true
		w.run(5 * time.Second)
		w.leave(serverA)
		w.run(time.Second)
		if name := w.primaryName(); name != serverC {
			t.Errorf("got primary %q, want %s, which has the position", name, serverC)
		}
	})
}

// TestRulePrimary guards against a rule that has no effect, that moves the primary away from a server again and again,
// or that cuts off running work.
func TestRulePrimary(t *testing.T) {
	for _, c := range []struct {
		name, rules string
		work        *attempt
		want        currantloom.UpstreamName
		wantTerm    currantloom.Term
	}{
		{"named replica", "primary wheel-core-1 wheel-core-1-c # op", nil, serverC, 2},
		{"named server is primary", "primary wheel-core-1 wheel-core-1-a # op", nil, serverA, 1},
		{"named server is leaving", "primary wheel-core-1 wheel-core-1-b # op", nil, serverA, 1},
		{"leaving by rule", "leave wheel-core-1-a # op", nil, serverB, 2},
		{"work does not end", "primary wheel-core-1 wheel-core-1-b # op", &attempt{holdsSlot: true}, serverA, 1},
		{"unknown server", "primary wheel-core-1 wheel-core-9-x # op", nil, serverA, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(1, 5, t.Fatalf)
			w.run(3 * time.Second)
			if c.work != nil {
				c.work.header.Upstream = serverA
				w.carrierIn(serverA).state.owner.attempts = map[currantloom.RequestKey]*attempt{{}: c.work}
			}
			if c.name == "named server is leaving" {
				w.leave(serverB)
			}
			w.rule(c.rules)
			w.run(20 * time.Second)
			if name := w.primaryName(); name != c.want || w.server(name).term != c.wantTerm {
				t.Errorf("got primary %q, want %s in term %d", name, c.want, c.wantTerm)
			}
		})
	}
}
