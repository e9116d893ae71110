package loommodel

import (
	"maps"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

const (
	// copyInterval is the time between two copies of the store.
	copyInterval = 500 * time.Millisecond
	// maxCopies bounds the age of the oldest copy to 5 s.
	maxCopies = 10
	// rewriteTime is the time after the return of the store within which operators and upstreams write their keys again.
	rewriteTime = 900 * time.Millisecond
)

// storeCopy is the state of the store at an earlier time.
type storeCopy struct {
	takenAt             time.Duration
	revision, lastLease uint64
	leaseEnds           map[uint64]time.Duration
	configuration       currantloom.Configuration
	upstreams           map[string]loomfleet.UpstreamChange
	members             map[string]memberRecord
	failoverLease       *failoverLeaseRecord
	changeRecord        loomfleet.ChangeRecord
}

// keepCopy regularly copies the store.
func (s *store) keepCopy() {
	s.sim.after(copyInterval, s.keepCopy)
	if s.down {
		return
	}
	if len(s.copies) == maxCopies {
		s.copies = s.copies[1:]
	}
	s.copies = append(s.copies, storeCopy{
		takenAt: s.sim.now, revision: s.revision, lastLease: s.lastLease, leaseEnds: maps.Clone(s.leaseEnds),
		configuration: s.configuration, upstreams: maps.Clone(s.upstreams), members: maps.Clone(s.members),
		failoverLease: s.failoverLease, changeRecord: s.changeRecord,
	})
}

// RestoreStore makes the store unavailable for a time. It returns with the state that it had the given age before the
// call, at most 5 s, in the next era. The leases of that state last as long as they still had to last then.
func (sim *Simulation) RestoreStore(age, down time.Duration) {
	s := sim.store
	if s.down || len(s.copies) == 0 {
		return
	}
	c := s.copies[0]
	for _, other := range s.copies {
		if other.takenAt <= sim.now-age {
			c = other
		}
	}
	newest := s.configuration
	sim.SetStoreDown(true)
	sim.after(down, func() {
		s.restore(c)
		sim.SetStoreDown(false)
		sim.after(sim.randomDuration(rewriteTime), func() { s.rewriteConfiguration(newest) })
		for _, u := range sim.upstreams {
			sim.after(sim.randomDuration(rewriteTime), func() { s.rewriteUpstream(u) })
		}
		sim.after(registrationLapse, s.removeSilentUpstreams)
	})
}

func (sim *Simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(limit)))
}

func (s *store) restore(c storeCopy) {
	s.sim.oracle.stats.Restores++
	s.era++
	s.revision, s.lastLease, s.configuration = c.revision, c.lastLease, c.configuration
	s.leaseEnds = make(map[uint64]time.Duration)
	for lease, end := range c.leaseEnds {
		s.leaseEnds[lease] = end - c.takenAt + s.sim.now
	}
	s.upstreams = make(map[string]loomfleet.UpstreamChange)
	for name, change := range c.upstreams {
		change.Position = s.inEra(change.Position)
		s.upstreams[name] = change
	}
	s.members = make(map[string]memberRecord)
	for name, m := range c.members {
		m.change.Position = s.inEra(m.change.Position)
		s.members[name] = m
	}
	s.failoverLease = nil
	if c.failoverLease != nil {
		record := *c.failoverLease
		record.change.Position = s.inEra(record.change.Position)
		s.failoverLease = &record
	}
	s.changeRecord = c.changeRecord
	s.changeRecord.Position = s.inEra(s.changeRecord.Position)
	s.copies = nil
}

// inEra returns the position of the same revision in the current era.
func (s *store) inEra(p currantloom.StorePosition) currantloom.StorePosition {
	return currantloom.NewStorePosition(s.era, p.Revision())
}

func (s *store) rewriteConfiguration(c currantloom.Configuration) {
	if s.down || c.Version <= s.configuration.Version {
		return
	}
	s.configuration = c
	s.revision++
	s.publish(loomfleet.CatalogChanged{Configuration: &c})
}

func (s *store) rewriteUpstream(u *upstream) {
	if !s.down && u.responsive() {
		s.register(u)
	}
}

// removeSilentUpstreams removes the registrations of upstreams that do not send heartbeats.
func (s *store) removeSilentUpstreams() {
	for _, u := range s.sim.upstreams {
		if !u.responsive() {
			s.deregister(u.name, u.service)
		}
	}
}
