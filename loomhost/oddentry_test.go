package loomhost

import (
	"context"
	"strings"
	"testing"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

// TestOddNodeRecords guards against one odd record among those of the nodes, or of the failover lease, that ends the
// process, is logged at each read, or hides the other records.
func TestOddNodeRecords(t *testing.T) {
	const good = `{"address":"10.0.0.1:7440","domain":"linz","region":"ost","incarnation":3}`
	for name, odd := range map[string]string{
		"deep":              strings.Repeat("[", 200_000),
		"number too large":  `{"address":"10.0.0.1:7440","incarnation":1e300}`,
		"port out of range": `{"address":"10.0.0.1:99999","incarnation":3}`,
		"no address":        `{}`,
		"not JSON":          "\xff\x00",
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			n := New(Config{Catalog: keyCatalog{}, Log: &out})
			items := []currantloom.StoreItem{
				storeItem(nodeKeyPrefix+"vm-1", good, 1, 90), storeItem(nodeKeyPrefix+"vm-2", odd, 1, 91),
				storeItem(nodeKeyPrefix+"vm-3", good, 1, 92), storeItem(failoverLeaseKey, odd, 1, 93),
			}
			var e loomfleet.CatalogChanged
			for range 3 {
				n.storeCache.replace(items)
				e = n.storeCache.decodeChanges("", items, true, currantloom.NewStorePosition(1, 93))
			}
			if len(e.Members) != 2 || n.storeCache.currentFleet().size != 2 {
				t.Errorf("%d members, fleet of %d, want 2", len(e.Members), n.storeCache.currentFleet().size)
			}
			if l := e.FailoverLease; l == nil || l.Holder != "" || l.Deleted {
				t.Errorf("failover lease %+v, want one without a holder", l)
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			if err := n.log.Run(ctx); err != nil {
				t.Fatal(err)
			}
			if got := strings.Count(out.String(), "key=nodes/vm-2"); got != 1 {
				t.Errorf("%d lines, want 1", got)
			}
		})
	}
}
