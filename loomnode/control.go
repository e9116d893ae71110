package loomnode

import (
	"context"
	"net"
	"sync"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
	"currantloom.example/currantloom/loomentry"
	"currantloom.example/currantloom/loompeer"
	"currantloom.example/currantloom/loomrules"
	"currantloom.example/currantloom/loomtask"
)

const (
	// rulesPullTimeout equals the interval between pulls, so that at most one pull is in progress.
	rulesPullTimeout = time.Second
	// rulesPushTimeout is enough to send a whole file of 1 MB between regions, which takes 0.3 s without other traffic.
	rulesPushTimeout = 3 * time.Second
	// storeRetryDelay is the delay between reads of a store that is unavailable or holds no rules.
	storeRetryDelay = time.Second
)

// controller executes the reducer's effects on rules and handles the calls of the control protocol. It implements
// ControlExecutor and currantloom.ControlHandler.
type controller struct {
	node   *Node
	client loompeer.ControlClient
	server loompeer.ControlServer

	mu       sync.Mutex
	current  currantloom.RulesDocument
	previous currantloom.RulesDocument
	// refusedRevision is the newest revision that this version could not parse. It is not pulled again, because peers
	// would then send its text once a second.
	refusedRevision currantloom.RulesRevision
	cancelWatch     context.CancelFunc
}

func newController(n *Node) *controller {
	c := &controller{node: n}
	c.server.Handler = c
	return c
}

func (c *controller) serve(listener net.Listener) error { return c.server.Serve(listener) }

func (c *controller) close() {
	c.WatchStore(false)
	_ = c.server.Close()
	_ = c.client.Close()
}

// recordInEffect records the rules in effect, and keeps the previous ones as the base of updates.
func (c *controller) recordInEffect(document currantloom.RulesDocument) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if document.Revision() > c.current.Revision() {
		c.previous, c.current = c.current, document
	}
}

// updateFrom returns the update for a peer that has, or is expected to have, the revision: the changed lines if it is
// the previous one, else the whole text.
func (c *controller) updateFrom(revision currantloom.RulesRevision) currantloom.RulesUpdate {
	if revision != c.previous.Revision() {
		return currantloom.NewRulesUpdate(currantloom.RulesDocument{}, c.current)
	}
	return currantloom.NewRulesUpdate(c.previous, c.current)
}

// SendRules sends the rules in effect to VMs as the lines that changed, because most receivers have the previous
// revision. A receiver that does not have it pulls the whole text.
func (c *controller) SendRules(e loomcore.PushRules) {
	c.recordInEffect(e.Document)
	c.mu.Lock()
	update := c.updateFrom(c.previous.Revision())
	c.mu.Unlock()
	for _, name := range e.VMs {
		address, ok := c.controlAddress(name)
		if !ok {
			continue
		}
		c.node.spawn(func() {
			ctx, cancel := context.WithTimeout(c.node.runCtx, rulesPushTimeout)
			defer cancel()
			if err := c.client.PushRules(ctx, address, c.node.config.Reducer.Self, update); err != nil {
				c.node.log.Debug("rules push failed", "vm", name, "revision", update.Revision, "error", err)
			}
		})
	}
}

// controlAddress returns the control address of a VM. The node's lock must be held.
func (c *controller) controlAddress(name currantloom.VMName) (string, bool) {
	vm, ok := c.node.state.VM(name)
	return vm.ControlAddress(), ok && vm.ControlAddress() != ""
}

// RequestRules asks a VM for newer rules.
func (c *controller) RequestRules(e loomcore.PullRules) {
	address, ok := c.controlAddress(e.VM)
	if !ok {
		return
	}
	c.node.spawn(func() { c.pullRules(e.VM, address, e.Revision) })
}

func (c *controller) pullRules(vm currantloom.VMName, address string, revision currantloom.RulesRevision) {
	n := c.node
	ctx, cancel := context.WithTimeout(n.runCtx, rulesPullTimeout)
	defer cancel()
	c.mu.Lock()
	knownRevision := max(revision, c.refusedRevision)
	c.mu.Unlock()
	newestRevision, update, err := c.client.PullRules(ctx, address, n.config.Reducer.Self, knownRevision)
	if err != nil {
		if n.runCtx.Err() == nil {
			n.submit(loomcore.ControlFailed{Stamp: n.stamp(), VM: vm})
		}
		return
	}
	if update != nil && !c.applyUpdate(vm, *update) {
		// The base of the update is no longer in effect. The whole text needs no base.
		if _, update, err = c.client.PullRules(ctx, address, n.config.Reducer.Self, 0); err == nil && update != nil {
			c.applyUpdate(vm, *update)
		}
	}
	c.mu.Lock()
	inEffect := c.current.Revision()
	c.mu.Unlock()
	if newestRevision > inEffect {
		// The newer rules were refused or not received. Reporting their revision would make the reducer pull again at once.
		newestRevision = 0
	}
	n.submit(loomcore.PeerAnswered{Stamp: n.stamp(), VM: vm, Revision: newestRevision})
}

// applyUpdate puts an update into effect. It reports false if the update needs another base.
func (c *controller) applyUpdate(from currantloom.VMName, update currantloom.RulesUpdate) bool {
	c.mu.Lock()
	base := c.current
	c.mu.Unlock()
	if update.Revision <= base.Revision() {
		return true
	}
	document, ok := update.Apply(base)
	if ok {
		c.applyDocument(from, document)
	}
	return ok
}

// applyDocument passes rules to the reducer. Rules that this version cannot parse are refused with a log line, and the
// ones in effect stay in effect.
func (c *controller) applyDocument(from currantloom.VMName, document currantloom.RulesDocument) {
	rules, err := loomrules.Parse(document.Text())
	if err != nil {
		c.node.log.Error("rules refused", "revision", document.Revision(), "vm", from, "error", err)
		c.mu.Lock()
		c.refusedRevision = max(c.refusedRevision, document.Revision())
		c.mu.Unlock()
		return
	}
	n := c.node
	n.submit(loomcore.RulesReceived{Stamp: n.stamp(), Document: document, Rules: rules, From: from})
	n.mu.Lock()
	inEffect := n.state.Rules()
	n.mu.Unlock()
	c.recordInEffect(inEffect)
}

// WatchStore starts or stops watching the rules in the store.
func (c *controller) WatchStore(enabled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelWatch != nil {
		c.cancelWatch()
		c.cancelWatch = nil
	}
	if !enabled || c.node.config.RulesStore == nil || c.node.runCtx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.node.runCtx)
	c.cancelWatch = cancel
	c.node.spawn(func() { c.watchStore(ctx) })
}

func (c *controller) watchStore(ctx context.Context) {
	var index uint64
	unavailable := false
	for ctx.Err() == nil {
		document, newIndex, err := c.node.config.RulesStore.Rules(ctx, index)
		if err != nil {
			if !unavailable && ctx.Err() == nil {
				c.node.log.Warn("store unavailable", "error", err)
			}
			unavailable = true
			loomtask.Sleep(ctx, storeRetryDelay)
			continue
		}
		if unavailable {
			c.node.log.Info("store available")
			unavailable = false
		}
		if newIndex != index && document.Revision() > 0 {
			c.warnIfOlder(document)
			c.applyDocument("", document)
		}
		if newIndex == 0 {
			// A store without rules answers at once.
			loomtask.Sleep(ctx, storeRetryDelay)
		}
		index = newIndex
	}
}

// warnIfOlder logs a warning if the store holds older rules than the ones in effect, because it was restored from a
// backup.
func (c *controller) warnIfOlder(document currantloom.RulesDocument) {
	c.mu.Lock()
	inEffect := c.current.Revision()
	c.mu.Unlock()
	if document.Revision() < inEffect {
		c.node.log.Warn("store holds older rules", "revision", document.Revision(), "in_effect", inEffect)
	}
}

// PushRules receives rules that a peer has in effect. If the peer's rules are older, or the update does not apply to
// the ones in effect here, the reducer gets the peer's revision and pushes or pulls the rules. A newer revision that
// was refused before is ignored.
func (c *controller) PushRules(from currantloom.VMName, update currantloom.RulesUpdate) {
	c.mu.Lock()
	current := c.current.Revision()
	refused := c.refusedRevision
	c.mu.Unlock()
	if update.Revision == current || update.Revision > current && update.Revision <= refused ||
		update.Revision > current && c.applyUpdate(from, update) {
		return
	}
	c.node.submit(loomcore.PeerAnswered{Stamp: c.node.stamp(), VM: from, Revision: update.Revision})
}

// PullRules returns the revision in effect and, if the peer's is older, the update to it. If the peer's is newer, the
// reducer pulls from it. An operator's command has no VM name and sends the highest revision, to learn the one in
// effect.
func (c *controller) PullRules(
	from currantloom.VMName, revision currantloom.RulesRevision,
) (currantloom.RulesRevision, *currantloom.RulesUpdate) {
	c.mu.Lock()
	current := c.current.Revision()
	update := c.updateFrom(revision)
	c.mu.Unlock()
	if revision > current && from != "" {
		c.node.submit(loomcore.PeerAnswered{Stamp: c.node.stamp(), VM: from, Revision: revision})
	}
	if revision >= current {
		return current, nil
	}
	return current, &update
}

// Status returns the status of the node.
func (c *controller) Status() currantloom.NodeStatus {
	n := c.node
	n.mu.Lock()
	status := n.state.Status()
	n.mu.Unlock()
	status.Version = n.config.Version
	status.Uptime = time.Since(n.start)
	return status
}

// CancelRequest cancels an attempt that runs at this node.
func (c *controller) CancelRequest(key currantloom.RequestKey) { c.node.CancelAttempt(key) }

// CancelSession cancels the running request of a session of this node.
func (c *controller) CancelSession(pid uint32, secret []byte) { c.node.CancelSession(pid, secret) }

// forwardCancel forwards a CancelRequest to the nodes whose process ids have the prefix of this one.
func (c *controller) forwardCancel(pid uint32, secret []byte) {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, vm := range n.state.Status().VMs {
		if vm.Name == n.config.Reducer.Self || vm.ControlAddress == "" || loomentry.PIDPrefix(vm.Name) != pid&0xffff0000 {
			continue
		}
		n.spawn(func() {
			ctx, cancel := context.WithTimeout(n.runCtx, rulesPullTimeout)
			defer cancel()
			_ = c.client.CancelSession(ctx, vm.ControlAddress, pid, secret)
		})
	}
}
