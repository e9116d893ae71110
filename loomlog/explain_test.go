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
