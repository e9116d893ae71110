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
	// rulesPullTimeout is the interval between pulls, so that at most one is under way.
	rulesPullTimeout = time.Second
	// rulesPushTimeout lets a whole file of 1 MB through the link between regions, which takes 0.3 s without other traffic.
	rulesPushTimeout = 3 * time.Second
	// storeRetryDelay separates calls to a store that does not answer.
	storeRetryDelay = time.Second
)

// controller executes the effects of the control plane and answers the control protocol.
type controller struct {
	node   *Node
	client loompeer.ControlClient
	server loompeer.ControlServer

	mu       sync.Mutex
	current  currantloom.RulesDocument
	previous currantloom.RulesDocument
	// refusedRevision is the newest revision that this version could not parse. It is not asked for again, because its text
	// would be sent once a second.
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

// recordInEffect records the rules in effect, and the ones before as the base of updates.
func (c *controller) recordInEffect(document currantloom.RulesDocument) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if document.Revision() > c.current.Revision() {
		c.previous, c.current = c.current, document
	}
}

// updateFrom returns the update for a peer whose revision is known, or expected, to be the given one.
func (c *controller) updateFrom(revision currantloom.RulesRevision) currantloom.RulesUpdate {
	if revision != c.previous.Revision() {
		return currantloom.NewRulesUpdate(currantloom.RulesDocument{}, c.current)
	}
	return currantloom.NewRulesUpdate(c.previous, c.current)
}

// SendRules sends the rules in effect to VMs, as changed lines: most receivers have the revision before, and one that
// does not asks for the text.
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
			ctx, cancel := context.WithTimeout(c.node.background, rulesPushTimeout)
			defer cancel()
			if err := c.client.PushRules(ctx, address, c.node.config.Core.Self, update); err != nil {
				c.node.log.Debug("rules push failed", "vm", name, "revision", update.Revision, "error", err)
			}
		})
	}
}

// controlAddress returns the control address of a VM. It is called under the node's lock.
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
	ctx, cancel := context.WithTimeout(n.background, rulesPullTimeout)
	defer cancel()
	c.mu.Lock()
	knownRevision := max(revision, c.refusedRevision)
	c.mu.Unlock()
	newestRevision, update, err := c.client.PullRules(ctx, address, n.config.Core.Self, knownRevision)
	if err != nil {
		if n.background.Err() == nil {
			n.submit(loomcore.ControlFailed{Stamp: n.stamp(), VM: vm})
		}
		return
	}
	if update != nil && !c.applyUpdate(vm, *update) {
		// The base changed in between; the whole text needs none.
		if _, update, err = c.client.PullRules(ctx, address, n.config.Core.Self, 0); err == nil && update != nil {
			c.applyUpdate(vm, *update)
		}
	}
	c.mu.Lock()
	inEffect := c.current.Revision()
	c.mu.Unlock()
	if newestRevision > inEffect {
		// The newer rules were refused or lost; reporting their revision would make the core ask again at once.
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

// applyDocument gives rules to the core. Rules that this version cannot parse are refused with a log line: the ones in effect
// stay.
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

// WatchStore starts or stops the watch on the store.
func (c *controller) WatchStore(enabled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelWatch != nil {
		c.cancelWatch()
		c.cancelWatch = nil
	}
	if !enabled || c.node.config.RulesStore == nil || c.node.background.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.node.background)
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
			// An empty store answers at once.
			loomtask.Sleep(ctx, storeRetryDelay)
		}
		index = newIndex
	}
}

// warnIfOlder reports a store that holds older rules than the ones in effect: it was restored from a backup.
func (c *controller) warnIfOlder(document currantloom.RulesDocument) {
	c.mu.Lock()
	inEffect := c.current.Revision()
	c.mu.Unlock()
	if document.Revision() < inEffect {
		c.node.log.Warn("store holds older rules", "revision", document.Revision(), "in_effect", inEffect)
	}
}

// PushRules takes rules that a peer has in effect. If they cannot be applied, the core asks the peer for the text.
func (c *controller) PushRules(from currantloom.VMName, update currantloom.RulesUpdate) {
	c.mu.Lock()
	current := c.current.Revision()
	refused := c.refusedRevision
	c.mu.Unlock()
	if update.Revision == current || update.Revision > current && update.Revision <= refused || update.Revision > current && c.applyUpdate(from, update) {
		return
	}
	c.node.submit(loomcore.PeerAnswered{Stamp: c.node.stamp(), VM: from, Revision: update.Revision})
}

// PullRules answers a peer that asks for newer rules. A peer that has newer ones is asked in turn;
// an operator's command, which has no VM, asks with the highest revision to learn the one in effect.
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

// Status returns the node's report.
func (c *controller) Status() currantloom.NodeStatus {
	n := c.node
	n.mu.Lock()
	status := n.state.Status()
	n.mu.Unlock()
	status.Version = n.config.Version
	status.Uptime = time.Since(n.start)
	return status
}

// CancelRequest gives up work at this carrier.
func (c *controller) CancelRequest(key currantloom.RequestKey) { c.node.CancelAttempt(key) }

// CancelSession gives up what a session of this node runs.
func (c *controller) CancelSession(pid uint32, secret []byte) { c.node.CancelSession(pid, secret) }

// forwardCancel passes a cancel request on to the nodes whose process ids have the prefix.
func (c *controller) forwardCancel(pid uint32, secret []byte) {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, vm := range n.state.Status().VMs {
		if vm.Name == n.config.Core.Self || vm.ControlAddress == "" || loomentry.PIDPrefix(vm.Name) != pid&0xffff0000 {
			continue
		}
		n.spawn(func() {
			ctx, cancel := context.WithTimeout(n.background, rulesPullTimeout)
			defer cancel()
			_ = c.client.CancelSession(ctx, vm.ControlAddress, pid, secret)
		})
	}
}
