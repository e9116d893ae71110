package loomquota

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// maxWait is how long an operation may wait for a token, and how long a limiter delays a grant.
	maxWait = 300 * time.Millisecond
	// tokenLife is how long a token may be held, counted from the request that it answers.
	tokenLife = 2 * time.Second
	// memberTime is how long after a request an entry's share of the capacity belongs to a limiter.
	memberTime = 2 * time.Second
	// poolDelay is how long an entry that turns to another limiter keeps back its share of the capacity: memberTime and
	// one sweep of the limiter that it asked before.
	poolDelay = memberTime + sweepInterval + 250*time.Millisecond
	// The reserve is a part of the capacity that only entries use which have just turned to another limiter, or to none:
	// the rate of reserveSpan or, for small limits, reservePart of what the window allows beyond the limit, but at most
	// maxReservePart of it.
	reserveSpan    = 500 * time.Millisecond
	reservePart    = 0.4
	maxReservePart = 0.75
	// reserveInterval is the shortest time between two uses of an entry's part of the reserve: a window and the time for
	// which the tokens may be outstanding.
	reserveInterval = 10 * time.Second
	// runDelay bounds the time from the use of a token to the start of the operation: the longest wait for an upstream.
	runDelay = 4 * time.Second
)

// Defaults of a QuotaWindow.
const (
	DefaultWindow  = 5 * time.Second
	DefaultOverage = 0.1
	DefaultSlack   = 20
)

// wholeShare is the sum of all shares: they are counted in millionths.
const wholeShare = 1_000_000

// budget is what the window allows for a limit: in any window, rate x window + capacity + reserve operations.
type budget struct{ rate, burst, capacity, reserve float64 }

func newBudget(l currantloom.RateLimit, w currantloom.QuotaWindow) budget {
	if w.Length <= 0 {
		w.Length = DefaultWindow
	}
	excess := w.Overage*(l.PerSecond*w.Length.Seconds()+l.Burst) + w.Slack
	reserve := min(max(reserveSpan.Seconds()*l.PerSecond, excess*reservePart), excess*maxReservePart)
	return budget{rate: l.PerSecond, burst: l.Burst, capacity: l.Burst + excess - reserve, reserve: reserve}
}

// rateOf returns the part of the rate that belongs to a share.
func (b budget) rateOf(share uint32) float64 { return b.rate * float64(share) / wholeShare }

// capacityOf returns the part of the capacity that belongs to a share.
func (b budget) capacityOf(share uint32) float64 { return b.capacity * float64(share) / wholeShare }

// reserveOf returns the part of the reserve that belongs to a share.
func (b budget) reserveOf(share uint32) float64 { return b.reserve * float64(share) / wholeShare }
