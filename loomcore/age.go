package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// maxSamples bounds the positions of the primary that are kept for a database.
	maxSamples = 64
	// sampleSpacing thins samples, so that polls asked for by reads do not displace those that a replica that is
	// seconds behind needs: 64 samples then cover at least 15 s.
	sampleSpacing = 250 * time.Millisecond
	// maxAgeMargin covers the way to the server and the start of the run.
	maxAgeMargin = 100 * time.Millisecond
)

// ageMargin is the part of the accepted age that is kept for the time between the decision and the run.
func ageMargin(maxAge time.Duration) time.Duration { return min(maxAge/10, maxAgeMargin) }

// positionSample is a position of the primary: the poll was sent at sentAt, and the primary was at or below mark then.
type positionSample struct {
	upstream   currantloom.UpstreamName
	term       currantloom.Term
	position   currantloom.LogPosition
	sentAt     time.Duration
	answeredAt time.Duration
}

// positionSamples holds positions of the primary in the order of their answers.
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
	// ineligible: send the read to the primary.
	ineligible eligibility = iota
	// pending: a poll that is under way may make the replica eligible.
	pending
	// eligible: run the read.
	eligible
)

// readEligibility decides whether a replica may serve a read with the token and the accepted age, by the latest
// reports. If newer reports could change the answer it polls at once.
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

// pollForRead polls the server whose report can make the replica eligible. The age needs a report of the primary and,
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

// ageOf returns an upper bound of the age of the replica's data: the time since a poll of the primary was sent whose
// answer is at or below the replica's position. The primary was not replaced then if a majority, with the primary
// itself, was still in its term afterwards.
func (g *group) ageOf(v *upstreamView, now time.Duration) (time.Duration, bool) {
	if v.status.Role != currantloom.RoleReplica || v.status.GrantedTerm > v.status.Term {
		return 0, false
	}
	list := g.view.samples.list
	for i := len(list) - 1; i >= 0; i-- {
		p := list[i]
		if p.term == v.status.Term && v.statusSentAt >= p.answeredAt && v.status.Position.Covers(p.position) && g.majorityInTerm(p) {
			return now - p.sentAt, true
		}
	}
	return 0, false
}

// majorityInTerm reports whether a majority was still in the sample's term after it was taken.
func (g *group) majorityInTerm(p positionSample) bool {
	count := 1
	for name, v := range g.view.upstreams {
		if name != p.upstream && v.hasStatus && v.isReplicaIn(p.term) && v.statusSentAt >= p.answeredAt {
			count++
		}
	}
	return count >= g.database.Majority()
}
