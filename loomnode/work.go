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
	// cancelLimit bounds a cancel at a server.
	cancelLimit = time.Second
	// cancelGrace is the time that cancelled work has to end before its connection is closed.
	cancelGrace = 2 * time.Second
)

// localWork is the runtime side of a work in the core of its carrier.
type localWork struct {
	*mailbox

	// mu is held during a cancel, so that the work ends only after the server has processed it.
	mu        sync.Mutex
	conn      currantloom.PostgresConn
	cancelled bool
	finished  bool
	// giveUp ends the wait for a connection and the run itself.
	giveUp context.CancelFunc
	// grace ends work that does not end after its cancel.
	grace *time.Timer
	// rejected is the trailer of a withheld completion that must not pass; only the goroutine of the work uses it.
	rejected *currantloom.ResponseTrailer
}

// cancel executes CancelAttempt.
func (w *localWork) cancel() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.finished {
		return
	}
	w.cancelled = true
	if w.conn == nil {
		w.giveUp()
		return
	}
	// A server that does not answer does not process the cancel either.
	if w.grace == nil {
		w.grace = time.AfterFunc(cancelGrace, w.giveUp)
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelLimit)
	defer cancel()
	_ = w.conn.Cancel(ctx)
}

// expire gives the work up because its context or its time has ended. Its connection is closed only if the cancel at
// the server does not end it.
func (w *localWork) expire(n *Node, key currantloom.RequestKey) {
	w.mu.Lock()
	if w.grace == nil && !w.finished {
		w.grace = time.AfterFunc(cancelGrace, w.giveUp)
	}
	w.mu.Unlock()
	n.CancelAttempt(key)
}

// start notes the connection that the work runs on. It reports false if the work was cancelled before.
func (w *localWork) start(conn currantloom.PostgresConn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = conn
	return !w.cancelled
}

// finish waits for a cancel in progress and keeps later ones from hitting the connection.
func (w *localWork) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finished = true
	if w.grace != nil {
		w.grace.Stop()
	}
}

// localLink runs requests at servers that this node carries. It holds the server connection of an open transaction.
type localLink struct {
	node        *Node
	conn        currantloom.PostgresConn
	server      currantloom.UpstreamName
	transaction currantloom.RequestKey

	mu   sync.Mutex
	busy bool
	// closed says why the core closed the connection of the transaction.
	closed *loomcore.CloseConnection
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
	if t, ok := l.begin(); !ok {
		return t
	}
	defer l.end()
	return l.run(ctx, header, body, out)
}

// begin marks the link as busy. It returns false and a trailer if the core has closed the transaction's connection.
func (l *localLink) begin() (currantloom.ResponseTrailer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.closed; c != nil {
		l.closed = nil
		return currantloom.ResponseTrailer{Verdict: currantloom.NotRun, SQLState: c.SQLState, Reason: c.Reason}, false
	}
	l.busy = true
	return currantloom.ResponseTrailer{}, true
}

func (l *localLink) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy = false
	if l.closed != nil {
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
	l.closed = &e
	if !l.busy {
		l.release()
	}
}

func (l *localLink) run(
	ctx context.Context, header currantloom.RequestHeader, body []byte, out currantloom.ResponseWriter,
) currantloom.ResponseTrailer {
	n := l.node
	if l.conn != nil {
		header.Upstream = l.server
	}
	hard, giveUp := context.WithCancel(context.Background())
	defer giveUp()
	w := &localWork{mailbox: newMailbox(), giveUp: giveUp}
	defer w.finish()
	n.mu.Lock()
	n.works[header.Key] = w
	n.mu.Unlock()
	defer n.forgetWork(header.Key)
	n.submit(loomcore.AttemptArrived{
		Stamp: n.stamp(), Header: header, InTransaction: l.conn != nil, Transaction: l.transaction,
	})
	stop := context.AfterFunc(ctx, func() { w.expire(n, header.Key) })
	defer stop()
	for {
		switch e := w.take().(type) {
		case loomcore.Reject:
			return e.Trailer
		case loomcore.Run:
			limit := time.AfterFunc(e.Timeout, func() { w.expire(n, header.Key) })
			defer limit.Stop()
			return l.runWork(hard, w, e, header, body, out)
		}
	}
}

// runWork runs admitted work on the transaction's connection or one of the pool.
func (l *localLink) runWork(
	ctx context.Context, w *localWork, e loomcore.Run, header currantloom.RequestHeader, body []byte,
	out currantloom.ResponseWriter,
) currantloom.ResponseTrailer {
	n := l.node
	result := l.runOnServer(ctx, w, e, header, body, out)
	w.finish()
	n.submit(loomcore.RunFinished{Stamp: n.stamp(), Key: header.Key, Result: result})
	if result.TransactionStatus != currantloom.TransactionOpen &&
		result.TransactionStatus != currantloom.TransactionFailed {
		l.mu.Lock()
		l.release()
		l.mu.Unlock()
	}
	if w.rejected != nil {
		t := *w.rejected
		t.ResponseStarted, t.TransactionStatus = result.ResponseStarted, result.TransactionStatus
		return t
	}
	for {
		switch e := w.take().(type) {
		case loomcore.Complete:
			return e.Trailer
		case loomcore.Reject:
			return e.Trailer
		}
	}
}

func (l *localLink) runOnServer(
	ctx context.Context, w *localWork, e loomcore.Run, header currantloom.RequestHeader, body []byte,
	out currantloom.ResponseWriter,
) currantloom.PostgresResult {
	w.mu.Lock()
	cancelled := w.cancelled
	w.mu.Unlock()
	var err error
	if !cancelled {
		err = l.acquire(ctx, e, header)
	}
	if cancelled || err == nil && !w.start(l.conn) {
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
		Accept: func(r currantloom.PostgresResult) error { return l.node.accept(w, header.Key, r) },
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
	l.conn, l.server, l.transaction = conn, e.Upstream, header.Key
	l.node.mu.Lock()
	l.node.pinned[header.Key] = l
	l.node.mu.Unlock()
	return nil
}

// accept asks the core whether a withheld completion may pass.
func (n *Node) accept(w *localWork, key currantloom.RequestKey, r currantloom.PostgresResult) error {
	n.submit(loomcore.RunAnswered{Stamp: n.stamp(), Key: key, Result: r})
	for {
		switch e := w.take().(type) {
		case loomcore.Acknowledge:
			return nil
		case loomcore.Reject:
			w.rejected = &e.Trailer
			return currantloom.NewRequestError(
				e.Trailer.Verdict, e.Trailer.SQLState, e.Trailer.RetryAfter, "%s", e.Trailer.Reason)
		}
	}
}

// Release ends the use of the link; an open transaction is rolled back by closing its connection.
func (l *localLink) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = nil
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
	delete(l.node.pinned, l.transaction)
	l.node.mu.Unlock()
	l.node.submit(loomcore.TransactionEnded{Stamp: l.node.stamp(), Transaction: l.transaction})
}

func (n *Node) forgetWork(key currantloom.RequestKey) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.works, key)
}

func (n *Node) deliverWork(key currantloom.RequestKey, e loomcore.Effect) {
	if w, ok := n.works[key]; ok {
		w.put(e)
	}
}
