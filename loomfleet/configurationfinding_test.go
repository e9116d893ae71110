package loomfleet

import (
	"testing"

	"currantloom.example/currantloom"
)

// TestFindingsAreLogged guards against a finding of a configuration without a log line or with more than one, and
// against a configuration whose findings fill the queue of the log.
func TestFindingsAreLogged(t *testing.T) {
	for name, c := range map[string]struct {
		version         uint64
		findings, lines int
	}{
		"one":                 {2, 1, 1},
		"many":                {2, maxLoggedFindings + 5, maxLoggedFindings + 1},
		"older configuration": {1, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRevocationFixture(t, false)
			next := organisationConfiguration(c.version, false, map[string]string{testKey: "acme"})
			next.Findings = make([]currantloom.ConfigurationFinding, c.findings)
			for i := range next.Findings {
				next.Findings[i] = currantloom.ConfigurationFinding{Organisation: "acme", Reason: "odd"}
			}
			f.all = nil
			for range 3 {
				f.apply(CatalogChanged{Stamp: f.stamp(), Configuration: next})
			}
			lines := 0
			for _, e := range f.all {
				if d, ok := e.(Decision); ok && d.Event == "configuration" && d.Reason != "" && d.Version == c.version {
					lines++
				}
			}
			if lines != c.lines {
				t.Errorf("%d lines, want %d", lines, c.lines)
			}
		})
	}
}
