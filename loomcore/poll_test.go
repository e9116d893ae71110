package loomcore

import (
	"testing"
	"time"
)

// TestLateFailure guards against the late failure of an old poll that counts against the upstream although a newer poll
// was sent or answered.
func TestLateFailure(t *testing.T) {
	x := newScript(t, 2, 16, "")
	v := x.state.groupsByUpstream["a"].view.upstreams["a"]
	answered := v.statusSentAt
	x.apply(StatusFailed{Stamp: x.stamp(), Upstream: "a", SentAt: answered - time.Second, ConnectionRefused: true})
	if v.failedPolls != 0 || v.connectionRefused {
		t.Error("a failure older than the last answer was counted")
	}
	x.silent["a"] = true
	x.wait(2 * time.Second)
	failures := v.failedPolls
	x.apply(StatusFailed{Stamp: x.stamp(), Upstream: "a", SentAt: answered + time.Millisecond, ConnectionRefused: true})
	if v.failedPolls != failures || v.connectionRefused || !v.pollInFlight {
		t.Errorf("got %d failures, refused %t, polling %t after a late failure, want %d, false, true",
			v.failedPolls, v.connectionRefused, v.pollInFlight, failures)
	}
	x.apply(StatusFailed{Stamp: x.stamp(), Upstream: "a", SentAt: v.lastPollAt})
	if v.failedPolls != failures+1 || v.pollInFlight {
		t.Errorf("got %d failures after that of the last poll, want %d", v.failedPolls, failures+1)
	}
}
