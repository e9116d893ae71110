package loomfleet

import (
	"flag"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// replayLoads are the loads of docs/organisations.md. The utilisation leaves out the opening of connections.
var replayLoads = map[string]replayLoad{
	"skewed, 60%":     {organisations: 85, skew: 1.2, utilisation: 0.6},
	"skewed, 85%":     {organisations: 85, skew: 1.2, utilisation: 0.85},
	"burst, 60%":      {organisations: 85, skew: 1.2, utilisation: 0.6, burst: 7},
	"burst, 85%":      {organisations: 85, skew: 1.2, utilisation: 0.85, burst: 7},
	"many small, 60%": {organisations: 85, utilisation: 0.6},
	"many small, 85%": {organisations: 85, utilisation: 0.85},
}

var (
	replaySeed  = flag.Uint64("conns.seed", 20, "first seed of TestConnPolicies")
	replaySeeds = flag.Int("conns.seeds", 2, "number of seeds of TestConnPolicies")
	replayLimit = flag.Int("conns.limit", 70, "connection limit of the upstream in TestConnPolicies")
)

// recentUse counts jobs by organisation, decayed, for the policy that shares connections by use.
type recentUse struct {
	counts map[currantloom.OrganisationName]float64
	at     map[currantloom.OrganisationName]time.Duration
}

func newRecentUse() *recentUse {
	return &recentUse{
		counts: make(map[currantloom.OrganisationName]float64), at: make(map[currantloom.OrganisationName]time.Duration),
	}
}

func (u *recentUse) recent(organisation currantloom.OrganisationName, now time.Duration) float64 {
	const halfLife = 10 * time.Second
	return u.counts[organisation] * math.Exp2(-float64(now-u.at[organisation])/float64(halfLife))
}

func (u *recentUse) record(organisation currantloom.OrganisationName, now time.Duration) {
	u.counts[organisation], u.at[organisation] = u.recent(organisation, now)+1, now
}

// worth is the recent use of an organisation for each of its connections.
func (u *recentUse) worth(organisation currantloom.OrganisationName, held int, now time.Duration) float64 {
	return u.recent(organisation, now) / float64(max(1, held))
}

// replayPolicy plays a load with several seeds and adds the results up.
func replayPolicy(t *testing.T, load replayLoad, lookahead float64, byUse bool) replayResult {
	t.Helper()
	var sum replayResult
	for i := range *replaySeeds {
		policy := connPolicy{lookahead: lookahead}
		var use *recentUse
		if byUse {
			use = newRecentUse()
			policy.worth = use.worth
		}
		sum.add(runReplay(t, load, policy, use, *replayLimit, *replaySeed+uint64(i)), *replaySeeds)
	}
	slices.Sort(sum.latencies)
	return sum
}

// TestConnPolicies guards against a policy that loses more slot time to the opening of connections, and serves callers
// worse, than the plain one: the longest idle connection is closed, and one is opened as soon as a job lacks it. With a
// few seeds the late shares of one load differ by chance, so only their sum over the loads is compared then.
func TestConnPolicies(t *testing.T) {
	const manySeeds = 10
	var mu sync.Mutex
	var plainSum, chosenSum replayResult
	t.Run("loads", func(t *testing.T) {
		for name, load := range replayLoads {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				plain := replayPolicy(t, load, 0, false)
				chosen := replayPolicy(t, load, lookaheadShare, false)
				byUse := replayPolicy(t, load, lookaheadShare, true)
				t.Logf("longest idle:                 %s", plain.String())
				t.Logf("longest idle, with lookahead: %s", chosen.String())
				t.Logf("by use, with lookahead:       %s", byUse.String())
				chosen.assertCost(t, plain)
				if *replaySeeds >= manySeeds {
					chosen.assertLateShares(t, plain)
				}
				mu.Lock()
				defer mu.Unlock()
				plainSum.add(plain, 1)
				chosenSum.add(chosen, 1)
			})
		}
	})
	chosenSum.assertLateShares(t, plainSum)
}

// assertCost checks the slot time and the connections of a result, and that urgent requests are in time.
func (r *replayResult) assertCost(t *testing.T, plain replayResult) {
	t.Helper()
	if r.openTime >= plain.openTime {
		t.Errorf("with lookahead %s of slot time lost, without %s", r.openTime, plain.openTime)
	}
	if percent(r.urgent) > 1 {
		t.Errorf("%.2f%% of the most urgent requests are late, want at most 1%%", percent(r.urgent))
	}
	if owner := newConnShares(*replayLimit).owner; r.peak > owner {
		t.Errorf("%d connections, want at most %d", r.peak, owner)
	}
}

// assertLateShares checks that no more requests are late than with the plain policy.
func (r *replayResult) assertLateShares(t *testing.T, plain replayResult) {
	t.Helper()
	if percent(r.late) > percent(plain.late) {
		t.Errorf("with lookahead %.2f%% late, without %.2f%%", percent(r.late), percent(plain.late))
	}
	if percent(r.small) > percent(plain.small) {
		t.Errorf("small organisations: with lookahead %.2f%% late, without %.2f%%", percent(r.small), percent(plain.small))
	}
}
