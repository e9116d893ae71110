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
	mark    currantloom.LogPosition
	takenAt time.Duration
}

// group is what this node believes of the upstreams of a service.
type group struct {
	name      currantloom.ServiceName
	upstreams []*upstream
	// leader is the upstream that was last seen to act as primary, in the term; empty if none is known.
	leader currantloom.UpstreamName
	term   currantloom.Term
	// leaderAt is when the leader was last proven, lostAt since when none is known.
	leaderAt, lostAt time.Duration
	// epoch grows whenever another leader is believed.
	epoch uint64
	// samples are ordered by the time they were taken.
	samples []sample
	// heldUntil is until when a change of primary holds new writes, holdsCommits says that it holds open transactions.
	heldUntil    time.Duration
	holdsCommits bool
	// acked is the newest commit that this node knows to be acknowledged. The next primary has to hold it.
	acked currantloom.LogPosition
	// logLostAt is when a server of the group was last gone or back without its log; zero if none was.
	logLostAt time.Duration
	// stuckUntil is until when commits without an answer start no change of primary, because the last one found no
	// replica to promote.
	stuckUntil time.Duration
	// usedAt is when a session last used the service.
	usedAt time.Duration
	lag    lag
}

// groupOf returns the group of a service, made on first use.
func (s *State) groupOf(name currantloom.ServiceName) *group {
	c := &s.catalog
	if g, ok := c.groups[name]; ok {
		return g
	}
	g := &group{name: name, lostAt: s.now}
	c.groups[name] = g
	c.ordered = append(c.ordered, g)
	slices.SortFunc(c.ordered, func(a, b *group) int { return cmp.Compare(a.name, b.name) })
	return g
}

func (g *group) add(u *upstream) {
	g.upstreams = append(g.upstreams, u)
	slices.SortFunc(g.upstreams, func(a, b *upstream) int { return cmp.Compare(a.Name, b.Name) })
}

func (g *group) remove(u *upstream) {
	g.upstreams = slices.DeleteFunc(g.upstreams, func(other *upstream) bool { return other == u })
	if g.leader == u.Name {
		g.leader = ""
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

// hinted takes an upstream for the leader because it reports so itself. A wrong hint costs a refused attempt.
func (g *group) hinted(s *State, u *upstream) {
	if g.leader == u.Name || u.deniedAt > 0 && s.now-u.deniedAt < deniedFor {
		return
	}
	g.follow(s, u.Name, "reported")
}

// hint returns the upstream whose report as primary is the newest.
func (g *group) hint(s *State) *upstream {
	var newest *upstream
	for _, u := range g.upstreams {
		if !u.Primary || !u.isUsable(s) || u.deniedAt > 0 && s.now-u.deniedAt < deniedFor {
			continue
		}
		if newest == nil || u.revision > newest.revision {
			newest = u
		}
	}
	return newest
}

func (g *group) follow(s *State, name currantloom.UpstreamName, reason string) {
	if g.leader == name {
		return
	}
	g.leader, g.leaderAt = name, s.now
	g.epoch++
	s.log(Decision{
		Event: "primary", Service: g.name, Upstream: name, Version: uint64(g.term), Reason: reason, Outcome: "believed",
	})
	s.later(s.reviewRequests)
}

// lead notes that the upstream acted as primary with a log that ends in mark, after the given time.
func (g *group) lead(s *State, name currantloom.UpstreamName, mark currantloom.LogPosition, takenAt time.Duration) {
	u := g.find(name)
	if u == nil || mark.Term() < g.term || g.leader != name && mark.Term() == g.term && takenAt < g.leaderAt {
		return
	}
	if mark.Term() > g.term {
		g.term = mark.Term()
		g.heldUntil = 0
	}
	u.deniedAt = 0
	g.follow(s, name, "proven")
	g.leaderAt = max(g.leaderAt, takenAt)
	u.saw(mark, takenAt)
	g.addSample(sample{mark: mark, takenAt: takenAt})
}

// denied notes that the upstream refused to act as primary.
func (g *group) denied(s *State, name currantloom.UpstreamName) {
	u := g.find(name)
	if u == nil {
		return
	}
	if g.leader != name && !u.Primary {
		return
	}
	u.deniedAt = s.now
	if g.leader != name {
		return
	}
	g.leader, g.lostAt = "", s.now
	g.epoch++
	s.log(Decision{
		Event: "primary", Service: g.name, Upstream: name, Version: uint64(g.term), Reason: "denied", Outcome: "lost",
	})
	if hint := g.hint(s); hint != nil {
		g.follow(s, hint.Name, "reported")
	}
}

// acknowledged notes a commit that a client was told of, or will be.
func (g *group) acknowledged(mark currantloom.LogPosition) {
	if mark.Compare(g.acked) > 0 {
		g.acked = mark
	}
}

// addSample keeps the sample in the order of time.
func (g *group) addSample(added sample) {
	n := len(g.samples)
	if n > 0 && added.takenAt-g.samples[n-1].takenAt < sampleSpacing && added.mark.Term() == g.samples[n-1].mark.Term() {
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

// cover returns the oldest mark of the newest term that covers every commit acknowledged before the given time. The
// oldest one is what most replicas already hold.
func (g *group) cover(since time.Duration) (sample, bool) {
	newest, ok := g.newestSample()
	if !ok || newest.takenAt < since {
		return sample{}, false
	}
	best := newest
	for i := len(g.samples) - 2; i >= 0; i-- {
		older := g.samples[i]
		if older.takenAt < since || older.mark.Term() != newest.mark.Term() {
			break
		}
		best = older
	}
	return best, true
}

// saw notes the end of the upstream's log.
func (u *upstream) saw(mark currantloom.LogPosition, at time.Duration) {
	if !mark.IsZero() && at >= u.markAt {
		u.mark, u.markAt = mark, at
	}
}

// expect notes the expected time in the queue of the upstream.
func (u *upstream) expect(wait, at time.Duration) { u.wait, u.waitAt = wait, at }
