package loomnode

import (
	"context"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
	"currantloom.example/currantloom/loomserver"
)

// controlCallTimeout bounds a control call to an upstream. It is less than the poll interval, so that two failed polls
// take about a second.
const controlCallTimeout = 400 * time.Millisecond

// purgeTimeout bounds one purge of old request ids. It is less than the shortest interval between two purges.
const purgeTimeout = 30 * time.Minute

// ControlExecutor executes the reducer's effects on rules. Its methods are called with the node's lock held and must
// not block.
type ControlExecutor interface {
	// SendRules sends the rules in effect to VMs.
	SendRules(e loomcore.PushRules)
	// RequestRules asks a VM for rules newer than a revision.
	RequestRules(e loomcore.PullRules)
	// WatchStore starts or stops watching the rules in the store.
	WatchStore(on bool)
}

// submit passes an event to the reducer and executes the effects. I/O is done by other goroutines, so submit does not
// block on it.
func (n *Node) submit(e loomcore.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.metrics.observeEvent(e)
	now := time.Since(n.start)
	for _, effect := range n.state.Reduce(e) {
		n.metrics.observeEffect(effect, n.state, now)
		n.executeEffect(effect)
	}
}

func (n *Node) executeEffect(e loomcore.Effect) {
	switch e := e.(type) {
	case loomcore.Decision:
		n.decisions.Enqueue(logLine(e))
	case loomcore.SetReady:
		n.ready.Store(e.Ready)
	case loomcore.DrainSessions:
		n.spawn(n.entryServer.CloseSessions)
	case loomcore.ShutdownFinished:
		n.shutdownFinishedOnce.Do(func() { close(n.shutdownFinished) })
	case loomcore.Forward:
		n.deliverToRequest(e.Header.Key.Request(), e)
	case loomcore.Respond:
		n.deliverToRequest(e.Key, e)
	case loomcore.CancelForward:
		n.cancelForward(e.Key)
	case loomcore.PushRules, loomcore.PullRules, loomcore.WatchRules:
		n.executeControlEffect(e)
	default:
		n.executeOwnerEffect(e)
	}
}

// executeControlEffect executes the effects on rules.
func (n *Node) executeControlEffect(e loomcore.Effect) {
	c := n.config.Control
	if c == nil {
		return
	}
	switch e := e.(type) {
	case loomcore.PushRules:
		c.SendRules(e)
	case loomcore.PullRules:
		c.RequestRules(e)
	case loomcore.WatchRules:
		c.WatchStore(e.Enabled)
	}
}

// executeOwnerEffect executes the effects at the owner of an upstream and those on database groups.
func (n *Node) executeOwnerEffect(e loomcore.Effect) {
	switch e := e.(type) {
	case loomcore.Run:
		n.deliverToAttempt(e.Key, e)
	case loomcore.Acknowledge:
		n.deliverToAttempt(e.Key, e)
	case loomcore.Reject:
		n.deliverToAttempt(e.Key, e)
	case loomcore.Complete:
		n.deliverToAttempt(e.Key, e)
	case loomcore.CancelRun:
		if attempt, ok := n.attempts[e.Key]; ok {
			n.spawn(attempt.cancel)
		}
	case loomcore.CloseConnection:
		if link, ok := n.pinnedLinks[e.Transaction]; ok {
			n.spawn(func() { link.closeConnection(e) })
		}
	case loomcore.ConfirmPosition:
		n.callUpstream(e.Upstream, func(ctx context.Context, client currantloom.PostgresClient) loomcore.Event {
			status, err := client.Status(ctx)
			return loomcore.ConfirmPositionAnswered{
				Stamp: n.stamp(), Key: e.Key, Upstream: e.Upstream, Status: status, Failed: err != nil,
			}
		})
	case loomcore.PollStatus:
		n.pollStatus(e.Upstream)
	case loomcore.RaiseTerm:
		n.callUpstream(e.Upstream, func(ctx context.Context, client currantloom.PostgresClient) loomcore.Event {
			grant, err := client.RaiseTerm(ctx, e.Term, n.config.Reducer.Self)
			return loomcore.RaiseTermAnswered{
				Stamp: n.stamp(), Upstream: e.Upstream, Term: e.Term, Grant: grant, Failed: err != nil,
			}
		})
	case loomcore.Promote:
		n.callUpstream(e.Upstream, func(ctx context.Context, client currantloom.PostgresClient) loomcore.Event {
			err := client.Promote(ctx, e.Term)
			return loomcore.PromoteAnswered{Stamp: n.stamp(), Upstream: e.Upstream, Term: e.Term, Failed: err != nil}
		})
	case loomcore.Follow:
		n.follow(e)
	case loomcore.PurgeRequestIDs:
		n.purgeRequestIDs(e)
	}
}

// purgeRequestIDs executes PurgeRequestIDs. No event reports the result: ids that remain are removed by the next purge.
func (n *Node) purgeRequestIDs(e loomcore.PurgeRequestIDs) {
	client, ok := n.pools[e.Upstream]
	if !ok {
		return
	}
	n.spawn(func() {
		ctx, cancel := context.WithTimeout(n.runCtx, purgeTimeout)
		defer cancel()
		removed, err := client.PurgeRequestIDs(ctx, e.OlderThan)
		if err != nil && n.runCtx.Err() == nil {
			n.log.Warn("request ids not removed", "server", e.Upstream, "removed", removed, "error", err)
			return
		}
		n.log.Info("request ids removed", "server", e.Upstream, "removed", removed)
	})
}

// callUpstream makes a control call to an upstream in a goroutine and submits the event that reports its result, if
// any.
func (n *Node) callUpstream(
	upstream currantloom.UpstreamName, makeCall func(context.Context, currantloom.PostgresClient) loomcore.Event,
) {
	client, ok := n.pools[upstream]
	if !ok {
		return
	}
	n.spawn(func() {
		ctx, cancel := context.WithTimeout(n.runCtx, controlCallTimeout)
		defer cancel()
		if e := makeCall(ctx, client); e != nil {
			n.submit(e)
		}
	})
}

// follow executes Follow. No event reports the result: the next polls show whether the upstream follows the primary.
func (n *Node) follow(e loomcore.Follow) {
	primary, ok := n.upstreams[e.Primary]
	if !ok {
		return
	}
	n.callUpstream(e.Upstream, func(ctx context.Context, client currantloom.PostgresClient) loomcore.Event {
		if err := client.Follow(ctx, e.Term, primary); err != nil {
			n.log.Warn("follow", "server", e.Upstream, "term", e.Term, "primary", e.Primary, "error", err)
		}
		return nil
	})
}

func (n *Node) pollStatus(upstream currantloom.UpstreamName) {
	n.callUpstream(upstream, func(ctx context.Context, client currantloom.PostgresClient) loomcore.Event {
		sentAt := time.Since(n.start)
		status, err := client.Status(ctx)
		if err != nil {
			return loomcore.StatusFailed{
				Stamp: n.stamp(), Upstream: upstream, SentAt: sentAt, ConnectionRefused: loomserver.IsConnectionRefused(err),
			}
		}
		return loomcore.StatusReceived{Stamp: n.stamp(), Upstream: upstream, SentAt: sentAt, Status: status}
	})
}

// spawn runs a task in a goroutine that Run waits for.
func (n *Node) spawn(task func()) { n.tasks.Go(task) }
