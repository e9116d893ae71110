package loomquota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// demandTime is the time constant of the average demand, from which the shares follow.
	demandTime = 10 * time.Second
	// advanceTime is the time for which tokens are requested in advance.
	advanceTime = tokenLife
	// maxRefusedTime bounds the time for which an entry refuses operations without a new request.
	maxRefusedTime = 200 * time.Millisecond
	// scarceTime is how long after a refusal tokens are taken for scarce.
	scarceTime = 2 * time.Second
	// ownCapacity is the part of the capacity that entries use that go on alone. It is less than the whole because their
	// tokens become whole at random times, and more of them than on average may be whole at once.
	ownCapacity = 0.7
)

// wallet is what an entry node has of an organisation.
type wallet struct {
	name   currantloom.OrganisationName
	budget budget
	shard  *shard
	// held are the unused tokens, those that expire first in front.
	held []batch
	// inFlight is the number of operations that have a token and may not have run. debt is the number of attempts that
	// were made without one.
	inFlight, debt int
	// inherited is the number of tokens and operations in flight that are left from the limiter before the current one, at
	// most: those that end count as inherited first.
	inherited int
	waiting   []waiter
	// demand is the average number of operations per second, as of demandAt.
	demand   float64
	demandAt time.Duration
	// share is the node's share of the rate, held since sharedAt.
	share    uint32
	sharedAt time.Duration
	// level is the number of tokens of the own share, as of levelAt, while the node goes on alone. ownUsedAt is when it
	// last did. wholeAt is when the level reached a token that the capacity does not cover for long.
	alone     bool
	level     float64
	levelAt   time.Duration
	ownUsedAt time.Duration
	wholeAt   time.Duration
	// reservedAt is when the node's part of the reserve was last used.
	reservedAt time.Duration
	// asked says that the current limiter has been told of this wallet, at statedAt; statedWaiting and statedShare are
	// what it was told.
	asked         bool
	statedAt      time.Duration
	statedWaiting int
	statedShare   uint32
	// refusedUntil is until when operations are refused without a request, scarceUntil until when urgent ones go first.
	refusedUntil, scarceUntil time.Duration
}

// batch is a number of tokens that were granted together.
type batch struct {
	count     int
	grantedAt time.Duration
}

// waiter is an operation that waits for a token.
type waiter struct {
	operation Operation
	urgent    bool
	since     time.Duration
}

func (w *wallet) isUsed() bool {
	return w.share > 0 || len(w.waiting) > 0 || w.debt > 0 || w.heldCount() > 0 || w.inFlight > 0
}

func (w *wallet) heldCount() int {
	n := 0
	for _, b := range w.held {
		n += b.count
	}
	return n
}

// setBudget applies a new limit, and drops the tokens beyond the node's share of it.
func (w *wallet) setBudget(b budget) {
	lowered := b.capacity < w.budget.capacity || b.rate < w.budget.rate
	w.budget = b
	if !lowered {
		return
	}
	w.level = min(w.level, b.capacityOf(w.share))
	excess := w.heldCount() - int(b.capacityOf(w.share))
	for excess > 0 && len(w.held) > 0 {
		dropped := min(excess, w.held[0].count)
		w.held[0].count -= dropped
		excess -= dropped
		if w.held[0].count == 0 {
			w.held = w.held[1:]
		}
	}
}

// recordArrival counts an operation in the average demand.
func (w *wallet) recordArrival(now time.Duration) {
	w.demand = w.demandNow(now) + 1/demandTime.Seconds()
	w.demandAt = now
}

// demandNow returns the average demand in operations per second.
func (w *wallet) demandNow(now time.Duration) float64 {
	return w.demand * math.Exp(-(now-w.demandAt).Seconds()/demandTime.Seconds())
}

// takeHeld takes the token that expires first.
func (w *wallet) takeHeld(now time.Duration) (age time.Duration, ok bool) {
	w.expire(now)
	if len(w.held) == 0 {
		return 0, false
	}
	b := &w.held[0]
	age = now - b.grantedAt
	if b.count--; b.count == 0 {
		w.held = w.held[1:]
	}
	w.inFlight++
	return age, true
}

// takeOwn takes a token of the node's own share.
func (w *wallet) takeOwn() bool {
	if w.level < 1 {
		return false
	}
	w.level--
	w.inFlight++
	return true
}

// putBack returns a token. It expires as if it had just been granted, because its age is no longer known and the
// operation that had it may have waited for long.
func (w *wallet) putBack(now time.Duration) { w.add(now, 1) }

// add adds granted tokens, of which those pay first that attempts have used before.
func (w *wallet) add(grantedAt time.Duration, count int) {
	paid := min(w.debt, count)
	w.debt -= paid
	if count -= paid; count > 0 {
		w.held = append(w.held, batch{count: count, grantedAt: grantedAt})
		slices.SortStableFunc(w.held, func(a, b batch) int { return cmp.Compare(a.grantedAt, b.grantedAt) })
	}
}

// expire drops the tokens that were held for too long.
func (w *wallet) expire(now time.Duration) {
	w.held = slices.DeleteFunc(w.held, func(b batch) bool {
		expired := now-b.grantedAt >= tokenLife
		if expired {
			w.ended(b.count)
		}
		return expired
	})
}

// ended records that tokens have expired or were given back, or that operations have ended.
func (w *wallet) ended(count int) { w.inherited = max(0, w.inherited-count) }

// giveBack drops the tokens that are older than half of their life, and returns their number.
func (w *wallet) giveBack(now time.Duration) int {
	returned := 0
	for len(w.held) > 0 && now-w.held[0].grantedAt >= tokenLife/2 {
		returned += w.held[0].count
		w.held = w.held[1:]
	}
	w.ended(returned)
	return returned
}

// wanted is the number of tokens that the node would like to hold.
func (w *wallet) wanted(now time.Duration) int {
	return int(w.demandNow(now)*advanceTime.Seconds() + 0.5)
}
