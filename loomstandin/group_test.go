package loomstandin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// listen returns a listener on the given address, or on a free loopback port if the address is empty.
func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// startGroup starts a group of three servers that is closed at the end of the test.
func startGroup(t *testing.T, o Options) []*Server {
	t.Helper()
	g, err := StartGroup(o, listen(t, ""), listen(t, ""), listen(t, ""))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.Close() })
	return g.Servers()
}

func dial(t *testing.T, s *Server) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(t.Context(), "postgres://test@"+s.Address()+"/test?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// runSQL runs a simple query and returns its rows, each as the text of its values joined by "|".
func runSQL(t *testing.T, c *pgx.Conn, sql string) []string {
	t.Helper()
	rows, err := tryQuery(t, c, sql)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return rows
}

func tryQuery(t *testing.T, c *pgx.Conn, sql string) ([]string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	results, err := c.PgConn().Exec(ctx, sql).ReadAll()
	var rows []string
	for _, r := range results {
		for _, row := range r.Rows {
			line := ""
			for i, v := range row {
				if i > 0 {
					line += "|"
				}
				line += string(v)
			}
			rows = append(rows, line)
		}
	}
	return rows, err
}

func wantRows(t *testing.T, c *pgx.Conn, sql string, want ...string) {
	t.Helper()
	if got := runSQL(t, c, sql); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: got %q, want %q", sql, got, want)
	}
}

func wantCode(t *testing.T, err error, code string) {
	t.Helper()
	var e *pgconn.PgError
	if !errors.As(err, &e) || e.Code != code {
		t.Errorf("got error %v, want SQLSTATE %s", err, code)
	}
}

// waitUntil waits up to 3 s for the condition and fails the test if it does not become true.
func waitUntil(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen within 3 s", event)
		}
	}
}

// promote requests the term from the given servers, makes the one with the latest position its primary, and returns it.
func promote(t *testing.T, term int, granting ...*Server) *Server {
	t.Helper()
	var newPrimary *Server
	latest := [2]int{-1, -1}
	for _, s := range granting {
		rows := runSQL(t, dial(t, s), fmt.Sprintf("SELECT * FROM group_raise_term(%d, 'vm-1')", term))
		var highest int
		var position [2]int
		if _, err := fmt.Sscanf(rows[0], "t|%d|%d|%d", &highest, &position[0], &position[1]); err != nil {
			t.Fatalf("server did not grant term %d: %v", term, rows)
		}
		if position[0] > latest[0] || position[0] == latest[0] && position[1] > latest[1] {
			newPrimary, latest = s, position
		}
	}
	runSQL(t, dial(t, newPrimary), fmt.Sprintf("SELECT group_lead(%d)", term))
	for _, s := range granting {
		if s != newPrimary {
			runSQL(t, dial(t, s), fmt.Sprintf("SELECT group_follow(%d, '%s')", term, newPrimary.Address()))
		}
	}
	return newPrimary
}

// TestDialect guards against wrong results of the SQL statements that tests of other packages use.
func TestDialect(t *testing.T) {
	c := dial(t, startGroup(t, Options{})[0])
	runSQL(t, c, "CREATE TABLE wheels (id text PRIMARY KEY, n bigint)")
	runSQL(t, c, "INSERT INTO wheels (id, n) VALUES ('a', 9), ('b', 10)")
	wantRows(t, c, "SELECT * FROM wheels ORDER BY n DESC", "b|10", "a|9")
	runSQL(t, c, "UPDATE wheels SET n = n + 5 WHERE id = 'a'")
	runSQL(t, c, "UPDATE wheels SET n = n - 1 WHERE id = 'b' AND n > 9")
	wantRows(t, c, "SELECT n FROM wheels WHERE n >= 9 ORDER BY n LIMIT 5", "9", "14")
	runSQL(t, c, "DELETE FROM wheels WHERE id = 'a'")
	wantRows(t, c, "SELECT count(*) FROM wheels", "1")
	wantRows(t, c, "SELECT 1; SELECT id FROM wheels; SHOW default_transaction_read_only", "1", "b", "off")
	_, err := tryQuery(t, c, "INSERT INTO wheels VALUES ('b', 1)")
	wantCode(t, err, "23505")
	_, err = tryQuery(t, c, "INSERT INTO wheels VALUES ('c', 1); SELECT missing FROM wheels")
	wantCode(t, err, "42703")
	wantRows(t, c, "SELECT count(*) FROM wheels WHERE id = 'c'", "0")
	runSQL(t, c, "CALL batch_release(0.01)")
	wantRows(t, c, "SELECT count(*) FROM batch_releases", "1")

	var n int
	if err := c.QueryRow(t.Context(), "SELECT n FROM wheels WHERE id = $1", "b").Scan(&n); err != nil || n != 9 {
		t.Errorf("extended protocol: got %d, %v, want 9", n, err)
	}
	if _, err := c.Exec(t.Context(), "INSERT INTO wheels (id, n) VALUES ($1, $2)", "d", "4"); err != nil {
		t.Error(err)
	}
	rows, _ := c.Query(t.Context(), "SELECT * FROM generate_rows(500, 1000)")
	count := 0
	for rows.Next() {
		count++
	}
	if count != 500 || rows.Err() != nil {
		t.Errorf("got %d rows, %v, want 500", count, rows.Err())
	}
}

// TestTransactions guards against transactions that see or overwrite each other's uncommitted changes.
func TestTransactions(t *testing.T) {
	servers := startGroup(t, Options{Slots: 1})
	a, b := dial(t, servers[0]), dial(t, servers[0])
	runSQL(t, a, "INSERT INTO t (id, n) VALUES ('x', 1)")
	runSQL(t, a, "BEGIN")
	runSQL(t, b, "BEGIN")
	runSQL(t, a, "UPDATE t SET n = n + 1 WHERE id = 'x'")
	runSQL(t, b, "UPDATE t SET n = n + 10 WHERE id = 'x'")
	wantRows(t, b, "SELECT n FROM t", "11")
	runSQL(t, a, "COMMIT")
	_, err := tryQuery(t, b, "COMMIT")
	wantCode(t, err, "40001")
	wantRows(t, b, "SELECT n FROM t", "2")

	for _, end := range []string{"COMMIT", "ROLLBACK"} {
		runSQL(t, a, "BEGIN; INSERT INTO t VALUES ('"+end+"', 1)")
		second := make(chan error, 1)
		go func() {
			_, err := tryQuery(t, b, "INSERT INTO t VALUES ('"+end+"', 2)")
			second <- err
		}()
		select {
		case err := <-second:
			t.Fatalf("second insert did not wait: %v", err)
		case <-time.After(50 * time.Millisecond):
		}
		runSQL(t, a, end)
		if err := <-second; end == "COMMIT" {
			wantCode(t, err, "23505")
		} else if err != nil {
			t.Errorf("insert after rollback: %v", err)
		}
	}

	runSQL(t, a, "BEGIN")
	_, err = tryQuery(t, a, "SELECT missing FROM t")
	wantCode(t, err, "42703")
	_, err = tryQuery(t, a, "SELECT n FROM t")
	wantCode(t, err, "25P02")
	if got := a.PgConn().TxStatus(); got != 'E' {
		t.Errorf("got transaction status %c, want E", got)
	}
	runSQL(t, a, "ROLLBACK")
}

// TestReplication guards against replicas that miss entries, accept writes or ignore their apply delay.
func TestReplication(t *testing.T) {
	servers := startGroup(t, Options{})
	primary, replica := dial(t, servers[0]), dial(t, servers[1])
	runSQL(t, primary, "INSERT INTO t VALUES ('x', 'one')")
	if got := primary.PgConn().ParameterStatus("group_position"); got != "1/1/2/2" && got != "1/1/2/3" {
		t.Errorf("got group_position %q, want 1/1/2 with a majority", got)
	}
	waitUntil(t, "replication", func() bool { return len(runSQL(t, replica, "SELECT * FROM t")) == 1 })
	_, err := tryQuery(t, replica, "INSERT INTO t VALUES ('y', 'two')")
	wantCode(t, err, "25006")
	runSQL(t, replica, "SELECT standin_lag(400)")
	runSQL(t, primary, "INSERT INTO t VALUES ('y', 'two')")
	wantRows(t, replica, "SELECT count(*) FROM t", "1")
	waitUntil(t, "lagging replication", func() bool { return len(runSQL(t, replica, "SELECT * FROM t")) == 2 })
	rows := runSQL(t, primary, "SELECT * FROM group_confirm()")
	if rows[0] != "1|1|3|2" && rows[0] != "1|1|3|3" {
		t.Errorf("got confirmation %v, want 1|1|3 with a majority", rows)
	}
}

// TestPromotion guards against a promotion that loses a confirmed entry, keeps a conflicting one or lets two primaries
// commit, and against a term that is granted twice.
func TestPromotion(t *testing.T) {
	servers := startGroup(t, Options{})
	old := dial(t, servers[0])
	runSQL(t, old, "INSERT INTO t VALUES ('confirmed', '1')")
	servers[1].SetNetworkDelay(time.Hour)
	servers[2].SetNetworkDelay(time.Hour)
	start := time.Now()
	runSQL(t, old, "INSERT INTO t VALUES ('conflicting', '1')")
	if took := time.Since(start); took < confirmTimeout {
		t.Errorf("commit without a majority reported after %v, want at least %v", took, confirmTimeout)
	}
	if got := old.PgConn().ParameterStatus("group_position"); got != "1/1/3/1" {
		t.Errorf("got group_position %q, want 1/1/3/1", got)
	}
	servers[0].Pause()
	servers[1].SetNetworkDelay(0)
	servers[2].SetNetworkDelay(0)
	newPrimary := promote(t, 2, servers[1], servers[2])
	next := dial(t, newPrimary)
	wantRows(t, next, "SELECT * FROM group_raise_term(2, 'vm-2')", "f|2|2|3")
	runSQL(t, next, "INSERT INTO t VALUES ('new', '2')")
	servers[0].Resume()
	if _, err := tryQuery(t, old, "INSERT INTO t VALUES ('late', '1')"); err != nil {
		t.Error(err)
	}
	if got := old.PgConn().ParameterStatus("group_position"); got[len(got)-2:] != "/1" {
		t.Errorf("replaced primary reported %q, want one server only", got)
	}
	runSQL(t, old, "SELECT group_follow(2, '"+newPrimary.Address()+"')")
	waitUntil(t, "catching up", func() bool {
		return fmt.Sprint(runSQL(t, old, "SELECT id FROM t")) == "[confirmed new]"
	})
	_, err := tryQuery(t, old, "SELECT group_lead(2)")
	wantCode(t, err, "55000")
}

// TestFencing guards against a server that commits or becomes primary in an old term after it granted a newer one.
func TestFencing(t *testing.T) {
	s := startGroup(t, Options{})[0]
	open, other := dial(t, s), dial(t, s)
	runSQL(t, open, "BEGIN; INSERT INTO t VALUES ('open', '1')")
	for range 2 {
		wantRows(t, other, "SELECT * FROM group_raise_term(5, 'vm-1')", "t|5|1|1")
	}
	wantRows(t, other, "SELECT * FROM group_raise_term(5, 'vm-2')", "f|5|1|1")
	if got := runSQL(t, other, "SELECT * FROM group_status()"); !strings.HasPrefix(got[0], "fenced|1|5|1|1|") {
		t.Errorf("got status %v, want fenced", got)
	}
	for sql, conn := range map[string]*pgx.Conn{
		"COMMIT": open, "INSERT INTO t VALUES ('new', '1')": other, "SELECT * FROM group_confirm()": other,
	} {
		_, err := tryQuery(t, conn, sql)
		wantCode(t, err, "25006")
	}
	wantRows(t, other, "SELECT count(*) FROM t", "0")
	for _, sql := range []string{"SELECT group_lead(4)", "SELECT group_follow(4, '127.0.0.1:1')"} {
		_, err := tryQuery(t, other, sql)
		wantCode(t, err, "55000")
	}
	runSQL(t, other, "SELECT group_lead(5)")
	runSQL(t, other, "INSERT INTO t VALUES ('new', '1')")
}

// TestOldTermEntry guards against the loss of a confirmed entry of an older term. A majority holds the entry in a later
// term, while a paused server holds an entry of the term between them and votes in the next promotion.
func TestOldTermEntry(t *testing.T) {
	servers := startGroup(t, Options{})
	servers[1].SetNetworkDelay(time.Hour)
	servers[2].SetNetworkDelay(time.Hour)
	runSQL(t, dial(t, servers[0]), "INSERT INTO t VALUES ('old', '1')")
	if newPrimary := promote(t, 2, servers[1], servers[2]); newPrimary != servers[1] {
		t.Fatalf("got primary %s, want the first of equal ones", newPrimary.Address())
	}
	runSQL(t, dial(t, servers[1]), "INSERT INTO t VALUES ('between', '2')")
	servers[1].Pause()
	servers[0].SetNetworkDelay(0)
	servers[2].SetNetworkDelay(0)
	if newPrimary := promote(t, 3, servers[0], servers[2]); newPrimary != servers[0] {
		t.Fatalf("got primary %s, want the one with the later position", newPrimary.Address())
	}
	rows := runSQL(t, dial(t, servers[0]), "SELECT * FROM group_confirm()")
	if rows[0] != "3|3|3|2" {
		t.Errorf("got confirmation %v, want 3|3|3|2", rows)
	}
	servers[0].Pause()
	servers[1].SetNetworkDelay(0)
	servers[1].Resume()
	newPrimary := promote(t, 4, servers[1], servers[2])
	wantRows(t, dial(t, newPrimary), "SELECT id FROM t", "old")
	waitUntil(t, "dropping the entry between", func() bool {
		return fmt.Sprint(runSQL(t, dial(t, servers[1]), "SELECT id FROM t")) == "[old]"
	})
	servers[0].Resume()
}

// TestRestart guards against the loss of grants and entries when a process with a journal is killed, and against a
// server that grants terms after it lost its log.
func TestRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	l := listen(t, "")
	address := l.Addr().String()
	servers := startGroup(t, Options{})
	startOne := func(l net.Listener, journal, bootstrap string) *Server {
		s, err := Start(Options{Listener: l, Journal: journal, Bootstrap: bootstrap, Size: 3})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		return s
	}
	runSQL(t, dial(t, servers[0]), "INSERT INTO t VALUES ('x', '1')")
	s := startOne(l, path, servers[0].Address())
	waitUntil(t, "replication", func() bool { return len(runSQL(t, dial(t, s), "SELECT * FROM t")) == 1 })
	runSQL(t, dial(t, s), "SELECT * FROM group_raise_term(4, 'vm-1')")
	_ = s.Close()
	s = startOne(listen(t, address), path, servers[0].Address())
	wantRows(t, dial(t, s), "SELECT * FROM t", "x|1")
	wantRows(t, dial(t, s), "SELECT * FROM group_raise_term(4, 'vm-2')", "f|4|1|2")
	_ = s.Close()

	s = startOne(listen(t, address), "", "")
	c := dial(t, s)
	wantRows(t, c, "SELECT * FROM group_raise_term(5, 'vm-2')", "f|0|0|0")
	runSQL(t, c, "SELECT group_follow(1, '"+servers[0].Address()+"')")
	waitUntil(t, "catching up after the loss of the log", func() bool {
		return runSQL(t, c, "SELECT * FROM group_raise_term(5, 'vm-2')")[0] == "t|5|1|2"
	})
}

// TestLimits guards against connections beyond the limit that are not refused, statements that run without a slot, and
// cancel requests without effect.
func TestLimits(t *testing.T) {
	s := startGroup(t, Options{MaxConnections: 2, Slots: 1, ConnectDelay: 12 * time.Millisecond})[0]
	start := time.Now()
	a, b := dial(t, s), dial(t, s)
	if took := time.Since(start); took < 24*time.Millisecond {
		t.Errorf("opening two connections took %v, want at least 24 ms", took)
	}
	_, err := pgx.Connect(t.Context(), "postgres://test@"+s.Address()+"/test?sslmode=disable")
	wantCode(t, err, "53300")
	canceled := make(chan error, 1)
	go func() {
		_, err := tryQuery(t, a, "SELECT pg_sleep(60)")
		canceled <- err
	}()
	waitUntil(t, "use of the slot", func() bool { return len(s.slots) == 1 })
	waiting := make(chan error, 1)
	go func() {
		_, err := tryQuery(t, b, "SELECT 1")
		waiting <- err
	}()
	select {
	case err := <-waiting:
		t.Fatalf("second statement did not wait for the slot: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	if err := a.PgConn().CancelRequest(t.Context()); err != nil {
		t.Fatal(err)
	}
	wantCode(t, <-canceled, "57014")
	if err := <-waiting; err != nil {
		t.Error(err)
	}
	s.CloseConnections()
	if _, err := tryQuery(t, a, "SELECT 1"); err == nil {
		t.Error("statement succeeded on a closed connection")
	}
}
