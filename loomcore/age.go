package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// maxSamples bounds the samples of the primary's position that are kept for a database.
	maxSamples = 64
	// sampleSpacing thins out the samples: if the first and the last of the three newest are closer than this, the middle
	// one is dropped. Otherwise polls caused by reads would displace the older samples that give the age of a replica that
	// is seconds behind. With it, 64 samples cover at least 15 s.
	sampleSpacing = 250 * time.Millisecond
	// maxAgeMargin covers the time to send the request to the upstream and to start the run.
	maxAgeMargin = 100 * time.Millisecond
)

// ageMargin returns the part of the accepted age that is reserved for the time between the decision and the run.
func ageMargin(maxAge time.Duration) time.Duration { return min(maxAge/10, maxAgeMargin) }

// positionSample is a log position of the primary. The poll was sent at sentAt, and the primary was at or below
// position then.
type positionSample struct {
	upstream   currantloom.UpstreamName
	term       currantloom.Term
	position   currantloom.LogPosition
	sentAt     time.Duration
	answeredAt time.Duration
}

// positionSamples holds samples of the primary in the order of their answers.
type positionSamples struct{ list []positionSample }

func (l *positionSamples) add(p positionSample) {
	if n := len(l.list); n >= 3 && l.list[n-1].sentAt-l.list[n-3].sentAt < sampleSpacing {
		l.list = append(l.list[:n-2], l.list[n-1])
	}
	if len(l.list) >= maxSamples {
		l.list = append(l.list[:0], l.list[1:]...)
	}
	l.list = append(l.list, p)
}

// eligibility says whether a replica may serve a read.
type eligibility uint8

const (
	// ineligible: the read has to go to the primary.
	ineligible eligibility = iota
	// pending: a poll in flight may make the replica eligible.
	pending
	// eligible: the replica may serve the read.
	eligible
)

// readEligibility decides by the latest statuses whether a replica may serve a read with the token and the maximum age.
// If newer statuses could change the answer, it polls at once.
func (s *State) readEligibility(
	g *group, upstream currantloom.UpstreamName, token currantloom.Token, maxAge time.Duration,
) eligibility {
	s.ensureView(g)
	v := g.upstream(upstream)
	if v == nil || !token.Known() || maxAge <= 0 || s.isLeaving(upstream) || v.unreachable() {
		return ineligible
	}
	if !v.hasStatus {
		s.pollNow(v)
		return pending
	}
	if v.status.Role != currantloom.RoleReplica {
		return ineligible
	}
	age, known := g.ageOf(v, s.now)
	covers := v.status.Position.Covers(token.Position())
	if covers && known && age <= maxAge-ageMargin(maxAge) {
		return eligible
	}
	return s.pollForRead(g, v, covers)
}

// pollForRead polls the upstream whose status can make the replica eligible. The age needs a status of the primary and,
// after it, one of the replica.
func (s *State) pollForRead(g *group, v *upstreamView, covers bool) eligibility {
	primary := g.upstream(g.primary)
	if covers && (primary == nil || primary.unreachable()) {
		return ineligible
	}
	if n := len(g.view.samples.list); covers && (n == 0 || g.view.samples.list[n-1].answeredAt <= v.statusSentAt) {
		s.pollNow(primary)
		return pending
	}
	s.pollNow(v)
	return pending
}

// ageOf returns an upper bound of the age of the replica's data: the time since the sending of a poll whose answer, the
// primary's position, the replica covers. The primary had not been replaced then if a majority, including the primary,
// was still in its term afterwards.
func (g *group) ageOf(v *upstreamView, now time.Duration) (time.Duration, bool) {
	if v.status.Role != currantloom.RoleReplica || v.status.GrantedTerm > v.status.Term {
		return 0, false
	}
	list := g.view.samples.list
	for i := len(list) - 1; i >= 0; i-- {
		p := list[i]
		if p.term == v.status.Term && v.statusSentAt >= p.answeredAt && v.status.Position.Covers(p.position) &&
			g.majorityInTerm(p) {
			return now - p.sentAt, true
		}
	}
	return 0, false
}

// majorityInTerm reports whether a majority was still in the sample's term after the sample was taken.
func (g *group) majorityInTerm(p positionSample) bool {
	count := 1
	for name, v := range g.view.upstreams {
		if name != p.upstream && v.hasStatus && v.isReplicaIn(p.term) && v.statusSentAt >= p.answeredAt {
			count++
		}
	}
	return count >= g.database.Majority()
}
