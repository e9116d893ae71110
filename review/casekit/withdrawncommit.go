package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// revocations is the number of keys that are taken away, revocationGap the time between two of them.
	revocations   = 30
	revocationGap = 700 * time.Millisecond
	// regionRoundTrip is the round trip between two regions.
	regionRoundTrip = 60 * time.Millisecond
	// tenantClients is the number of clients of the tenant whose keys are taken away.
	tenantClients = 12
	// maxUnserved is the greatest part of the requests that may be refused or fail.
	maxUnserved = 0.6
)

// keyConfiguration returns a configuration with two tenants. The first one holds one key, by its number.
func keyConfiguration(version, key int) string {
	return routeConfiguration(version, 800, "primary", serviceName, fill(tenantsFile, "KEY", tenantKey(key)))
}

func tenantKey(number int) string { return fmt.Sprintf("3fgfwrz56aw63is47q%02d", number) }

// runWithdrawnCommit checks the gate's bound on requests that are refused or fail: keys of a tenant are replaced while
// its clients commit transactions. The servers are in another region than the nodes.
func runWithdrawnCommit(recordPath, binary string) (bool, error) {
	b, err := newBench(recordPath, binary, keyConfiguration(7, 0))
	if err != nil {
		return false, err
	}
	defer b.close()
	b.db.roundTrip = regionRoundTrip
	if err := b.startNodes(); err != nil {
		return false, err
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	changing, other := b.clients, newClients(b.log)
	changing.key.Store(tenantKey(0))
	other.nodes = b.nodes
	other.key.Store("iqrh4jcda9rgy35ieisp")
	other.lastID.Store(1 << 20)
	const end = 95 * time.Second
	time.Sleep(time.Second)
	var sent sync.WaitGroup
	for i := range tenantClients {
		sent.Go(func() {
			for b.log.now() < end {
				changing.send(b.nodes[i%len(b.nodes)], "BEGIN", "WRITE 1a4 xkqpwnzd", fmt.Sprintf("SET v1 u%d", i), "COMMIT")
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	sent.Go(func() { other.run(end, 250*time.Millisecond, "WRITE 1a5 qdkyjhax") })
	b.waitUntil(6 * time.Second)
	for i := range revocations {
		if b.trouble {
			b.store.put(names.ConfigurationKey, keyConfiguration(9+2*i, i+1))
			changing.key.Store(tenantKey(i + 1))
			b.log.note("version %d replaces the key of tenant miny420", 9+2*i)
		}
		time.Sleep(revocationGap)
	}
	sent.Wait()
	changed, served := changing.owed()
	asked, answered := other.share(0, end)
	b.log.note("tenant miny420: %d operations with a valid key, %d served", changed, served)
	b.log.note("tenant rolu133, whose key stays: %d operations, %d served", asked, answered)
	after, answeredAfter := other.share(b.log.now()-25*time.Second, end)
	b.log.note("tenant rolu133 in the last 25 s: %d operations, %d served", after, answeredAfter)
	unserved := 1 - float64(served+answered)/float64(changed+asked)
	b.log.note("refused and failed: %.0f%%", 100*unserved)
	b.log.note("GATE broken: %t", unserved > maxUnserved)
	return unserved > maxUnserved, nil
}

// owed returns how many operations were sent whose key was not taken away meanwhile, and how many of them were served.
func (c *clients) owed() (sent, served int) {
	for _, o := range c.all() {
		if strings.Contains(o.result, "key ") {
			continue
		}
		sent++
		if o.served {
			served++
		}
	}
	return sent, served
}
