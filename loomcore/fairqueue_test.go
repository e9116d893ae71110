package loomcore

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantloom.example/currantloom"
)

// TestFairQueueWeights guards against an organisation that gets less than its share: with equal costs, the numbers of
// runs are proportional to the weights.
func TestFairQueueWeights(t *testing.T) {
	tests := []struct {
		name  string
		costs [2]time.Duration
		want  [2]int
	}{
		{"equal costs", [2]time.Duration{10 * time.Millisecond, 10 * time.Millisecond}, [2]int{15, 5}},
		{"an organisation with long statements gets fewer runs",
			[2]time.Duration{30 * time.Millisecond, 10 * time.Millisecond},
			[2]int{10, 10}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var fq fairQueue
			for range 40 {
				for i, organisation := range []currantloom.OrganisationName{"steyr", "enns"} {
					a := &attempt{cost: test.costs[i]}
					a.header.Organisation = organisation
					fq.add(a, 3-2*i)
				}
			}
			var got [2]int
			for range 20 {
				if a := fq.next(func(*attempt) bool { return true }); a.header.Organisation == "steyr" {
					got[0]++
				} else {
					got[1]++
				}
			}
			if got != test.want {
				t.Errorf("got %v runs of 20, want %v", got, test.want)
			}
		})
	}
}

// TestFuzzFairQueue tests the deficit round robin alone and guards against an organisation that waits too long for its
// turn. While it waits, each other organisation may get at most what the waiting one needs to earn, in proportion to
// the weights, and one statement ahead of its turn.
func TestFuzzFairQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var fq fairQueue
		weights := map[currantloom.OrganisationName]int{"steyr": 1, "enns": 2, "traun": 3}
		const most = 100 * time.Millisecond
		served := make(map[currantloom.OrganisationName]time.Duration)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				organisation := rapid.SampledFrom([]currantloom.OrganisationName{"enns", "steyr", "traun"}).Draw(t, "caller")
				for range rapid.IntRange(1, 30).Draw(t, "burst") {
					a := &attempt{cost: time.Duration(rapid.IntRange(1, int(most)).Draw(t, "cost"))}
					a.header.Organisation = organisation
					fq.add(a, weights[organisation])
				}
			},
			"next": func(t *rapid.T) {
				a := fq.next(func(*attempt) bool { return true })
				if a == nil {
					t.Skip("nothing waits")
				}
				for _, o := range fq.organisations {
					served[o.organisation] += a.cost
				}
				delete(served, a.header.Organisation)
				for organisation, got := range served {
					if bound := 6*(most+2*quantum)/time.Duration(weights[organisation]) + 4*most; got > bound {
						t.Fatalf("organisation %s waits while others got %v, more than %v", organisation, got, bound)
					}
				}
			},
		})
	})
}
