package loomfleet

import (
	"slices"

	"currantloom.example/currantloom"
)

// queue holds the work that waits at a pool. Statements of open transactions come first, because they hold a
// connection, then the work with the lower priority number, then what came first.
type queue struct{ waiting []*work }

func (q *queue) len() int { return len(q.waiting) }

// all returns the waiting work; the queue may change while the caller walks through it.
func (q *queue) all() []*work { return slices.Clone(q.waiting) }

// add puts work behind the work of its rank.
func (q *queue) add(w *work) {
	at := len(q.waiting)
	for at > 0 && rank(w) < rank(q.waiting[at-1]) {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, w)
}

// rank orders work; the lowest starts first.
func rank(w *work) int {
	switch {
	case w.call.Mode >= currantloom.CallProbe:
		return -2
	case w.conn != nil:
		return -1
	default:
		return w.call.Priority
	}
}

// next takes the first work out of the queue that can start.
func (q *queue) next(canStart func(*work) bool) *work {
	for i, w := range q.waiting {
		if canStart(w) {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			return w
		}
	}
	return nil
}

func (q *queue) remove(w *work) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *work) bool { return other == w })
}

// unpinned counts the work that needs a connection.
func (q *queue) unpinned() int {
	count := 0
	for _, w := range q.waiting {
		if w.conn == nil {
			count++
		}
	}
	return count
}
