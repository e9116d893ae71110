package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"

	"currantloom.example/currantloom"
)

const (
	// readsAfterCatchUp is the number of reads after the replicas have caught up.
	readsAfterCatchUp = 20
	// readInterval spreads the reads over several polls of the replicas. The primary serves the reads until a poll shows
	// that a replica has caught up.
	readInterval = 75 * time.Millisecond
)

// bookingTimeout limits the scripted booking.
const bookingTimeout = 30 * time.Second

// runBooking writes an order through one node, reads it through another, and prints what happens.
func (d *demo) runBooking(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, bookingTimeout)
	defer cancel()
	printLine := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	printLine("Started two databases of three servers (replicas lag by %s) and three nodes.", demoApplyDelay)
	printLine("\nThe operator applies rules:")
	if err := d.applyRules(ctx, out); err != nil {
		return err
	}
	printLine("\nCaller steyr books through vm-1:")
	first, err := d.connect(ctx, 0, "")
	if err != nil {
		return err
	}
	defer func() { _ = first.Close(ctx) }()
	const insert = "INSERT INTO orders VALUES ('castor-1', 'booked')"
	if _, err := first.Exec(ctx, insert); err != nil {
		return err
	}
	token := first.PgConn().ParameterStatus("currantloom.token")
	printLine("  %s\n  acknowledged by a majority; the session's token is %s", insert, token)
	printLine("\nThe application moves to vm-2, in another failure domain, and reads at once with its token:")
	second, err := d.connect(ctx, 1, token)
	if err != nil {
		return err
	}
	defer func() { _ = second.Close(ctx) }()
	const query = "SELECT value FROM orders WHERE id = 'castor-1'"
	value, err := queryValue(ctx, second, query)
	if err != nil {
		return err
	}
	printLine("  %s\n  %s, although the replicas still lag", query, value)
	if value != "booked" {
		return currantloom.ErrInput.New("the read does not show the session's own write")
	}
	time.Sleep(2 * demoApplyDelay)
	for range readsAfterCatchUp {
		if _, err := queryValue(ctx, second, query); err != nil {
			return err
		}
		time.Sleep(readInterval)
	}
	replicaReads, err := d.countReplicaReads(ctx)
	if err != nil {
		return err
	}
	printLine("\nThe rule accepts reads that are up to 5s old. Of %d more reads, after the replicas have caught up,",
		readsAfterCatchUp)
	printLine("  %d were served by a replica", replicaReads)
	printLine("\nDone. All nodes shut down gracefully.")
	return nil
}

// connect opens a session at the node with the index, with the token of an earlier session unless it is empty.
func (d *demo) connect(ctx context.Context, node int, token string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://steyr:%s@%s/wheel-core-1?sslmode=disable",
		demoPassword, d.nodeConfigs[node].ClientListener.Addr()))
	if err != nil {
		return nil, err
	}
	config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	if token != "" {
		config.RuntimeParams["currantloom.token"] = token
	}
	return pgx.ConnectConfig(ctx, config)
}

func queryValue(ctx context.Context, conn *pgx.Conn, query string) (value string, err error) {
	err = conn.QueryRow(ctx, query).Scan(&value)
	return value, err
}

// countReplicaReads returns the number of reads that replicas have served, from the metrics of all nodes.
func (d *demo) countReplicaReads(ctx context.Context) (int, error) {
	time.Sleep(2 * time.Second) // The metrics may be a second old.
	total := 0
	for _, c := range d.nodeConfigs {
		request, err := http.NewRequestWithContext(
			ctx, http.MethodGet, "http://"+c.HTTPListener.Addr().String()+"/metrics", nil)
		if err != nil {
			return 0, err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, err
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return 0, err
		}
		for line := range strings.Lines(string(body)) {
			if rest, ok := strings.CutPrefix(line, "currantloom_replica_reads{"); ok {
				count, _ := strconv.Atoi(strings.TrimSpace(rest[strings.LastIndex(rest, " ")+1:]))
				total += count
			}
		}
	}
	return total, nil
}
