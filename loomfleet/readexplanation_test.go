package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestExplainRead guards against an explanation that differs from the choice, or that changes it.
func TestExplainRead(t *testing.T) {
	f := newFixture(t)
	f.now = time.Second
	f.configure(currantloom.ReadBoundedStaleness)
	f.state.config.BalanceReads = true
	g := f.state.groupOf(testService)
	g.find("b").load.recordReport(testSelf, 300*time.Millisecond, currantloom.UpstreamLoad{Jobs: 9}, f.now)
	g.find("a").drain.begin(1, false)
	f.state.now = f.now + 100*time.Millisecond
	route := currantloom.Route{ReadPolicy: currantloom.ReadBoundedStaleness, MaxAge: time.Second}
	before := g.find("b").load
	e, ok := f.state.ExplainRead(testService, route)
	r := &request{group: g, purpose: purposeRead, arrivedAt: f.state.now, route: route, session: &session{}}
	chosen, found := f.state.selectTarget(r)
	if !ok || !found || e.Upstream != chosen.upstream.Name || e.Owner != chosen.vm {
		t.Errorf("explained %s at %s, chosen %+v", e.Upstream, e.Owner, chosen)
	}
	if g.find("b").load != before || len(e.Candidates) != 3 {
		t.Errorf("load %+v after the explanation of %d candidates, before %+v", g.find("b").load, len(e.Candidates), before)
	}
	byName := make(map[currantloom.UpstreamName]ReadCandidate)
	for _, c := range e.Candidates {
		byName[c.Upstream] = c
	}
	a, b := byName["a"], byName["b"]
	if a.Cost.State != terminatingCost || !b.Known || b.ReportAge != 100*time.Millisecond || b.Load.Jobs != 9 {
		t.Errorf("explained %+v and %+v", a, b)
	}
	if _, ok := f.state.ExplainRead("unknown", route); ok {
		t.Error("an unknown service is explained")
	}
}
