package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestHedgeTakesNoRoom guards against hedges that fill the queue of the second upstream when the first is only slow,
// and against reads that are not moved although the owner of the first does not answer.
func TestHedgeTakesNoRoom(t *testing.T) {
	for _, c := range []struct {
		name     string
		balanced bool
		reason   hedgeReason
		// jobs are the reported jobs of the other upstreams, which have two slots. answered says that the first owner has
		// answered another call since.
		jobs     int
		answered bool
		want     bool
	}{
		{"free slots", true, hedgeOfLateCall, 1, true, true},
		{"no free slot", true, hedgeOfLateCall, 2, true, false},
		{"no free slot, mute owner", true, hedgeOfLateCall, 2, false, true},
		{"no free slot, suspected owner", true, hedgeOfLostCall, 2, true, true},
		{"not balanced", false, hedgeOfLateCall, 2, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.now = time.Second
			f.configure(currantloom.ReadBoundedStaleness)
			f.state.config.BalanceReads = c.balanced
			f.state.requests.hedgeCredit = 100
			g := f.state.groupOf(testService)
			first := &call{upstream: g.find("a"), sentAt: f.now}
			first.request = &request{
				group: g, purpose: purposeRead, arrivedAt: f.now, session: &session{},
				route:      currantloom.Route{ReadPolicy: currantloom.ReadBoundedStaleness, MaxAge: time.Second},
				avoidUntil: make(map[currantloom.UpstreamName]time.Duration), finished: true,
			}
			first.upstream.load.recordSent(f.now)
			f.state.now += hedgeAfter
			if c.answered {
				first.upstream.load.unansweredSince = f.state.now
			}
			for _, name := range []currantloom.UpstreamName{"b", "c"} {
				g.find(name).load.recordReport(testSelf, 0, currantloom.UpstreamLoad{Jobs: c.jobs}, f.state.now)
			}
			if f.state.hedge(first, c.reason); first.request.hedged != c.want {
				t.Errorf("hedged %t, want %t", first.request.hedged, c.want)
			}
		})
	}
}
