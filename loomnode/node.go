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

// defaultShutdownDelay is the time for which the load balancer may still send new connections to a node that reports
// that it is not ready.
const defaultShutdownDelay = 2 * time.Second

// vmListRetryDelay is the delay after a failed read of the VM list.
const vmListRetryDelay = time.Second

// shutdownTimeout bounds the graceful shutdown. The longest requests and transactions are bounded by their own
// deadlines.
const shutdownTimeout = 10 * time.Minute

// Config configures a node.
type Config struct {
	Reducer     loomcore.Config
	Credentials *loomentry.Credentials
	// UpstreamUser and UpstreamPassword authenticate the node at the upstreams.
	UpstreamUser, UpstreamPassword string
	// ClientListener and LinkListener accept client connections and request links.
	ClientListener, LinkListener net.Listener
	VMs                          currantloom.VMList
	RulesStore                   currantloom.RulesStore
	// ControlListener accepts connections of the control protocol. If it is set, the node executes the effects on rules
	// itself, and Control and ForwardCancel are ignored.
	ControlListener net.Listener
	// HTTPListener accepts HTTP requests for liveness, readiness and metrics; nil serves none.
	HTTPListener net.Listener
	// Control executes the effects on rules if there is no ControlListener; nil ignores them.
	Control ControlExecutor
	// ForwardCancel forwards a CancelRequest to the node that issued the process id; nil ignores it.
	ForwardCancel func(pid uint32, secret []byte)
	// ShutdownDelay is how long a stopping node still accepts client connections; zero means 2 s.
	ShutdownDelay time.Duration
	// Version is reported in the node's status.
	Version string
	// LogLevel is the least severe level that is logged.
	LogLevel  log.Level
	LogOutput io.Writer
}

// Node is a node of the PostgreSQL half: it runs the reducer and does the I/O for it.
type Node struct {
	config            Config
	log               *log.Logger
	decisions         *loomlog.Writer
	start             time.Time
	upstreams         map[currantloom.UpstreamName]currantloom.PostgresUpstream
	pools             map[currantloom.UpstreamName]currantloom.PostgresClient
	dialer            loompeer.Dialer
	entryServer       *loomentry.Server
	linkServer        *loompeer.LinkServer
	control           *controller
	metrics           *metrics
	lastTick          atomic.Int64
	lastRequestNumber atomic.Uint64
	ready             atomic.Bool
	tasks             sync.WaitGroup
	// runCtx ends when the graceful shutdown has finished, or when a task of Run has failed.
	runCtx    context.Context
	cancelRun context.CancelFunc

	mu    sync.Mutex
	state *loomcore.State
	// requests holds the requests that the reducer handles as the entry node, transactionRequests the links of running
	// further requests of transactions, and attempts the attempts at upstreams that this node owns.
	requests            map[currantloom.RequestKey]*entryRequest
	transactionRequests map[currantloom.RequestKey]cancellableLink
	attempts            map[currantloom.RequestKey]*localAttempt
	// pinnedLinks holds the links that hold a connection to an upstream, by the key of the request that acquired it.
	pinnedLinks map[currantloom.RequestKey]*localLink
	// shutdownFinished is closed when the reducer has finished the graceful shutdown, closeRequested when Close is called,
	// runDone when Run returns.
	shutdownFinished     chan struct{}
	shutdownFinishedOnce sync.Once
	closeRequested       chan struct{}
	closeOnce            sync.Once
	running              bool
	runDone              chan struct{}
}

// New returns a node that is not running yet; Run starts it.
func New(config Config) *Node {
	n := &Node{
		config: config, log: log.NewWithOptions(config.LogOutput, log.Options{
			Formatter: log.LogfmtFormatter, ReportTimestamp: true, Level: config.LogLevel,
		}),
		start: time.Now(), upstreams: make(map[currantloom.UpstreamName]currantloom.PostgresUpstream),
		pools: make(map[currantloom.UpstreamName]currantloom.PostgresClient),
		state: loomcore.New(config.Reducer), requests: make(map[currantloom.RequestKey]*entryRequest),
		transactionRequests: make(map[currantloom.RequestKey]cancellableLink),
		attempts:            make(map[currantloom.RequestKey]*localAttempt),
		pinnedLinks:         make(map[currantloom.RequestKey]*localLink),
		shutdownFinished:    make(chan struct{}), closeRequested: make(chan struct{}), runDone: make(chan struct{}),
	}
	n.decisions = loomlog.NewWithLogger(n.log, 0)
	n.metrics = newMetrics(config.Reducer.Databases...)
	n.runCtx, n.cancelRun = context.WithCancel(context.Background())
	n.ready.Store(true)
	for _, database := range config.Reducer.Databases {
		for _, upstream := range database.Upstreams() {
			n.upstreams[upstream.Name()] = upstream
			n.pools[upstream.Name()] = loomserver.NewPool(upstream, config.UpstreamUser, config.UpstreamPassword,
				loomserver.WithMaxConnections(loomcore.RequestConnections(database)))
		}
	}
	if config.ControlListener != nil {
		n.control = newController(n)
		n.config.Control, n.config.ForwardCancel = n.control, n.control.forwardCancel
	}
	n.entryServer = &loomentry.Server{
		Gateway: n, Credentials: config.Credentials, VM: config.Reducer.Self, ForwardCancel: n.config.ForwardCancel,
	}
	n.linkServer = &loompeer.LinkServer{
		OpenLink: func() currantloom.Link { return &localLink{node: n} }, CancelRequest: n.CancelAttempt,
	}
	return n
}

// Ready reports whether the node takes new client connections.
func (n *Node) Ready() bool { return n.ready.Load() }

// CancelSession cancels the running request of the session with the process id and the secret. It reports whether this
// node has the session.
func (n *Node) CancelSession(pid uint32, secret []byte) bool {
	return n.entryServer.Cancel(pid, secret)
}

// Run serves until the context is cancelled or Close is called, then shuts down gracefully. It returns after
// everything in progress has finished.
func (n *Node) Run(ctx context.Context) error {
	n.mu.Lock()
	n.running = true
	if n.config.HTTPListener != nil {
		n.metrics.start()
	}
	n.mu.Unlock()
	defer close(n.runDone)
	var group loomtask.Group
	addTask := func(run func(context.Context) error) { group.Add(n.runCtx, n.cancelRun, run) }
	addTask(n.tick)
	addTask(n.watchVMs)
	addTask(n.decisions.Run)
	addTask(func(ctx context.Context) error {
		return loomtask.ServeUntil(ctx, n.entryServer.Serve, n.config.ClientListener)
	})
	addTask(func(ctx context.Context) error {
		return loomtask.ServeUntil(ctx, n.linkServer.Serve, n.config.LinkListener)
	})
	if n.control != nil {
		addTask(func(ctx context.Context) error {
			return loomtask.ServeUntil(ctx, n.control.serve, n.config.ControlListener)
		})
	}
	if n.config.HTTPListener != nil {
		addTask(func(ctx context.Context) error { return n.serveHTTP(ctx, n.config.HTTPListener) })
		addTask(n.reportGauges)
	}
	addTask(func(runCtx context.Context) error { return n.awaitShutdown(ctx, runCtx) })
	err := group.Run()
	n.closeResources()
	return err
}

// Close stops the node gracefully and waits for the end of Run.
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

// awaitShutdown shuts the node down gracefully once the context ends or Close is called, and returns when the shutdown
// has finished. Ticks, the VM list and the links stay active until then, because requests and transactions in progress
// need them.
func (n *Node) awaitShutdown(ctx, runCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-n.closeRequested:
	case <-runCtx.Done():
		return nil
	}
	n.log.Info("stop requested")
	n.submit(loomcore.ShutdownRequested{Stamp: n.stamp()})
	delay := n.config.ShutdownDelay
	if delay == 0 {
		delay = defaultShutdownDelay
	}
	loomtask.Sleep(runCtx, delay)
	_ = n.config.ClientListener.Close()
	serversClosed := make(chan struct{})
	n.spawn(func() {
		defer close(serversClosed)
		_ = n.entryServer.Close()
		_ = n.linkServer.Close()
	})
	timeout := time.NewTimer(shutdownTimeout)
	defer timeout.Stop()
	for _, done := range []<-chan struct{}{serversClosed, n.shutdownFinished} {
		select {
		case <-done:
		case <-timeout.C:
			n.log.Error("shutdown limit exceeded", "limit", shutdownTimeout)
			return currantloom.ErrUnavailable.New("graceful shutdown did not finish within %s", shutdownTimeout)
		}
	}
	n.log.Info("stopped")
	return nil
}

// closeResources closes listeners, servers and pools and waits for the node's goroutines.
func (n *Node) closeResources() {
	n.cancelRun()
	_ = n.config.LinkListener.Close()
	_ = n.config.ClientListener.Close()
	_ = n.entryServer.Close()
	_ = n.linkServer.Close()
	_ = n.dialer.Close()
	if n.control != nil {
		n.control.close()
	}
	n.tasks.Wait()
	n.metrics.close()
	for _, pool := range n.pools {
		_ = pool.Close()
	}
}

func (n *Node) stamp() loomcore.Stamp {
	return loomcore.Stamp{Now: time.Since(n.start), Random: rand.Uint64()}
}

func (n *Node) tick(ctx context.Context) error {
	return loomtask.Every(ctx, loomcore.TickInterval, func() {
		stamp := n.stamp()
		n.submit(loomcore.Tick{Stamp: stamp})
		n.lastTick.Store(int64(stamp.Now))
	})
}

func (n *Node) watchVMs(ctx context.Context) error {
	var index uint64
	unavailable := false
	for ctx.Err() == nil {
		set, err := n.config.VMs.VMs(ctx, index)
		if err != nil {
			if !unavailable && ctx.Err() == nil {
				n.log.Warn("VM list unavailable", "error", err)
			}
			unavailable = true
			loomtask.Sleep(ctx, vmListRetryDelay)
			continue
		}
		if unavailable {
			n.log.Info("VM list available")
			unavailable = false
		}
		index = set.Index
		n.submit(loomcore.VMsReceived{Stamp: n.stamp(), Set: set})
	}
	return nil
}
