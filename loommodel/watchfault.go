package loommodel

import (
	"time"

	"currantloom.example/currantloom/loomwatch"
)

// Refuse makes the store turn nodes away for a time: without an answer, or else with an error. A node is chosen with
// the given probability; of some failure domains both watchers are, if watchers is set.
func (f *WatchFleet) Refuse(share float64, silent, watchers bool, d time.Duration) {
	for i, n := range f.nodes {
		domain := i % max(f.options.Domains, 1)
		chosen := f.random.Float64() < share
		if watchers && domain%2 == 0 && n.role == loomwatch.Watcher {
			chosen = true
		}
		if chosen {
			n.refused, n.silent = true, silent
			n.loseCall()
			n.disturb(d, func() { n.refused = false })
		}
	}
}

// loseCall leaves the call that is under way without an answer.
func (n *watchNode) loseCall() {
	if n.waiting != nil {
		n.waiting.lost = true
	}
}

// Silence leaves all calls that are under way without an answer, as if their connections had gone silent.
func (f *WatchFleet) Silence() {
	for _, n := range f.nodes {
		n.loseCall()
		n.disturb(0, func() {})
	}
}

// DelayWatchers makes all messages of all watchers late for a time.
func (f *WatchFleet) DelayWatchers(late, d time.Duration) {
	for i, n := range f.nodes {
		if n.role == loomwatch.Watcher {
			f.Delay(i, late, d)
		}
	}
}

// RandomWatcher returns the number of a random node that others depend on, or of any node in a small fleet.
func (f *WatchFleet) RandomWatcher() int {
	for {
		if i := f.random.IntN(len(f.nodes)); f.options.Domains == 0 || f.nodes[i].role == loomwatch.Watcher {
			return i
		}
	}
}

// Pause stops the process of a node for a time. The messages of that time arrive afterwards.
func (f *WatchFleet) Pause(i int, d time.Duration) {
	n := f.nodes[i]
	n.paused = true
	n.disturb(d, func() {
		n.paused = false
		inbox := n.inbox
		n.inbox = nil
		for _, run := range inbox {
			run()
		}
	})
}

// Remove ends a node that stays registered.
func (f *WatchFleet) Remove(i int) { f.nodes[i].dead = true }

// Mute drops all messages that a node sends for a time.
func (f *WatchFleet) Mute(i int, d time.Duration) {
	n := f.nodes[i]
	n.muted = true
	n.disturb(d, func() { n.muted = false })
}

// Squeeze makes the pushes of a node slower for a time.
func (f *WatchFleet) Squeeze(i, factor int, d time.Duration) {
	n := f.nodes[i]
	n.pushFactor = factor
	n.disturb(d, func() { n.pushFactor = 1 })
}

// Delay makes all messages of a node late for a time.
func (f *WatchFleet) Delay(i int, late, d time.Duration) {
	n := f.nodes[i]
	n.late = late
	n.disturb(d, func() { n.late = 0 })
}

// disturb ends a fault at a node after the time, and records that the node was disturbed until then.
func (n *watchNode) disturb(d time.Duration, end func()) {
	n.disturbedUntil = max(n.disturbedUntil, n.fleet.now+d)
	n.fleet.after(d, end)
}
