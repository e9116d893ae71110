package loomfleet

import (
	"fmt"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

const testHolder = currantloom.VMName("vm-2")

// join adds a VM that answers pings.
func (f *fixture) join(name currantloom.VMName) {
	f.Helper()
	f.reduce(CatalogChanged{Stamp: f.stamp(), Revision: 20, Members: []MemberChange{{
		VM:          currantloom.NewVM(name, testPlace, "10.0.0.2:1", "", currantloom.VMLive),
		Incarnation: 1, Revision: 20,
	}}})
	f.answerPings()
}

// answerPings answers every ping that is under way, without reports.
func (f *fixture) answerPings() {
	for _, m := range f.state.members.sorted {
		if m.pongPending {
			f.reduce(MessageReceived{Stamp: f.stamp(), From: m.vm.Name(), Message: currantloom.Pong{Number: m.pingNumber}})
		}
	}
}

// failuresSentTo counts the reports of failed upstreams to a VM among the last effects.
func (f *fixture) failuresSentTo(name currantloom.VMName) int {
	count := 0
	for _, e := range f.effects {
		if sent, ok := e.(Send); ok && sent.VM.Name() == name {
			if _, ok := sent.Message.(currantloom.UpstreamFailed); ok {
				count++
			}
		}
	}
	return count
}

// TestFailureIsReported guards against a holder of the duty that learns of a failed primary only by its next question.
func TestFailureIsReported(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	f.join(testHolder)
	f.reduce(CatalogChanged{
		Stamp: f.stamp(), Revision: 21, FailoverLease: &FailoverLeaseChange{Holder: testHolder, Incarnation: 1, Revision: 21},
	})
	p := f.state.poolOf(f.state.catalog.upstreams["a"])
	p.markUnreachable(f.state, "connection refused")
	f.wait(TickInterval)
	if got := f.failuresSentTo(testHolder); got != 1 {
		t.Errorf("%d reports in the tick after the failure, want one", got)
	}
	f.wait(4 * TickInterval)
	if got := f.failuresSentTo(testHolder); got != 0 {
		t.Errorf("%d more reports of the same failure, want none", got)
	}
}

// TestReportedFailure guards against a reported failure of the primary that does not start a check.
func TestReportedFailure(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	f.join("vm-2")
	g := f.state.groupOf(testService)
	f.wait(pingInterval)
	f.answerPings()
	f.state.closePool("a")
	if reason, _ := f.state.failoverReason(g); reason != "" {
		t.Fatalf("a calm group needs a change: %s", reason)
	}
	f.reduce(MessageReceived{Stamp: f.stamp(), From: "vm-2", Message: currantloom.UpstreamFailed{
		Health: currantloom.UpstreamHealth{Name: "a", Service: testService, ConnectFailed: true},
	}})
	if reason, _ := f.state.failoverReason(g); reason == "" {
		t.Error("the reported failure of the primary starts no check")
	}
}

// TestQuietInLargeFleet guards against checks of healthy primaries, one after the other, because the holder of the duty
// of a large fleet asks their carriers less often than it expects proofs.
func TestQuietInLargeFleet(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	for i := range smallFleetSize + 1 {
		f.join(currantloom.VMName(fmt.Sprintf("vm-%d", i+2)))
	}
	g := f.state.groupOf(testService)
	g.recordPrimary(f.state, "a", currantloom.NewLogPosition(1, 1), f.now)
	f.wait(largeFleetPingInterval + 200*time.Millisecond)
	if reason, _ := f.state.failoverReason(g); reason != "" {
		t.Errorf("a primary that was proven %s ago needs a change: %s", f.now-g.primaryProvenAt, reason)
	}
}

// TestSilentWitness guards against a change of primary that waits for a carrier that cannot be reached.
func TestSilentWitness(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	f.state.startFailover(f.state.groupOf(testService), "primary is quiet", false)
	change := f.state.coordinator.failovers[testService]
	if change.pendingVerifications == 0 {
		t.Fatal("nobody was asked")
	}
	for end := f.now + verifyTimeout + 2*TickInterval; f.now < end; f.now += TickInterval {
		f.state.now = f.now
		f.state.tickFailover(change)
	}
	if change.step == stepVerify {
		t.Errorf("still checking the primary after %s", verifyTimeout)
	}
}
