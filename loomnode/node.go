package loomnode

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
	"currantloom.example/currantloom/loomentry"
	"currantloom.example/currantloom/loomlog"
	"currantloom.example/currantloom/loompeer"
	"currantloom.example/currantloom/loomserver"
	"currantloom.example/currantloom/loomtask"
)

// drainInterval is the load balancer's interval: how long it may still send new connections to a node that reports
// that it is not ready.
const drainInterval = 2 * time.Second

// listRetry is the pause after a VM list that could not be read.
const listRetry = time.Second

// stopLimit bounds the graceful shutdown; the longest requests and transactions are bounded by their own deadlines.
const stopLimit = 10 * time.Minute

// Config is what a node needs to start.
type Config struct {
	Core        loomcore.Config
	Credentials *loomentry.Credentials
	// UpstreamUser and UpstreamPassword authenticate the node at the database servers.
	UpstreamUser, UpstreamPassword string
	// ClientListener and LinkListener accept client connections and request links.
	ClientListener, LinkListener net.Listener
	VMs                          currantloom.VMList
	RulesStore                   currantloom.RulesStore
	// ControlListener accepts the control protocol; with it the node executes the effects of the control plane itself.
	ControlListener net.Listener
	// HTTPListener accepts requests for liveness, readiness and metrics; nil serves none.
	HTTPListener net.Listener
	// Control executes the effects of the control plane if there is no ControlListener; nil ignores them.
	Control ControlExecutor
	// ForwardCancel passes a CancelRequest on to the node that reported the process id; nil ignores it.
	ForwardCancel func(pid uint32, secret []byte)
	// ShutdownDelay is how long a stopping node still accepts client connections; zero means 2 s.
	ShutdownDelay time.Duration
	// Version stands in the node's status.
	Version string
	// LogLevel is the least severe level that is logged.
	LogLevel  log.Level
	LogOutput io.Writer
}

// Node is one running node.
type Node struct {
	config    Config
	log       *log.Logger
	decisions *loomlog.Writer
	start     time.Time
	servers   map[currantloom.UpstreamName]currantloom.PostgresUpstream
	pools     map[currantloom.UpstreamName]currantloom.PostgresClient
	dialer    loompeer.Dialer
	entry     *loomentry.Server
	links     *loompeer.Server
	control   *controller
	metrics   *metrics
	tickedAt  atomic.Int64
	number    atomic.Uint64
	ready     atomic.Bool
	tasks     sync.WaitGroup
	// background ends when the graceful shutdown has finished.
	background context.Context
	cancel     context.CancelFunc

	mu           sync.Mutex
	state        *loomcore.State
	entries      map[currantloom.RequestKey]*entryRequest
	transactions map[currantloom.RequestKey]cancelLink
	works        map[currantloom.RequestKey]*localWork
	// pinned holds the links whose connections are in use, by the request that took them.
	pinned       map[currantloom.RequestKey]*localLink
	stopped      chan struct{}
	stoppedOnce  sync.Once
	stopping     chan struct{}
	stoppingOnce sync.Once
	running      bool
	finished     chan struct{}
}

// New returns a node that is ready to run.
func New(c Config) *Node {
	n := &Node{
		config: c, log: log.NewWithOptions(c.LogOutput, log.Options{
			Formatter: log.LogfmtFormatter, ReportTimestamp: true, Level: c.LogLevel,
		}),
		start: time.Now(), servers: make(map[currantloom.UpstreamName]currantloom.PostgresUpstream),
		pools: make(map[currantloom.UpstreamName]currantloom.PostgresClient),
		state: loomcore.New(c.Core), entries: make(map[currantloom.RequestKey]*entryRequest),
		transactions: make(map[currantloom.RequestKey]cancelLink), works: make(map[currantloom.RequestKey]*localWork),
		pinned:  make(map[currantloom.RequestKey]*localLink),
		stopped: make(chan struct{}), stopping: make(chan struct{}), finished: make(chan struct{}),
	}
	n.decisions = loomlog.NewWithLogger(n.log, 0)
	n.metrics = newMetrics()
	n.background, n.cancel = context.WithCancel(context.Background())
	n.ready.Store(true)
	for _, d := range c.Core.Databases {
		for _, s := range d.Upstreams() {
			n.servers[s.Name()] = s
			n.pools[s.Name()] = loomserver.NewPool(s, c.UpstreamUser, c.UpstreamPassword,
				loomserver.WithMaxConnections(loomcore.RequestConnections(d)))
		}
	}
	if c.ControlListener != nil {
		n.control = newController(n)
		n.config.Control, n.config.ForwardCancel = n.control, n.control.forwardCancel
	}
	n.entry = &loomentry.Server{
		Gateway: n, Credentials: c.Credentials, VM: c.Core.Self, ForwardCancel: n.config.ForwardCancel,
	}
	n.links = &loompeer.Server{
		OpenLink: func() currantloom.Link { return &localLink{node: n} }, CancelRequest: n.CancelAttempt,
	}
	return n
}

// Ready reports whether the load balancer may send new connections.
func (n *Node) Ready() bool { return n.ready.Load() }

// CancelSession gives up what runs in the session with the process id and the secret. It reports whether this node
// has the session.
func (n *Node) CancelSession(pid uint32, secret []byte) bool { return n.entry.Cancel(pid, secret) }

// Run serves until the context is cancelled or Close is called, then shuts down gracefully. It returns after
// everything in progress has finished.
func (n *Node) Run(ctx context.Context) error {
	n.mu.Lock()
	n.running = true
	if n.config.HTTPListener != nil {
		n.metrics.start()
	}
	n.mu.Unlock()
	defer close(n.finished)
	var g loomtask.Group
	actor := func(f func(context.Context) error) { g.Add(n.background, n.cancel, f) }
	actor(n.tick)
	actor(n.watchVMs)
	actor(n.decisions.Run)
	actor(func(ctx context.Context) error {
		return loomtask.ServeUntil(ctx, n.entry.Serve, n.config.ClientListener)
	})
	actor(func(ctx context.Context) error { return loomtask.ServeUntil(ctx, n.links.Serve, n.config.LinkListener) })
	if n.control != nil {
		actor(func(ctx context.Context) error {
			return loomtask.ServeUntil(ctx, n.control.serve, n.config.ControlListener)
		})
	}
	if n.config.HTTPListener != nil {
		actor(func(ctx context.Context) error { return n.serveHTTP(ctx, n.config.HTTPListener) })
		actor(n.reportGauges)
	}
	actor(func(background context.Context) error { return n.awaitStop(ctx, background) })
	err := g.Run()
	n.closeParts()
	return err
}

// Close stops the node gracefully and waits for the end of Run.
func (n *Node) Close() error {
	n.stoppingOnce.Do(func() { close(n.stopping) })
	n.mu.Lock()
	running := n.running
	n.mu.Unlock()
	if running {
		<-n.finished
	}
	return nil
}

// awaitStop returns once the graceful shutdown has finished. The clock, the VM list and the links go on until then,
// because requests and transactions in progress need them.
func (n *Node) awaitStop(ctx, background context.Context) error {
	select {
	case <-ctx.Done():
	case <-n.stopping:
	case <-background.Done():
		return nil
	}
	n.log.Info("stop requested")
	n.submit(loomcore.ShutdownRequested{Stamp: n.stamp()})
	interval := n.config.ShutdownDelay
	if interval == 0 {
		interval = drainInterval
	}
	loomtask.Sleep(background, interval)
	_ = n.config.ClientListener.Close()
	closed := make(chan struct{})
	n.spawn(func() {
		defer close(closed)
		_ = n.entry.Close()
		_ = n.links.Close()
	})
	limit := time.NewTimer(stopLimit)
	defer limit.Stop()
	for _, done := range []<-chan struct{}{closed, n.stopped} {
		select {
		case <-done:
		case <-limit.C:
			n.log.Error("shutdown limit exceeded", "limit", stopLimit)
			return currantloom.ErrUnavailable.New("graceful shutdown did not finish within %s", stopLimit)
		}
	}
	n.log.Info("stopped")
	return nil
}

// closeParts closes what is left once nothing is in progress.
func (n *Node) closeParts() {
	n.cancel()
	_ = n.config.LinkListener.Close()
	_ = n.config.ClientListener.Close()
	_ = n.entry.Close()
	_ = n.links.Close()
	_ = n.dialer.Close()
	if n.control != nil {
		n.control.close()
	}
	n.tasks.Wait()
	n.metrics.close()
	for _, p := range n.pools {
		_ = p.Close()
	}
}

func (n *Node) stamp() loomcore.Stamp {
	return loomcore.Stamp{Now: time.Since(n.start), Random: rand.Uint64()}
}

func (n *Node) tick(ctx context.Context) error {
	return loomtask.Every(ctx, loomcore.TickInterval, func() {
		stamp := n.stamp()
		n.submit(loomcore.Tick{Stamp: stamp})
		n.tickedAt.Store(int64(stamp.Now))
	})
}

func (n *Node) watchVMs(ctx context.Context) error {
	var index uint64
	failing := false
	for ctx.Err() == nil {
		set, err := n.config.VMs.VMs(ctx, index)
		if err != nil {
			if !failing && ctx.Err() == nil {
				n.log.Warn("VM list unavailable", "error", err)
			}
			failing = true
			loomtask.Sleep(ctx, listRetry)
			continue
		}
		if failing {
			n.log.Info("VM list available")
			failing = false
		}
		index = set.Index
		n.submit(loomcore.VMsReceived{Stamp: n.stamp(), Set: set})
	}
	return nil
}
