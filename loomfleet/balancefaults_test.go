package loomfleet

import (
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// faultFrom and faultUntil are when the faults of TestBalanceDuringFaults begin and end, recoveryTime is how long after
// that the upstream must have its work back.
const (
	faultFrom    = 6 * time.Second
	faultUntil   = 14 * time.Second
	recoveryTime = 4 * time.Second
	// lateResolution is the difference of shares in percent that 13,000 requests can tell.
	lateResolution = 0.1
)

// ownerOfB returns the node that has the most connections to upstream b.
func (f *testFleet) ownerOfB() *fleetNode {
	conns := func(n *fleetNode) int {
		if p, ok := n.state.owner.pools["b"]; ok {
			return len(p.conns)
		}
		return 0
	}
	return slices.MaxFunc(f.nodes, func(a, b *fleetNode) int { return conns(a) - conns(b) })
}

// duringFault returns the behaviour of upstreams of which b has the fault.
func duringFault(fault func(now time.Duration) behaviour) func(int, time.Duration) behaviour {
	return func(upstream int, now time.Duration) behaviour {
		if upstream != 1 || now < faultFrom || now >= faultUntil {
			return behaviour{}
		}
		return fault(now)
	}
}

// TestBalanceDuringFaults guards against an upstream that keeps its work although it completes little of it, one that
// does not get its work back, and reports that are trusted after their owner is gone.
func TestBalanceDuringFaults(t *testing.T) {
	constant := func(b behaviour) func(int, time.Duration) behaviour {
		return duringFault(func(time.Duration) behaviour { return b })
	}
	for _, c := range []struct {
		name   string
		behave func(int, time.Duration) behaviour
		inject func(*testFleet)
		// maxShare is the largest share of the statements that b may get in the second half of the fault.
		maxShare float64
	}{
		{"slow", constant(behaviour{slowdown: 5}), nil, 0.1},
		{"failing", constant(behaviour{failPercent: 90}), nil, 0.25},
		{"mute", constant(behaviour{mute: true}), nil, 0.04},
		{"down", constant(behaviour{down: true}), nil, 0.01},
		{"flapping", duringFault(func(now time.Duration) behaviour {
			return behaviour{down: int(now.Seconds())%2 == 0}
		}), nil, 0.5},
		{"owner killed", nil, func(f *testFleet) { f.ownerOfB().kill() }, 0.5},
		{"owner cut", nil, func(f *testFleet) {
			owner := f.ownerOfB()
			owner.cut = true
			f.after(faultUntil-faultFrom, func() { owner.cut = false })
		}, 0.5},
		{"owner suspended", nil, func(f *testFleet) {
			owner := f.ownerOfB()
			owner.suspended = true
			f.after(faultUntil-faultFrom, owner.resume)
		}, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var share, before, after float64
			var last, balanced fleetFigures
			for seed := range *fleetSeeds + 1 {
				l, b := newFaultRun(seed+1, c.behave, c.inject, false), newFaultRun(seed+1, c.behave, c.inject, true)
				share, before, after = share+b.during, before+b.before, after+b.after
				last.add(l.figures)
				balanced.add(b.figures)
			}
			runs := float64(*fleetSeeds + 1)
			t.Logf("share of b %.3f, during the fault %.3f, then %.3f\nlast report %s\n   balanced %s", before/runs,
				share/runs, after/runs, &last, &balanced)
			if share > c.maxShare*runs {
				t.Errorf("share of b %.3f during the fault, want %.3f at most", share/runs, c.maxShare)
			}
			if after < before/2 {
				t.Errorf("share of b %.3f after the fault, %.3f before", after/runs, before/runs)
			}
			if balanced.lateShare() > last.lateShare()+lateResolution ||
				balanced.failedShare() > last.failedShare()+lateResolution {
				t.Errorf("%.2f%% late, %.2f%% failed; by the last report %.2f%%, %.2f%%", balanced.lateShare(),
					balanced.failedShare(), last.lateShare(), last.failedShare())
			}
		})
	}
}

// faultRun is a run through a fault: the shares of b before it, in its second half, and after the recovery.
type faultRun struct {
	before, during, after float64
	figures               fleetFigures
}

func newFaultRun(
	seed uint64, behave func(int, time.Duration) behaviour, inject func(*testFleet), balanced bool,
) faultRun {
	f := newTestFleet(seed, fleetLoad{
		nodes: 64, slots: 5, swing: 0.3, period: 13 * time.Second, peak: 450, behave: behave,
		config: func(c *Config) { c.BalanceReads = balanced },
	})
	if inject != nil {
		f.after(faultFrom-f.now, func() { inject(f) })
	}
	f.run(faultFrom - time.Second - f.now)
	r := faultRun{before: f.shareOfB(time.Second)}
	f.run((faultUntil - faultFrom) / 2)
	r.during = f.shareOfB((faultUntil - faultFrom) / 2)
	f.run(recoveryTime)
	r.after = f.shareOfB(4 * time.Second)
	r.figures = f.result
	return r
}

// shareOfB runs the fleet for a time and returns the share of the statements answered in it that upstream b answered.
func (f *testFleet) shareOfB(d time.Duration) float64 {
	count := func() (b, all int) {
		for _, u := range f.upstreams {
			all += u.ran
		}
		return f.upstreams[1].ran, all
	}
	bBefore, allBefore := count()
	f.run(d)
	b, all := count()
	return float64(b-bBefore) / float64(max(1, all-allBefore))
}

// TestReturnUnderItsName guards against figures of an earlier process of an upstream that are used for the next one.
func TestReturnUnderItsName(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadBoundedStaleness)
	u := f.state.catalog.upstreams["b"]
	u.load.recordReport(testSelf, time.Second, currantloom.UpstreamLoad{Jobs: 9, LostPercent: 90}, f.now)
	f.state.poolOf(u).work.lost = 50
	restarted := testUpstream("b", false)
	restarted.Upstream.Incarnation, restarted.Position = 2, testStorePosition(20)
	f.reduce(CatalogChanged{
		Stamp: f.stamp(), Position: testStorePosition(20), Upstreams: []UpstreamChange{restarted},
	})
	u = f.state.catalog.upstreams["b"]
	if u.load != (knownLoad{}) || f.state.poolOf(u).load() != (currantloom.UpstreamLoad{}) {
		t.Errorf("known load %+v, owner's load %+v; want none", u.load, f.state.poolOf(u).load())
	}
}
