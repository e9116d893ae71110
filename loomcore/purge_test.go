package loomcore

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestPurgeRequestIDs guards against request ids that are never removed, against removals by a node that does not own
// the primary, and against an age other than that of the rule.
func TestPurgeRequestIDs(t *testing.T) {
	hours := func(x *script, n int) (purges []string) {
		for end := x.now + time.Duration(n)*time.Hour; x.now < end; {
			x.now += 10 * time.Second
			for _, e := range slices.Clone(x.state.Reduce(Tick{Stamp: x.stamp()})) {
				switch e := e.(type) {
				case PollStatus:
					x.apply(StatusReceived{Stamp: x.stamp(), Upstream: e.Upstream, SentAt: x.now, Status: x.status[e.Upstream]})
				case PurgeRequestIDs:
					purges = append(purges, fmt.Sprint(e.Upstream, " ", e.OlderThan))
				}
			}
		}
		return purges
	}
	x := newScript(t, 2, 16, "keep-request-ids wheel 36h # ops\n")
	got := hours(x, 20)
	if len(got) < 15 || len(got) > 27 || slices.ContainsFunc(got, func(p string) bool { return p != "a 36h0m0s" }) {
		t.Errorf("got removals %q in 20 hours, want about 20 at a of ids older than 36h", got)
	}
	x.run("status b role=primary term=2 =>")
	if got := hours(x, 4); len(got) != 0 {
		t.Errorf("got removals %q although another node owns the primary", got)
	}
}
