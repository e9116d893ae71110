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
		cancelCall: func() {},
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
	w.schedule.SetRole(w.cache.role())
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

// startDue starts the call and the request that are due, and returns the time until the next one.
func (w *storeWatch) startDue(ctx context.Context) time.Duration {
	now, idle := w.cache.node.clock.now(), maxIdleTime
	if at, ok := w.schedule.NextRequest(); ok {
		if at <= now {
			w.cache.requestProofs(w.schedule.StartRequest(now))
		} else {
			idle = min(idle, at-now)
		}
	}
	if at, ok := w.schedule.NextCall(); ok {
		if at <= now {
			w.startCall(ctx, now)
		} else {
			idle = min(idle, at-now)
		}
	}
	return idle
}

// startCall calls the store in a new goroutine, which delivers the answer.
func (w *storeWatch) startCall(ctx context.Context, now time.Duration) {
	if provenAt, ok := w.schedule.ProvenAt(); ok && w.cache.role() == loomwatch.Follower {
		w.cache.logWatch(loomlog.Line{Routine: true, Fields: []any{
			"age", (now - provenAt).Round(time.Millisecond), "outcome", "store called",
		}})
	}
	wait := w.schedule.StartCall()
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
	ctx, cancel := context.WithTimeout(ctx, wait+loomwatch.CallTimeout)
	defer cancel()
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

// applyAnswer applies the items of an answer that the copy does not have yet.
func (w *storeWatch) applyAnswer(now time.Duration, a storeAnswer) {
	c := w.cache
	items := w.unknownItems(a.items)
	batch := false
	switch {
	case a.base.IsZero() && a.position.After(w.position):
		c.replace(a.items)
		c.node.submit(c.decodeChanges("", a.items, true, a.position))
	case len(items) > 0:
		c.merge(items)
		c.pushToFollowers(currantloom.StoreItems{Items: items, Delta: true, Base: w.position, Position: a.position})
		c.node.submit(c.decodeChanges("", items, false, a.position))
		batch = isOnlyNodes(items) || c.role() == loomwatch.Watcher
	}
	if a.position.After(w.position) {
		w.position = a.position
	}
	w.schedule.CallSucceeded(now, a.askedAt, batch)
	c.recordPosition(w.position, a.askedAt)
	if a.base.IsZero() {
		// The whole store was read, so the changes before it are not pushed. A follower that lacks them sees a gap and
		// reads them from the store.
		c.pushToFollowers(currantloom.StoreItems{Delta: true, Base: w.position, Position: w.position})
	}
	stamp := c.node.stamp()
	c.node.submit(loomfleet.StoreWatchSucceeded{Stamp: stamp, Age: stamp.Now - a.askedAt})
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
	switch era := m.Position.Era(); {
	case era > w.position.Era():
		w.restart(era)
	case era < w.position.Era():
		w.cache.node.reportUnknownEra(currantloom.ErrStoreEra.New("push of era %d after era %d", era, w.position.Era()))
	case !m.Delta || m.Base.After(w.position):
		w.schedule.ChangesMissing()
		w.cache.logWatch(loomlog.Line{Routine: true, Fields: []any{"vm", string(m.from), "outcome", "changes missing"}})
	default:
		w.applyPush(m)
	}
}

// applyPush applies the changes of a push, and its proof if it answers a request.
func (w *storeWatch) applyPush(m receivedPush) {
	c := w.cache
	if newer := c.merge(w.unknownItems(m.Items)); len(newer) > 0 {
		c.node.submit(c.decodeChanges(m.from, newer, false, m.Position))
	}
	if m.Position.After(w.position) {
		w.position = m.Position
		c.recordPosition(w.position, 0)
	}
	provenAt, ok := w.schedule.ProofReceived(m.Request, m.Age)
	if !ok {
		return
	}
	c.recordPosition(w.position, provenAt)
	stamp := c.node.stamp()
	if w.schedule.IsFed(stamp.Now) {
		c.node.submit(loomfleet.StoreWatchSucceeded{Stamp: stamp, Age: stamp.Now - provenAt, Pushed: true})
	}
}

// restart reads the store again after it came back from a copy, at a random time, so that not all nodes do so at once.
// It tells the reducer and the followers.
func (w *storeWatch) restart(era currantloom.StoreEra) {
	c := w.cache
	c.node.submit(loomfleet.StoreEraChanged{Stamp: c.node.stamp(), Era: era})
	restored := currantloom.NewStorePosition(era, 0)
	c.pushToFollowers(currantloom.StoreItems{Delta: true, Base: restored, Position: restored})
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
