package loomhost

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
	"currantloom.example/currantloom/loomlog"
	"currantloom.example/currantloom/loommesh"
	"currantloom.example/currantloom/loomtask"
)

// defaultRoutineLines is the number of log lines on ordinary work per second.
const defaultRoutineLines = 50

// Config is what a node needs to start.
type Config struct {
	Reducer  loomfleet.Config
	Sessions currantloom.SessionListener
	// Links accepts links of other nodes.
	Links    net.Listener
	Dialer   currantloom.UpstreamDialer
	Promoter currantloom.Promoter
	Store    currantloom.Store
	Catalog  currantloom.Catalog
	// SeedAddresses are addresses of nodes that are asked when the store cannot be reached at the start.
	SeedAddresses []string
	Log           io.Writer
	// RoutineLinesPerSecond bounds the log lines on ordinary work per second; zero means 50.
	RoutineLinesPerSecond int
	// Version stands in the log.
	Version string
}

// Node is one running node.
type Node struct {
	config   Config
	log      *loomlog.Writer
	metrics  *metrics
	clock    clock
	mesh     *loommesh.Mesh
	registry *registry
	ready    atomic.Bool
	tasks    sync.WaitGroup
	// background ends when the graceful shutdown has finished.
	background context.Context
	cancel     context.CancelFunc
	stopped    chan struct{}
	stopOnce   sync.Once
	stopping   chan struct{}
	finished   chan struct{}
	endpoints  []*endpoint

	mu       sync.Mutex
	running  bool
	state    *loomfleet.State
	sessions map[loomfleet.SessionID]*session
	conns    map[loomfleet.ConnID]*conn
	number   uint64
}

// New returns a node that is ready to run.
func New(c Config) *Node {
	if c.Log == nil {
		c.Log = io.Discard
	}
	if c.RoutineLinesPerSecond == 0 {
		c.RoutineLinesPerSecond = defaultRoutineLines
	}
	n := &Node{
		config: c, log: loomlog.New(c.Log, log.InfoLevel, c.RoutineLinesPerSecond), metrics: newMetrics(),
		clock: newClock(),
		state: loomfleet.New(c.Reducer), sessions: make(map[loomfleet.SessionID]*session),
		conns: make(map[loomfleet.ConnID]*conn), stopped: make(chan struct{}), stopping: make(chan struct{}),
		finished: make(chan struct{}),
	}
	n.background, n.cancel = context.WithCancel(context.Background())
	n.mesh = loommesh.New(c.Reducer.Self, n)
	n.registry = newRegistry(n)
	return n
}

// Ready reports whether the load balancer may send new connections.
func (n *Node) Ready() bool { return n.ready.Load() }

// Metrics serves the node's metrics as text.
func (n *Node) Metrics() http.Handler { return n.metrics.handler() }

// LogIgnoredReload logs that a reload of the settings was requested and has no effect: all settings are fixed for the
// lifetime of the process.
func (n *Node) LogIgnoredReload() {
	n.log.Enqueue(loomlog.Line{Event: "reload", Fields: []any{"outcome", "settings are fixed until the next start"}})
}

// Run serves until the context ends or Close is called, then shuts down gracefully. It returns after everything in
// progress has ended.
func (n *Node) Run(ctx context.Context) error {
	n.mu.Lock()
	n.running = true
	n.mu.Unlock()
	defer close(n.finished)
	n.log.Enqueue(loomlog.Line{Event: "start", Fields: []any{
		"vm", n.config.Reducer.Self, "version", n.config.Version,
	}})
	var g loomtask.Group
	actor := func(f func(context.Context) error) { g.Add(n.background, n.cancel, f) }
	actor(n.log.Run)
	actor(n.tick)
	actor(n.registry.run)
	actor(n.registry.spread)
	actor(n.metrics.run)
	actor(n.acceptSessions)
	actor(n.acceptLinks)
	for _, e := range n.endpoints {
		actor(func(ctx context.Context) error { return n.runEndpoint(ctx, e) })
	}
	actor(func(background context.Context) error { return n.awaitStop(ctx, background) })
	err := g.Run()
	n.closeParts()
	return err
}

// Close stops the node gracefully and waits for the end of Run.
func (n *Node) Close() error {
	n.stopOnce.Do(func() { close(n.stopping) })
	n.mu.Lock()
	running := n.running
	n.mu.Unlock()
	if running {
		<-n.finished
	}
	return nil
}

// awaitStop returns once the graceful shutdown has finished.
func (n *Node) awaitStop(ctx, background context.Context) error {
	select {
	case <-ctx.Done():
	case <-n.stopping:
	case <-background.Done():
		return nil
	}
	n.post(loomfleet.ShutdownRequested{Stamp: n.stamp()})
	select {
	case <-n.stopped:
	case <-background.Done():
	}
	n.drainSessions()
	return nil
}

// closeParts closes what is left once the node has stopped.
func (n *Node) closeParts() {
	n.cancel()
	_ = n.config.Sessions.Close()
	_ = n.config.Links.Close()
	n.mu.Lock()
	for _, sn := range n.sessions {
		sn.close()
	}
	for _, c := range n.conns {
		c.close()
	}
	n.mu.Unlock()
	_ = n.mesh.Close()
	n.tasks.Wait()
}

func (n *Node) stamp() loomfleet.Stamp {
	return loomfleet.Stamp{Now: n.clock.now(), Random: rand.Uint64()}
}

func (n *Node) tick(ctx context.Context) error {
	return loomtask.Every(ctx, loomfleet.TickInterval, func() { n.post(loomfleet.Tick{Stamp: n.stamp()}) })
}

// acceptSessions serves clients until the listener is closed, which is part of the shutdown.
func (n *Node) acceptSessions(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = n.config.Sessions.Close() })()
	for {
		client, err := n.config.Sessions.Accept()
		switch {
		case err == nil:
			n.serveSession(client)
		case errors.Is(err, net.ErrClosed):
			<-ctx.Done()
			return nil
		default:
			n.log.Enqueue(loomlog.Line{Event: "accept", Routine: true, Fields: []any{"outcome", "failed", "reason", err}})
			time.Sleep(acceptPause)
		}
	}
}

// acceptPause separates attempts to accept while the process is out of file descriptors.
const acceptPause = 10 * time.Millisecond

func (n *Node) acceptLinks(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = n.config.Links.Close() })()
	err := n.mesh.Serve(n.config.Links)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// post applies an event and carries its effects out.
func (n *Node) post(e loomfleet.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reduce(e)
}

// reduce is post for a caller that holds the lock.
func (n *Node) reduce(e loomfleet.Event) {
	for _, effect := range n.state.Reduce(e) {
		n.perform(effect)
	}
}

// MessageReceived passes a message of another node on. Questions for items are answered without the reducer.
func (n *Node) MessageReceived(from currantloom.VMName, link uint64, m currantloom.Message) {
	switch m := m.(type) {
	case currantloom.StoreItemsRequest:
		n.mesh.Respond(link, currantloom.StoreItems{Items: n.registry.known()})
		return
	case currantloom.StoreItems:
		n.registry.pushed(m)
		return
	}
	n.post(loomfleet.MessageReceived{Stamp: n.stamp(), From: from, Link: loomfleet.LinkID(link), Message: m})
}

// OutgoingLinkClosed passes the end of a link that this node opened on.
func (n *Node) OutgoingLinkClosed(vm currantloom.VMName, sent bool, forget func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	forget()
	n.reduce(loomfleet.OutboundLinkFailed{Stamp: n.stamp(), VM: vm, Sent: sent})
}

// IncomingLinkClosed passes the end of a link of another node on.
func (n *Node) IncomingLinkClosed(link uint64) {
	n.post(loomfleet.InboundLinkClosed{Stamp: n.stamp(), Link: loomfleet.LinkID(link)})
}
