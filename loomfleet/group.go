package loomfleet

import (
	"cmp"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// sampleSpacing is the least time between two samples that are kept.
	sampleSpacing = 40 * time.Millisecond
	// maxSamples times sampleSpacing covers the ages that reads accept.
	maxSamples = 96
)

// sample is a mark that covers every commit acknowledged before takenAt.
type sample struct {
	position currantloom.LogPosition
	takenAt  time.Duration
}

// group is what this node believes of the upstreams of a service.
type group struct {
	name      currantloom.ServiceName
	upstreams []*upstream
	// primary is the upstream that was last seen to act as primary, in the term; empty if none is known.
	primary currantloom.UpstreamName
	term    currantloom.Term
	// primaryProvenAt is when the leader was last proven, lostAt since when none is known.
	primaryProvenAt, noPrimarySince time.Duration
	// epoch grows whenever another leader is believed.
	epoch uint64
	// samples are ordered by the time they were taken.
	samples []sample
	// writesBlockedUntil is until when a change of primary holds new writes, holdsCommits says that it holds open transactions.
	writesBlockedUntil time.Duration
	commitsBlocked     bool
	// ackedPosition is the newest commit that this node knows to be acknowledged. The next primary has to hold it.
	ackedPosition currantloom.LogPosition
	// logLostAt is when a server of the group was last gone or back without its log; zero if none was.
	logLostAt time.Duration
	// ignoreStallUntil is until when commits without an answer start no change of primary, because the last one found no
	// replica to promote.
	ignoreStallUntil time.Duration
	// usedAt is when a session last used the service.
	usedAt time.Duration
	lag    lagStats
}

// groupOf returns the group of a service, made on first use.
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

// acceptHint takes an upstream for the leader because it reports so itself. A wrong hint costs a refused attempt.
func (g *group) acceptHint(s *State, u *upstream) {
	if g.primary == u.Name || u.notPrimaryAt > 0 && s.now-u.notPrimaryAt < notPrimaryTTL {
		return
	}
	g.setPrimary(s, u.Name, "reported")
}

// hintedPrimary returns the upstream whose report as primary is the newest.
func (g *group) hintedPrimary(s *State) *upstream {
	var newest *upstream
	for _, u := range g.upstreams {
		if !u.Primary || !u.isUsable(s) || u.notPrimaryAt > 0 && s.now-u.notPrimaryAt < notPrimaryTTL {
			continue
		}
		if newest == nil || u.revision > newest.revision {
			newest = u
		}
	}
	return newest
}

func (g *group) setPrimary(s *State, name currantloom.UpstreamName, reason string) {
	if g.primary == name {
		return
	}
	g.primary, g.primaryProvenAt = name, s.now
	g.epoch++
	s.log(Decision{
		Event: "primary", Service: g.name, Upstream: name, Version: uint64(g.term), Reason: reason, Outcome: "believed",
	})
	s.deferCall(s.retryParkedRequests)
}

// recordPrimary notes that the upstream acted as primary with a log that ends in mark, after the given time.
func (g *group) recordPrimary(s *State, name currantloom.UpstreamName, mark currantloom.LogPosition, takenAt time.Duration) {
	u := g.find(name)
	if u == nil || mark.Term() < g.term || g.primary != name && mark.Term() == g.term && takenAt < g.primaryProvenAt {
		return
	}
	if mark.Term() > g.term {
		g.term = mark.Term()
		g.writesBlockedUntil = 0
	}
	u.notPrimaryAt = 0
	g.setPrimary(s, name, "proven")
	g.primaryProvenAt = max(g.primaryProvenAt, takenAt)
	u.observePosition(mark, takenAt)
	g.addSample(sample{position: mark, takenAt: takenAt})
}

// recordNotPrimary notes that the upstream refused to act as primary.
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

// recordAcked notes a commit that a client was told of, or will be.
func (g *group) recordAcked(mark currantloom.LogPosition) {
	if mark.Compare(g.ackedPosition) > 0 {
		g.ackedPosition = mark
	}
}

// addSample keeps the sample in the order of time.
func (g *group) addSample(added sample) {
	n := len(g.samples)
	if n > 0 && added.takenAt-g.samples[n-1].takenAt < sampleSpacing && added.position.Term() == g.samples[n-1].position.Term() {
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

// newestSample returns the newest sample.
func (g *group) newestSample() (sample, bool) {
	if len(g.samples) == 0 {
		return sample{}, false
	}
	return g.samples[len(g.samples)-1], true
}

// oldestSampleSince returns the oldest mark of the newest term that covers every commit acknowledged before the given time. The
// oldest one is what most replicas already hold.
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

// observePosition notes the end of the upstream's log.
func (u *upstream) observePosition(mark currantloom.LogPosition, at time.Duration) {
	if !mark.IsZero() && at >= u.positionAt {
		u.position, u.positionAt = mark, at
	}
}

// observeQueueWait notes the expected time in the queue of the upstream.
func (u *upstream) observeQueueWait(wait, at time.Duration) { u.queueWait, u.queueWaitAt = wait, at }
