package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestHeldCommit guards against a client that is told of a commit, or that it may be lost, before that is certain: the
// answer of the primary arrives after the lease has run out.
func TestHeldCommit(t *testing.T) {
	committed := currantloom.NewLogPosition(2, 50)
	for _, c := range []struct {
		name   string
		settle func(f *fixture, g *group)
		want   []currantloom.Verdict
	}{
		{"nothing is known", func(*fixture, *group) {}, nil},
		{"a lease alone", func(f *fixture, g *group) { g.lease.renew(f.now, f.now, f.now+time.Second) }, nil},
		{"its primary still leads", func(f *fixture, g *group) {
			g.lease.renew(f.now, f.now, f.now+time.Second)
			g.recordPrimary(f.state, "a", committed, f.now)
		}, []currantloom.Verdict{currantloom.Ran}},
		{"the proof is older than the lease", func(f *fixture, g *group) {
			g.recordPrimary(f.state, "a", committed, f.now-1)
			g.lease.renew(f.now, f.now, f.now+time.Second)
		}, nil},
		{"the promoted log has it", func(f *fixture, g *group) {
			f.state.recordPromotedLog(g, 3, currantloom.NewLogPosition(2, 50))
			g.lease.renew(f.now, f.now, f.now+time.Second)
		}, []currantloom.Verdict{currantloom.Ran}},
		{"the promoted log lacks it", func(f *fixture, g *group) {
			f.state.recordPromotedLog(g, 3, currantloom.NewLogPosition(2, 49))
		}, []currantloom.Verdict{currantloom.MayHaveRun}},
		{"a log of a later term", func(f *fixture, g *group) {
			f.state.recordPromotedLog(g, 4, currantloom.NewLogPosition(3, 60))
		}, []currantloom.Verdict{currantloom.MayHaveRun}},
		{"too late", func(f *fixture, _ *group) { f.now += maxHeldTime }, []currantloom.Verdict{currantloom.MayHaveRun}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.now = time.Minute
			f.configure(currantloom.ReadLatest)
			g := f.state.groupOf(testService)
			g.lease = commitLease{}
			f.state.now = f.now
			j := &job{link: 1, pool: f.state.poolOf(g.find("a")), startedAt: f.now - time.Second}
			j.call.Upstream = "a"
			f.state.finishCommit(j, currantloom.Reply{Position: committed})
			f.state.effects = nil
			c.settle(f, g)
			f.state.now = f.now
			f.state.tickHeldCommits()
			assertVerdicts(t, f.state.effects, c.want)
			if told := len(c.want) > 0 && c.want[0] == currantloom.Ran; told != (g.ackedPosition == committed) {
				t.Errorf("told %t, newest acknowledged commit %s", told, g.ackedPosition)
			}
		})
	}
}

// assertVerdicts checks the verdicts of the results that are sent.
func assertVerdicts(t *testing.T, effects []Effect, want []currantloom.Verdict) {
	t.Helper()
	var got []currantloom.Verdict
	for _, e := range effects {
		if r, ok := e.(Respond); ok {
			if result, ok := r.Message.(currantloom.CallResult); ok {
				got = append(got, result.Verdict)
			}
		}
	}
	if len(got) != len(want) || len(got) > 0 && got[0] != want[0] {
		t.Errorf("verdicts %v, want %v", got, want)
	}
}
