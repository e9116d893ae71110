package loommeasure

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
)

// defaultSeeds is the number of runs per measure if the options state none.
const defaultSeeds = 5

// Options selects the form of the output and the number of runs. The zero value is a table over five seeds.
type Options struct {
	JSON  bool
	Seeds int
}

// value is one result of one run.
type value struct {
	name   string
	unit   string
	amount float64
}

// measure is one of the measures of the design page with the policies it compares.
type measure struct {
	name     string
	target   string
	run      func(deployment, policy, uint64) []value
	policies []namedPolicy
}

type namedPolicy struct {
	policy policy
	name   string
}

func measures() []measure {
	return []measure{
		{
			"reads at replicas", "at least 90% of reads that accept an age, 60% of session reads after a write; none too old",
			measureReads, []namedPolicy{
				{policyCore, "policy"}, {policyPrimaryReads, "baseline: all reads to the primary"},
				{policyNoToken, "baseline: replica only without a token"},
			},
		},
		{
			"failover, process of the primary dies", "median 2 s, never over 8 s", measureCrash, []namedPolicy{
				{policyCore, "policy"}, {policyNoSuspicion, "baseline: without suspicion by users"},
			},
		},
		{
			"failover, VM of the primary is gone", "median 2 s, never over 8 s", measureSilence, []namedPolicy{
				{policyCore, "policy"}, {policyNoSuspicion, "baseline: without suspicion by users"},
			},
		},
		{
			"planned change of the primary", "under 250 ms, no failed request", measurePlanned, []namedPolicy{
				{policyCore, "policy"}, {policyNoHandover, "baseline: without handover"},
			},
		},
		{
			"load swing", "goodput within 5% of capacity; immediate refusals; no caller below its share",
			measurePeak, []namedPolicy{
				{policyCore, "policy"}, {policyQueue, "baseline: FIFO queue"},
				{policySplit, "baseline: static split of connections"},
			},
		},
		{
			"short beside long work", "p99 wait of short work within 2x of the run without long work; long work finishes",
			measureBlocking, []namedPolicy{{policyCore, "policy"}, {policyQueue, "baseline: one queue"}},
		},
	}
}

// row is one result over all seeds.
type row struct {
	Deployment string  `json:"deployment"`
	Measure    string  `json:"measure"`
	Target     string  `json:"target"`
	Policy     string  `json:"policy"`
	Value      string  `json:"value"`
	Unit       string  `json:"unit"`
	Min        float64 `json:"min"`
	Median     float64 `json:"median"`
	Max        float64 `json:"max"`
}

// Run measures both deployments and writes the results.
func Run(w io.Writer, options Options) error {
	seeds := options.Seeds
	if seeds <= 0 {
		seeds = defaultSeeds
	}
	var rows []row
	for _, d := range deployments() {
		for _, m := range measures() {
			for _, p := range m.policies {
				rows = append(rows, runSeeds(d, m, p, seeds)...)
			}
		}
	}
	if options.JSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(rows)
	}
	return writeTables(w, rows, seeds)
}

// runSeeds runs one measure with the seeds 1 to seeds.
func runSeeds(d deployment, m measure, p namedPolicy, seeds int) []row {
	results := make([][]value, seeds)
	var wait sync.WaitGroup
	for seed := range seeds {
		wait.Go(func() { results[seed] = m.run(d, p.policy, uint64(seed+1)) })
	}
	wait.Wait()
	var rows []row
	for i, v := range results[0] {
		var amounts []float64
		for _, r := range results {
			amounts = append(amounts, r[i].amount)
		}
		slices.Sort(amounts)
		rows = append(rows, row{
			Deployment: d.name, Measure: m.name, Target: m.target, Policy: p.name, Value: v.name, Unit: v.unit,
			Min: amounts[0], Median: amounts[len(amounts)/2], Max: amounts[len(amounts)-1],
		})
	}
	return rows
}

// writeTables writes one table per deployment.
func writeTables(w io.Writer, rows []row, seeds int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	deployment, measure, policy := "", "", ""
	for _, r := range rows {
		if r.Deployment != deployment {
			deployment, measure = r.Deployment, ""
			_, _ = fmt.Fprintf(t, "\n%s, %d seeds\tmin\tmedian\tmax\t\n", r.Deployment, seeds)
		}
		if r.Measure != measure {
			measure, policy = r.Measure, ""
			_, _ = fmt.Fprintf(t, "%s (target: %s)\t\t\t\t\n", r.Measure, r.Target)
		}
		if r.Policy != policy {
			policy = r.Policy
			_, _ = fmt.Fprintf(t, "  %s\t\t\t\t\n", r.Policy)
		}
		_, _ = fmt.Fprintf(t, "    %s\t%s\t%s\t%s\t%s\n", r.Value, format(r.Min), format(r.Median), format(r.Max), r.Unit)
	}
	return t.Flush()
}

func format(x float64) string {
	if x == float64(int64(x)) {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.1f", x)
}
