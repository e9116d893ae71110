package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

var (
	faultDuration = flag.Duration("fault.time", 15*time.Second, "how long the run with faults takes")
	faultSeed     = flag.Uint64("fault.seed", 1, "seed of the run with faults")
)

// injectedFault is a fault that is caused by begin and removed by end.
type injectedFault struct {
	name  string
	begin func()
	end   func()
}

// possibleFaults returns the faults of a random node, of a random database server and of the platform.
func (c *faultCluster) possibleFaults(random *rand.Rand) [][]injectedFault {
	i, j := random.IntN(faultNodes), random.IntN(faultUpstreams)
	node, upstream := c.nodes[i], c.upstreams[j]
	nothing := func() {}
	return [][]injectedFault{
		{
			{"node killed", node.kill, node.start},
			{"node frozen", node.suspend, node.resume},
			{"links of a node cut", func() { c.linkRelays[i].Stall(true) }, func() { c.linkRelays[i].Stall(false) }},
			{"links of a node silent", c.linkRelays[i].StallOpenConnections, nothing},
		},
		{
			{"database server killed", upstream.kill, upstream.start},
			{"database server frozen", upstream.suspend, upstream.resume},
			{"database server cut", func() { c.upstreamRelays[j].Stall(true) }, func() { c.upstreamRelays[j].Stall(false) }},
			{"connections to a database server silent", c.upstreamRelays[j].StallOpenConnections, nothing},
		},
		{
			{"store down", c.setPlatformFault("down=true"), c.setPlatformFault("down=false")},
			{"store slow", c.setPlatformFault("slow=700ms"), c.setPlatformFault("slow=0s")},
			{"store cut", func() { c.storeRelay.Stall(true) }, func() { c.storeRelay.Stall(false) }},
			{"connections to the store silent", c.storeRelay.StallOpenConnections, nothing},
		},
	}
}

func (c *faultCluster) setPlatformFault(query string) func() {
	return func() { c.callPlatform(http.MethodPost, "/standin/faults?"+query) }
}

// injectFaults injects one or two faults at a time for the duration, removes them again and returns how often each was
// injected.
func (c *faultCluster) injectFaults(random *rand.Rand, d time.Duration) map[string]int {
	counts := make(map[string]int)
	for end := time.Now().Add(d); time.Now().Before(end); {
		kinds := c.possibleFaults(random)
		random.Shuffle(len(kinds), func(a, b int) { kinds[a], kinds[b] = kinds[b], kinds[a] })
		var active []injectedFault
		for _, kind := range kinds[:1+random.IntN(2)] {
			f := kind[random.IntN(len(kind))]
			counts[f.name]++
			f.begin()
			active = append(active, f)
			time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		}
		time.Sleep(time.Duration(300+random.IntN(2700)) * time.Millisecond)
		for _, f := range active {
			f.end()
		}
		time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
	}
	return counts
}

// TestFaults guards against lost writes, writes that run twice, wrong verdicts and stale reads while nodes, database
// servers and the platform are killed, suspended and disconnected under load. All parts are separate processes.
func TestFaults(t *testing.T) {
	c := startFaultCluster(t)
	awaitFirstWrite(t, c)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	result, wait := startLoad(ctx, t, c, *faultSeed)
	time.Sleep(time.Second)
	counts := c.injectFaults(rand.New(rand.NewPCG(*faultSeed, 99)), *faultDuration)
	time.Sleep(time.Second)
	cancel()
	clients := wait()
	checkTables(t, c, result, clients)
	for _, violation := range result.violations {
		t.Error(violation)
	}
	if result.counts["write acknowledged"] < 50 {
		t.Errorf("only %d writes were acknowledged, want at least 50", result.counts["write acknowledged"])
	}
	t.Logf("seed %d, %v; longest time without an acknowledged write: %v\n%s\n%s", *faultSeed, *faultDuration,
		result.longestGap.Round(time.Millisecond), formatCounts(counts), formatCounts(result.counts))
}

// awaitFirstWrite waits until a write is acknowledged, for up to 100 attempts.
func awaitFirstWrite(t *testing.T, c *faultCluster) {
	t.Helper()
	conn := connectWithToken(t.Context(), t, c.clientAddresses[0], "")
	var err error
	for i := range 100 {
		// A write that may have run must not be repeated, so each attempt writes a different row.
		sql := fmt.Sprintf("INSERT INTO orders (id, value) VALUES ('first-%d', 'booked')", i)
		if _, err = conn.Exec(t.Context(), sql); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("no write is acknowledged at the start: %v", err)
}

// checkTables compares the rows at the primary with the outcomes that the clients received.
func checkTables(t *testing.T, c *faultCluster, result *loadResult, clients []*faultClient) {
	t.Helper()
	rows := readTable(t, c, "SELECT id, value FROM orders")
	counters := readTable(t, c, "SELECT id, n FROM counters")
	for _, client := range clients {
		for _, id := range client.committed {
			if _, ok := rows[id]; !ok {
				result.addViolation("%s: acknowledged row %s is lost", client.name, id)
			}
		}
		for _, id := range client.notRun {
			if _, ok := rows[id]; ok {
				result.addViolation("%s: row %s was reported as not run and is there", client.name, id)
			}
		}
		n := 0
		_, _ = fmt.Sscan(counters[client.name], &n)
		if n < client.acknowledgedIncrements || n > client.acknowledgedIncrements+client.unknownIncrements {
			result.addViolation("%s: counter is %d, want %d acknowledged and at most %d without an outcome",
				client.name, n, client.acknowledgedIncrements, client.unknownIncrements)
		}
	}
	for id, value := range rows {
		if _, ok := rows[value]; value != "booked" && !ok {
			result.addViolation("row %s is there without row %s of the same transaction", id, value)
		}
	}
	result.counts["rows"] = len(rows)
}

// readTable reads the first two columns of a query through a node, without accepting an age. It retries for 100
// attempts.
func readTable(t *testing.T, c *faultCluster, sql string) map[string]string {
	t.Helper()
	conn := connectWithToken(t.Context(), t, c.clientAddresses[0], "")
	table := make(map[string]string)
	for range 100 {
		rows, err := conn.Query(t.Context(), sql, pgx.QueryExecModeSimpleProtocol)
		if err == nil {
			for rows.Next() {
				raw := rows.RawValues()
				table[string(raw[0])] = string(raw[1])
			}
			if err = rows.Err(); err == nil {
				return table
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("%s does not answer after the faults have ended", sql)
	return nil
}

func formatCounts(counts map[string]int) string {
	var lines []string
	for name, n := range counts {
		lines = append(lines, fmt.Sprintf("  %s: %d", name, n))
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}
