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
			s.closeAfterReply()
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
	case loomfleet.StopAccepting:
		n.tasks.Go(func() { _ = n.config.Sessions.Close() })
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
		n.callStore(e.Call, func(ctx context.Context) (uint64, error) {
			return n.config.Store.Commit(ctx, n.storeCache.registrationTxn(e.Txn))
		})
	case loomfleet.StoreGrantLease:
		n.callStore(e.Call, func(ctx context.Context) (uint64, error) { return n.config.Store.Grant(ctx, e.TTL) })
	case loomfleet.StoreRenewLease:
		n.callStore(e.Call, func(ctx context.Context) (uint64, error) {
			return e.Lease, n.config.Store.Renew(ctx, e.Lease)
		})
	case loomfleet.StoreRevokeLease:
		n.tasks.Go(func() {
			// A lease that is not revoked expires by itself.
			if err := n.config.Store.Revoke(n.runCtx, e.Lease); err != nil {
				n.log.Enqueue(loomlog.Line{Event: "lease", Fields: []any{"lease", e.Lease, "outcome", "left", "reason", err}})
			}
		})
	case loomfleet.Promote:
		n.tasks.Go(func() {
			result := n.config.Promoter.Promote(n.runCtx, e.Service, e.Upstream, n.config.Reducer.Self, e.Fence)
			n.submit(loomfleet.PromoteAnswered{
				Stamp: n.stamp(), Service: e.Service, PromotionID: e.PromotionID, Result: result,
			})
		})
	}
}

// callStore calls the store in a new goroutine and reports the outcome to the reducer.
func (n *Node) callStore(id loomfleet.CallID, call func(context.Context) (uint64, error)) {
	n.tasks.Go(func() {
		value, err := call(n.runCtx)
		if err != nil {
			n.log.Enqueue(loomlog.Line{Event: "store_call", Warn: true, Fields: []any{"call", uint64(id), "reason", err}})
		}
		n.submit(loomfleet.StoreAnswered{Stamp: n.stamp(), Call: id, Result: storeResult(err), Value: value})
	})
}

func storeResult(err error) loomfleet.StoreResult {
	switch {
	case err == nil:
		return loomfleet.StoreSucceeded
	case currantloom.IsConflict(err):
		return loomfleet.StoreConflict
	case currantloom.IsInput(err):
		return loomfleet.StoreLeaseExpired
	case errors.Is(err, context.DeadlineExceeded):
		return loomfleet.StoreUnknown
	default:
		return loomfleet.StoreUnavailable
	}
}

// logLine returns the log line of a decision. Empty fields are left out.
func logLine(d loomfleet.Decision) loomlog.Line {
	fields := make([]any, 0, 24)
	add := func(name string, empty bool, value any) {
		if !empty {
			fields = append(fields, name, value)
		}
	}
	add("request", d.Request == "", d.Request)
	add("session", d.Session == 0, uint64(d.Session))
	add("service", d.Service == "", string(d.Service))
	add("upstream", d.Upstream == "", string(d.Upstream))
	add("vm", d.VM == "", string(d.VM))
	add("mark", d.Position.IsZero(), d.Position.String())
	add("mark_age", d.PositionAge == 0, d.PositionAge.Round(10*time.Microsecond))
	add("version", d.Version == 0, d.Version)
	add("age", d.Age == 0, d.Age.Round(10*time.Microsecond))
	add("attempt", d.Attempt == 0, d.Attempt)
	add("count", d.Count == 0, d.Count)
	add("reason", d.Reason == "", d.Reason)
	add("outcome", d.Outcome == "", d.Outcome)
	return loomlog.Line{Event: d.Event, Fields: fields, Routine: d.Routine}
}
