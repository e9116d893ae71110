package loommeasure

import (
	"slices"
	"testing"
)

// TestMeasuresAreReproducible guards against measures that depend on the real time or on the order of a map, and
// against a failover that loses acknowledged writes.
func TestMeasuresAreReproducible(t *testing.T) {
	d := deployments()[0]
	for _, run := range []func(deployment, policy, uint64) []value{
		measureCrash, measureSilence, measurePlanned, measurePeak,
	} {
		first, second := run(d, policyCore, 1), run(d, policyCore, 1)
		if !slices.Equal(first, second) {
			t.Errorf("two runs on the same seed differ:\n%v\n%v", first, second)
		}
		for _, v := range first {
			if v.name == "acknowledged writes lost" && v.amount != 0 {
				t.Errorf("%v acknowledged writes lost", v.amount)
			}
		}
	}
}
