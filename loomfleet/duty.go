package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// memberLease is the time to live of a node's registration.
	memberLease = 12 * time.Second
	// dutyLease is that of the duty. A dead holder is replaced after it.
	dutyLease = 2 * time.Second
	// memberRenewals and dutyRenewals are how often a lease is renewed within its time to live. That of a node has seconds
	// left for another try.
	memberRenewals, dutyRenewals = 2, 3
	// campaignDelay spreads the nodes that want the duty, so that usually one asks.
	campaignDelay = 150 * time.Millisecond
	// maxCampaignRank bounds the delay.
	maxCampaignRank = 6
	// settleTime is how long a node observes the fleet before it wants the duty.
	settleTime = time.Second
)

// duty is the exclusive right to order changes of primary, and the node's own keys in the store.
type duty struct {
	member registration
	lead   registration
	holder holder
	// failovers are the changes under way, by service.
	failovers map[currantloom.ServiceName]*failover
	// open holds, for each service, the last order that may still take effect.
	open   map[currantloom.ServiceName]order
	orders uint64
	acting bool
}

// order is a call to the platform that may have been accepted, and may not have taken effect yet.
type order struct {
	fence    uint64
	upstream currantloom.UpstreamName
	sentAt   time.Duration
}

func (d *duty) init(s *State) {
	d.member = newRegistration(RegistrationMember, max(memberLease, s.config.MinLeaseTTL), memberRenewals)
	d.lead = newRegistration(RegistrationFailoverLease, max(dutyLease, s.config.MinLeaseTTL), dutyRenewals)
	d.failovers = make(map[currantloom.ServiceName]*failover)
	d.open = make(map[currantloom.ServiceName]order)
}

// changed notes what the store says of the duty.
func (d *duty) changed(s *State, e FailoverLeaseChange) {
	if e.Revision > 0 && e.Revision < d.holder.revision {
		return
	}
	before := d.holder
	if e.Deleted {
		if before.name != "" || before.absentAt == 0 {
			d.holder = holder{revision: max(e.Revision, before.revision), absentAt: max(s.now, 1)}
		}
	} else {
		d.holder = holder{name: e.Holder, incarnation: e.Incarnation, revision: e.Revision}
	}
	switch {
	case d.isHolder(s):
		d.lead.revision = max(d.lead.revision, e.Revision)
	case d.lead.revision > 0 && d.lead.pendingKind != pendingWrite && e.Revision > d.lead.revision:
		d.lead.revision = 0
	}
	if before.name != d.holder.name {
		s.log(Decision{Event: "duty", VM: d.holder.name, Version: d.holder.revision, Outcome: "holder"})
	}
}

func (d *duty) answered(s *State, e StoreAnswered) {
	if d.member.answered(s, e) {
		return
	}
	if d.lead.answered(s, e) && e.Result == StoreConflict && d.isHolder(s) {
		// An earlier write without an answer took effect.
		d.lead.revision = d.holder.revision
	}
}

// isHolder reports whether the store says that this run of the node holds the duty.
func (d *duty) isHolder(s *State) bool {
	return d.holder.name == s.config.Self && d.holder.incarnation == s.config.Incarnation
}

// tick keeps the registrations and claims the duty when nobody holds it.
func (d *duty) tick(s *State) {
	d.tickMember(s)
	d.tickLead(s)
	acting := d.isActing(s)
	if acting != d.acting {
		d.acting = acting
		outcome := "stopped"
		if acting {
			outcome = "acting"
		}
		s.log(Decision{Event: "duty", VM: s.config.Self, Version: d.lead.revision, Outcome: outcome})
	}
}

func (d *duty) tickLead(s *State) {
	r := &d.lead
	if !r.isFree(s.now) || s.stop.requested {
		return
	}
	switch {
	case r.revision > 0:
		r.renew(s)
	case !d.wants(s):
	case r.lease == 0 || s.now >= r.validUntil-r.ttl/3:
		r.grant(s)
	default:
		r.write(s, true, 0)
	}
}

// wants reports whether this node shall claim the duty now.
func (d *duty) wants(s *State) bool {
	if d.holder.name != "" || d.holder.absentAt == 0 || s.now < settleTime {
		return false
	}
	if s.catalog.lost || s.catalog.configuration == nil {
		return false
	}
	return s.now-d.holder.absentAt >= time.Duration(d.rank(s))*campaignDelay
}

// rank is the number of live VMs that come before this one.
func (d *duty) rank(s *State) int {
	own := rendezvousWeight(s.config.Self, "")
	rank := 0
	for _, m := range s.members.ordered {
		if m.alive && !m.leaving && rendezvousWeight(m.vm.Name(), "") > own {
			rank++
		}
	}
	return min(rank, maxCampaignRank)
}

// isActing reports whether this node may order changes. While no VM reaches the store nobody else can have taken the
// duty, so the last holder goes on; a later holder has a higher fence.
func (d *duty) isActing(s *State) bool {
	if d.lead.revision == 0 || s.stop.requested || s.now-s.resumedAt < settleTime && s.resumedAt > 0 {
		return false
	}
	return d.lead.isHeld(s.now) || s.catalog.lost && !s.othersReachStore()
}

// othersReachStore reports whether some VM says that it reaches the store.
func (s *State) othersReachStore() bool {
	for _, m := range s.members.ordered {
		if m.alive && m.storeReachable {
			return true
		}
	}
	return false
}

// newFence writes the key of the duty again, so that its revision grows.
func (d *duty) newFence(s *State) bool {
	r := &d.lead
	if !r.isFree(s.now) || r.revision == 0 {
		return false
	}
	r.write(s, true, r.revision)
	return true
}
