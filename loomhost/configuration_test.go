package loomhost

import (
	"context"
	"strings"
	"testing"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

// keyCatalog decodes the value of the key "configuration" as a version, in a deployment with organisations. The value
// "bad" is invalid, and so is a deletion.
type keyCatalog struct{ versionCatalog }

func (keyCatalog) Configuration(i currantloom.StoreItem) (currantloom.Configuration, bool, error) {
	if i.Key != "configuration" {
		return currantloom.Configuration{}, false, nil
	}
	if i.Deleted {
		return currantloom.Configuration{}, true, currantloom.ErrInput.New("deleted")
	}
	c, _, err := versionCatalog{}.Configuration(i)
	c.Organisations = currantloom.NewOrganisations()
	return c, true, err
}

// TestConfigurationNeverReverts guards against ways in which an older or invalid configuration replaces the one that a
// node has in its copy, which nodes that start are given.
func TestConfigurationNeverReverts(t *testing.T) {
	held := storeItem("configuration", "7", 1, 90)
	deleted := storeItem("configuration", "", 1, 91)
	deleted.Deleted = true
	for name, items := range map[string][]currantloom.StoreItem{
		"older, later position":        {storeItem("configuration", "6", 1, 91)},
		"older, from the restored era": {storeItem("configuration", "6", 2, 40)},
		"invalid":                      {storeItem("configuration", "bad", 1, 91)},
		"deleted":                      {deleted},
		"absent":                       nil,
	} {
		for way, apply := range map[string]func(*storeCache){
			"read again": func(c *storeCache) { c.replace(items) },
			"watch":      func(c *storeCache) { c.merge(items) },
			"copy of a peer": func(c *storeCache) {
				c.adoptCopy("vm-9", currantloom.StoreItems{Items: items, Position: currantloom.NewStorePosition(3, 1)})
			},
			"push": func(c *storeCache) {
				position := currantloom.NewStorePosition(1, 90)
				receivePush(c, position, currantloom.StoreItems{
					Items: items, Delta: true, Base: position, Position: currantloom.NewStorePosition(1, 92),
				})
			},
			"fetched": func(c *storeCache) { c.adoptConfiguration("vm-9", items) },
		} {
			t.Run(name+", "+way, func(t *testing.T) {
				c := New(Config{Catalog: keyCatalog{}}).storeCache
				c.replace([]currantloom.StoreItem{held})
				apply(c)
				assertItem(t, c, "configuration", "7")
			})
		}
	}
	t.Run("same version", func(t *testing.T) {
		c := New(Config{Catalog: keyCatalog{}}).storeCache
		c.replace([]currantloom.StoreItem{storeItem("configuration", "7", 1, 90)})
		c.merge([]currantloom.StoreItem{storeItem("configuration", "07", 2, 95)})
		assertItem(t, c, "configuration", "7")
	})
}

// TestNewestConfigurationOfSeeds guards against a node that starts while the store is unreachable and takes an older
// configuration, because the copy with the newest position was read from a store that had lost the newest one.
func TestNewestConfigurationOfSeeds(t *testing.T) {
	before := startSeed(t, currantloom.StoreItems{
		Items: []currantloom.StoreItem{storeItem("configuration", "7", 1, 90)}, Position: currantloom.NewStorePosition(1, 95),
	})
	after := startSeed(t, currantloom.StoreItems{
		Items: []currantloom.StoreItem{storeItem("configuration", "6", 2, 40)}, Position: currantloom.NewStorePosition(2, 50),
	})
	for name, seeds := range map[string][]string{"older first": {after, before}, "older last": {before, after}} {
		t.Run(name, func(t *testing.T) {
			n := New(Config{Reducer: loomfleet.Config{Self: "vm-1"}, Catalog: keyCatalog{}, SeedAddresses: seeds})
			n.storeCache.loadFromSeeds()
			assertItem(t, n.storeCache, "configuration", "7")
		})
	}
}

// TestInvalidConfigurationIsLogged guards against an invalid configuration that is ignored without a log line, or with
// one at each read of the store.
func TestInvalidConfigurationIsLogged(t *testing.T) {
	var out strings.Builder
	n := New(Config{Catalog: keyCatalog{}, Log: &out})
	items := []currantloom.StoreItem{storeItem("configuration", "bad", 1, 91)}
	for range 3 {
		n.storeCache.decodeChanges("", items, false, currantloom.NewStorePosition(1, 91))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := n.log.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(out.String(), "msg=configuration version=1/91"); got != 1 {
		t.Errorf("%d lines, want 1:\n%s", got, out.String())
	}
}

// TestAgeOfPushedProof guards against a push that proves more than the answer of the store that it passes on: the age
// of that answer counts from when the store was asked.
func TestAgeOfPushedProof(t *testing.T) {
	for name, c := range map[string]struct {
		age    time.Duration
		proven bool
	}{"fresh": {time.Second, true}, "old": {time.Minute, false}} {
		t.Run(name, func(t *testing.T) {
			n := New(Config{
				Reducer: loomfleet.Config{Self: "vm-1", StrictRevocation: true}, Catalog: keyCatalog{},
				Store: readOnlyStore{},
			})
			n.storeCache.adoptCopy("vm-9", currantloom.StoreItems{
				Items:    []currantloom.StoreItem{storeItem("configuration", "7", 1, 90)},
				Position: currantloom.NewStorePosition(1, 90),
			})
			w := newStoreWatch(n.storeCache)
			w.position = currantloom.NewStorePosition(1, 90)
			w.handlePush(receivedPush{StoreItems: currantloom.StoreItems{
				Delta: true, Base: w.position, Position: w.position, Age: c.age,
				Request: w.schedule.StartRequest(n.clock.now()),
			}})
			n.submit(loomfleet.Tick{Stamp: n.stamp()})
			_, unproven := n.metrics.counters[counterLabels{event: "configuration", outcome: "unproven"}]
			if unproven == c.proven {
				t.Errorf("proven %t, want %t", !unproven, c.proven)
			}
		})
	}
}
