package loomhost

import (
	"context"
	"errors"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
	"currantloom.example/currantloom/loomlog"
)

// executeEffect executes an effect. The node's lock is held.
func (n *Node) executeEffect(e loomfleet.Effect) {
	switch e := e.(type) {
	case loomfleet.ReplyToSession:
		if s, ok := n.sessions[e.Session]; ok {
			s.deliverReply(e.Reply)
		}
	case loomfleet.CloseSession:
		if s, ok := n.sessions[e.Session]; ok {
			s.closeAfterReply(e.Reply)
		}
	case loomfleet.OpenConn:
		n.openConn(e)
	case loomfleet.SendCommands:
		if c, ok := n.conns[e.Conn]; ok {
			c.enqueue(e.Commands)
		}
	case loomfleet.CloseConn:
		if c, ok := n.conns[e.Conn]; ok {
			delete(n.conns, e.Conn)
			c.close()
		}
	case loomfleet.Send:
		n.mesh.Send(e.VM, e.Message)
	case loomfleet.Respond:
		n.mesh.Respond(uint64(e.Link), e.Message)
	case loomfleet.ResetLink:
		n.mesh.Reset(e.VM)
	case loomfleet.SetReady:
		n.ready.Store(e.Ready)
	case loomfleet.ShutdownFinished:
		close(n.shutdownFinished)
	case loomfleet.Decision:
		n.metrics.countDecision(e)
		n.log.Enqueue(logLine(e))
	default:
		n.executePlatformEffect(e)
	}
}

// executePlatformEffect executes the effects that call the platform, each in its own goroutine.
func (n *Node) executePlatformEffect(e loomfleet.Effect) {
	switch e := e.(type) {
	case loomfleet.StoreCommit:
		n.callStore(e.Call, func(ctx context.Context, a *loomfleet.StoreAnswered) (err error) {
			a.Position, err = n.config.Store.Commit(ctx, n.storeCache.registrationTxn(e.Txn))
			return err
		})
	case loomfleet.StoreGrantLease:
		n.callStore(e.Call, func(ctx context.Context, a *loomfleet.StoreAnswered) (err error) {
			a.Lease, err = n.config.Store.Grant(ctx, e.Era, e.TTL)
			return err
		})
	case loomfleet.StoreRenewLease:
		n.callStore(e.Call, func(ctx context.Context, _ *loomfleet.StoreAnswered) error {
			return n.config.Store.Renew(ctx, e.Lease)
		})
	case loomfleet.ProbeStore:
		n.tasks.Go(n.probeStore)
	case loomfleet.FetchConfiguration:
		n.tasks.Go(func() { n.storeCache.fetchConfiguration(e.VM) })
	case loomfleet.Promote:
		n.tasks.Go(func() {
			result := n.config.Promoter.Promote(n.runCtx, e.Service, e.Upstream, n.config.Reducer.Self, e.Fence)
			n.submit(loomfleet.PromoteAnswered{
				Stamp: n.stamp(), Service: e.Service, PromotionID: e.PromotionID, Result: result,
			})
		})
	}
}

// callStore calls the store in a new goroutine and reports the outcome to the reducer. The call adds its results to the
// answer.
func (n *Node) callStore(id loomfleet.CallID, call func(context.Context, *loomfleet.StoreAnswered) error) {
	n.tasks.Go(func() {
		answer := loomfleet.StoreAnswered{Call: id}
		err := call(n.runCtx, &answer)
		if err != nil {
			n.log.Enqueue(loomlog.Line{Event: "store_call", Warn: true, Fields: []any{"call", uint64(id), "reason", err}})
		}
		if currantloom.IsStoreEra(err) {
			n.reportUnknownEra(err)
		}
		answer.Stamp, answer.Result = n.stamp(), storeResult(err)
		answer.Era, _ = currantloom.RestoredEraOf(err)
		n.submit(answer)
	})
}

// probeStore asks the store for the failover lease, and reports the store as unavailable if it does not answer.
func (n *Node) probeStore() {
	_, _, err := n.config.Store.Range(n.runCtx, failoverLeaseKey)
	if err != nil && n.runCtx.Err() == nil {
		n.submit(loomfleet.StoreWatchFailed{Stamp: n.stamp(), Reason: err.Error()})
	}
}

// reportUnknownEra logs and counts an answer or a push whose era is unknown or has passed, and which is therefore not
// used.
func (n *Node) reportUnknownEra(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.executeEffect(loomfleet.Decision{Event: "store_era", Reason: err.Error(), Outcome: "ignored", Routine: true})
}

func storeResult(err error) loomfleet.StoreResult {
	_, restored := currantloom.RestoredEraOf(err)
	switch {
	case err == nil:
		return loomfleet.StoreSucceeded
	case restored:
		return loomfleet.StoreRestored
	case currantloom.IsConflict(err):
		return loomfleet.StoreConflict
	case currantloom.IsInput(err):
		return loomfleet.StoreLeaseExpired
	case currantloom.IsStoreEra(err), errors.Is(err, context.DeadlineExceeded):
		return loomfleet.StoreUnknown
	default:
		return loomfleet.StoreUnavailable
	}
}

// logLine returns the log line of a decision. Empty fields are left out.
func logLine(d loomfleet.Decision) loomlog.Line {
	fields := make([]any, 0, 32)
	add := func(name string, empty bool, value any) {
		if !empty {
			fields = append(fields, name, value)
		}
	}
	add("request", d.Request == "", d.Request)
	add("session", d.Session == 0, uint64(d.Session))
	add("organisation", d.Organisation == "", string(d.Organisation))
	add("service", d.Service == "", string(d.Service))
	add("upstream", d.Upstream == "", string(d.Upstream))
	add("vm", d.VM == "", string(d.VM))
	add("mark", d.Position.IsZero(), d.Position.String())
	add("mark_age", d.PositionAge == 0, d.PositionAge.Round(10*time.Microsecond))
	add("version", d.Version == 0, d.Version)
	add("age", d.Age == 0, d.Age.Round(10*time.Microsecond))
	add("attempt", d.Attempt == 0, d.Attempt)
	add("count", d.Count == 0, d.Count)
	add("prepared", d.Prepared == "", d.Prepared)
	add("tokens", d.Event != "limit", d.Tokens)
	add("reason", d.Reason == "", d.Reason)
	add("outcome", d.Outcome == "", d.Outcome)
	return loomlog.Line{Event: d.Event, Fields: fields, Routine: d.Routine}
}
