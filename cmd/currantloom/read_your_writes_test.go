package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"currantloom.example/currantloom/loomstandin"
)

// TestReadYourWritesAcrossProcesses guards against a session that does not see its own write through another node while
// the replicas lag. The nodes and the database group are separate processes.
func TestReadYourWritesAcrossProcesses(t *testing.T) {
	dir := t.TempDir()
	binaries := buildBinaries(t)
	ports := freePorts(t, 7)
	startProcess(t, filepath.Join(binaries, "standin"), "group", "--lag", "300ms",
		"--listen", ports[0], "--listen", ports[1], "--listen", ports[2])
	for i, name := range []string{"vm-1", "vm-2"} {
		path := filepath.Join(dir, name+".yaml")
		if err := os.WriteFile(path, []byte(staticSettings(name, ports, i)), 0o600); err != nil {
			t.Fatal(err)
		}
		startProcess(t, filepath.Join(binaries, "currantloom"), "serve", "--settings", path)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()

	first := connectWithToken(ctx, t, ports[3], "")
	if _, err := first.Exec(ctx, "INSERT INTO orders VALUES ('castor-1', 'booked')"); err != nil {
		t.Fatal(err)
	}
	token := first.PgConn().ParameterStatus("currantloom.token")
	if !strings.HasPrefix(token, "wheel-core-1:1/") {
		t.Fatalf("got token %q, want one of wheel-core-1 in term 1", token)
	}
	second := connectWithToken(ctx, t, ports[4], token)
	var value string
	row := second.QueryRow(ctx, "SELECT value FROM orders WHERE id = 'castor-1'", pgx.QueryExecModeSimpleProtocol)
	if err := row.Scan(&value); err != nil {
		t.Fatal(err)
	}
	if value != "booked" {
		t.Errorf("got %q through the second node, want the value written through the first", value)
	}
}

// builtBinaries holds the directory of the binaries. All tests of the package share one build.
var builtBinaries struct {
	once sync.Once
	dir  string
	err  error
}

// buildBinaries builds currantloom and standin on the first call and returns the directory of the binaries.
func buildBinaries(t *testing.T) string {
	t.Helper()
	builtBinaries.once.Do(func() {
		if builtBinaries.dir, builtBinaries.err = os.MkdirTemp("", "currantloom-test"); builtBinaries.err != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", builtBinaries.dir, ".", "../standin").CombinedOutput()
		if err != nil {
			builtBinaries.err = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	if builtBinaries.err != nil {
		t.Fatal(builtBinaries.err)
	}
	return builtBinaries.dir
}

func freePorts(t *testing.T, n int) []string {
	t.Helper()
	addresses, err := loomstandin.FreeAddresses(n)
	if err != nil {
		t.Fatal(err)
	}
	return addresses
}

// startProcess starts a process that is killed when the test ends.
func startProcess(t *testing.T, name string, args ...string) *exec.Cmd {
	t.Helper()
	command := exec.Command(name, args...)
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}

// staticSettings returns the settings of the node with the index, with a fixed list of two VMs. The ports are those of
// the three database servers, the two client listeners and the two link listeners.
func staticSettings(name string, ports []string, i int) string {
	return fmt.Sprintf(`vm: %s
region: ost
failure-domain: ost-linz
listen: {callers: "%s", links: "%s"}
callers: [{name: steyr, password: secret}]
vms:
  - {name: vm-1, region: ost, failure-domain: ost-linz, links: "%s"}
  - {name: vm-2, region: ost, failure-domain: ost-linz, links: "%s"}
databases:
  - name: wheel-core-1
    slots: 2
    connections: 16
    servers:
      - {name: wheel-core-1-a, address: "%s", region: ost, failure-domain: ost-linz}
      - {name: wheel-core-1-b, address: "%s", region: ost, failure-domain: ost-steyr}
      - {name: wheel-core-1-c, address: "%s", region: west, failure-domain: west-ibk}
`, name, ports[3+i], ports[5+i], ports[5], ports[6], ports[0], ports[1], ports[2])
}

// connectWithToken opens a session at a node with a token, unless the token is empty. It retries until the node accepts
// the connection.
func connectWithToken(ctx context.Context, t *testing.T, address, token string) *pgx.Conn {
	t.Helper()
	config, err := pgx.ParseConfig("postgres://steyr:secret@" + address + "/wheel-core-1?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		config.RuntimeParams["currantloom.token"] = token
	}
	for {
		conn, err := pgx.ConnectConfig(ctx, config)
		if err == nil {
			t.Cleanup(func() { _ = conn.Close(context.Background()) })
			return conn
		}
		if ctx.Err() != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
