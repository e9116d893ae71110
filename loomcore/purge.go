package loomcore

import "time"

// purgeInterval is the mean time between two removals of old request ids from a database. Request ids are kept for
// days, so an hour more does not matter, and each removal is small.
const purgeInterval = time.Hour

// purgeRequestIDs removes old request ids if this node owns the primary. The first removal after a change of the owner
// comes at a random time, so that a restart of many nodes does not make all databases remove ids at once.
func (s *State) purgeRequestIDs(g *group) {
	v := g.view
	if g.primary == "" || !s.owns(g.primary) {
		v.nextPurgeAt = 0
		return
	}
	if v.nextPurgeAt == 0 {
		v.nextPurgeAt = s.now + s.randomDelay(0, purgeInterval)
		return
	}
	if s.now < v.nextPurgeAt {
		return
	}
	v.nextPurgeAt = s.now + s.randomDelay(purgeInterval*3/4, purgeInterval*5/4)
	age := s.rules.rules.RequestIDRetention(g.database.Name())
	s.emit(Decision{
		Event: "purge", Upstream: g.primary, Term: g.term, Reason: "remove request ids older than " + age.String(),
	})
	s.emit(PurgeRequestIDs{Upstream: g.primary, OlderThan: age})
}
