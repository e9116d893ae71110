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

// defaultRoutineLinesPerSecond bounds the routine log lines if Config does not.
const defaultRoutineLinesPerSecond = 50

// Config configures a node.
type Config struct {
	// Reducer configures the reducer of the node.
	Reducer  loomfleet.Config
	Sessions currantloom.SessionListener
	// Links accepts links from other nodes.
	Links    net.Listener
	Dialer   currantloom.UpstreamDialer
	Promoter currantloom.Promoter
	Store    currantloom.Store
	Catalog  currantloom.Catalog
	// SeedAddresses are link addresses of nodes that are asked for their copy of the store if the store cannot be reached
	// at the start.
	SeedAddresses []string
	Log           io.Writer
	// RoutineLinesPerSecond bounds the routine log lines, those on ordinary work; zero means 50.
	RoutineLinesPerSecond int
	// Version is the version of the program, for the log.
	Version string
}

// Node is a node of the platform half: it runs the reducer and does the I/O for it.
type Node struct {
	config     Config
	log        *loomlog.Writer
	metrics    *metrics
	clock      clock
	mesh       *loommesh.Mesh
	storeCache *storeCache
	ready      atomic.Bool
	tasks      sync.WaitGroup
	// runCtx ends when the graceful shutdown has finished, or when a task of Run has failed.
	runCtx    context.Context
	cancelRun context.CancelFunc
	// shutdownFinished is closed when the reducer has finished the graceful shutdown, closeRequested when Close is
	// called, runDone when Run returns.
	shutdownFinished chan struct{}
	closeOnce        sync.Once
	closeRequested   chan struct{}
	runDone          chan struct{}
	endpoints        []*endpoint

	mu            sync.Mutex
	running       bool
	state         *loomfleet.State
	sessions      map[loomfleet.SessionID]*session
	conns         map[loomfleet.ConnID]*upstreamConn
	lastSessionID uint64
}

// New returns a node. Run starts it.
func New(c Config) *Node {
	if c.Log == nil {
		c.Log = io.Discard
	}
	if c.RoutineLinesPerSecond == 0 {
		c.RoutineLinesPerSecond = defaultRoutineLinesPerSecond
	}
	n := &Node{
		config: c, log: loomlog.New(c.Log, log.InfoLevel, c.RoutineLinesPerSecond), metrics: newMetrics(),
		clock: newClock(), state: loomfleet.New(c.Reducer), sessions: make(map[loomfleet.SessionID]*session),
		conns: make(map[loomfleet.ConnID]*upstreamConn), shutdownFinished: make(chan struct{}),
		closeRequested: make(chan struct{}), runDone: make(chan struct{}),
	}
	n.runCtx, n.cancelRun = context.WithCancel(context.Background())
	n.mesh = loommesh.New(c.Reducer.Self, n)
	n.storeCache = newStoreCache(n)
	return n
}

// Ready reports whether the load balancer may send new connections.
func (n *Node) Ready() bool { return n.ready.Load() }

// Metrics serves the node's metrics in the Prometheus text format.
func (n *Node) Metrics() http.Handler { return n.metrics.handler() }

// LogIgnoredReload logs that a reload of the settings was requested and has no effect: all settings are fixed for the
// lifetime of the process.
func (n *Node) LogIgnoredReload() {
	n.log.Enqueue(loomlog.Line{Event: "reload", Fields: []any{"outcome", "settings are fixed until the next start"}})
}

// Run serves until the context ends or Close is called, then shuts down gracefully. It returns after all goroutines of
// the node have ended.
func (n *Node) Run(ctx context.Context) error {
	n.mu.Lock()
	n.running = true
	n.mu.Unlock()
	defer close(n.runDone)
	n.log.Enqueue(loomlog.Line{Event: "start", Fields: []any{
		"vm", n.config.Reducer.Self, "version", n.config.Version,
	}})
	var g loomtask.Group
	addTask := func(f func(context.Context) error) { g.Add(n.runCtx, n.cancelRun, f) }
	addTask(n.log.Run)
	addTask(n.tick)
	addTask(n.storeCache.run)
	addTask(n.storeCache.loadAtStart)
	addTask(n.metrics.run)
	addTask(n.acceptSessions)
	addTask(n.acceptLinks)
	for _, e := range n.endpoints {
		addTask(func(ctx context.Context) error { return n.runEndpoint(ctx, e) })
	}
	addTask(func(runCtx context.Context) error { return n.awaitShutdown(ctx, runCtx) })
	err := g.Run()
	n.closeResources()
	return err
}

// Close shuts the node down gracefully and waits for the end of Run.
func (n *Node) Close() error {
	n.closeOnce.Do(func() { close(n.closeRequested) })
	n.mu.Lock()
	running := n.running
	n.mu.Unlock()
	if running {
		<-n.runDone
	}
	return nil
}

// awaitShutdown waits for the request to stop, and returns once the graceful shutdown has finished.
func (n *Node) awaitShutdown(ctx, runCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-n.closeRequested:
	case <-runCtx.Done():
		return nil
	}
	n.submit(loomfleet.ShutdownRequested{Stamp: n.stamp()})
	select {
	case <-n.shutdownFinished:
	case <-runCtx.Done():
	}
	n.drainSessions()
	return nil
}

// closeResources closes listeners, sessions, connections and links, and waits for their goroutines.
func (n *Node) closeResources() {
	n.cancelRun()
	_ = n.config.Sessions.Close()
	_ = n.config.Links.Close()
	n.mu.Lock()
	for _, s := range n.sessions {
		s.close()
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
	return loomtask.Every(ctx, loomfleet.TickInterval, func() { n.submit(loomfleet.Tick{Stamp: n.stamp()}) })
}

// acceptSessions accepts clients until the listener is closed. The graceful shutdown closes the listener early, so the
// method then waits for the end of the context.
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
			time.Sleep(acceptRetryDelay)
		}
	}
}

// acceptRetryDelay is the pause after a failed accept, which happens while the process is out of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

func (n *Node) acceptLinks(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = n.config.Links.Close() })()
	err := n.mesh.Serve(n.config.Links)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// submit passes an event to the reducer and executes the effects.
func (n *Node) submit(e loomfleet.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.submitLocked(e)
}

// submitLocked is submit for a function that already holds the lock.
func (n *Node) submitLocked(e loomfleet.Event) {
	for _, effect := range n.state.Reduce(e) {
		n.executeEffect(effect)
	}
}

// MessageReceived passes a message from another node to the reducer, except the exchange of store items, which the
// store cache handles.
func (n *Node) MessageReceived(from currantloom.VMName, link uint64, m currantloom.Message) {
	switch m := m.(type) {
	case currantloom.StoreItemsRequest:
		n.storeCache.sendCopy(from, link)
		return
	case currantloom.StoreProofRequest:
		n.storeCache.requestCopyIfMissing(link)
		n.storeCache.sendProof(from, m)
		return
	case currantloom.StoreItems:
		n.storeCache.requestCopyIfMissing(link)
		n.storeCache.enqueuePush(from, m)
		return
	}
	n.storeCache.requestCopyIfMissing(link)
	n.submit(loomfleet.MessageReceived{Stamp: n.stamp(), From: from, Link: loomfleet.LinkID(link), Message: m})
}

// OutboundLinkFailed tells the reducer that a link that this node opened has ended.
func (n *Node) OutboundLinkFailed(vm currantloom.VMName, sent bool, remove func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	remove()
	n.submitLocked(loomfleet.OutboundLinkFailed{Stamp: n.stamp(), VM: vm, Sent: sent})
}

// InboundLinkClosed tells the reducer that a link that another node opened has ended.
func (n *Node) InboundLinkClosed(link uint64) {
	n.submit(loomfleet.InboundLinkClosed{Stamp: n.stamp(), Link: loomfleet.LinkID(link)})
}
