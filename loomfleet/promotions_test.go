package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestPromotionsThatMayTakeEffect guards against a request without an answer that is forgotten because a later one was
// answered, although the platform may still carry it out.
func TestPromotionsThatMayTakeEffect(t *testing.T) {
	const (
		unknown  = currantloom.PromoteUnknown
		accepted = currantloom.PromoteAccepted
		refused  = currantloom.PromoteRefused
		notDone  = currantloom.PromoteNotDone
		noAnswer = currantloom.PromoteResult(255)
	)
	type request struct {
		upstream currantloom.UpstreamName
		result   currantloom.PromoteResult
	}
	for _, c := range []struct {
		name     string
		requests []request
		after    time.Duration
		want     currantloom.UpstreamName
	}{
		{"none", nil, 0, ""},
		{"no answer yet", []request{{"b", noAnswer}}, time.Hour, "b"},
		{"unanswered", []request{{"b", unknown}}, time.Hour, "b"},
		{"unanswered, then not done", []request{{"b", unknown}, {"b", notDone}}, time.Hour, "b"},
		{"unanswered, then refused", []request{{"b", unknown}, {"c", refused}}, time.Hour, "b"},
		{"unanswered, then another in flight", []request{{"b", unknown}, {"c", noAnswer}}, time.Hour, "c"},
		{"two in flight, the last one not done", []request{{"b", noAnswer}, {"c", notDone}}, time.Hour, "b"},
		{"unanswered, then voided", []request{{"b", unknown}, {"a", accepted}}, 0, ""},
		{"accepted", []request{{"b", accepted}}, promoteTimeout, "b"},
		{"accepted long ago", []request{{"b", accepted}}, promoteTimeout + 1, ""},
		{"of the primary", []request{{"a", unknown}}, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p promotions
			for i, r := range c.requests {
				id := uint64(i + 1)
				p.recordSent(id, r.upstream, currantloom.NewFence(testStorePosition(9), uint8(id)))
				if r.result != noAnswer {
					p.recordResult(0, id, r.result)
				}
			}
			if got := p.target(c.after, "a"); got != c.want {
				t.Errorf("target %q, want %q", got, c.want)
			}
		})
	}
}

// reportPrimary has an upstream answer a failover that it leads a term.
func (f *fixture) reportPrimary(fo *failover, name currantloom.UpstreamName, term currantloom.Term) {
	status := currantloom.ReplicationStatus{Primary: true, Term: term, Received: currantloom.NewLogPosition(term, 7)}
	f.state.recordStatus(fo, f.state.catalog.upstreams[name],
		currantloom.Command{Kind: currantloom.CommandReplicationStatus}, currantloom.Reply{ReplicationStatus: &status}, f.now)
}

// TestVoidPromotions guards against replicas that resume while a request without an answer may still take effect: the
// failover that leaves the primary as it is must first make the platform refuse that request.
func TestVoidPromotions(t *testing.T) {
	f := newFixture(t)
	f.now = time.Second
	f.configure(currantloom.ReadLatest)
	f.holdLease()
	g := f.state.groupOf(testService)
	f.state.startFailover(g, reasonCommitsStalled, false)
	f.recordChange()
	fo := f.state.coordinator.failovers[testService]
	fo.candidate = "b"
	f.state.enterStep(fo, stepPromote)
	f.reduce(PromoteAnswered{Stamp: f.stamp(), Service: testService, PromotionID: fo.promotionID})
	f.reportPrimary(fo, "a", 1)
	f.state.effects = nil
	f.state.endFailover(fo, "a replica does not report")
	f.effects = append([]Effect(nil), f.state.effects...)
	requests := effectsOf[Promote](f)
	if len(requests) != 1 || requests[0].Upstream != g.primary || !fo.paused["b"] || !fo.paused["c"] {
		t.Fatalf("requests %+v, paused %v, want one request for %s with both replicas paused", requests, fo.paused, g.primary)
	}
	f.reduce(PromoteAnswered{
		Stamp: f.stamp(), Service: testService, PromotionID: requests[0].PromotionID, Result: currantloom.PromoteAccepted,
	})
	if f.state.hasPendingPromotion(g) || f.state.coordinator.failovers[testService] != fo {
		t.Error("the failover ended before an earlier promotion could show")
	}
	f.state.now += voidSettleTime + 1
	f.state.tickVoid(fo)
	if f.state.coordinator.failovers[testService] != nil {
		t.Error("the failover did not end")
	}
}

// TestVoidNamesProvenPrimary guards against a request that is to leave the primary as it is and names an upstream that
// another one has replaced: its promotion loses what was acknowledged since.
func TestVoidNamesProvenPrimary(t *testing.T) {
	for _, c := range []struct {
		name  string
		proof func(f *fixture, fo *failover)
		want  bool
	}{
		{"it leads the newest term", func(f *fixture, fo *failover) { f.reportPrimary(fo, "a", 3) }, true},
		{"it does not answer", func(*fixture, *failover) {}, false},
		{"another one led a newer term", func(f *fixture, fo *failover) {
			f.reportPrimary(fo, "b", 3)
			f.reportPrimary(fo, "a", 2)
		}, false},
		{"a replica has received from a newer one", func(f *fixture, fo *failover) {
			f.reportPrimary(fo, "a", 2)
			fo.proof.restart(3)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.now = time.Second
			f.configure(currantloom.ReadLatest)
			f.holdLease()
			g := f.state.groupOf(testService)
			g.setPrimary(f.state, "a", "reported")
			f.state.startFailover(g, reasonCommitsStalled, false)
			f.recordChange()
			fo := f.state.coordinator.failovers[testService]
			c.proof(f, fo)
			g.primary = "a"
			f.state.effects = nil
			f.state.voidPromotions(fo, "no candidate")
			f.effects = append([]Effect(nil), f.state.effects...)
			if got := len(effectsOf[Promote](f)) > 0; got != c.want {
				t.Errorf("requested %t, want %t", got, c.want)
			}
			f.state.now += stepTimeout + 1
			f.state.tickVoid(fo)
			if startedOver := fo.step == stepFence; startedOver == c.want {
				t.Errorf("step %s after %s", fo.step, stepTimeout)
			}
		})
	}
}

// TestReplacedPrimaryIsNotBelieved guards against the registration of a primary that was replaced, and that cannot
// report so, which makes it the believed primary once its successor steps down.
func TestReplacedPrimaryIsNotBelieved(t *testing.T) {
	f := newFixture(t)
	f.now = time.Second
	f.configure(currantloom.ReadLatest)
	g := f.state.groupOf(testService)
	g.recordPrimary(f.state, "a", currantloom.NewLogPosition(1, 7), f.now)
	g.recordPrimary(f.state, "b", currantloom.NewLogPosition(2, 8), f.now+1)
	g.recordNotPrimary(f.state, "b")
	if g.primary != "" {
		t.Errorf("%s is believed to lead, want none", g.primary)
	}
	g.recordPrimary(f.state, "a", currantloom.NewLogPosition(3, 9), f.now+2)
	if g.primary != "a" {
		t.Errorf("%q is believed to lead term 3, want a", g.primary)
	}
}

// TestVoidWaitsForEarlierPromotion guards against writes that are let go at an upstream which an earlier request has
// just promoted: the request that was to void it takes effect a moment later, and makes the old primary lead again.
func TestVoidWaitsForEarlierPromotion(t *testing.T) {
	f := newFixture(t)
	f.now = time.Second
	f.configure(currantloom.ReadLatest)
	f.holdLease()
	g := f.state.groupOf(testService)
	f.state.startFailover(g, reasonCommitsStalled, false)
	f.recordChange()
	fo := f.state.coordinator.failovers[testService]
	f.reportPrimary(fo, "a", 1)
	f.state.voidPromotions(fo, "no candidate")
	if fo.promotionID == 0 {
		t.Fatal("nothing was requested")
	}
	f.reduce(PromoteAnswered{
		Stamp: f.stamp(), Service: testService, PromotionID: fo.promotionID, Result: currantloom.PromoteAccepted,
	})
	g.recordPrimary(f.state, "b", currantloom.NewLogPosition(2, 7), f.now)
	f.state.tickFailover(fo)
	if f.state.coordinator.failovers[testService] != fo || g.writesBlockedUntil <= f.now {
		t.Error("writes are let go before the request that was to void the earlier one can show")
	}
	f.state.now += voidSettleTime + 1
	f.state.tickFailover(fo)
	if f.state.coordinator.failovers[testService] != nil || g.writesBlockedUntil > f.state.now {
		t.Error("the failover did not end")
	}
}

// TestUnsettledPromotion guards against a holder of the failover lease that lets a primary work on although an earlier
// holder has announced the promotion of another upstream, whose request may be carried out late.
func TestUnsettledPromotion(t *testing.T) {
	announce := func(f *fixture, g *group) {
		f.state.handleBlockWrites(0, currantloom.BlockWrites{Service: g.name, Duration: time.Second, Successor: "b"})
	}
	answer := func(f *fixture, g *group, id uint64, u currantloom.UpstreamName, result currantloom.PromoteResult) {
		p := f.state.coordinator.promotionsOf(g.name)
		p.recordSent(id, u, currantloom.NewFence(testStorePosition(9), uint8(id)))
		p.recordResult(f.now, id, result)
	}
	for _, c := range []struct {
		name   string
		events func(f *fixture, g *group)
		want   bool
	}{
		{"announced", announce, true},
		{"nothing announced", func(*fixture, *group) {}, false},
		{"no successor", func(f *fixture, g *group) {
			f.state.handleBlockWrites(0, currantloom.BlockWrites{Service: g.name, Duration: time.Second})
		}, false},
		{"the change has ended", func(f *fixture, g *group) {
			announce(f, g)
			f.state.handlePrimaryChanged("", currantloom.PrimaryChanged{Service: g.name, Upstream: g.primary, Term: g.term})
		}, false},
		{"a later request was accepted", func(f *fixture, g *group) {
			announce(f, g)
			answer(f, g, 1, g.primary, currantloom.PromoteAccepted)
		}, false},
		{"its own request was refused", func(f *fixture, g *group) {
			announce(f, g)
			answer(f, g, 1, "b", currantloom.PromoteRefused)
		}, false},
		{"a request got no answer, the next was refused", func(f *fixture, g *group) {
			announce(f, g)
			answer(f, g, 1, "b", currantloom.PromoteUnknown)
			answer(f, g, 2, "b", currantloom.PromoteRefused)
		}, true},
		{"it was too long ago", func(f *fixture, g *group) {
			announce(f, g)
			f.state.coordinator.promotionsOf(g.name).announcedAt = f.now - lateRequestTime
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.now = time.Minute
			f.configure(currantloom.ReadLatest)
			f.holdLease()
			g := f.state.groupOf(testService)
			c.events(f, g)
			if reason, _ := f.state.failoverReason(g); (reason == reasonUnsettled) != c.want {
				t.Errorf("reason %q, changes the primary for an earlier request %t, want %t", reason, !c.want, c.want)
			}
		})
	}
}
