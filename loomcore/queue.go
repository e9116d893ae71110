package loomcore

import (
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfair"
)

const (
	// usageWindow is the time constant of the decaying average of the use of slots by an organisation.
	usageWindow = time.Second
	// reservedControlConnections is the number of connections to each upstream that are reserved for control calls. The
	// owners of the three upstreams of a database poll all three.
	reservedControlConnections = 4
	// admittedWaitPercent bounds the estimated wait of a new attempt, in percent of the time until its latest start. The
	// rest covers errors of the estimate, so that attempts are refused when they arrive and not after a wait.
	admittedWaitPercent = 75
	// busyShortRunTime is the run time of short requests, started within usageWindow, above which a second slot is
	// reserved for them.
	busyShortRunTime = usageWindow / 20
	// minRetryAfter is the shortest time to retry that a refusal reports.
	minRetryAfter = 100 * time.Millisecond
	// allowanceInterval is the time after which one more connection is allowed once the upstream has refused one.
	allowanceInterval = time.Second
)

// queue decides which waiting attempts at one upstream start, and when.
type queue struct {
	upstream currantloom.UpstreamName
	group    *group
	short    fairQueue
	long     fairQueue
	// shortUsage and longUsage hold the expected run time of what each organisation started recently, by class.
	shortUsage *loomfair.Usages
	longUsage  *loomfair.Usages
	// confirmedRunTime is the moving average of the run time of short requests that wait for a replica at their end.
	confirmedRunTime time.Duration
	// running holds the attempts that occupy a slot, in the order of their start.
	running []*attempt
	// connections counts the connections in use, connectionsByOrganisation those of each organisation.
	connections               int
	connectionsByOrganisation map[currantloom.OrganisationName]int
	// openTransactions counts the open transactions, openingTransactions the running attempts that open one.
	openTransactions    int
	openingTransactions int
	// refusedAt is when the upstream last refused a connection. connectionAllowance is the number that was in use then, at
	// least 1.
	connectionsRefused  bool
	refusedAt           time.Duration
	connectionAllowance int
}

// queueOf returns the queue of an upstream of the group, and creates it on first use.
func (s *State) queueOf(g *group, upstream currantloom.UpstreamName) *queue {
	o := &s.owner
	if q, ok := o.queues[upstream]; ok {
		return q
	}
	q := &queue{
		upstream: upstream, group: g, connectionsByOrganisation: make(map[currantloom.OrganisationName]int),
		shortUsage: loomfair.NewUsages(usageWindow), longUsage: loomfair.NewUsages(usageWindow),
	}
	o.queues[upstream] = q
	o.orderedQueues = append(o.orderedQueues, q)
	return q
}

func (q *queue) fairQueue(class currantloom.RequestClass) *fairQueue {
	if class == currantloom.LongRequest {
		return &q.long
	}
	return &q.short
}

func (q *queue) usage(class currantloom.RequestClass) *loomfair.Usages {
	if class == currantloom.LongRequest {
		return q.longUsage
	}
	return q.shortUsage
}

// longSlots returns the number of slots that long requests may take. One slot is reserved for short requests. A second
// one is reserved while there are many, because they would wait for each other in a single slot.
func (q *queue) longSlots(now time.Duration) int {
	reserved := 1
	if q.shortUsage.Total(now) > busyShortRunTime {
		reserved = 2
	}
	return max(1, q.group.database.Slots()-reserved)
}

// longRunning returns the number of running long requests.
func (q *queue) longRunning() int {
	count := 0
	for _, a := range q.running {
		if a.class == currantloom.LongRequest {
			count++
		}
	}
	return count
}

// maxRunning bounds the number of statements that run at a time. Short requests may use all slots while long requests
// use all but one. With a single slot reserved for short requests, the p99 of their wait beside long requests was 5.0
// and 6.9 times that without long requests (2 and 3 slots); with all slots it is 1.9 and 2.0 times.
func (q *queue) maxRunning() int { return max(2, 2*q.group.database.Slots()-1) }

// shortSlots returns the number of slots that short requests may take now.
func (s *State) shortSlots(q *queue) int {
	return min(q.group.database.Slots(), q.maxRunning()-q.longRunning()) + s.commitWaitSlots(q)
}

// maxConnections returns the number of connections that requests may use.
func (q *queue) maxConnections() int {
	return RequestConnections(q.group.database)
}

// connectionsAllowed returns maxConnections, or less after the upstream refused connections because other nodes hold
// some.
func (q *queue) connectionsAllowed(now time.Duration) int {
	if !q.connectionsRefused {
		return q.maxConnections()
	}
	return min(q.maxConnections(), q.connectionAllowance+int((now-q.refusedAt)/allowanceInterval))
}

// connectionRefused records that the upstream refused a connection.
func (q *queue) connectionRefused(now time.Duration) {
	q.connectionsRefused, q.refusedAt = true, now
	q.connectionAllowance = max(1, q.connections)
}

// canStart reports whether connections and planned changes let the attempt start. Slots are checked separately.
func (s *State) canStart(g *group, q *queue, a *attempt) bool {
	if a.inTransaction {
		return true
	}
	h := a.header
	if s.delaysAdmissionAfterPause() || q.upstream == g.primary && s.isBlocked(g, a) {
		return false
	}
	if q.connections >= q.connectionsAllowed(s.now) {
		return false
	}
	if limit := s.rules.rules.MaxConnections(h.Database, h.Organisation); limit > 0 &&
		q.connectionsByOrganisation[h.Organisation] >= limit {
		return false
	}
	return !h.OpensTransaction || q.openTransactions+q.openingTransactions < max(1, q.maxConnections()/2)
}

// isBlocked reports whether a planned change of the primary blocks the attempt.
func (s *State) isBlocked(g *group, a *attempt) bool {
	if a.class == currantloom.LongRequest || a.header.OpensTransaction {
		return g.blocksLong()
	}
	return a.writes() && g.blocksWrites()
}

// admit starts waiting attempts while slots are free.
func (s *State) admit(g *group, q *queue) {
	for {
		a := s.nextAttempt(g, q)
		if a == nil {
			return
		}
		if s.now >= a.latestStart {
			s.refuseLate(q, a)
			continue
		}
		if !a.inTransaction && !s.recheckBeforeStart(q, a) {
			continue
		}
		s.start(q, a)
	}
}

// nextAttempt removes and returns the attempt that starts next; nil if there is none. Long requests come first in the
// slots that they may take, since slots are reserved for short requests.
func (s *State) nextAttempt(g *group, q *queue) *attempt {
	canStart := func(a *attempt) bool { return s.canStart(g, q, a) }
	long := q.longRunning()
	if long < q.longSlots(s.now) && len(q.running) < g.database.Slots()+s.commitWaitSlots(q) {
		if a := q.long.next(canStart); a != nil {
			return a
		}
	}
	if len(q.running)-long < s.shortSlots(q) {
		return q.short.next(canStart)
	}
	return nil
}

// start occupies a slot and, outside a transaction, a connection.
func (s *State) start(q *queue, a *attempt) {
	a.state = attemptRunning
	a.holdsSlot = true
	a.startedAt = s.now
	a.term = q.group.term
	q.running = append(q.running, a)
	weight := s.rules.rules.Weight(a.header.Database, a.header.Organisation)
	q.usage(a.class).Add(a.header.Organisation, weight, a.cost, s.now)
	if !a.inTransaction {
		q.connections++
		q.connectionsByOrganisation[a.header.Organisation]++
		if a.header.OpensTransaction {
			q.openingTransactions++
		}
	}
	s.emit(s.runEffect(q.group, a))
}

// releaseSlot ends the attempt's use of a slot.
func (q *queue) releaseSlot(a *attempt) {
	a.holdsSlot = false
	for i, other := range q.running {
		if other == a {
			q.running = append(q.running[:i], q.running[i+1:]...)
			return
		}
	}
}

// releaseConnection ends an organisation's use of a connection.
func (q *queue) releaseConnection(organisation currantloom.OrganisationName) {
	q.connections--
	q.connectionsByOrganisation[organisation]--
	if q.connectionsByOrganisation[organisation] == 0 {
		delete(q.connectionsByOrganisation, organisation)
	}
}

// estimateWait returns how long a new attempt is expected to wait. Under deficit round robin it waits for the earlier
// attempts of its organisation, at the rate that the other organisations leave to it, and for running attempts if no
// slot is free.
func (s *State) estimateWait(q *queue, a *attempt) time.Duration {
	fq := q.fairQueue(a.class)
	slots := q.longSlots(s.now)
	if a.class == currantloom.ShortRequest {
		slots = max(1, s.shortSlots(q))
	}
	busy, ahead := 0, time.Duration(0)
	for _, r := range q.running {
		if r.class == a.class {
			busy++
			ahead += max(0, r.cost-(s.now-r.startedAt))
		}
	}
	if busy < slots && len(fq.organisations) == 0 {
		return 0
	}
	if o := fq.organisation(a.header.Organisation); o != nil {
		ahead += o.totalCost
	}
	weight := s.rules.rules.Weight(a.header.Database, a.header.Organisation)
	return ahead * 1000 / time.Duration(q.usage(a.class).AvailableSlots(a.header.Organisation, weight, slots, s.now))
}

// enqueue puts an attempt into the queue, or refuses it if it is not expected to start in time.
func (s *State) enqueue(q *queue, a *attempt) {
	wait := s.estimateWait(q, a)
	if limit := (a.latestStart - s.now) * admittedWaitPercent / 100; wait > limit {
		s.reject(a, currantloom.SQLStateTooManyConnections, "estimated wait exceeds the deadline",
			max(minRetryAfter, wait-limit))
		return
	}
	a.state = attemptQueued
	q.fairQueue(a.class).add(a, s.rules.rules.Weight(a.header.Database, a.header.Organisation))
	s.admit(q.group, q)
}

// refuseLate refuses an attempt that can no longer start in time.
func (s *State) refuseLate(q *queue, a *attempt) {
	wait := s.estimateWait(q, a)
	s.reject(a, currantloom.SQLStateTooManyConnections, "deadline passed in the queue", max(minRetryAfter, wait))
}

// tickQueue changes the class of short requests that run for too long to long, refuses attempts that can no longer
// start in time and starts those that can start.
func (s *State) tickQueue(q *queue) {
	for _, a := range q.running {
		if a.class == currantloom.ShortRequest && s.now-a.startedAt > longThreshold {
			a.class = currantloom.LongRequest
		}
	}
	for _, fq := range []*fairQueue{&q.long, &q.short} {
		fq.each(func(a *attempt) {
			if s.now >= a.latestStart {
				s.refuseLate(q, a)
			}
		})
	}
	s.recheckQueue(q)
}
