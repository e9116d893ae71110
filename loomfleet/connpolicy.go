package loomfleet

import (
	"maps"
	"math"
	"time"

	"currantloom.example/currantloom"
)

// lookaheadShare is the part of its latency budget for which a job without a connection lets others go first. Half of
// the budget leaves time to open the connection and to run. Without it, 1.1 to 1.5 times as much slot time is
// lost to opening connections.
const lookaheadShare = 0.5

// connPolicy decides which connections of organisations to open and to close. docs/design/connections.md compares it
// with others.
type connPolicy struct {
	// lookahead is the part of its latency budget for which a job without a connection lets others go first.
	lookahead float64
	// worth ranks connections for eviction before their idle time does; nil ranks by idle time alone.
	worth func(organisation currantloom.OrganisationName, held int, now time.Duration) float64
}

// idleConn is a connection that may be closed.
type idleConn struct {
	organisation currantloom.OrganisationName
	idleSince    time.Duration
}

// victim returns the index of the connection to close, or -1 if there is none: the one that was unused for longest.
// held is the number of connections of each organisation, idle or not.
func (c connPolicy) victim(idle []idleConn, held connCounts, now time.Duration) int {
	best, lowest := -1, 0.0
	for i, cn := range idle {
		worth := 0.0
		if c.worth != nil {
			worth = c.worth(cn.organisation, held[cn.organisation], now)
		}
		if best < 0 || worth < lowest || worth == lowest && cn.idleSince < idle[best].idleSince {
			best, lowest = i, worth
		}
	}
	return best
}

// connCounts holds numbers of connections by organisation.
type connCounts map[currantloom.OrganisationName]int

// connWaiter is a queued job that needs a connection of its organisation.
type connWaiter struct {
	organisation currantloom.OrganisationName
	// rank orders jobs by urgency; the lowest is the most urgent.
	rank int
	// waited is the time in the queue, patience how long the job lets others go first.
	waited, patience time.Duration
}

// neededConn is a connection to open.
type neededConn struct {
	organisation currantloom.OrganisationName
	// spare holds the connections that may be closed for it: those that no job needs which has precedence.
	spare connCounts
}

// neededConns returns the connections to open, at most limit, for the waiting jobs in their order. available holds the
// connections that are idle or being opened. No organisation gets more than usable connections outside transactions,
// because it could not use them at once; unpinned holds those that it has.
//
// Opening a connection occupies a slot that a job with a connection could use. A job therefore lets jobs with a
// connection go first that are at least as urgent, until its patience is exhausted; jobs of its organisation that
// arrive in the meantime share the connection. A job never waits for a less urgent one.
func neededConns(waiting []connWaiter, available, unpinned connCounts, usable, limit int) []neededConn {
	var result []neededConn
	left := maps.Clone(available)
	served := math.MaxInt // rank of the most urgent job that has a connection
	for i, w := range waiting {
		if left[w.organisation]--; left[w.organisation] >= 0 {
			served = min(served, w.rank)
			continue
		}
		left[w.organisation] = 0
		deferred := served <= w.rank && w.waited < w.patience
		if deferred || unpinned[w.organisation] >= usable || len(result) >= limit {
			continue
		}
		unpinned[w.organisation]++
		result = append(result, neededConn{organisation: w.organisation, spare: spareConns(waiting, i, available)})
	}
	return result
}

// spareConns returns the available connections that are not needed by jobs with precedence over the job at the index:
// those before it and, while it has patience, all others that are as urgent.
func spareConns(waiting []connWaiter, index int, available connCounts) connCounts {
	spare := maps.Clone(available)
	w := waiting[index]
	for i, other := range waiting {
		if i < index || other.rank <= w.rank && w.waited < w.patience {
			spare[other.organisation]--
		}
	}
	return spare
}
