package loomhost

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
	"currantloom.example/currantloom/loomlog"
	"currantloom.example/currantloom/loomwatch"
)

const (
	// rereadSpread is the time over which the nodes read the store again after it came back from a copy.
	rereadSpread = 300 * time.Millisecond
	// maxIdleTime is the longest time after which a node looks again whether a call or a request is due.
	maxIdleTime = time.Second
	// actingTime is how long after its last push a node counts as one that watches the store.
	actingTime = 3 * time.Second
	// copyInterval is the time between two requests for the copies of other nodes.
	copyInterval = 500 * time.Millisecond
	// peersAsked is the number of nodes that a node asks for changes if neither the store nor the nodes of its failure
	// domain prove its copy complete.
	peersAsked = 2
)

// storeWatch keeps the copy of the store up to date, with calls to the store and with the pushes of other nodes. Its
// methods run in one goroutine; each call to the store has its own.
type storeWatch struct {
	cache    *storeCache
	schedule *loomwatch.Schedule
	// position is the position of the store up to which the copy is complete; zero if the whole store has to be read.
	position currantloom.StorePosition
	answers  chan storeAnswer
	calls    sync.WaitGroup
	// callNumber is the number of the newest call and cancelCall ends it. The answer to an earlier call is not used.
	callNumber uint64
	cancelCall context.CancelFunc
	// pushedAt is when other nodes of the failure domain last sent a push.
	pushedAt map[currantloom.VMName]time.Duration
	// missing is the newest position that another node has shown; copyRequestedAt is when its copy was requested.
	missing                      currantloom.StorePosition
	copyRequestedAt, heartbeatAt time.Duration
}

// storeAnswer is the outcome of a call to the store: the items after base up to position, or all items if base is zero.
type storeAnswer struct {
	call           uint64
	items          []currantloom.StoreItem
	base, position currantloom.StorePosition
	askedAt        time.Duration
	err            error
}

func newStoreWatch(c *storeCache) *storeWatch {
	config := c.node.config.Reducer
	return &storeWatch{
		cache: c, schedule: loomwatch.New(rand.Uint64(), config.ProofAge()), answers: make(chan storeAnswer),
		cancelCall: func() {}, pushedAt: make(map[currantloom.VMName]time.Duration),
	}
}

// run keeps the copy up to date until the context ends.
func (c *storeCache) run(ctx context.Context) error {
	w := newStoreWatch(c)
	ctx, cancel := context.WithCancel(ctx)
	defer w.calls.Wait()
	defer cancel()
	for ctx.Err() == nil {
		w.step(ctx)
	}
	return nil
}

// step starts what is due and handles the next answer or push.
func (w *storeWatch) step(ctx context.Context) {
	if w.position.IsZero() {
		w.position = w.cache.takeAdopted()
	}
	timer := time.NewTimer(w.startDue(ctx))
	defer timer.Stop()
	select {
	case a := <-w.answers:
		w.handleAnswer(ctx, a)
	case m := <-w.cache.pushes:
		w.handlePush(m)
	case <-timer.C:
	case <-ctx.Done():
	}
}

// startDue starts the call and the requests that are due, and returns the time until the next ones.
func (w *storeWatch) startDue(ctx context.Context) time.Duration {
	now, idle := w.cache.node.clock.now(), maxIdleTime
	f := w.cache.currentFleet()
	w.schedule.SetRole(f.role(), f.rank)
	if at, ok := w.schedule.NextRequest(now); ok && at <= now {
		w.requestProofs(now, f)
	} else if ok {
		idle = min(idle, at-now)
	}
	if w.schedule.IsActing(now) && now-w.heartbeatAt >= heartbeatInterval {
		w.heartbeatAt = now
		w.cache.pushHeartbeat()
	}
	if at, ok := w.schedule.NextCall(); ok && at <= now {
		w.startCall(ctx, now)
	} else if ok {
		idle = min(idle, at-now)
	}
	return idle
}

// requestProofs asks the nodes that watch the store in this failure domain for their proofs. A node whose copy is not
// proven complete also asks others at random whether they have changes.
func (w *storeWatch) requestProofs(now time.Duration, f fleet) {
	mesh, self := w.cache.node.mesh, w.cache.node.config.Reducer.Self
	request := currantloom.StoreProofRequest{Number: w.schedule.StartRequest(now), Position: w.position}
	isActing := func(vm currantloom.VMName) bool {
		at, ok := w.pushedAt[vm]
		return ok && now-at <= actingTime
	}
	for _, node := range f.sources(self, isActing) {
		mesh.Send(node.vm(), request)
	}
	if w.schedule.IsProven(now) {
		return
	}
	request.Number = 0
	for _, node := range f.randomPeers(peersAsked) {
		mesh.Send(node.vm(), request)
	}
}

// startCall calls the store in a new goroutine, which delivers the answer.
func (w *storeWatch) startCall(ctx context.Context, now time.Duration) {
	if provenAt, ok := w.schedule.ProvenAt(); ok && w.cache.currentFleet().role() == loomwatch.Follower {
		w.cache.logWatch(loomlog.Line{Routine: true, Fields: []any{
			"age", (now - provenAt).Round(time.Millisecond), "outcome", "store called",
		}})
	}
	wait := w.schedule.StartCall(now)
	w.callNumber++
	a := storeAnswer{call: w.callNumber, base: w.position, askedAt: now}
	ctx, w.cancelCall = context.WithCancel(ctx)
	w.calls.Go(func() {
		w.cache.callStore(ctx, wait, &a)
		select {
		case w.answers <- a:
		case <-ctx.Done():
		}
	})
}

// callStore reads the whole store, or waits for changes after the base of the answer.
func (c *storeCache) callStore(ctx context.Context, wait time.Duration, a *storeAnswer) {
	store := c.node.config.Store
	if a.base.IsZero() {
		a.items, a.position, a.err = store.Range(ctx, "")
		return
	}
	a.items, a.position, a.err = store.Watch(ctx, "", a.base, wait)
}

// handleAnswer applies the answer to a call, or schedules the next call if it got none.
func (w *storeWatch) handleAnswer(ctx context.Context, a storeAnswer) {
	if a.call != w.callNumber {
		return
	}
	w.cancelCall()
	now := w.cache.node.clock.now()
	era, restored := currantloom.RestoredEraOf(a.err)
	switch {
	case a.err == nil && (w.position.IsZero() || a.position.Era() == w.position.Era()):
		w.applyAnswer(now, a)
	case restored:
		w.restart(era)
	case a.err == nil, currantloom.IsInput(a.err):
		// The store no longer has the history after the position, or is of another era than a copy that was taken over
		// meanwhile: read everything again.
		w.position = currantloom.StorePosition{}
		w.schedule.Restart(now, 0)
	case ctx.Err() == nil:
		w.schedule.CallFailed(now, rand.Uint64())
		w.reportFailure(now, a.err)
	}
}

// applyAnswer applies the items of an answer that the copy does not have yet, and pushes them.
func (w *storeWatch) applyAnswer(now time.Duration, a storeAnswer) {
	c := w.cache
	items := w.unknownItems(a.items)
	push := currantloom.StoreItems{Delta: true, Items: items, Base: w.position, Position: a.position}
	switch {
	case a.base.IsZero() && a.position.After(w.position):
		c.replace(a.items)
		c.node.submit(c.decodeChanges("", a.items, true, a.position))
		// The changes before the position are not known, so they are not pushed. A follower that lacks them sees a gap.
		push.Items, push.Base = nil, a.position
	case len(items) > 0:
		c.merge(items)
		c.node.submit(c.decodeChanges("", items, false, a.position))
	}
	isWatcher := c.currentFleet().role() != loomwatch.Direct
	w.schedule.CallSucceeded(now, a.askedAt, len(items) > 0 && (isWatcher || isOnlyNodes(items)))
	w.advance(a.position, a.askedAt)
	if w.schedule.IsActing(now) && (len(push.Items) > 0 || a.base.IsZero()) {
		c.push(push)
	}
	stamp := c.node.stamp()
	c.node.submit(loomfleet.StoreWatchSucceeded{Stamp: stamp, Age: stamp.Now - a.askedAt})
}

// advance records the position up to which the copy is complete, and the time of the proof; zero if there is no new
// one.
func (w *storeWatch) advance(position currantloom.StorePosition, provenAt time.Duration) {
	if position.After(w.position) {
		w.position = position
	}
	if !w.missing.After(w.position) {
		w.schedule.ChangesReceived()
	}
	w.cache.recordPosition(w.position, provenAt)
}

// unknownItems returns the items that are newer than the copy. The others must not be merged: they may have been
// deleted since, and merge would restore them.
func (w *storeWatch) unknownItems(items []currantloom.StoreItem) []currantloom.StoreItem {
	return slices.DeleteFunc(slices.Clone(items), func(i currantloom.StoreItem) bool {
		return !i.Position.After(w.position)
	})
}

// isOnlyNodes reports whether all items are registrations of nodes. These are not urgent, and at the start of a fleet
// each of them would end the watches of all nodes.
func isOnlyNodes(items []currantloom.StoreItem) bool {
	return !slices.ContainsFunc(items, func(i currantloom.StoreItem) bool {
		return !strings.HasPrefix(i.Key, nodeKeyPrefix)
	})
}

// handlePush applies a push to the copy. A push of an earlier era is ignored.
func (w *storeWatch) handlePush(m receivedPush) {
	if w.position.IsZero() {
		return
	}
	if m.Request == 0 {
		w.pushedAt[m.from] = w.cache.node.clock.now()
	}
	switch era := m.Position.Era(); {
	case era > w.position.Era():
		w.restart(era)
	case era < w.position.Era():
		w.cache.node.reportUnknownEra(currantloom.ErrStoreEra.New("push of era %d after era %d", era, w.position.Era()))
	case m.Delta && m.Base.After(w.position):
		w.requestCopy(m)
	default:
		w.applyPush(m)
	}
}

// requestCopy asks the sender of a push for its copy, because this node lacks the changes before the push. Nodes that
// read them from the store anyway do so only if the store does not answer.
func (w *storeWatch) requestCopy(m receivedPush) {
	c := w.cache
	now, f := c.node.clock.now(), c.currentFleet()
	sender, known := f.byName[m.from]
	requested := w.copyRequestedAt > 0 && now-w.copyRequestedAt < copyInterval
	if requested || f.role() != loomwatch.Follower && w.schedule.IsProven(now) {
		return
	}
	w.missing, w.copyRequestedAt = m.Position, now
	w.schedule.ChangesMissing(now)
	c.logWatch(loomlog.Line{Routine: true, Fields: []any{"vm", string(m.from), "outcome", "changes missing"}})
	if known {
		c.node.mesh.Send(sender.vm(), currantloom.StoreProofRequest{
			Number: w.schedule.StartRequest(now), Position: w.position, Copy: true,
		})
	}
}

// applyPush applies the changes of a push, or a whole copy that is newer, and the proof if it answers a request.
func (w *storeWatch) applyPush(m receivedPush) {
	c := w.cache
	if !m.Delta && m.Position.After(w.position) {
		c.replace(m.Items)
		c.node.submit(c.decodeChanges(m.from, m.Items, true, m.Position))
	} else if newer := c.merge(w.unknownItems(m.Items)); len(newer) > 0 {
		c.node.submit(c.decodeChanges(m.from, newer, false, m.Position))
	}
	provenAt, ok := w.schedule.ProofReceived(m.Request, m.Age)
	w.advance(m.Position, provenAt)
	stamp := c.node.stamp()
	if ok && w.schedule.IsFed(stamp.Now) {
		c.node.submit(loomfleet.StoreWatchSucceeded{Stamp: stamp, Age: stamp.Now - provenAt, Pushed: true})
	}
}

// restart reads the store again after it came back from a copy, at a random time, so that not all nodes do so at once.
// It tells the reducer and the followers.
func (w *storeWatch) restart(era currantloom.StoreEra) {
	c := w.cache
	c.node.submit(loomfleet.StoreEraChanged{Stamp: c.node.stamp(), Era: era})
	restored := currantloom.NewStorePosition(era, 0)
	if w.schedule.IsActing(c.node.clock.now()) {
		c.push(currantloom.StoreItems{Delta: true, Base: restored, Position: restored})
	}
	w.position = currantloom.StorePosition{}
	w.callNumber++
	w.cancelCall()
	w.schedule.Restart(c.node.clock.now(), rand.N(rereadSpread))
}

// reportFailure reports a failed call, unless other nodes have recent answers of the store. A node that has not read
// the store yet asks other nodes for their copies.
func (w *storeWatch) reportFailure(now time.Duration, err error) {
	c := w.cache
	if currantloom.IsStoreEra(err) {
		c.node.reportUnknownEra(err)
	}
	if w.schedule.IsFed(now) {
		c.logWatch(loomlog.Line{Fields: []any{"reason", err, "outcome", "call failed"}})
		return
	}
	c.node.submit(loomfleet.StoreWatchFailed{Stamp: c.node.stamp(), Reason: err.Error()})
	if w.position.IsZero() {
		c.loadFromSeeds()
	}
}

// logWatch logs a line on how this node learns of changes.
func (c *storeCache) logWatch(line loomlog.Line) {
	line.Event = "watch"
	c.node.log.Enqueue(line)
}
