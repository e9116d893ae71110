package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

// ReadExplanation says where a read would go now and why.
type ReadExplanation struct {
	// Upstream and Owner are the choice; both are empty if there is none.
	Upstream currantloom.UpstreamName
	Owner    currantloom.VMName
	// Probe says that the choice probes an upstream with bad results.
	Probe      bool
	Candidates []ReadCandidate
}

// ReadCandidate is an upstream of the group and its cost.
type ReadCandidate struct {
	Upstream currantloom.UpstreamName
	Owner    currantloom.VMName
	// Excluded says why the upstream may not get the read; empty if it may.
	Excluded string
	// Known says that its owner has reported a load, ReportAge how long ago.
	Known     bool
	ReportAge time.Duration
	Load      currantloom.UpstreamLoad
	// SentSince is the number of calls that this node has sent since the report.
	SentSince int
	Cost      ReadCost
}

// ReadCost is the cost of a read by component. The upstream with the lowest total is chosen, unless another is probed.
type ReadCost struct {
	Distance, Role, Lag, State, Wait, Run, Repeats, Failure, Silence, Total time.Duration
}

// ExplainRead explains where a plain read of a service would go now by the balanced choice, with the random number of
// the last event. It is the code of the real choice, and changes nothing.
func (s *State) ExplainRead(name currantloom.ServiceName, route currantloom.Route) (ReadExplanation, bool) {
	g, ok := s.catalog.groups[name]
	if !ok {
		return ReadExplanation{}, false
	}
	r := &request{group: g, purpose: purposeRead, arrivedAt: s.now, route: route}
	required, known := g.oldestSampleSince(s.now - route.MaxAge)
	candidates := s.readCandidates(r, target{mode: currantloom.CallDirect}, required, known, s.currentOwner)
	made, ok := choose(candidates, s.random^mixRandom(s.lastNumber))
	var e ReadExplanation
	if ok {
		c := &candidates[made.chosen]
		e.Upstream, e.Owner, e.Probe = c.upstream.Name, c.vm, made.probe
	}
	for i := range candidates {
		e.Candidates = append(e.Candidates, candidates[i].explain())
	}
	return e, true
}

func (c *candidate) explain() ReadCandidate {
	r := c.cost
	return ReadCandidate{
		Upstream: c.upstream.Name, Owner: c.vm, Excluded: c.excluded.String(), Known: c.known, ReportAge: c.age,
		Load: c.load.UpstreamLoad, SentSince: c.load.sentSince,
		Cost: ReadCost{
			Distance: r.distance, Role: r.role, Lag: r.lag, State: r.state, Wait: r.wait, Run: r.run, Repeats: r.repeats,
			Failure: r.failure, Silence: r.silence, Total: r.total(),
		},
	}
}

// String returns the name that explanations use, empty for notExcluded.
func (e exclusion) String() string {
	return [...]string{"", "terminated", "avoided", "no_owner", "out_of_use"}[e]
}
