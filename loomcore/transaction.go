package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

// idleInTransaction bounds the time a transaction holds its connection without a statement.
const idleInTransaction = 10 * time.Second

// transactions holds the open transactions; each pins one connection of its server.
type transactions struct {
	open    map[currantloom.RequestKey]*transaction
	ordered []*transaction
}

// transaction is one interactive transaction. Its key is that of the request that began it.
type transaction struct {
	key    currantloom.RequestKey
	caller currantloom.OrganisationName
	queue  *queue
	status currantloom.TransactionStatus
	// current is the statement that waits or runs; idleSince counts from the end of the last one.
	current   *work
	idleSince time.Duration
	// closing says that the connection is to be closed, because the transaction was idle for too long.
	closing bool
}

func (t *transactions) holds(key currantloom.RequestKey) bool {
	x, ok := t.open[key]
	return ok && !x.closing
}

func (t *transactions) statusOf(key currantloom.RequestKey) currantloom.TransactionStatus {
	return t.open[key].status
}

// openTransaction keeps the connection of work that left a transaction open.
func (s *State) openTransaction(q *queue, w *work, status currantloom.TransactionStatus) {
	t := &s.carrier.transactions
	if t.open == nil {
		t.open = make(map[currantloom.RequestKey]*transaction)
	}
	x := &transaction{
		key: w.header.Key, caller: w.header.Organisation, queue: q, status: status, idleSince: s.now,
	}
	t.open[x.key] = x
	t.ordered = append(t.ordered, x)
	q.pinned++
}

// continueTransaction queues a statement of an open transaction. Without the transaction it must not run, since it
// would run outside of it.
func (s *State) continueTransaction(q *queue, w *work) {
	x, ok := s.carrier.transactions.open[w.transaction]
	if !ok || x.closing || x.current != nil {
		w.pinned = false
		s.reject(w, currantloom.SQLStateIdleInTransaction, "the transaction has ended", 0)
		return
	}
	x.current = w
	s.enqueue(q, w)
}

// transactionIdle notes that a statement of the transaction has ended. The status is 0 if it did not run.
func (s *State) transactionIdle(key currantloom.RequestKey, status currantloom.TransactionStatus) {
	if x, ok := s.carrier.transactions.open[key]; ok {
		if status != 0 {
			x.status = status
		}
		x.current = nil
		x.idleSince = s.now
	}
}

// transactionEnded releases the connection that the transaction held.
func (s *State) transactionEnded(e TransactionEnded) {
	t := &s.carrier.transactions
	x, ok := t.open[e.Transaction]
	if !ok {
		return
	}
	delete(t.open, e.Transaction)
	for i, other := range t.ordered {
		if other == x {
			t.ordered = append(t.ordered[:i], t.ordered[i+1:]...)
			break
		}
	}
	if w := x.current; w != nil && w.state == workWaiting {
		s.reject(w, currantloom.SQLStateIdleInTransaction, "the transaction has ended", 0)
	}
	x.queue.pinned--
	x.queue.releaseConnection(x.caller)
	s.admit(x.queue.group, x.queue)
}

// tickTransactions closes the connections of transactions that were idle for too long.
func (s *State) tickTransactions() {
	for _, x := range s.carrier.transactions.ordered {
		if x.current != nil || x.closing || s.now-x.idleSince < idleInTransaction {
			continue
		}
		x.closing = true
		s.emit(Decision{
			Event: "close_transaction", Key: x.key, Organisation: x.caller, Upstream: x.queue.server, VM: s.self,
			Reason: "idle in transaction",
		})
		s.emit(CloseConnection{
			Transaction: x.key, SQLState: currantloom.SQLStateIdleInTransaction, Reason: "idle in transaction for 10 s",
		})
	}
}
