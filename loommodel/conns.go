package loommodel

import (
	"maps"
	"slices"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

const (
	// connectTime is the time that opening a connection occupies a slot of an upstream.
	connectTime = 10 * time.Millisecond
	// darkConnTimeout is how long an upstream counts a connection whose end cannot reach it, because the VM lost power or
	// the network is cut.
	darkConnTimeout = 3 * time.Second
)

func (n *node) openConn(e loomfleet.OpenConn) {
	sim := n.sim
	u := sim.upstream(e.Upstream.Address)
	key := connKey{node: n.name, incarnation: n.incarnation, id: e.Conn}
	if u == nil || !sim.reaches(n.name, u.name) || u.hung {
		return
	}
	sim.after(sim.networkDelay(n.name, u.name), func() { u.accept(n, key) })
}

// accept opens or refuses a connection. Opening one occupies a slot for connectTime.
func (u *upstream) accept(n *node, key connKey) {
	opened := loomfleet.ConnOpened{Conn: key.id}
	reply := func() {
		u.sendToNode(key, func() loomfleet.Event {
			opened.Stamp = n.stamp()
			return opened
		})
	}
	switch {
	case !u.alive:
		opened.Failed, opened.Refused = true, true
		reply()
		return
	case len(u.conns)+len(u.pendingConns) >= u.maxConnections:
		u.sim.oracle.stats.ConnectionsRefused++
		opened.Reply.Code = currantloom.ReplyNoConnections
		reply()
		return
	}
	generation := u.generation
	u.pendingConns[key] = true
	u.withSlot(func(release func()) {
		u.sim.after(connectTime, func() {
			release()
			if u.generation != generation || u.sim.abandonedConns[key] {
				delete(u.sim.abandonedConns, key)
				delete(u.pendingConns, key)
				return
			}
			if !u.pendingConns[key] {
				return
			}
			delete(u.pendingConns, key)
			u.conns[key] = &upstreamConn{
				key: key, settings: make(map[string]string), prepared: make(map[string]currantloom.Command),
			}
			opened.Reply = currantloom.Reply{TransactionStatus: currantloom.TransactionIdle, Position: u.appliedPosition()}
			reply()
		})
	})
}

// closeConn closes a connection of the node. If the upstream cannot be reached, it counts the connection for
// darkConnTimeout.
func (n *node) closeConn(id loomfleet.ConnID) {
	key := connKey{node: n.name, incarnation: n.incarnation, id: id}
	n.sim.abandonedConns[key] = true
	for _, u := range n.sim.upstreams {
		_, open := u.conns[key]
		unreachable := !n.sim.reaches(n.name, u.name)
		if !open && (!u.pendingConns[key] || !unreachable) {
			continue
		}
		delete(n.sim.abandonedConns, key)
		d := n.sim.networkDelay(n.name, u.name)
		if unreachable {
			d = darkConnTimeout
		}
		n.sim.after(d, func() { u.dropConn(key) })
	}
}

func (u *upstream) dropConn(key connKey) {
	delete(u.conns, key)
	delete(u.pendingConns, key)
}

// closeNodeConns closes the connections of a node whose process ended.
func (u *upstream) closeNodeConns(name string) {
	for key := range u.conns {
		if key.node == name {
			delete(u.conns, key)
		}
	}
	for key := range u.pendingConns {
		if key.node == name {
			delete(u.pendingConns, key)
		}
	}
}

// PowerOff ends a node without closing anything: others learn of it only because it is silent, and upstreams count its
// connections for darkConnTimeout. The node starts again after the given time.
func (sim *Simulation) PowerOff(name string, down time.Duration) {
	n := sim.node(name)
	if n == nil || !n.alive {
		return
	}
	n.alive, n.ready = false, false
	incarnation := n.incarnation
	for _, id := range slices.Sorted(maps.Keys(n.sessions)) {
		c := n.sessions[id]
		sim.after(clientTimeout, func() { c.sessionClosed(n, id) })
	}
	n.sessions = nil
	sim.after(darkConnTimeout, func() {
		for _, u := range sim.upstreams {
			u.dropIncarnation(name, incarnation)
		}
	})
	sim.after(down, func() {
		n.resetPeerLinks()
		n.start()
	})
}

// dropIncarnation drops the connections of an earlier process of a node.
func (u *upstream) dropIncarnation(name string, incarnation int) {
	for key := range u.conns {
		if key.node == name && key.incarnation == incarnation {
			u.dropConn(key)
		}
	}
	for key := range u.pendingConns {
		if key.node == name && key.incarnation == incarnation {
			u.dropConn(key)
		}
	}
}
