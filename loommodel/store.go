package loommodel

import (
	"slices"
	"strconv"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

const (
	// storeDelay is the one-way delay between a node and the store or the cloud API.
	storeDelay = 4 * time.Millisecond
	// storeTimeout is the time after which a node gives up a store call without a reply.
	storeTimeout = 1500 * time.Millisecond
	// A node renews its watch every watchInterval/4.
	watchInterval = time.Second
	// registrationLapse is how long the registration of an unresponsive upstream stays.
	registrationLapse = 3600 * time.Millisecond
)

// store is the platform's store. It holds the configuration, the registered upstreams, the registered nodes (members),
// and the failover lease.
type store struct {
	sim       *Simulation
	era       currantloom.StoreEra
	revision  uint64
	down      bool
	lastLease uint64
	// leaseEnds holds the expiry time of each lease.
	leaseEnds     map[uint64]time.Duration
	configuration currantloom.Configuration
	upstreams     map[string]loomfleet.UpstreamChange
	members       map[string]memberRecord
	failoverLease *failoverLeaseRecord
	changeRecord  loomfleet.ChangeRecord
	// missedChanges holds the nodes that may have missed a change and need a snapshot.
	missedChanges map[string]bool
	// lapsed holds the upstreams that cannot write their registrations.
	lapsed map[string]bool
	// copies are earlier states, the oldest first. See restore.go.
	copies []storeCopy
}

// memberRecord is the registration of a node and the lease that it depends on.
type memberRecord struct {
	change loomfleet.MemberChange
	lease  uint64
}

// failoverLeaseRecord is the key of the failover lease and the store lease that it depends on.
type failoverLeaseRecord struct {
	change loomfleet.FailoverLeaseChange
	lease  uint64
}

func newStore(sim *Simulation) *store {
	s := &store{
		sim: sim, era: 1, leaseEnds: make(map[uint64]time.Duration), upstreams: make(map[string]loomfleet.UpstreamChange),
		members: make(map[string]memberRecord), missedChanges: make(map[string]bool),
	}
	sim.after(100*time.Millisecond, s.expireLeases)
	sim.after(copyInterval, s.keepCopy)
	return s
}

// latencyTarget is the latency target of all routes.
const latencyTarget = time.Second

// policies are the read policies; each service has one route for each of them.
var policies = []currantloom.ReadPolicy{
	currantloom.ReadLatest, currantloom.ReadBoundedStaleness, currantloom.ReadYourWrites,
}

// databaseOf returns the database name of the route of a service with a read policy.
func databaseOf(serviceIndex int, policy currantloom.ReadPolicy) currantloom.DatabaseName {
	return currantloom.DatabaseName(policy.String() + "-" + strconv.Itoa(serviceIndex+1))
}

// configure writes the initial configuration and registers the upstreams.
func (s *store) configure(services int) {
	s.configuration = currantloom.Configuration{
		Version: 1, IdleTransactionTimeout: 3 * time.Second,
		Routes:   make(map[currantloom.DatabaseName]currantloom.Route),
		Services: make(map[currantloom.ServiceName]currantloom.Service),
	}
	for _, u := range s.sim.upstreams {
		name := u.service.name
		s.configuration.Services[name] = currantloom.Service{Name: name, Connections: u.maxConnections, SyncReplicas: 1}
		s.register(u)
	}
	for i := range services {
		for _, policy := range policies {
			name := databaseOf(i, policy)
			s.configuration.Routes[name] = currantloom.Route{
				Database: name, Service: s.sim.upstreams[i*len(locations)].service.name, ReadPolicy: policy, MaxAge: maxReadAge,
				Timeout: 800 * time.Millisecond, LatencyTarget: latencyTarget, Priority: 1,
			}
		}
	}
	s.revision++
}

// SetStoreDown makes the store unavailable, or available again.
func (sim *Simulation) SetStoreDown(down bool) {
	sim.store.down = down
	for _, n := range sim.nodes {
		sim.store.missedChanges[n.name] = true
	}
}

func (s *store) reachable(n *node) bool {
	return !s.down && s.sim.reaches(n.name, storeName) && s.sim.reaches(storeName, n.name)
}

// subscribe sends a node a snapshot of the store, and all changes after it.
func (s *store) subscribe(n *node) {
	s.missedChanges[n.name] = true
	s.watch(n, n.incarnation)
}

// watch tells a node whether the store is reachable, and sends it a snapshot if it may have missed a change.
func (s *store) watch(n *node, incarnation int) {
	if n.incarnation != incarnation || !n.alive {
		return
	}
	switch {
	case !s.reachable(n):
		s.missedChanges[n.name] = true
		n.deliver(storeTimeout, func() loomfleet.Event {
			return loomfleet.StoreWatchFailed{Stamp: n.stamp(), Reason: "no answer"}
		})
	case s.missedChanges[n.name]:
		s.missedChanges[n.name] = false
		s.sendSnapshot(n)
		n.deliver(storeDelay, func() loomfleet.Event { return loomfleet.StoreWatchSucceeded{Stamp: n.stamp()} })
	default:
		n.deliver(storeDelay, func() loomfleet.Event { return loomfleet.StoreWatchSucceeded{Stamp: n.stamp()} })
	}
	s.sim.after(watchInterval/4, func() { s.watch(n, incarnation) })
}

// sendSnapshot sends the whole content of the store to a node.
func (s *store) sendSnapshot(n *node) {
	configuration := s.configuration
	snapshot := loomfleet.CatalogChanged{Snapshot: true, Position: s.position(), Configuration: &configuration}
	for _, name := range sortedKeys(s.upstreams) {
		snapshot.Upstreams = append(snapshot.Upstreams, s.upstreams[name])
	}
	for _, name := range sortedKeys(s.members) {
		snapshot.Members = append(snapshot.Members, s.members[name].change)
	}
	if s.failoverLease != nil {
		change := s.failoverLease.change
		snapshot.FailoverLease = &change
	}
	record := s.changeRecord
	snapshot.ChangeRecord = &record
	n.deliver(storeDelay, func() loomfleet.Event {
		snapshot.Stamp = n.stamp()
		return snapshot
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

// position returns the current position of the store.
func (s *store) position() currantloom.StorePosition {
	return currantloom.NewStorePosition(s.era, s.revision)
}

// publish sends a change to all nodes that the store reaches.
func (s *store) publish(change loomfleet.CatalogChanged) {
	change.Position = s.position()
	for _, n := range s.sim.nodes {
		if !n.alive || s.missedChanges[n.name] {
			continue
		}
		if !s.reachable(n) {
			s.missedChanges[n.name] = true
			continue
		}
		n.deliver(storeDelay, func() loomfleet.Event {
			c := change
			c.Stamp = n.stamp()
			return c
		})
	}
}

// register writes the registration of an upstream, if it reaches the store.
func (s *store) register(u *upstream) {
	if s.lapsed[u.name] {
		return
	}
	s.revision++
	change := loomfleet.UpstreamChange{Position: s.position(), Upstream: currantloom.Upstream{
		Name: currantloom.UpstreamName(u.name), Service: u.service.name, Address: u.name, Location: u.location,
		Slots:    u.slots,
		Draining: u.draining, Primary: u.primary, Incarnation: u.incarnation, Sequence: u.nextReport(),
	}}
	s.upstreams[u.name] = change
	s.publish(loomfleet.CatalogChanged{Upstreams: []loomfleet.UpstreamChange{change}})
}

// deregister deletes the registration of an upstream.
func (s *store) deregister(name string, service *service) {
	if _, ok := s.upstreams[name]; !ok {
		return
	}
	s.revision++
	delete(s.upstreams, name)
	s.publish(loomfleet.CatalogChanged{Upstreams: []loomfleet.UpstreamChange{{
		Position: s.position(), Deleted: true, Upstream: currantloom.Upstream{
			Name: currantloom.UpstreamName(name), Service: service.name,
		},
	}}})
}

// Reconfigure writes the next version of the configuration.
func (sim *Simulation) Reconfigure() {
	if sim.store.down {
		return
	}
	c := sim.store.configuration
	c.Version++
	sim.store.configuration = c
	sim.store.revision++
	sim.store.publish(loomfleet.CatalogChanged{Configuration: &c})
}

// expireLeases removes the keys whose lease has expired. Leases are extended by the time the store is down.
func (s *store) expireLeases() {
	s.sim.after(100*time.Millisecond, s.expireLeases)
	if s.down {
		for lease := range s.leaseEnds {
			s.leaseEnds[lease] += 100 * time.Millisecond
		}
		return
	}
	for _, name := range sortedKeys(s.members) {
		if m := s.members[name]; s.leaseExpired(m.lease) {
			s.removeMember(name)
		}
	}
	if s.failoverLease != nil && s.leaseExpired(s.failoverLease.lease) {
		s.removeFailoverLease()
	}
}

func (s *store) leaseExpired(lease uint64) bool {
	end, ok := s.leaseEnds[lease]
	return !ok || s.sim.now >= end
}

func (s *store) removeMember(name string) {
	s.revision++
	change := s.members[name].change
	change.Deleted, change.Position = true, s.position()
	delete(s.members, name)
	s.publish(loomfleet.CatalogChanged{Members: []loomfleet.MemberChange{change}})
}

func (s *store) removeFailoverLease() {
	s.revision++
	s.failoverLease = nil
	change := loomfleet.FailoverLeaseChange{Deleted: true, Position: s.position()}
	s.publish(loomfleet.CatalogChanged{FailoverLease: &change})
}

// RevokeLeases ends a node's leases and removes its keys at once.
func (sim *Simulation) RevokeLeases(name string) {
	s := sim.store
	if m, ok := s.members[name]; ok {
		delete(s.leaseEnds, m.lease)
		s.removeMember(name)
	}
	if s.failoverLease != nil && string(s.failoverLease.change.Holder) == name {
		delete(s.leaseEnds, s.failoverLease.lease)
		s.removeFailoverLease()
	}
}

// FailoverLeaseHolder returns the name of the node that holds the failover lease, or an empty string if none does.
func (sim *Simulation) FailoverLeaseHolder() string {
	if sim.store.failoverLease == nil {
		return ""
	}
	return string(sim.store.failoverLease.change.Holder)
}

// call performs a node's store call. A call to an unreachable store, and one in 200 of the others, gets no reply. A
// call of an earlier era is carried out like any other, because the store does not know the era of a call.
func (s *store) call(n *node, e loomfleet.Effect) {
	if _, ok := e.(loomfleet.ProbeStore); ok {
		s.probe(n)
		return
	}
	id, era, operation := s.operationOf(n, e)
	if operation == nil {
		return
	}
	replyTimeout := func() {
		n.deliver(storeTimeout, func() loomfleet.Event {
			return loomfleet.StoreAnswered{Stamp: n.stamp(), Call: id, Result: loomfleet.StoreUnknown}
		})
	}
	incarnation := n.incarnation
	s.sim.after(storeDelay, func() {
		if !s.reachable(n) || n.incarnation != incarnation {
			replyTimeout()
			return
		}
		answer := operation()
		if s.sim.random.IntN(200) == 0 {
			replyTimeout()
			return
		}
		if era != s.era {
			answer = loomfleet.StoreAnswered{Result: loomfleet.StoreRestored, Era: s.era}
		}
		n.deliver(storeDelay, func() loomfleet.Event {
			answer.Stamp, answer.Call = n.stamp(), id
			return answer
		})
	})
}

// probe tells a node that the store is unavailable, if it does not reach the store.
func (s *store) probe(n *node) {
	if s.reachable(n) {
		return
	}
	n.deliver(storeTimeout, func() loomfleet.Event {
		return loomfleet.StoreWatchFailed{Stamp: n.stamp(), Reason: "no answer to a probe"}
	})
}

// operationOf returns the id and the era of a store call and the operation that performs it; nil if the effect is no
// store call.
func (s *store) operationOf(
	n *node, e loomfleet.Effect,
) (loomfleet.CallID, currantloom.StoreEra, func() loomfleet.StoreAnswered) {
	switch e := e.(type) {
	case loomfleet.StoreGrantLease:
		return e.Call, e.Era, func() loomfleet.StoreAnswered {
			s.lastLease++
			s.leaseEnds[s.lastLease] = s.sim.now + e.TTL
			lease := currantloom.NewStoreLease(s.era, s.lastLease)
			return loomfleet.StoreAnswered{Result: loomfleet.StoreSucceeded, Lease: lease}
		}
	case loomfleet.StoreRenewLease:
		return e.Call, e.Lease.Era(), func() loomfleet.StoreAnswered { return s.renew(e.Lease.Number()) }
	case loomfleet.StoreCommit:
		return e.Call, e.Txn.Lease.Era(), func() loomfleet.StoreAnswered { return s.commit(n, e.Txn) }
	default:
		return 0, 0, nil
	}
}

func (s *store) renew(lease uint64) loomfleet.StoreAnswered {
	if s.leaseExpired(lease) {
		return loomfleet.StoreAnswered{Result: loomfleet.StoreLeaseExpired}
	}
	ttl := 8 * time.Second
	if s.failoverLease != nil && s.failoverLease.lease == lease {
		ttl = 2 * time.Second
	}
	s.leaseEnds[lease] = s.sim.now + ttl
	return loomfleet.StoreAnswered{Result: loomfleet.StoreSucceeded}
}

// commit writes or deletes a node's registration or the failover lease, if the given store lease is valid.
func (s *store) commit(n *node, t loomfleet.StoreTxn) loomfleet.StoreAnswered {
	switch current := s.keyPosition(n, t.Kind); {
	case !t.Delete && s.leaseExpired(t.Lease.Number()):
		return loomfleet.StoreAnswered{Result: loomfleet.StoreLeaseExpired}
	case t.Conditional && current.Revision() != t.Expected.Revision():
		return loomfleet.StoreAnswered{Result: loomfleet.StoreConflict}
	case t.Delete && t.Kind == loomfleet.RegistrationMember:
		s.removeMember(n.name)
	case t.Delete:
		s.recordChanges(t)
		s.removeFailoverLease()
	case t.Kind == loomfleet.RegistrationMember:
		s.writeMember(n, t.Lease.Number())
	default:
		s.writeFailoverLease(n, t)
	}
	return loomfleet.StoreAnswered{Result: loomfleet.StoreSucceeded, Position: s.position()}
}

// keyPosition returns the position of a node's registration or of the failover lease; zero if the key does not exist.
func (s *store) keyPosition(n *node, kind loomfleet.RegistrationKind) currantloom.StorePosition {
	if kind == loomfleet.RegistrationMember {
		return s.members[n.name].change.Position
	}
	if s.failoverLease == nil {
		return currantloom.StorePosition{}
	}
	return s.failoverLease.change.Position
}

func (s *store) writeMember(n *node, lease uint64) {
	s.revision++
	change := loomfleet.MemberChange{
		VM:          currantloom.NewVM(currantloom.VMName(n.name), n.location, n.name, "", currantloom.VMLive),
		Incarnation: uint64(n.incarnation), Position: s.position(),
	}
	s.members[n.name] = memberRecord{change: change, lease: lease}
	s.publish(loomfleet.CatalogChanged{Members: []loomfleet.MemberChange{change}})
}

// writeFailoverLease writes the key of the failover lease, and with it the record of changes of primary.
func (s *store) writeFailoverLease(n *node, t loomfleet.StoreTxn) {
	s.revision++
	change := loomfleet.FailoverLeaseChange{
		Holder: currantloom.VMName(n.name), Incarnation: uint64(n.incarnation), Position: s.position(),
	}
	s.failoverLease = &failoverLeaseRecord{change: change, lease: t.Lease.Number()}
	published := loomfleet.CatalogChanged{FailoverLease: &change}
	s.publish(published)
	s.recordChanges(t)
}

// recordChanges writes the record of changes of primary, if the transaction does.
func (s *store) recordChanges(t loomfleet.StoreTxn) {
	if !t.RecordsChanges {
		return
	}
	s.changeRecord = loomfleet.ChangeRecord{Services: t.Changes, Position: s.position()}
	record := s.changeRecord
	s.publish(loomfleet.CatalogChanged{ChangeRecord: &record})
}

// cloud is the platform's API that promotes upstreams.
type cloud struct {
	sim *Simulation
	// fences holds the highest fence of an accepted promotion of each service.
	fences map[currantloom.ServiceName]uint64
	// delayedPercent is the percentage of promotion requests that are executed late and get no reply.
	delayedPercent int
}

// DelayPromotions makes the given percentage of promotion requests take effect 2 to 10 s later and get no reply.
func (sim *Simulation) DelayPromotions(percent int) { sim.cloud.delayedPercent = percent }

const (
	// PromotionTime is the time an upstream takes to become the primary, unless the options set another one.
	PromotionTime = 600 * time.Millisecond
	// promoteTimeout is the time after which a node gives up a promotion request without a reply.
	promoteTimeout = 800 * time.Millisecond
)

// promote performs a node's promotion request.
func (c *cloud) promote(n *node, e loomfleet.Promote) {
	sim := c.sim
	reply := func(d time.Duration, r currantloom.PromoteResult) {
		n.deliver(d, func() loomfleet.Event {
			return loomfleet.PromoteAnswered{Stamp: n.stamp(), Service: e.Service, PromotionID: e.PromotionID, Result: r}
		})
	}
	if !sim.reaches(n.name, cloudName) {
		reply(promoteTimeout, currantloom.PromoteUnknown)
		return
	}
	if sim.random.IntN(100) < c.delayedPercent {
		sim.after(2*time.Second+time.Duration(sim.random.Int64N(int64(8*time.Second))), func() { c.execute(e) })
		reply(promoteTimeout, currantloom.PromoteUnknown)
		return
	}
	sim.after(storeDelay, func() { reply(storeDelay, c.execute(e)) })
}

// execute refuses a request whose fence is lower than that of an accepted one, and promotes the upstream otherwise.
func (c *cloud) execute(e loomfleet.Promote) currantloom.PromoteResult {
	u := c.sim.upstream(string(e.Upstream))
	if e.Fence.Number() < c.fences[e.Service] || u == nil || !u.alive {
		return currantloom.PromoteRefused
	}
	c.fences[e.Service] = e.Fence.Number()
	// Whether the upstream leads already is judged when the promotion takes effect: another one may be on its way.
	c.sim.after(c.sim.options.PromotionTime, func() { u.promote() })
	return currantloom.PromoteAccepted
}
