package loomhost

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
	"currantloom.example/currantloom/loomlog"
	"currantloom.example/currantloom/loommesh"
	"currantloom.example/currantloom/loomtask"
)

const (
	// watchWait is how long a watch waits for changes. A connection that has gone silent is noticed after it and the
	// timeout of the call.
	watchWait = 4 * time.Second
	// shortWait is that of a node that follows others and has missed something, and of one whose last call failed: a
	// call that was made while the store was silent has no answer, even after the store is back.
	shortWait = 300 * time.Millisecond
	// largeFleet is the number of nodes from which on calls to the store are spared: changes of a gatherTime come in one
	// answer.
	largeFleet = 16
	gatherTime = 700 * time.Millisecond
	// firstPause and longestPause bound the pause after a failed call.
	firstPause   = 150 * time.Millisecond
	longestPause = time.Second
	// seedTimeout bounds the question to another node.
	seedTimeout = time.Second
)

// Keys of the nodes in the store.
const (
	memberPrefix = "nodes/"
	dutyKey      = "duty"
)

// registry keeps a copy of the store and tells the reducer what changed.
type registry struct {
	node *Node

	// pushes are changes that other nodes of the failure domain have read.
	pushes chan currantloom.StoreItems

	mu    sync.Mutex
	items map[string]currantloom.StoreItem
	// revision is the one up to which the items are complete, reached says that the store answered last.
	revision uint64
	reached  bool
}

func newRegistry(n *Node) *registry {
	return &registry{
		node: n, items: make(map[string]currantloom.StoreItem), pushes: make(chan currantloom.StoreItems, maxPushes),
	}
}

// memberRecord is what a node writes under its name; dutyRecord what the holder of the duty writes.
type memberRecord struct {
	Address     string `json:"address"`
	Domain      string `json:"domain"`
	Region      string `json:"region"`
	Incarnation uint64 `json:"incarnation"`
}

type dutyRecord struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
}

// transaction returns the change that writes one of the node's keys.
func (r *registry) transaction(t loomfleet.StoreTxn) currantloom.StoreTxn {
	c := r.node.config.Reducer
	key, record := memberPrefix+string(c.Self), any(memberRecord{
		Address: c.Address, Domain: string(c.Location.FailureDomain()), Region: string(c.Location.Region()),
		Incarnation: c.Incarnation,
	})
	if t.Kind == loomfleet.RegistrationFailoverLease {
		key, record = dutyKey, dutyRecord{Holder: string(c.Self), Incarnation: c.Incarnation}
	}
	value, err := json.Marshal(record)
	if err != nil {
		r.node.log.Enqueue(loomlog.Line{Event: "record", Warn: true, Fields: []any{"key", key, "reason", err}})
	}
	txn := currantloom.StoreTxn{Set: []currantloom.StoreItem{{Key: key, Value: value, Lease: t.Lease}}}
	if t.Conditional {
		txn.Expected = map[string]uint64{key: t.ExpectedRevision}
	}
	return txn
}

// run watches the store until the context ends.
func (r *registry) run(ctx context.Context) error {
	var revision uint64
	pause := firstPause
	for ctx.Err() == nil {
		if revision > 0 && r.follows() {
			if next, ok := r.follow(ctx, revision); ok {
				revision = next
				continue
			}
		}
		next, err := r.step(ctx, revision)
		switch {
		case err == nil:
			r.complete(revision, next)
			revision, pause = next, firstPause
		case currantloom.IsInput(err):
			// The store no longer has the history after the revision.
			revision = 0
		case ctx.Err() == nil:
			r.lost(revision, err)
			loomtask.Sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, longestPause)
		}
	}
	return nil
}

// lost reports a failed call. A node that has read nothing yet asks others.
func (r *registry) lost(revision uint64, err error) {
	r.mu.Lock()
	r.reached = false
	r.mu.Unlock()
	r.node.post(loomfleet.StoreWatchFailed{Stamp: r.node.stamp(), Reason: err.Error()})
	if revision == 0 {
		r.askSeeds()
	}
}

// step reads everything, or waits for the next changes.
func (r *registry) step(ctx context.Context, revision uint64) (uint64, error) {
	store := r.node.config.Store
	if revision == 0 {
		items, next, err := store.Range(ctx, "")
		if err != nil {
			return 0, err
		}
		r.replace(items)
		r.node.post(r.changes(items, true, next))
		r.node.post(loomfleet.StoreWatchSucceeded{Stamp: r.node.stamp()})
		return next, nil
	}
	wait := watchWait
	if r.follows() || !r.isReached() {
		wait = shortWait
	}
	items, next, err := store.Watch(ctx, "", revision, wait)
	if err != nil {
		return 0, err
	}
	r.merge(items)
	if len(items) > 0 {
		r.push(currantloom.StoreItems{Items: items, Delta: true, BaseRevision: revision, Revision: next})
		r.node.post(r.changes(items, false, next))
	}
	r.node.post(loomfleet.StoreWatchSucceeded{Stamp: r.node.stamp()})
	if len(items) > 0 && r.isLarge() && !r.follows() {
		loomtask.Sleep(ctx, gatherTime)
	}
	return next, nil
}

// isReached reports whether the store answered the last call.
func (r *registry) isReached() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reached
}

// askSeeds takes what other nodes know, so that a node that starts while the store is away can serve.
func (r *registry) askSeeds() {
	for _, seed := range r.node.config.SeedAddresses {
		if seed == r.node.config.Reducer.Address {
			continue
		}
		items, err := loommesh.RequestStoreItems(r.node.config.Reducer.Self, seed, seedTimeout)
		if err != nil {
			r.node.log.Enqueue(loomlog.Line{Event: "seed", Fields: []any{"address", seed, "reason", err}})
			continue
		}
		items = r.merge(items)
		r.node.log.Enqueue(loomlog.Line{Event: "seed", Fields: []any{"address", seed, "items", len(items)}})
		r.node.post(r.changes(items, false, 0))
	}
}

// known returns a copy of all items.
func (r *registry) known() []currantloom.StoreItem {
	r.mu.Lock()
	defer r.mu.Unlock()
	items := make([]currantloom.StoreItem, 0, len(r.items))
	for _, item := range r.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b currantloom.StoreItem) int { return strings.Compare(a.Key, b.Key) })
	return items
}

func (r *registry) replace(items []currantloom.StoreItem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.items)
	for _, item := range items {
		r.items[item.Key] = item
	}
}

// merge takes over items that are newer than the known ones, and returns these.
func (r *registry) merge(items []currantloom.StoreItem) []currantloom.StoreItem {
	r.mu.Lock()
	defer r.mu.Unlock()
	var newer []currantloom.StoreItem
	for _, item := range items {
		if known, ok := r.items[item.Key]; ok && known.Revision >= item.Revision {
			continue
		}
		if item.Deleted {
			delete(r.items, item.Key)
		} else {
			r.items[item.Key] = item
		}
		newer = append(newer, item)
	}
	return newer
}

// changes decodes items. What cannot be decoded names nothing to use.
func (r *registry) changes(items []currantloom.StoreItem, full bool, revision uint64) loomfleet.CatalogChanged {
	e := loomfleet.CatalogChanged{Stamp: r.node.stamp(), Snapshot: full, Revision: revision}
	for _, item := range items {
		switch name, isMember := strings.CutPrefix(item.Key, memberPrefix); {
		case isMember:
			r.addMember(&e, item, currantloom.VMName(name))
		case item.Key == dutyKey:
			r.addDuty(&e, item)
		default:
			r.addCatalog(&e, item)
		}
	}
	return e
}

func (r *registry) addMember(e *loomfleet.CatalogChanged, item currantloom.StoreItem, name currantloom.VMName) {
	change := loomfleet.MemberChange{
		VM:       currantloom.NewVM(name, currantloom.Location{}, "", "", currantloom.VMLive),
		Revision: item.Revision, Deleted: item.Deleted,
	}
	if !item.Deleted {
		var m memberRecord
		if err := json.Unmarshal(item.Value, &m); err != nil {
			r.ignored(item, err)
			return
		}
		place := currantloom.NewLocation(currantloom.Region(m.Region), currantloom.FailureDomain(m.Domain))
		change.VM = currantloom.NewVM(name, place, m.Address, "", currantloom.VMLive)
		change.Incarnation = m.Incarnation
	}
	e.Members = append(e.Members, change)
}

func (r *registry) addDuty(e *loomfleet.CatalogChanged, item currantloom.StoreItem) {
	change := loomfleet.FailoverLeaseChange{Revision: item.Revision, Deleted: item.Deleted}
	if !item.Deleted {
		var d dutyRecord
		if err := json.Unmarshal(item.Value, &d); err != nil {
			r.ignored(item, err)
			return
		}
		change.Holder, change.Incarnation = currantloom.VMName(d.Holder), d.Incarnation
	}
	e.FailoverLease = &change
}

func (r *registry) addCatalog(e *loomfleet.CatalogChanged, item currantloom.StoreItem) {
	if c, ok, err := r.node.config.Catalog.Configuration(item); err != nil {
		r.ignored(item, err)
		return
	} else if ok {
		e.Configuration = &c
		return
	}
	u, ok, err := r.node.config.Catalog.Upstream(item)
	if err != nil {
		r.ignored(item, err)
	}
	if ok {
		e.Upstreams = append(e.Upstreams, loomfleet.UpstreamChange{
			Upstream: u, Revision: item.Revision, Deleted: item.Deleted || err != nil,
		})
	}
}

func (r *registry) ignored(item currantloom.StoreItem, err error) {
	r.node.log.Enqueue(loomlog.Line{Event: "item", Warn: true, Fields: []any{
		"key", item.Key, "version", item.Revision, "reason", err, "outcome", "ignored",
	}})
}
