package loommodel

import (
	"fmt"
	"slices"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

// linkLoss is when a node learns that the other end of a link is gone.
const linkLoss = 2 * time.Millisecond

// node runs the reducer of one VM.
type node struct {
	world *World
	name  string
	place currantloom.Location
	state *loomfleet.State
	// run counts the starts; what belongs to an earlier run is dropped.
	run    int
	alive  bool
	frozen bool
	ready  bool
	begun  time.Duration
	// waiting holds what came while the node was frozen.
	waiting []func()
	// links holds the ids of the links that other nodes opened, by their name; outgoing whether this node has a link.
	links    map[string]loomfleet.LinkID
	linkFrom map[loomfleet.LinkID]string
	outgoing map[string]bool
	linkNext loomfleet.LinkID
	sessions map[loomfleet.SessionID]*client
}

func newNode(w *World, i int) *node {
	return &node{world: w, name: fmt.Sprintf("vm-%d", i+1), place: places[i%len(places)]}
}

func (n *node) start() {
	n.run++
	n.alive, n.frozen, n.ready, n.waiting, n.begun = true, false, false, nil, n.world.now
	n.links, n.linkFrom = make(map[string]loomfleet.LinkID), make(map[loomfleet.LinkID]string)
	n.outgoing, n.sessions = make(map[string]bool), make(map[loomfleet.SessionID]*client)
	n.state = loomfleet.New(loomfleet.Config{
		Self: currantloom.VMName(n.name), Location: n.place, Address: n.name, Incarnation: uint64(n.run),
		DrainTimeout: 7 * time.Second,
	})
	n.world.store.subscribe(n)
	n.tick(n.run)
}

func (n *node) tick(run int) {
	if n.run != run || !n.alive {
		return
	}
	if !n.frozen {
		n.reduce(loomfleet.Tick{Stamp: n.stamp()})
	}
	n.world.after(loomfleet.TickInterval, func() { n.tick(run) })
}

func (n *node) stamp() loomfleet.Stamp {
	return loomfleet.Stamp{Now: n.world.now - n.begun + time.Second, Random: n.world.random.Uint64()}
}

// post gives an event to the node after a delay, unless it was restarted meanwhile. Events of a frozen node wait.
func (n *node) post(d time.Duration, event func() loomfleet.Event) {
	run := n.run
	n.world.after(d, func() {
		if n.run != run || !n.alive {
			return
		}
		if n.frozen {
			n.waiting = append(n.waiting, func() { n.reduce(event()) })
			return
		}
		n.reduce(event())
	})
}

func (n *node) reduce(e loomfleet.Event) {
	for _, effect := range slices.Clone(n.state.Reduce(e)) {
		n.perform(effect)
	}
}

func (n *node) perform(e loomfleet.Effect) {
	w := n.world
	switch e := e.(type) {
	case loomfleet.ReplyToSession:
		if c, ok := n.sessions[e.Session]; ok {
			c.answered(n, e.Session, e.Reply)
		}
	case loomfleet.CloseSession:
		if c, ok := n.sessions[e.Session]; ok {
			delete(n.sessions, e.Session)
			c.closed(n, e.Session)
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
		n.stopped()
	case loomfleet.Promote:
		w.cloud.promote(n, e)
	case loomfleet.Decision:
		if w.Trace != nil {
			w.Trace(w.now, currantloom.VMName(n.name), e)
		}
	default:
		w.store.perform(n, e)
	}
}

// send passes a message over the link to another node, which is opened if there is none. A link to a VM that is down
// fails at once; what is sent into a cut is lost.
func (n *node) send(to string, m currantloom.Message) {
	w := n.world
	peer := w.node(to)
	d := w.delay(n.name, to)
	if (peer == nil || !peer.alive) && !n.outgoing[to] {
		n.post(d, func() loomfleet.Event {
			return loomfleet.OutboundLinkFailed{Stamp: n.stamp(), VM: currantloom.VMName(to)}
		})
		return
	}
	if peer == nil || !peer.alive || !w.reaches(n.name, to) {
		// The end of the open link is on its way, or the cut shows as silence.
		n.outgoing[to] = true
		return
	}
	n.outgoing[to] = true
	peer.post(d, func() loomfleet.Event {
		return loomfleet.MessageReceived{
			Stamp: peer.stamp(), From: currantloom.VMName(n.name), Link: peer.linkOf(n.name), Message: m,
		}
	})
}

// linkOf returns the id of the link that another node opened.
func (n *node) linkOf(from string) loomfleet.LinkID {
	if id, ok := n.links[from]; ok {
		return id
	}
	n.linkNext++
	n.links[from], n.linkFrom[n.linkNext] = n.linkNext, from
	return n.linkNext
}

func (n *node) respond(e loomfleet.Respond) {
	to, ok := n.linkFrom[e.Link]
	peer := n.world.node(to)
	if !ok || peer == nil || !n.world.reaches(n.name, to) || !peer.outgoing[n.name] {
		return
	}
	peer.post(n.world.delay(n.name, to), func() loomfleet.Event {
		return loomfleet.MessageReceived{Stamp: peer.stamp(), From: currantloom.VMName(n.name), Message: e.Message}
	})
}

func (n *node) resetLink(to string) {
	n.outgoing[to] = false
	if peer := n.world.node(to); peer != nil {
		peer.dropLink(n.name)
	}
}

// dropLink tells the node that a link of another one is gone.
func (n *node) dropLink(from string) {
	id, ok := n.links[from]
	if !ok {
		return
	}
	delete(n.links, from)
	delete(n.linkFrom, id)
	n.post(linkLoss, func() loomfleet.Event { return loomfleet.InboundLinkClosed{Stamp: n.stamp(), Link: id} })
}

// Kill ends a node's process; its connections are reset. It starts again after the time.
func (w *World) Kill(name string, down time.Duration) {
	n := w.node(name)
	if n == nil || !n.alive {
		return
	}
	n.end()
	w.after(down, n.start)
}

// end resets everything that the node holds open.
func (n *node) end() {
	w := n.world
	n.alive, n.ready = false, false
	for _, peer := range w.nodes {
		if peer == n || !peer.alive {
			continue
		}
		peer.dropLink(n.name)
		if peer.outgoing[n.name] {
			peer.post(linkLoss, func() loomfleet.Event {
				peer.outgoing[n.name] = false
				return loomfleet.OutboundLinkFailed{Stamp: peer.stamp(), VM: currantloom.VMName(n.name), Sent: true}
			})
		}
	}
	for _, s := range w.servers {
		s.dropNode(n.name)
	}
	for id, c := range n.sessions {
		c.closed(n, id)
	}
	n.sessions = nil
}

// Freeze stops a node's process for a time; the clock goes on.
func (w *World) Freeze(name string, d time.Duration) {
	n := w.node(name)
	if n == nil || !n.alive || n.frozen {
		return
	}
	n.frozen = true
	run := n.run
	w.after(d, func() {
		if n.run != run {
			return
		}
		n.frozen = false
		waiting := n.waiting
		n.waiting = nil
		for _, deliver := range waiting {
			deliver()
		}
	})
}

// Stop asks a node to end gracefully; it starts again after the time.
func (w *World) Stop(name string, down time.Duration) {
	n := w.node(name)
	if n == nil || !n.alive || n.frozen {
		return
	}
	run := n.run
	n.reduce(loomfleet.ShutdownRequested{Stamp: n.stamp()})
	w.after(6*time.Second, func() {
		if n.run == run && n.alive {
			n.end()
		}
	})
	w.after(6*time.Second+down, func() {
		if n.run == run {
			n.start()
		}
	})
}

// stopped ends the process after the answers that are due.
func (n *node) stopped() {
	run := n.run
	n.world.after(linkLoss, func() {
		if n.run == run && n.alive {
			n.end()
		}
	})
}
