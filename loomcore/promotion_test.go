package loomcore

import (
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// carrierIn returns the node that carries the server.
func (w *world) carrierIn(server currantloom.UpstreamName) *worldNode {
	for _, n := range w.nodes {
		if !n.dead && n.state.owns(server) {
			return n
		}
	}
	w.fail("no node carries %s", server)
	return nil
}

// stopNode ends a node; the others learn that it fails.
func (w *world) stopNode(n *worldNode) {
	n.dead = true
	for _, other := range w.nodes {
		w.deliver(other, PeerFailed{Stamp: w.stamp(), VM: n.name})
	}
}

// stopOnce ends the node that emits the first matching effect, before the effect is executed.
func (w *world) stopOnce(match func(Effect) bool) {
	w.drop = func(e Effect) bool {
		if !match(e) {
			return false
		}
		w.drop = nil
		for _, n := range w.nodes {
			if slices.Contains(n.state.effects, e) {
				n.dead = true
			}
		}
		return true
	}
}

// TestPromotion guards against a group that stays without a primary for longer than 8 s, or 2 s in the median, after
// each of the failures of invariant 2.
func TestPromotion(t *testing.T) {
	for _, c := range []struct {
		name   string
		median time.Duration
		fault  func(w *world)
	}{
		{"primary refuses connections", 2 * time.Second, func(w *world) { w.server(serverA).refuses = true }},
		{"primary is paused", 2 * time.Second, func(w *world) { w.server(serverA).pausedUntil = time.Hour }},
		{"primary and its carrier stop", 2 * time.Second, func(w *world) {
			w.server(serverA).refuses = true
			w.carrierIn(serverA).dead = true
		}},
		{"primary and all carriers stop", 2500 * time.Millisecond, func(w *world) {
			w.server(serverA).refuses = true
			for _, server := range []currantloom.UpstreamName{serverA, serverB, serverC} {
				w.stopNode(w.carrierIn(server))
			}
		}},
		{"primary is cut off together with its carrier", 2 * time.Second, func(w *world) {
			w.cutOff(serverA, w.carrierIn(serverA).name)
		}},
		{"only the carrier cannot reach the primary", 5 * time.Second, func(w *world) {
			w.cut[[2]string{string(w.carrierIn(serverA).name), string(serverA)}] = true
		}},
		{"proposer stops before it raises the term", 2500 * time.Millisecond, func(w *world) {
			w.server(serverA).refuses = true
			w.stopOnce(func(e Effect) bool { _, ok := e.(RaiseTerm); return ok })
		}},
		{"proposer stops before the new primary leads", 3500 * time.Millisecond, func(w *world) {
			w.server(serverA).refuses = true
			w.stopOnce(func(e Effect) bool { _, ok := e.(Promote); return ok })
		}},
		{"poll without an answer event", 4 * time.Second, func(w *world) {
			w.server(serverA).pausedUntil = time.Hour
			w.drop = func(e Effect) bool { p, ok := e.(PollStatus); return ok && p.Upstream == serverA }
		}},
		{"a replica granted a term that nobody leads", 3 * time.Second, func(w *world) {
			w.server(serverB).raise(7, "vm-9")
			w.server(serverC).raise(7, "vm-9")
		}},
		{"no server is primary", 2 * time.Second, func(w *world) {
			w.server(serverA).role = currantloom.RoleFenced
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var times []time.Duration
			for seed := range uint64(40) {
				w := newWorld(seed, 6, t.Fatalf)
				w.run(2*time.Second + time.Duration(seed)*13*time.Millisecond)
				c.fault(w)
				w.confirmedAt = 0
				times = append(times, w.awaitPrimary(w.lostServer()))
			}
			slices.Sort(times)
			median := times[len(times)/2]
			t.Logf("median %v, longest %v", median, times[len(times)-1])
			if median >= c.median {
				t.Errorf("got median %v, want less than %v", median, c.median)
			}
		})
	}
}

// lostServer returns the first server if it cannot be primary again.
func (w *world) lostServer() currantloom.UpstreamName {
	if m := w.server(serverA); m.refuses || m.pausedUntil > w.now || len(w.cut) > 0 {
		return serverA
	}
	return ""
}

// cutOff separates a server and a node from all others.
func (w *world) cutOff(server currantloom.UpstreamName, node currantloom.VMName) {
	for _, m := range w.servers {
		w.cut[[2]string{string(server), string(m.name)}] = m.name != server
		w.cut[[2]string{string(node), string(m.name)}] = m.name != server
	}
	for _, n := range w.nodes {
		w.cut[[2]string{string(n.name), string(server)}] = n.name != node
	}
}

// TestReplacedPrimaryFollows guards against a replaced primary that returns and keeps working in its old term, or is
// taken for the primary again.
func TestReplacedPrimaryFollows(t *testing.T) {
	w := newWorld(1, 5, t.Fatalf)
	w.run(2 * time.Second)
	w.cutOff(serverA, w.carrierIn(serverA).name)
	w.awaitPrimary(serverA)
	w.heal()
	w.run(2 * time.Second)
	w.checkAgreement()
	if w.primaryName() == serverA {
		t.Error("the replaced primary is primary again")
	}
}

// TestStepsBack guards against a node that uses a primary after a newer term was reported from any side.
func TestStepsBack(t *testing.T) {
	for _, c := range []struct {
		name  string
		event Event
	}{
		{"status", StatusReceived{Upstream: serverB, SentAt: 2, Status: report(currantloom.RoleFenced, 4, 3, 1)}},
		{"grant", RaiseTermAnswered{Upstream: serverB, Term: 4, Grant: currantloom.TermGrant{Granted: true}}},
		{"refusal", RaiseTermAnswered{Upstream: serverB, Term: 2, Grant: currantloom.TermGrant{HighestTerm: 4}}},
		{"other primary", PromoteAnswered{Upstream: serverB, Term: 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, g := stateWith(poll{serverA, 0, 1, report(currantloom.RolePrimary, 3, 3, 1)})
			s.Reduce(c.event)
			if g.term != 4 || g.primary == serverA {
				t.Errorf("got term %d with primary %q, want term 4 without %s", g.term, g.primary, serverA)
			}
			s.Reduce(StatusReceived{Upstream: serverA, SentAt: 3, Status: report(currantloom.RolePrimary, 3, 3, 2)})
			if g.primary == serverA {
				t.Errorf("a primary of term 3 counts as primary of term 4")
			}
		})
	}
}

// TestNoProposalWithoutMajority guards against a node on the small side of a partition that raises terms there, which
// would force a change of primary when the partition ends.
func TestNoProposalWithoutMajority(t *testing.T) {
	w := newWorld(1, 5, t.Fatalf)
	w.run(2 * time.Second)
	w.cutOff(serverC, w.carrierIn(serverC).name)
	w.run(20 * time.Second)
	if m := w.server(serverC); m.granted != 1 {
		t.Errorf("got granted term %d on the small side, want 1", m.granted)
	}
	w.heal()
	w.run(time.Second)
	if m := w.server(serverA); m.role != currantloom.RolePrimary || m.term != 1 {
		t.Errorf("got role %v in term %d, want the primary of term 1 to continue", m.role, m.term)
	}
}

// TestHighestMarkLeads guards against a primary that lacks an acknowledged entry.
func TestHighestMarkLeads(t *testing.T) {
	for _, c := range []struct {
		name string
		b, c currantloom.LogPosition
		want currantloom.UpstreamName
	}{
		{"higher position", currantloom.NewLogPosition(3, 9), currantloom.NewLogPosition(3, 10), serverC},
		{"newer term at a lower position", currantloom.NewLogPosition(3, 9), currantloom.NewLogPosition(2, 10), serverB},
		{"equal marks: order of the settings", currantloom.NewLogPosition(3, 9), currantloom.NewLogPosition(3, 9), serverB},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, g := stateWith(poll{serverA, 0, 1, report(currantloom.RolePrimary, 3, 3, 1)})
			s.propose(g, "", "test")
			s.Reduce(RaiseTermAnswered{Upstream: serverC, Term: 4, Grant: currantloom.TermGrant{Granted: true, Position: c.c}})
			s.Reduce(RaiseTermAnswered{Upstream: serverC, Term: 4, Grant: currantloom.TermGrant{Granted: true, Position: c.c}})
			if g.view.proposal.newPrimary != "" {
				t.Fatal("one server's repeated grant counts as a majority")
			}
			effects := s.Reduce(RaiseTermAnswered{
				Upstream: serverB, Term: 4, Grant: currantloom.TermGrant{Granted: true, Position: c.b},
			})
			if !slices.Contains(effects, Effect(Promote{Upstream: c.want, Term: 4})) {
				t.Errorf("got effects %v, want %s to lead", effects, c.want)
			}
		})
	}
}
