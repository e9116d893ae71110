package loomcore

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFuzzPromotion guards against two primaries in one term, a later primary without a confirmed write, a node that
// holds on to a replaced primary, a read that is too old or lacks an acknowledged write, and a group that stays without
// a primary after all faults ended.
func TestFuzzPromotion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "nodes"), t.Fatalf)
		w.run(time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) { w.run(drawTime(t, 2000)) },
			"pause node": func(t *rapid.T) {
				n := w.nodes[drawIndex(t, "node", len(w.nodes))]
				n.pausedUntil = w.now + drawTime(t, 5000)
			},
			"pause server": func(t *rapid.T) {
				m := w.servers[drawIndex(t, "server", 3)]
				m.pausedUntil = w.now + drawTime(t, 5000)
			},
			"stop server": func(t *rapid.T) { w.servers[drawIndex(t, "server", 3)].refuses = true },
			"start server": func(t *rapid.T) {
				w.servers[drawIndex(t, "server", 3)].refuses = false
			},
			"cut node from server": func(t *rapid.T) {
				n, m := drawIndex(t, "node", len(w.nodes)), drawIndex(t, "server", 3)
				w.cut[[2]string{string(w.nodes[n].name), string(w.servers[m].name)}] = true
			},
			"cut server from servers": func(t *rapid.T) {
				a := drawIndex(t, "server", 3)
				for b := range w.servers {
					w.cut[[2]string{string(w.servers[a].name), string(w.servers[b].name)}] = a != b
				}
			},
			"reads": func(t *rapid.T) {
				accepted := drawTime(t, 3000) + time.Millisecond
				for range 20 {
					w.read(w.nodes[w.random.IntN(len(w.nodes))], w.servers[w.random.IntN(3)], accepted)
					w.run(5 * time.Millisecond)
				}
			},
			"end cuts": func(*rapid.T) { clear(w.cut) },
			"bad network": func(t *rapid.T) {
				w.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
				w.duplication = rapid.Float64Range(0, 0.3).Draw(t, "duplication")
				w.delay = drawTime(t, 300)
			},
			"end faults": func(*rapid.T) { w.heal() },
			"mark leaving": func(t *rapid.T) {
				name := w.servers[drawIndex(t, "server", 3)].name
				for _, n := range w.nodes {
					n.state.membership.leavingUpstreams[name] = !n.state.membership.leavingUpstreams[name]
				}
			},
		})
		w.heal()
		for _, n := range w.nodes {
			// A planned change at the time of the last check would make the nodes disagree for a moment.
			clear(n.state.membership.leavingUpstreams)
		}
		w.run(8 * time.Second)
		w.checkAgreement()
	})
}

func drawTime(t *rapid.T, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, "ms")) * time.Millisecond
}

func drawIndex(t *rapid.T, label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
