package loommodel

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

// connectionLossDelay is the time until a node learns that the other end closed a link or a connection.
const connectionLossDelay = 2 * time.Millisecond

// node runs the reducer of one VM and executes its effects.
type node struct {
	sim      *Simulation
	name     string
	location currantloom.Location
	state    *loomfleet.State
	// incarnation counts the starts of the process; events of an earlier incarnation are dropped.
	incarnation int
	alive       bool
	paused      bool
	ready       bool
	startedAt   time.Duration
	// deferred holds the events that arrived while the node was paused.
	deferred []func()
	// inboundLinks holds the ids of the links that other nodes opened, by the name of the other node.
	inboundLinks map[string]loomfleet.LinkID
	linkSources  map[loomfleet.LinkID]string
	// outboundLinks holds the names of the nodes to which this node has an open link.
	outboundLinks map[string]bool
	lastLinkID    loomfleet.LinkID
	sessions      map[loomfleet.SessionID]*client
	// configuration is the newest configuration that the process has read; nil before the first.
	configuration *currantloom.Configuration
}

func newNode(sim *Simulation, i int) *node {
	return &node{sim: sim, name: fmt.Sprintf("vm-%d", i+1), location: locations[i%len(locations)]}
}

func (n *node) start() {
	n.incarnation++
	n.alive, n.paused, n.ready, n.deferred, n.startedAt = true, false, false, nil, n.sim.now
	n.inboundLinks, n.linkSources = make(map[string]loomfleet.LinkID), make(map[loomfleet.LinkID]string)
	n.configuration = nil
	n.outboundLinks, n.sessions = make(map[string]bool), make(map[loomfleet.SessionID]*client)
	n.state = loomfleet.New(loomfleet.Config{
		Self: currantloom.VMName(n.name), Location: n.location, Address: n.name, Incarnation: uint64(n.incarnation),
		DrainTimeout: 7 * time.Second, BalanceReads: n.sim.options.BalanceReads,
	})
	n.sim.store.subscribe(n)
	n.tick(n.incarnation)
}

func (n *node) tick(incarnation int) {
	if n.incarnation != incarnation || !n.alive {
		return
	}
	if !n.paused {
		n.reduce(loomfleet.Tick{Stamp: n.stamp()})
	}
	n.sim.after(loomfleet.TickInterval, func() { n.tick(incarnation) })
}

func (n *node) stamp() loomfleet.Stamp {
	return loomfleet.Stamp{Now: n.sim.now - n.startedAt + time.Second, Random: n.sim.random.Uint64()}
}

// deliver passes an event to the reducer after a delay, unless the process ended in the meantime. Events for a paused
// node wait until it resumes.
func (n *node) deliver(d time.Duration, event func() loomfleet.Event) {
	incarnation := n.incarnation
	n.sim.after(d, func() {
		if n.incarnation != incarnation || !n.alive {
			return
		}
		if n.paused {
			n.deferred = append(n.deferred, func() { n.reduce(event()) })
			return
		}
		n.reduce(event())
	})
}

func (n *node) reduce(e loomfleet.Event) {
	if c, ok := e.(loomfleet.CatalogChanged); ok && c.Configuration != nil &&
		(n.configuration == nil || c.Configuration.Version > n.configuration.Version) {
		n.configuration = c.Configuration
	}
	for _, effect := range slices.Clone(n.state.Reduce(e)) {
		n.execute(effect)
	}
}

func (n *node) execute(e loomfleet.Effect) {
	sim := n.sim
	switch e := e.(type) {
	case loomfleet.ReplyToSession:
		if c, ok := n.sessions[e.Session]; ok {
			c.receiveReply(n, e.Session, e.Reply)
		}
	case loomfleet.CloseSession:
		if c, ok := n.sessions[e.Session]; ok {
			delete(n.sessions, e.Session)
			c.sessionClosed(n, e.Session)
		}
	case loomfleet.OpenConn:
		n.openConn(e)
	case loomfleet.SendCommands:
		n.sendCommands(e)
	case loomfleet.CloseConn:
		n.closeConn(e.Conn)
	case loomfleet.Send:
		n.send(string(e.VM.Name()), e.Message)
	case loomfleet.Respond:
		n.respond(e)
	case loomfleet.ResetLink:
		n.resetLink(string(e.VM))
	case loomfleet.SetReady:
		n.ready = e.Ready
	case loomfleet.ShutdownFinished:
		n.terminateAfterReplies()
	case loomfleet.FetchConfiguration:
		n.fetchConfiguration(string(e.VM.Name()))
	case loomfleet.Promote:
		sim.cloud.promote(n, e)
	case loomfleet.Decision:
		sim.oracle.decisions.record(nodeDecision{at: sim.now, node: n.name, decision: e})
		sim.oracle.checkFaultlessDecision(n.name, e)
		if sim.Trace != nil {
			sim.Trace(sim.now, currantloom.VMName(n.name), e)
		}
	default:
		sim.store.call(n, e)
	}
}

// send sends a message over the link to another node and opens the link if there is none. Opening a link to a VM that
// is down fails after the network delay. A message into a partition is lost.
func (n *node) send(to string, m currantloom.Message) {
	sim := n.sim
	peer := sim.node(to)
	d := sim.networkDelay(n.name, to)
	if (peer == nil || !peer.alive) && !n.outboundLinks[to] {
		n.deliver(d, func() loomfleet.Event {
			return loomfleet.OutboundLinkFailed{Stamp: n.stamp(), VM: currantloom.VMName(to)}
		})
		return
	}
	if peer == nil || !peer.alive || !sim.reaches(n.name, to) {
		// Either the node is about to learn that its open link was closed, or a partition drops the message.
		n.outboundLinks[to] = true
		return
	}
	n.outboundLinks[to] = true
	peer.deliver(d, func() loomfleet.Event {
		return loomfleet.MessageReceived{
			Stamp: peer.stamp(), From: currantloom.VMName(n.name), Link: peer.inboundLink(n.name), Message: m,
		}
	})
}

// fetchConfiguration delivers the configuration of another node, if that node can be reached.
func (n *node) fetchConfiguration(from string) {
	peer := n.sim.node(from)
	if peer == nil || !peer.alive || peer.paused || !n.sim.reaches(n.name, from) || !n.sim.reaches(from, n.name) {
		return
	}
	n.deliver(2*n.sim.networkDelay(from, n.name), func() loomfleet.Event {
		return loomfleet.CatalogChanged{Stamp: n.stamp(), Configuration: peer.configuration}
	})
}

// inboundLink returns the id of the link that another node opened, and assigns one to a new link.
func (n *node) inboundLink(from string) loomfleet.LinkID {
	if id, ok := n.inboundLinks[from]; ok {
		return id
	}
	n.lastLinkID++
	n.inboundLinks[from], n.linkSources[n.lastLinkID] = n.lastLinkID, from
	return n.lastLinkID
}

func (n *node) respond(e loomfleet.Respond) {
	to, ok := n.linkSources[e.Link]
	peer := n.sim.node(to)
	if !ok || peer == nil || !n.sim.reaches(n.name, to) || !peer.outboundLinks[n.name] {
		return
	}
	peer.deliver(n.sim.networkDelay(n.name, to), func() loomfleet.Event {
		return loomfleet.MessageReceived{Stamp: peer.stamp(), From: currantloom.VMName(n.name), Message: e.Message}
	})
}

func (n *node) resetLink(to string) {
	n.outboundLinks[to] = false
	if peer := n.sim.node(to); peer != nil {
		peer.closeInboundLink(n.name)
	}
}

// closeInboundLink closes the link that another node opened and reports it to the reducer.
func (n *node) closeInboundLink(from string) {
	id, ok := n.inboundLinks[from]
	if !ok {
		return
	}
	delete(n.inboundLinks, from)
	delete(n.linkSources, id)
	n.deliver(connectionLossDelay, func() loomfleet.Event {
		return loomfleet.InboundLinkClosed{Stamp: n.stamp(), Link: id}
	})
}

// Kill ends a node's process and starts it again after the given time.
func (sim *Simulation) Kill(name string, down time.Duration) {
	n := sim.node(name)
	if n == nil || !n.alive {
		return
	}
	n.terminate()
	sim.after(down, n.start)
}

// terminate ends the process and closes its links, connections and sessions.
func (n *node) terminate() {
	sim := n.sim
	n.alive, n.ready = false, false
	n.resetPeerLinks()
	for _, u := range sim.upstreams {
		u.closeNodeConns(n.name)
	}
	for _, id := range slices.Sorted(maps.Keys(n.sessions)) {
		n.sessions[id].sessionClosed(n, id)
	}
	n.sessions = nil
}

// resetPeerLinks reports to the other nodes that their links from and to this node were closed.
func (n *node) resetPeerLinks() {
	for _, peer := range n.sim.nodes {
		if peer == n || !peer.alive {
			continue
		}
		peer.closeInboundLink(n.name)
		if peer.outboundLinks[n.name] {
			peer.deliver(connectionLossDelay, func() loomfleet.Event {
				peer.outboundLinks[n.name] = false
				return loomfleet.OutboundLinkFailed{Stamp: peer.stamp(), VM: currantloom.VMName(n.name), Sent: true}
			})
		}
	}
}

// Pause stops a node's process for the duration d without ending it. Its clock continues to advance.
func (sim *Simulation) Pause(name string, d time.Duration) {
	n := sim.node(name)
	if n == nil || !n.alive || n.paused {
		return
	}
	n.paused = true
	incarnation := n.incarnation
	sim.after(d, func() {
		if n.incarnation != incarnation {
			return
		}
		n.paused = false
		deferred := n.deferred
		n.deferred = nil
		for _, deliver := range deferred {
			deliver()
		}
	})
}

// Stop asks a node to shut down gracefully and kills it after 6 s if it still runs. It starts again after the further
// time down.
func (sim *Simulation) Stop(name string, down time.Duration) {
	n := sim.node(name)
	if n == nil || !n.alive || n.paused {
		return
	}
	incarnation := n.incarnation
	n.reduce(loomfleet.ShutdownRequested{Stamp: n.stamp()})
	sim.after(6*time.Second, func() {
		if n.incarnation == incarnation && n.alive {
			n.terminate()
		}
	})
	sim.after(6*time.Second+down, func() {
		if n.incarnation == incarnation {
			n.start()
		}
	})
}

// terminateAfterReplies ends the process once the replies on their way to clients have arrived.
func (n *node) terminateAfterReplies() {
	incarnation := n.incarnation
	n.sim.after(connectionLossDelay, func() {
		if n.incarnation == incarnation && n.alive {
			n.terminate()
		}
	})
}
