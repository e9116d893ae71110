package loommeasure

import (
	"math"
	"testing"
)

// TestFitLine guards against a wrong line, and against a deviation that is too small to show that the points are on a
// curve.
func TestFitLine(t *testing.T) {
	for _, test := range []struct {
		name   string
		points []point
		want   linearFit
	}{
		{"line", []point{{1, 5}, {2, 7}, {4, 11}}, linearFit{3, 2, 0}},
		{"curve", []point{{0, 0}, {1, 3}, {2, 0}}, linearFit{1, 0, 2}},
		{"one size", []point{{2, 7}, {2, 9}}, linearFit{8, 0, 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := fitLine(test.points)
			if math.Abs(got.intercept-test.want.intercept) > 1e-9 || math.Abs(got.slope-test.want.slope) > 1e-9 ||
				math.Abs(got.deviation-test.want.deviation) > 1e-9 {
				t.Errorf("fit of %v is %v, want %v", test.points, got, test.want)
			}
		})
	}
}

// TestCapacityMeasures guards against a quantity that is missing from the table, or that has fewer than 3 sizes: a line
// through 2 points always has a deviation of zero.
func TestCapacityMeasures(t *testing.T) {
	count := make(map[string]int)
	for _, m := range capacityMeasures() {
		count[m.name]++
		if len(m.sizes) < 3 {
			t.Errorf("%s per %s has %d sizes, want at least 3", m.name, m.sizeUnit, len(m.sizes))
		}
	}
	for name, want := range map[string]int{
		"memory of a state": 3, "memory at the entry": 1, "memory at the carrier": 1,
		"processor time of a tick": 2, "processor time of a tick and polls": 1,
		"processor time of a write, both cores": 1, "processor time of a VM list change": 2,
		"processor time of a rules change, with parsing": 1,
		"status polls a second, mean of the nodes":       1, "status polls a second, most of a node": 1,
		"pushes of a rules change": 1, "most pushes of one node, rules change": 1, "hops of a rules change": 1,
		"pushes between regions, rules change": 1, "watches on the rules": 1,
		"memory of idle links, both ends": 1, "status polls of a server, payload": 1,
		"status polls, processor time with the server": 1,
		"rules pulls without news, payload":            1, "rules pushes of a changed line, payload": 1,
		"VM list, unchanged for 10 s, payload": 1, "VM list, unchanged for 10 s, calls": 1,
		"VM list read, processor time with the platform": 1,
		"SCRAM login, processor time at the node":        1, "SCRAM login as a client of a server": 1,
	} {
		if count[name] != want {
			t.Errorf("%d measures of %q, want %d", count[name], name, want)
		}
	}
}

// TestRepeatableMeasures guards against byte and message counts that depend on real time or on map order. It also
// checks that the links open and that the states acknowledge the measured writes.
func TestRepeatableMeasures(t *testing.T) {
	for name, run := range map[string]func(int) (float64, error){
		"polls": pollBytes, "pulls": pullBytes, "pushes": pushBytes,
		"rules change": func(n int) (float64, error) {
			r, err := propagateRules(n)
			return float64(r.messages), err
		},
	} {
		t.Run(name, func(t *testing.T) {
			first, err := run(20)
			if err != nil {
				t.Fatal(err)
			}
			second, err := run(20)
			if err != nil || second != first {
				t.Errorf("two runs give %v and %v, error %v", first, second, err)
			}
		})
	}
	if _, err := linkMemory(20); err != nil {
		t.Error(err)
	}
	b := newCoreBench(20, 8)
	if _, err := writeTime(len(b.vmSet.VMs)); err != nil {
		t.Error(err)
	}
}
