package loomwatch

import "time"

const (
	// directWait, watcherWait and shortWait are how long a call to the store waits for changes: on a node of a small
	// fleet, on a watcher, and on a follower or after a failed call. A call that was sent while the store did not respond
	// may never get a response, so a long wait delays the next call.
	directWait  = 2 * time.Second
	watcherWait = time.Second
	shortWait   = 300 * time.Millisecond
	// CallTimeout is how long after its wait a call without data is given up.
	CallTimeout = 1500 * time.Millisecond
	// batchDelay is the time between an answer with changes and the next call of a watcher, whose answer then holds all
	// changes of that time.
	batchDelay = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call, which doubles with each failure. The actual
	// wait is 0.5 to 1.5 times the delay, at random.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = time.Second
	// requestInterval is the time between two requests to another node for its proof.
	requestInterval = 750 * time.Millisecond
	// maxPushedAge is the age of the newest proof of another node at which a follower calls the store itself. Without
	// faults a proof is younger: two calls of a watcher, the delay between them, and requestInterval.
	maxPushedAge = 2800 * time.Millisecond
	// stageDelay is the time by which the followers of one stage call the store after those of the stage before. Those
	// that get an answer feed the others, so that not all of them load the links to the store with the same changes.
	stageDelay = 450 * time.Millisecond
	// missingTime is how long a follower waits for changes that it lacks and has requested from another node.
	missingTime = 500 * time.Millisecond
	// answerTime is the longest time within which a store that works is expected to answer a call with changes.
	answerTime = 250 * time.Millisecond
)

// stageEnds are the ranks at which the stages end, in the order of the nodes of a failure domain. The ranks after the
// last one are a stage of their own.
var stageEnds = [...]int{4, 18}

// stageDelayOf returns by how much later than the first follower one with the given rank calls the store.
func stageDelayOf(rank int) time.Duration {
	var d time.Duration
	for _, end := range stageEnds {
		if rank >= end {
			d += stageDelay
		}
	}
	return d
}

// WorstAge returns the longest time for which a node that the store answers misses a change, whatever happens to the
// other nodes, and even if one of the node's own calls gets no answer. It does not include the time to transfer the
// change.
func WorstAge(r Role) time.Duration {
	retry := minRetryDelay * 3 / 2
	if r == Follower {
		return maxPushedAge + time.Duration(len(stageEnds))*stageDelay + shortWait + CallTimeout + retry + answerTime
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
