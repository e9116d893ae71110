package loomquota

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestLimiterWithoutState guards against a limiter that counts what was handed to it before it lost its state.
func TestLimiterWithoutState(t *testing.T) {
	limits := map[currantloom.OrganisationName]currantloom.RateLimit{"linz": {PerSecond: 10, Burst: 10}}
	for _, c := range []struct {
		name  string
		epoch uint64
		want  int
	}{{"first limiter", 0, 10}, {"limiter that has answered before", 1, 0}} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLimiter(currantloom.QuotaWindow{Overage: DefaultOverage, Slack: DefaultSlack}, 0, 1, 2)
			l.SetLimits(0, limits)
			l.SetRegistered(0, []currantloom.VMName{"vm-1"})
			l.Request(time.Second, "vm-1", currantloom.TokenRequest{
				Incarnation: 1, Sent: 1, Epoch: c.epoch, Demands: []currantloom.TokenDemand{
					{Organisation: "linz", Share: wholeShare, HandedOver: time.Second, Pooled: true},
				},
			})
			if s, _ := l.Stats("linz"); s.Tokens != c.want {
				t.Errorf("%d tokens, want %d", s.Tokens, c.want)
			}
		})
	}
}

// TestTokenLife guards against tokens that are used after the limiter has stopped counting them.
func TestTokenLife(t *testing.T) {
	n := NewEntry(currantloom.QuotaWindow{Overage: DefaultOverage, Slack: DefaultSlack}, 1)
	n.SetLimits(map[currantloom.OrganisationName]currantloom.RateLimit{"linz": {PerSecond: 10, Burst: 10}})
	n.Advance(time.Second, 1)
	n.SetLimiter(0, "vm-2")
	n.Take("linz", 1, false)
	m := n.Requests()[0].Message
	n.Advance(time.Second+50*time.Millisecond, 1)
	n.HandleAnswer("vm-2", currantloom.TokenAnswer{
		Shards: 1, Epoch: 1, Time: time.Second, Asked: m.Sent,
		Grants: []currantloom.TokenGrant{{Organisation: "linz", Tokens: 3}},
	})
	if got := n.Tokens("linz"); got != 2 {
		t.Fatalf("%d tokens after one of three was used, want 2", got)
	}
	n.Advance(m.Sent+tokenLife, 1)
	if n.TakeHeld("linz") {
		t.Errorf("a token of a request %v ago was used", tokenLife)
	}
}

// TestPoolDelay guards against two limiters that count the same part of the capacity after a node has changed from one
// to the other.
func TestPoolDelay(t *testing.T) {
	n := NewEntry(currantloom.QuotaWindow{Overage: DefaultOverage, Slack: DefaultSlack}, 1)
	n.SetLimits(map[currantloom.OrganisationName]currantloom.RateLimit{"linz": {PerSecond: 10, Burst: 10}})
	ask := func(at time.Duration, vm currantloom.VMName, op Operation) bool {
		n.Advance(at, 1)
		n.SetLimiter(0, vm)
		n.Take("linz", op, false)
		return n.Requests()[0].Message.Demands[0].Pooled
	}
	if !ask(time.Second, "vm-2", 1) {
		t.Error("the first limiter may not count the node's part of the capacity")
	}
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{time.Millisecond, false}, {memberTime + sweepInterval, false}, {poolDelay + time.Millisecond, true}} {
		if got := ask(time.Second+c.after, "vm-3", Operation(c.after)); got != c.want {
			t.Errorf("the next limiter may count the node's part after %v: %t, want %t", c.after, got, c.want)
		}
	}
}
