package loomquota

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// vmsPerShard is the number of VMs for which the organisations are divided into one more shard.
const vmsPerShard = 100

// Shards returns the number of shards into which the organisations are divided; each has a limiter of its own.
func Shards(registered int) int { return 1 + registered/vmsPerShard }

// ShardOf returns the shard of an organisation.
func ShardOf(name currantloom.OrganisationName, shards int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(max(1, shards)))
}

// Operation identifies an operation that waits for a token. It is chosen by the caller of Take.
type Operation uint64

// Outcome is the decision on an operation.
type Outcome uint8

// Decisions on operations.
const (
	// Waiting means that the decision will follow.
	Waiting Outcome = iota
	// Granted means that the operation has a token of a limiter.
	Granted
	// GrantedAlone means that the operation has a token of the node's own share.
	GrantedAlone
	// Refused means that the operation gets no token.
	Refused
)

// Decision is the decision on an operation that waited.
type Decision struct {
	Organisation currantloom.OrganisationName
	Operation    Operation
	Outcome      Outcome
	// RetryAfter is when a refused operation may be repeated.
	RetryAfter time.Duration
	// Age is the age of the token that was granted, or of the last answer of the limiter if none was.
	Age time.Duration
}

// Request is a request to the limiter of a shard.
type Request struct {
	VM      currantloom.VMName
	Message currantloom.TokenRequest
}

// Entry decides at an entry node which operations may start. Use NewEntry to create one.
type Entry struct {
	window      currantloom.QuotaWindow
	incarnation uint64
	registered  int
	now, sentAt time.Duration
	// startedAt is the time of the first event.
	startedAt time.Duration
	random    uint64
	limits    map[currantloom.OrganisationName]currantloom.RateLimit
	wallets   map[currantloom.OrganisationName]*wallet
	// sorted holds the wallets by name, so that the order of requests and decisions is deterministic.
	sorted []*wallet
	shards []*shard
	// decisions are those that the caller has not fetched yet.
	decisions []Decision
}

// NewEntry returns an entry without any shares. The incarnation distinguishes the runs of the process.
func NewEntry(w currantloom.QuotaWindow, incarnation uint64) *Entry {
	return &Entry{
		window: w, incarnation: incarnation, wallets: make(map[currantloom.OrganisationName]*wallet),
		shards: []*shard{{fresh: true}},
	}
}

// Advance sets the time and the random number for the calls that follow.
func (n *Entry) Advance(now time.Duration, random uint64) {
	n.now, n.random = max(n.now, now), random
	if n.startedAt == 0 {
		n.startedAt = n.now
	}
}

// nextRandom returns a number in [0, 1).
func (n *Entry) nextRandom() float64 {
	n.random = n.random*6364136223846793005 + 1442695040888963407
	return float64(n.random>>11) / (1 << 53)
}

// SetLimits replaces the limits. Operations that wait for a token of an organisation that has no limit any more are
// granted. Tokens beyond the node's share of a lowered limit are dropped.
func (n *Entry) SetLimits(limits map[currantloom.OrganisationName]currantloom.RateLimit) {
	n.limits = limits
	for _, w := range slices.Clone(n.sorted) {
		limit := limits[w.name]
		if !limit.IsZero() {
			w.setBudget(newBudget(limit, n.window))
			continue
		}
		for _, op := range w.waiting {
			n.decide(w, op, Granted, 0)
		}
		delete(n.wallets, w.name)
		n.sorted = slices.DeleteFunc(n.sorted, func(other *wallet) bool { return other == w })
	}
}

// SetRegistered sets the number of VMs that may hold shares.
func (n *Entry) SetRegistered(count int) {
	n.registered = max(1, count)
	if Shards(n.registered) == len(n.shards) {
		return
	}
	shards := make([]*shard, Shards(n.registered))
	for i := range shards {
		shards[i] = &shard{fresh: n.isFresh(), otherAt: n.lastRequestAt()}
	}
	n.shards = shards
	for _, w := range n.sorted {
		w.shard = n.shards[ShardOf(w.name, len(n.shards))]
		w.asked = false
	}
}

func (n *Entry) isFresh() bool {
	return !slices.ContainsFunc(n.shards, func(s *shard) bool { return !s.fresh })
}

func (n *Entry) lastRequestAt() time.Duration {
	var at time.Duration
	for _, s := range n.shards {
		at = max(at, s.handedAt, s.otherAt)
	}
	return at
}

// Shards returns the number of shards.
func (n *Entry) Shards() int { return len(n.shards) }

// walletOf returns the wallet of an organisation; nil if it has no limit.
func (n *Entry) walletOf(name currantloom.OrganisationName) *wallet {
	if w, ok := n.wallets[name]; ok {
		return w
	}
	limit, ok := n.limits[name]
	if !ok || limit.IsZero() {
		return nil
	}
	w := &wallet{
		name: name, budget: newBudget(limit, n.window), shard: n.shards[ShardOf(name, len(n.shards))],
		demandAt: n.now, levelAt: n.now,
	}
	n.wallets[name] = w
	n.sorted = append(n.sorted, w)
	slices.SortFunc(n.sorted, func(a, b *wallet) int { return cmp.Compare(a.name, b.name) })
	return w
}

// Take decides on a new operation. Unless the outcome is Waiting, the decision is final. The caller then has to call
// Return or Done for a granted operation; RetryAfter is set for a refused one.
func (n *Entry) Take(name currantloom.OrganisationName, op Operation, urgent bool) Decision {
	w := n.walletOf(name)
	if w == nil {
		return Decision{Organisation: name, Operation: op, Outcome: Granted}
	}
	w.recordArrival(n.now)
	if outcome, age := n.takeNow(w); outcome != Refused {
		return Decision{Organisation: name, Operation: op, Outcome: outcome, Age: age}
	}
	if n.now < w.refusedUntil && !urgent {
		return n.refusal(w, op, w.refusedUntil-n.now)
	}
	w.waiting = append(w.waiting, waiter{operation: op, urgent: urgent, since: n.now})
	return Decision{Organisation: name, Operation: op, Outcome: Waiting}
}

// takeNow takes a token that the node holds, if any.
func (n *Entry) takeNow(w *wallet) (Outcome, time.Duration) {
	if age, ok := w.takeHeld(n.now); ok {
		return Granted, age
	}
	if n.isAlone(w) && w.takeOwn() {
		return GrantedAlone, n.now - w.shard.answeredAt
	}
	return Refused, 0
}

// TakeHeld takes a token only if the node holds one, as for a hedge.
func (n *Entry) TakeHeld(name currantloom.OrganisationName) bool {
	w := n.walletOf(name)
	if w == nil {
		return true
	}
	outcome, _ := n.takeNow(w)
	return outcome != Refused
}

// Repeat accounts for another attempt of an operation that may have run before. Without a token it counts against the
// next ones.
func (n *Entry) Repeat(name currantloom.OrganisationName) {
	w := n.walletOf(name)
	if w == nil {
		return
	}
	if outcome, _ := n.takeNow(w); outcome == Refused {
		w.debt++
		w.inFlight++
	}
}

// Done ends an operation that had a token and may have run.
func (n *Entry) Done(name currantloom.OrganisationName) {
	if w, ok := n.wallets[name]; ok {
		w.inFlight = max(0, w.inFlight-1)
		w.ended(1)
	}
}

// Return ends an operation that had a token and certainly did not run.
func (n *Entry) Return(name currantloom.OrganisationName) {
	if w, ok := n.wallets[name]; ok && w.inFlight > 0 {
		w.inFlight--
		w.putBack(n.now)
		n.grantWaiting(w)
	}
}

// Leave ends the wait of an operation.
func (n *Entry) Leave(name currantloom.OrganisationName, op Operation) {
	if w, ok := n.wallets[name]; ok {
		w.waiting = slices.DeleteFunc(w.waiting, func(other waiter) bool { return other.operation == op })
	}
}

// Tokens returns the number of unused tokens that the node holds.
func (n *Entry) Tokens(name currantloom.OrganisationName) int {
	if w, ok := n.wallets[name]; ok {
		return w.heldCount()
	}
	return 0
}

// Decisions returns the decisions on waiting operations since the last call.
func (n *Entry) Decisions() []Decision {
	d := n.decisions
	n.decisions = nil
	return d
}

// decide records the decision on a waiting operation. The caller removes it from the wallet.
func (n *Entry) decide(w *wallet, op waiter, outcome Outcome, age time.Duration) {
	n.decisions = append(n.decisions, Decision{
		Organisation: w.name, Operation: op.operation, Outcome: outcome, Age: age,
	})
}

// refusal returns the refusal of an operation. The time to retry is spread evenly around the one after which tokens
// are expected, so that those who were refused together do not come back together.
func (n *Entry) refusal(w *wallet, op Operation, wait time.Duration) Decision {
	wait = max(wait, minRetryAfter)
	spread := wait/2 + time.Duration(n.nextRandom()*float64(wait))
	return Decision{
		Organisation: w.name, Operation: op, Outcome: Refused, RetryAfter: spread, Age: n.now - w.shard.answeredAt,
	}
}

// grantWaiting grants tokens to waiting operations in their order or, if there are too few tokens, the urgent ones
// first.
func (n *Entry) grantWaiting(w *wallet) {
	for len(w.waiting) > 0 {
		outcome, age := n.takeNow(w)
		if outcome == Refused {
			return
		}
		i := 0
		if n.now < w.scarceUntil {
			i = max(0, slices.IndexFunc(w.waiting, func(op waiter) bool { return op.urgent }))
		}
		n.decide(w, w.waiting[i], outcome, age)
		w.waiting = slices.Delete(w.waiting, i, i+1)
	}
}

// refuseWaiting refuses the operations that came last, the urgent ones only if there are no others.
func (n *Entry) refuseWaiting(w *wallet, count int, wait time.Duration) {
	for ; count > 0 && len(w.waiting) > 0; count-- {
		last := len(w.waiting) - 1
		for i, op := range slices.Backward(w.waiting) {
			if !op.urgent {
				last = i
				break
			}
		}
		n.decisions = append(n.decisions, n.refusal(w, w.waiting[last].operation, wait))
		w.waiting = slices.Delete(w.waiting, last, last+1)
	}
}

// Tick ends waits that have lasted too long, and drops tokens that have expired.
func (n *Entry) Tick() {
	for _, w := range n.sorted {
		w.expire(n.now)
		n.updateAlone(w)
		n.grantWaiting(w)
		late := 0
		for _, op := range w.waiting {
			if n.now-op.since >= maxWait {
				late++
			}
		}
		if late > 0 {
			n.refuseLate(w)
		}
	}
}

// refuseLate refuses the operations that have waited for too long.
func (n *Entry) refuseLate(w *wallet) {
	kept := w.waiting[:0]
	for _, op := range w.waiting {
		if n.now-op.since < maxWait {
			kept = append(kept, op)
			continue
		}
		n.decisions = append(n.decisions, n.refusal(w, op.operation, maxWait))
	}
	w.waiting = kept
}
