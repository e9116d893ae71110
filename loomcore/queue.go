package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// controlConnections of each server's limit are kept for control, because the carriers of the three servers of a
	// database poll all three.
	controlConnections = 4
	// admittedWait is the part in percent of the time until work has to start that it may be expected to wait. The
	// rest covers errors of the estimate, so that work is refused when it arrives and not after a wait.
	admittedWait = 75
	// busyShort is the run time that short work starts per usageWindow from which on it gets a second slot.
	busyShort = usageWindow / 20
	// minRetryAfter is the least time after which a refused request shall be retried.
	minRetryAfter = 100 * time.Millisecond
	// allowanceStep is the time after which one more connection is tried after the server refused some.
	allowanceStep = time.Second
)

// queue admits the work of one server: it decides which waiting work starts and when.
type queue struct {
	server currantloom.UpstreamName
	group  *group
	short  share
	long   share
	// shortUsage and longUsage hold what each caller used of the class lately.
	shortUsage usages
	longUsage  usages
	// confirmedRun is the moving average of the run time of short work that waits for a replica at its end.
	confirmedRun time.Duration
	// running holds the work that occupies a slot, in the order of start.
	running []*work
	// held counts the connections in use, byCaller those of each caller.
	held     int
	byCaller map[currantloom.OrganisationName]int
	// pinned counts the open transactions, beginning the running work that is about to open one.
	pinned    int
	beginning int
	// refusedAt is when the server last refused a connection, while others held allowance connections.
	refused   bool
	refusedAt time.Duration
	allowance int
}

// queueOf returns the queue of a server of the group, made on first use.
func (s *State) queueOf(g *group, server currantloom.UpstreamName) *queue {
	c := &s.carrier
	if q, ok := c.queues[server]; ok {
		return q
	}
	q := &queue{
		server: server, group: g, byCaller: make(map[currantloom.OrganisationName]int),
		shortUsage: make(usages), longUsage: make(usages),
	}
	c.queues[server] = q
	c.ordered = append(c.ordered, q)
	return q
}

func (q *queue) share(class currantloom.RequestClass) *share {
	if class == currantloom.LongRequest {
		return &q.long
	}
	return &q.short
}

func (q *queue) usage(class currantloom.RequestClass) usages {
	if class == currantloom.LongRequest {
		return q.longUsage
	}
	return q.shortUsage
}

// longSlots is the number of slots that long work may take. One is reserved for short work; a second one is while there
// is short work, because a single slot makes it wait for itself.
func (q *queue) longSlots(now time.Duration) int {
	reserved := 1
	if q.shortUsage.total(now) > busyShort {
		reserved = 2
	}
	return max(1, q.group.database.Slots()-reserved)
}

// longRunning counts the running long work.
func (q *queue) longRunning() int {
	count := 0
	for _, w := range q.running {
		if w.class == currantloom.LongRequest {
			count++
		}
	}
	return count
}

// maxRunning bounds the statements that run at a time. Short work keeps all slots beside long work, which takes all but
// one. With a single slot kept for short work, the p99 of its wait beside long work was 5.0 and 6.9 times that without
// long work (2 and 3 slots); now it is 1.9 and 2.0 times.
func (q *queue) maxRunning() int { return max(2, 2*q.group.database.Slots()-1) }

// shortSlots is the number of slots that short work may take now.
func (s *State) shortSlots(q *queue) int {
	return min(q.group.database.Slots(), q.maxRunning()-q.longRunning()) + s.waitingSlots(q)
}

// maxConnections is the number of connections that work may use.
func (q *queue) maxConnections() int {
	return RequestConnections(q.group.database)
}

// connectionsAllowed is maxConnections, or less after the server refused connections because another node holds some.
func (q *queue) connectionsAllowed(now time.Duration) int {
	if !q.refused {
		return q.maxConnections()
	}
	return min(q.maxConnections(), q.allowance+int((now-q.refusedAt)/allowanceStep))
}

// connectionRefused records that the server refused a connection while the others were in use.
func (q *queue) connectionRefused(now time.Duration) {
	q.refused, q.refusedAt = true, now
	q.allowance = max(1, q.held)
}

// canStart reports whether the work may start as far as connections and the group are concerned.
func (s *State) canStart(g *group, q *queue, w *work) bool {
	if w.pinned {
		return true
	}
	h := w.header
	if s.holdsAfterPause() || q.server == g.primary && s.isHeld(g, w) {
		return false
	}
	if q.held >= q.connectionsAllowed(s.now) {
		return false
	}
	if limit := s.rules.rules.MaxConnections(h.Database, h.Organisation); limit > 0 &&
		q.byCaller[h.Organisation] >= limit {
		return false
	}
	return !h.OpensTransaction || q.pinned+q.beginning < max(1, q.maxConnections()/2)
}

// isHeld reports whether a planned change of the primary holds the work back.
func (s *State) isHeld(g *group, w *work) bool {
	if w.class == currantloom.LongRequest || w.header.OpensTransaction {
		return g.holdsLong()
	}
	return w.writes() && g.holdsWrites()
}

// admit starts waiting work while slots are free.
func (s *State) admit(g *group, q *queue) {
	for {
		w := s.nextWork(g, q)
		if w == nil {
			return
		}
		if s.now >= w.startBy {
			s.refuseLate(q, w)
			continue
		}
		if !w.pinned && !s.stillEligible(q, w) {
			continue
		}
		s.start(q, w)
	}
}

// nextWork takes the work that starts next out of the queue. Long work comes first in the slots it may take, since
// short work keeps its own.
func (s *State) nextWork(g *group, q *queue) *work {
	can := func(w *work) bool { return s.canStart(g, q, w) }
	long := q.longRunning()
	if long < q.longSlots(s.now) && len(q.running) < g.database.Slots()+s.waitingSlots(q) {
		if w := q.long.next(can); w != nil {
			return w
		}
	}
	if len(q.running)-long < s.shortSlots(q) {
		return q.short.next(can)
	}
	return nil
}

// start occupies a slot and, outside a transaction, a connection.
func (s *State) start(q *queue, w *work) {
	w.state = workRunning
	w.running = true
	w.startedAt = s.now
	w.term = q.group.term
	q.running = append(q.running, w)
	weight := s.rules.rules.Weight(w.header.Database, w.header.Organisation)
	q.usage(w.class).add(w.header.Organisation, weight, w.cost, s.now)
	if !w.pinned {
		q.held++
		q.byCaller[w.header.Organisation]++
		if w.header.OpensTransaction {
			q.beginning++
		}
	}
	s.emit(s.runOf(q.group, w))
}

// releaseSlot ends the work's use of a slot.
func (q *queue) releaseSlot(w *work) {
	w.running = false
	for i, other := range q.running {
		if other == w {
			q.running = append(q.running[:i], q.running[i+1:]...)
			return
		}
	}
}

// releaseConnection ends a caller's use of a connection.
func (q *queue) releaseConnection(caller currantloom.OrganisationName) {
	q.held--
	q.byCaller[caller]--
	if q.byCaller[caller] == 0 {
		delete(q.byCaller, caller)
	}
}

// estimateWait returns how long new work of the caller is expected to wait. Under deficit round robin it waits for its
// caller's earlier work, at the rate that the other callers leave to it, and for running work if no slot is free.
func (s *State) estimateWait(q *queue, w *work) time.Duration {
	sh := q.share(w.class)
	lanes := q.longSlots(s.now)
	if w.class == currantloom.ShortRequest {
		lanes = max(1, s.shortSlots(q))
	}
	busy, ahead := 0, time.Duration(0)
	for _, r := range q.running {
		if r.class == w.class {
			busy++
			ahead += max(0, r.cost-(s.now-r.startedAt))
		}
	}
	if busy < lanes && len(sh.accounts) == 0 {
		return 0
	}
	if a := sh.account(w.header.Organisation); a != nil {
		ahead += a.total
	}
	weight := s.rules.rules.Weight(w.header.Database, w.header.Organisation)
	return ahead * 1000 / time.Duration(q.usage(w.class).available(w.header.Organisation, weight, lanes, s.now))
}

// enqueue puts work into the queue, or refuses it if it cannot start in time.
func (s *State) enqueue(q *queue, w *work) {
	wait := s.estimateWait(q, w)
	if limit := (w.startBy - s.now) * admittedWait / 100; wait > limit {
		s.reject(w, currantloom.SQLStateTooManyConnections, "estimated wait exceeds the deadline",
			max(minRetryAfter, wait-limit))
		return
	}
	w.state = workWaiting
	q.share(w.class).add(w, s.rules.rules.Weight(w.header.Database, w.header.Organisation))
	s.admit(q.group, q)
}

// refuseLate refuses work that can no longer start in time.
func (s *State) refuseLate(q *queue, w *work) {
	wait := s.estimateWait(q, w)
	s.reject(w, currantloom.SQLStateTooManyConnections, "deadline passed in the queue", max(minRetryAfter, wait))
}

// tickQueue counts short work that runs for too long as long, refuses work that is late and starts what can start.
func (s *State) tickQueue(q *queue) {
	for _, w := range q.running {
		if w.class == currantloom.ShortRequest && s.now-w.startedAt > longThreshold {
			w.class = currantloom.LongRequest
		}
	}
	for _, sh := range []*share{&q.long, &q.short} {
		sh.each(func(w *work) {
			if s.now >= w.startBy {
				s.refuseLate(q, w)
			}
		})
	}
	s.reviewQueue(q)
}
