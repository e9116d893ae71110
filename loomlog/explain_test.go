package loomlog

import (
	"strings"
	"testing"
)

const sampleLog = `
vm-1 time=2026-12-04T05:00:00.000Z level=info msg=upstream service=s upstream=u1 outcome=unreachable
vm-1 time=2026-12-04T05:00:01.000Z level=info msg=upstream service=s upstream=u1 outcome=reachable
vm-1 time=2026-12-04T05:00:09.000Z level=info msg=upstream service=s upstream=u1 reason="no answer" outcome=unreachable
vm-1 time=2026-12-04T05:00:09.500Z level=info msg=upstream service=other upstream=u9 outcome=unreachable
vm-1 time=2026-12-04T05:00:10.000Z level=info msg=attempt request=r1 service=s upstream=u1 reason=silent
vm-1 time=2026-12-04T05:00:10.100Z level=info msg=statement request=r2 service=s upstream=u1 outcome=ok
not a line of the log
vm-1 time=2026-12-04T05:00:10.200Z level=info msg=statement request=r1 service=s outcome=in_doubt
vm-1 time=2026-12-04T05:00:10.300Z level=info msg=failover service=s upstream=u1 outcome=started
`

// TestExplain guards against an explanation that lacks the line with the cause, and against one that contains lines of
// other requests, other upstreams or another time.
func TestExplain(t *testing.T) {
	var out strings.Builder
	own, err := Explain(strings.NewReader(sampleLog), "r1", &out)
	if err != nil || own != 2 {
		t.Fatalf("%d lines, %v", own, err)
	}
	got := out.String()
	for _, want := range []string{"msg=attempt request=r1", "outcome=in_doubt", `reason="no answer"`, "msg=failover"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing in\n%s", want, got)
		}
	}
	for _, other := range []string{"r2", "u9", "05:00:01"} {
		if strings.Contains(got, other) {
			t.Errorf("unexpected %q in\n%s", other, got)
		}
	}
	if own, _ := Explain(strings.NewReader(sampleLog), "r3", &out); own != 0 {
		t.Errorf("%d lines of a request that is not in the log", own)
	}
}

const revocationLog = `
time=2026-12-04T05:00:08.000Z level=info msg=configuration version=6 outcome=in_force
time=2026-12-04T05:00:10.000Z level=info msg=configuration version=7 outcome=in_force
time=2026-12-04T05:00:10.000Z msg=configuration organisation=small version=7 reason="burst is zero" outcome=adjusted
time=2026-12-04T05:00:10.000Z msg=configuration organisation=acme version=7 reason="rate is zero" outcome=adjusted
time=2026-12-04T05:00:10.001Z level=info msg=statement request=r1 session=4 organisation=acme version=7 outcome=aborted
time=2026-12-04T05:00:10.001Z level=info msg=session session=4 organisation=acme version=7 outcome=auth_failed
time=2026-12-04T05:00:10.001Z level=info msg=session session=5 organisation=acme version=7 outcome=auth_failed
time=2026-12-04T05:00:10.002Z level=info msg=session session=6 version=7 outcome=auth_failed
`

// TestExplainRevocation guards against an explanation of a statement whose key was withdrawn that lacks the end of the
// session or the configuration, or that lists the other sessions of the organisation.
func TestExplainRevocation(t *testing.T) {
	var out strings.Builder
	if own, err := Explain(strings.NewReader(revocationLog), "r1", &out); err != nil || own != 1 {
		t.Fatalf("%d lines, %v", own, err)
	}
	got := out.String()
	for _, want := range []string{"version=7 outcome=in_force", "session=4 organisation=acme", "rate is zero"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing in\n%s", want, got)
		}
	}
	for _, other := range []string{"session=5", "session=6", "small"} {
		if strings.Contains(got, other) {
			t.Errorf("unexpected %q in\n%s", other, got)
		}
	}
}
