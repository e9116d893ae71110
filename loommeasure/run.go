package loommeasure

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
)

// defaultSeeds is the number of seeds per measure if the options set none.
const defaultSeeds = 5

// Options selects the output format and the number of seeds, each of which is one run of every measure. The zero value
// means a table over five seeds. RunCapacity ignores Seeds.
type Options struct {
	JSON  bool
	Seeds int
}

// result is a quantity measured in one run.
type result struct {
	name  string
	unit  string
	value float64
}

// measure compares policies. run returns the results of one policy in one deployment with one seed.
type measure struct {
	name     string
	target   string
	run      func(deployment, policy, uint64) []result
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
				{policyLoomcore, "policy"}, {policyPrimaryReads, "baseline: all reads to the primary"},
				{policyNoToken, "baseline: replica only without a token"},
			},
		},
		{
			"failover, process of the primary dies", "median 2 s, never over 8 s", measureProcessLoss, []namedPolicy{
				{policyLoomcore, "policy"}, {policyNoSuspicion, "baseline: without suspicion by users"},
			},
		},
		{
			"failover, VM of the primary is gone", "median 2 s, never over 8 s", measureVMLoss, []namedPolicy{
				{policyLoomcore, "policy"}, {policyNoSuspicion, "baseline: without suspicion by users"},
			},
		},
		{
			"planned change of the primary", "under 250 ms, no failed request", measurePlannedChange, []namedPolicy{
				{policyLoomcore, "policy"}, {policyNoHandover, "baseline: without handover"},
			},
		},
		{
			"load swing", "goodput within 5% of capacity; immediate refusals; no caller below its share",
			measurePeak, []namedPolicy{
				{policyLoomcore, "policy"}, {policyFIFO, "baseline: FIFO queue"},
				{policySplitConnections, "baseline: static split of connections"},
			},
		},
		{
			"short beside long work", "p99 wait of short work within 2x of the run without long work; long work finishes",
			measureBlocking, []namedPolicy{{policyLoomcore, "policy"}, {policyFIFO, "baseline: one queue"}},
		},
	}
}

// resultRow summarises a quantity over all seeds.
type resultRow struct {
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

// Run runs all measures for all deployments and writes the results as JSON or as tables.
func Run(w io.Writer, options Options) error {
	seeds := options.Seeds
	if seeds <= 0 {
		seeds = defaultSeeds
	}
	var rows []resultRow
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

// runSeeds runs a measure with a policy for each of the seeds 1 to seeds, concurrently.
func runSeeds(d deployment, m measure, p namedPolicy, seeds int) []resultRow {
	results := make([][]result, seeds)
	var running sync.WaitGroup
	for seed := range seeds {
		running.Go(func() { results[seed] = m.run(d, p.policy, uint64(seed+1)) })
	}
	running.Wait()
	var rows []resultRow
	for i, first := range results[0] {
		var values []float64
		for _, r := range results {
			values = append(values, r[i].value)
		}
		slices.Sort(values)
		rows = append(rows, resultRow{
			Deployment: d.name, Measure: m.name, Target: m.target, Policy: p.name, Value: first.name, Unit: first.unit,
			Min: values[0], Median: values[len(values)/2], Max: values[len(values)-1],
		})
	}
	return rows
}

// writeTables writes a table for each deployment.
func writeTables(w io.Writer, rows []resultRow, seeds int) error {
	var b bytes.Buffer
	deployment, measure, policy := "", "", ""
	for _, r := range rows {
		if r.Deployment != deployment {
			deployment, measure = r.Deployment, ""
			fmt.Fprintf(&b, "\n%-48s%10s%10s%10s\n", fmt.Sprintf("%s, %d seeds", r.Deployment, seeds), "min", "median", "max")
		}
		if r.Measure != measure {
			measure, policy = r.Measure, ""
			fmt.Fprintf(&b, "%s (target: %s)\n", r.Measure, r.Target)
		}
		if r.Policy != policy {
			policy = r.Policy
			fmt.Fprintf(&b, "  %s\n", r.Policy)
		}
		fmt.Fprintf(&b, "    %-44s%10s%10s%10s %s\n",
			r.Value, format(r.Min), format(r.Median), format(r.Max), r.Unit)
	}
	_, err := w.Write(b.Bytes())
	return err
}

func format(x float64) string {
	if x == float64(int64(x)) {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.1f", x)
}
