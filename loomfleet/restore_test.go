package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// restored returns a snapshot of the store in era 2, after it came back from a copy.
func (f *fixture) restored(configuration uint64, upstreams ...UpstreamChange) CatalogChanged {
	for i := range upstreams {
		upstreams[i].Position = currantloom.NewStorePosition(2, 5)
	}
	return CatalogChanged{
		Stamp: f.stamp(), Snapshot: true, Position: currantloom.NewStorePosition(2, 8), Upstreams: upstreams,
		Configuration: testConfiguration(configuration, currantloom.ReadLatest),
	}
}

// effectsOf returns the last effects of a type.
func effectsOf[T Effect](f *fixture) []T {
	var found []T
	for _, e := range f.effects {
		if match, ok := e.(T); ok {
			found = append(found, match)
		}
	}
	return found
}

// answerStore answers the node's calls to the store among the last effects in the era, with the number as lease and
// revision.
func (f *fixture) answerStore(era currantloom.StoreEra, number uint64) {
	calls := f.effects
	for _, e := range calls {
		answer := StoreAnswered{Stamp: f.stamp(), Result: StoreSucceeded}
		switch e := e.(type) {
		case StoreGrantLease:
			answer.Call, answer.Lease = e.Call, currantloom.NewStoreLease(era, number)
		case StoreCommit:
			answer.Call, answer.Position = e.Call, currantloom.NewStorePosition(era, number)
			if e.Txn.Kind == RegistrationFailoverLease {
				f.nameHolder()
			}
		case StoreRenewLease:
			answer.Call = e.Call
		default:
			continue
		}
		f.reduce(answer)
	}
}

// nameHolder has the store name the node as the holder of the failover lease.
func (f *fixture) nameHolder() {
	f.state.coordinator.holder = leaseHolder{name: testSelf, incarnation: 1}
}

// holdLease makes the node register itself and acquire the failover lease in era 1, with lease 7.
func (f *fixture) holdLease() {
	f.Helper()
	for range 10 {
		f.wait(settleTime / 4)
		f.answerStore(1, 7)
	}
	if c := f.state.coordinator; c.leaseKey.position.IsZero() || c.memberKey.position.IsZero() {
		f.Fatalf("lease %v, member %v, want both held", c.leaseKey.position, c.memberKey.position)
	}
}

// recordChange records a change of primary of the service, as the step does that writes the fence.
func (f *fixture) recordChange() {
	r := &f.state.coordinator.record
	r.observe(ChangeRecord{Services: []currantloom.ServiceName{testService}, Position: r.position})
}

// TestOwnKeysInNewEra guards against a lease of an earlier era that is renewed or ended in a later one, where its
// number may be another node's, and against own keys that are not written again.
func TestOwnKeysInNewEra(t *testing.T) {
	for name, notice := range map[string]func(f *fixture){
		"watch": func(f *fixture) { f.reduce(StoreEraChanged{Stamp: f.stamp(), Era: 2}) },
		"snapshot": func(f *fixture) {
			f.reduce(f.restored(1, testUpstream("a", true), testUpstream("b", false), testUpstream("c", false)))
		},
		"answer to a call": func(f *fixture) {
			f.wait(2 * time.Second)
			renewals := effectsOf[StoreRenewLease](f)
			if len(renewals) == 0 {
				f.Fatal("no lease was renewed")
			}
			f.reduce(StoreAnswered{Stamp: f.stamp(), Call: renewals[0].Call, Result: StoreRestored, Era: 2})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.configure(currantloom.ReadLatest)
			f.holdLease()
			notice(f)
			if f.state.coordinator.isActing(f.state) {
				t.Error("the holder of an earlier era may still run failovers")
			}
			f.reduce(f.restored(1, testUpstream("a", true), testUpstream("b", false), testUpstream("c", false)))
			var written int
			for range 10 {
				f.wait(settleTime / 4)
				for _, e := range effectsOf[StoreRenewLease](f) {
					if e.Lease.Era() != 2 {
						t.Errorf("lease %d of era %d was renewed", e.Lease.Number(), e.Lease.Era())
					}
				}
				for _, e := range effectsOf[StoreCommit](f) {
					written++
					if e.Txn.Lease.Era() != 2 {
						t.Errorf("a key was written under a lease of era %d", e.Txn.Lease.Era())
					}
				}
				f.answerStore(2, 3)
			}
			if written < 2 || !f.state.coordinator.isActing(f.state) {
				t.Errorf("%d keys written again, acting %t, want both keys", written, f.state.coordinator.isActing(f.state))
			}
		})
	}
}

// TestFenceGrowsOverEras guards against a fence of a later era that the platform refuses because the revisions were
// given out again, and against two requests of one holder with the same fence.
func TestFenceGrowsOverEras(t *testing.T) {
	fence := func(era currantloom.StoreEra, revision uint64, order uint8) currantloom.Fence {
		return currantloom.NewFence(currantloom.NewStorePosition(era, revision), order)
	}
	fences := []currantloom.Fence{
		{}, fence(0, 9, 1), fence(0, 9, 2), fence(1, 1, 1), fence(1, 1, currantloom.MaxFenceOrder), fence(1, 2, 1),
		fence(1, 1<<39, 1), fence(2, 1, 1), fence(2, 2, 1), fence(currantloom.MaxStoreEra, 1<<40-1, 255),
	}
	for i, after := range fences[1:] {
		if before := fences[i]; after.Number() <= before.Number() || !after.After(before) || before.After(after) {
			t.Errorf("fence %+v is not after %+v", after, before)
		}
	}
	if n := fence(31, 1<<40-1, 255).Number(); n >= 1<<53 {
		t.Errorf("fence %d of an early era is not exact as a floating-point number", n)
	}
}

// TestUpstreamsInNewEra guards against work that a live upstream loses because the copy lacks its registration, and
// against work for an upstream that had left and that the copy brings back.
func TestUpstreamsInNewEra(t *testing.T) {
	usable := func(f *fixture, name currantloom.UpstreamName) bool {
		u, ok := f.state.catalog.upstreams[name]
		return ok && u.isUsable(f.state) && !u.isTerminating()
	}
	t.Run("missing in the copy", func(t *testing.T) {
		f := newFixture(t)
		f.configure(currantloom.ReadLatest)
		f.reduce(f.restored(1, testUpstream("a", true), testUpstream("b", false)))
		f.wait(deletionGrace - TickInterval)
		if !usable(f, "c") {
			t.Error("an upstream that the copy lacks lost its work before it could register again")
		}
		f.wait(3 * TickInterval)
		if usable(f, "c") {
			t.Error("an upstream that did not register again still gets work")
		}
	})
	t.Run("registered again", func(t *testing.T) {
		f := newFixture(t)
		f.configure(currantloom.ReadLatest)
		f.reduce(f.restored(1, testUpstream("a", true), testUpstream("b", false)))
		f.wait(time.Second)
		again := testUpstream("c", false)
		again.Position = currantloom.NewStorePosition(2, 9)
		f.reduce(CatalogChanged{Stamp: f.stamp(), Position: again.Position, Upstreams: []UpstreamChange{again}})
		f.wait(2 * deletionGrace)
		if !usable(f, "c") {
			t.Error("an upstream that registered again gets no work")
		}
	})
	for name, forgotten := range map[string]bool{"had left": false, "had left long ago": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.configure(currantloom.ReadLatest)
			left := UpstreamChange{Position: testStorePosition(30), Upstream: testUpstream("c", false).Upstream, Deleted: true}
			f.reduce(CatalogChanged{Stamp: f.stamp(), Position: left.Position, Upstreams: []UpstreamChange{left}})
			if forgotten {
				f.wait(forgetUpstreamAfter + time.Second)
			}
			f.reduce(f.restored(1, testUpstream("a", true), testUpstream("b", false), testUpstream("c", false)))
			f.wait(time.Second)
			if usable(f, "c") {
				t.Error("an upstream that had left gets work because the copy has its registration")
			}
			alive := testUpstream("c", false)
			alive.Position, alive.Upstream.Incarnation = currantloom.NewStorePosition(2, 9), 2
			f.reduce(CatalogChanged{Stamp: f.stamp(), Position: alive.Position, Upstreams: []UpstreamChange{alive}})
			if !usable(f, "c") {
				t.Error("an upstream that started again gets no work")
			}
		})
	}
	t.Run("older report", func(t *testing.T) {
		f := newFixture(t)
		f.now = time.Second
		f.configure(currantloom.ReadLatest)
		draining := testUpstream("b", false)
		draining.Position, draining.Upstream.Draining, draining.Upstream.Sequence = testStorePosition(30), true, 4
		f.reduce(CatalogChanged{Stamp: f.stamp(), Position: draining.Position, Upstreams: []UpstreamChange{draining}})
		f.reduce(f.restored(1, testUpstream("a", true), testUpstream("b", false), testUpstream("c", false)))
		if !f.state.catalog.upstreams["b"].drain.isOn() {
			t.Error("an older report of the copy undid the drain")
		}
	})
}

// TestMembersInNewEra guards against calls to a VM that had left and that the copy brings back, and against a live VM
// that loses its work because the copy lacks its registration.
func TestMembersInNewEra(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	f.addMember("vm-2")
	f.wait(pingInterval)
	f.answerPings()
	e := f.restored(1, testUpstream("a", true), testUpstream("b", false), testUpstream("c", false))
	e.Members = []MemberChange{{
		VM:          currantloom.NewVM("vm-3", testLocation, "10.0.0.3:1", "", currantloom.VMLive),
		Incarnation: 1, Position: currantloom.NewStorePosition(2, 6),
	}}
	f.reduce(e)
	if !f.state.isEligibleOwner("vm-2") || !f.state.acceptsCalls("vm-2") {
		t.Error("a live VM that the copy lacks gets no calls")
	}
	if f.state.isEligibleOwner("vm-3") || f.state.acceptsCalls("vm-3") {
		t.Error("a VM that only the copy has gets calls before it has answered")
	}
	f.answerPings()
	if !f.state.acceptsCalls("vm-3") {
		t.Error("a VM that answered gets no calls")
	}
	f.wait(memberReturnTime + time.Second)
	if f.state.isEligibleOwner("vm-2") {
		t.Error("a VM that did not register again still counts as registered")
	}
}

// TestConfigurationInNewEra guards against an older configuration of the copy that replaces the one in effect, and
// against a node that starts in that moment and serves with it.
func TestConfigurationInNewEra(t *testing.T) {
	t.Run("running node", func(t *testing.T) {
		f := newFixture(t)
		f.reduce(CatalogChanged{
			Stamp: f.stamp(), Snapshot: true, Position: testStorePosition(10),
			Configuration: testConfiguration(5, currantloom.ReadLatest), Upstreams: []UpstreamChange{testUpstream("a", true)},
		})
		f.reduce(f.restored(4, testUpstream("a", true)))
		if got := f.state.configurationVersion(); got != 5 {
			t.Errorf("version %d in effect, want 5", got)
		}
	})
	startNode := func(t *testing.T) *fixture {
		f := newFixture(t)
		f.now = time.Second
		e := f.restored(4, testUpstream("a", true))
		e.Members = []MemberChange{{
			VM:          currantloom.NewVM("vm-2", testLocation, "10.0.0.2:1", "", currantloom.VMLive),
			Incarnation: 1, Position: currantloom.NewStorePosition(2, 6),
		}}
		f.reduce(e)
		if f.state.catalog.ready {
			t.Fatal("ready before any other node was asked")
		}
		return f
	}
	pong := func(f *fixture, version uint64) {
		m := f.state.members.byName["vm-2"]
		f.reduce(MessageReceived{Stamp: f.stamp(), From: "vm-2", Message: currantloom.Pong{
			Number: m.pingNumber, ConfigurationVersion: version,
		}})
	}
	t.Run("starting node, newer configuration elsewhere", func(t *testing.T) {
		f := startNode(t)
		pong(f, 5)
		fetches := effectsOf[FetchConfiguration](f)
		f.wait(2 * TickInterval)
		if len(fetches) != 1 || f.state.catalog.ready {
			t.Fatalf("%d requests, ready %t, want one request first", len(fetches), f.state.catalog.ready)
		}
		f.reduce(CatalogChanged{Stamp: f.stamp(), Configuration: testConfiguration(5, currantloom.ReadLatest)})
		f.wait(TickInterval)
		if !f.state.catalog.ready || f.state.configurationVersion() != 5 {
			t.Errorf("ready %t with version %d, want version 5", f.state.catalog.ready, f.state.configurationVersion())
		}
	})
	t.Run("starting node, no newer configuration", func(t *testing.T) {
		f := startNode(t)
		pong(f, 4)
		f.wait(TickInterval)
		if !f.state.catalog.ready {
			t.Error("not ready although the other node has the same configuration")
		}
	})
	t.Run("starting node, no answer", func(t *testing.T) {
		f := startNode(t)
		f.wait(versionTimeout + 2*TickInterval)
		if !f.state.catalog.ready {
			t.Error("not ready although no other node answers")
		}
	})
}

// TestChangesOfEarlierEra guards against changes of an earlier era that arrive late and are applied.
func TestChangesOfEarlierEra(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	f.reduce(f.restored(1, testUpstream("a", true), testUpstream("b", false), testUpstream("c", false)))
	late := UpstreamChange{Position: testStorePosition(90), Upstream: testUpstream("b", false).Upstream, Deleted: true}
	f.reduce(CatalogChanged{
		Stamp: f.stamp(), Position: late.Position, Upstreams: []UpstreamChange{late},
		FailoverLease: &FailoverLeaseChange{Holder: "vm-9", Incarnation: 1, Position: late.Position},
	})
	if f.state.catalog.upstreams["b"].deletedAt > 0 || f.state.coordinator.holder.name != "" {
		t.Error("a change of an earlier era was applied")
	}
}
