package loommodel

import (
	"slices"
	"strconv"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

const (
	// storeDelay is the time of an answer of the store.
	storeDelay = 4 * time.Millisecond
	// storeTimeout is when a node gives up a call without an answer.
	storeTimeout = 1500 * time.Millisecond
	// watchInterval is how often a watch without changes is renewed.
	watchInterval = time.Second
	// entryLapse is how long the entry of a server that is silent stays.
	entryLapse = 3600 * time.Millisecond
)

// store is the platform's store: the configuration, the entries of the servers, and the keys of the nodes.
type store struct {
	world    *World
	revision uint64
	down     bool
	lease    uint64
	// ends holds the ends of the leases.
	ends          map[uint64]time.Duration
	configuration currantloom.Configuration
	upstreams     map[string]loomfleet.UpstreamChange
	members       map[string]memberItem
	duty          *dutyItem
	// lost notes which subscribers miss changes and need a full view.
	lost map[string]bool
}

type memberItem struct {
	change loomfleet.MemberChange
	lease  uint64
}

type dutyItem struct {
	change loomfleet.FailoverLeaseChange
	lease  uint64
}

func newStore(w *World) *store {
	s := &store{
		world: w, ends: make(map[uint64]time.Duration), upstreams: make(map[string]loomfleet.UpstreamChange),
		members: make(map[string]memberItem), lost: make(map[string]bool),
	}
	w.after(100*time.Millisecond, s.expire)
	return s
}

// policies are the routes of each service, one for each policy.
var policies = []currantloom.ReadPolicy{
	currantloom.ReadLatest, currantloom.ReadBoundedStaleness, currantloom.ReadYourWrites,
}

// databaseOf returns the name of the route of a service with a policy.
func databaseOf(service int, policy currantloom.ReadPolicy) currantloom.DatabaseName {
	return currantloom.DatabaseName(policy.String() + "-" + strconv.Itoa(service+1))
}

// configure writes the first configuration and the entries of the servers.
func (s *store) configure(services int) {
	s.configuration = currantloom.Configuration{
		Version: 1, IdleTransactionTimeout: 3 * time.Second,
		Routes:   make(map[currantloom.DatabaseName]currantloom.Route),
		Services: make(map[currantloom.ServiceName]currantloom.Service),
	}
	for _, sv := range s.world.servers {
		name := sv.group.name
		s.configuration.Services[name] = currantloom.Service{Name: name, Connections: sv.limit, SyncReplicas: 1}
		s.report(sv)
	}
	for i := range services {
		for _, policy := range policies {
			name := databaseOf(i, policy)
			s.configuration.Routes[name] = currantloom.Route{
				Database: name, Service: s.world.servers[i*len(places)].group.name, ReadPolicy: policy, MaxAge: maxAge,
				Timeout: 800 * time.Millisecond, LatencyTarget: time.Second, Priority: 1,
			}
		}
	}
	s.revision++
}

// SetStoreDown takes the store away, or brings it back.
func (w *World) SetStoreDown(down bool) {
	w.store.down = down
	for _, n := range w.nodes {
		w.store.lost[n.name] = true
	}
}

func (s *store) reachable(n *node) bool {
	return !s.down && s.world.reaches(n.name, storeName) && s.world.reaches(storeName, n.name)
}

// subscribe gives a node a full view, and the changes after it.
func (s *store) subscribe(n *node) {
	s.lost[n.name] = true
	s.watch(n, n.run)
}

func (s *store) watch(n *node, run int) {
	if n.run != run || !n.alive {
		return
	}
	switch {
	case !s.reachable(n):
		s.lost[n.name] = true
		n.post(storeTimeout, func() loomfleet.Event {
			return loomfleet.StoreWatchFailed{Stamp: n.stamp(), Reason: "no answer"}
		})
	case s.lost[n.name]:
		s.lost[n.name] = false
		s.view(n)
		n.post(storeDelay, func() loomfleet.Event { return loomfleet.StoreWatchSucceeded{Stamp: n.stamp()} })
	default:
		n.post(storeDelay, func() loomfleet.Event { return loomfleet.StoreWatchSucceeded{Stamp: n.stamp()} })
	}
	s.world.after(watchInterval/4, func() { s.watch(n, run) })
}

// view sends a full view.
func (s *store) view(n *node) {
	configuration := s.configuration
	view := loomfleet.CatalogChanged{Snapshot: true, Revision: s.revision, Configuration: &configuration}
	for _, name := range sortedKeys(s.upstreams) {
		view.Upstreams = append(view.Upstreams, s.upstreams[name])
	}
	for _, name := range sortedKeys(s.members) {
		view.Members = append(view.Members, s.members[name].change)
	}
	if s.duty != nil {
		change := s.duty.change
		view.FailoverLease = &change
	}
	n.post(storeDelay, func() loomfleet.Event {
		view.Stamp = n.stamp()
		return view
	})
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// publish sends a change to all nodes that watch.
func (s *store) publish(change loomfleet.CatalogChanged) {
	for _, n := range s.world.nodes {
		if !n.alive || s.lost[n.name] {
			continue
		}
		if !s.reachable(n) {
			s.lost[n.name] = true
			continue
		}
		n.post(storeDelay, func() loomfleet.Event {
			c := change
			c.Stamp = n.stamp()
			return c
		})
	}
}

// report writes the entry of a server.
func (s *store) report(sv *server) {
	s.revision++
	change := loomfleet.UpstreamChange{Revision: s.revision, Upstream: currantloom.Upstream{
		Name: currantloom.UpstreamName(sv.name), Service: sv.group.name, Address: sv.name, Location: sv.place,
		Slots:    sv.slots,
		Draining: sv.draining, Primary: sv.primary, Incarnation: sv.born,
	}}
	s.upstreams[sv.name] = change
	s.publish(loomfleet.CatalogChanged{Upstreams: []loomfleet.UpstreamChange{change}})
}

// remove deletes the entry of a server that has been silent.
func (s *store) remove(sv *server) {
	if _, ok := s.upstreams[sv.name]; !ok {
		return
	}
	s.revision++
	delete(s.upstreams, sv.name)
	s.publish(loomfleet.CatalogChanged{Upstreams: []loomfleet.UpstreamChange{{
		Revision: s.revision, Deleted: true, Upstream: currantloom.Upstream{
			Name: currantloom.UpstreamName(sv.name), Service: sv.group.name,
		},
	}}})
}

// Reconfigure writes the next version of the configuration.
func (w *World) Reconfigure() {
	if w.store.down {
		return
	}
	c := w.store.configuration
	c.Version++
	w.store.configuration = c
	w.store.revision++
	w.store.publish(loomfleet.CatalogChanged{Configuration: &c})
}

// expire ends leases whose time is over; while the store is down time stands still for them.
func (s *store) expire() {
	s.world.after(100*time.Millisecond, s.expire)
	if s.down {
		for lease := range s.ends {
			s.ends[lease] += 100 * time.Millisecond
		}
		return
	}
	for _, name := range sortedKeys(s.members) {
		if m := s.members[name]; s.isOver(m.lease) {
			s.removeMember(name)
		}
	}
	if s.duty != nil && s.isOver(s.duty.lease) {
		s.removeDuty()
	}
}

func (s *store) isOver(lease uint64) bool {
	end, ok := s.ends[lease]
	return !ok || s.world.now >= end
}

func (s *store) removeMember(name string) {
	s.revision++
	change := s.members[name].change
	change.Deleted, change.Revision = true, s.revision
	delete(s.members, name)
	s.publish(loomfleet.CatalogChanged{Members: []loomfleet.MemberChange{change}})
}

func (s *store) removeDuty() {
	s.revision++
	s.duty = nil
	s.publish(loomfleet.CatalogChanged{FailoverLease: &loomfleet.FailoverLeaseChange{Deleted: true, Revision: s.revision}})
}

// RevokeLeases takes a node's keys away at once.
func (w *World) RevokeLeases(name string) {
	s := w.store
	if m, ok := s.members[name]; ok {
		delete(s.ends, m.lease)
		s.removeMember(name)
	}
	if s.duty != nil && string(s.duty.change.Holder) == name {
		delete(s.ends, s.duty.lease)
		s.removeDuty()
	}
}

// FailoverLeaseHolder returns the name of the node that holds the duty.
func (w *World) FailoverLeaseHolder() string {
	if w.store.duty == nil {
		return ""
	}
	return string(w.store.duty.change.Holder)
}

// perform carries out a node's call. A call into a cut has no answer.
func (s *store) perform(n *node, e loomfleet.Effect) {
	id, call := s.decode(n, e)
	if call == nil {
		return
	}
	unanswered := func() {
		n.post(storeTimeout, func() loomfleet.Event {
			return loomfleet.StoreAnswered{Stamp: n.stamp(), Call: id, Result: loomfleet.StoreUnknown}
		})
	}
	run := n.run
	s.world.after(storeDelay, func() {
		if !s.reachable(n) || n.run != run {
			unanswered()
			return
		}
		result, value := call()
		if s.world.random.IntN(200) == 0 {
			unanswered()
			return
		}
		n.post(storeDelay, func() loomfleet.Event {
			return loomfleet.StoreAnswered{Stamp: n.stamp(), Call: id, Result: result, Value: value}
		})
	})
}

// decode returns what a call does.
func (s *store) decode(n *node, e loomfleet.Effect) (loomfleet.CallID, func() (loomfleet.StoreResult, uint64)) {
	switch e := e.(type) {
	case loomfleet.StoreGrantLease:
		return e.Call, func() (loomfleet.StoreResult, uint64) {
			s.lease++
			s.ends[s.lease] = s.world.now + e.TTL
			return loomfleet.StoreSucceeded, s.lease
		}
	case loomfleet.StoreRenewLease:
		return e.Call, func() (loomfleet.StoreResult, uint64) {
			if s.isOver(e.Lease) {
				return loomfleet.StoreLeaseExpired, 0
			}
			ttl := 8 * time.Second
			if s.duty != nil && s.duty.lease == e.Lease {
				ttl = 2 * time.Second
			}
			s.ends[e.Lease] = s.world.now + ttl
			return loomfleet.StoreSucceeded, e.Lease
		}
	case loomfleet.StoreRevokeLease:
		return 0, func() (loomfleet.StoreResult, uint64) {
			delete(s.ends, e.Lease)
			return loomfleet.StoreSucceeded, 0
		}
	case loomfleet.StoreCommit:
		return e.Call, func() (loomfleet.StoreResult, uint64) { return s.commit(n, e.Txn) }
	default:
		return 0, nil
	}
}

func (s *store) commit(n *node, t loomfleet.StoreTxn) (loomfleet.StoreResult, uint64) {
	if s.isOver(t.Lease) {
		return loomfleet.StoreLeaseExpired, 0
	}
	if t.Kind == loomfleet.RegistrationMember {
		s.revision++
		change := loomfleet.MemberChange{
			VM:          currantloom.NewVM(currantloom.VMName(n.name), n.place, n.name, "", currantloom.VMLive),
			Incarnation: uint64(n.run), Revision: s.revision,
		}
		s.members[n.name] = memberItem{change: change, lease: t.Lease}
		s.publish(loomfleet.CatalogChanged{Members: []loomfleet.MemberChange{change}})
		return loomfleet.StoreSucceeded, s.revision
	}
	var held uint64
	if s.duty != nil {
		held = s.duty.change.Revision
	}
	if t.Conditional && held != t.ExpectedRevision {
		return loomfleet.StoreConflict, 0
	}
	s.revision++
	change := loomfleet.FailoverLeaseChange{
		Holder: currantloom.VMName(n.name), Incarnation: uint64(n.run), Revision: s.revision,
	}
	s.duty = &dutyItem{change: change, lease: t.Lease}
	s.publish(loomfleet.CatalogChanged{FailoverLease: &change})
	return loomfleet.StoreSucceeded, s.revision
}

// cloud carries out changes of primary.
type cloud struct {
	world  *World
	fences map[currantloom.ServiceName]uint64
	// LoseAnswers is the share of calls, in percent, that are carried out late and not answered.
	loseAnswers int
}

// DelayPromotions lets the share of orders, in percent, be carried out seconds late, without an answer.
func (w *World) DelayPromotions(percent int) { w.cloud.loseAnswers = percent }

const (
	promoteDelay = 600 * time.Millisecond
	orderTimeout = 800 * time.Millisecond
)

func (c *cloud) promote(n *node, e loomfleet.Promote) {
	w := c.world
	answer := func(d time.Duration, r currantloom.PromoteResult) {
		n.post(d, func() loomfleet.Event {
			return loomfleet.PromoteAnswered{Stamp: n.stamp(), Service: e.Service, PromotionID: e.PromotionID, Result: r}
		})
	}
	if !w.reaches(n.name, cloudName) {
		answer(orderTimeout, currantloom.PromoteUnknown)
		return
	}
	if w.random.IntN(100) < c.loseAnswers {
		w.after(2*time.Second+time.Duration(w.random.Int64N(int64(8*time.Second))), func() { c.carryOut(e) })
		answer(orderTimeout, currantloom.PromoteUnknown)
		return
	}
	w.after(storeDelay, func() { answer(storeDelay, c.carryOut(e)) })
}

// carryOut checks the fence and promotes the server.
func (c *cloud) carryOut(e loomfleet.Promote) currantloom.PromoteResult {
	sv := c.world.server(string(e.Upstream))
	if e.Fence < c.fences[e.Service] || sv == nil || !sv.alive {
		return currantloom.PromoteRefused
	}
	c.fences[e.Service] = e.Fence
	if !sv.primary {
		c.world.after(promoteDelay, func() { sv.lead() })
	}
	return currantloom.PromoteAccepted
}
