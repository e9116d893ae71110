package loommodel_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
	"currantloom.example/currantloom/loommodel"
)

var (
	firstSeed = flag.Uint64("model.seed", 1, "first seed of TestTroubles")
	seedCount = flag.Int("model.seeds", 12, "number of seeds of TestTroubles")
	sizes     = flag.Int("model.size", -1, "fixes the sizes of the worlds and the number of faults; -1 takes the seed")
	traced    = flag.Bool("model.trace", false, "print the decisions of all nodes")
)

// settle is the time in which a fleet starts.
const settle = 4 * time.Second

func newWorld(t *testing.T, seed uint64, o loommodel.Options) *loommodel.World {
	t.Helper()
	w := loommodel.New(seed, o)
	if *traced {
		w.Trace = func(at time.Duration, vm currantloom.VMName, d loomfleet.Decision) {
			t.Logf("%9.4f %s %s req=%s svc=%s up=%s vm=%s mark=%s v=%d age=%s att=%d reason=%q %s", at.Seconds(), vm,
				d.Event, d.Request, d.Service, d.Upstream, d.VM, d.Position, d.Version, d.Age, d.Attempt, d.Reason, d.Outcome)
		}
	}
	w.Run(settle)
	w.StartClients()
	return w
}

// assertSound checks that the oracle found nothing.
func assertSound(t *testing.T, w *loommodel.World) {
	t.Helper()
	for _, f := range w.Violations() {
		t.Error(f)
	}
}

// assertServes checks that clients are served again after the faults.
func assertServes(t *testing.T, w *loommodel.World) {
	t.Helper()
	before := w.Stats().Replies["ok"]
	commits := w.Stats().Commits
	w.Run(3 * time.Second)
	if got := w.Stats().Replies["ok"] - before; got < 100 {
		t.Errorf("%d statements served in 3 s after the faults, want 100 or more", got)
	}
	if got := w.Stats().Commits - commits; got < 5 {
		t.Errorf("%d commits in 3 s after the faults, want 5 or more", got)
	}
}

// TestCalm guards against a fleet that refuses or loses work although nothing is wrong.
func TestCalm(t *testing.T) {
	w := newWorld(t, 1, loommodel.Options{Services: 2, Clients: 20})
	w.Run(20 * time.Second)
	assertSound(t, w)
	assertServes(t, w)
	for code, count := range w.Stats().Replies {
		if code != "ok" {
			t.Errorf("%d statements answered %s on a calm day", count, code)
		}
	}
}

// TestTroubles guards against wrong answers under any faults, several at a time: stale reads, lost or doubled writes,
// false promises, mixed sessions. The seed fixes the whole run.
func TestTroubles(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			size := int(seed)
			if *sizes >= 0 {
				size = *sizes
			}
			w := newWorld(t, seed, loommodel.Options{Nodes: 3 + size%3, Services: 1 + size%2, Clients: 16})
			drawn := w.ScheduleRandomFaults(2+size%6, 20*time.Second)
			w.Run(32 * time.Second)
			w.Heal()
			w.SetStoreDown(false)
			w.Run(8 * time.Second)
			assertSound(t, w)
			assertServes(t, w)
			if t.Failed() {
				t.Log(drawn)
			}
		})
	}
}
