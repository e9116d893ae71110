package loomcore

import (
	"testing"
	"time"
)

// TestLateFailure guards against the failure of an old poll that counts against the server after a newer poll was sent
// or answered.
func TestLateFailure(t *testing.T) {
	x := newScript(t, 2, 16, "")
	v := x.state.servers["a"].view.members["a"]
	answered := v.sentAt
	x.apply(StatusFailed{Stamp: x.stamp(), Upstream: "a", SentAt: answered - time.Second, ConnectionRefused: true})
	if v.failures != 0 || v.refused {
		t.Error("a failure older than the last answer was counted")
	}
	x.silent["a"] = true
	x.wait(2 * time.Second)
	failures := v.failures
	x.apply(StatusFailed{Stamp: x.stamp(), Upstream: "a", SentAt: answered + time.Millisecond, ConnectionRefused: true})
	if v.failures != failures || v.refused || !v.polling {
		t.Errorf("got %d failures, refused %t, polling %t after a late failure, want %d, false, true",
			v.failures, v.refused, v.polling, failures)
	}
	x.apply(StatusFailed{Stamp: x.stamp(), Upstream: "a", SentAt: v.polledAt})
	if v.failures != failures+1 || v.polling {
		t.Errorf("got %d failures after that of the last poll, want %d", v.failures, failures+1)
	}
}
