package loommodel_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"currantloom.example/currantloom/loommodel"
)

var (
	firstWatchSeed = flag.Uint64("model.watch.seed", 1, "first seed of TestConfigurationTime")
	watchSeeds     = flag.Int("model.watch.seeds", 50, "number of seeds of TestConfigurationTime")
)

// watchFleets are the sizes of TestConfigurationTime, with the times that the platform promises for them.
var watchFleets = map[string]loommodel.WatchOptions{
	"small": {Nodes: 9, Bound: 4 * time.Second, ContactTime: 5 * time.Second},
	"large": {
		Nodes: 84, Domains: 6, PushTime: 25 * time.Millisecond, AnswerTime: 40 * time.Millisecond, Bound: 6 * time.Second,
		ContactTime: 6 * time.Second,
	},
}

// drawChanges schedules a series of changes around the time.
func drawChanges(f *loommodel.WatchFleet, r *rand.Rand, around time.Duration) []func() {
	var changes []func()
	for range 2 + r.IntN(6) {
		at := around + time.Duration(r.Int64N(int64(8*time.Second)))
		changes = append(changes, func() { f.RunAt(at, f.Change) })
	}
	return changes
}

// drawFault returns a random fault.
func drawFault(f *loommodel.WatchFleet, r *rand.Rand) (string, func()) {
	d := time.Second + time.Duration(r.Int64N(int64(11*time.Second)))
	share, silent, watchers, i := r.Float64(), r.IntN(3) > 0, r.IntN(2) == 0, f.RandomWatcher()
	switch r.IntN(11) {
	case 0:
		return "pause", func() { f.Pause(i, d/2) }
	case 1:
		return "remove", func() { f.Remove(i) }
	case 2:
		return "mute", func() { f.Mute(i, d) }
	case 3:
		return "squeeze", func() { f.Squeeze(i, 10+r.IntN(60), d) }
	case 4:
		return "delay", func() { f.Delay(i, d, d) }
	case 5:
		return "delay watchers", func() { f.DelayWatchers(d, 2*d) }
	case 6:
		return "silence", f.Silence
	default:
		return fmt.Sprintf("refuse %.2f silent %t watchers %t", share, silent, watchers), func() {
			f.Refuse(share, silent, watchers, d)
		}
	}
}

// TestConfigurationTime guards against a node that the store answers and that learns of a change later than the
// platform promises, while the store turns any subset of the nodes away, and others are paused, removed, slow, cut off
// or late.
func TestConfigurationTime(t *testing.T) {
	for name, options := range watchFleets {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i := range *watchSeeds {
				playWatchFaults(t, *firstWatchSeed+uint64(i), options)
			}
		})
	}
}

// playWatchFaults plays the changes and faults of a seed.
func playWatchFaults(t *testing.T, seed uint64, options loommodel.WatchOptions) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 1))
	f := loommodel.NewWatchFleet(seed, options)
	var faults []string
	around := 5*time.Second + time.Duration(r.Int64N(int64(2*time.Second)))
	for range 1 + r.IntN(4) {
		at := around + time.Duration(r.Int64N(int64(6*time.Second)))
		fault, inject := drawFault(f, r)
		faults = append(faults, fmt.Sprintf("%s at %s", fault, at))
		f.RunAt(at, inject)
	}
	for _, schedule := range drawChanges(f, r, around) {
		schedule()
	}
	f.Run(40 * time.Second)
	for _, v := range f.Violations() {
		t.Errorf("seed %d: %s (%q)", seed, v, faults)
	}
}

// TestCallsWithoutFaults guards against followers that call the store although their watchers have recent answers, and
// against watchers that call it more often than planned: waiting calls are priced.
func TestCallsWithoutFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fleet string
		// perSecond is the number of calls that the nodes which watch the store make: one in the time that a call waits.
		perSecond float64
	}{"small": {"small", 9.0 / 2}, "large": {"large", 12}} {
		t.Run(name, func(t *testing.T) {
			f := loommodel.NewWatchFleet(1, watchFleets[c.fleet])
			f.Run(5 * time.Second)
			before := f.Calls()
			const d = 60 * time.Second
			f.Run(d)
			if got := float64(f.Calls()-before) / d.Seconds(); got > c.perSecond*1.05 {
				t.Errorf("%.1f calls a second, want %.1f", got, c.perSecond)
			}
		})
	}
}
