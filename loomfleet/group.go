package loomfleet

import (
	"cmp"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// sampleSpacing is the minimum time between two samples that are kept.
	sampleSpacing = 40 * time.Millisecond
	// maxSamples times sampleSpacing covers the maximum staleness that reads accept and the time for which they wait.
	maxSamples = 160
)

// sample is a log position that covers every commit acknowledged before takenAt.
type sample struct {
	position currantloom.LogPosition
	takenAt  time.Duration
}

// group is what this node knows about the upstreams of a service.
type group struct {
	name      currantloom.ServiceName
	upstreams []*upstream
	// resumptions are those that this node has sent as the holder of the failover lease.
	resumptions resumptions
	// primary is the upstream that is believed to be the primary in the term; empty if none is known.
	primary currantloom.UpstreamName
	term    currantloom.Term
	// primaryProvenAt is when the primary was last proven, noPrimarySince is since when none is known.
	primaryProvenAt, noPrimarySince time.Duration
	// epoch increases whenever the believed primary changes, which it last did at believedSince.
	epoch         uint64
	believedSince time.Duration
	// samples are in the order in which they were taken.
	samples []sample
	// writesBlockedUntil is until when new writes are blocked because of a change of primary. commitsBlocked says that
	// open transactions are blocked as well.
	writesBlockedUntil time.Duration
	commitsBlocked     bool
	// lease is the permission to acknowledge commits, held are those that wait for it. blockAnswers are the answers to
	// requests to block commits that wait until commitsEndAt at most.
	lease        commitLease
	held         []*heldCommit
	blockAnswers []blockAnswer
	commitsEndAt time.Duration
	leader       leaderProof
	// successor is the upstream that is being promoted while writes are blocked; empty if it is not known yet.
	successor currantloom.UpstreamName
	// ackedPosition is the newest commit that this node knows to be acknowledged. The next primary must have it.
	ackedPosition currantloom.LogPosition
	// longestLog is the longest log that a paused replica was seen to have.
	longestLog replicaLog
	// logLostAt is when the registration of an upstream was last deleted, or an upstream last came back without its log;
	// zero if neither has happened.
	logLostAt time.Duration
	// ignoreStallUntil is until when stalled commits start no failover, because the last one could not promote a
	// replica.
	ignoreStallUntil time.Duration
	// verifyAgainAt is when the primary may be verified again after it was found active.
	verifyAgainAt time.Duration
	// usedAt is when a session last used the service.
	usedAt time.Duration
	lag    lagStats
}

// groupOf returns the group of a service and creates it on first use.
func (s *State) groupOf(name currantloom.ServiceName) *group {
	c := &s.catalog
	if g, ok := c.groups[name]; ok {
		return g
	}
	g := &group{name: name, noPrimarySince: s.now}
	c.groups[name] = g
	c.sortedGroups = append(c.sortedGroups, g)
	slices.SortFunc(c.sortedGroups, func(a, b *group) int { return cmp.Compare(a.name, b.name) })
	return g
}

func (g *group) add(u *upstream) {
	g.upstreams = append(g.upstreams, u)
	slices.SortFunc(g.upstreams, func(a, b *upstream) int { return cmp.Compare(a.Name, b.Name) })
}

func (g *group) remove(u *upstream) {
	g.upstreams = slices.DeleteFunc(g.upstreams, func(other *upstream) bool { return other == u })
	if g.primary == u.Name {
		g.primary = ""
	}
}

func (g *group) find(name currantloom.UpstreamName) *upstream {
	for _, u := range g.upstreams {
		if u.Name == name {
			return u
		}
	}
	return nil
}

// acceptHint makes the upstream the believed primary because its registration says so. A wrong hint costs one refused
// attempt.
func (g *group) acceptHint(s *State, u *upstream) {
	if g.primary == u.Name || u.wasReplaced() || u.notPrimaryAt > 0 && s.now-u.notPrimaryAt < notPrimaryTTL {
		return
	}
	g.setPrimary(s, u.Name, "reported")
}

// hintedPrimary returns the upstream with the newest registration as primary that has not refused lately.
func (g *group) hintedPrimary(s *State) *upstream {
	var newest *upstream
	for _, u := range g.upstreams {
		if !u.Primary || !u.isUsable(s) || u.wasReplaced() || u.notPrimaryAt > 0 && s.now-u.notPrimaryAt < notPrimaryTTL {
			continue
		}
		if newest == nil || u.storePosition.After(newest.storePosition) {
			newest = u
		}
	}
	return newest
}

// wasReplaced reports whether another upstream has led a newer term since this one was proven to lead. If it leads
// again, a proof shows it; its registration may be from before.
func (u *upstream) wasReplaced() bool { return u.ledTerm > 0 && u.ledTerm < u.group.term }

func (g *group) setPrimary(s *State, name currantloom.UpstreamName, reason string) {
	if g.primary == name {
		return
	}
	g.primary, g.primaryProvenAt, g.believedSince = name, s.now, s.now
	g.epoch++
	if p, ok := s.owner.pools[name]; ok {
		// Commits that got no answer while it was the primary before say nothing about it now.
		p.stall.recordAnswered()
	}
	s.log(Decision{
		Event: "primary", Service: g.name, Upstream: name, Version: uint64(g.term), Reason: reason, Outcome: "believed",
	})
	s.deferCall(s.retryParkedRequests)
}

// recordPrimary records that the upstream acted as primary after the given time, with a log that ends at the position.
func (g *group) recordPrimary(
	s *State, name currantloom.UpstreamName, position currantloom.LogPosition, takenAt time.Duration,
) {
	u := g.find(name)
	if u == nil || position.Term() < g.term ||
		g.primary != name && position.Term() == g.term && takenAt < g.primaryProvenAt {
		return
	}
	if position.Term() > g.term {
		g.term = position.Term()
		if g.successor == name {
			g.writesBlockedUntil = 0
		}
	}
	u.notPrimaryAt, u.ledTerm = 0, position.Term()
	g.leader.observe(name, position.Term(), takenAt)
	g.setPrimary(s, name, "proven")
	g.primaryProvenAt = max(g.primaryProvenAt, takenAt)
	u.observePosition(position, takenAt)
	g.addSample(sample{position: position, takenAt: takenAt})
}

// recordNotPrimary records that the upstream refused to act as primary.
func (g *group) recordNotPrimary(s *State, name currantloom.UpstreamName) {
	u := g.find(name)
	if u == nil {
		return
	}
	if g.primary != name && !u.Primary {
		return
	}
	u.notPrimaryAt = s.now
	if g.primary != name {
		return
	}
	g.primary, g.noPrimarySince = "", s.now
	g.epoch++
	s.log(Decision{
		Event: "primary", Service: g.name, Upstream: name, Version: uint64(g.term), Reason: "denied", Outcome: "lost",
	})
	if hint := g.hintedPrimary(s); hint != nil {
		g.setPrimary(s, hint.Name, "reported")
	}
}

// recordAcked records a commit whose acknowledgement was sent to a client or will be.
func (g *group) recordAcked(position currantloom.LogPosition) {
	if position.Compare(g.ackedPosition) > 0 {
		g.ackedPosition = position
	}
}

// recordLog records the log of a paused replica.
func (g *group) recordLog(log replicaLog) {
	if log.compare(g.longestLog) > 0 {
		g.longestLog = log
	}
}

// addSample appends a sample. A sample that is out of order, or too close to the last one of the same term, is dropped.
func (g *group) addSample(added sample) {
	n := len(g.samples)
	if n > 0 && added.takenAt-g.samples[n-1].takenAt < sampleSpacing &&
		added.position.Term() == g.samples[n-1].position.Term() {
		return
	}
	if n > 0 && added.takenAt < g.samples[n-1].takenAt {
		return
	}
	if n == maxSamples {
		g.samples = slices.Delete(g.samples, 0, 1)
	}
	g.samples = append(g.samples, added)
}

func (g *group) newestSample() (sample, bool) {
	if len(g.samples) == 0 {
		return sample{}, false
	}
	return g.samples[len(g.samples)-1], true
}

// oldestSampleSince returns the oldest sample of the newest term that covers every commit acknowledged before the given
// time. The oldest one is chosen because most replicas already have it.
func (g *group) oldestSampleSince(since time.Duration) (sample, bool) {
	newest, ok := g.newestSample()
	if !ok || newest.takenAt < since {
		return sample{}, false
	}
	best := newest
	for i := len(g.samples) - 2; i >= 0; i-- {
		older := g.samples[i]
		if older.takenAt < since || older.position.Term() != newest.position.Term() {
			break
		}
		best = older
	}
	return best, true
}

// observePosition records the end of the upstream's log.
func (u *upstream) observePosition(position currantloom.LogPosition, at time.Duration) {
	if !position.IsZero() && at >= u.positionAt {
		u.position, u.positionAt = position, at
	}
}

// observeQueueWait records the expected wait in the upstream's queue.
func (u *upstream) observeQueueWait(wait, at time.Duration) { u.queueWait, u.queueWaitAt = wait, at }
