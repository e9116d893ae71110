package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

// idleTransactionTimeout bounds the time for which a transaction holds its connection without a statement.
const idleTransactionTimeout = 10 * time.Second

// transactions holds the open transactions. Each holds one connection to its upstream.
type transactions struct {
	open    map[currantloom.RequestKey]*transaction
	ordered []*transaction
}

// transaction is one open interactive transaction. Its key is that of the request that began it.
type transaction struct {
	key          currantloom.RequestKey
	organisation currantloom.OrganisationName
	queue        *queue
	status       currantloom.TransactionStatus
	// current is the statement that waits or runs; nil if there is none. idleSince is when the last statement ended.
	current   *attempt
	idleSince time.Duration
	// closing says that the connection is being closed, because the transaction was idle for too long.
	closing bool
}

func (t *transactions) isOpen(key currantloom.RequestKey) bool {
	tx, ok := t.open[key]
	return ok && !tx.closing
}

func (t *transactions) statusOf(key currantloom.RequestKey) currantloom.TransactionStatus {
	return t.open[key].status
}

// openTransaction records a transaction that an attempt left open. The transaction keeps the connection.
func (s *State) openTransaction(q *queue, a *attempt, status currantloom.TransactionStatus) {
	t := &s.owner.transactions
	if t.open == nil {
		t.open = make(map[currantloom.RequestKey]*transaction)
	}
	tx := &transaction{
		key: a.header.Key, organisation: a.header.Organisation, queue: q, status: status, idleSince: s.now,
	}
	t.open[tx.key] = tx
	t.ordered = append(t.ordered, tx)
	q.openTransactions++
}

// continueTransaction queues a statement of an open transaction. It rejects the statement if the transaction has ended,
// since the statement would run outside of it.
func (s *State) continueTransaction(q *queue, a *attempt) {
	tx, ok := s.owner.transactions.open[a.transaction]
	if !ok || tx.closing || tx.current != nil {
		a.inTransaction = false
		s.reject(a, currantloom.SQLStateIdleInTransaction, "the transaction has ended", 0)
		return
	}
	tx.current = a
	s.enqueue(q, a)
}

// transactionStatementEnded records that a statement of the transaction has ended. The status is 0 if it did not run.
func (s *State) transactionStatementEnded(key currantloom.RequestKey, status currantloom.TransactionStatus) {
	if tx, ok := s.owner.transactions.open[key]; ok {
		if status != 0 {
			tx.status = status
		}
		tx.current = nil
		tx.idleSince = s.now
	}
}

// transactionEnded releases the connection that the transaction held, and rejects its waiting statement.
func (s *State) transactionEnded(e TransactionEnded) {
	t := &s.owner.transactions
	tx, ok := t.open[e.Transaction]
	if !ok {
		return
	}
	delete(t.open, e.Transaction)
	for i, other := range t.ordered {
		if other == tx {
			t.ordered = append(t.ordered[:i], t.ordered[i+1:]...)
			break
		}
	}
	if a := tx.current; a != nil && a.state == attemptQueued {
		s.reject(a, currantloom.SQLStateIdleInTransaction, "the transaction has ended", 0)
	}
	tx.queue.openTransactions--
	tx.queue.releaseConnection(tx.organisation)
	s.admit(tx.queue.group, tx.queue)
}

// tickTransactions closes the connections of transactions that were idle for too long.
func (s *State) tickTransactions() {
	for _, tx := range s.owner.transactions.ordered {
		if tx.current != nil || tx.closing || s.now-tx.idleSince < idleTransactionTimeout {
			continue
		}
		tx.closing = true
		s.emit(Decision{
			Event: "close_transaction", Key: tx.key, Organisation: tx.organisation, Upstream: tx.queue.upstream, VM: s.self,
			Reason: "idle in transaction",
		})
		s.emit(CloseConnection{
			Transaction: tx.key, SQLState: currantloom.SQLStateIdleInTransaction, Reason: "idle in transaction for 10 s",
		})
	}
}
