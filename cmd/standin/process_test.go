package main

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"currantloom.example/currantloom/loomstandin"
)

// TestKilledServers guards against a group of separate processes that loses log entries or granted terms when a server
// is killed and restarted with its journal.
func TestKilledServers(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "standin")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	addresses := freePorts(t, 3)
	start := func(i int) *exec.Cmd {
		command := exec.Command(binary, "server", "--listen", addresses[i], "--bootstrap", addresses[0],
			"--journal", filepath.Join(dir, fmt.Sprint(i)))
		if err := command.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { kill(command) })
		return command
	}
	primary := start(0)
	start(1)
	start(2)
	awaitLastRow(t, addresses[0], "INSERT INTO t VALUES ('first', '1')", "")
	awaitLastRow(t, addresses[1], "SELECT * FROM t", "first|1")
	awaitLastRow(t, addresses[2], "SELECT * FROM t", "first|1")
	kill(primary)
	awaitLastRow(t, addresses[1], "SELECT * FROM group_raise_term(2, 'vm-1')", "t|2|1|2")
	awaitLastRow(t, addresses[2], "SELECT * FROM group_raise_term(2, 'vm-1')", "t|2|1|2")
	awaitLastRow(t, addresses[1], "SELECT group_lead(2)", "")
	awaitLastRow(t, addresses[2], "SELECT group_follow(2, '"+addresses[1]+"')", "")
	awaitLastRow(t, addresses[1], "INSERT INTO t VALUES ('second', '2')", "")

	start(0)
	awaitLastRow(t, addresses[0], "SELECT * FROM t", "first|1")
	awaitLastRow(t, addresses[0], "SELECT * FROM group_raise_term(1, 'vm-2')", "f|1|1|2")
	awaitLastRow(t, addresses[0], "SELECT group_follow(2, '"+addresses[1]+"')", "")
	awaitLastRow(t, addresses[0], "SELECT * FROM t WHERE id = 'second'", "second|2")
}

func kill(command *exec.Cmd) {
	_ = command.Process.Kill()
	_ = command.Wait()
}

func freePorts(t *testing.T, n int) []string {
	t.Helper()
	addresses, err := loomstandin.FreeAddresses(n)
	if err != nil {
		t.Fatal(err)
	}
	return addresses
}

// awaitLastRow repeats a statement for up to 5 s until it succeeds and its last row equals want.
func awaitLastRow(t *testing.T, address, sql, want string) {
	t.Helper()
	var got string
	var err error
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if got, err = queryLastRow(t, address, sql); err == nil && got == want {
			return
		}
	}
	t.Fatalf("%s at %s: got %q, %v, want %q", sql, address, got, err, want)
}

// queryLastRow runs a statement and returns the last row of its result with "|" between the columns.
func queryLastRow(t *testing.T, address, sql string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	conn, err := pgconn.Connect(ctx, "postgres://test@"+address+"/test?sslmode=disable")
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	results, err := conn.Exec(ctx, sql).ReadAll()
	row := ""
	if err == nil && len(results) == 1 && len(results[0].Rows) > 0 {
		for i, v := range results[0].Rows[len(results[0].Rows)-1] {
			if i > 0 {
				row += "|"
			}
			row += string(v)
		}
	}
	return row, err
}
