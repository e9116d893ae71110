package loomfleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// testCandidate returns a candidate with the reported jobs beyond its slots and the price of the way.
func testCandidate(distance time.Duration, waiting int) candidate {
	c := candidate{slots: 4, known: true, age: 200 * time.Millisecond, cost: readCosts{distance: distance}}
	c.load.RunTimes[currantloom.WorkRead] = 20 * time.Millisecond
	c.load.RunTimes[currantloom.WorkOpening] = 20 * time.Millisecond
	c.load.Jobs = max(0, c.slots*min(1, waiting)+waiting)
	c.load.wait = time.Duration(waiting) * 5 * time.Millisecond
	return c
}

// TestChoose guards against wrong shares of the choices of many nodes that know the same.
func TestChoose(t *testing.T) {
	with := func(c candidate, change func(*candidate)) candidate {
		change(&c)
		return c
	}
	idle := testCandidate(0, 0)
	lost := func(c *candidate) { c.load.LostPercent = 95 }
	for _, c := range []struct {
		name       string
		candidates []candidate
		// least and most bound the share of the choices of the first candidate in percent.
		least, most float64
	}{
		{"an idle upstream in the failure domain", []candidate{idle, testCandidate(domainCost, 0)}, 100, 100},
		{"a short queue in the failure domain", []candidate{testCandidate(0, 4), testCandidate(regionCost, 0)}, 100, 100},
		{"a long queue and a free upstream in another region",
			[]candidate{testCandidate(0, 40), testCandidate(regionCost, 0)}, 25, 85},
		{"equal queues", []candidate{testCandidate(0, 20), testCandidate(0, 20), testCandidate(0, 20)}, 25, 45},
		{"a longer queue", []candidate{testCandidate(0, 30), testCandidate(0, 20), testCandidate(0, 20)}, 5, 30},
		{"calls since the report", []candidate{
			with(testCandidate(0, 1), func(c *candidate) { c.load.sentSince = 8 }), testCandidate(0, 0),
		}, 0, 30},
		{"a slow upstream", []candidate{
			with(idle, func(c *candidate) { c.load.RunTimes[currantloom.WorkRead] = 100 * time.Millisecond }), idle, idle,
		}, 0, 0},
		{"a slow upstream that is to be probed", []candidate{with(idle, func(c *candidate) {
			c.load.RunTimes[currantloom.WorkRead], c.age = 100*time.Millisecond, 2*time.Second
		}), idle, idle}, 1, 6},
		{"a mute upstream", []candidate{with(idle, lost), idle, idle}, 1, 6},
		{"a mute upstream of two", []candidate{with(idle, lost), idle}, 1, 6},
		{"the last good upstream", []candidate{
			with(idle, func(c *candidate) { c.load.LostPercent = 30 }), with(idle, lost), with(idle, lost),
		}, 80, 100},
		{"all mute", []candidate{with(idle, lost), with(idle, lost), with(idle, lost)}, 33, 100},
		{"an owner that owes an answer", []candidate{with(idle, func(c *candidate) { c.silence = time.Second }), idle}, 0, 0},
		{"errors of a transaction", []candidate{with(idle, func(c *candidate) {
			c.kind, c.load.FailurePercent = currantloom.WorkOpening, 40
		}), testCandidate(regionCost, 0)}, 0, 0},
		{"errors that all upstreams have", []candidate{
			with(idle, func(c *candidate) { c.load.FailurePercent = 40 }),
			with(testCandidate(domainCost, 0), func(c *candidate) { c.load.FailurePercent = 40 }),
		}, 100, 100},
		{"a primary", []candidate{with(idle, func(c *candidate) { c.cost.role = primaryCost }), idle}, 0, 0},
		{"a replica far behind", []candidate{with(idle, func(c *candidate) { c.cost.lag = farBehindCost }),
			testCandidate(regionCost, 40)}, 0, 0},
		{"a terminating upstream", []candidate{with(idle, func(c *candidate) { c.cost.state = terminatingCost }),
			testCandidate(regionCost, 200)}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			const nodes = 4000
			random := rand.New(rand.NewPCG(1, 2))
			first := 0
			for range nodes {
				candidates := append([]candidate(nil), c.candidates...)
				made, ok := choose(candidates, random.Uint64())
				if !ok {
					t.Fatal("no choice")
				}
				out := 0
				for _, k := range candidates {
					if k.excluded != notExcluded {
						out++
					}
				}
				if out > len(candidates)/2 {
					t.Fatalf("%d of %d upstreams are out of use", out, len(candidates))
				}
				if made.chosen == 0 {
					first++
				}
			}
			if got := 100 * float64(first) / nodes; got < c.least || got > c.most {
				t.Errorf("%.1f%% choose the first upstream, want %.0f%% to %.0f%%", got, c.least, c.most)
			}
		})
	}
}

// TestChooseNothing guards against a choice among upstreams of which none may get the read.
func TestChooseNothing(t *testing.T) {
	if made, ok := choose([]candidate{{excluded: excludedAvoided}, {excluded: excludedNoOwner}}, 1); ok {
		t.Errorf("candidate %d is chosen", made.chosen)
	}
	if _, ok := choose(nil, 1); ok {
		t.Error("a choice without candidates")
	}
}

// TestChoicesWithoutBalance guards against choices that change although BalanceReads is off: the upstream must be the
// first with the lowest sum of queue, distance, role and state, whatever else is known of its load.
func TestChoicesWithoutBalance(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	f := newFixture(t)
	f.configure(currantloom.ReadBoundedStaleness)
	locations := []currantloom.Location{
		testLocation, currantloom.NewLocation("ost", "steyr"), currantloom.NewLocation("west", "ibk"),
	}
	g := f.state.groupOf(testService)
	for range 2000 {
		f.now += time.Second
		f.state.now = f.now
		best, bestCost := currantloom.UpstreamName(""), time.Duration(0)
		for _, u := range g.upstreams {
			distance := random.IntN(3)
			u.Location, u.ownersEpoch = locations[distance], 0
			u.queueWait = time.Duration(random.IntN(200)) * time.Millisecond
			u.queueWaitAt = f.now - time.Duration(random.IntN(1500))*time.Millisecond
			u.slowUntil = f.now + time.Duration(random.IntN(3)-1)*time.Second
			u.load = knownLoad{
				UpstreamLoad: currantloom.UpstreamLoad{Jobs: random.IntN(90), LostPercent: random.IntN(100)},
				owner:        testSelf, at: f.now, wait: time.Minute, pending: random.IntN(9), sentSince: random.IntN(9),
			}
			cost := [...]time.Duration{0, 25 * time.Millisecond, 120 * time.Millisecond}[distance]
			if f.now-u.queueWaitAt < time.Second {
				cost += u.queueWait
			}
			if u.Name == g.primary {
				cost += 15 * time.Millisecond
			}
			if u.slowUntil > f.now {
				cost += 400 * time.Millisecond
			}
			if best == "" || cost < bestCost {
				best, bestCost = u.Name, cost
			}
		}
		r := &request{
			group: g, purpose: purposeRead, arrivedAt: f.now, session: &session{},
			route: currantloom.Route{ReadPolicy: currantloom.ReadBoundedStaleness, MaxAge: time.Second},
		}
		f.state.random = random.Uint64()
		if got, ok := f.state.selectTarget(r); !ok || got.upstream.Name != best {
			t.Fatalf("chosen %+v, want %s", got, best)
		}
	}
}
