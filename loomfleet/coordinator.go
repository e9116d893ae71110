package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// memberLeaseTTL is the time to live of a node's registration.
	memberLeaseTTL = 12 * time.Second
	// failoverLeaseTTL is the time to live of the failover lease. A dead holder is replaced after it.
	failoverLeaseTTL = 2 * time.Second
	// memberLeaseRenewals and failoverLeaseRenewals are how often a lease is renewed within its time to live. With two
	// renewals in 12 s, seconds remain to retry a failed renewal of a member lease.
	memberLeaseRenewals, failoverLeaseRenewals = 2, 3
	// campaignDelay staggers the nodes that want the failover lease, so that usually only one of them asks for it.
	campaignDelay = 150 * time.Millisecond
	// settleTime is how long a node observes the fleet before it claims the failover lease, and before it acts again
	// after a pause of the process.
	settleTime = time.Second
)

// coordinator holds the failover lease, if this node has it, and the failovers that its holder runs. It also maintains
// the node's own keys in the store.
type coordinator struct {
	memberKey registration
	leaseKey  registration
	holder    leaseHolder
	// previousHolder is the last node that held the lease; empty if none did yet.
	// replacedHolder is the one before this node.
	previousHolder, replacedHolder currantloom.VMName
	// failovers are the failovers in progress, by service.
	failovers map[currantloom.ServiceName]*failover
	// promotions holds the requests for promotion that this node has sent, or heard announced, by service.
	promotions map[currantloom.ServiceName]*promotions
	// record holds the changes of primary that may have been requested, pauseQuestions finds those that it lacks.
	record         changeRecord
	pauseQuestions pauseQuestions
	// grants are the commit leases that this node has given as the holder.
	grants    leaseGrants
	lastFence currantloom.Fence
	// tookOverAt is when this node took the failover lease over from another one; zero if it did not.
	tookOverAt      time.Duration
	lastPromotionID uint64
	// acting says that this node may run failovers, actingSince is since when.
	acting      bool
	actingSince time.Duration
}

func (c *coordinator) init(s *State) {
	c.memberKey = newRegistration(RegistrationMember, max(memberLeaseTTL, s.config.MinLeaseTTL), memberLeaseRenewals)
	c.leaseKey = newRegistration(
		RegistrationFailoverLease, max(failoverLeaseTTL, s.config.MinLeaseTTL), failoverLeaseRenewals,
	)
	c.failovers = make(map[currantloom.ServiceName]*failover)
	c.promotions = make(map[currantloom.ServiceName]*promotions)
}

// handleLeaseChange records what the store says about the failover lease.
func (c *coordinator) handleLeaseChange(s *State, e FailoverLeaseChange) {
	if !e.Position.IsZero() && c.holder.position.After(e.Position) {
		return
	}
	before := c.holder
	if e.Deleted {
		if before.name != "" || before.vacantSince == 0 {
			c.holder = leaseHolder{position: e.Position, vacantSince: max(s.now, 1)}
		}
	} else {
		c.holder = leaseHolder{name: e.Holder, incarnation: e.Incarnation, position: e.Position}
	}
	if !e.Deleted && e.Holder == "" {
		c.holder.malformed, c.holder.vacantSince = true, max(s.now, 1)
	}
	r := &c.leaseKey
	switch {
	case c.isHolder(s):
		if !r.lease.IsZero() && e.Position.After(r.position) {
			r.position = e.Position
			r.endPendingWrite()
		}
	case !r.position.IsZero() && r.pendingKind != pendingWrite && e.Position.After(r.position):
		r.position = currantloom.StorePosition{}
	}
	if c.isHolder(s) && (before.name != s.config.Self || before.incarnation != s.config.Incarnation) {
		c.takeOver(s)
	}
	if c.holder.name != "" {
		c.previousHolder = c.holder.name
	}
	if before.name != c.holder.name {
		s.log(Decision{Event: "duty", VM: c.holder.name, Version: c.holder.position.Revision(), Outcome: "holder"})
	}
}

// takeOver records that this node has become the holder of the failover lease, and what earlier holders may have left
// under way.
func (c *coordinator) takeOver(s *State) {
	c.replacedHolder = c.previousHolder
	if c.previousHolder != "" && c.previousHolder != s.config.Self {
		c.tookOverAt = s.now
	}
	c.record.inherit()
	c.inheritPaused(s)
	for _, service := range c.record.inheritedServices() {
		s.log(Decision{
			Event: "duty", Service: service, Reason: reasonUnsettled, Version: c.holder.position.Revision(),
			Outcome: "inherited",
		})
	}
}

func (c *coordinator) handleStoreAnswer(s *State, e StoreAnswered) {
	if e.Result == StoreRestored {
		s.enterStoreEra(e.Era)
		return
	}
	if c.memberKey.handleAnswer(s, e) {
		return
	}
	expected := c.leaseKey.pendingExpected
	if e.Call == c.record.writtenBy && e.Result == StoreSucceeded {
		c.record.observe(ChangeRecord{Services: c.record.written, Position: e.Position})
	}
	if c.leaseKey.handleAnswer(s, e) && e.Result == StoreConflict && c.isHolder(s) && c.holder.position.After(expected) {
		// An earlier write that got no answer took effect.
		c.leaseKey.position = c.holder.position
	}
}

// isHolder reports whether the store names this run of the node as the holder of the failover lease.
func (c *coordinator) isHolder(s *State) bool {
	return c.holder.name == s.config.Self && c.holder.incarnation == s.config.Incarnation
}

// tick maintains the node's keys, and claims the failover lease when it is vacant.
func (c *coordinator) tick(s *State) {
	c.tickMemberKey(s)
	c.tickLeaseKey(s)
	acting := c.isActing(s)
	if acting != c.acting {
		c.acting = acting
		outcome := "stopped"
		if acting {
			c.actingSince = s.now
			outcome = "acting"
			s.pingAnswering()
		}
		s.log(Decision{Event: "duty", VM: s.config.Self, Version: c.leaseKey.position.Revision(), Outcome: outcome})
	}
}

func (c *coordinator) tickLeaseKey(s *State) {
	r := &c.leaseKey
	r.giveUpLateRenewal(s.now)
	if !r.canCall(s.now) {
		return
	}
	switch {
	case !r.position.IsZero() && (c.record.isOutdated(c.changes(s)) || c.lacksRequest(s)):
		c.rewriteLeaseKey(s)
	case !r.position.IsZero():
		r.renewIfDue(s)
	case s.shutdown.requested:
	case !c.shouldCampaign(s) && !c.isNamedWithoutLease(s):
	case r.lease.IsZero() || s.now >= r.validUntil-r.ttl/3:
		r.requestLease(s)
	case c.isNamedWithoutLease(s):
		r.write(s, true, c.holder.position)
	case c.holder.malformed:
		r.write(s, true, c.holder.position)
	default:
		r.write(s, true, currantloom.StorePosition{})
	}
}

// isNamedWithoutLease reports whether the store names this run of the node as the holder although the node does not
// hold the key: the store came back from a copy in which it did, under a lease that this node has dropped. No other
// node may claim the key meanwhile.
func (c *coordinator) isNamedWithoutLease(s *State) bool {
	return c.isHolder(s) && c.leaseKey.position.IsZero()
}

// shouldCampaign reports whether this node should claim the failover lease now.
func (c *coordinator) shouldCampaign(s *State) bool {
	if c.holder.name != "" || c.holder.vacantSince == 0 || s.now < settleTime {
		return false
	}
	if s.catalog.storeUnavailable || s.catalog.configuration == nil {
		return false
	}
	return s.now-c.holder.vacantSince >= time.Duration(c.campaignRank(s))*campaignDelay
}

// campaignRank is the number of VMs that claim the failover lease before this one. It counts all registered VMs that
// are not known to fail: in a large fleet a node has pinged only some of them, and all others would claim at once.
func (c *coordinator) campaignRank(s *State) int {
	own := rendezvousWeight(s.config.Self, "")
	rank := 0
	for _, m := range s.members.sorted {
		if m.deletedAt == 0 && s.isEligibleOwner(m.vm.Name()) && rendezvousWeight(m.vm.Name(), "") > own {
			rank++
		}
	}
	return rank
}

// isActing reports whether this node may run failovers: it holds the failover lease, and its copy of the store is new
// enough to show that, so that it also shows what earlier holders have recorded. While no VM reaches the store, nobody
// else can have acquired the lease, so the last holder continues; a later holder has a higher fence.
func (c *coordinator) isActing(s *State) bool {
	if c.leaseKey.position.IsZero() || !c.isHolder(s) ||
		s.now-s.resumedAt < settleTime && s.resumedAt > 0 {
		return false
	}
	return c.leaseKey.isHeld(s.now) || s.isStoreDownForAll()
}

// changes returns the services whose primary a request of this holder or of an earlier one may change, sorted.
func (c *coordinator) changes(s *State) []currantloom.ServiceName {
	services := c.record.inheritedServices()
	for _, g := range s.catalog.sortedGroups {
		f := c.failovers[g.name]
		if f != nil && f.step >= stepFence || s.hasPendingPromotion(g) {
			services = append(services, g.name)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// lacksRequest reports whether the record lacks a service for which a request is under way: it left while the store was
// down for all.
func (c *coordinator) lacksRequest(s *State) bool {
	return slices.ContainsFunc(s.catalog.sortedGroups, func(g *group) bool {
		return s.hasPendingPromotion(g) && !c.record.holds(g.name)
	})
}

// mayRequest reports whether a request for promotion of the service may leave: the next holder learns of it from the
// record, or the store is down for all, so that there is no next holder before it is back.
func (c *coordinator) mayRequest(s *State, service currantloom.ServiceName) bool {
	return c.record.holds(service) || s.isStoreDownForAll()
}

// requestFence rewrites the key of the failover lease, so that its revision, which is the fence, increases. The changes
// under way are recorded by the same write, so that the next holder knows of every request that follows.
func (c *coordinator) requestFence(s *State) bool {
	r := &c.leaseKey
	if !r.canCall(s.now) || r.position.IsZero() {
		return false
	}
	c.rewriteLeaseKey(s)
	return true
}

// releaseLeaseKey gives the failover lease back, and records what this node leaves under way.
func (c *coordinator) releaseLeaseKey(s *State) {
	txn := c.leaseKey.deleteTxn()
	txn.RecordsChanges, txn.Changes = true, c.changes(s)
	c.leaseKey.release(s, txn)
}

// rewriteLeaseKey writes the key of the failover lease again, together with the record of the changes under way.
func (c *coordinator) rewriteLeaseKey(s *State) {
	changes := c.changes(s)
	c.leaseKey.rewrite(s, changes)
	c.record.startWrite(changes, c.leaseKey.pendingCall)
}
