package loomcore

import (
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

const (
	serverA currantloom.UpstreamName = "wheel-core-1-a"
	serverB currantloom.UpstreamName = "wheel-core-1-b"
	serverC currantloom.UpstreamName = "wheel-core-1-c"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func report(role currantloom.Role, term currantloom.Term, markTerm, position int) currantloom.PostgresStatus {
	return currantloom.PostgresStatus{
		Role: role, Term: term, GrantedTerm: term,
		Position: currantloom.NewLogPosition(currantloom.Term(markTerm), currantloom.LogIndex(position)),
	}
}

// poll is a poll's answer: the times it was sent and answered in milliseconds, and the report.
type poll struct {
	server         currantloom.UpstreamName
	sent, answered int
	status         currantloom.PostgresStatus
}

// stateWith returns a node that got the answers, and its effects since the last answer are discarded.
func stateWith(polls ...poll) (*State, *group) {
	s := New(Config{
		Self: "vm-1", Location: currantloom.NewLocation("ost", "ost-linz"),
		Databases: []currantloom.Database{testGroup()},
	})
	g := s.groups[testDatabase]
	s.ensureView(g)
	for _, p := range polls {
		s.Reduce(StatusReceived{Stamp: Stamp{Now: ms(p.answered)}, Upstream: p.server, SentAt: ms(p.sent), Status: p.status})
	}
	s.effects = s.effects[:0]
	return s, g
}

// TestReadEligibility guards against reads that are too old or do not show the session's writes: replicas far behind,
// a token from an older term, a primary that was replaced between the two polls, a leaving replica.
func TestReadEligibility(t *testing.T) {
	const primary, replica, fenced = currantloom.RolePrimary, currantloom.RoleReplica, currantloom.RoleFenced
	token := func(term currantloom.Term, position currantloom.LogIndex) currantloom.Token {
		return currantloom.NewToken(testDatabase, currantloom.NewLogPosition(term, position))
	}
	first := poll{serverA, 1000, 1002, report(primary, 3, 3, 10)}
	for _, c := range []struct {
		name      string
		polls     []poll
		token     currantloom.Token
		age       int
		want      eligibility
		wantPolls []currantloom.UpstreamName
	}{
		{"covers token and age", []poll{first, {serverB, 1003, 1005, report(replica, 3, 3, 10)}},
			token(3, 10), 100, eligible, nil},
		{"token of an older term at a higher position", []poll{first, {serverB, 1003, 1005, report(replica, 3, 3, 10)}},
			token(2, 50), 100, eligible, nil},
		{"behind the token", []poll{first, {serverB, 1003, 1005, report(replica, 3, 3, 9)}},
			token(3, 10), 100, pending, []currantloom.UpstreamName{serverB}},
		{"age counts from the sending of the poll", []poll{first, {serverB, 1003, 1050, report(replica, 3, 3, 10)}},
			token(3, 1), 49, pending, []currantloom.UpstreamName{serverA}},
		{"age within the bound", []poll{first, {serverB, 1003, 1050, report(replica, 3, 3, 10)}},
			token(3, 1), 56, eligible, nil},
		{"no margin for the way to the server", []poll{first, {serverB, 1003, 1050, report(replica, 3, 3, 10)}},
			token(3, 1), 55, pending, []currantloom.UpstreamName{serverA}},
		{"replica polled before the primary answered", []poll{first, {serverB, 1001, 1005, report(replica, 3, 3, 10)}},
			token(3, 1), 5000, pending, []currantloom.UpstreamName{serverB}},
		{"replica behind the primary", []poll{first, {serverB, 1003, 1005, report(replica, 3, 3, 9)}},
			token(3, 1), 5000, pending, []currantloom.UpstreamName{serverA}},
		{"older sample of a replica that lags", []poll{first, {serverA, 1500, 1502, report(primary, 3, 3, 20)},
			{serverB, 1503, 1505, report(replica, 3, 3, 12)}}, token(3, 1), 562, eligible, nil},
		{"older sample is too old", []poll{first, {serverA, 1500, 1502, report(primary, 3, 3, 20)},
			{serverB, 1503, 1505, report(replica, 3, 3, 12)}}, token(3, 1), 504, pending,
			[]currantloom.UpstreamName{serverA}},
		{"only another replica was polled after the primary answered", []poll{first,
			{serverB, 1001, 1005, report(replica, 3, 3, 10)}, {serverC, 1003, 1065, report(replica, 3, 3, 10)}},
			token(3, 1), 5000, pending, []currantloom.UpstreamName{serverB}},
		{"sample of another term", []poll{first, {serverB, 1003, 1005, report(replica, 4, 4, 11)}},
			token(3, 1), 5000, ineligible, nil},
		{"replica granted a newer term", []poll{first, {serverB, 1003, 1005, currantloom.PostgresStatus{
			Role: replica, Term: 3, GrantedTerm: 4, Position: currantloom.NewLogPosition(3, 10)}}},
			token(3, 1), 5000, ineligible, nil},
		{"fenced", []poll{first, {serverB, 1003, 1005, report(fenced, 3, 3, 10)}}, token(3, 1), 5000, ineligible, nil},
		{"replaced primary", []poll{first, {serverB, 1003, 1005, report(primary, 2, 2, 99)}},
			token(2, 1), 5000, ineligible, nil},
		{"no report yet", []poll{first}, token(3, 1), 5000, pending, []currantloom.UpstreamName{serverB}},
		{"unknown token", []poll{first, {serverB, 1003, 1005, report(replica, 3, 3, 10)}},
			currantloom.Token{}, 5000, ineligible, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, g := stateWith(c.polls...)
			for _, v := range g.view.upstreams {
				v.pollInFlight, v.lastPollAt = false, 0
			}
			if got := s.readEligibility(g, serverB, c.token, ms(c.age)); got != c.want {
				t.Errorf("got eligibility %d, want %d", got, c.want)
			}
			checkPolls(t, s, c.wantPolls...)
		})
	}
}

// TestAgeNeedsMajority guards against a replica that vouches alone for a replaced primary: of five servers, two more
// have to be in the term after the primary's answer.
func TestAgeNeedsMajority(t *testing.T) {
	var servers []currantloom.PostgresUpstream
	for _, name := range []currantloom.UpstreamName{serverA, serverB, serverC, "d", "e"} {
		servers = append(servers, currantloom.NewPostgresUpstream(name, testDatabase, "", currantloom.Location{}))
	}
	g := &group{database: currantloom.NewDatabase(testDatabase, 2, 16, servers)}
	g.createView(0)
	mark := currantloom.NewLogPosition(3, 10)
	g.view.samples.add(positionSample{upstream: serverA, term: 3, position: mark, sentAt: ms(10), answeredAt: ms(12)})
	answer := func(name currantloom.UpstreamName, sent int, term currantloom.Term) {
		g.upstream(name).recordStatus(StatusReceived{SentAt: ms(sent), Status: report(currantloom.RoleReplica, term, 3, 10)})
	}
	answer(serverB, 13, 3)
	answer(serverC, 11, 3)
	answer("d", 13, 4)
	if _, known := g.ageOf(g.upstream(serverB), ms(20)); known {
		t.Error("got an age from two of five servers")
	}
	answer(serverC, 13, 3)
	if age, known := g.ageOf(g.upstream(serverB), ms(20)); !known || age != ms(10) {
		t.Errorf("got age %v, known %v, from three of five servers, want 10ms", age, known)
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

// TestLeavingReplicaServesNoReads guards against new work at a leaving replica.
func TestLeavingReplicaServesNoReads(t *testing.T) {
	s, g := stateWith(poll{serverA, 1000, 1002, report(currantloom.RolePrimary, 3, 3, 10)},
		poll{serverB, 1003, 1005, report(currantloom.RoleReplica, 3, 3, 10)})
	s.Reduce(VMsReceived{Stamp: Stamp{Now: ms(1006)}, Set: currantloom.VMSet{
		LeavingUpstreams: []currantloom.UpstreamName{serverB},
	}})
	token := currantloom.NewToken(testDatabase, currantloom.NewLogPosition(3, 1))
	if got := s.readEligibility(g, serverB, token, ms(5000)); got != ineligible {
		t.Errorf("got eligibility %d, want ineligible", got)
	}
}

// TestPollsOnDemand guards against a flood of polls: one in flight per server, 5 ms apart.
func TestPollsOnDemand(t *testing.T) {
	s, g := stateWith(poll{serverB, 1000, 1002, report(currantloom.RoleReplica, 3, 3, 10)})
	v := g.view.upstreams[serverB]
	token := currantloom.NewToken(testDatabase, currantloom.NewLogPosition(3, 11))
	ask := func(now int) {
		s.now, s.effects = ms(now), s.effects[:0]
		s.readEligibility(g, serverB, token, ms(5000))
	}
	ask(1003)
	checkPolls(t, s, serverB)
	ask(1100)
	checkPolls(t, s)
	v.pollInFlight = false
	ask(1104)
	checkPolls(t, s, serverB)
	v.pollInFlight = false
	ask(1108)
	checkPolls(t, s)
	ask(1109)
	checkPolls(t, s, serverB)
}

// TestObserve guards against a read that waits for a poll although a response showed the replica's position, and
// against a position of another term.
func TestObserve(t *testing.T) {
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
			_, g := stateWith(poll{serverB, 1000, 1002, report(currantloom.RoleReplica, 3, 3, 10)})
			g.observePosition(serverB, c.term, currantloom.NewLogPosition(c.term, c.position), ms(1003))
			if got := g.view.upstreams[serverB].status.Position.Index(); got != c.want {
				t.Errorf("got position %d, want %d", got, c.want)
			}
			if g.term != max(3, c.term) {
				t.Errorf("got term %d, want the newest reported one", g.term)
			}
		})
	}
}

// TestSamplesKeepOldPositions guards against polls on demand that displace the samples a lagging replica needs.
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
