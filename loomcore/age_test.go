package loomcore

import (
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

const (
	upstreamA currantloom.UpstreamName = "wheel-core-1-a"
	upstreamB currantloom.UpstreamName = "wheel-core-1-b"
	upstreamC currantloom.UpstreamName = "wheel-core-1-c"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func statusOf(role currantloom.Role, term currantloom.Term, positionTerm, index int) currantloom.PostgresStatus {
	return currantloom.PostgresStatus{
		Role: role, Term: term, GrantedTerm: term,
		Position: currantloom.NewLogPosition(currantloom.Term(positionTerm), currantloom.LogIndex(index)),
	}
}

// polled is an answered poll: the times at which it was sent and answered in milliseconds, and the status.
type polled struct {
	upstream       currantloom.UpstreamName
	sent, answered int
	status         currantloom.PostgresStatus
}

// stateWith returns a node that has reduced the statuses. Their effects are discarded.
func stateWith(polls ...polled) (*State, *group) {
	s := New(Config{
		Self: "vm-1", Location: currantloom.NewLocation("ost", "ost-linz"),
		Databases: []currantloom.Database{simulatedDatabase()},
	})
	g := s.groups[testDatabase]
	s.ensureView(g)
	for _, p := range polls {
		s.Reduce(StatusReceived{
			Stamp: Stamp{Now: ms(p.answered)}, Upstream: p.upstream, SentAt: ms(p.sent), Status: p.status,
		})
	}
	s.effects = s.effects[:0]
	return s, g
}

// TestReadEligibility guards against reads that return data older than allowed or miss the session's writes, because
// the replica is behind, the token is of an older term, or the primary was replaced between the two polls.
func TestReadEligibility(t *testing.T) {
	const primary, replica, fenced = currantloom.RolePrimary, currantloom.RoleReplica, currantloom.RoleFenced
	token := func(term currantloom.Term, position currantloom.LogIndex) currantloom.Token {
		return currantloom.NewToken(testDatabase, currantloom.NewLogPosition(term, position))
	}
	first := polled{upstreamA, 1000, 1002, statusOf(primary, 3, 3, 10)}
	for _, c := range []struct {
		name      string
		polls     []polled
		token     currantloom.Token
		age       int
		want      eligibility
		wantPolls []currantloom.UpstreamName
	}{
		{"covers token and age", []polled{first, {upstreamB, 1003, 1005, statusOf(replica, 3, 3, 10)}},
			token(3, 10), 100, eligible, nil},
		{"token of an older term at a higher position", []polled{first, {upstreamB, 1003, 1005, statusOf(replica, 3, 3, 10)}},
			token(2, 50), 100, eligible, nil},
		{"behind the token", []polled{first, {upstreamB, 1003, 1005, statusOf(replica, 3, 3, 9)}},
			token(3, 10), 100, pending, []currantloom.UpstreamName{upstreamB}},
		{"age counts from the sending of the poll", []polled{first, {upstreamB, 1003, 1050, statusOf(replica, 3, 3, 10)}},
			token(3, 1), 49, pending, []currantloom.UpstreamName{upstreamA}},
		{"age within the bound", []polled{first, {upstreamB, 1003, 1050, statusOf(replica, 3, 3, 10)}},
			token(3, 1), 56, eligible, nil},
		{"no margin for the time to the upstream", []polled{first, {upstreamB, 1003, 1050, statusOf(replica, 3, 3, 10)}},
			token(3, 1), 55, pending, []currantloom.UpstreamName{upstreamA}},
		{"replica polled before the primary answered", []polled{first, {upstreamB, 1001, 1005, statusOf(replica, 3, 3, 10)}},
			token(3, 1), 5000, pending, []currantloom.UpstreamName{upstreamB}},
		{"replica behind the primary", []polled{first, {upstreamB, 1003, 1005, statusOf(replica, 3, 3, 9)}},
			token(3, 1), 5000, pending, []currantloom.UpstreamName{upstreamA}},
		{"older sample of a replica that lags", []polled{first, {upstreamA, 1500, 1502, statusOf(primary, 3, 3, 20)},
			{upstreamB, 1503, 1505, statusOf(replica, 3, 3, 12)}}, token(3, 1), 562, eligible, nil},
		{"older sample is too old", []polled{first, {upstreamA, 1500, 1502, statusOf(primary, 3, 3, 20)},
			{upstreamB, 1503, 1505, statusOf(replica, 3, 3, 12)}}, token(3, 1), 504, pending,
			[]currantloom.UpstreamName{upstreamA}},
		{"only another replica was polled after the primary answered", []polled{first,
			{upstreamB, 1001, 1005, statusOf(replica, 3, 3, 10)}, {upstreamC, 1003, 1065, statusOf(replica, 3, 3, 10)}},
			token(3, 1), 5000, pending, []currantloom.UpstreamName{upstreamB}},
		{"sample of another term", []polled{first, {upstreamB, 1003, 1005, statusOf(replica, 4, 4, 11)}},
			token(3, 1), 5000, ineligible, nil},
		{"replica granted a newer term", []polled{first, {upstreamB, 1003, 1005, currantloom.PostgresStatus{
			Role: replica, Term: 3, GrantedTerm: 4, Position: currantloom.NewLogPosition(3, 10)}}},
			token(3, 1), 5000, ineligible, nil},
		{"fenced", []polled{first, {upstreamB, 1003, 1005, statusOf(fenced, 3, 3, 10)}}, token(3, 1), 5000, ineligible, nil},
		{"replaced primary", []polled{first, {upstreamB, 1003, 1005, statusOf(primary, 2, 2, 99)}},
			token(2, 1), 5000, ineligible, nil},
		{"no report yet", []polled{first}, token(3, 1), 5000, pending, []currantloom.UpstreamName{upstreamB}},
		{"unknown token", []polled{first, {upstreamB, 1003, 1005, statusOf(replica, 3, 3, 10)}},
			currantloom.Token{}, 5000, ineligible, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, g := stateWith(c.polls...)
			for _, v := range g.view.upstreams {
				v.pollInFlight, v.lastPollAt = false, 0
			}
			if got := s.readEligibility(g, upstreamB, c.token, ms(c.age)); got != c.want {
				t.Errorf("got eligibility %d, want %d", got, c.want)
			}
			checkPolls(t, s, c.wantPolls...)
		})
	}
}

// TestAgeNeedsMajority guards against an age that is taken from a replaced primary because one replica is still in its
// term. Of five upstreams, two besides the primary have to be in the term after the primary's answer.
func TestAgeNeedsMajority(t *testing.T) {
	var upstreams []currantloom.PostgresUpstream
	for _, name := range []currantloom.UpstreamName{upstreamA, upstreamB, upstreamC, "d", "e"} {
		upstreams = append(upstreams, currantloom.NewPostgresUpstream(name, testDatabase, "", currantloom.Location{}))
	}
	g := &group{database: currantloom.NewDatabase(testDatabase, 2, 16, upstreams)}
	g.createView(0)
	position := currantloom.NewLogPosition(3, 10)
	g.view.samples.add(positionSample{
		upstream: upstreamA, term: 3, position: position, sentAt: ms(10), answeredAt: ms(12),
	})
	answer := func(name currantloom.UpstreamName, sent int, term currantloom.Term) {
		g.upstream(name).recordStatus(StatusReceived{
			SentAt: ms(sent), Status: statusOf(currantloom.RoleReplica, term, 3, 10),
		})
	}
	answer(upstreamB, 13, 3)
	answer(upstreamC, 11, 3)
	answer("d", 13, 4)
	if _, known := g.ageOf(g.upstream(upstreamB), ms(20)); known {
		t.Error("got an age from two of five upstreams")
	}
	answer(upstreamC, 13, 3)
	if age, known := g.ageOf(g.upstream(upstreamB), ms(20)); !known || age != ms(10) {
		t.Errorf("got age %v, known %v, from three of five upstreams, want 10ms", age, known)
	}
}

func checkPolls(t *testing.T, s *State, want ...currantloom.UpstreamName) {
	t.Helper()
	var got []currantloom.UpstreamName
	for _, e := range s.effects {
		if p, ok := e.(PollStatus); ok {
			got = append(got, p.Upstream)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("got polls of %v, want %v", got, want)
	}
}

// TestLeavingReplicaServesNoReads guards against new reads at a leaving replica.
func TestLeavingReplicaServesNoReads(t *testing.T) {
	s, g := stateWith(polled{upstreamA, 1000, 1002, statusOf(currantloom.RolePrimary, 3, 3, 10)},
		polled{upstreamB, 1003, 1005, statusOf(currantloom.RoleReplica, 3, 3, 10)})
	s.Reduce(VMsReceived{Stamp: Stamp{Now: ms(1006)}, Set: currantloom.VMSet{
		LeavingUpstreams: []currantloom.UpstreamName{upstreamB},
	}})
	token := currantloom.NewToken(testDatabase, currantloom.NewLogPosition(3, 1))
	if got := s.readEligibility(g, upstreamB, token, ms(5000)); got != ineligible {
		t.Errorf("got eligibility %d, want ineligible", got)
	}
}

// TestPollsOnDemandAreLimited guards against a poll per read: one may be in flight per upstream, at least 5 ms after
// the last one.
func TestPollsOnDemandAreLimited(t *testing.T) {
	s, g := stateWith(polled{upstreamB, 1000, 1002, statusOf(currantloom.RoleReplica, 3, 3, 10)})
	v := g.view.upstreams[upstreamB]
	token := currantloom.NewToken(testDatabase, currantloom.NewLogPosition(3, 11))
	ask := func(now int) {
		s.now, s.effects = ms(now), s.effects[:0]
		s.readEligibility(g, upstreamB, token, ms(5000))
	}
	ask(1003)
	checkPolls(t, s, upstreamB)
	ask(1100)
	checkPolls(t, s)
	v.pollInFlight = false
	ask(1104)
	checkPolls(t, s, upstreamB)
	v.pollInFlight = false
	ask(1108)
	checkPolls(t, s)
	ask(1109)
	checkPolls(t, s, upstreamB)
}

// TestObservePosition guards against a read that waits for a poll although a result has shown the replica's position,
// and against the use of a position of another term.
func TestObservePosition(t *testing.T) {
	for _, c := range []struct {
		name     string
		term     currantloom.Term
		position currantloom.LogIndex
		want     currantloom.LogIndex
	}{
		{"later position", 3, 12, 12},
		{"earlier position", 3, 8, 10},
		{"newer term", 4, 12, 10},
		{"older term", 2, 12, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, g := stateWith(polled{upstreamB, 1000, 1002, statusOf(currantloom.RoleReplica, 3, 3, 10)})
			g.observePosition(upstreamB, c.term, currantloom.NewLogPosition(c.term, c.position), ms(1003))
			if got := g.view.upstreams[upstreamB].status.Position.Index(); got != c.want {
				t.Errorf("got position %d, want %d", got, c.want)
			}
			if g.term != max(3, c.term) {
				t.Errorf("got term %d, want the newest reported one", g.term)
			}
		})
	}
}

// TestSamplesKeepOldPositions guards against polls caused by reads that displace the older samples, which give the age
// of a lagging replica.
func TestSamplesKeepOldPositions(t *testing.T) {
	var l positionSamples
	for at := time.Duration(0); at < 20*time.Second; at += minPollGap {
		l.add(positionSample{sentAt: at, answeredAt: at + time.Millisecond})
	}
	if len(l.list) > maxSamples {
		t.Errorf("got %d samples, want at most %d", len(l.list), maxSamples)
	}
	newest := l.list[len(l.list)-1].sentAt
	if covered := newest - l.list[0].sentAt; covered < 15*time.Second {
		t.Errorf("got samples over %v, want at least 15s", covered)
	}
	if previous := l.list[len(l.list)-2].sentAt; newest-previous > minPollGap {
		t.Errorf("got %v between the two newest samples, want %v", newest-previous, minPollGap)
	}
}
