package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"currantloom.example/currantloom/loomstandin"
	"currantloom.example/currantloom/loomstore"
)

// platformSettings returns the settings of a node that gets its VM list and rules from the platform.
func platformSettings(name, failureDomain, platform string, ports, upstreamAddresses []string) string {
	return fmt.Sprintf(`vm: %s
region: ost
failure-domain: %s
listen: {callers: "%s", links: "%s", control: "%s", http: "%s"}
platform: {address: "http://%s"}
stop: {balancer-interval: 100ms}
log: {level: warn}
callers: [{name: steyr, password: secret}]
databases:
  - name: wheel-core-1
    slots: 2
    connections: 16
    servers:
      - {name: wheel-core-1-a, address: "%s", region: ost, failure-domain: ost-linz}
      - {name: wheel-core-1-b, address: "%s", region: ost, failure-domain: ost-steyr}
      - {name: wheel-core-1-c, address: "%s", region: west, failure-domain: west-ibk}
`, name, failureDomain, ports[0], ports[1], ports[2], ports[3], platform,
		upstreamAddresses[0], upstreamAddresses[1], upstreamAddresses[2])
}

// TestServeWithPlatform guards against a serve command that ignores the settings of the platform, the control listener
// or the HTTP listener. The nodes are separate processes that get the VM list and the rules only from the platform.
func TestServeWithPlatform(t *testing.T) {
	platform, store := startPlatformAndStore(t)
	var listeners []net.Listener
	var upstreamAddresses []string
	for _, address := range freePorts(t, 3) {
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		listeners, upstreamAddresses = append(listeners, l), append(upstreamAddresses, address)
	}
	group, err := loomstandin.StartGroup(loomstandin.Options{}, listeners...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = group.Close() })
	binary := filepath.Join(buildBinaries(t), "currantloom")
	ports := freePorts(t, 8)
	var processes []*exec.Cmd
	for i, failureDomain := range []string{"ost-linz", "ost-steyr"} {
		name, own := fmt.Sprint("vm-", i+1), ports[4*i:4*i+4]
		platform.RegisterVM(name, own[1], own[2], "ost", failureDomain)
		path := filepath.Join(t.TempDir(), name+".yaml")
		settings := platformSettings(name, failureDomain, platform.Address(), own, upstreamAddresses)
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		processes = append(processes, startProcess(t, binary, "serve", "--settings", path))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for i := range processes {
		conn := connectWithToken(ctx, t, ports[4*i], "")
		if _, err := conn.Exec(ctx, fmt.Sprintf("INSERT INTO orders VALUES ('castor-%d', 'booked')", i)); err != nil {
			t.Fatal(err)
		}
		_ = conn.Close(ctx)
	}
	out, err := applyText(
		ctx, t, loomstore.NewRulesStore(platform.Address()), platform.Address(), "read * max-age 5s # x\n")
	if err != nil || !strings.Contains(out, "in force on 2 of 2 VMs") {
		t.Errorf("got %q, %v", out, err)
	}
	checkReady(ctx, t, ports[3])
	_ = store.Close()
	for _, p := range processes {
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range processes {
		if err := p.Wait(); err != nil {
			t.Errorf("serve ended with %v", err)
		}
	}
}

func checkReady(ctx context.Context, t *testing.T, address string) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("/ready answers %s", response.Status)
	}
}
