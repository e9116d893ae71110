package loomfleet

import (
	"fmt"
	"slices"
	"testing"

	"currantloom.example/currantloom"
)

// TestCampaignRanks guards against a large fleet whose nodes all claim a vacant failover lease at the same time,
// because each has pinged only a few of the others.
func TestCampaignRanks(t *testing.T) {
	const fleet = 40
	name := func(i int) currantloom.VMName { return currantloom.VMName(fmt.Sprintf("vm-%d", i)) }
	var ranks []int
	for self := range fleet {
		s := New(Config{Self: name(self), Location: testLocation, Address: "10.0.0.1:1", Incarnation: 1})
		e := CatalogChanged{Snapshot: true, Position: testStorePosition(fleet)}
		for other := range fleet {
			e.Members = append(e.Members, MemberChange{
				VM:          currantloom.NewVM(name(other), testLocation, "10.0.0.2:1", "", currantloom.VMLive),
				Incarnation: 1, Position: testStorePosition(uint64(other + 1)),
			})
		}
		s.Reduce(e)
		ranks = append(ranks, s.coordinator.campaignRank(s))
	}
	slices.Sort(ranks)
	for i, rank := range ranks {
		if rank != i {
			t.Fatalf("ranks %v, want each from 0 to %d once", ranks, fleet-1)
		}
	}
}

// TestMalformedLeaseRecord guards against a fleet that has no holder of the failover lease for ever, because something
// else has written its key: a claim must replace that record.
func TestMalformedLeaseRecord(t *testing.T) {
	s := New(Config{Self: "vm-1", Location: testLocation, Address: "10.0.0.1:1", Incarnation: 1})
	s.now = 2 * settleTime
	odd := testStorePosition(7)
	s.coordinator.handleLeaseChange(s, FailoverLeaseChange{Position: odd})
	s.catalog.configuration = &currantloom.Configuration{Version: 1}
	s.now += 2 * settleTime
	s.coordinator.leaseKey.lease = currantloom.NewStoreLease(0, 9)
	s.coordinator.leaseKey.ttl, s.coordinator.leaseKey.validUntil = s.now, 10*s.now
	s.coordinator.tickLeaseKey(s)
	for _, e := range s.effects {
		if commit, ok := e.(StoreCommit); ok {
			if !commit.Txn.Conditional || commit.Txn.Expected != odd {
				t.Errorf("claim %+v, want one that replaces the record at %s", commit.Txn, odd)
			}
			return
		}
	}
	t.Error("no claim")
}
