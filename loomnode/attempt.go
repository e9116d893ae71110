package loomnode

import (
	"context"
	"sync"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
	"currantloom.example/currantloom/loomserver"
)

const (
	// cancelTimeout bounds a cancel at a server.
	cancelTimeout = time.Second
	// cancelGracePeriod is the time that cancelled work has to end before its connection is closed.
	cancelGracePeriod = 2 * time.Second
)

// localAttempt is the runtime side of a work in the core of its carrier.
type localAttempt struct {
	*mailbox

	// mu is held during a cancel, so that the work ends only after the server has processed it.
	mu        sync.Mutex
	conn      currantloom.PostgresConn
	cancelled bool
	finished  bool
	// abort ends the wait for a connection and the run itself.
	abort context.CancelFunc
	// abortTimer ends work that does not end after its cancel.
	abortTimer *time.Timer
	// rejected is the trailer of a withheld completion that must not pass; only the goroutine of the work uses it.
	rejected *currantloom.ResponseTrailer
}

// cancel executes CancelAttempt.
func (attempt *localAttempt) cancel() {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	if attempt.finished {
		return
	}
	attempt.cancelled = true
	if attempt.conn == nil {
		attempt.abort()
		return
	}
	// A server that does not answer does not process the cancel either.
	if attempt.abortTimer == nil {
		attempt.abortTimer = time.AfterFunc(cancelGracePeriod, attempt.abort)
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = attempt.conn.Cancel(ctx)
}

// expire gives the work up because its context or its time has ended. Its connection is closed only if the cancel at
// the server does not end it.
func (attempt *localAttempt) expire(n *Node, key currantloom.RequestKey) {
	attempt.mu.Lock()
	if attempt.abortTimer == nil && !attempt.finished {
		attempt.abortTimer = time.AfterFunc(cancelGracePeriod, attempt.abort)
	}
	attempt.mu.Unlock()
	n.CancelAttempt(key)
}

// setConn notes the connection that the work runs on. It reports false if the work was cancelled before.
func (attempt *localAttempt) setConn(conn currantloom.PostgresConn) bool {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	attempt.conn = conn
	return !attempt.cancelled
}

// finish waits for a cancel in progress and keeps later ones from hitting the connection.
func (attempt *localAttempt) finish() {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	attempt.finished = true
	if attempt.abortTimer != nil {
		attempt.abortTimer.Stop()
	}
}

// localLink runs requests at servers that this node carries. It holds the server connection of an open transaction.
type localLink struct {
	node        *Node
	conn        currantloom.PostgresConn
	upstream    currantloom.UpstreamName
	transaction currantloom.RequestKey

	mu   sync.Mutex
	busy bool
	// closedBy says why the core closed the connection of the transaction.
	closedBy *loomcore.CloseConnection
}

// Cancel gives up the request if it is known to the core of this node.
func (l *localLink) Cancel(key currantloom.RequestKey) { l.node.CancelAttempt(key) }

// CancelAttempt gives up a request that this node carries.
func (n *Node) CancelAttempt(key currantloom.RequestKey) {
	n.submit(loomcore.AttemptCancelled{Stamp: n.stamp(), Key: key})
}

// Run runs one request. Once the context ends the work is cancelled, as on CancelAttempt.
func (l *localLink) Run(
	ctx context.Context, header currantloom.RequestHeader, body []byte, out currantloom.ResponseWriter,
) currantloom.ResponseTrailer {
	if trailer, ok := l.begin(); !ok {
		return trailer
	}
	defer l.end()
	return l.runRequest(ctx, header, body, out)
}

// begin marks the link as busy. It returns false and a trailer if the core has closed the transaction's connection.
func (l *localLink) begin() (currantloom.ResponseTrailer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if closedBy := l.closedBy; closedBy != nil {
		l.closedBy = nil
		return currantloom.ResponseTrailer{Verdict: currantloom.NotRun, SQLState: closedBy.SQLState, Reason: closedBy.Reason}, false
	}
	l.busy = true
	return currantloom.ResponseTrailer{}, true
}

func (l *localLink) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy = false
	if l.closedBy != nil {
		l.release()
	}
}

// closeConnection executes the effect of the same name. A request that is about to run ends first; the core rejects it.
func (l *localLink) closeConnection(e loomcore.CloseConnection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.transaction != e.Transaction {
		return
	}
	l.closedBy = &e
	if !l.busy {
		l.release()
	}
}

func (l *localLink) runRequest(
	ctx context.Context, header currantloom.RequestHeader, body []byte, out currantloom.ResponseWriter,
) currantloom.ResponseTrailer {
	n := l.node
	if l.conn != nil {
		header.Upstream = l.upstream
	}
	runCtx, abort := context.WithCancel(context.Background())
	defer abort()
	attempt := &localAttempt{mailbox: newMailbox(), abort: abort}
	defer attempt.finish()
	n.mu.Lock()
	n.attempts[header.Key] = attempt
	n.mu.Unlock()
	defer n.removeAttempt(header.Key)
	n.submit(loomcore.AttemptArrived{
		Stamp: n.stamp(), Header: header, InTransaction: l.conn != nil, Transaction: l.transaction,
	})
	stopExpiry := context.AfterFunc(ctx, func() { attempt.expire(n, header.Key) })
	defer stopExpiry()
	for {
		switch e := attempt.take().(type) {
		case loomcore.Reject:
			return e.Trailer
		case loomcore.Run:
			deadlineTimer := time.AfterFunc(e.Timeout, func() { attempt.expire(n, header.Key) })
			defer deadlineTimer.Stop()
			return l.runAdmitted(runCtx, attempt, e, header, body, out)
		}
	}
}

// runAdmitted runs admitted work on the transaction's connection or one of the pool.
func (l *localLink) runAdmitted(
	ctx context.Context, attempt *localAttempt, e loomcore.Run, header currantloom.RequestHeader, body []byte,
	out currantloom.ResponseWriter,
) currantloom.ResponseTrailer {
	n := l.node
	result := l.runOnUpstream(ctx, attempt, e, header, body, out)
	attempt.finish()
	n.submit(loomcore.RunFinished{Stamp: n.stamp(), Key: header.Key, Result: result})
	if result.TransactionStatus != currantloom.TransactionOpen &&
		result.TransactionStatus != currantloom.TransactionFailed {
		l.mu.Lock()
		l.release()
		l.mu.Unlock()
	}
	if attempt.rejected != nil {
		trailer := *attempt.rejected
		trailer.ResponseStarted, trailer.TransactionStatus = result.ResponseStarted, result.TransactionStatus
		return trailer
	}
	for {
		switch e := attempt.take().(type) {
		case loomcore.Complete:
			return e.Trailer
		case loomcore.Reject:
			return e.Trailer
		}
	}
}

func (l *localLink) runOnUpstream(
	ctx context.Context, attempt *localAttempt, e loomcore.Run, header currantloom.RequestHeader, body []byte,
	out currantloom.ResponseWriter,
) currantloom.PostgresResult {
	attempt.mu.Lock()
	cancelled := attempt.cancelled
	attempt.mu.Unlock()
	var err error
	if !cancelled {
		err = l.acquire(ctx, e, header)
	}
	if cancelled || err == nil && !attempt.setConn(l.conn) {
		err = currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateQueryCanceled, 0,
			"cancelled before it was sent to a server")
	}
	if err != nil {
		return currantloom.PostgresResult{
			Verdict: currantloom.VerdictOf(err), Code: currantloom.SQLStateOf(err), Err: err,
			ConnectionRefused: loomserver.IsConnectionRefused(err),
		}
	}
	return l.conn.Run(ctx, currantloom.PostgresRequest{
		Body: body, ReadOnly: e.ReadOnly, ConfirmTerm: e.ConfirmTerm, WithholdCompletion: e.WithholdCompletion,
		Organisation: header.Organisation, RequestID: header.RequestID, StallTimeout: e.StallTimeout,
		Accept: func(r currantloom.PostgresResult) error { return l.node.confirmCompletion(attempt, header.Key, r) },
	}, out)
}

func (l *localLink) acquire(ctx context.Context, e loomcore.Run, header currantloom.RequestHeader) error {
	if l.conn != nil {
		return nil
	}
	conn, err := l.node.pools[e.Upstream].Acquire(ctx)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.upstream, l.transaction = conn, e.Upstream, header.Key
	l.node.mu.Lock()
	l.node.pinnedLinks[header.Key] = l
	l.node.mu.Unlock()
	return nil
}

// confirmCompletion asks the core whether a withheld completion may pass.
func (n *Node) confirmCompletion(attempt *localAttempt, key currantloom.RequestKey, result currantloom.PostgresResult) error {
	n.submit(loomcore.RunAnswered{Stamp: n.stamp(), Key: key, Result: result})
	for {
		switch e := attempt.take().(type) {
		case loomcore.Acknowledge:
			return nil
		case loomcore.Reject:
			attempt.rejected = &e.Trailer
			return currantloom.NewRequestError(
				e.Trailer.Verdict, e.Trailer.SQLState, e.Trailer.RetryAfter, "%s", e.Trailer.Reason)
		}
	}
}

// Release ends the use of the link; an open transaction is rolled back by closing its connection.
func (l *localLink) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closedBy = nil
	l.release()
}

// release returns the connection. The link's lock is held. Only the goroutine of the link calls it, or closeConnection
// while the link is idle.
func (l *localLink) release() {
	if l.conn == nil {
		return
	}
	l.conn.Release()
	l.conn = nil
	l.node.mu.Lock()
	delete(l.node.pinnedLinks, l.transaction)
	l.node.mu.Unlock()
	l.node.submit(loomcore.TransactionEnded{Stamp: l.node.stamp(), Transaction: l.transaction})
}

func (n *Node) removeAttempt(key currantloom.RequestKey) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.attempts, key)
}

func (n *Node) deliverToAttempt(key currantloom.RequestKey, e loomcore.Effect) {
	if attempt, ok := n.attempts[key]; ok {
		attempt.put(e)
	}
}
