package loomfleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// reportWorld draws orders of commits, acknowledgements, reports, proofs of the primary, and ends of processes, up to
// the crash of the primary.
type reportWorld struct {
	*rand.Rand
	now time.Duration
	// length is the length of the primary's log, received those of the replicas.
	length   currantloom.LogIndex
	received []currantloom.LogIndex
	// told is the newest commit that each node has acknowledged since it started, newest that of all nodes.
	told   []currantloom.LogIndex
	newest currantloom.LogIndex
	// acked, unreported and samples are what the holder of the failover lease knows.
	acked      currantloom.LogIndex
	unreported unreportedCommits
	samples    []sample
}

func newReportWorld(seed uint64) *reportWorld {
	return &reportWorld{
		Rand: rand.New(rand.NewPCG(seed, 63)), now: time.Minute, length: 1,
		received: []currantloom.LogIndex{1, 1}, told: make([]currantloom.LogIndex, 3),
	}
}

func (w *reportWorld) step() {
	w.now += 10 * time.Millisecond
	node := w.IntN(len(w.told))
	switch w.IntN(12) {
	case 0, 1, 2, 3:
		w.length++
	case 4, 5, 6:
		w.received[w.IntN(len(w.received))] = w.length
	case 7, 8:
		// An acknowledgement needs a replica that has received.
		w.told[node] = max(w.received[0], w.received[1])
		w.newest = max(w.newest, w.told[node])
	case 9:
		w.acked = max(w.acked, w.told[node])
	case 10:
		w.samples = append(w.samples, sample{position: currantloom.NewLogPosition(1, w.length), takenAt: w.now})
	case 11:
		w.end(node)
	}
}

// end ends the process of a node, and with it what it knew.
func (w *reportWorld) end(node int) {
	w.told[node] = 0
	w.unreported.add(w.now)
}

// judge says whether one replica may be promoted while the registration of the other has lapsed. All nodes that run
// have reported.
func (w *reportWorld) judge(candidate int) promotionBasis {
	for _, told := range w.told {
		w.acked = max(w.acked, told)
	}
	replica := currantloom.Upstream{Name: "b", Incarnation: 1}
	c := promotionCase{
		now: w.now, others: []currantloom.Upstream{replica}, silent: []currantloom.Upstream{{Name: "c"}},
		acked: currantloom.NewLogPosition(1, w.acked), unreported: w.unreported, samples: w.samples,
	}
	var p promotionProof
	log := currantloom.NewLogPosition(1, w.received[candidate])
	p.record(replica, halt{log: replicaLog{term: 1, received: log}})
	return p.judge(c, replica)
}

// TestUnreportedOrders guards against the promotion of a replica that lacks a commit which only a process that has
// ended had acknowledged, in any order of events.
func TestUnreportedOrders(t *testing.T) {
	promoted, refused := 0, 0
	for seed := range uint64(20000) {
		w := newReportWorld(seed)
		for range 5 + w.IntN(60) {
			w.step()
		}
		for node := range w.told {
			if w.IntN(2) == 0 {
				w.end(node)
			}
		}
		candidate := w.IntN(len(w.received))
		lacks := w.received[candidate] < w.newest
		switch basis := w.judge(candidate); {
		case basis.isSafe() && lacks:
			t.Errorf("seed %d: %q for a log that ends at %d, commit %d was acknowledged", seed, basis,
				w.received[candidate], w.newest)
		case basis.isSafe():
			promoted++
		case basis == basisUnreported && lacks:
			refused++
		}
	}
	if promoted < 1000 || refused < 1000 {
		t.Errorf("%d promotions and %d refusals of a lacking log, too few to show anything", promoted, refused)
	}
}

// TestUnreportedCase guards against a promotion that is judged without a log that may hold unreported commits, and
// against one that waits for a log that cannot.
func TestUnreportedCase(t *testing.T) {
	b, c := currantloom.Upstream{Name: "b", Incarnation: 1}, currantloom.Upstream{Name: "c", Incarnation: 1}
	at := func(index currantloom.LogIndex) replicaLog {
		return replicaLog{term: 1, received: currantloom.NewLogPosition(1, index)}
	}
	unreported := unreportedCommits{until: time.Second}
	for name, test := range map[string]struct {
		c    promotionCase
		want promotionBasis
	}{
		"silent replica":         {promotionCase{silent: []currantloom.Upstream{c}}, basisUnreported},
		"unknown replicas":       {promotionCase{minLogs: 2}, basisUnreported},
		"longer log, gone since": {promotionCase{longest: at(8)}, basisUnreported},
		"all logs known":         {promotionCase{longest: at(7), minLogs: 1}, basisAllPaused},
		"covered by a later log of the primary": {promotionCase{
			silent:  []currantloom.Upstream{c},
			samples: []sample{{position: at(7).received, takenAt: time.Second}},
		}, basisAllPaused},
		"covered by an earlier log only": {promotionCase{
			silent:  []currantloom.Upstream{c},
			samples: []sample{{position: at(7).received, takenAt: time.Second - 1}},
		}, basisUnreported},
		"one of two synchronous replicas": {promotionCase{
			silent: []currantloom.Upstream{c}, maxMissing: 1,
		}, basisAllPaused},
	} {
		t.Run(name, func(t *testing.T) {
			test.c.others, test.c.unreported = []currantloom.Upstream{b}, unreported
			var p promotionProof
			p.record(b, halt{log: at(7)})
			if got := p.judge(test.c, b); got != test.want {
				t.Errorf("%q, want %q", got, test.want)
			}
		})
	}
}

// TestSilentLogCounts guards against an upstream without a registration whose log counts for ever, or not at all, while
// commits are unreported. One that drained may have confirmed commits as well; its log counts no more once a new
// upstream has taken it over with the address.
func TestSilentLogCounts(t *testing.T) {
	for _, test := range []struct {
		name      string
		after     time.Duration
		draining  bool
		successor string
		want      bool
	}{
		{"lapsed", deletionGrace + 1, false, "", true},
		{"lapsed for long", silentLogTimeout, false, "", true},
		{"lapsed for too long", silentLogTimeout + 1, false, "", false},
		{"left after a drain", deletionGrace + 1, true, "", true},
		{"left, new upstream at its address", deletionGrace + 1, true, "10.0.1.3:1", false},
		{"left, new upstream elsewhere", deletionGrace + 1, true, "10.0.1.4:1", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newRemovalFixture(t)
			u := f.state.catalog.upstreams["c"]
			u.Address = "10.0.1.3:1"
			if test.draining {
				u.drain.begin(f.now, false)
			}
			f.deleteReplica()
			if test.successor != "" {
				d := testUpstream("d", false)
				d.Position, d.Upstream.Address = testStorePosition(31), test.successor
				f.reduce(CatalogChanged{Stamp: f.stamp(), Position: testStorePosition(31), Upstreams: []UpstreamChange{d}})
			}
			f.advance(test.after)
			fo := &failover{group: u.group, oldPrimary: "a", commits: newCommitBlock(1, nil)}
			if got := len(f.state.promotionCase(fo).silent) > 0; got != test.want {
				t.Errorf("the log counts: %t, want %t", got, test.want)
			}
		})
	}
}

// TestEndedProcessLeavesUnreportedCommits guards against a process that ends, or one that just started, whose commits
// count as reported.
func TestEndedProcessLeavesUnreportedCommits(t *testing.T) {
	t.Run("other node starts again", func(t *testing.T) {
		f := newRemovalFixture(t)
		f.reduce(CatalogChanged{Stamp: f.stamp(), Position: testStorePosition(40), Members: []MemberChange{{
			VM: f.state.members.byName["vm-2"].vm, Incarnation: 7, Position: testStorePosition(40),
		}}})
		if f.state.unreported.until != f.now {
			t.Errorf("unreported until %s, want %s", f.state.unreported.until, f.now)
		}
	})
	t.Run("this process starts", func(t *testing.T) {
		f := newFixture(t)
		f.state.catalog.storeFirstReachedAt = 0
		f.reduce(StoreWatchSucceeded{Stamp: f.stamp()})
		if f.state.unreported.until < f.now+commitLeaseDuration {
			t.Errorf("unreported until %s, want a commit lease after the store was reached at %s", f.state.unreported.until,
				f.now)
		}
	})
}
