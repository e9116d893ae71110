package loomfleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// newOrganisationFixture returns a fixture of a deployment with organisations, and the pool of an upstream.
func newOrganisationFixture(t *testing.T) (*fixture, *pool) {
	t.Helper()
	f := newFixture(t)
	configuration := testConfiguration(1, currantloom.ReadLatest)
	configuration.Organisations = currantloom.NewOrganisations()
	configuration.Services[testService] = currantloom.Service{Name: testService, Connections: 70}
	f.reduce(CatalogChanged{
		Stamp: f.stamp(), Snapshot: true, Position: testStorePosition(10), Configuration: configuration,
		Upstreams: []UpstreamChange{testUpstream("a", true)},
	})
	return f, f.state.poolOf(f.state.catalog.upstreams["a"])
}

// addIdleConn adds an idle connection of an organisation.
func (f *fixture) addIdleConn(p *pool, organisation currantloom.OrganisationName) {
	p.openConn(f.state, organisation)
	cn := p.conns[len(p.conns)-1]
	f.reduce(ConnOpened{Stamp: f.stamp(), Conn: cn.id})
}

// callFor sends a read of an organisation.
func (f *fixture) callFor(organisation currantloom.OrganisationName, number uint64, priority int) {
	f.reduce(MessageReceived{Stamp: f.stamp(), From: "vm-2", Link: 1, Message: currantloom.Call{
		Key: currantloom.RequestKey{VM: "vm-2", Number: number}, Service: testService, Upstream: "a",
		Mode: currantloom.CallDirect, Organisation: organisation, Priority: priority, Timeout: 2 * time.Second,
		QueueTimeout: 2 * time.Second, LatencyBudget: time.Second,
	}})
}

// TestBurstKeepsConnections guards against a burst of one organisation that closes the connections of all others: each
// of them would be opened again, at the cost of a slot.
func TestBurstKeepsConnections(t *testing.T) {
	f, p := newOrganisationFixture(t)
	others := p.connShare(f.state) - 1
	for i := range others {
		f.addIdleConn(p, currantloom.OrganisationName(fmt.Sprintf("o%d", i)))
	}
	for i := range uint64(200) {
		f.callFor("burst", i+1, 1)
		for _, cn := range slices.Clone(p.conns) {
			if cn.state == connOpening {
				f.reduce(ConnOpened{Stamp: f.stamp(), Conn: cn.id})
			}
		}
	}
	left := 0
	for _, cn := range p.conns {
		if cn.organisation != "burst" {
			left++
		}
	}
	if want := others - p.slots() - extraJobs - p.maxOpening(); left < want {
		t.Errorf("%d connections of other organisations are left of %d, want at least %d", left, others, want)
	}
}

// TestUrgentJobIsNotDeferred guards against an urgent job whose connection is not opened because less urgent jobs have
// theirs, and against a job as urgent as they that waits beyond its patience.
func TestUrgentJobIsNotDeferred(t *testing.T) {
	waiting := []connWaiter{
		{organisation: "urgent", rank: 0, patience: time.Second},
		{organisation: "idle", rank: 1, patience: time.Second},
		{organisation: "patient", rank: 1, waited: 999 * time.Millisecond, patience: time.Second},
		{organisation: "impatient", rank: 1, waited: time.Second, patience: time.Second},
	}
	var opened []currantloom.OrganisationName
	for _, needed := range neededConns(waiting, connCounts{"idle": 1}, connCounts{}, 5, 10) {
		opened = append(opened, needed.organisation)
		if spare := needed.spare["idle"]; (spare > 0) != (needed.organisation == "urgent") {
			t.Errorf("%s may close %d connections that a job as urgent needs", needed.organisation, spare)
		}
	}
	if fmt.Sprint(opened) != "[urgent impatient]" {
		t.Errorf("connections are opened for %v, want urgent and impatient", opened)
	}
}

// TestConnCost guards against a charge for the time that an opening waits for a slot.
func TestConnCost(t *testing.T) {
	f, p := newOrganisationFixture(t)
	const connectTime = 12 * time.Millisecond
	for _, took := range []time.Duration{connectTime, 10 * connectTime} {
		p.openConn(f.state, "o")
		f.now += took
		f.reduce(ConnOpened{Stamp: f.stamp(), Conn: p.conns[len(p.conns)-1].id})
	}
	if got := p.connCost("o"); got < 2*connectTime || got > 3*connectTime {
		t.Errorf("charged %s for two openings of %s", got, connectTime)
	}
}
