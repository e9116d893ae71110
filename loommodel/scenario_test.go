package loommodel_test

import (
	"fmt"
	"testing"
	"time"

	"currantloom.example/currantloom/loommodel"
)

// TestEachTrouble guards against a single kind of fault that the fleet does not survive.
func TestEachTrouble(t *testing.T) {
	for _, trouble := range loommodel.Faults() {
		t.Run(trouble.String(), func(t *testing.T) {
			for seed := range uint64(3) {
				w := newWorld(t, 100*seed+uint64(trouble), loommodel.Options{Clients: 16})
				w.ScheduleFault(trouble, time.Second)
				w.ScheduleFault(trouble, 5*time.Second)
				w.Run(20 * time.Second)
				assertSound(t, w)
				assertServes(t, w)
			}
		})
	}
}

// TestLastCopy guards against the promotion of a replica that lacks acknowledged commits. The primary dies while one
// replica receives nothing; the other one takes over, and is then the only server that holds them. Its commits hang,
// but it must not be replaced once the dead server counts as gone.
func TestLastCopy(t *testing.T) {
	for seed := range uint64(5) {
		w := newWorld(t, seed, loommodel.Options{Clients: 16})
		w.Run(time.Second)
		primary := w.Primary(0)
		deaf := ""
		for _, name := range w.Upstreams() {
			if name != primary {
				deaf = name
			}
		}
		w.SlowReplication(deaf, 1, true, 12*time.Second)
		w.Run(2 * time.Second)
		w.Crash(primary, true, 30*time.Second)
		w.Run(20 * time.Second)
		assertSound(t, w)
	}
}

// TestSplit guards against a node that is alone with a replaced primary: it must not serve what others have changed,
// and what it is told to be committed must not be lost with the next primary. The parts of one side reach each other
// only.
func TestSplit(t *testing.T) {
	for _, c := range []struct {
		name string
		// replicas is the number of replicas on the side of the primary; -1 means that they are on both sides.
		replicas int
		// promotes says that the other side can choose a next primary.
		promotes bool
	}{
		{"primary and a node", 0, true},
		{"primary and a node, replicas on both sides", -1, true},
		{"primary, a replica and a node", 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(5) {
				w := newWorld(t, seed, loommodel.Options{Nodes: 4, Clients: 32, ThinkTime: 20 * time.Millisecond})
				w.Run(time.Second)
				split(w, c.replicas)
				w.Run(8 * time.Second)
				if promoted := w.Stats().Promotions > 0; promoted != c.promotes {
					t.Errorf("seed %d: promoted %t, want %t", seed, promoted, c.promotes)
				}
				w.Heal()
				w.Run(4 * time.Second)
				assertSound(t, w)
			}
		})
	}
}

// split cuts the primary, a node that does not hold the duty, and some replicas off from everything else.
func split(w *loommodel.World, replicas int) {
	primary := w.Primary(0)
	near, far := []string{primary}, []string{"store", "cloud"}
	for _, name := range w.Nodes() {
		if len(near) == 1 && name != w.FailoverLeaseHolder() {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	for _, name := range w.Upstreams() {
		switch {
		case name == primary || replicas < 0:
		case replicas > 0:
			replicas--
			near = append(near, name)
		default:
			far = append(far, name)
		}
	}
	for _, from := range near {
		for _, to := range far {
			w.Partition(from, to, true)
		}
	}
}

// TestOldReplicas guards against reads from replicas that are further behind than is accepted.
func TestOldReplicas(t *testing.T) {
	const factor = 200 // of 20 ms, so that replicas are 2 to 6 s behind
	for seed := range uint64(5) {
		w := newWorld(t, seed, loommodel.Options{Clients: 32, ThinkTime: 20 * time.Millisecond})
		w.Run(time.Second)
		for _, name := range w.Upstreams() {
			if name != w.Primary(0) {
				w.SlowReplication(name, factor, false, 8*time.Second)
			}
		}
		w.Run(8 * time.Second)
		assertSound(t, w)
	}
}

// TestLoneReplica guards against a change of primary that is hopeless and stops the only replica that commits wait for.
// The primary dies while one replica receives nothing; the other one takes over. Its commits hang until the first
// replica receives again, and are then acknowledged at once.
func TestLoneReplica(t *testing.T) {
	const (
		deafFor = 4 * time.Second
		// catchUp covers the next repetition of the log, 100 ms, and a round trip between regions.
		catchUp = 300 * time.Millisecond
	)
	for seed := range uint64(10) {
		w := newWorld(t, seed, loommodel.Options{Clients: 16})
		w.Run(time.Second)
		primary := w.Primary(0)
		deaf := ""
		for _, name := range w.Upstreams() {
			if name != primary {
				deaf = name
			}
		}
		w.SlowReplication(deaf, 1, true, deafFor)
		w.Run(500 * time.Millisecond)
		w.Crash(primary, true, 30*time.Second)
		w.Run(deafFor - 500*time.Millisecond)
		commits := w.Stats().Commits
		w.Run(catchUp)
		if w.Stats().Commits == commits {
			t.Errorf("seed %d: no commit within %s after the replica received again", seed, catchUp)
		}
		assertSound(t, w)
	}
}

// failoverBound is the time in which a change of primary has to be over.
const failoverBound = 8 * time.Second

// TestFailoverTime guards against an interruption of writes that is longer than the users accept. It prints the
// distribution for docs/CAPACITY.md.
func TestFailoverTime(t *testing.T) {
	causes := map[string]func(w *loommodel.World){
		"crash": func(w *loommodel.World) { w.Crash(w.Primary(0), false, 20*time.Second) },
		"dark":  func(w *loommodel.World) { w.Crash(w.Primary(0), true, 20*time.Second) },
		"dark, holder killed": func(w *loommodel.World) {
			w.Crash(w.Primary(0), true, 20*time.Second)
			w.Kill(w.FailoverLeaseHolder(), 10*time.Second)
		},
		"dark, store down": func(w *loommodel.World) {
			w.SetStoreDown(true)
			w.Crash(w.Primary(0), true, 20*time.Second)
		},
		"planned": func(w *loommodel.World) { w.Drain(w.Primary(0), 7*time.Second) },
	}
	for name, cause := range causes {
		t.Run(name, func(t *testing.T) {
			var gaps []time.Duration
			for seed := range uint64(10) {
				gaps = append(gaps, gapOf(t, seed, cause))
			}
			longest := time.Duration(0)
			for _, gap := range gaps {
				longest = max(longest, gap)
			}
			t.Logf("%s: longest time without a commit %s of %v", name, longest, gaps)
			if longest > failoverBound {
				t.Errorf("no commit for %s, want at most %s", longest, failoverBound)
			}
		})
	}
}

// gapOf returns the longest time without a commit after the cause.
func gapOf(t *testing.T, seed uint64, cause func(*loommodel.World)) time.Duration {
	t.Helper()
	w := newWorld(t, seed, loommodel.Options{Nodes: 6, Clients: 24, ThinkTime: 20 * time.Millisecond})
	w.Run(2 * time.Second)
	cause(w)
	var longest, since time.Duration
	commits := w.Stats().Commits
	const step = 50 * time.Millisecond
	for range 15 * time.Second / step {
		w.Run(step)
		if got := w.Stats().Commits; got > commits {
			commits, since = got, 0
			continue
		}
		since += step
		longest = max(longest, since)
	}
	assertSound(t, w)
	return longest.Round(time.Millisecond)
}

// TestRollingStop guards against a planned stop of all nodes, one after the other, that is an incident for clients.
func TestRollingStop(t *testing.T) {
	w := newWorld(t, 3, loommodel.Options{Nodes: 4, Clients: 20})
	for _, name := range w.Nodes() {
		w.Stop(name, 500*time.Millisecond)
		w.Run(9 * time.Second)
	}
	assertSound(t, w)
	assertServes(t, w)
	answered := w.Stats().Replies
	total := 0
	for _, count := range answered {
		total += count
	}
	if bad := total - answered["ok"]; bad > total/100 {
		t.Errorf("%d of %d statements failed while nodes were stopped in turn: %v", bad, total, fmt.Sprint(answered))
	}
}
