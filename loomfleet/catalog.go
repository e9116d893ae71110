package loomfleet

import (
	"slices"
	"strings"
	"time"

	"currantloom.example/currantloom"
)

const (
	// deletionGrace is how long an upstream is still used after its registration vanished without a drain: registrations
	// that expired during an outage of the store are back within 2 s of its return.
	deletionGrace = 2500 * time.Millisecond
	// forgetUpstreamAfter is how long a deleted upstream keeps its connections and its place in the group, unless a node
	// still reaches it.
	forgetUpstreamAfter = 10 * time.Second
	// maxLeaseWait is how long a node that could serve reads waits for its first commit lease before it is ready: a fleet
	// that starts has a holder of the failover lease after settleTime.
	maxLeaseWait = 1500 * time.Millisecond
	// notPrimaryTTL is how long an upstream that refused to act as primary is not tried as primary only because its
	// registration says so.
	notPrimaryTTL = 400 * time.Millisecond
)

// catalog is this node's view of the configuration and the upstreams.
type catalog struct {
	configuration *currantloom.Configuration
	upstreams     map[currantloom.UpstreamName]*upstream
	groups        map[currantloom.ServiceName]*group
	// sortedGroups holds the groups sorted by name, so that the order of effects is deterministic.
	sortedGroups []*group
	// ready says that the node accepts sessions, servableSince is when it had all that it needs for reads; zero if never.
	ready         bool
	servableSince time.Duration
	// hasSnapshot says that a complete snapshot of the store was received. era is the era of the store that the catalog
	// was read in.
	hasSnapshot bool
	era         currantloom.StoreEra
	check       configurationCheck
	proof       configurationProof
	// The following are used when the store comes back from a copy, see restore.go. restoring says that registrations may
	// still be missing.
	departed  map[currantloom.UpstreamName]departedUpstream
	returned  map[currantloom.UpstreamName]returnedUpstream
	restoring bool
	// storeFirstReachedAt and storeReachedAt are when the watch on the store first and last succeeded, zero if it never
	// did; storeUnavailable says that it has failed since.
	storeFirstReachedAt, storeReachedAt time.Duration
	storeUnavailable                    bool
	// storeRegainedAt is when the store was last reached again after that.
	storeRegainedAt time.Duration
}

func (c *catalog) init() {
	c.upstreams = make(map[currantloom.UpstreamName]*upstream)
	c.groups = make(map[currantloom.ServiceName]*group)
	c.departed = make(map[currantloom.UpstreamName]departedUpstream)
	c.returned = make(map[currantloom.UpstreamName]returnedUpstream)
}

// upstream is a registered upstream of a service.
type upstream struct {
	currantloom.Upstream
	group *group
	// storePosition is the position of the registration in the store. missingSince is when a store that came back from a
	// copy turned out not to have the registration; zero if it has it.
	storePosition currantloom.StorePosition
	missingSince  time.Duration
	drain         drain
	// deletedAt is when this node learnt that the registration was deleted; zero if it was not.
	deletedAt time.Duration
	// graceRestarted says that deletionGrace was restarted since, because the store was unavailable.
	graceRestarted bool
	// notPrimaryAt is when the upstream last refused to act as primary.
	notPrimaryAt time.Duration
	// ledTerm is the newest term in which the upstream was proven to lead; zero if it was not.
	ledTerm currantloom.Term
	// avoidOwnerUntil holds the VMs that could not reach the upstream, each with the time until which it is not chosen
	// as owner.
	avoidOwnerUntil map[currantloom.VMName]time.Duration
	// position is the last known end of the upstream's log, queueWait is the expected wait in its queue; each has the
	// time at which it was observed. owners is the cached result of ownerCandidates.
	position   currantloom.LogPosition
	positionAt time.Duration
	// catchUpProbedAt is when this node last sent a read to the upstream although it was known to be behind.
	catchUpProbedAt time.Duration
	// laggedAt is when the upstream's log was last found to be behind, see group.lags.
	laggedAt time.Duration
	// announced is the position of which this node, as the owner of the primary, has told the nodes with waiting reads.
	announced   currantloom.LogPosition
	refusedRead refusedRead
	queueWait   time.Duration
	queueWaitAt time.Duration
	slowUntil   time.Duration
	load        knownLoad
	// refusals counts the calls that this node refused as the owner or on its behalf, refusalReports holds the owner's.
	refusals       refusalStats
	refusalReports map[refusalKey]refusalReport
	owners         []currantloom.VMName
	ownersEpoch    uint64
}

// isUsable reports whether the upstream may get new work.
func (u *upstream) isUsable(s *State) bool {
	if u.deletedAt > 0 && s.now-u.deletedAt > deletionGrace && !s.catalog.storeUnavailable {
		return false
	}
	return !u.isDrained(s)
}

// hasLapsed reports whether the registration was deleted without a drain. The upstream may be alive and hold commits,
// so its owner keeps connecting to it until it is forgotten.
func (u *upstream) hasLapsed() bool { return u.deletedAt > 0 && !u.drain.isOn() }

// isTerminating reports whether the upstream is draining or its registration was deleted. It gets new work only if
// there is no other upstream.
func (u *upstream) isTerminating() bool { return u.drain.isOn() || u.deletedAt > 0 }

func (s *State) handleCatalogChange(e CatalogChanged) {
	era := e.Position.Era()
	if !e.Position.IsZero() && era < s.storeEra {
		s.log(Decision{Event: "store_era", Version: uint64(era), Reason: "changes of an earlier era", Outcome: "dropped"})
		return
	}
	s.enterStoreEra(era)
	restored := e.Snapshot && s.catalog.isOfEarlierEra(era)
	if e.Configuration != nil {
		s.applyConfiguration(*e.Configuration, e.From)
	}
	if restored {
		s.applyRestoredSnapshot(e)
	} else {
		s.applyChanges(e)
	}
	s.catalog.era = max(s.catalog.era, era)
	s.catalog.hasSnapshot = s.catalog.hasSnapshot || e.Snapshot
	switch {
	case e.ChangeRecord != nil:
		s.coordinator.record.observe(*e.ChangeRecord)
	case e.Snapshot:
		s.coordinator.record.observe(ChangeRecord{Position: e.Position})
	}
	if e.FailoverLease != nil {
		s.coordinator.handleLeaseChange(s, *e.FailoverLease)
	} else if e.Snapshot {
		s.coordinator.handleLeaseChange(s, FailoverLeaseChange{Deleted: true, Position: e.Position})
	}
	s.updateReadiness()
	s.processStartups()
	s.retryParkedRequests()
}

// applyChanges applies the changes of upstreams and members. What a snapshot lacks is marked as deleted.
func (s *State) applyChanges(e CatalogChanged) {
	c := &s.catalog
	present := make(map[currantloom.UpstreamName]bool)
	for _, change := range e.Upstreams {
		present[change.Upstream.Name] = !change.Deleted
		s.applyUpstreamChange(change)
	}
	members := make(map[currantloom.VMName]bool)
	for _, change := range e.Members {
		members[change.VM.Name()] = !change.Deleted
		s.applyMemberChange(change)
	}
	if !e.Snapshot {
		return
	}
	for _, name := range c.upstreamNames() {
		if !present[name] {
			s.markUpstreamDeleted(c.upstreams[name])
		}
	}
	s.members.markAbsent(s, members, e.Position)
}

// updateReadiness reports the node ready once it knows the configuration and at least one upstream, and may acknowledge
// commits. It waits for that for maxLeaseWait at most, because reads need no lease.
func (s *State) updateReadiness() {
	c := &s.catalog
	if c.ready || s.shutdown.requested || c.configuration == nil || len(c.upstreams) == 0 || !s.isConfigurationCurrent() {
		return
	}
	if c.servableSince == 0 {
		c.servableSince = max(s.now, 1)
	}
	if s.awaitsFirstLease() {
		return
	}
	c.ready = true
	s.log(Decision{Event: "ready", Version: c.configuration.Version, Outcome: "ready"})
	s.emit(SetReady{Ready: true})
}

// awaitsFirstLease reports whether the node could serve reads and still waits for its first commit lease.
func (s *State) awaitsFirstLease() bool {
	c := &s.catalog
	return !c.ready && !s.shutdown.requested && !s.grant.isFresh(s.now) &&
		c.servableSince > 0 && s.now-c.servableSince < maxLeaseWait
}

// applyConfiguration puts a configuration into effect, unless it is no newer than the one in effect. From is the node
// that passed it on; empty if this node has read it from the store.
func (s *State) applyConfiguration(c currantloom.Configuration, from currantloom.VMName) {
	old := s.catalog.configuration
	if old != nil && c.Version <= old.Version {
		return
	}
	s.catalog.configuration = &c
	s.catalog.check.clearBehind()
	s.log(Decision{
		Event: "configuration", VM: from, Version: c.Version, Age: s.configurationProofAge(), Outcome: "in_force",
	})
	s.logFindings(c)
	s.revokeSessions(old)
}

// upstreamNames returns the names of the known upstreams, sorted.
func (c *catalog) upstreamNames() []currantloom.UpstreamName {
	names := make([]currantloom.UpstreamName, 0, len(c.upstreams))
	for name := range c.upstreams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *State) applyUpstreamChange(e UpstreamChange) {
	c := &s.catalog
	delete(c.returned, e.Upstream.Name)
	u, exists := c.upstreams[e.Upstream.Name]
	if e.Deleted {
		if exists && e.Position.After(u.storePosition) {
			u.storePosition = e.Position
			s.markUpstreamDeleted(u)
		}
		return
	}
	if exists && (u.storePosition.After(e.Position) || e.Position == u.storePosition && u.deletedAt == 0) {
		return
	}
	if exists && (u.Incarnation != e.Upstream.Incarnation || u.Address != e.Upstream.Address ||
		u.Service != e.Upstream.Service) {
		s.log(Decision{
			Event: "upstream", Upstream: u.Name, Service: u.Service, Version: e.Position.Revision(), Outcome: "restarted",
		})
		u.group.logLostAt = max(s.now, 1)
		s.forgetUpstream(u)
		exists = false
	}
	if !exists {
		u = &upstream{avoidOwnerUntil: make(map[currantloom.VMName]time.Duration), group: s.groupOf(e.Upstream.Service)}
		c.upstreams[e.Upstream.Name] = u
		u.group.add(u)
	}
	s.updateUpstream(u, e)
}

// updateUpstream applies a change to a known upstream.
func (s *State) updateUpstream(u *upstream, e UpstreamChange) {
	before := u.Upstream
	before.Sequence = e.Upstream.Sequence
	u.Upstream, u.storePosition, u.deletedAt, u.missingSince = e.Upstream, e.Position, 0, 0
	switch {
	case !e.Upstream.Draining:
		u.drain = drain{}
	case !u.drain.isOn():
		u.drain.begin(s.now, before.Name == "")
	}
	if before != u.Upstream {
		s.log(Decision{
			Event: "upstream", Upstream: u.Name, Service: u.Service, Version: u.storePosition.Revision(),
			Outcome: upstreamOutcome(u.Upstream),
		})
	}
	if u.Primary && !before.Primary {
		u.group.acceptHint(s, u)
	}
}

// upstreamOutcome returns the role of an upstream as logs show it, such as "replica_draining".
func upstreamOutcome(u currantloom.Upstream) string {
	words := []string{"replica"}
	if u.Primary {
		words[0] = "primary"
	}
	if u.Draining {
		words = append(words, "draining")
	}
	return strings.Join(words, "_")
}

// markUpstreamDeleted records that the registration of an upstream was deleted.
func (s *State) markUpstreamDeleted(u *upstream) {
	if u.deletedAt > 0 {
		return
	}
	u.deletedAt, u.graceRestarted = max(s.now, 1), false
	u.group.logLostAt = u.deletedAt
	s.log(Decision{
		Event: "upstream", Upstream: u.Name, Service: u.Service, Version: u.storePosition.Revision(), Outcome: "gone",
	})
}

// forgetUpstream removes an upstream and closes its connections.
func (s *State) forgetUpstream(u *upstream) {
	s.closePool(u.Name)
	u.group.remove(u)
	delete(s.catalog.upstreams, u.Name)
}

func (s *State) handleStoreWatchSucceeded(e StoreWatchSucceeded) {
	c := &s.catalog
	s.recordConfigurationProof(e)
	if c.storeUnavailable {
		s.log(Decision{Event: "store", Outcome: "regained", Age: s.now - c.storeReachedAt})
		s.catalog.restartDeletionGrace(s.now)
		c.storeRegainedAt = s.now
	}
	c.storeUnavailable, c.storeReachedAt = false, s.now
	if c.storeFirstReachedAt == 0 {
		c.storeFirstReachedAt = max(s.now, 1)
		// What was acknowledged before this process started, and by VMs that it does not know, is not reported to it.
		s.unreported.add(c.storeFirstReachedAt + commitLeaseDuration)
	}
}

// mayLackRegistrations reports whether registrations that expired during an outage of the store may be missing without
// this process knowing of them: it has reached the store for the first time, and the outage may have ended just before.
func (c *catalog) mayLackRegistrations(now time.Duration) bool {
	return c.storeFirstReachedAt == 0 || now-c.storeFirstReachedAt < deletionGrace
}

// restartDeletionGrace restarts the grace of registrations that vanished while the store was unavailable, and once that
// of those whose grace had not ended before: upstreams cannot register during an outage. A store that fails again and
// again only suspends the grace, so that an upstream that is gone does not count for ever.
func (c *catalog) restartDeletionGrace(now time.Duration) {
	for _, u := range c.upstreams {
		switch {
		case u.deletedAt == 0:
		case c.storeReachedAt-u.deletedAt > deletionGrace:
			u.deletedAt += now - c.storeReachedAt
		case u.deletedAt >= c.storeReachedAt || !u.graceRestarted:
			u.deletedAt, u.graceRestarted = now, true
		default:
			u.deletedAt += now - c.storeReachedAt
		}
		if u.missingSince > 0 {
			u.missingSince = now
		}
	}
}

func (s *State) handleStoreWatchFailed(e StoreWatchFailed) {
	if !s.catalog.storeUnavailable {
		s.log(Decision{Event: "store", Outcome: "lost", Reason: e.Reason, Age: s.now - s.catalog.storeReachedAt})
	}
	s.catalog.storeUnavailable = true
}

// tickCatalog forgets upstreams that have been deleted for long, and completes the return of the store from a copy.
func (s *State) tickCatalog() {
	s.updateReadiness()
	s.checkConfigurationProof()
	for _, name := range s.catalog.upstreamNames() {
		u := s.catalog.upstreams[name]
		if u.isRemoved(s) && !s.catalog.storeUnavailable && s.now-u.deletedAt > forgetUpstreamAfter {
			s.catalog.departed[name] = departedUpstream{incarnation: u.Incarnation, at: s.now}
			s.catalog.restoring = true
			s.forgetUpstream(u)
		}
	}
	s.tickRestoredCatalog()
}

// route returns the route of a database.
func (s *State) route(database currantloom.DatabaseName) (currantloom.Route, bool) {
	if s.catalog.configuration == nil {
		return currantloom.Route{}, false
	}
	r, ok := s.catalog.configuration.Routes[database]
	return r, ok
}

// service returns the description of a service. An unknown service gets the defaults of a replicated database.
func (s *State) service(name currantloom.ServiceName) currantloom.Service {
	if s.catalog.configuration != nil {
		if service, ok := s.catalog.configuration.Services[name]; ok {
			return service
		}
	}
	return currantloom.Service{Name: name, Connections: 8, SyncReplicas: 1}
}

// idleTransactionTimeout returns how long a transaction may be idle.
func (s *State) idleTransactionTimeout() time.Duration {
	if s.catalog.configuration != nil && s.catalog.configuration.IdleTransactionTimeout > 0 {
		return s.catalog.configuration.IdleTransactionTimeout
	}
	return 3 * time.Second
}
