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
	// cancelTimeout bounds a cancel request to an upstream.
	cancelTimeout = time.Second
	// cancelGracePeriod is the time that a cancelled run has to end before it is aborted and its connection closed.
	cancelGracePeriod = 2 * time.Second
)

// localAttempt is an attempt at an upstream that this node owns: it receives the effects that the reducer returns for
// the attempt, and runs it.
type localAttempt struct {
	*mailbox

	// mu is held during a cancel request, so that the attempt ends only after the upstream has processed the request.
	mu        sync.Mutex
	conn      currantloom.PostgresConn
	cancelled bool
	finished  bool
	// abort cancels the context of the run and of the wait for a connection.
	abort context.CancelFunc
	// abortTimer aborts a run that does not end after it was cancelled.
	abortTimer *time.Timer
	// rejected is the trailer for a withheld completion that must not be forwarded. Only the attempt's goroutine uses it.
	rejected *currantloom.ResponseTrailer
}

// cancel executes CancelRun.
func (a *localAttempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished {
		return
	}
	a.cancelled = true
	if a.conn == nil {
		a.abort()
		return
	}
	// An upstream that does not respond does not process the cancel request either.
	if a.abortTimer == nil {
		a.abortTimer = time.AfterFunc(cancelGracePeriod, a.abort)
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = a.conn.Cancel(ctx)
}

// expire cancels the attempt because its context or its time has ended. The connection is closed only if the cancel
// request does not end the run.
func (a *localAttempt) expire(n *Node, key currantloom.RequestKey) {
	a.mu.Lock()
	if a.abortTimer == nil && !a.finished {
		a.abortTimer = time.AfterFunc(cancelGracePeriod, a.abort)
	}
	a.mu.Unlock()
	n.CancelAttempt(key)
}

// setConn records the connection of the run. It reports false if the attempt is already cancelled.
func (a *localAttempt) setConn(conn currantloom.PostgresConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	return !a.cancelled
}

// finish waits for a cancel request in progress and prevents later ones, which could hit the next user of the
// connection.
func (a *localAttempt) finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finished = true
	if a.abortTimer != nil {
		a.abortTimer.Stop()
	}
}

// localLink runs requests at upstreams that this node owns. It holds the connection of an open transaction.
type localLink struct {
	node        *Node
	conn        currantloom.PostgresConn
	upstream    currantloom.UpstreamName
	transaction currantloom.RequestKey

	mu   sync.Mutex
	busy bool
	// closedBy is the effect that closed the transaction's connection; nil if none did.
	closedBy *loomcore.CloseConnection
}

// Cancel cancels the attempt.
func (l *localLink) Cancel(key currantloom.RequestKey) { l.node.CancelAttempt(key) }

// CancelAttempt cancels an attempt at an upstream that this node owns.
func (n *Node) CancelAttempt(key currantloom.RequestKey) {
	n.submit(loomcore.AttemptCancelled{Stamp: n.stamp(), Key: key})
}

// Run runs one request. If the context ends, the attempt is cancelled as by CancelAttempt, and the run is aborted if it
// does not end within cancelGracePeriod.
func (l *localLink) Run(
	ctx context.Context, header currantloom.RequestHeader, body []byte, out currantloom.ResponseWriter,
) currantloom.ResponseTrailer {
	if trailer, ok := l.begin(); !ok {
		return trailer
	}
	defer l.end()
	return l.runRequest(ctx, header, body, out)
}

// begin marks the link as busy. It returns false and a trailer if the reducer has closed the transaction's connection.
func (l *localLink) begin() (currantloom.ResponseTrailer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if closedBy := l.closedBy; closedBy != nil {
		l.closedBy = nil
		return currantloom.ResponseTrailer{
			Verdict: currantloom.NotRun, SQLState: closedBy.SQLState, Reason: closedBy.Reason,
		}, false
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

// closeConnection executes CloseConnection. If a request of the transaction is about to run, the connection is released
// after the reducer has rejected the request.
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
	attemptCtx, abort := context.WithCancel(context.Background())
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
			return l.runAdmitted(attemptCtx, attempt, e, header, body, out)
		}
	}
}

// runAdmitted runs an admitted attempt and returns its trailer.
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

// confirmCompletion asks the reducer whether a withheld completion may be forwarded. A nil error means yes.
func (n *Node) confirmCompletion(
	attempt *localAttempt, key currantloom.RequestKey, result currantloom.PostgresResult,
) error {
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

// Release ends the use of the link. The pool closes the connection of an open transaction, which rolls it back.
func (l *localLink) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closedBy = nil
	l.release()
}

// release returns the connection to its pool. The link's lock must be held. It is called by the link's goroutine, or by
// closeConnection while the link is idle.
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
