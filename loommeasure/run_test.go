package loommeasure

import (
	"slices"
	"testing"
)

// TestMeasuresAreReproducible guards against simulations whose results depend on real time or on map order, and against
// a failover that loses acknowledged writes.
func TestMeasuresAreReproducible(t *testing.T) {
	d := deployments()[0]
	for _, run := range []func(deployment, policy, uint64) []result{
		measureProcessLoss, measureVMLoss, measurePlannedChange, measurePeak,
	} {
		first, second := run(d, policyLoomcore, 1), run(d, policyLoomcore, 1)
		if !slices.Equal(first, second) {
			t.Errorf("two runs on the same seed differ:\n%v\n%v", first, second)
		}
		for _, v := range first {
			if v.name == "acknowledged writes lost" && v.value != 0 {
				t.Errorf("%v acknowledged writes lost", v.value)
			}
		}
	}
}
