package loomcore

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomrules"
)

// markLeaving marks an upstream as leaving in the VM list of all nodes but those given.
func (sim *simulation) markLeaving(upstream currantloom.UpstreamName, except ...*simulatedNode) {
	for _, n := range sim.nodes {
		n.state.membership.leavingUpstreams[upstream] = true
		for _, other := range except {
			n.state.membership.leavingUpstreams[upstream] = n.state.membership.leavingUpstreams[upstream] && n != other
		}
	}
}

// TestLeavingPrimary guards against a leaving primary that gets new requests after 5 s, and against a planned change
// that blocks writes for longer than 250 ms although all requests have ended.
func TestLeavingPrimary(t *testing.T) {
	for _, c := range []struct {
		name    string
		running *attempt
		// ends is when the attempt ends after the primary is marked as leaving; zero if it does not.
		ends       time.Duration
		least      time.Duration
		most       time.Duration
		mostOutage time.Duration
		// idle says that a transaction stays open without a statement.
		idle bool
	}{
		{"no request", nil, 0, 0, 400 * time.Millisecond, 250 * time.Millisecond, false},
		{"short request ends during the write block", &attempt{holdsSlot: true},
			ms(100), 0, ms(500), 250 * time.Millisecond, false},
		{"long request ends in time",
			&attempt{holdsSlot: true, header: currantloom.RequestHeader{Class: currantloom.LongRequest}},
			2 * time.Second, 2 * time.Second, ms(2500), 250 * time.Millisecond, false},
		{"transaction ends in time", &attempt{holdsSlot: true, inTransaction: true},
			time.Second, time.Second, ms(1500), ms(250), false},
		{"request does not end", &attempt{holdsSlot: true, header: currantloom.RequestHeader{Class: currantloom.LongRequest}},
			0, 3 * time.Second, 5 * time.Second, 500 * time.Millisecond, false},
		{"transaction stays idle", nil, 0, 4 * time.Second, 5 * time.Second, 500 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(1, 5, t.Fatalf)
			sim.run(3 * time.Second)
			n := sim.ownerOf(upstreamA)
			if c.idle {
				x := &transaction{queue: &queue{upstream: upstreamA}}
				n.state.owner.transactions.ordered = []*transaction{x}
			}
			if c.running != nil {
				c.running.header.Upstream = upstreamA
				n.state.owner.attempts = map[currantloom.RequestKey]*attempt{{}: c.running}
			}
			if c.ends > 0 {
				sim.after(c.ends, func() { clear(n.state.owner.attempts) })
			}
			sim.markLeaving(upstreamA)
			g := n.state.groups[testDatabase]
			start, outage := sim.now, time.Duration(0)
			for sim.primaryName() != upstreamB {
				blocked := g.blocksWrites()
				if c.running != nil && sim.now-start == TickInterval && !g.blocksLong() {
					t.Error("new long requests do not wait while running requests finish")
				}
				sim.run(time.Millisecond)
				if blocked {
					outage += time.Millisecond
				}
				if sim.now-start > 10*time.Second {
					t.Fatalf("the leaving primary was not replaced; decisions: %+v", sim.decisions)
				}
			}
			checkBetween(t, "time to the change", sim.now-start, c.least, c.most)
			checkBetween(t, "time with blocked writes", outage, 0, c.mostOutage)
			if g.blocksWrites() {
				t.Error("writes are still blocked after the change")
			}
		})
	}
}

// applyRules puts a rules file into effect on all nodes.
func (sim *simulation) applyRules(text string) {
	rules, err := loomrules.Parse(text + "\n")
	if err != nil {
		sim.fail("rules: %v", err)
	}
	for _, n := range sim.nodes {
		sim.deliver(n, RulesReceived{
			Stamp: sim.stamp(), Document: currantloom.NewRulesDocument(1, "1", text), Rules: rules,
		})
	}
}

// runWhile runs as long as the condition holds, but no longer than the limit.
func (sim *simulation) runWhile(limit time.Duration, condition func() bool) {
	for end := sim.now + limit; condition() && sim.now < end; {
		sim.run(time.Millisecond)
	}
}

func checkBetween(t *testing.T, what string, got, least, most time.Duration) {
	t.Helper()
	t.Logf("%s: %v", what, got)
	if got < least || got > most {
		t.Errorf("got %s %v, want %v to %v", what, got, least, most)
	}
}

// TestVMListsDisagreeOnLeaving guards against a leaving primary that stays primary because only some VM lists show it
// as leaving. The list of its owner decides, and the other nodes accept the new primary.
func TestVMListsDisagreeOnLeaving(t *testing.T) {
	sim := newSimulation(1, 5, t.Fatalf)
	sim.run(3 * time.Second)
	n := sim.ownerOf(upstreamA)
	sim.markLeaving(upstreamA, n)
	sim.run(6 * time.Second)
	if name := sim.primaryName(); name != upstreamA {
		t.Fatalf("got primary %q, want no change before the owner knows", name)
	}
	n.state.membership.leavingUpstreams[upstreamA] = true
	sim.run(5 * time.Second)
	if name := sim.primaryName(); name != upstreamB {
		t.Errorf("got primary %q, want %s", name, upstreamB)
	}
}

// TestNoUpstreamCanBecomePrimary guards against a leaving primary that is replaced by an upstream that is leaving too.
func TestNoUpstreamCanBecomePrimary(t *testing.T) {
	sim := newSimulation(1, 5, t.Fatalf)
	sim.run(3 * time.Second)
	for _, u := range sim.upstreams {
		sim.markLeaving(u.name)
	}
	sim.run(10 * time.Second)
	if name := sim.primaryName(); name != upstreamA {
		t.Errorf("got primary %q, want %s to stay", name, upstreamA)
	}
	if term := sim.upstream(upstreamA).term; term != 1 {
		t.Errorf("got term %d, want no change of primary", term)
	}
}

// TestWriteBlockEndsWithoutChange guards against writes that stay blocked when the target falls behind or the proposal
// fails.
func TestWriteBlockEndsWithoutChange(t *testing.T) {
	for _, c := range []struct {
		name  string
		drop  func(Effect) bool
		fault func(*simulation)
	}{
		{"proposal without answers", func(e Effect) bool { _, ok := e.(RaiseTerm); return ok }, func(*simulation) {}},
		{"promotion without an answer", func(e Effect) bool { _, ok := e.(Promote); return ok }, func(*simulation) {}},
		{"primary stops", nil, func(sim *simulation) { sim.upstream(upstreamA).refusesConnections = true }},
		{"target stops", nil, func(sim *simulation) { sim.upstream(upstreamB).refusesConnections = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(1, 5, t.Fatalf)
			sim.run(3 * time.Second)
			n := sim.ownerOf(upstreamA)
			sim.markLeaving(upstreamA)
			sim.runWhile(5*time.Second, func() bool { return !n.state.groups[testDatabase].blocksWrites() })
			sim.drop = c.drop
			c.fault(sim)
			blockedAt := sim.now
			sim.runWhile(5*time.Second, func() bool { return n.state.groups[testDatabase].blocksWrites() })
			checkBetween(t, "time with blocked writes", sim.now-blockedAt, 0, ms(1300))
			sim.drop = nil
			sim.awaitPrimary(upstreamA)
		})
	}
}

// TestTargetBehind guards against long requests that wait for a replica that stays behind, and against a planned change
// that blocks writes for it.
func TestTargetBehind(t *testing.T) {
	t.Run("named by a rule", func(t *testing.T) {
		sim := newSimulation(1, 5, t.Fatalf)
		sim.upstream(upstreamC).stopsApplying = true
		sim.run(5 * time.Second)
		sim.applyRules("primary wheel-core-1 wheel-core-1-c # op")
		g := sim.ownerOf(upstreamA).state.groups[testDatabase]
		for range 600 {
			sim.run(10 * time.Millisecond)
			if g.blocksLong() || g.blocksWrites() {
				t.Fatalf("at %v: requests wait for a replica that is behind", sim.now)
			}
		}
		sim.upstream(upstreamC).stopsApplying = false
		sim.run(7 * time.Second)
		if name := sim.primaryName(); name != upstreamC {
			t.Errorf("got primary %q after the replica caught up, want %s", name, upstreamC)
		}
	})
	t.Run("nearest to a leaving primary", func(t *testing.T) {
		sim := newSimulation(1, 5, t.Fatalf)
		sim.upstream(upstreamB).stopsApplying = true
		sim.run(5 * time.Second)
		sim.markLeaving(upstreamA)
		sim.run(time.Second)
		if name := sim.primaryName(); name != upstreamC {
			t.Errorf("got primary %q, want %s, which has the position", name, upstreamC)
		}
	})
}

// TestRulePrimary guards against a primary rule that has no effect, that replaces a primary again and again, or that
// ends running requests.
func TestRulePrimary(t *testing.T) {
	for _, c := range []struct {
		name, rules string
		running     *attempt
		want        currantloom.UpstreamName
		wantTerm    currantloom.Term
	}{
		{"named replica", "primary wheel-core-1 wheel-core-1-c # op", nil, upstreamC, 2},
		{"named upstream is primary", "primary wheel-core-1 wheel-core-1-a # op", nil, upstreamA, 1},
		{"named upstream is leaving", "primary wheel-core-1 wheel-core-1-b # op", nil, upstreamA, 1},
		{"leaving by rule", "leave wheel-core-1-a # op", nil, upstreamB, 2},
		{"request does not end", "primary wheel-core-1 wheel-core-1-b # op", &attempt{holdsSlot: true}, upstreamA, 1},
		{"unknown upstream", "primary wheel-core-1 wheel-core-9-x # op", nil, upstreamA, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(1, 5, t.Fatalf)
			sim.run(3 * time.Second)
			if c.running != nil {
				c.running.header.Upstream = upstreamA
				sim.ownerOf(upstreamA).state.owner.attempts = map[currantloom.RequestKey]*attempt{{}: c.running}
			}
			if c.name == "named upstream is leaving" {
				sim.markLeaving(upstreamB)
			}
			sim.applyRules(c.rules)
			sim.run(20 * time.Second)
			if name := sim.primaryName(); name != c.want || sim.upstream(name).term != c.wantTerm {
				t.Errorf("got primary %q, want %s in term %d", name, c.want, c.wantTerm)
			}
		})
	}
}
