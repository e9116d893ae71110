package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"currantloom.example/currantloom/loomstandin"
)

const (
	faultNodes     = 3
	faultUpstreams = 3
)

// faultProcess is a process that the test kills, suspends and restarts.
type faultProcess struct {
	t         *testing.T
	name      string
	args      []string
	log       *os.File
	command   *exec.Cmd
	suspended bool
}

func (p *faultProcess) start() {
	p.command = exec.Command(p.args[0], p.args[1:]...)
	p.command.Stderr = p.log
	if err := p.command.Start(); err != nil {
		p.t.Error(err)
	}
}

// kill ends the process with SIGKILL.
func (p *faultProcess) kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	p.command, p.suspended = nil, false
}

func (p *faultProcess) suspend() {
	p.suspended = true
	_ = p.command.Process.Signal(syscall.SIGSTOP)
}

func (p *faultProcess) resume() {
	p.suspended = false
	_ = p.command.Process.Signal(syscall.SIGCONT)
}

// faultCluster runs a platform stand-in, a database group and nodes as processes. Their connections go through relays.
type faultCluster struct {
	t         *testing.T
	platform  *faultProcess
	upstreams []*faultProcess
	nodes     []*faultProcess
	// Relays in front of the database servers, the link listeners of the nodes and the platform.
	upstreamRelays  []*loomstandin.Relay
	linkRelays      []*loomstandin.Relay
	storeRelay      *loomstandin.Relay
	platformURL     string
	clientAddresses []string
}

func startFaultCluster(t *testing.T) *faultCluster {
	t.Helper()
	c := &faultCluster{t: t}
	binaries, dir := buildBinaries(t), t.TempDir()
	ports := freePorts(t, 1+faultUpstreams+3*faultNodes)
	c.platformURL = "http://" + ports[0]
	c.storeRelay = startRelay(t, ports[0])
	c.platform = c.startProcess(dir, "platform", filepath.Join(binaries, "standin"),
		"platform", "--listen", ports[0], "--lag", "500ms")
	for i := range faultUpstreams {
		c.upstreamRelays = append(c.upstreamRelays, startRelay(t, ports[1+i]))
	}
	for i := range faultUpstreams {
		c.upstreams = append(c.upstreams, c.startProcess(dir, fmt.Sprintf("server-%d", i), filepath.Join(binaries, "standin"),
			"server", "--listen", ports[1+i], "--bootstrap", c.upstreamRelays[0].Address(), "--connections", "16",
			"--slots", "4", "--open-delay", "12ms", "--lag", "20ms",
			"--journal", filepath.Join(dir, fmt.Sprintf("journal-%d", i))))
	}
	awaitPlatform(t, ports[0])
	for i := range faultNodes {
		own := ports[1+faultUpstreams+3*i:]
		c.clientAddresses = append(c.clientAddresses, own[0])
		c.linkRelays = append(c.linkRelays, startRelay(t, own[1]))
		name := fmt.Sprintf("vm-%d", i+1)
		path := filepath.Join(dir, name+".yaml")
		if err := os.WriteFile(path, []byte(c.nodeSettings(name, own)), 0o600); err != nil {
			t.Fatal(err)
		}
		c.registerVM(name, c.linkRelays[i].Address(), own[2])
		c.nodes = append(c.nodes, c.startProcess(dir, name,
			filepath.Join(binaries, "currantloom"), "serve", "--settings", path))
	}
	return c
}

func startRelay(t *testing.T, target string) *loomstandin.Relay {
	t.Helper()
	r := loomstandin.StartRelay(listen(t, 1)[0], target)
	t.Cleanup(func() { _ = r.Close() })
	return r
}

// startProcess starts a process that logs to a file. If the test fails, it prints the end of the log.
func (c *faultCluster) startProcess(dir, name string, args ...string) *faultProcess {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		c.t.Fatal(err)
	}
	p := &faultProcess{t: c.t, name: name, args: args, log: log}
	p.start()
	c.t.Cleanup(func() {
		p.kill()
		_ = log.Close()
		if c.t.Failed() {
			c.t.Logf("end of the log of %s:\n%s", name, logTail(log.Name()))
		}
	})
	return p
}

// logTail returns the last 4 KiB of a log file.
func logTail(path string) string {
	const maxBytes = 4 << 10
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-maxBytes):])
}

func awaitPlatform(t *testing.T, address string) {
	t.Helper()
	for range 200 {
		response, err := http.Get("http://" + address + "/v1/kv/none")
		if err == nil {
			_ = response.Body.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s does not answer", address)
}

func (c *faultCluster) registerVM(name, links, control string) {
	query := url.Values{"links": {links}, "control": {control}, "region": {"ost"}, "failure-domain": {"ost-linz"}}
	c.callPlatform(http.MethodPut, "/standin/vms/"+name+"?"+query.Encode())
}

// callPlatform sends a request to the control endpoints of the platform stand-in, which its faults do not affect.
func (c *faultCluster) callPlatform(method, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.platformURL+path, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Errorf("%s %s: %v", method, path, err)
		return
	}
	_ = response.Body.Close()
}

func (c *faultCluster) nodeSettings(name string, own []string) string {
	var upstreams strings.Builder
	for i, r := range c.upstreamRelays {
		failureDomain := []string{"ost-linz", "ost-steyr", "ost-steyr"}[i]
		fmt.Fprintf(&upstreams, "      - {name: wheel-core-1-%c, address: %q, region: ost, failure-domain: %s}\n",
			'a'+i, r.Address(), failureDomain)
	}
	return fmt.Sprintf(`vm: %s
region: ost
failure-domain: ost-linz
listen: {callers: %q, links: %q, control: %q}
platform: {address: "http://%s", timeout: 1s}
callers: [{name: steyr, password: secret}, {name: graz, password: secret}]
databases:
  - name: wheel-core-1
    slots: 4
    connections: 16
    servers:
%s`, name, own[0], own[1], own[2], c.storeRelay.Address(), upstreams.String())
}
