package loommodel

import (
	"slices"
	"time"

	"currantloom.example/currantloom/loomfleet"
)

// Crash ends the process of an upstream, or with hang leaves it running and unresponsive. The upstream restarts with
// its log after the given time. If that is later than registrationLapse, its registration is deleted until then.
func (sim *Simulation) Crash(name string, hang bool, down time.Duration) {
	u := sim.upstream(name)
	if u == nil || !u.responsive() {
		return
	}
	u.generation++
	u.busySlots, u.slotQueue = 0, nil
	if hang {
		u.hung = true
	} else {
		u.alive = false
		u.resetConns()
	}
	generation := u.generation
	sim.after(registrationLapse, func() {
		if u.generation == generation && !u.responsive() || u.name != name {
			sim.store.deregister(name, u.service)
		}
	})
	sim.after(down, func() {
		if u.generation == generation {
			u.restart()
		}
	})
}

// resetConns closes all connections and reports the loss to their nodes.
func (u *upstream) resetConns() {
	for _, n := range u.sim.nodes {
		for _, id := range u.connsOf(n) {
			n.deliver(connectionLossDelay, func() loomfleet.Event {
				return loomfleet.ConnLost{Stamp: n.stamp(), Conn: id}
			})
		}
	}
	clear(u.conns)
	clear(u.pendingConns)
}

// connsOf returns the ids of the connections that the current process of a node has to the upstream, sorted.
func (u *upstream) connsOf(n *node) []loomfleet.ConnID {
	var ids []loomfleet.ConnID
	for key := range u.conns {
		if key.node == n.name && key.incarnation == n.incarnation {
			ids = append(ids, key.id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (u *upstream) restart() {
	u.generation++
	u.alive, u.hung, u.replicationPaused = true, false, false
	u.busySlots, u.slotQueue = 0, nil
	u.resetConns()
	if u.primary && u.term < u.service.term {
		u.primary = false
	}
	u.sim.store.register(u)
	if u.primary {
		u.replicate()
		return
	}
	for _, other := range u.service.upstreams {
		if other.primary {
			other.replicate()
		}
	}
}

// SlowReplication multiplies the apply lag of a replica by lagFactor for the duration d. With stop the replica also
// receives no entries during that time.
func (sim *Simulation) SlowReplication(name string, lagFactor int, stop bool, d time.Duration) {
	u := sim.upstream(name)
	u.lagFactor, u.replicationStopped = lagFactor, stop
	sim.after(d, func() { u.lagFactor, u.replicationStopped = 0, false })
}

// LoseReplies makes an upstream lose lostPercent of its replies for the duration d. Of its writes outside transactions,
// latePercent take effect 2 to 10 s later and get no reply.
func (sim *Simulation) LoseReplies(name string, lostPercent, latePercent int, d time.Duration) {
	u := sim.upstream(name)
	u.lostReplyPercent, u.lateWritePercent = lostPercent, latePercent
	sim.after(d, func() { u.lostReplyPercent, u.lateWritePercent = 0, 0 })
}

// DropReplies makes an upstream lose the given percentage of its replies for the duration d, to commands of the nodes
// as well. It goes on to answer the commands that follow on the connection.
func (sim *Simulation) DropReplies(name string, percent int, d time.Duration) {
	u := sim.upstream(name)
	u.droppedReplyPercent = percent
	sim.after(d, func() { u.droppedReplyPercent = 0 })
}

// Drain announces that an upstream is about to end. After the delay its process ends, and a replacement with the next
// incarnation starts a second later with its log.
func (sim *Simulation) Drain(name string, delay time.Duration) {
	u := sim.upstream(name)
	if !u.responsive() || u.draining {
		return
	}
	u.draining = true
	sim.store.register(u)
	sim.after(delay, func() {
		if u.name != name {
			return
		}
		u.draining = false
		u.incarnation++
		sim.Crash(name, false, time.Second)
	})
}
