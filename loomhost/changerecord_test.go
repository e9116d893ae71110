package loomhost

import (
	"slices"
	"testing"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

// TestChangeRecord guards against a record of changes of primary that the next holder of the failover lease reads
// differently from how it was written, or that is lost when the lease is given back.
func TestChangeRecord(t *testing.T) {
	for _, deletes := range []bool{false, true} {
		for _, want := range [][]currantloom.ServiceName{nil, {"orders"}, {"orders", "a b\n\"c\""}} {
			cache := newTestStoreCache("vm-1", 3)
			txn := cache.registrationTxn(loomfleet.StoreTxn{
				Kind: loomfleet.RegistrationFailoverLease, Delete: deletes, RecordsChanges: true, Changes: want,
			})
			e := cache.decodeChanges("", txn.Set, false, currantloom.StorePosition{})
			if e.ChangeRecord == nil || !slices.Equal(e.ChangeRecord.Services, want) {
				t.Errorf("delete %t: record %+v, want %v", deletes, e.ChangeRecord, want)
			}
		}
	}
}
