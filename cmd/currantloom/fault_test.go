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
	faultTime = flag.Duration("fault.time", 15*time.Second, "how long the run with faults takes")
	faultSeed = flag.Uint64("fault.seed", 1, "seed of the run with faults")
)

// fault is something that happens to the cluster and ends.
type fault struct {
	name  string
	begin func()
	end   func()
}

// faults returns what may happen to a node, to a database server and to the platform.
func (c *faultCluster) faults(random *rand.Rand) [][]fault {
	i, j := random.IntN(faultNodes), random.IntN(faultServers)
	node, server := c.nodes[i], c.servers[j]
	nothing := func() {}
	return [][]fault{
		{
			{"node killed", node.kill, node.start},
			{"node frozen", node.freeze, node.thaw},
			{"links of a node cut", func() { c.linkRelays[i].Stall(true) }, func() { c.linkRelays[i].Stall(false) }},
			{"links of a node silent", c.linkRelays[i].StallOpenConnections, nothing},
		},
		{
			{"database server killed", server.kill, server.start},
			{"database server frozen", server.freeze, server.thaw},
			{"database server cut", func() { c.serverRelays[j].Stall(true) }, func() { c.serverRelays[j].Stall(false) }},
			{"connections to a database server silent", c.serverRelays[j].StallOpenConnections, nothing},
		},
		{
			{"store down", c.platformFault("down=true"), c.platformFault("down=false")},
			{"store slow", c.platformFault("slow=700ms"), c.platformFault("slow=0s")},
			{"store cut", func() { c.storeRelay.Stall(true) }, func() { c.storeRelay.Stall(false) }},
			{"connections to the store silent", c.storeRelay.StallOpenConnections, nothing},
		},
	}
}

func (c *faultCluster) platformFault(query string) func() {
	return func() { c.request(http.MethodPost, "/standin/faults?"+query) }
}

// disturb causes faults, one or two at a time, until the time is over, and ends each of them.
func (c *faultCluster) disturb(random *rand.Rand, d time.Duration) map[string]int {
	counts := make(map[string]int)
	for end := time.Now().Add(d); time.Now().Before(end); {
		kinds := c.faults(random)
		random.Shuffle(len(kinds), func(a, b int) { kinds[a], kinds[b] = kinds[b], kinds[a] })
		var active []fault
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

// TestFaults guards against lost, doubled and wrong answers while nodes, database servers and the platform are
// killed, frozen and cut off under a steady load. All parts are separate processes.
func TestFaults(t *testing.T) {
	c := startFaultCluster(t)
	awaitService(t, c)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	outcome, wait := runLoad(ctx, t, c, *faultSeed)
	time.Sleep(time.Second)
	counts := c.disturb(rand.New(rand.NewPCG(*faultSeed, 99)), *faultTime)
	time.Sleep(time.Second)
	cancel()
	clients := wait()
	checkFinal(t, c, outcome, clients)
	for _, w := range outcome.wrong {
		t.Error(w)
	}
	if outcome.counts["write acknowledged"] < 50 {
		t.Errorf("only %d writes were acknowledged, which is no load", outcome.counts["write acknowledged"])
	}
	t.Logf("seed %d, %v; longest time without an acknowledged write: %v\n%s\n%s", *faultSeed, *faultTime,
		outcome.gap.Round(time.Millisecond), formatCounts(counts), formatCounts(outcome.counts))
}

// awaitService waits until a write is acknowledged.
func awaitService(t *testing.T, c *faultCluster) {
	t.Helper()
	conn := connect(t.Context(), t, c.callers[0], "")
	var err error
	for i := range 100 {
		// A write that may have run must not be repeated, so each attempt writes another row.
		sql := fmt.Sprintf("INSERT INTO orders (id, value) VALUES ('first-%d', 'booked')", i)
		if _, err = conn.Exec(t.Context(), sql); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("no write is acknowledged at the start: %v", err)
}

// checkFinal compares the rows of the database with what the clients were told.
func checkFinal(t *testing.T, c *faultCluster, outcome *faultOutcome, clients []*faultClient) {
	t.Helper()
	rows := readTable(t, c, "SELECT id, value FROM orders")
	counters := readTable(t, c, "SELECT id, n FROM counters")
	for _, client := range clients {
		for _, id := range client.committed {
			if _, ok := rows[id]; !ok {
				outcome.fault("%s: acknowledged row %s is lost", client.name, id)
			}
		}
		for _, id := range client.notRun {
			if _, ok := rows[id]; ok {
				outcome.fault("%s: row %s was reported as not run and is there", client.name, id)
			}
		}
		n := 0
		_, _ = fmt.Sscan(counters[client.name], &n)
		if n < client.applied || n > client.applied+client.unknown {
			outcome.fault("%s: counter is %d, want %d acknowledged and at most %d without an outcome",
				client.name, n, client.applied, client.unknown)
		}
	}
	for id, value := range rows {
		if _, ok := rows[value]; value != "booked" && !ok {
			outcome.fault("row %s is there without row %s of the same transaction", id, value)
		}
	}
	outcome.counts["rows"] = len(rows)
}

// readTable reads two columns of a table from the primary.
func readTable(t *testing.T, c *faultCluster, sql string) map[string]string {
	t.Helper()
	conn := connect(t.Context(), t, c.callers[0], "")
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
