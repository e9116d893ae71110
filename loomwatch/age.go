package loomwatch

import "time"

const (
	// directWait, watcherWait and shortWait are how long a call to the store waits for changes: on a node of a small
	// fleet, on a watcher, and on a follower or after a failed call. A call that was sent while the store did not respond
	// may never get a response, so a long wait delays the next call.
	directWait  = 2 * time.Second
	watcherWait = time.Second
	shortWait   = 300 * time.Millisecond
	// CallTimeout is how long after its wait a call is given up.
	CallTimeout = 1500 * time.Millisecond
	// batchDelay is the time between an answer with changes and the next call of a watcher, whose answer then holds all
	// changes of that time.
	batchDelay = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call, which doubles with each failure. The actual
	// wait is 0.5 to 1.5 times the delay, at random.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = time.Second
	// requestInterval is the time between two requests to a watcher for its proof.
	requestInterval = time.Second
	// maxPushedAge is the age of a proof from a watcher at which a follower calls the store itself, maxOwnAge that of a
	// proof by its own call. Without faults a proof from a watcher is younger: two calls of the watcher, the delay
	// between them, and requestInterval.
	maxPushedAge = 3700 * time.Millisecond
	maxOwnAge    = 2 * time.Second
	// answerTime is the longest time within which a store that works is expected to answer a call with changes.
	answerTime = 250 * time.Millisecond
)

// WorstAge returns the longest time for which a node that the store answers misses a change, whatever happens to the
// other nodes, and even if one of the node's own calls gets no answer. It does not include the time to transfer the
// change.
func WorstAge(r Role) time.Duration {
	retry := minRetryDelay * 3 / 2
	if r == Follower {
		return maxPushedAge + shortWait + CallTimeout + retry + answerTime
	}
	return waitOf(r) + CallTimeout + retry + answerTime
}

// waitOf returns how long a call waits for changes if the last one succeeded.
func waitOf(r Role) time.Duration {
	switch r {
	case Watcher:
		return watcherWait
	case Follower:
		return shortWait
	default:
		return directWait
	}
}
